"""Speeds of targets, learned from how long the tasks of a step take on each.

Targets may differ in speed, which no report tells. The tasks of a step do similar work,
so a target on which they take longer than elsewhere is slow.
"""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from typing import NamedTuple

from cicadabank.scheduling.internal.forecast import log_duration
from cicadabank.scheduling.internal.speed_ranges import SpeedLevels, SpeedRanges

# Latest tasks of a target that are compared with others of their steps, and steps of
# which durations are kept; the oldest are forgotten first.
MAX_COMPARISONS = 16
MAX_STEPS = 1000
# Estimates that fit into a row of the store.
MAX_STORED_ESTIMATES = 1000
# Key of an earlier holder's estimate, where others are tasks, and the number of
# comparisons that it counts for at most.
RESTORED = ("", -1, -1)
MAX_RESTORED_WEIGHT = 8.0
# Latest tasks of a step that are compared again when the first measurement of another
# task arrives.
MAX_COMPARED_AGAIN = 8
# Number of comparisons that the prior, a target of average speed, counts for.
PRIOR_COMPARISONS = 1.0
# A larger difference (of the logarithms) counts as this one: a run that stood still for
# a while tells little about its target.
MAX_DIFFERENCE = 0.5
# Targets whose estimates differ by less than this factor count as equally fast.
SPEED_CLASS_FACTOR = 1.1
# Keys of the stored estimates with uncertainty begin with this. They share the row of
# the others, so that entries of earlier builds can still read it.
RANGE_PREFIX = "range/"


class SpeedEstimate(NamedTuple):
    """Estimate of a target's speed.

    Attributes
    ----------
    mean_difference : float
        Mean of the differences between the logarithms of its tasks' durations and those
        of the other tasks of their steps.
    weight : float
        Number of comparisons that it is the mean of.
    """

    mean_difference: float
    weight: float


class _TaskDuration(NamedTuple):
    """Measured duration of a task, and an estimate on a target of average speed."""

    agent: str
    log_measured: float
    log_average: float


class _StepDurations:
    """Durations of a step's tasks."""

    __slots__ = ("_by_task", "_total")

    def __init__(self) -> None:
        self._by_task: dict[int, _TaskDuration] = {}
        self._total = 0.0  # of the estimates on a target of average speed

    def get(self, task: int) -> _TaskDuration | None:
        return self._by_task.get(task)

    def update(self, task: int, duration: _TaskDuration) -> None:
        before = self._by_task.get(task)
        self._total += duration.log_average - (before.log_average if before else 0.0)
        self._by_task[task] = duration

    def latest_tasks(self) -> list[int]:
        """Return the tasks that were first measured last."""
        return list(itertools.islice(reversed(self._by_task), MAX_COMPARED_AGAIN))

    def others(self, task: int) -> tuple[int, float]:
        """Return the number of the other tasks, and the mean of their estimates."""
        count = len(self._by_task) - 1
        total = self._total - self._by_task[task].log_average
        return count, total / count if count else 0.0


class _TargetComparisons:
    """Differences of a target's tasks from the others of their steps, with weights."""

    __slots__ = ("_by_task", "_total", "_weight")

    def __init__(self) -> None:
        self._by_task: OrderedDict[tuple, tuple[float, float]] = OrderedDict()
        self._total = self._weight = 0.0

    def update(self, task: tuple, difference: float, weight: float) -> None:
        self._remove(task)
        self._by_task[task] = (difference, weight)
        self._total += weight * difference
        self._weight += weight
        if len(self._by_task) > MAX_COMPARISONS:
            self._remove(next(iter(self._by_task)))

    def _remove(self, task: tuple) -> None:
        difference, weight = self._by_task.pop(task, (0.0, 0.0))
        self._total -= weight * difference
        self._weight -= weight

    @property
    def log_slowness(self) -> float:
        """Logarithm of the target's slowness, by the comparisons and the prior."""
        return self._total / (self._weight + PRIOR_COMPARISONS)

    def estimate(self) -> SpeedEstimate:
        weight = max(self._weight, 0.0)
        return SpeedEstimate(self._total / weight if weight else 0.0, weight)


class TargetSpeeds:
    """Estimates how much longer tasks take on a target than on an average one.

    A target is known by the address of its agent, since its VM outlives it. The time of
    an update is bounded: a task's duration is compared with those of the other tasks of
    its step, corrected by the present estimates for their targets, and running tasks
    are compared again with each report.

    Parameters
    ----------
    learns_ranges : bool, default=False
        Whether estimates with uncertainty are kept as well.

    Attributes
    ----------
    ranges : SpeedRanges or None
    levels : SpeedLevels or None
        Speeds by which units are placed; None while placement by speeds does not apply.
    """

    def __init__(self, learns_ranges: bool = False) -> None:
        self._steps: OrderedDict[tuple[str, int], _StepDurations] = OrderedDict()
        self._targets: dict[str, _TargetComparisons] = {}
        self.ranges = SpeedRanges() if learns_ranges else None
        self.levels: SpeedLevels | None = None

    def slowness(self, agent: str) -> float:
        """Return how much longer tasks take on a target, as a factor; 1 if unknown."""
        if self.levels is not None and self.ranges is not None:
            return math.exp(self.ranges.range_of(agent).log_slowness)
        known = self._targets.get(agent)
        return math.exp(known.log_slowness) if known is not None else 1.0

    def observe(
        self, step: tuple[str, int], task: int, agent: str, duration_s: float
    ) -> None:
        """Process the measured duration of a task; a later one replaces it.

        Parameters
        ----------
        step : tuple of (str, int)
            Id of the job, and index of the step in it.
        task : int
            Index of the task in its step.
        agent : str
        duration_s : float
        """
        if self.ranges is not None:
            self.ranges.observe(step, task, agent, duration_s)
        durations = self._steps.pop(step, None) or _StepDurations()
        self._steps[step] = durations
        if len(self._steps) > MAX_STEPS:
            self._steps.popitem(last=False)
        is_first = durations.get(task) is None
        measured = log_duration(duration_s)
        average = measured - self._target(agent).log_slowness
        durations.update(task, _TaskDuration(agent, measured, average))
        self._compare(step, durations, task)
        if is_first:
            for other in durations.latest_tasks():
                self._compare(step, durations, other)

    def _target(self, agent: str) -> _TargetComparisons:
        return self._targets.setdefault(agent, _TargetComparisons())

    def _compare(
        self, step: tuple[str, int], durations: _StepDurations, task: int
    ) -> None:
        """Compare a task with the others of its step, if there are any."""
        count, mean = durations.others(task)
        if not count:
            return
        duration = durations.get(task)
        target = self._target(duration.agent)
        difference = duration.log_measured - mean
        difference = min(MAX_DIFFERENCE, max(-MAX_DIFFERENCE, difference))
        # The mean of few tasks is itself uncertain.
        target.update((*step, task), difference, count / (count + 1))
        average = duration.log_measured - target.log_slowness
        durations.update(task, duration._replace(log_average=average))

    def estimates(self) -> dict[str, SpeedEstimate]:
        """Return the estimates for the targets known best, by their agents."""
        estimates = {
            agent: target.estimate()
            for agent, target in self._targets.items()
            if target.log_slowness
        }
        by_weight = sorted(estimates.items(), key=lambda item: -item[1].weight)
        if self.ranges is None:
            return dict(by_weight[:MAX_STORED_ESTIMATES])
        stored = dict(by_weight[: MAX_STORED_ESTIMATES // 2])
        for agent, estimate in self.ranges.estimates(MAX_STORED_ESTIMATES // 2).items():
            stored[RANGE_PREFIX + agent] = SpeedEstimate(*estimate)
        return stored

    def restore(self, estimates: dict[str, SpeedEstimate]) -> None:
        """Take over an earlier holder's estimates, which are forgotten first."""
        if self.ranges is not None:
            self.ranges.restore(
                {
                    key.removeprefix(RANGE_PREFIX): estimate
                    for key, estimate in estimates.items()
                    if key.startswith(RANGE_PREFIX)
                }
            )
        for agent, (mean_difference, weight) in estimates.items():
            if agent.startswith(RANGE_PREFIX):
                continue
            target = self._targets[agent] = _TargetComparisons()
            target.update(RESTORED, mean_difference, min(weight, MAX_RESTORED_WEIGHT))

    def forget(self, agent: str) -> None:
        """Forget a target that another kind has replaced, or whose agent is removed."""
        self._targets.pop(agent, None)
        if self.ranges is not None:
            self.ranges.forget(agent)


def speed_class(slowness: float) -> int:
    """Return the rank of a target's speed; the fastest come first."""
    return round(math.log(slowness) / math.log(SPEED_CLASS_FACTOR))
