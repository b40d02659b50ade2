"""Workers, minions and their agents die, freeze, fail and leave."""

from __future__ import annotations

import signal
import threading
import time

import pytest
from cicadabank.client import ApiError
from cicadabank.client.internal.reports import fetch_burn_input
from cicadabank.report import burn_report

from tests.support.deployments import bench_running


@pytest.fixture(scope="class")
def bench(tmp_path_factory):
    with bench_running(tmp_path_factory.mktemp("bench"), workers=4) as bench:
        yield bench


class TestWorkerFaults:
    def test_killed_agent_is_replaced_and_the_gang_goes_on(self, bench):
        job = bench.submit(run_s=5.0, tasks=4, idempotent=False)
        worker = bench.running(job)["members"][0]["worker"]
        bench.deployment.kill(f"agent-{worker}")
        bench.deployment.start(f"agent-{worker}")
        record = bench.ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)

    def test_gang_of_a_frozen_agent_runs_again_elsewhere(self, bench):
        job = bench.submit(run_s=6.0, tasks=4)
        worker = bench.running(job)["members"][0]["worker"]
        bench.deployment.freeze(f"agent-{worker}")
        record = bench.ended(job)
        bench.deployment.wake(f"agent-{worker}")
        assert (record["state"], record["attempts"]) == ("done", 2)
        assert record["members"][0]["worker"] != worker

    def test_dead_worker_ends_a_job_that_must_not_run_twice(self, bench):
        job = bench.submit(run_s=20.0, tasks=4, idempotent=False)
        worker = bench.running(job)["members"][0]["worker"]
        bench.deployment.kill(worker)
        bench.deployment.kill(f"agent-{worker}")
        record = bench.ended(job)
        bench.deployment.start(worker)
        bench.deployment.start(f"agent-{worker}")
        assert (record["state"], record["ran"]) == ("outcome-unknown", "unknown")
        assert record["attempts"] == 1

    def test_worker_that_fails_everything_does_not_drain_the_queue(self, bench):
        bench.deployment.wait_ready(4, 2)
        bench.fault("worker-1", "fail_all", 1)
        jobs = [bench.submit(run_s=0.3, tasks=4) for _ in range(12)]
        records = [bench.ended(job) for job in jobs]
        bench.fault("worker-1", "fail_all", 0)
        assert {record["state"] for record in records} == {"done"}

    def test_stopping_agent_stays_until_its_tasks_have_ended(self, bench):
        bench.deployment.wait_ready(4, 2)
        job = bench.submit(run_s=10.0, tasks=4, idempotent=False)
        worker = bench.running(job)["members"][0]["worker"]
        others = [bench.submit(run_s=0.5, tasks=4) for _ in range(6)]
        for _ in range(2):
            bench.deployment.signal(f"agent-{worker}", signal.SIGTERM)
            time.sleep(1.0)
        others += [bench.submit(run_s=0.5, tasks=4) for _ in range(6)]
        records = [bench.ended(name) for name in (job, *others)]
        assert bench.deployment.processes[f"agent-{worker}"].wait(30) == 0
        bench.deployment.start(f"agent-{worker}")
        assert {record["state"] for record in records} == {"done"}
        assert {record["attempts"] for record in records} == {1}
        assert worker not in {r["members"][0]["worker"] for r in records[7:]}

    def test_burn_names_the_job_that_was_lost(self, bench):
        level = {"name": "proofs", "measure": "completion", "threshold_s": 600.0}
        fields = {"name": "glaze", "quota_accelerators": 32, "service_levels": [level]}
        bench.client.apply("workspace", fields)
        reports = burn_report(fetch_burn_input(bench.client, "glaze"), time.time())
        jobs = bench.client.call("GET", "/v1/jobs", workspace="glaze")["jobs"]
        lost = [job["job"] for job in jobs if job["state"] == "outcome-unknown"]
        assert [what for what, _ in reports[0].culprits] == lost
        assert reports[0].windows["1h"].bad == len(lost) == 1
        assert reports[0].windows["1h"].events == len(jobs)


class TestMinionFaults:
    def test_leaving_minion_cuts_no_request_off(self, bench):
        bench.deployment.wait_ready(4, 2)
        outcomes = []

        def call(number):
            plan = f'{{"run_s": 0.5, "answer": "{number}"}}'
            request = {"workspace": "glaze", "payload": plan, "idempotent": False}
            try:
                answer = bench.client.request(request)["answer"]
                outcomes.append(answer == str(number))
            except ApiError as error:
                outcomes.append(error.ran == "no" and error.code == "overloaded")

        threads = [threading.Thread(target=call, args=(n,)) for n in range(40)]
        for index, thread in enumerate(threads):
            thread.start()
            if index == 10:
                bench.deployment.signal("agent-minion-1", signal.SIGTERM)
            time.sleep(0.05)
        for thread in threads:
            thread.join()
        assert bench.deployment.processes["agent-minion-1"].wait(30) == 0
        assert outcomes.count(True) == 40

    def test_it_comes_back_under_the_same_address(self, bench):
        bench.deployment.start("agent-minion-1")
        bench.deployment.kill("agent-minion-2")
        request = {"workspace": "glaze", "payload": "again"}

        def answered():
            try:
                return bench.client.request(request)["minion"] == "minion-1"
            except ApiError:
                return False

        bench.wait(answered, "the minion that came back")
        bench.deployment.start("agent-minion-2")
