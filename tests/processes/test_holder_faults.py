"""The entry that holds a cell is killed or frozen."""

from __future__ import annotations

import pytest

from tests.support.deployments import harness_running


@pytest.fixture(scope="class")
def harness(tmp_path_factory):
    with harness_running(tmp_path_factory.mktemp("deployment")) as harness:
        yield harness


class TestKilledHolder:
    def test_gang_continues_and_another_entry_returns_its_answer(self, harness):
        job = harness.submit(run_s=6.0, tasks=8, idempotent=False)
        harness.wait_running(job)
        holder = harness.holder()
        harness.deployment.kill(holder)
        with harness.other_entry_client(holder) as other_entry:
            record = harness.wait_ended(job, other_entry)
            answer = other_entry.answer(job, "glaze")
        harness.deployment.start(holder)
        assert (record["state"], record["attempts"]) == ("done", 1)
        assert sum(member["tasks"] for member in answer["members"]) == 8

    def test_queued_jobs_start_under_the_next_holder(self, harness):
        harness.deployment.wait_ready(4, 2)
        holder = harness.holder()
        harness.deployment.kill(holder)
        with harness.other_entry_client(holder) as other_entry:
            spec = {"workspace": "glaze", "tasks": 4, "payload": '{"run_s": 0.2}'}
            jobs = [other_entry.submit(spec)["job"] for _ in range(6)]
            records = [harness.wait_ended(job, other_entry) for job in jobs]
        harness.deployment.start(holder)
        assert {record["state"] for record in records} == {"done"}


class TestEveryEntry:
    def test_reports_the_state_of_a_cell_held_by_another_entry(self, harness):
        harness.deployment.wait_ready(4, 2)
        holder = harness.holder()
        with harness.other_entry_client(holder) as other_entry:
            status = other_entry.call("GET", "/v1/status")
            targets = other_entry.call("GET", "/v1/targets")["targets"]
        assert status["held_cells"] == []
        assert [cell["cell"] for cell in status["cells"]] == ["lakes"]
        workers = [target for target in targets if target["kind"] == "worker"]
        assert {worker["free"] for worker in workers} <= {0, 1, 2, 3, 4}
        assert len(workers) == 4


class TestFrozenHolder:
    def test_resumed_entry_starts_nothing_twice(self, harness):
        harness.deployment.wait_ready(4, 2)
        holder = harness.holder()
        job = harness.submit(run_s=8.0, tasks=8, idempotent=False)
        # A gang that has not begun on each of its two workers may be requeued.
        harness.wait_until(
            lambda: harness.running_attempts() == 2, "the start of the gang's tasks"
        )
        harness.deployment.suspend(holder)
        with harness.other_entry_client(holder) as other_entry:
            harness.wait_until(
                lambda: other_entry.call("GET", "/v1/status")["held_cells"],
                "the takeover",
            )
            spec = {"workspace": "glaze", "idempotent": False}
            new_job = other_entry.submit({**spec, "payload": '{"run_s": 1.0}'})["job"]
            harness.deployment.resume(holder)
            records = [harness.wait_ended(name, other_entry) for name in (job, new_job)]
        assert [record["state"] for record in records] == ["done", "done"]
        assert [record["attempts"] for record in records] == [1, 1]
        epochs = [
            decision["epoch"]
            for decision in records[1]["history"]
            if decision["event"] == "start"
        ]
        assert epochs[0] > 1
