"""Targets kept for units that can't start yet, and what may run there meanwhile."""

from __future__ import annotations

from cicadabank.scheduling.internal.jobs import Need
from cicadabank.scheduling.internal.placement import eligible, near_groups
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target, how_many
from cicadabank.scheduling.internal.units import Phase, Unit

# Share of the targets that may be kept free; the rest goes on being filled.
LARGEST_SHARE = 0.5
# Units of one round that targets are sought for; the search is the dear part.
MOST_UNITS = 4


class Reservations:
    """Reservations of one round of planning.

    Those that rank lower may use a kept target if they end before it is needed
    (backfilling), so that small tasks don't hold up a gang for ever.
    """

    def __init__(self, state: CellState):
        self._state = state
        self._until_s: dict[str, float] = {}  # agent -> when it is needed
        self._ends: dict[str, list[tuple[float, Need]]] | None = None
        self._sought = 0

    def open_to(self, unit: Unit, targets: list[Target]) -> list[Target]:
        """Return the targets that a unit may use now."""
        if not self._until_s:
            return targets
        ends_s = self._state.now_s + self._state.expected_s(unit)
        return [
            target
            for target in targets
            if ends_s <= self._until_s.get(target.agent, float("inf"))
        ]

    def left(self, targets: list[Target]) -> bool:
        """Whether more targets may be kept."""
        few = len(self._until_s) < LARGEST_SHARE * len(targets)
        return few and self._sought < MOST_UNITS

    def reserve(self, unit: Unit, targets: list[Target]) -> None:
        """Keep the targets on which a unit can start soonest."""
        self._sought += 1
        best = self._best(unit, targets)
        if best is not None:
            for target in best[1]:
                self._until_s[target.agent] = best[0]

    def wait_s(self, unit: Unit, targets: list[Target]) -> float:
        """Return for how long a unit has to wait if nothing is stopped for it."""
        best = self._best(unit, targets)
        return best[0] - self._state.now_s if best is not None else float("inf")

    def _best(
        self, unit: Unit, targets: list[Target]
    ) -> tuple[float, list[Target]] | None:
        """Return when a unit can start at the soonest, and on which targets."""
        able = eligible(unit.spec, targets)
        able = [t for t in able if t.agent not in self._until_s]
        best: tuple[float, list[Target]] | None = None
        for group in near_groups(unit, able):
            found = self._soonest(unit, group)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best

    def _soonest(
        self, unit: Unit, group: list[Target]
    ) -> tuple[float, list[Target]] | None:
        """Return when all members could run, and on which targets."""
        seats: list[tuple[float, int, Target]] = []
        for number, target in enumerate(group):
            seats += [(at_s, number, target) for at_s in self._seats(unit, target)]
        seats.sort(key=lambda seat: seat[:2])
        if len(seats) < unit.size:
            return None
        chosen = seats[: unit.size]
        return chosen[-1][0], [target for _, _, target in chosen]

    def _seats(self, unit: Unit, target: Target) -> list[float]:
        """Return when a target has room for a first, second, ... member."""
        need, room = unit.spec.need, target.free
        seats: list[float] = []
        events = [(self._state.now_s, Need(0, 0, 0)), *self._ends_on(target)]
        for at_s, back in events:
            room = Need(*(r + b for r, b in zip(room, back, strict=True)))
            count = min(how_many(need, room), unit.size)
            seats += [at_s] * (count - len(seats))
        limit = unit.spec.per_target
        return seats[:limit] if limit else seats

    def _ends_on(self, target: Target) -> list[tuple[float, Need]]:
        """Return when what runs on a target is expected to end, and its needs."""
        if self._ends is None:
            self._ends = {}
            state = self._state
            for job in state.open_jobs.values():
                for unit in job.units:
                    if unit.phase in (Phase.WAITING, Phase.DONE):
                        continue
                    left_s = 0.3 if unit.phase is Phase.STOPPING else None
                    left_s = left_s or state.remaining_s(unit)
                    for member in unit.members:
                        if not member.gone:
                            rows = self._ends.setdefault(member.place.agent, [])
                            rows.append((state.now_s + left_s, unit.spec.need))
            for rows in self._ends.values():
                rows.sort()
        return self._ends.get(target.agent, [])
