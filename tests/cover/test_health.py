"""Faulty workers go on probation; faulty jobs put no good worker on probation."""

from __future__ import annotations

from cicadabank.decisions import WorkerHealth


class TestWorkerHealth:
    def test_three_failed_jobs_put_a_worker_on_probation(self):
        health = WorkerHealth()
        for number in range(3):
            assert not health.on_probation("bad")
            health.failed(f"job-{number}", "bad", 0.0)
        assert health.on_probation("bad")

    def test_backoff_grows_with_each_failure(self):
        health = WorkerHealth()
        for number in range(3):
            health.failed(f"job-{number}", "bad", 0.0)
        assert health.in_backoff("bad", 29.0, 4)
        assert not health.in_backoff("bad", 31.0, 4)
        health.failed("job-3", "bad", 31.0)
        assert health.in_backoff("bad", 90.0, 4)

    def test_backoff_stays_initial_if_half_of_the_workers_fail(self):
        health = WorkerHealth()
        for worker in ("one", "two"):
            for number in range(5):
                health.failed(f"{worker}-{number}", worker, 0.0)
        assert health.in_backoff("one", 29.0, 4)
        assert not health.in_backoff("one", 31.0, 4)
        assert health.in_backoff("one", 31.0, 5)

    def test_two_successes_end_probation(self):
        health = WorkerHealth()
        for number in range(3):
            health.failed(f"job-{number}", "w", 0.0)
        health.succeeded("job-4", "w")
        assert health.on_probation("w")
        health.succeeded("job-5", "w")
        assert not health.on_probation("w")

    def test_faulty_jobs_put_no_good_worker_on_probation(self):
        health = WorkerHealth()
        workers = [f"w{i}" for i in range(6)]
        for worker in workers:
            health.succeeded("first", worker)
        for number in range(30):
            for worker in workers[number % 4 : number % 4 + 3]:
                health.failed(f"bad-{number}", worker, 0.0)
                health.succeeded(f"good-{number}", worker)
        assert not any(health.on_probation(worker) for worker in workers)

    def test_faulty_workers_do_not_make_jobs_count_as_faulty(self):
        health = WorkerHealth()
        for number in range(4):
            for worker in ("bad-1", "bad-2", "bad-3"):
                health.failed(f"job-{number}", worker, 0.0)
        assert all(health.on_probation(f"bad-{i}") for i in (1, 2, 3))

    def test_failures_on_probation_do_not_count_against_a_job(self):
        health = WorkerHealth()
        for number in range(3):
            health.failed(f"job-{number}", "bad", 0.0)
        health.failed("mine", "bad", 0.0)
        assert health.countable_failures("mine") == 0
