"""Detection of faulty workers, as distinct from jobs that fail on any worker."""

from __future__ import annotations

from collections import OrderedDict

PROBATION_FAILURES = 3
PROBATION_SUCCESSES = 2
FAULTY_JOB_FAILURES = 2
INITIAL_BACKOFF_S = 30.0
MAX_BACKOFF_S = 1800.0
MAX_TRACKED_JOBS = 10_000


class Probation:
    """Successes and backoff of a worker on probation."""

    __slots__ = ("backoff_s", "failed_s", "successes")

    def __init__(self) -> None:
        self.successes = 0
        self.backoff_s = 0.0
        self.failed_s = 0.0

    def failed(self, now_s: float) -> None:
        """Start the next backoff, twice as long as the last, up to the maximum."""
        self.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * self.backoff_s)
        )
        self.successes = 0
        self.failed_s = now_s


class WorkerHealth:
    """Distinguishes faulty workers from faulty jobs: compares workers on the same jobs.

    A worker that fails `PROBATION_FAILURES` different jobs with no success in between
    goes on probation: it gets one job at a time, with a backoff after each failure, so
    that a worker which fails jobs fast doesn't attract most of the queue. Probation
    ends after `PROBATION_SUCCESSES` successes in a row.

    A worker is healthy if its last outcome was a success, leaving out failures of
    faulty jobs. A job that fails on `FAULTY_JOB_FAILURES` healthy workers, or on one of
    them and more than `FAULTY_JOB_FAILURES` workers in all, counts as faulty, and its
    failures don't count against any worker. Failures on workers on probation don't
    count against the job.
    """

    def __init__(self) -> None:
        # Jobs that have failed since the last success, by worker.
        self._failed_jobs: dict[str, set[str]] = {}
        self._healthy: set[str] = set()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()  # job -> workers
        # Number of failures on healthy workers, by job.
        self._failures_on_healthy: dict[str, int] = {}
        self._probation: dict[str, Probation] = {}

    def failed(self, job: str, worker: str, now_s: float) -> None:
        """Record that a task of a job failed on a worker."""
        workers = self._failed_on.setdefault(job, set())
        workers.add(worker)
        self._failed_on.move_to_end(job)
        if len(self._failed_on) > MAX_TRACKED_JOBS:
            evicted, _ = self._failed_on.popitem(last=False)
            self._failures_on_healthy.pop(evicted, None)
        if worker in self._healthy:
            self._failures_on_healthy[job] = self._failures_on_healthy.get(job, 0) + 1
        if self._is_faulty_job(job, workers):
            self._discard_failures(job, workers)
            return
        self._healthy.discard(worker)
        failed_jobs = self._failed_jobs.setdefault(worker, set())
        failed_jobs.add(job)
        if worker in self._probation or len(failed_jobs) >= PROBATION_FAILURES:
            self._probation.setdefault(worker, Probation()).failed(now_s)

    def _is_faulty_job(self, job: str, workers: set[str]) -> bool:
        failures_on_healthy = self._failures_on_healthy.get(job, 0)
        if failures_on_healthy >= FAULTY_JOB_FAILURES:
            return True
        return failures_on_healthy > 0 and len(workers) > FAULTY_JOB_FAILURES

    def _discard_failures(self, job: str, workers: set[str]) -> None:
        for worker in workers:
            failed_jobs = self._failed_jobs.get(worker, set())
            failed_jobs.discard(job)
            if not failed_jobs and worker not in self._probation:
                self._healthy.add(worker)

    def succeeded(self, job: str, worker: str) -> None:
        """Record that a task of a job succeeded on a worker."""
        probation = self._probation.get(worker)
        if probation is not None:
            probation.successes += 1
            if probation.successes < PROBATION_SUCCESSES:
                return
            del self._probation[worker]
        self._failed_jobs.pop(worker, None)
        self._healthy.add(worker)

    def on_probation(self, worker: str) -> bool:
        """Return whether a worker is on probation, limited to one job at a time."""
        return worker in self._probation

    @property
    def any_on_probation(self) -> bool:
        """Whether any worker is on probation."""
        return bool(self._probation)

    def in_backoff(self, worker: str, now_s: float, usable_workers: int) -> bool:
        """Return whether a worker gets no work: on probation, its backoff not yet over.

        Parameters
        ----------
        usable_workers : int
            Number of workers that may get new work, including those on probation.
            If half of them or more are on probation, the jobs are more likely to be
            faulty than the workers, and the initial backoff applies to all.
        """
        probation = self._probation.get(worker)
        if probation is None:
            return False
        backoff_s = probation.backoff_s
        if 2 * len(self._probation) >= usable_workers:
            backoff_s = min(backoff_s, INITIAL_BACKOFF_S)
        return now_s < probation.failed_s + backoff_s

    def failed_on(self, job: str) -> frozenset[str]:
        """Return the workers on which a job has failed."""
        return frozenset(self._failed_on.get(job, ()))

    def countable_failures(self, job: str) -> int:
        """Return the number of workers not on probation on which a job has failed."""
        return sum(worker not in self._probation for worker in self.failed_on(job))
