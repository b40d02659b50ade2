"""Probes: tasks that are placed so that they measure the speed of a target.

A target's speed shows once a task has done 10 % of its work there while other tasks of
its step run elsewhere. Batch work that is packed tightly never visits most targets, so
independent tasks that are not urgent go first to targets of unknown speed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadabank.scheduling.internal.targets import (
    SpeedKind,
    Target,
    fits,
    rank_for_slack,
)
from cicadabank.scheduling.internal.units import Unit

if TYPE_CHECKING:
    from cicadabank.scheduling.internal.state import CellState


class Probes:
    """Targets that may get a probe, by the latest planning round."""

    def __init__(self) -> None:
        self._candidates: dict[str, Target] = {}  # by agent
        self._left = 0

    def update(self, state: CellState, targets: list[Target]) -> None:
        """Find the usable targets of unknown speed that run no unmeasured probe."""
        unknown = [t for t in targets if t.speed_kind is SpeedKind.UNKNOWN]
        probed = [t for t in unknown if _has_open_probe(state, t)]
        limit = int(state.policy.speeds.max_probe_share * len(targets))
        self._left = max(0, limit - len(probed))
        excluded = {t.agent for t in probed}
        self._candidates = {t.agent: t for t in unknown if t.agent not in excluded}

    def admits(self, state: CellState, unit: Unit) -> bool:
        """Return whether a unit may be a probe and there is a target for one."""
        if self._left <= 0:
            return False
        return _can_measure(state, unit) and any(
            fits(unit.spec.need, target.free) for target in self._candidates.values()
        )

    def rank(self, target: Target) -> int:
        """Rank targets that need a probe first, then as for units with slack."""
        if target.agent in self._candidates:
            return -len(SpeedKind)
        return rank_for_slack(target)

    def on_placed(self, state: CellState, unit: Unit, targets: list[Target]) -> None:
        """Count a unit that has got targets, if it is a probe there."""
        if not self._candidates or not _can_measure(state, unit):
            return
        (target,) = targets
        if target.agent in self._candidates:
            del self._candidates[target.agent]
            self._left -= 1
            state.log(
                "probe_placed",
                job=unit.job,
                step=unit.step,
                first=unit.first_index,
                target=target.target_incarnation.target,
                slowness=round(target.slowness, 2),
                left=self._left,
            )

    def open_count(self, state: CellState) -> int:
        """Return the number of targets with a probe that has not been measured."""
        return sum(
            target.speed_kind is SpeedKind.UNKNOWN and _has_open_probe(state, target)
            for target in state.targets.values()
        )


def _can_measure(state: CellState, unit: Unit) -> bool:
    """Return whether a unit's duration tells the speed of its target.

    That takes other tasks of its step, on other targets. Urgent units are no probes.
    """
    if unit.size > 1 or unit.spec.gang or unit.spec.count < 2:
        return False
    return state.queue_of(state.jobs[unit.job].record).priority > 0


def _has_open_probe(state: CellState, target: Target) -> bool:
    members = state.members_by_incarnation.get(target.target_incarnation, {})
    return any(
        unit.duration_s is None and _can_measure(state, unit)
        for unit in members.values()
    )
