"""Speeds of targets over their whole range, with the uncertainty of each estimate."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import NamedTuple

from cicadabank.scheduling.internal.forecast import log_duration

# Standard deviation of the log durations of a step's tasks on equally fast targets
# before any pair was measured, and the number of pairs that it counts for. On two
# installations, it was 0.14 and 0.29.
PRIOR_TASK_DEVIATION = 0.15
PRIOR_TASK_PAIRS = 4.0
# Latest tasks from which it is estimated. A larger difference counts as this one, so
# that a few very long tasks do not hide the speeds of all targets.
MAX_TASK_RESIDUALS = 256
MAX_TASK_RESIDUAL = 1.0
# Means of a step's tasks on a target that are at least this certain show how far the
# speeds of targets lie apart, even if too few targets are measured to know the average.
MAX_MEAN_DEVIATION = 0.12
MIN_COMPARED_MEANS = 3
# Standard deviation of the logarithms of the speeds of targets that is assumed
# beforehand: speeds between 0.7 and 1.7 with two fast targets of three have 0.42.
SPEED_DEVIATION = 0.42
# Least standard deviation of an estimate, since its comparisons are not independent.
MIN_ESTIMATE_DEVIATION = 0.04
# A larger difference (of the logarithms) between two targets of a step counts as this
# one. Targets of 0.7 and 1.7 differ by 0.89.
MAX_RANGE_DIFFERENCE = 1.2
# Steps for each target whose comparisons are kept, and the precision (the inverse
# variance) up to which an earlier holder's estimate counts: a deviation of 0.1.
MAX_RANGE_STEPS = 16
MAX_RESTORED_PRECISION = 100.0
RESTORED_STEP = ("", -1)
# Steps of which durations are kept; the oldest are forgotten first.
MAX_STEPS = 1000
# Latest targets of a step that are compared again when another one is first measured.
MAX_COMPARED_AGAIN = 8


class SpeedRange(NamedTuple):
    """Estimate of a target's slowness with its uncertainty.

    Attributes
    ----------
    log_slowness : float
    deviation : float
        Standard deviation of `log_slowness`.
    """

    log_slowness: float
    deviation: float


class SpeedLevels(NamedTuple):
    """Speeds of a cell's targets in a planning round of placement by speeds.

    Attributes
    ----------
    fast, slow : float
        Mean slowness of the targets that are certainly fast, and certainly slow.
    fast_share : float
        Share of the targets of known speed that are fast.
    max_slowness : dict of str to float
        By the id of a job: slowness of targets up to which it is on time. Filled when
        asked for in a planning round.
    """

    fast: float
    slow: float
    fast_share: float
    max_slowness: dict[str, float]


class _TargetSample:
    """Tasks of one step on one target, and what they contribute to the step's level.

    Attributes
    ----------
    count : int
    total : float
        Sum of the logarithms of the durations.
    weight : float
        Precision of the step's level, on an average target, by these tasks alone.
    level : float
        That level: the logarithm of the duration on an average target.
    """

    __slots__ = ("count", "level", "total", "weight")

    def __init__(self) -> None:
        self.count = 0
        self.total = self.weight = self.level = 0.0


class _TaskNoise:
    """Estimates how much a step's tasks differ on equally fast targets.

    Each task is compared with the others of its step on the same target.
    """

    __slots__ = ("_by_task", "_total")

    def __init__(self) -> None:
        self._by_task: OrderedDict[tuple, float] = OrderedDict()
        self._total = 0.0

    def update(self, task: tuple, log_measured: float, sample: _TargetSample) -> None:
        """Process a task's duration; `sample` contains it."""
        self._total -= self._by_task.pop(task, 0.0)
        others = sample.count - 1
        if not others:
            return
        residual = log_measured - (sample.total - log_measured) / others
        residual = min(MAX_TASK_RESIDUAL, abs(residual))
        # The mean of the others is uncertain as well.
        squared = residual**2 * others / sample.count
        self._by_task[task] = squared
        self._total += squared
        if len(self._by_task) > MAX_TASK_RESIDUALS:
            self._total -= self._by_task.popitem(last=False)[1]

    @property
    def variance(self) -> float:
        total = self._total + PRIOR_TASK_PAIRS * PRIOR_TASK_DEVIATION**2
        return total / (len(self._by_task) + PRIOR_TASK_PAIRS)


class _StepSamples:
    """Durations of a step's tasks, by target."""

    __slots__ = ("_tasks", "_total", "_weight", "by_agent")

    def __init__(self) -> None:
        self._tasks: dict[int, tuple[str, float]] = {}
        self.by_agent: dict[str, _TargetSample] = {}
        self._total = self._weight = 0.0

    def update_task(self, task: int, agent: str, log_measured: float) -> None:
        former_agent, former = self._tasks.get(task, (None, 0.0))
        if former_agent is not None:
            sample = self.by_agent[former_agent]
            sample.count -= 1
            sample.total -= former
            if not sample.count:
                self.set_level(sample, 0.0, 0.0)
                del self.by_agent[former_agent]
        self._tasks[task] = (agent, log_measured)
        sample = self.by_agent.setdefault(agent, _TargetSample())
        sample.count += 1
        sample.total += log_measured

    def set_level(self, sample: _TargetSample, weight: float, level: float) -> None:
        self._weight += weight - sample.weight
        self._total += weight * level - sample.weight * sample.level
        sample.weight, sample.level = weight, level

    def level_without(self, sample: _TargetSample) -> tuple[float, float]:
        """Return the level by the other targets, and its precision."""
        weight = self._weight - sample.weight
        if len(self.by_agent) < 2 or weight <= 0.0:
            return 0.0, 0.0
        return (self._total - sample.weight * sample.level) / weight, weight


class _RangeComparisons:
    """Differences of a target from the others of each step, with their precisions."""

    __slots__ = ("_by_step", "_precision", "_total")

    def __init__(self) -> None:
        self._by_step: OrderedDict[tuple, tuple[float, float]] = OrderedDict()
        self._total, self._precision = 0.0, 1.0 / SPEED_DEVIATION**2

    def update(self, step: tuple, difference: float, precision: float) -> None:
        self._remove(step)
        self._by_step[step] = (difference, precision)
        self._total += precision * difference
        self._precision += precision
        if len(self._by_step) > MAX_RANGE_STEPS:
            self._remove(next(iter(self._by_step)))

    def _remove(self, step: tuple) -> None:
        difference, precision = self._by_step.pop(step, (0.0, 0.0))
        self._total -= precision * difference
        self._precision -= precision

    def range_without(self, step: tuple | None) -> SpeedRange:
        """Return the estimate by all steps but one."""
        difference, precision = self._by_step.get(step, (0.0, 0.0))
        others = self._precision - precision
        deviation = max(MIN_ESTIMATE_DEVIATION, others**-0.5)
        return SpeedRange((self._total - precision * difference) / others, deviation)

    def estimate(self) -> tuple[float, float]:
        """Return the mean difference without the prior, and its precision."""
        precision = self._precision - 1.0 / SPEED_DEVIATION**2
        return (self._total / precision if precision > 0.0 else 0.0, precision)


class SpeedRanges:
    """Estimates the slowness of targets over its whole range, with the uncertainty.

    A task's duration is the product of its step's, its target's slowness and noise. The
    step's duration follows from the other targets that run it, each corrected by what
    the other steps tell of that target, so that no measurement confirms itself.
    """

    def __init__(self) -> None:
        self._steps: OrderedDict[tuple[str, int], _StepSamples] = OrderedDict()
        self._targets: dict[str, _RangeComparisons] = {}
        self._noise = _TaskNoise()
        # Largest difference of the logarithms between the second slowest target of a
        # step and the faster half of its targets.
        self.widest_difference = 0.0

    @property
    def task_deviation(self) -> float:
        """Standard deviation of the log durations of tasks on equally fast targets."""
        return self._noise.variance**0.5

    def range_of(self, agent: str) -> SpeedRange:
        """Return the estimate of a target; a wide one of average speed if unknown."""
        known = self._targets.get(agent)
        return known.range_without(None) if known else SpeedRange(0.0, SPEED_DEVIATION)

    def observe(
        self, step: tuple[str, int], task: int, agent: str, duration_s: float
    ) -> None:
        """Process the measured duration of a task; a later one replaces it."""
        samples = self._steps.pop(step, None) or _StepSamples()
        self._steps[step] = samples
        if len(self._steps) > MAX_STEPS:
            self._steps.popitem(last=False)
        is_first = agent not in samples.by_agent
        measured = log_duration(duration_s)
        samples.update_task(task, agent, measured)
        self._noise.update((*step, task), measured, samples.by_agent[agent])
        self._compare(step, samples, agent)
        if is_first:
            latest = itertools.islice(reversed(samples.by_agent), MAX_COMPARED_AGAIN)
            for other in list(latest):
                self._compare(step, samples, other)
        self._update_difference(samples)

    def _update_difference(self, samples: _StepSamples) -> None:
        """Compare the targets of a step of which several tasks were measured on each.

        The slowest target is left out, since a few very long tasks may be on it.
        """
        min_count = self._noise.variance / MAX_MEAN_DEVIATION**2
        means = sorted(
            sample.total / sample.count
            for sample in samples.by_agent.values()
            if sample.count >= min_count
        )
        if len(means) < MIN_COMPARED_MEANS:
            return
        faster = means[: (len(means) + 1) // 2]
        difference = means[-2] - sum(faster) / len(faster)
        self.widest_difference = max(self.widest_difference, difference)

    def _compare(
        self, step: tuple[str, int], samples: _StepSamples, agent: str
    ) -> None:
        """Compare a target with the others of a step, if there are any."""
        sample = samples.by_agent[agent]
        target = self._targets.setdefault(agent, _RangeComparisons())
        mean = sample.total / sample.count
        variance = self._noise.variance / sample.count
        known = target.range_without(step)
        samples.set_level(
            sample, 1.0 / (variance + known.deviation**2), mean - known.log_slowness
        )
        level, precision = samples.level_without(sample)
        if not precision:
            return
        difference = mean - level
        difference = min(MAX_RANGE_DIFFERENCE, max(-MAX_RANGE_DIFFERENCE, difference))
        target.update(step, difference, 1.0 / (variance + 1.0 / precision))

    def estimates(self, max_count: int) -> dict[str, tuple[float, float]]:
        """Return mean differences and precisions of the targets known best."""
        estimates = {a: t.estimate() for a, t in self._targets.items()}
        estimates = {
            agent: (difference, min(precision, MAX_RESTORED_PRECISION))
            for agent, (difference, precision) in estimates.items()
        }
        by_precision = sorted(estimates.items(), key=lambda item: -item[1][1])
        return {a: e for a, e in by_precision[:max_count] if e[1] > 0.0}

    def restore(self, estimates: dict[str, tuple[float, float]]) -> None:
        """Take over an earlier holder's estimates, which are forgotten first."""
        for agent, (difference, precision) in estimates.items():
            target = self._targets[agent] = _RangeComparisons()
            precision = min(precision, MAX_RESTORED_PRECISION)
            target.update(RESTORED_STEP, difference, precision)

    def forget(self, agent: str) -> None:
        """Forget a target."""
        self._targets.pop(agent, None)
