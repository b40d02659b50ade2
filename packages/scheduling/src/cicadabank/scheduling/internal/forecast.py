"""Forecasts of task durations from declared durations and those observed per queue."""

from __future__ import annotations

import math

# Shorter durations count as this long, which bounds their logarithms.
MIN_DURATION_S = 0.2
# Prior assumption: half of the difference between a declared duration and its queue's
# mean (in logarithms) is estimation error.
PRIOR_SLOPE = 0.5
# Number of finished tasks that the prior counts for.
PRIOR_RUNS = 3.0
# Variance of the logarithms of declared durations that the prior assumes.
PRIOR_VARIANCE = 0.5


class _DurationModel:
    """Linear regression of log actual on log declared durations, with a prior."""

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
        """Add the declared log duration of a new step."""
        self.declared_count += 1
        self.mean_declared_all += (
            declared - self.mean_declared_all
        ) / self.declared_count

    def observe(self, declared: float, actual: float) -> None:
        """Add the declared and the actual log duration of a finished task."""
        self.count += 1
        deviation = declared - self.mean_declared
        self.mean_declared += deviation / self.count
        self.mean_actual += (actual - self.mean_actual) / self.count
        self.sum_xx += deviation * (declared - self.mean_declared)
        self.sum_xy += deviation * (actual - self.mean_actual)

    def expected(self, declared: float) -> float:
        """Return the expected logarithm of the actual duration."""
        weight = self.count / (self.count + PRIOR_RUNS)
        shrunk_declared = (
            weight * self.mean_declared + (1.0 - weight) * self.mean_declared_all
        )
        # Until tasks have finished, the mean actual duration is assumed to equal the
        # mean declared one.
        shrunk_actual = (
            weight * self.mean_actual + (1.0 - weight) * self.mean_declared_all
        )
        return shrunk_actual + self.sum_xy / self.sum_xx * (declared - shrunk_declared)


class MeasuredDurations:
    """Mean log duration of the tasks of one step that have been measured."""

    __slots__ = ("_count", "_mean")

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0

    def add(self, duration_s: float) -> None:
        """Add the duration of a task."""
        self._count += 1
        self._mean += (log_duration(duration_s) - self._mean) / self._count

    def combine(self, expected: float) -> float:
        """Return a forecast log duration of the step's other tasks.

        Parameters
        ----------
        expected : float
            Forecast log duration without these measurements; it counts as one more.
        """
        return (self._count * self._mean + expected) / (self._count + 1)


class Forecast:
    """Forecasts how long the tasks of each queue run.

    Declared durations may be wrong by some factor. A linear regression for each queue
    therefore estimates actual from declared durations, on a logarithmic scale. Until
    tasks have finished, a declared duration is shrunk halfway towards the mean of its
    queue.
    """

    def __init__(self) -> None:
        self._models: dict[str, _DurationModel] = {}

    def add_declared(self, queue: str, declared_s: float) -> None:
        """Record the declared duration of a step of a new job."""
        self._model(queue).add_declared(log_duration(declared_s))

    def observe(self, queue: str, declared_s: float, actual_s: float) -> None:
        """Record how long a run takes that does all of a task's work."""
        self._model(queue).observe(log_duration(declared_s), log_duration(actual_s))

    def expected_s(
        self, queue: str, declared_s: float, measured: MeasuredDurations | None = None
    ) -> float:
        """Return the expected duration of a task, in seconds.

        Parameters
        ----------
        queue : str
        declared_s : float
            Duration declared by the job.
        measured : MeasuredDurations, optional
            Durations of other tasks of the same step.
        """
        model = self._models.get(queue)
        expected = log_duration(declared_s)
        if model is not None:
            expected = model.expected(expected)
        return math.exp(measured.combine(expected) if measured else expected)

    def _model(self, queue: str) -> _DurationModel:
        return self._models.setdefault(queue, _DurationModel())


def log_duration(duration_s: float) -> float:
    """Return the logarithm of a duration in seconds, or of `MIN_DURATION_S`."""
    return math.log(max(MIN_DURATION_S, duration_s))
