"""How long tasks take, from what was declared and from what was seen of their queue."""

from __future__ import annotations

import math

MIN_DURATION_S = 0.2
# Before any end was seen, half of what a declared time differs from the mean of its
# queue is taken for an error of the declaration.
PRIOR_SLOPE = 0.5
PRIOR_RUNS = 3.0
PRIOR_VARIANCE = 0.5


class _DurationModel:
    """Regression of logarithms of taken times on declared ones, with a prior."""

    __slots__ = (
        "count",
        "declared_count",
        "mean_actual",
        "mean_declared",
        "mean_declared_all",
        "sum_xx",
        "sum_xy",
    )

    def __init__(self) -> None:
        self.count = 0
        self.mean_declared = 0.0
        self.mean_actual = 0.0
        self.sum_xx = PRIOR_RUNS * PRIOR_VARIANCE
        self.sum_xy = PRIOR_SLOPE * self.sum_xx
        self.mean_declared_all = 0.0
        self.declared_count = 0

    def add_declared(self, declared: float) -> None:
        """Take in a declared time."""
        self.declared_count += 1
        self.mean_declared_all += (
            declared - self.mean_declared_all
        ) / self.declared_count

    def observe(self, declared: float, actual: float) -> None:
        """Take in a declared time with the time that was taken."""
        self.count += 1
        deviation = declared - self.mean_declared
        self.mean_declared += deviation / self.count
        self.mean_actual += (actual - self.mean_actual) / self.count
        self.sum_xx += deviation * (declared - self.mean_declared)
        self.sum_xy += deviation * (actual - self.mean_actual)

    def expected(self, declared: float) -> float:
        """Return the expected logarithm of the time taken."""
        weight = self.count / (self.count + PRIOR_RUNS)
        shrunk_declared = (
            weight * self.mean_declared + (1.0 - weight) * self.mean_declared_all
        )
        shrunk_actual = (
            weight * self.mean_actual + (1.0 - weight) * self.mean_declared_all
        )
        return shrunk_actual + self.sum_xy / self.sum_xx * (declared - shrunk_declared)


class Forecast:
    """Forecasts how long the tasks of each queue take.

    Declared times may be off by a factor. How much they tell is learnt from the ends of
    their queue; at first they are drawn halfway to the queue's mean.
    """

    def __init__(self) -> None:
        self._models: dict[str, _DurationModel] = {}

    def add_declared(self, queue: str, declared_s: float) -> None:
        """Take in what a new job declares."""
        self._model(queue).add_declared(_log_duration(declared_s))

    def observe(self, queue: str, declared_s: float, actual_s: float) -> None:
        """Take in how long a task has taken from its start to its end."""
        self._model(queue).observe(_log_duration(declared_s), _log_duration(actual_s))

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Return how long a task is expected to take.

        Parameters
        ----------
        declared_s : float
            What its job declared.
        """
        model = self._models.get(queue)
        if model is None:
            return max(MIN_DURATION_S, declared_s)
        return math.exp(model.expected(_log_duration(declared_s)))

    def _model(self, queue: str) -> _DurationModel:
        return self._models.setdefault(queue, _DurationModel())


def _log_duration(duration_s: float) -> float:
    return math.log(max(MIN_DURATION_S, duration_s))
