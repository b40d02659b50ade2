"""Work on draining targets, and on targets whose failure domain is out of service."""

from __future__ import annotations

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Phase, Unit

# Allowance, on top of the stop itself, for reports and orders in transit and for a slow
# store.
STOP_MARGIN_S = 0.6
# A run without checkpoints is only stopped if it needs this much more time than its
# target announces; the target may stay a little longer.
MIN_EXCESS_S = 1.0


def accepts_starts(state: CellState, target: Target) -> bool:
    """Return whether runs may still start on a target, as far as is known."""
    return not target.draining and target.domain not in state.domains_out


def withdraw_unconfirmed_starts(state: CellState) -> None:
    """Stop units of which a run may still start on a target that accepts no starts.

    Their agents may repeat a start that got no answer for as long as it is ordered. A
    gang is withdrawn as a whole.
    """
    if state.fenced:
        return
    for target in list(state.targets.values()):
        if accepts_starts(state, target) or not _lists_runs(state, target):
            continue
        members = state.members_by_incarnation.get(target.target_incarnation, {})
        for (_, _, index), unit in list(members.items()):
            member = unit.members[index - unit.first_index]
            if unit.phase is Phase.RUNNING and not member.running:
                withdraw_start(state, target, unit, index - unit.first_index)


def _lists_runs(state: CellState, target: Target) -> bool:
    """Return whether a target has shown this holder which runs it has.

    Before that, runs that an earlier holder started count as unconfirmed.
    """
    return target.observed and target.last_report_s > state.loaded_s


def withdraw_start(
    state: CellState, target: Target, unit: Unit, member_index: int
) -> None:
    """Stop a unit whose member must not start on its target any more."""
    state.log(
        "start_withdrawn",
        **unit.run_id(member_index)._asdict(),
        target=target.target_incarnation.target,
        draining=target.draining,
        domain=target.domain,
        domain_out=target.domain in state.domains_out,
    )
    lifecycle.stop_unit(state, unit, "start withdrawn")


def stop_work_on_draining_targets(state: CellState) -> None:
    """Stop units that would not finish before their target terminates.

    A unit with checkpoints is stopped as late as is safe, so that it makes progress
    until then. A unit without them loses its work in any case, and is stopped at once
    so that it can run elsewhere, but only if its progress shows that it can't finish:
    the target may also terminate later than announced.
    """
    if state.fenced:
        return
    for target in list(state.targets.values()):
        if target.draining:
            for unit in set(
                state.members_by_incarnation.get(target.target_incarnation, {}).values()
            ):
                if _should_move(state, target, unit):
                    state.log(
                        "unit_moves",
                        job=unit.job,
                        step=unit.step,
                        first=unit.first_index,
                        target=target.target_incarnation.target,
                        left_s=round(target.terminates_s - state.now_s, 3),
                        needed_s=round(state.remaining_s(unit), 3),
                    )
                    lifecycle.stop_unit(state, unit, "target drains")


def _should_move(state: CellState, target: Target, unit: Unit) -> bool:
    """Return whether a unit should be moved from a draining target now."""
    if unit.phase is not Phase.RUNNING:
        return False
    left_s = target.terminates_s - state.now_s
    stop_s = state.timings.stop_s + STOP_MARGIN_S
    if unit.spec.checkpointable:
        return left_s < stop_s < state.remaining_s(unit)
    measured_s = unit.measured_remaining_s(state.now_s)
    if measured_s is None or left_s < stop_s:
        return False  # it may finish, or a stop takes as long as the target remains
    return measured_s > left_s + MIN_EXCESS_S
