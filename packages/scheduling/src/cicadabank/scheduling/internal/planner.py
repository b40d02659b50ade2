"""Planning: which units start next, on which targets, and which units they preempt."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling.internal import reliability, uneven_targets
from cicadabank.scheduling.internal.claims import claim, commit_ready_claims
from cicadabank.scheduling.internal.crashes import is_suspect
from cicadabank.scheduling.internal.feasibility import fail_infeasible_jobs
from cicadabank.scheduling.internal.guarantees import guaranteed_units
from cicadabank.scheduling.internal.headroom import Headroom
from cicadabank.scheduling.internal.isolation import Isolation, place_suspects
from cicadabank.scheduling.internal.jobs import core_equivalents
from cicadabank.scheduling.internal.placement import Placement
from cicadabank.scheduling.internal.reservations import Reservations
from cicadabank.scheduling.internal.selection import (
    choose_targets,
    place_like,
)
from cicadabank.scheduling.internal.shares import update_shares, weigh_indices
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Job, Phase, Unit
from cicadabank.scheduling.internal.valuation import age_s, atc_index, slack_s

# Placement starts once this share of the known agents has reported; the others may have
# been removed.
MIN_REPORTED_SHARE = 0.9
# While a smaller share of the cell's resources is in use, a job of which nothing runs
# is not held back for urgent jobs.
IDLE_CELL_SHARE = 0.5
# A job's row, with the target of each task that runs, has to fit into the store.
MAX_RUNNING_TASKS_OF_JOB = 1500


class PlanningRound(NamedTuple):
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
    isolation: Isolation
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
    commit_ready_claims(state)
    if state.now_s - state.taken_over_s > state.timings.infeasible_after_s:
        fail_infeasible_jobs(state)
    update_shares(state)
    waiting = _ready_units(state)
    if not waiting:
        return
    guaranteed = guaranteed_units(state)
    atc_index_by_job = {
        job: atc_index(state, state.jobs[job])
        for job in {unit.job for unit in waiting if id(unit) not in guaranteed}
    }
    atc_index_by_job = weigh_indices(state, atc_index_by_job)
    waiting.sort(
        key=lambda unit: _sort_key(
            state, unit, id(unit) in guaranteed, atc_index_by_job
        )
    )
    targets = usable_targets(state)
    uneven_targets.update_speeds(state, targets)
    for target in targets:
        target.incident_class = reliability.incident_class(state, target.agent)
    is_idle = _is_cell_idle(state)
    planning = PlanningRound(
        state,
        targets,
        guaranteed,
        Reservations(state),
        Headroom(state, targets),
        Isolation(state, targets, is_idle),
        is_idle,
    )
    place_suspects(planning, [u for u in waiting if is_suspect(u)])
    _place_units(planning, [u for u in waiting if planning.isolation.may_share(u)])


def _place_units(planning: PlanningRound, waiting: list[Unit]) -> None:
    """Place units beside others, most urgent first."""
    state, reservations = planning.state, planning.reservations
    blocked: set[tuple[str, int, bool, bool]] = set()
    previous: tuple[tuple[str, int, bool, bool], Placement] | None = None
    for unit in waiting:
        # The tasks of a step are interchangeable: if one cannot start in this round,
        # none of the others can, unless they may use other targets.
        is_guaranteed = id(unit) in planning.guaranteed
        avoids = reliability.avoids_failing_targets(state, unit)
        task_group = (unit.job, unit.step, is_guaranteed, avoids)
        if task_group in blocked:
            continue
        if not planning.may_start(unit):
            blocked.add(task_group)
            _log_held_back(state, unit, planning.headroom)
            continue
        targets = planning.targets
        if avoids:
            targets = reliability.without_failing(state, unit, targets)
        placement = None
        if previous is not None and previous[0] == task_group:
            placement = place_like(state, unit, previous[1], reservations)
        if placement is None:
            placement = choose_targets(
                state,
                unit,
                reservations.available_to(unit, targets),
                planning.guaranteed,
                reservations,
            )
        if placement is not None:
            previous = (task_group, placement)
            planning.headroom.record_placement(unit)
            state.probes.on_placed(state, unit, placement.targets)
            claim(state, unit, placement, is_guaranteed)
            reservations.on_claimed()
            continue
        blocked.add(task_group)
        if reservations.can_reserve(planning.targets):
            preferred = uneven_targets.worth_waiting_for(state, unit, targets)
            reservations.reserve(unit, targets, preferred)


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
    step of unknown duration, and tasks that measure the speeds of targets.
    """
    job = state.jobs[unit.job]
    if id(unit) in guaranteed or state.queue_of(job.record).priority == 0:
        return True
    if state.probes.admits(state, unit) or headroom.admits(unit, slack_s(state, job)):
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
    targets = state.targets.values()
    return [target for target in targets if not unusable_reason(state, target)]


def unusable_reason(state: CellState, target: Target) -> str:
    """Return why a target gets no new tasks, or an empty string."""
    if not target.observed:
        return "its runs are not known yet"
    if target.draining:
        return "draining"
    if target.leaving:
        return "its agent is leaving"
    if target.unhealthy:
        return "unhealthy"
    if target.domain in state.domains_out:
        return "its failure domain is out of service"
    if target.quarantined_until_s > state.now_s:
        return "quarantined after failed runs"
    if target.last_report_s < state.now_s - state.timings.silent_after_s:
        return "silent"
    return "withheld by the scheduler" if target.is_unreachable else ""


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


def _sort_key(
    state: CellState, unit: Unit, guaranteed: bool, atc_index_by_job: dict[str, float]
) -> tuple:
    """Return a key that sorts guaranteed units first, by the age of their jobs.

    Other units follow in descending order of their jobs' ATC indices, multiplied by the
    factors of their workspaces where fair shares apply.
    """
    accepted_s = state.jobs[unit.job].record.accepted_s
    if guaranteed:
        return (0, accepted_s, unit.step, unit.first_index)
    return (1, -atc_index_by_job[unit.job], accepted_s, unit.first_index)
