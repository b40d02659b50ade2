"""Migration of work away from draining targets."""

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
