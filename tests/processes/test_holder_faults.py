"""The entry that holds a cell dies, freezes or is cut off from the table."""

from __future__ import annotations

import pytest

from tests.support.deployments import bench_running


@pytest.fixture(scope="class")
def bench(tmp_path_factory):
    with bench_running(tmp_path_factory.mktemp("bench")) as bench:
        yield bench


class TestKilledHolder:
    def test_gang_goes_on_and_is_answered_by_another_entry(self, bench):
        job = bench.submit(run_s=6.0, tasks=8, idempotent=False)
        bench.running(job)
        holder = bench.holder()
        bench.deployment.kill(holder)
        with bench.other(holder) as other:
            record = bench.ended(job, other)
            answer = other.answer(job, "glaze")
        bench.deployment.start(holder)
        assert (record["state"], record["attempts"]) == ("done", 1)
        assert sum(member["tasks"] for member in answer["members"]) == 8

    def test_queued_jobs_start_under_the_next_holder(self, bench):
        bench.deployment.wait_ready(4, 2)
        holder = bench.holder()
        bench.deployment.kill(holder)
        with bench.other(holder) as other:
            spec = {"workspace": "glaze", "tasks": 4, "payload": '{"run_s": 0.2}'}
            jobs = [other.submit(spec)["job"] for _ in range(6)]
            records = [bench.ended(job, other) for job in jobs]
        bench.deployment.start(holder)
        assert {record["state"] for record in records} == {"done"}


class TestEveryEntry:
    def test_tells_the_state_of_a_cell_that_another_one_holds(self, bench):
        bench.deployment.wait_ready(4, 2)
        holder = bench.holder()
        with bench.other(holder) as other:
            status = other.call("GET", "/v1/status")
            targets = other.call("GET", "/v1/targets")["targets"]
        assert status["held_cells"] == []
        assert [cell["cell"] for cell in status["cells"]] == ["lakes"]
        workers = [t for t in targets if t["kind"] == "worker"]
        assert {worker["free"] for worker in workers} <= {0, 1, 2, 3, 4}
        assert len(workers) == 4


class TestFrozenHolder:
    def test_woken_one_starts_nothing_twice(self, bench):
        bench.deployment.wait_ready(4, 2)
        holder = bench.holder()
        job = bench.submit(run_s=8.0, tasks=8, idempotent=False)
        bench.running(job)
        bench.deployment.freeze(holder)
        with bench.other(holder) as other:
            bench.wait(
                lambda: other.call("GET", "/v1/status")["held_cells"], "the takeover"
            )
            spec = {"workspace": "glaze", "idempotent": False}
            late = other.submit({**spec, "payload": '{"run_s": 1.0}'})["job"]
            bench.deployment.wake(holder)
            records = [bench.ended(name, other) for name in (job, late)]
        assert [r["state"] for r in records] == ["done", "done"]
        assert [r["attempts"] for r in records] == [1, 1]
        epochs = [d["epoch"] for d in records[1]["history"] if d["event"] == "start"]
        assert epochs[0] > 1
