"""Planning: which units start next, on which targets, and which units they preempt."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import NamedTuple

from cicadabank.scheduling.internal import crashes, lifecycle
from cicadabank.scheduling.internal.headroom import Headroom
from cicadabank.scheduling.internal.jobs import (
    StepSpec,
    core_equivalents,
)
from cicadabank.scheduling.internal.placement import (
    Placement,
    Victim,
    find_placement,
    find_placement_with_preemption,
    infeasible_reason,
)
from cicadabank.scheduling.internal.reservations import Reservations
from cicadabank.scheduling.internal.speeds import speed_class
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import AbsentTarget, Target, fits
from cicadabank.scheduling.internal.units import (
    Job,
    Phase,
    Unit,
)

# Value of a job that ends on time, by the priority of its queue.
VALUE_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}
DEFAULT_VALUE = 1.0
# Share of its value that a job keeps if it ends late.
LATE_VALUE_SHARE = 0.25
# A job's value is scaled by this share plus a part proportional to its work relative to
# the mean of its queue, up to a maximum factor.
BASE_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0
# Cost of a wasted core-second, relative to the mean value of a useful one. A ratio fits
# all installations: it varies between them only from 1.33 to 1.54, whereas the mean
# value of a core-second varies by a factor of three.
WASTE_COST_RATIO = 1.45
# Prior of the mean job value per core-second, and its weight: it counts as much as
# observed jobs with this total value, which is a few minutes of typical traffic.
PRIOR_VALUE_PER_CORE_S = 0.0025
PRIOR_TOTAL_VALUE = 40.0
# Work is only preempted if the gain exceeds its cost by this factor, because forecasts
# are inaccurate.
MIN_GAIN_RATIO = 1.5
# Placement starts once this share of the known agents has reported; the others may have
# been removed.
MIN_REPORTED_SHARE = 0.9
# A step with more tasks than this share of the number that fits into the cell at a time
# is expected to run in several waves.
WAVE_SHARE = 0.25
# Time after its acceptance up to which a guaranteed job waits for resources to be
# released; if that would take longer, other units are preempted for it. Such a job must
# start within 2.7 s, including the time for the stops.
GUARANTEED_WAIT_S = 1.0
# Typical error of the forecast of when resources are released, as a factor.
WAIT_ERROR_FACTOR = 1.5
# Time constant with which a job's ATC index falls as its slack grows; about the mean
# time between two starts.
SLACK_DECAY_S = 8.0
# A unit is placed on remote racks, where it runs three times as long, only if it would
# otherwise wait for this multiple of its duration. The ratio exceeds three because a
# remote run also occupies its resources for longer.
REMOTE_WAIT_RATIO = 6.0
# Time wasted by a stop in addition to unsaved work: stopping and restoring.
RESTART_COST_S = 0.5
# While a smaller share of the cell's resources is in use, a job of which nothing runs
# is not held back for urgent jobs.
IDLE_CELL_SHARE = 0.5
# A job's row, with the target of each task that runs, has to fit into the store.
MAX_RUNNING_TASKS_OF_JOB = 1500
# A target that is away for no longer than this is likely to come back, so a job that
# only lacks it is not infeasible.
ABSENT_TARGET_RETENTION_S = 30.0


class _PlanningRound(NamedTuple):
    """State of one planning round.

    Attributes
    ----------
    targets : list of Target
        Targets that currently accept new tasks.
    guaranteed : set of int
        Identities of the units covered by a guarantee.
    is_idle : bool
        Whether the cell is mostly idle.
    """

    state: CellState
    targets: list[Target]
    guaranteed: set[int]
    reservations: Reservations
    headroom: Headroom
    isolation: crashes.Isolation
    is_idle: bool

    def may_start(self, unit: Unit) -> bool:
        """Return whether a unit may start now, and need not wait for urgent jobs."""
        if self.is_idle and _has_nothing_started(self.state.jobs[unit.job]):
            return True
        return _may_start(self.state, unit, self.guaranteed, self.headroom)


def plan(state: CellState) -> None:
    """Place ready units, most urgent first, and commit claims that can start."""
    if state.fenced or state.stopping or not state.loaded or _awaiting_reports(state):
        return
    _commit_ready_claims(state)
    if state.now_s - state.taken_over_s > state.timings.infeasible_after_s:
        _fail_infeasible_jobs(state)
    waiting = _ready_units(state)
    if not waiting:
        return
    guaranteed = guaranteed_units(state)
    atc_index_by_job = {
        job: _atc_index(state, state.jobs[job])
        for job in {unit.job for unit in waiting}
    }
    waiting.sort(
        key=lambda unit: _sort_key(
            state, unit, id(unit) in guaranteed, atc_index_by_job
        )
    )
    targets = usable_targets(state)
    for target in targets:
        target.slowness = state.speeds.slowness(target.agent)
        target.speed_class = speed_class(target.slowness)
    is_idle = _is_cell_idle(state)
    planning = _PlanningRound(
        state,
        targets,
        guaranteed,
        Reservations(state),
        Headroom(state, targets),
        crashes.Isolation(state, targets, is_idle),
        is_idle,
    )
    _place_suspects(planning, [u for u in waiting if crashes.is_suspect(u)])
    _place_units(planning, [u for u in waiting if not planning.isolation.holds_back(u)])


def _place_suspects(planning: _PlanningRound, suspects: list[Unit]) -> None:
    """Place suspects alone on targets, or reserve targets that will be empty."""
    for unit in suspects:
        planning.isolation.hold_back_step(unit)
    blocked: set[tuple[str, int]] = set()
    for unit in suspects:
        if (unit.job, unit.step) in blocked or not planning.isolation.admits(unit):
            continue
        if planning.may_start(unit) and _place_alone(planning, unit):
            planning.isolation.add(unit)
        else:
            blocked.add((unit.job, unit.step))


def _place_units(planning: _PlanningRound, waiting: list[Unit]) -> None:
    """Place units beside others, most urgent first."""
    state, reservations = planning.state, planning.reservations
    blocked: set[tuple[str, int, bool]] = set()
    previous: tuple[tuple[str, int, bool], Placement] | None = None
    for unit in waiting:
        # The tasks of a step are interchangeable: if one cannot start in this round,
        # none of the others can.
        is_guaranteed = id(unit) in planning.guaranteed
        task_group = (unit.job, unit.step, is_guaranteed)
        if task_group in blocked:
            continue
        if not planning.may_start(unit):
            blocked.add(task_group)
            _log_held_back(state, unit, planning.headroom)
            continue
        placement = None
        if previous is not None and previous[0] == task_group:
            placement = _place_like(state, unit, previous[1], reservations)
        if placement is None:
            placement = _choose_targets(
                state,
                unit,
                reservations.available_to(unit, planning.targets),
                planning.guaranteed,
                reservations,
            )
        if placement is not None:
            previous = (task_group, placement)
            planning.headroom.record_placement(unit)
            _claim(state, unit, placement, is_guaranteed)
            reservations.on_claimed()
            continue
        blocked.add(task_group)
        if reservations.can_reserve(planning.targets):
            reservations.reserve(unit, planning.targets)


def _place_alone(planning: _PlanningRound, unit: Unit) -> bool:
    """Place a suspect on empty targets, or reserve those that will be empty first.

    Returns False if there are no such targets, or none are sought in this round.
    """
    state, reservations = planning.state, planning.reservations
    tasks_by_target = _step_tasks_by_target(unit, state.jobs[unit.job])
    empty = crashes.empty_targets(reservations.available_to(unit, planning.targets))
    placement = find_placement(
        unit, _without_avoided(unit, empty), tasks_by_target, False
    )
    if placement is None:
        if not reservations.can_reserve_empty():
            return False
        # A crash on another VM is better evidence, so a suspect waits for one.
        if reservations.reserve_empty(unit, _without_avoided(unit, planning.targets)):
            return True
        placement = find_placement(unit, empty, tasks_by_target, False)
    if placement is None:
        if reservations.reserve_empty(unit, planning.targets):
            return True
        placement = find_placement(unit, empty, tasks_by_target, True)
    if placement is None:
        return False
    planning.headroom.record_placement(unit)
    _claim(state, unit, placement, False, isolated=True)
    reservations.on_claimed()
    return True


def _is_cell_idle(state: CellState) -> bool:
    """Return whether less than `IDLE_CELL_SHARE` of the cell's resources is used.

    Targets that accept no tasks count as well.
    """
    targets = state.targets.values()
    used = sum(core_equivalents(target.allocated) for target in targets)
    total = sum(core_equivalents(target.capacity) for target in targets)
    return used < IDLE_CELL_SHARE * total


def _has_nothing_started(job: Job) -> bool:
    return all(unit.phase in (Phase.WAITING, Phase.DONE) for unit in job.units)


def _awaiting_reports(state: CellState) -> bool:
    """Return whether most agents have still to report after a takeover.

    Placing earlier would crowd the few targets known so far and preempt work there.
    """
    if state.now_s - state.loaded_s >= state.timings.report_wait_s:
        return False
    return len(state.targets) < MIN_REPORTED_SHARE * len(state.last_contact_attempt_s)


def _may_start(
    state: CellState, unit: Unit, guaranteed: set[int], headroom: Headroom
) -> bool:
    """Return whether a unit may start now, and not wait so that urgent jobs have room.

    Urgent work may, and work that leaves enough headroom. So may one small task of a
    step of unknown duration.
    """
    job = state.jobs[unit.job]
    if id(unit) in guaranteed or state.queue_of(job.record).priority == 0:
        return True
    if headroom.admits(unit, slack_s(state, job)):
        return True
    return headroom.admits_probe(unit) and _has_no_probe(job, unit.step)


def _has_no_probe(job: Job, step: int) -> bool:
    """Return whether no task of a step has been measured or is about to be."""
    if step in job.measured_by_step:
        return False
    return all(u.phase is Phase.WAITING for u in job.units if u.step == step)


def _log_held_back(state: CellState, unit: Unit, headroom: Headroom) -> None:
    """Log that a step waits for headroom, once until one of its units is placed."""
    job = state.jobs[unit.job]
    if unit.step in job.held_back_steps:
        return
    job.held_back_steps.add(unit.step)
    state.log(
        "unit_held_back",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        waited_s=round(age_s(state, job), 3),
        slack_s=round(slack_s(state, job), 3),
        free=headroom.free,
        headroom=headroom.size,
    )


def usable_targets(state: CellState) -> list[Target]:
    """Return the targets that currently accept new tasks."""
    oldest_s = state.now_s - state.timings.silent_after_s
    return [
        target
        for target in state.targets.values()
        if target.observed
        and target.last_report_s >= oldest_s
        and not (target.draining or target.leaving or target.unhealthy)
        and target.domain not in state.domains_out
        and target.quarantined_until_s <= state.now_s
    ]


def _ready_units(state: CellState) -> list[Unit]:
    ready = []
    unexpected = state.tasks_with_unexpected_runs()
    for job in list(state.open_jobs.values()):
        if job.cancelled or job.reason:
            continue
        done = job.done_steps()
        room = MAX_RUNNING_TASKS_OF_JOB - _placed_tasks(job)
        for unit in job.units:
            if unit.phase is not Phase.WAITING or not done.issuperset(unit.spec.after):
                continue
            if unexpected and not unexpected.isdisjoint(unit.tasks()):
                continue
            # A gang that is larger still runs if nothing else of its job does.
            if unit.size <= room or room == MAX_RUNNING_TASKS_OF_JOB:
                ready.append(unit)
                room -= unit.size
    return ready


def _placed_tasks(job: Job) -> int:
    """Return how many tasks of a job run, or are about to."""
    idle = (Phase.WAITING, Phase.DONE)
    return sum(unit.size for unit in job.units if unit.phase not in idle)


def guaranteed_units(state: CellState) -> set[int]:
    """Return the units covered by their workspace's guarantee, oldest jobs first.

    Returns
    -------
    set of int
        Identities (``id``) of the units.
    """
    remaining = dict(state.guarantees)
    guaranteed: set[int] = set()
    jobs = [
        job
        for job in state.open_jobs.values()
        if not (job.cancelled or job.reason)
        and state.queue_of(job.record).priority == 0
    ]
    for job in sorted(jobs, key=lambda j: j.record.accepted_s):
        done = job.done_steps()
        for unit in job.units:
            available = remaining.get(job.record.workspace, 0)
            if unit.phase is Phase.DONE or not done.issuperset(unit.spec.after):
                continue
            if 0 < unit.accelerators <= available:
                remaining[job.record.workspace] = available - unit.accelerators
                guaranteed.add(id(unit))
    return guaranteed


def relative_deadline_s(state: CellState, job: Job) -> float:
    """Return the time after its acceptance within which a job is on time."""
    queue = state.queue_of(job.record)
    return queue.stretch * critical_path_s(state, job) + queue.latency_s


def critical_path_s(state: CellState, job: Job, remaining_only: bool = False) -> float:
    """Return the expected duration of a job's critical path, in seconds.

    Parameters
    ----------
    state : CellState
    job : Job
    remaining_only : bool, default=False
        Whether to skip steps that are done.
    """
    done = job.done_steps() if remaining_only else set()
    ends: list[float] = []
    for index, step in enumerate(job.record.steps):
        before = max((ends[after] for after in step.after), default=0.0)
        step_s = state.expected_step_s(job, index)
        remaining_s = 0.0 if index in done else step_s * wave_count(state, step)
        ends.append(before + remaining_s)
    return max(ends, default=0.0)


def wave_count(state: CellState, step: StepSpec) -> int:
    """Return the expected number of successive waves of a step's tasks."""
    if step.gang or not state.targets:
        return 1
    max_running = state.max_running(step.need)
    return max(1, math.ceil(step.count / max(1.0, max_running * WAVE_SHARE)))


def slack_s(state: CellState, job: Job) -> float:
    """Return how long a job can still wait without being late; negative if it is."""
    remaining_s = relative_deadline_s(state, job) - age_s(state, job)
    return remaining_s - critical_path_s(state, job, remaining_only=True)


def age_s(state: CellState, job: Job) -> float:
    """Return the time since a job was accepted, in seconds."""
    return state.store_now_s - job.record.accepted_s


def _sort_key(
    state: CellState, unit: Unit, guaranteed: bool, atc_index_by_job: dict[str, float]
) -> tuple:
    """Return a key that sorts guaranteed units first, by the age of their jobs.

    Other units follow in descending order of their jobs' ATC indices.
    """
    accepted_s = state.jobs[unit.job].record.accepted_s
    if guaranteed:
        return (0, accepted_s, unit.step, unit.first_index)
    return (1, -atc_index_by_job[unit.job], accepted_s, unit.first_index)


def _atc_index(state: CellState, job: Job) -> float:
    """Return a job's priority index by the apparent tardiness cost (ATC) rule.

    The index is the job's value per core-second of work. It falls exponentially as the
    remaining slack grows.
    """
    slack = slack_s(state, job)
    value = job_value(state, job) * (LATE_VALUE_SHARE if slack < 0 else 1.0)
    cost = max(1.0, work_core_s(state, job))
    return value / cost * math.exp(-max(0.0, slack) / SLACK_DECAY_S)


def work_core_s(state: CellState, job: Job) -> float:
    """Return the expected work of a job; an accelerator counts as eight cores."""
    return sum(
        unit.core_equivalents * state.expected_step_s(job, unit.step)
        for unit in job.units
    )


def waste_cost_per_core_s(state: CellState) -> float:
    """Return the cost of a wasted core-second, in units of job value.

    Estimated from the value and work of the jobs seen so far, combined with a prior.
    """
    value, work = PRIOR_TOTAL_VALUE, PRIOR_TOTAL_VALUE / PRIOR_VALUE_PER_CORE_S
    for name, (count, mean) in state.mean_work.items():
        queue = state.queues.get(name)
        priority = queue.priority if queue else len(VALUE_BY_PRIORITY)
        value += count * VALUE_BY_PRIORITY.get(priority, DEFAULT_VALUE)
        work += count * mean
    return WASTE_COST_RATIO * value / work


def job_value(state: CellState, job: Job) -> float:
    """Return the value of a job that ends on time."""
    queue = state.queue_of(job.record)
    _, mean = state.mean_work.get(job.record.queue, (0, 0.0))
    size = work_core_s(state, job) / mean if mean > 0 else 1.0
    share = BASE_VALUE_SHARE + (1.0 - BASE_VALUE_SHARE) * size
    value = VALUE_BY_PRIORITY.get(queue.priority, DEFAULT_VALUE)
    return value * min(MAX_VALUE_FACTOR, share)


def _step_tasks_by_target(unit: Unit, job: Job) -> dict[str, int]:
    """Count the tasks of other units of a unit's step on each target."""
    counts: dict[str, int] = defaultdict(int)
    if unit.spec.per_target:
        for other in job.units:
            if other is not unit and other.step == unit.step:
                for member in other.members:
                    if not member.released:
                        counts[member.target_incarnation.target] += 1
    return counts


def _without_avoided(unit: Unit, targets: list[Target]) -> list[Target]:
    """Return the targets that a unit does not avoid, see `Unit.avoided_targets`."""
    if not unit.avoided_targets:
        return targets
    return [
        target
        for target in targets
        if target.target_incarnation.target not in unit.avoided_targets
    ]


def _choose_targets(
    state: CellState,
    unit: Unit,
    targets: list[Target],
    guaranteed: set[int],
    reservations: Reservations,
) -> Placement | None:
    job = state.jobs[unit.job]
    tasks_by_target = _step_tasks_by_target(unit, job)
    urgent = state.queue_of(job.record).priority == 0
    placement = find_placement(
        unit, _without_avoided(unit, targets), tasks_by_target, False, urgent
    )
    if placement is None and unit.avoided_targets:
        placement = find_placement(unit, targets, tasks_by_target, False, urgent)
    if placement is not None:
        return placement
    if id(unit) in guaranteed:
        if reservations.wait_s(unit, targets) < GUARANTEED_WAIT_S - age_s(state, job):
            return None
        victims = _preemptible_units(state, guaranteed, -1)
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
        placement = find_placement(unit, targets, tasks_by_target, True, urgent)
    return placement


def _place_like(
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
    if not reservations.available_to(unit, [target]):
        return None
    if unit.spec.per_target:
        tasks_by_target = _step_tasks_by_target(unit, state.jobs[unit.job])
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
    if slack_s(state, job) < 0:
        return None
    victims = _preemptible_units(state, guaranteed, state.queue_of(job.record).priority)
    placement = find_placement_with_preemption(
        unit, targets, victims, tasks_by_target, False
    )
    if placement is None:
        return None
    waiting = sum(1 for other in job.units if other.phase is Phase.WAITING)
    gain = job_value(state, job) * (1.0 - LATE_VALUE_SHARE) / waiting
    if placement.waste_core_s * waste_cost_per_core_s(state) * MIN_GAIN_RATIO > gain:
        return None
    return placement


def _preemptible_units(
    state: CellState, guaranteed: set[int], preemptor_priority: int
) -> dict[str, list[Victim]]:
    """Return the units that may be preempted, by target.

    These are units without a guarantee whose priority number is higher, and so less
    urgent, than `preemptor_priority`.
    """
    found: dict[str, list[Victim]] = defaultdict(list)
    for unit in state.running_units():
        priority = state.queue_of(state.jobs[unit.job].record).priority
        if id(unit) in guaranteed or priority <= preemptor_priority:
            continue
        wasted_s = unit.unsaved_s(state.now_s) + RESTART_COST_S
        victim = Victim(unit, unit.core_equivalents * wasted_s)
        for target in {
            m.target_incarnation.target for m in unit.members if not m.released
        }:
            found[target].append(victim)
    return found


def _claim(
    state: CellState,
    unit: Unit,
    placement: Placement,
    guaranteed: bool,
    isolated: bool = False,
) -> None:
    """Claim targets for a unit; it starts once its victims have stopped."""
    state.assign_members(
        unit, [target.target_incarnation for target in placement.targets], isolated
    )
    unit.phase = Phase.CLAIMING
    job = state.jobs[unit.job]
    job.held_back_steps.discard(unit.step)
    state.log(
        "unit_placed",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        run=unit.run + 1,
        targets=[t.target_incarnation.target for t in placement.targets],
        near=placement.local,
        slowness=[round(target.slowness, 2) for target in placement.targets],
        entitled=guaranteed,
        alone=isolated,
        waited_s=round(age_s(state, job), 3),
        victims=[f"{v.job}/{v.step}/{v.first_index}" for v in placement.victims],
        config_version=state.config.version,
    )
    for victim in placement.victims:
        lifecycle.stop_unit(state, victim, "preempted")
    if not placement.victims:
        _commit_claim_if_ready(state, unit)


def _commit_ready_claims(state: CellState) -> None:
    for job in list(state.open_jobs.values()):
        for unit in job.units:
            if unit.phase is Phase.CLAIMING:
                _commit_claim_if_ready(state, unit)


def _commit_claim_if_ready(state: CellState, unit: Unit) -> None:
    """Commit a claimed unit once its targets have enough free resources for it.

    A target with another unit's exclusive task has none.

    Releases the claim if a target was lost, is draining, is in a domain that receives
    no new tasks, or has become too small.
    """
    targets = [
        state.targets_by_incarnation.get(member.target_incarnation)
        for member in unit.members
    ]
    if not all(_can_serve_claims(state, target) for target in targets):
        lifecycle.release_claim(state, unit)
        return
    if any(min(target.free) < 0 for target in targets):
        return
    if not all(target.exclusive_tasks <= unit.tasks() for target in targets):
        return
    unit.phase = Phase.COMMITTING
    unit.run += 1
    job = state.jobs[unit.job]
    if job.state == "pending":
        job.state = "running"
    state.mark_dirty(job)


def _can_serve_claims(state: CellState, target: Target | None) -> bool:
    """Return whether a target will have room for its claims after the current stops."""
    if target is None or target.draining or target.domain in state.domains_out:
        return False
    if min(target.free) >= 0:
        return True
    members = state.members_by_incarnation.get(target.target_incarnation, {})
    kept = [
        unit.spec.need
        for unit in members.values()
        if unit.phase not in (Phase.STOPPING, Phase.DONE) and not unit.stop_reason
    ]
    return all(
        sum(need[kind] for need in kept) <= limit
        for kind, limit in enumerate(target.capacity)
    )


def _targets_likely_to_return(state: CellState) -> list[AbsentTarget]:
    """Return the targets that have been absent for a short time only."""
    oldest_s = state.store_now_s - ABSENT_TARGET_RETENTION_S
    return [
        absent
        for absent in state.absent_targets.values()
        if absent.since_store_s >= oldest_s
    ]


def _fail_infeasible_jobs(state: CellState) -> None:
    """Fail pending jobs that none of the targets could ever run."""
    # An ended target is known without capacity until its next incarnation reports.
    present = [t.shape for t in state.targets.values() if any(t.largest_capacity)]
    if not present or len(present) < len(state.last_contact_attempt_s) / 2:
        return
    pending = [
        job
        for job in state.open_jobs.values()
        if job.state == "pending" and not (job.cancelled or job.reason)
    ]
    if not pending:
        return
    absent = [target.shape for target in _targets_likely_to_return(state)]
    if None in absent:
        # No holder has heard of that target yet, so it may be able to run any job.
        return
    shapes = [*present, *absent]
    for job in pending:
        for index, step in enumerate(job.record.steps):
            reason = infeasible_reason(step, shapes)
            if reason:
                lifecycle.fail_job(state, job, f"step {index}: {reason}")
                break
