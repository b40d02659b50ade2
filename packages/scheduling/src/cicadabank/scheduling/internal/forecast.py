"""How long tasks take, from what was declared and from what was seen of their queue."""

from __future__ import annotations

import math

SHORTEST_S = 0.2
# Before any end was seen, declared times are trusted about this much more than the
# mean of their queue.
PRIOR_RUNS = 2.0
PRIOR_DECLARED_VARIANCE = 0.25
PRIOR_QUEUE_VARIANCE = 1.0


class _Spread:
    """Running mean and variance, starting from a prior variance."""

    __slots__ = ("_squares", "count", "mean")

    def __init__(self, prior_variance: float):
        self.count = 0
        self.mean = 0.0
        self._squares = PRIOR_RUNS * prior_variance

    def add(self, value: float) -> None:
        """Take in one value."""
        self.count += 1
        before = self.mean
        self.mean += (value - before) / self.count
        self._squares += (value - before) * (value - self.mean)

    @property
    def variance(self) -> float:
        """The variance, never quite zero."""
        return max(0.01, self._squares / (self.count + PRIOR_RUNS))


class Forecast:
    """Forecasts how long the tasks of each queue take.

    Declared times and the mean of the queue are weighed by how far each was off.
    """

    def __init__(self) -> None:
        self._off: dict[str, _Spread] = {}
        self._taken: dict[str, _Spread] = {}

    def observe(self, queue: str, declared_s: float, taken_s: float) -> None:
        """Take in how long a task has taken from its start to its end."""
        taken = math.log(max(SHORTEST_S, taken_s))
        declared = math.log(max(SHORTEST_S, declared_s))
        off = self._off.setdefault(queue, _Spread(PRIOR_DECLARED_VARIANCE))
        off.add(taken - declared)
        self._taken.setdefault(queue, _Spread(PRIOR_QUEUE_VARIANCE)).add(taken)

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Return how long a task is expected to take.

        Parameters
        ----------
        declared_s : float
            What its job declared.
        """
        declared_s = max(SHORTEST_S, declared_s)
        off, taken = self._off.get(queue), self._taken.get(queue)
        if off is None or taken is None:
            return declared_s
        trust = off.count / (off.count + PRIOR_RUNS)
        by_declared = math.log(declared_s) + trust * off.mean
        weight = trust * off.variance / (off.variance + taken.variance)
        return math.exp((1.0 - weight) * by_declared + weight * taken.mean)
