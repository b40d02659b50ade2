"""How long tasks take, from what was declared and from what was seen of their queue."""

from __future__ import annotations

import math

SHORTEST_S = 0.2
# Before any end was seen, half of what a declared time differs from the mean of its
# queue is taken for an error of the declaration.
PRIOR_SLOPE = 0.5
PRIOR_RUNS = 3.0
PRIOR_VARIANCE = 0.5


class _Line:
    """Regression of logarithms of taken times on declared ones, with a prior."""

    __slots__ = (
        "count",
        "declared",
        "declared_all",
        "declared_count",
        "taken",
        "xx",
        "xy",
    )

    def __init__(self) -> None:
        self.count = 0
        self.declared = 0.0
        self.taken = 0.0
        self.xx = PRIOR_RUNS * PRIOR_VARIANCE
        self.xy = PRIOR_SLOPE * self.xx
        self.declared_all = 0.0
        self.declared_count = 0

    def declare(self, declared: float) -> None:
        """Take in a declared time."""
        self.declared_count += 1
        self.declared_all += (declared - self.declared_all) / self.declared_count

    def observe(self, declared: float, taken: float) -> None:
        """Take in a declared time with the time that was taken."""
        self.count += 1
        off = declared - self.declared
        self.declared += off / self.count
        self.taken += (taken - self.taken) / self.count
        self.xx += off * (declared - self.declared)
        self.xy += off * (taken - self.taken)

    def expected(self, declared: float) -> float:
        """Return the expected logarithm of the time taken."""
        trust = self.count / (self.count + PRIOR_RUNS)
        middle = trust * self.declared + (1.0 - trust) * self.declared_all
        level = trust * self.taken + (1.0 - trust) * self.declared_all
        return level + self.xy / self.xx * (declared - middle)


class Forecast:
    """Forecasts how long the tasks of each queue take.

    Declared times may be off by a factor. How much they tell is learnt from the ends of
    their queue; at first they are drawn halfway to the queue's mean.
    """

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}

    def declare(self, queue: str, declared_s: float) -> None:
        """Take in what a new job declares."""
        self._line(queue).declare(_log(declared_s))

    def observe(self, queue: str, declared_s: float, taken_s: float) -> None:
        """Take in how long a task has taken from its start to its end."""
        self._line(queue).observe(_log(declared_s), _log(taken_s))

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Return how long a task is expected to take.

        Parameters
        ----------
        declared_s : float
            What its job declared.
        """
        line = self._lines.get(queue)
        if line is None:
            return max(SHORTEST_S, declared_s)
        return math.exp(line.expected(_log(declared_s)))

    def _line(self, queue: str) -> _Line:
        return self._lines.setdefault(queue, _Line())


def _log(time_s: float) -> float:
    return math.log(max(SHORTEST_S, time_s))
