"""Selection of targets for a unit, and of units to preempt for it."""

from __future__ import annotations

from collections import defaultdict

from cicadabank.scheduling.internal import uneven_targets
from cicadabank.scheduling.internal.crashes import stays_alone
from cicadabank.scheduling.internal.placement import (
    Placement,
    Victim,
    find_placement,
    find_placement_with_preemption,
)
from cicadabank.scheduling.internal.reservations import Reservations
from cicadabank.scheduling.internal.shares import protected_workspaces
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import SpeedKind, Target, fits
from cicadabank.scheduling.internal.units import Job, Phase, Unit
from cicadabank.scheduling.internal.valuation import (
    LATE_VALUE_SHARE,
    age_s,
    job_value,
    slack_s,
    waste_cost_per_core_s,
)

# Work is only preempted if the gain exceeds its cost by this factor, because forecasts
# are inaccurate.
MIN_GAIN_RATIO = 1.5
# Time after its acceptance up to which a guaranteed job waits for resources to be
# released; if that would take longer, other units are preempted for it. Such a job must
# start within 2.7 s, including the time for the stops.
GUARANTEED_WAIT_S = 1.0
# Typical error of the forecast of when resources are released, as a factor.
WAIT_ERROR_FACTOR = 1.5
# A unit is placed on remote racks, where it runs three times as long, only if it would
# otherwise wait for this multiple of its duration. The ratio exceeds three because a
# remote run also occupies its resources for longer.
REMOTE_WAIT_RATIO = 6.0
# Time wasted by a stop in addition to unsaved work: stopping and restoring.
RESTART_COST_S = 0.5
# Counted as the waste of stopping a unit that runs alone until it ends, so that it is
# preempted only if nothing else makes room. After three crashes, two starts are left.
LAST_RESORT_WASTE_CORE_S = 1e9


def choose_targets(
    state: CellState,
    unit: Unit,
    targets: list[Target],
    guaranteed: set[int],
    reservations: Reservations,
) -> Placement | None:
    """Return targets for a unit, or None if it has to wait.

    Preempts other units for one that is guaranteed or that would otherwise be late.
    """
    job = state.jobs[unit.job]
    tasks_by_target = step_tasks_by_target(unit, job)
    urgent = state.queue_of(job.record).priority == 0
    rank = uneven_targets.target_rank(state, unit)
    placement = find_placement(
        unit, without_avoided(unit, targets), tasks_by_target, False, urgent, rank
    )
    if placement is None and unit.avoided_targets:
        placement = find_placement(unit, targets, tasks_by_target, False, urgent, rank)
    chosen = placement.targets if placement is not None else None
    if uneven_targets.is_late_on(state, unit, chosen):
        fast = uneven_targets.fast_targets(without_avoided(unit, targets))
        if _may_wait_for(state, unit, fast, guaranteed, reservations):
            return None
        on_fast = _choose_by_preemption(state, unit, fast, guaranteed, tasks_by_target)
        if on_fast is not None:
            return on_fast
    if placement is not None:
        return placement
    if id(unit) in guaranteed:
        if reservations.wait_s(unit, targets) < GUARANTEED_WAIT_S - age_s(state, job):
            return None
        victims = preemptible_units(state, guaranteed, -1)
        return find_placement_with_preemption(
            unit, targets, victims, tasks_by_target, True
        )
    wait_s = reservations.wait_s(unit, targets)
    if wait_s * WAIT_ERROR_FACTOR <= slack_s(state, job):
        return None
    placement = _choose_by_preemption(state, unit, targets, guaranteed, tasks_by_target)
    # A remote placement is slower, but the unit may still end sooner than if it waited
    # for a local one.
    if placement is None and wait_s > REMOTE_WAIT_RATIO * state.expected_s(unit):
        placement = find_placement(unit, targets, tasks_by_target, True, urgent, rank)
    return placement


def _may_wait_for(
    state: CellState,
    unit: Unit,
    fast: list[Target],
    guaranteed: set[int],
    reservations: Reservations,
) -> bool:
    """Return whether a unit is on time if it waits until fast targets are released."""
    job = state.jobs[unit.job]
    limit_s = uneven_targets.best_slack_s(state, job) / WAIT_ERROR_FACTOR
    if id(unit) in guaranteed:
        limit_s = min(limit_s, GUARANTEED_WAIT_S - age_s(state, job))
    return reservations.wait_s(unit, fast, fast_only=True) < limit_s


def place_like(
    state: CellState, unit: Unit, previous: Placement, reservations: Reservations
) -> Placement | None:
    """Place a single task on the target of the one before, of the same step.

    That target came first in the order of packing and now has less free still, so that
    a search would find it again. Returns None if a search is needed.
    """
    if unit.size > 1 or unit.avoided_targets or previous.victims:
        return None
    (target,) = previous.targets
    if not previous.local or not fits(unit.spec.need, target.free):
        return None
    if state.probes.admits(state, unit) or (
        state.speeds.levels is not None and target.speed_kind is SpeedKind.UNKNOWN
    ):
        return None
    if not reservations.available_to(unit, [target]):
        return None
    if unit.spec.per_target:
        tasks_by_target = step_tasks_by_target(unit, state.jobs[unit.job])
        running = tasks_by_target.get(target.target_incarnation.target, 0)
        if running >= unit.spec.per_target:
            return None
    return Placement([target], [], True)


def _choose_by_preemption(
    state: CellState,
    unit: Unit,
    targets: list[Target],
    guaranteed: set[int],
    tasks_by_target: dict[str, int],
) -> Placement | None:
    """Select targets by preempting less urgent units, if the gain is worth it."""
    job = state.jobs[unit.job]
    if uneven_targets.best_slack_s(state, job) < 0:
        return None
    victims = preemptible_units(
        state,
        guaranteed,
        state.queue_of(job.record).priority,
        protected_workspaces(state, job.record.workspace),
    )
    placement = find_placement_with_preemption(
        unit, targets, victims, tasks_by_target, False
    )
    # Stopping work gains little for a unit that is probably late even so.
    if placement is None or uneven_targets.is_late_on(state, unit, placement.targets):
        return None
    waiting = sum(1 for other in job.units if other.phase is Phase.WAITING)
    gain = job_value(state, job) * (1.0 - LATE_VALUE_SHARE) / waiting
    if placement.waste_core_s * waste_cost_per_core_s(state) * MIN_GAIN_RATIO > gain:
        return None
    return placement


def preemptible_units(
    state: CellState,
    guaranteed: set[int],
    preemptor_priority: int,
    protected: frozenset[str] = frozenset(),
) -> dict[str, list[Victim]]:
    """Return the units that may be preempted, by target.

    These are units without a guarantee whose priority number is higher, and so less
    urgent, than `preemptor_priority`, unless their workspace is `protected`.
    """
    found: dict[str, list[Victim]] = defaultdict(list)
    for unit in state.running_units():
        record = state.jobs[unit.job].record
        priority = state.queue_of(record).priority
        if id(unit) in guaranteed or priority <= preemptor_priority:
            continue
        if record.workspace in protected:
            continue
        wasted_s = unit.unsaved_s(state.now_s) + RESTART_COST_S
        waste_core_s = unit.core_equivalents * wasted_s
        if stays_alone(unit):
            waste_core_s += LAST_RESORT_WASTE_CORE_S
        victim = Victim(unit, waste_core_s)
        for target in {
            m.target_incarnation.target for m in unit.members if not m.released
        }:
            found[target].append(victim)
    return found


def step_tasks_by_target(unit: Unit, job: Job) -> dict[str, int]:
    """Count the tasks of other units of a unit's step on each target."""
    counts: dict[str, int] = defaultdict(int)
    if unit.spec.per_target:
        for other in job.units:
            if other is not unit and other.step == unit.step:
                for member in other.members:
                    if not member.released:
                        counts[member.target_incarnation.target] += 1
    return counts


def without_avoided(unit: Unit, targets: list[Target]) -> list[Target]:
    """Return the targets that a unit does not avoid, see `Unit.avoided_targets`."""
    if not unit.avoided_targets:
        return targets
    return [
        target
        for target in targets
        if target.target_incarnation.target not in unit.avoided_targets
    ]
