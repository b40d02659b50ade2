"""Migration of work away from draining targets."""

from __future__ import annotations

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Phase, Unit

# Allowance, on top of the stop itself, for reports and orders in transit and for a slow
# store.
STOP_MARGIN_S = 0.6


def stop_work_on_draining_targets(state: CellState) -> None:
    """Stop checkpointed units that would not finish before their target terminates.

    A unit is stopped as late as is safe, so that it makes progress until then. Units
    without checkpoints keep running: a stop would lose as much work as the termination
    of the target, which may also come later than announced.
    """
    if state.fenced:
        return
    for target in list(state.targets.values()):
        if target.draining and _terminates_soon(state, target):
            for unit in set(
                state.members_by_incarnation.get(target.target_incarnation, {}).values()
            ):
                if _should_move(state, unit):
                    state.log(
                        "unit_moves",
                        job=unit.job,
                        step=unit.step,
                        first=unit.first_index,
                        target=target.target_incarnation.target,
                        left_s=round(target.terminates_s - state.now_s, 3),
                    )
                    lifecycle.stop_unit(state, unit, "target drains")


def _terminates_soon(state: CellState, target: Target) -> bool:
    return target.terminates_s - state.now_s < state.timings.stop_s + STOP_MARGIN_S


def _should_move(state: CellState, unit: Unit) -> bool:
    """Return whether a unit should be moved from a target that terminates soon.

    The target terminates within the duration of a stop and its margin, so a unit that
    needs longer than that would not finish there.
    """
    if unit.phase is not Phase.RUNNING or not unit.spec.checkpointable:
        return False
    return state.remaining_s(unit) > state.timings.stop_s + STOP_MARGIN_S
