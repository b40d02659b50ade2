"""Workers, minions and their agents are killed, frozen, failing or stopped."""

from __future__ import annotations

import signal
import threading
import time

import pytest
from cicadabank.client import ApiError
from cicadabank.client.internal.reports import fetch_burn_input
from cicadabank.report import burn_report

from tests.support.deployments import harness_running


@pytest.fixture(scope="class")
def harness(tmp_path_factory):
    with harness_running(tmp_path_factory.mktemp("deployment"), workers=4) as harness:
        yield harness


class TestWorkerFaults:
    def test_gang_continues_after_its_agent_is_restarted(self, harness):
        job = harness.submit(run_s=5.0, tasks=4, idempotent=False)
        worker = harness.wait_running(job)["members"][0]["worker"]
        harness.deployment.kill(f"agent-{worker}")
        harness.deployment.start(f"agent-{worker}")
        record = harness.wait_ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)

    def test_gang_of_a_frozen_agent_is_restarted_on_another_worker(self, harness):
        job = harness.submit(run_s=6.0, tasks=4)
        worker = harness.wait_running(job)["members"][0]["worker"]
        harness.deployment.suspend(f"agent-{worker}")
        record = harness.wait_ended(job)
        harness.deployment.resume(f"agent-{worker}")
        assert (record["state"], record["attempts"]) == ("done", 2)
        assert record["members"][0]["worker"] != worker

    def test_killed_worker_ends_a_job_that_is_not_idempotent(self, harness):
        job = harness.submit(run_s=20.0, tasks=4, idempotent=False)
        worker = harness.wait_running(job)["members"][0]["worker"]
        harness.deployment.kill(worker)
        harness.deployment.kill(f"agent-{worker}")
        record = harness.wait_ended(job)
        harness.deployment.start(worker)
        harness.deployment.start(f"agent-{worker}")
        assert (record["state"], record["ran"]) == ("outcome-unknown", "unknown")
        assert record["attempts"] == 1

    def test_jobs_complete_while_every_task_fails_on_one_worker(self, harness):
        harness.deployment.wait_ready(4, 2)
        harness.set_fault("worker-1", "fail_all", 1)
        jobs = [harness.submit(run_s=0.3, tasks=4) for _ in range(12)]
        records = [harness.wait_ended(job) for job in jobs]
        harness.set_fault("worker-1", "fail_all", 0)
        assert {record["state"] for record in records} == {"done"}

    def test_stopping_agent_exits_after_its_tasks_have_ended(self, harness):
        harness.deployment.wait_ready(4, 2)
        job = harness.submit(run_s=10.0, tasks=4, idempotent=False)
        worker = harness.wait_running(job)["members"][0]["worker"]
        others = [harness.submit(run_s=0.5, tasks=4) for _ in range(6)]
        for _ in range(2):
            harness.deployment.signal(f"agent-{worker}", signal.SIGTERM)
            time.sleep(1.0)
        others += [harness.submit(run_s=0.5, tasks=4) for _ in range(6)]
        records = [harness.wait_ended(name) for name in (job, *others)]
        assert harness.deployment.processes[f"agent-{worker}"].wait(30) == 0
        harness.deployment.start(f"agent-{worker}")
        assert {record["state"] for record in records} == {"done"}
        assert {record["attempts"] for record in records} == {1}
        assert worker not in {record["members"][0]["worker"] for record in records[7:]}

    def test_burn_report_names_the_lost_job(self, harness):
        level = {"name": "proofs", "measure": "completion", "threshold_s": 600.0}
        fields = {"name": "glaze", "quota_accelerators": 32, "service_levels": [level]}
        harness.client.apply("workspace", fields)
        reports = burn_report(fetch_burn_input(harness.client, "glaze"), time.time())
        jobs = harness.client.call("GET", "/v1/jobs", workspace="glaze")["jobs"]
        lost = [job["job"] for job in jobs if job["state"] == "outcome-unknown"]
        assert [job for job, _ in reports[0].culprits] == lost
        assert reports[0].windows["1h"].bad == len(lost) == 1
        assert reports[0].windows["1h"].events == len(jobs)


class TestMinionFaults:
    def test_stopping_minion_agent_completes_all_requests(self, harness):
        harness.deployment.wait_ready(4, 2)
        outcomes = []

        def call(number):
            behaviour = f'{{"run_s": 0.5, "answer": "{number}"}}'
            request = {"workspace": "glaze", "payload": behaviour, "idempotent": False}
            try:
                answer = harness.client.request(request)["answer"]
                outcomes.append(answer == str(number))
            except ApiError as error:
                outcomes.append(error.ran == "no" and error.code == "overloaded")

        threads = [threading.Thread(target=call, args=(n,)) for n in range(40)]
        for index, thread in enumerate(threads):
            thread.start()
            if index == 10:
                harness.deployment.signal("agent-minion-1", signal.SIGTERM)
            time.sleep(0.05)
        for thread in threads:
            thread.join()
        assert harness.deployment.processes["agent-minion-1"].wait(30) == 0
        assert outcomes.count(True) == 40

    def test_restarted_minion_agent_serves_requests_again(self, harness):
        harness.deployment.start("agent-minion-1")
        harness.deployment.kill("agent-minion-2")
        request = {"workspace": "glaze", "payload": "again"}

        def minion_replied():
            try:
                return harness.client.request(request)["minion"] == "minion-1"
            except ApiError:
                return False

        harness.wait_until(minion_replied, "a reply of the restarted minion")
        harness.deployment.start("agent-minion-2")
