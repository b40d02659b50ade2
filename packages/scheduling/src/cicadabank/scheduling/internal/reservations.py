"""Reservations of targets for units that cannot start yet, and backfilling."""

from __future__ import annotations

from collections.abc import Callable

from cicadabank.scheduling.internal.jobs import Resources
from cicadabank.scheduling.internal.placement import (
    local_groups,
    needs_one_rack,
    targets_with_label,
)
from cicadabank.scheduling.internal.reliability import avoids_failing_targets
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target, add, max_tasks
from cicadabank.scheduling.internal.units import Phase, Unit

# Limits the share of targets that may be reserved; the others stay open to all units.
MAX_RESERVED_SHARE = 0.5
# Units per planning round for which a reservation is sought, and suspects for which one
# of empty targets is; the searches dominate the cost of a round.
MAX_RESERVATION_SEARCHES = 4
SlotTimes = Callable[[Unit, Target], list[float]]


class Reservations:
    """Reservations made in one planning round.

    Lower-ranked units may use a reserved target only if they end before it is needed
    (backfilling). Without reservations, small tasks could starve a gang.
    """

    def __init__(self, state: CellState):
        self._state = state
        self._needed_at_s: dict[str, float] = {}  # agent -> when it is needed
        self._releases: dict[str, list[tuple[float, Resources]]] | None = None
        self._reservation_searches = 0
        self._empty_searches = 0
        # By what a unit needs: the time at which it can start. Valid until a target is
        # reserved or claimed.
        self._start_s_by_shape: dict[tuple, float] = {}

    def available_to(self, unit: Unit, targets: list[Target]) -> list[Target]:
        """Return the targets that a unit may use without delaying a reservation."""
        if not self._needed_at_s:
            return targets
        now_s, remaining_s = self._state.now_s, self._state.remaining_s(unit)
        return [
            target
            for target in targets
            if now_s + remaining_s * target.slowness
            <= self._needed_at_s.get(target.agent, float("inf"))
        ]

    def can_reserve(self, targets: list[Target]) -> bool:
        """Return whether this round allows another reservation."""
        below_limit = len(self._needed_at_s) < MAX_RESERVED_SHARE * len(targets)
        return below_limit and self._reservation_searches < MAX_RESERVATION_SEARCHES

    def reserve(
        self, unit: Unit, targets: list[Target], preferred: list[Target]
    ) -> None:
        """Reserve the targets on which a unit can start soonest.

        Only preferred ones if it fits there.
        """
        self._reservation_searches += 1
        self._start_s_by_shape.clear()
        best = self._earliest_start(unit, preferred, self._slot_times)
        if best is None and preferred is not targets:
            best = self._earliest_start(unit, targets, self._slot_times)
        if best is not None:
            for target in best[1]:
                self._needed_at_s[target.agent] = best[0]

    def can_reserve_empty(self) -> bool:
        """Return whether this round allows another reservation of empty targets."""
        return self._empty_searches < MAX_RESERVATION_SEARCHES

    def reserve_empty(self, unit: Unit, targets: list[Target]) -> bool:
        """Reserve the targets that can soonest be empty for a unit.

        Returns False if there are no such targets.
        """
        self._empty_searches += 1
        self._start_s_by_shape.clear()
        best = self._earliest_start(unit, targets, self._empty_slot_times)
        for target in best[1] if best is not None else ():
            self._needed_at_s[target.agent] = best[0]
        return best is not None

    def wait_s(
        self, unit: Unit, targets: list[Target], fast_only: bool = False
    ) -> float:
        """Return how long a unit waits if nothing is preempted.

        Infinite if it does not fit even after all expected releases. `fast_only` tells
        that `targets` are the fast ones among those available.
        """
        spec = unit.spec
        # The tasks of a class need the same, and many jobs of a class wait at a time.
        shape = (
            *(spec.need, unit.size, spec.per_target, spec.label, spec.data_rack),
            needs_one_rack(unit),
            fast_only,
            avoids_failing_targets(self._state, unit),
        )
        if shape not in self._start_s_by_shape:
            best = self._earliest_start(unit, targets, self._slot_times)
            start_s = best[0] if best is not None else float("inf")
            self._start_s_by_shape[shape] = start_s
        return self._start_s_by_shape[shape] - self._state.now_s

    def on_claimed(self) -> None:
        """Compute waits anew: a unit has claimed targets since."""
        self._start_s_by_shape.clear()

    def _earliest_start(
        self, unit: Unit, targets: list[Target], slot_times: SlotTimes
    ) -> tuple[float, list[Target]] | None:
        """Return the earliest start time of a unit, and the targets for it.

        `slot_times` returns when a target has room for one more of its members each.
        """
        candidates = targets_with_label(unit.spec, targets)
        candidates = [t for t in candidates if t.agent not in self._needed_at_s]
        best: tuple[float, list[Target]] | None = None
        for group in local_groups(unit, candidates):
            found = self._earliest_in_group(unit, group, slot_times)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best

    def _earliest_in_group(
        self, unit: Unit, group: list[Target], slot_times: SlotTimes
    ) -> tuple[float, list[Target]] | None:
        """Return when all members fit into a group of targets, and which targets."""
        slots: list[tuple[float, int, Target]] = []
        for target_index, target in enumerate(group):
            slots += [(at_s, target_index, target) for at_s in slot_times(unit, target)]
        slots.sort(key=lambda slot: slot[:2])
        if len(slots) < unit.size:
            return None
        chosen = slots[: unit.size]
        return chosen[-1][0], [target for _, _, target in chosen]

    def _slot_times(self, unit: Unit, target: Target) -> list[float]:
        """Return the times at which a target has room for one more member each."""
        need, free = unit.spec.need, target.free
        wanted = min(unit.size, unit.spec.per_target or unit.size)
        slots = [self._state.now_s] * min(max_tasks(need, free), wanted)
        for at_s, released in self._expected_releases(target):
            if len(slots) == wanted:
                break
            free = add(free, released)
            count = min(max_tasks(need, free), wanted)
            slots += [at_s] * (count - len(slots))
        return slots

    def _empty_slot_times(self, unit: Unit, target: Target) -> list[float]:
        """Return when a target is empty, once for each member that fits then."""
        releases = self._expected_releases(target) if target.allocations else []
        empty_at_s = releases[-1][0] if releases else self._state.now_s
        count = min(max_tasks(unit.spec.need, target.capacity), unit.size)
        return [empty_at_s] * min(count, unit.spec.per_target or count)

    def _expected_releases(self, target: Target) -> list[tuple[float, Resources]]:
        """Return when resources of a target are expected to be released."""
        if self._releases is None:
            self._releases = {}
            state = self._state
            for job in state.open_jobs.values():
                for unit in job.units:
                    if unit.phase in (Phase.WAITING, Phase.DONE):
                        continue
                    # A unit that is being stopped is expected to end within 0.3 s.
                    remaining_s = 0.3 if unit.phase is Phase.STOPPING else None
                    remaining_s = remaining_s or state.remaining_s(unit)
                    for member in unit.members:
                        if not member.released:
                            releases = self._releases.setdefault(
                                member.target_incarnation.agent, []
                            )
                            releases.append((state.now_s + remaining_s, unit.spec.need))
            for releases in self._releases.values():
                releases.sort()
        return self._releases.get(target.agent, [])
