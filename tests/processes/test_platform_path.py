"""Runs jobs through entries and agents on stand-ins of the platform, with failures."""

from __future__ import annotations

import signal
import socket
import threading
import time

import pytest

from tests.support.platform import platform_running, wait_for

JOB_FORMAT = "00000000000000a{}"


@pytest.fixture(scope="class")
def platform(tmp_path_factory):
    with platform_running(tmp_path_factory.mktemp("platform")) as running:
        yield running


def completed(platform, job: str) -> bool:
    survivors = [name for name in platform.fronts if name in platform.processes]
    return platform.state(job, survivors[0]) == "completed"


class TestJobs:
    def test_a_job_is_accepted_and_completed(self, platform):
        job = JOB_FORMAT.format(0)
        assert platform.submit(job, 0.3, count=2) == 200
        wait_for(lambda: platform.state(job) == "completed")
        assert platform.state(job, "entry-1") == "completed"

    def test_invalid_requests_are_refused(self, platform):
        job = JOB_FORMAT.format(1)
        assert platform.call("GET", f"/q/{job}").status_code == 410
        assert platform.call("GET", "/none/").status_code == 404
        other_key = {"Authorization": "Bearer other"}
        assert platform.call("GET", f"/q/{job}", headers=other_key).status_code == 401
        malformed = platform.call("POST", f"/q/{job}", content=b"{}")
        assert malformed.status_code == 400
        assert malformed.json()["code"] == "bad-job"
        assert platform.submit(job, 1.0, longRunning=True) == 501

    def test_a_running_job_is_cancelled(self, platform):
        job = JOB_FORMAT.format(2)
        platform.submit(job, 60.0)
        wait_for(lambda: platform.state(job) == "running")
        assert platform.call("DELETE", f"/q/{job}").status_code == 200
        wait_for(lambda: platform.state(job) == "cancelled")

    # Guards against a caller who can't learn why a job has failed.
    def test_a_failed_job_shows_its_reason(self, platform):
        job = f"{0xC0:016x}"
        wait_for(lambda: platform.submit(job, 1.0, gpu=99) == 200)
        wait_for(lambda: platform.state(job) == "failed")
        for entry in platform.fronts:
            wait_for(lambda entry=entry: platform.state(job, entry) == "failed")
            reason = platform.call("GET", f"/q/{job}", entry).json()["reason"]
            assert reason == "step 0: a task needs more than any target has"

    def test_a_start_without_a_reply_runs_once(self, platform):
        job = JOB_FORMAT.format(3)
        for target in platform.targets:
            target.drops_start_answers = True
        try:
            platform.submit(job, 0.5)
            wait_for(lambda: platform.state(job) == "completed")
        finally:
            for target in platform.targets:
                target.drops_start_answers = False
        runs = [
            run
            for target in platform.targets
            for run in target.started
            if job in run[0]
        ]
        assert len(runs) == 1


class TestFailures:
    """The tests share one platform and the state that earlier tests leave."""

    def test_running_tasks_survive_a_kill_of_their_holder(self, platform):
        job = JOB_FORMAT.format(4)
        platform.submit(job, 6.0, count=2)
        wait_for(lambda: platform.state(job) == "running")
        holder = platform.holder()
        platform.kill(holder)
        assert wait_for(lambda: platform.holder() != holder) < 6.0
        wait_for(lambda: completed(platform, job))
        platform.start(holder)
        runs = [
            run
            for target in platform.targets
            for run in target.started
            if job in run[0]
        ]
        assert len(runs) == 2

    def test_running_tasks_survive_a_kill_of_their_agents(self, platform):
        job = JOB_FORMAT.format(5)
        wait_for(lambda: platform.submit(job, 5.0, count=2) == 200)
        wait_for(lambda: platform.state(job) == "running")
        for name in ("agent-0", "agent-1"):
            platform.kill(name)
            platform.start(name)
        wait_for(lambda: completed(platform, job))
        runs = [
            run
            for target in platform.targets
            for run in target.started
            if job in run[0]
        ]
        assert len(runs) == 2

    def test_running_tasks_survive_an_outage_of_the_store(self, platform):
        job = JOB_FORMAT.format(6)
        platform.submit(job, 5.0)
        wait_for(lambda: platform.state(job) == "running")
        platform.store.unavailable = True
        assert platform.submit(JOB_FORMAT.format(7), 1.0) == 503
        wait_for(lambda: any(target.started for target in platform.targets))
        platform.store.unavailable = False
        wait_for(lambda: completed(platform, job))
        runs = [
            run
            for target in platform.targets
            for run in target.started
            if job in run[0]
        ]
        assert len(runs) == 1
        assert platform.call("GET", f"/q/{JOB_FORMAT.format(7)}").status_code == 410

    # Guards against the loss of a job that is refused shortly before the store returns.
    def test_a_job_waits_for_the_return_of_the_store(self, platform):
        platform.store.unavailable = True
        timer = threading.Timer(0.8, setattr, (platform.store, "unavailable", False))
        timer.start()
        assert platform.submit(JOB_FORMAT.format(9), 0.2) == 200
        timer.join()

    # Guards against the refusal of requests that an entry receives before it has read
    # the configuration; the outage makes that time longer.
    def test_a_job_waits_for_the_start_of_an_entry(self, platform):
        name = next(name for name in platform.fronts if name != platform.holder())
        platform.kill(name)
        platform.store.unavailable = True
        timer = threading.Timer(1.2, setattr, (platform.store, "unavailable", False))
        platform.start(name)
        timer.start()
        statuses = []

        def submitted() -> bool:
            statuses.append(platform.submit(f"{0xB0:016x}", 0.2, name))
            return True

        wait_for(submitted)
        timer.join()
        assert statuses == [200]

    def test_a_stopped_holder_hands_over_at_once(self, platform):
        holder = platform.holder()
        other = next(name for name in platform.fronts if name != holder)
        platform.processes[holder].send_signal(signal.SIGHUP)
        platform.processes[holder].send_signal(signal.SIGTERM)
        assert wait_for(lambda: platform.holder() != holder) < 3.0
        assert platform.processes.pop(holder).wait(timeout=10.0) == 0
        assert platform.submit(JOB_FORMAT.format(8), 0.2, other) == 200
        wait_for(lambda: platform.state(JOB_FORMAT.format(8), other) == "completed")


class TestCancelledSubmissions:
    # Guards against a job that runs although its DELETE was answered with 410: a frozen
    # entry read the submission only after it had heard of the cancellation.
    def test_a_submission_at_a_frozen_entry_does_not_outlive_it(self, platform):
        holder = platform.holder()
        (frozen,) = (name for name in platform.fronts if name != holder)
        for number in range(5):
            job = f"{0xF0 + number:016x}"
            process = platform.processes[frozen]
            process.send_signal(signal.SIGSTOP)
            statuses: list[int] = []
            submission = threading.Thread(
                target=lambda job=job, statuses=statuses: statuses.append(
                    platform.submit(job, 5.0, frozen)
                )
            )
            try:
                submission.start()
                time.sleep(0.3)
                assert platform.call("DELETE", f"/q/{job}", holder).status_code == 410
            finally:
                process.send_signal(signal.SIGCONT)
            submission.join()
            assert statuses == [200]
            for entry in platform.fronts:
                wait_for(
                    lambda job=job, entry=entry: (
                        platform.state(job, entry) == "cancelled"
                    )
                )
            assert platform.start_count(job) == 0

    # Guards against a job that runs although its DELETE was answered with 410: a late
    # copy of its submission was taken for a new job.
    def test_a_repeated_submission_stays_cancelled_at_each_entry(self, platform):
        entries = sorted(platform.fronts)
        jobs = [f"{0x100 + number:016x}" for number in range(4)]
        for number, job in enumerate(jobs):
            canceller = entries[number % 2]
            assert platform.call("DELETE", f"/q/{job}", canceller).status_code == 410
        time.sleep(2.0)  # each entry knows of the cancellations
        for number, job in enumerate(jobs):
            entry = entries[number // 2]
            assert platform.call("GET", f"/q/{job}", entry).status_code == 410
            assert platform.submit(job, 0.1, entry) == 200
            for shown_by in entries:
                assert platform.state(job, shown_by) == "cancelled"
        assert platform.submit(f"{0x110:016x}", 0.1) == 200
        wait_for(lambda: platform.state(f"{0x110:016x}") == "completed")
        assert [platform.start_count(job) for job in jobs] == [0] * 4
        for job in jobs:
            assert platform.submit(job, 0.1) == 200
            assert platform.call("DELETE", f"/q/{job}").status_code == 200
            assert platform.state(job) == "cancelled"


class TestStopsDuringStartUp:
    # Guards against requests that end with a reset connection: an entry that was told
    # to stop while it still imported modules, and listened already, was killed by that.
    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
    @pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3])
    def test_requests_that_wait_are_answered(self, platform, number, after_s):
        name = list(platform.fronts)[-1]
        platform.kill(name)
        platform.start(name)
        host, _, port = platform.fronts[name].rpartition(":")
        request = (
            f"GET /q/{0xE0:016x} HTTP/1.1\r\nHost: h.example\r\n"
            "Authorization: Bearer key-1\r\nConnection: close\r\n\r\n"
        ).encode()

        def connected() -> bool:
            try:
                clients.append(socket.create_connection((host, int(port)), 5.0))
            except ConnectionRefusedError:
                return False
            return True

        clients: list[socket.socket] = []
        wait_for(connected)
        while len(clients) < 5:
            assert connected()
        for client in clients:
            client.sendall(request)
        time.sleep(after_s)
        platform.processes[name].send_signal(number)
        replies = []
        for client in clients:
            client.settimeout(9.0)
            with client:
                replies.append(client.recv(4096).split(b" ")[1])
        assert replies == [b"410"] * 5
        if number == signal.SIGTERM:
            assert platform.processes.pop(name).wait(9.0) == 0
            platform.start(name)
        wait_for(lambda: platform.call("GET", "/q/", name).is_success)
