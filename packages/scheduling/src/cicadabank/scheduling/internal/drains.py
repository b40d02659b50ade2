"""Work that is moved away from targets that will end soon."""

from __future__ import annotations

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Phase, Unit

# Beside the stop itself: reports and orders on their way, and a store that is slow.
STOP_MARGIN_S = 0.6


def stop_work_before_drain(state: CellState) -> None:
    """Stop what saves progress and won't end before its target may.

    It is stopped as late as is safe, since it works until then. Work without
    checkpoints is left: it loses as much by a stop as by the end of its target, which
    may also come later than announced.
    """
    if state.fenced:
        return
    for target in list(state.targets.values()):
        if target.draining and _ends_soon(state, target):
            for unit in set(state.members_by_place.get(target.place, {}).values()):
                if _should_move(state, unit):
                    state.log(
                        "unit_moves",
                        job=unit.job,
                        step=unit.step,
                        first=unit.first_index,
                        target=target.place.target,
                        left_s=round(target.ends_s - state.now_s, 3),
                    )
                    lifecycle.stop_unit(state, unit, "target drains")


def _ends_soon(state: CellState, target: Target) -> bool:
    return target.ends_s - state.now_s < state.timings.stop_s + STOP_MARGIN_S


def _should_move(state: CellState, unit: Unit) -> bool:
    if unit.phase is not Phase.RUNNING or not unit.spec.saves_progress:
        return False
    return state.remaining_s(unit) > state.timings.stop_s + STOP_MARGIN_S
