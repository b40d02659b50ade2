"""Placement by speed, where some targets are so slow that urgent work is late there.

Urgent units prefer fast targets, and units with slack the slowest ones on which they
are still on time. While the policy or the targets do not call for it, every function
returns what leaves placement as it is without this module.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cicadabank.scheduling.internal.speed_ranges import SpeedLevels
from cicadabank.scheduling.internal.speeds import speed_class
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import (
    SpeedKind,
    Target,
    rank_for_slack,
)
from cicadabank.scheduling.internal.units import Job, Unit
from cicadabank.scheduling.internal.valuation import (
    critical_path_s,
    slack_s,
    time_left_s,
)

# Placement by speeds begins once enough targets have a slowness above the least stretch
# with a probability of 90 % each.
CERTAIN_DEVIATIONS = 1.28
# From then on, a target is fast or slow if its slowness is below or above that stretch,
# divided by `FORECAST_MARGIN`, with a probability of 75 %. Without the margin, targets
# of 1.7 became unknown again whenever the average moved by a tenth. With 90 %, slow
# targets stayed unknown after one step of 40 tasks, since the mean speed of its 20
# targets is uncertain by 10 %.
KIND_DEVIATIONS = 0.67
# An estimate that is less certain does not distinguish targets of 0.7 and 1.7: tasks
# that ran on few, equally fast targets look alike however slow these are.
MAX_KNOWN_DEVIATION = 0.2
# A unit goes to a slow target if it would be on time there even if it took this much
# longer; forecasts have about this error.
FORECAST_MARGIN = 1.2
# A placement on which a unit is on time with a smaller probability counts as late.
MIN_ON_TIME_PROBABILITY = 0.5

# Probes begin once targets differ by this share of the squared stretch, in logarithms:
# wherever the average lies, some targets may then be slower than the stretch allows.
PROBE_DIFFERENCE_SHARE = 0.85

TargetRank = Callable[[Target], int]


class UnevenTargetsStatus(NamedTuple):
    """State of the placement by speeds, for operators.

    Attributes
    ----------
    enabled : bool
        Whether the policy asks for it.
    active : bool
        Whether it applies at present.
    reason : str
        Why it does or does not.
    stretch : float
        Slowness above which a target counts as slow; the least stretch of a queue.
    fast, unknown, slow : int
        Number of targets by the kind of their speed.
    open_probes : int
        Number of targets with a probe that has not been measured.
    """

    enabled: bool
    active: bool
    reason: str
    stretch: float
    fast: int
    unknown: int
    slow: int
    open_probes: int


def update_speeds(state: CellState, targets: list[Target]) -> None:
    """Update the speeds of usable targets, and whether placement by speeds applies."""
    speeds = state.speeds
    if speeds.ranges is not None:
        _update_levels(state)
    for target in targets:
        target.slowness = speeds.slowness(target.agent)
        target.speed_class = speed_class(target.slowness)
    state.probes.update(state, targets if needs_probes(state) else [])


def needs_probes(state: CellState) -> bool:
    """Return whether targets of unknown speed are to be measured.

    That is while placement by speeds applies, and before if the measured targets differ
    so much that it may have to.
    """
    speeds = state.speeds
    if speeds.ranges is None or speeds.levels is not None:
        return speeds.levels is not None
    least = PROBE_DIFFERENCE_SHARE * 2.0 * math.log(_least_stretch(state))
    return 0.0 < least <= speeds.ranges.widest_difference


def _update_levels(state: CellState) -> None:
    speeds = state.speeds
    stretch = _least_stretch(state)
    by_kind: dict[SpeedKind, list[float]] = {kind: [] for kind in SpeedKind}
    certainly_slow = 0
    for target in state.targets.values():
        estimate = speeds.ranges.range_of(target.agent)
        target.speed_kind = _speed_kind(*estimate, stretch)
        by_kind[target.speed_kind].append(estimate.log_slowness)
        certainly_slow += _is_certainly_slow(*estimate, stretch)
    fast, slow = by_kind[SpeedKind.FAST], by_kind[SpeedKind.SLOW]
    was_active = speeds.levels is not None
    # Once active, it stays so while one slow target is left, because targets come and
    # go.
    begins = certainly_slow >= max(1, state.policy.speeds.min_slow_targets)
    speeds.levels = None
    if slow and (was_active or begins):
        speeds.levels = SpeedLevels(
            math.exp(_mean(fast)),
            math.exp(_mean(slow)),
            len(fast) / len(fast + slow),
            {},
        )
    if (speeds.levels is not None) != was_active:
        state.log(
            "placement_by_speed",
            active=speeds.levels is not None,
            stretch=stretch,
            fast=len(fast),
            unknown=len(by_kind[SpeedKind.UNKNOWN]),
            slow=len(slow),
            certainly_slow=certainly_slow,
            min_slow=state.policy.speeds.min_slow_targets,
        )


def _speed_kind(log_slowness: float, deviation: float, stretch: float) -> SpeedKind:
    if deviation > MAX_KNOWN_DEVIATION:
        return SpeedKind.UNKNOWN
    limit = math.log(max(1.0, stretch / FORECAST_MARGIN))
    if log_slowness - KIND_DEVIATIONS * deviation > limit:
        return SpeedKind.SLOW
    if log_slowness + KIND_DEVIATIONS * deviation <= limit:
        return SpeedKind.FAST
    return SpeedKind.UNKNOWN


def _is_certainly_slow(log_slowness: float, deviation: float, stretch: float) -> bool:
    return (
        deviation <= MAX_KNOWN_DEVIATION
        and log_slowness - CERTAIN_DEVIATIONS * deviation > math.log(stretch)
    )


def _least_stretch(state: CellState) -> float:
    """Return the least stretch of the configured queues; at least 1."""
    return max(1.0, min((q.stretch for q in state.queues.values()), default=1.0))


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _max_slowness(state: CellState, levels: SpeedLevels, job: Job) -> float:
    """Return the slowness of targets up to which a job that starts now is on time."""
    # Many units of a job are placed in one round, and the path visits all of them.
    known = levels.max_slowness.get(job.record.job)
    if known is None:
        path_s = critical_path_s(state, job, remaining_only=True)
        known = time_left_s(state, job) / max(0.1, path_s)
        levels.max_slowness[job.record.job] = known
    return known


def needs_fast(state: CellState, unit: Unit) -> bool:
    """Return whether a unit is urgent, or on time on fast targets only."""
    levels = state.speeds.levels
    if levels is None:
        return False
    job = state.jobs[unit.job]
    if state.queue_of(job.record).priority == 0:
        return True
    limit = _max_slowness(state, levels, job)
    return levels.fast <= limit < levels.slow * FORECAST_MARGIN


def target_rank(state: CellState, unit: Unit) -> TargetRank | None:
    """Return a function that ranks targets for a unit, the preferred ones lowest.

    None if placement by speeds does not apply.
    """
    if state.speeds.levels is None:
        return state.probes.rank if state.probes.admits(state, unit) else None
    if needs_fast(state, unit):
        return _rank_for_urgent
    if state.probes.admits(state, unit):
        return state.probes.rank
    return rank_for_slack


def _rank_for_urgent(target: Target) -> int:
    return target.speed_kind


def is_late_on(state: CellState, unit: Unit, targets: Iterable[Target] | None) -> bool:
    """Return whether a unit would probably be late on targets, but not on fast ones.

    Also if there are no targets for it (None). False if placement by speeds does not
    apply.
    """
    if not needs_fast(state, unit):
        return False
    levels = state.speeds.levels
    limit = _max_slowness(state, levels, state.jobs[unit.job])
    if limit < levels.fast:
        return False
    if targets is None:
        return True
    probability = 1.0
    for target in {t.agent: t for t in targets}.values():
        if target.speed_kind is SpeedKind.UNKNOWN:
            probability *= levels.fast_share
        elif target.slowness > limit and target.speed_kind is SpeedKind.SLOW:
            return True
    return probability < MIN_ON_TIME_PROBABILITY


def fast_targets(targets: list[Target]) -> list[Target]:
    """Return the targets that are certainly fast."""
    return [target for target in targets if target.speed_kind is SpeedKind.FAST]


def worth_waiting_for(
    state: CellState, unit: Unit, targets: list[Target]
) -> list[Target]:
    """Return the targets that a waiting unit would use; fast ones if it needs these."""
    return fast_targets(targets) if is_late_on(state, unit, None) else targets


def best_slack_s(state: CellState, job: Job) -> float:
    """Return how long a job can wait for the fastest targets without being late."""
    levels = state.speeds.levels
    if levels is None:
        return slack_s(state, job)
    path_s = critical_path_s(state, job, remaining_only=True)
    return time_left_s(state, job) - levels.fast * path_s


def status(state: CellState) -> UnevenTargetsStatus:
    """Return the state of the placement by speeds, without changing anything."""
    policy, speeds = state.policy.speeds, state.speeds
    stretch = _least_stretch(state)
    counts = dict.fromkeys(SpeedKind, 0)
    certainly_slow = 0
    for target in state.targets.values():
        estimate = (0.0, math.inf)
        if speeds.ranges is not None:
            estimate = speeds.ranges.range_of(target.agent)
        counts[_speed_kind(*estimate, stretch)] += 1
        certainly_slow += _is_certainly_slow(*estimate, stretch)
    reason = "the policy does not enable it"
    if policy.enabled:
        reason = (
            f"{certainly_slow} targets are certainly slower than {stretch:g} times an"
        )
        reason += f" average one; needs {policy.min_slow_targets} to begin"
    return UnevenTargetsStatus(
        policy.enabled,
        speeds.levels is not None,
        reason,
        stretch,
        counts[SpeedKind.FAST],
        counts[SpeedKind.UNKNOWN],
        counts[SpeedKind.SLOW],
        state.probes.open_count(state) if needs_probes(state) else 0,
    )
