"""Finding workers that fail what they start, without blaming them for bad jobs."""

from __future__ import annotations

from collections import OrderedDict

PROBATION_FAILURES = 3
PROBATION_SUCCESSES = 2
JOBS_REMEMBERED = 10_000


class WorkerHealth:
    """Compares workers with their peers on the same jobs.

    A failure counts against a worker until the same job fails on a second worker,
    which shifts the blame to the job. A worker with `PROBATION_FAILURES` failures of
    different jobs and no success in between goes on probation; it leaves probation
    after `PROBATION_SUCCESSES` successes in a row.
    """

    def __init__(self) -> None:
        self._blame: dict[str, set[str]] = {}  # worker -> jobs that failed only there
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()  # job -> workers
        self._probation: dict[str, int] = {}  # worker -> successes since

    def failed(self, job: str, worker: str) -> None:
        """Take note that a job's task failed on a worker."""
        workers = self._failed_on.setdefault(job, set())
        workers.add(worker)
        self._failed_on.move_to_end(job)
        if len(self._failed_on) > JOBS_REMEMBERED:
            self._failed_on.popitem(last=False)
        if len(workers) > 1:
            self._blame_job(job, workers)
            return
        blamed = self._blame.setdefault(worker, set())
        blamed.add(job)
        if worker in self._probation or len(blamed) >= PROBATION_FAILURES:
            self._probation[worker] = 0

    def _blame_job(self, job: str, workers: set[str]) -> None:
        for worker in workers:
            blamed = self._blame.get(worker, set())
            blamed.discard(job)
            if len(blamed) < PROBATION_FAILURES:
                self._probation.pop(worker, None)

    def succeeded(self, job: str, worker: str) -> None:
        """Take note that a job's task ended well on a worker."""
        if worker in self._probation:
            self._probation[worker] += 1
            if self._probation[worker] < PROBATION_SUCCESSES:
                return
            del self._probation[worker]
        self._blame.pop(worker, None)

    def on_probation(self, worker: str) -> bool:
        """Whether a worker gets one job at a time only."""
        return worker in self._probation

    def failed_on(self, job: str) -> frozenset[str]:
        """Return the workers on which a job has failed."""
        return frozenset(self._failed_on.get(job, ()))
