"""Placement of suspects: units that may have crashed their targets.

A suspect with one unexplained crash prefers an empty target and otherwise shares one.
One with more starts on an empty target only. Isolation must not make a job have nothing
running for longer than it would without, so nothing waits for a suspect that waits, and
while the cell is mostly idle, such a wait is short.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cicadabank.scheduling.internal import reliability
from cicadabank.scheduling.internal.claims import claim
from cicadabank.scheduling.internal.crashes import (
    is_on_probation,
    is_running,
    is_suspect,
    isolated_units,
    needs_isolation,
    stays_alone,
)
from cicadabank.scheduling.internal.placement import (
    Placement,
    Victim,
    find_placement,
)
from cicadabank.scheduling.internal.selection import (
    preemptible_units,
    step_tasks_by_target,
    without_avoided,
)
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Phase, Unit

if TYPE_CHECKING:
    from cicadabank.scheduling.internal.planner import PlanningRound

# Share of the usable targets that suspects may occupy at a time, but at least one
# target. The larger share holds while the cell is mostly idle.
MAX_ISOLATED_SHARE = 0.1
MAX_ISOLATED_SHARE_IDLE = 0.5
# Longest wait for a target of its own of a suspect whose job has nothing running, in a
# cell that is mostly idle. Such a job must run again within 3 s, including its start.
MAX_WAIT_ALONE_S = 2.0


class IsolationStatus(NamedTuple):
    """Suspects of a cell.

    Attributes
    ----------
    suspects : int
        Units that have an unexplained crash, or run alone until they end.
    isolated : int
        Units that run, or are about to run, alone on their targets.
    on_probation : int
        Those of them for which the other units of their step wait.
    waiting_for_empty_target : int
        Waiting units that may start only on an empty target.
    """

    suspects: int
    isolated: int
    on_probation: int
    waiting_for_empty_target: int


def status(state: CellState) -> IsolationStatus:
    """Return how many units are suspects, and where they are."""
    suspects = [
        unit
        for job in state.open_jobs.values()
        for unit in job.units
        if unit.phase is not Phase.DONE and is_suspect(unit)
    ]
    isolated = isolated_units(state)
    return IsolationStatus(
        len(suspects),
        len(isolated),
        sum(is_on_probation(state, unit) for unit in isolated),
        sum(u.phase is Phase.WAITING and needs_isolation(u) for u in suspects),
    )


class Isolation:
    """Room for suspects in one planning round.

    Parameters
    ----------
    state : CellState
    targets : list of Target
        Targets that currently accept new tasks.
    is_idle : bool
        Whether the cell is mostly idle.
    """

    def __init__(self, state: CellState, targets: list[Target], is_idle: bool):
        share = MAX_ISOLATED_SHARE_IDLE if is_idle else MAX_ISOLATED_SHARE
        self._state = state
        self._limit = max(1, int(share * len(targets)))
        self._isolated_targets = 0
        self._jobs: set[str] = set()
        self._overdue: set[int] = set()  # identities of units
        self._steps_on_probation: set[tuple[str, int]] = set()
        for unit in isolated_units(state):
            self.add(unit)

    def add(self, unit: Unit) -> None:
        """Count a unit that runs alone on its targets, or has one reserved."""
        used = {member.target_incarnation for member in unit.members}
        self._isolated_targets += max(1, len(used))
        on_probation = is_on_probation(self._state, unit)
        if on_probation:
            self._steps_on_probation.add((unit.job, unit.step))
        # One whose agent is silent tells nothing for a while, so others need not wait.
        if on_probation or unit.phase is Phase.WAITING:
            self._jobs.add(unit.job)

    def admits(self, unit: Unit) -> bool:
        """Return whether another suspect may start now; one of each job at a time."""
        if unit.job in self._jobs:
            return False
        return self._isolated_targets < self._limit

    def add_overdue(self, unit: Unit) -> None:
        """Let a suspect that has waited for too long share a target in this round."""
        self._overdue.add(id(unit))

    def may_share(self, unit: Unit) -> bool:
        """Return whether a waiting unit may start beside others in this round.

        The tasks of a step run the same program, so they may all crash their targets.
        While one of them is on probation, the others wait for its outcome.
        """
        if unit.phase is not Phase.WAITING:
            return False
        if needs_isolation(unit) and id(unit) not in self._overdue:
            return False
        return (unit.job, unit.step) not in self._steps_on_probation


def empty_targets(targets: list[Target]) -> list[Target]:
    """Return the targets that have no task and no unexpected run."""
    return [t for t in targets if not t.allocations and not t.unexpected]


def place_suspects(planning: PlanningRound, suspects: list[Unit]) -> None:
    """Place suspects alone on targets, or reserve targets that will be empty.

    Those that find no empty target are left to be placed like other units if they need
    no isolation. After too long a wait, one with two crashes is too, and for one with
    more, targets are emptied: it is likely to crash them, and it has few starts left.
    """
    blocked: set[tuple[str, int, bool]] = set()
    for unit in suspects:
        task_group = (unit.job, unit.step, needs_isolation(unit))
        if task_group in blocked:
            continue
        if planning.may_start(unit) and _place_alone(planning, unit):
            planning.isolation.add(unit)
        else:
            blocked.add(task_group)


def _place_alone(planning: PlanningRound, unit: Unit) -> bool:
    """Place a suspect alone or reserve targets for it; return whether this was done."""
    isolation = planning.isolation
    is_admitted = isolation.admits(unit)
    if not needs_isolation(unit):
        return is_admitted and _place_on_empty(planning, unit)
    is_overdue = _is_overdue(planning, unit)
    if (is_admitted or is_overdue) and _place_on_empty(planning, unit):
        return True
    if is_overdue and not stays_alone(unit):
        isolation.add_overdue(unit)
        return False
    if is_overdue and _place_by_preemption(planning, unit):
        return True
    if is_admitted and _wait_for_empty(planning, unit):
        return True
    _note_wait(planning, unit, "any target" if is_admitted else "fewer isolated units")
    return False


def _is_overdue(planning: PlanningRound, unit: Unit) -> bool:
    """Return whether a suspect has waited alone for as long as its job can bear."""
    since_s = unit.waits_alone_since_s
    if since_s is None or planning.state.now_s < since_s + MAX_WAIT_ALONE_S:
        return False
    return planning.is_idle and not _is_running(planning, unit)


def _place_on_empty(planning: PlanningRound, unit: Unit) -> bool:
    """Place a suspect on targets that are empty now; return whether there are any."""
    state = planning.state
    tasks_by_target = step_tasks_by_target(unit, state.jobs[unit.job])
    empty = _available_empty_targets(planning, unit)
    placement = find_placement(
        unit, without_avoided(unit, empty), tasks_by_target, False
    )
    # A crash on another VM is better evidence, so a unit that needs isolation waits for
    # one, unless its job would have nothing running meanwhile.
    may_use_same_vm = not needs_isolation(unit) or not _is_running(planning, unit)
    if placement is None and may_use_same_vm:
        placement = find_placement(unit, empty, tasks_by_target, False)
    if placement is None:
        return False
    _claim_alone(planning, unit, placement)
    return True


def _place_by_preemption(planning: PlanningRound, unit: Unit) -> bool:
    """Empty the targets for a suspect on which that wastes the least work.

    Returns False if there are no such targets.
    """
    state = planning.state
    priority = state.queue_of(state.jobs[unit.job].record).priority
    # Its equals may be stopped, but no more urgent work.
    victims = preemptible_units(state, planning.guaranteed, priority - 1)
    options: list[tuple[float, Target]] = []
    for target in planning.reservations.available_to(unit, planning.targets):
        waste_core_s = _waste_to_empty(state, target, victims)
        if waste_core_s is not None:
            options.append((waste_core_s, target))
    options.sort(key=lambda option: option[0])
    cheapest = [target for _, target in options]
    placement = _place_on_first(planning, unit, without_avoided(unit, cheapest))
    placement = placement or _place_on_first(planning, unit, cheapest)
    if placement is None:
        return False
    emptied = {target.target_incarnation.target for target in placement.targets}
    stopped = {id(v.unit): v.unit for name in emptied for v in victims.get(name, ())}
    placement = placement._replace(victims=list(stopped.values()))
    _claim_alone(planning, unit, placement)
    return True


def _place_on_first(
    planning: PlanningRound, unit: Unit, targets: list[Target]
) -> Placement | None:
    """Place a unit on the first of some targets on which it fits, or nearly so."""
    tasks_by_target = step_tasks_by_target(unit, planning.state.jobs[unit.job])
    count = 1
    while True:
        found = find_placement(unit, targets[:count], tasks_by_target, False)
        if found is not None or count >= len(targets):
            return found
        count *= 2


def _waste_to_empty(
    state: CellState, target: Target, victims: dict[str, list[Victim]]
) -> float | None:
    """Return what stopping all units on a target wastes; None if not all may be."""
    found = victims.get(target.target_incarnation.target, [])
    units = state.members_by_incarnation.get(target.target_incarnation, {}).values()
    if target.unexpected or target.exclusive_tasks:
        return None
    if {id(unit) for unit in units} != {id(victim.unit) for victim in found}:
        return None
    return sum(victim.waste_core_s for victim in found)


def _wait_for_empty(planning: PlanningRound, unit: Unit) -> bool:
    """Reserve the targets that will be empty first for a suspect.

    Returns False if there are no such targets, or none are sought in this round.
    """
    reservations = planning.reservations
    if not reservations.can_reserve_empty():
        return False
    if reservations.reserve_empty(unit, without_avoided(unit, planning.targets)):
        _note_wait(planning, unit, "another VM")
        return True
    tasks_by_target = step_tasks_by_target(unit, planning.state.jobs[unit.job])
    empty = _available_empty_targets(planning, unit)
    placement = find_placement(unit, empty, tasks_by_target, False)
    if placement is None and reservations.reserve_empty(unit, planning.targets):
        _note_wait(planning, unit, "same VM")
        return True
    placement = placement or find_placement(unit, empty, tasks_by_target, True)
    if placement is None:
        return False
    _claim_alone(planning, unit, placement)
    return True


def _available_empty_targets(planning: PlanningRound, unit: Unit) -> list[Target]:
    targets = planning.reservations.available_to(unit, planning.targets)
    if reliability.avoids_failing_targets(planning.state, unit):
        targets = reliability.without_failing(planning.state, unit, targets)
    return empty_targets(targets)


def _claim_alone(planning: PlanningRound, unit: Unit, placement: Placement) -> None:
    planning.headroom.record_placement(unit)
    claim(planning.state, unit, placement, False, isolated=True)
    planning.reservations.on_claimed()


def _is_running(planning: PlanningRound, unit: Unit) -> bool:
    """Return whether any unit of a unit's job runs, or is about to."""
    return is_running(planning.state, planning.state.jobs[unit.job])


def _note_wait(planning: PlanningRound, unit: Unit, awaited: str) -> None:
    """Note and log that a suspect waits for a target, once until it is placed."""
    if unit.waits_alone_since_s is not None:
        return
    unit.waits_alone_since_s = planning.state.now_s
    planning.state.log(
        "suspect_waits",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        crashes=len(unit.crashes),
        awaited=awaited,
        job_runs=_is_running(planning, unit),
        cell_idle=planning.is_idle,
    )
