"""Finding workers that fail what they start, without blaming them for bad jobs."""

from __future__ import annotations

from collections import OrderedDict

PROBATION_FAILURES = 3
PROBATION_SUCCESSES = 2
BAD_JOB_FAILURES = 2
FIRST_REST_S = 30.0
LONGEST_REST_S = 1800.0
JOBS_REMEMBERED = 10_000


class Probation:
    """What a worker on probation has done since."""

    __slots__ = ("failed_s", "rest_s", "successes")

    def __init__(self) -> None:
        self.successes = 0
        self.rest_s = 0.0
        self.failed_s = 0.0

    def failed(self, now_s: float) -> None:
        """Let the worker rest, longer each time."""
        self.rest_s = min(LONGEST_REST_S, max(FIRST_REST_S, 2.0 * self.rest_s))
        self.successes = 0
        self.failed_s = now_s


class WorkerHealth:
    """Compares workers with their peers on the same jobs.

    A worker that fails `PROBATION_FAILURES` different jobs with no success in between
    goes on probation: it gets one job at a time, and rests after each failure, so that
    failing fast doesn't win it the queue. It leaves after `PROBATION_SUCCESSES`
    successes in a row.

    A job that fails on `BAD_JOB_FAILURES` workers of good repute, those whose outcome
    before was a success, or on one of them and more others, is bad itself and not held
    against any worker. Failures on
    workers that are on probation are not held against the job.
    """

    def __init__(self) -> None:
        self._blame: dict[str, set[str]] = {}  # worker -> jobs failed since a success
        self._reputable: set[str] = set()
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()  # job -> workers
        self._by_reputable: dict[str, int] = {}  # job -> failures on reputable workers
        self._probation: dict[str, Probation] = {}

    def failed(self, job: str, worker: str, now_s: float) -> None:
        """Take note that a job's task failed on a worker."""
        workers = self._failed_on.setdefault(job, set())
        workers.add(worker)
        self._failed_on.move_to_end(job)
        if len(self._failed_on) > JOBS_REMEMBERED:
            forgotten, _ = self._failed_on.popitem(last=False)
            self._by_reputable.pop(forgotten, None)
        if worker in self._reputable:
            self._by_reputable[job] = self._by_reputable.get(job, 0) + 1
        if self._is_bad_job(job, workers):
            self._clear_blame(job, workers)
            return
        self._reputable.discard(worker)
        blamed = self._blame.setdefault(worker, set())
        blamed.add(job)
        if worker in self._probation or len(blamed) >= PROBATION_FAILURES:
            self._probation.setdefault(worker, Probation()).failed(now_s)

    def _is_bad_job(self, job: str, workers: set[str]) -> bool:
        by_reputable = self._by_reputable.get(job, 0)
        if by_reputable >= BAD_JOB_FAILURES:
            return True
        return by_reputable > 0 and len(workers) > BAD_JOB_FAILURES

    def _clear_blame(self, job: str, workers: set[str]) -> None:
        for worker in workers:
            blamed = self._blame.get(worker, set())
            blamed.discard(job)
            if not blamed and worker not in self._probation:
                self._reputable.add(worker)

    def succeeded(self, job: str, worker: str) -> None:
        """Take note that a job's task ended well on a worker."""
        probation = self._probation.get(worker)
        if probation is not None:
            probation.successes += 1
            if probation.successes < PROBATION_SUCCESSES:
                return
            del self._probation[worker]
        self._blame.pop(worker, None)
        self._reputable.add(worker)

    def on_probation(self, worker: str) -> bool:
        """Whether a worker gets one job at a time only."""
        return worker in self._probation

    @property
    def any_on_probation(self) -> bool:
        """Whether any worker is on probation."""
        return bool(self._probation)

    def resting(self, worker: str, now_s: float, workers: int) -> bool:
        """Whether a worker on probation gets nothing for now.

        Parameters
        ----------
        workers : int
            Workers that may get new work, those on probation included. Where half of
            them or more are on probation, the jobs are more likely to be bad than the
            workers, and nobody rests for longer than the first time.
        """
        probation = self._probation.get(worker)
        if probation is None:
            return False
        rest_s = probation.rest_s
        if 2 * len(self._probation) >= workers:
            rest_s = min(rest_s, FIRST_REST_S)
        return now_s < probation.failed_s + rest_s

    def failed_on(self, job: str) -> frozenset[str]:
        """Return the workers on which a job has failed."""
        return frozenset(self._failed_on.get(job, ()))

    def held_against(self, job: str) -> int:
        """Return on how many workers that are not on probation a job has failed."""
        return sum(worker not in self._probation for worker in self.failed_on(job))
