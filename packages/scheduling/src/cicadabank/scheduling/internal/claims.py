"""Claims of targets by units that are about to start."""

from __future__ import annotations

from cicadabank.scheduling.internal import contacts, lifecycle
from cicadabank.scheduling.internal.drains import accepts_starts
from cicadabank.scheduling.internal.placement import Placement
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Phase, Unit
from cicadabank.scheduling.internal.valuation import age_s


def claim(
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
    unit.waits_alone_since_s = None
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
        incidents=max(target.incident_class for target in placement.targets),
        crashes=len(unit.crashes),
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


def commit_ready_claims(state: CellState) -> None:
    """Commit the claimed units whose targets have room for them now."""
    for job in list(state.open_jobs.values()):
        for unit in job.units:
            if unit.phase is Phase.CLAIMING:
                _commit_claim_if_ready(state, unit)


def _commit_claim_if_ready(state: CellState, unit: Unit) -> None:
    """Commit a claimed unit once its targets have enough free resources for it.

    A target with another unit's exclusive task has none. One with any task of another
    unit has none for a unit that is to run alone.

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
    if unit.isolated and any(
        target.allocations.keys() - unit.tasks() for target in targets
    ):
        return
    unit.phase = Phase.COMMITTING
    unit.run += 1
    job = state.jobs[unit.job]
    if job.state == "pending":
        job.state = "running"
    state.mark_dirty(job)
    contacts.request_contact(state, unit)


def _can_serve_claims(state: CellState, target: Target | None) -> bool:
    """Return whether a target will have room for its claims after the current stops."""
    if target is None or target.out_of_contact or not accepts_starts(state, target):
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
