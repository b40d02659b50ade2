"""Choice of targets for a unit.

Targets are packed tightly, so that whole racks stay free for gangs that need them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cicadabank.scheduling.internal.jobs import Need, StepSpec
from cicadabank.scheduling.internal.targets import Target, fits, how_many
from cicadabank.scheduling.internal.units import Unit


class Victim(NamedTuple):
    """A unit that may be stopped for another, and what that would waste."""

    unit: Unit
    waste_core_s: float


class Choice(NamedTuple):
    """Targets for the members of a unit, in order, and who must go first."""

    targets: list[Target]
    victims: list[Unit]
    near: bool
    waste_core_s: float = 0.0


def eligible(step: StepSpec, targets: Iterable[Target]) -> list[Target]:
    """Return the targets that a step's tasks may run on by label."""
    return [t for t in targets if not step.label or step.label in t.labels]


def needs_one_rack(unit: Unit) -> bool:
    """Whether a unit is slow when it spans racks."""
    return unit.spec.gang and unit.spec.same_rack and unit.size > 1


def near_groups(unit: Unit, able: list[Target]) -> list[list[Target]]:
    """Return groups of targets on any one of which a unit runs at full speed."""
    rack = unit.spec.data_rack
    near = [t for t in able if not rack or t.rack == rack]
    return by_rack(near) if needs_one_rack(unit) else [near]


def place(
    unit: Unit, targets: list[Target], taken: dict[str, int], allow_far: bool
) -> Choice | None:
    """Choose targets with room for all members of a unit.

    Parameters
    ----------
    targets : list of Target
        Those that take new tasks at present.
    taken : dict of str to int
        Tasks of the unit's step on each target, for its limit per target.
    allow_far : bool
        Whether to fall back on racks where the tasks are slow.

    Returns
    -------
    Choice or None
        None if the unit doesn't fit now.
    """
    step = unit.spec
    able = eligible(step, targets)
    racks = _free_by_rack(targets)
    for_gang = needs_one_rack(unit)
    best: list[Target] | None = None
    best_left = float("inf")
    for group in near_groups(unit, able):
        chosen = _fill(unit, group, taken, racks)
        if chosen is None:
            continue
        left = racks[chosen[0].rack] if for_gang else 0
        if left < best_left:
            best, best_left = chosen, left
    if best is not None:
        return Choice(best, [], True)
    if allow_far and (for_gang or step.data_rack):
        chosen = _fill(unit, able, taken, racks)
        if chosen is not None:
            return Choice(chosen, [], False)
    return None


def _fill(
    unit: Unit, group: list[Target], taken: dict[str, int], racks: dict[str, int]
) -> list[Target] | None:
    """Place members one target after the other, the fullest that fits first."""
    need, limit = unit.spec.need, unit.spec.per_target
    chosen: list[Target] = []
    for target in sorted(group, key=lambda t: _tightness(t, need, racks)):
        room = how_many(need, target.free)
        if limit:
            room = min(room, limit - taken.get(target.place.target, 0))
        chosen += [target] * min(max(0, room), unit.size - len(chosen))
        if len(chosen) == unit.size:
            return chosen
    return None


def _tightness(target: Target, need: Need, racks: dict[str, int]) -> tuple:
    free = target.free
    return (
        target.failures,
        free.accelerators,
        racks[target.rack],
        free.cpu_millicores,
        target.place.target,
    )


def _free_by_rack(targets: list[Target]) -> dict[str, int]:
    """Return the free accelerators of each rack."""
    racks: dict[str, int] = defaultdict(int)
    for target in targets:
        racks[target.rack] += max(0, target.free.accelerators)
    return racks


def by_rack(targets: list[Target]) -> list[list[Target]]:
    """Group targets by their racks."""
    racks: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        racks[target.rack].append(target)
    return list(racks.values())


def place_by_stopping(
    unit: Unit,
    targets: list[Target],
    victims_on: dict[str, list[Victim]],
    taken: dict[str, int],
    allow_far: bool,
) -> Choice | None:
    """Choose targets for a unit where stopping other units wastes least.

    Parameters
    ----------
    victims_on : dict of str to list of Victim
        Units that may be stopped, for each target they run on.
    """
    step = unit.spec
    able = eligible(step, targets)
    options: list[Choice] = []
    for group in near_groups(unit, able):
        choice = _clear(unit, group, victims_on, taken, True)
        if choice is not None:
            options.append(choice)
    if not options and allow_far:
        choice = _clear(unit, able, victims_on, taken, False)
        if choice is not None:
            options.append(choice)
    return min(options, key=lambda c: c.waste_core_s, default=None)


def _clear(
    unit: Unit,
    group: list[Target],
    victims_on: dict[str, list[Victim]],
    taken: dict[str, int],
    near: bool,
) -> Choice | None:
    """Find room for one member after the other, each where it wastes least."""
    stopped: dict[int, Victim] = {}
    room = {t.place.target: t.free for t in group}
    counts = dict(taken)
    chosen: list[Target] = []
    need, limit = unit.spec.need, unit.spec.per_target
    for _ in range(unit.size):
        best = None
        for target in group:
            name = target.place.target
            if limit and counts.get(name, 0) >= limit:
                continue
            extra = _stops_for(need, room[name], victims_on.get(name, []), stopped)
            if extra is None:
                continue
            cost = sum(v.waste_core_s for v in extra)
            rank = (cost, room[name].accelerators)
            if best is None or rank < best[0]:
                best = (rank, target, extra)
        if best is None:
            return None
        _, target, extra = best
        for victim in extra:
            stopped[id(victim.unit)] = victim
            _give_back(victim.unit, room)
        name = target.place.target
        room[name] = _minus(room[name], need)
        counts[name] = counts.get(name, 0) + 1
        chosen.append(target)
    waste = sum(v.waste_core_s for v in stopped.values())
    return Choice(chosen, [v.unit for v in stopped.values()], near, waste)


def _stops_for(
    need: Need, room: Need, victims: list[Victim], stopped: dict[int, Victim]
) -> list[Victim] | None:
    """Return the cheapest victims whose end makes a task fit, or None."""
    extra: list[Victim] = []
    for victim in sorted(victims, key=lambda v: v.waste_core_s):
        if fits(need, room):
            break
        if id(victim.unit) in stopped:
            continue
        extra.append(victim)
        here = victim.unit.spec.need
        room = Need(*(r + n for r, n in zip(room, here, strict=True)))
    return extra if fits(need, room) else None


def _give_back(unit: Unit, room: dict[str, Need]) -> None:
    for member in unit.members:
        name = member.place.target
        if name in room and not member.gone:
            need = unit.spec.need
            room[name] = Need(*(r + n for r, n in zip(room[name], need, strict=True)))


def _minus(room: Need, need: Need) -> Need:
    return Need(*(r - n for r, n in zip(room, need, strict=True)))


def is_hopeless(step: StepSpec, targets: Iterable[Target]) -> str:
    """Return why a step's tasks can never be placed on any of these targets.

    Empty if they can. Rooms are taken as empty, so a step that only has to wait is not
    hopeless.
    """
    able = eligible(step, targets)
    if not able:
        return f"no target has the label {step.label!r}"
    room = 0
    for target in able:
        here = how_many(step.need, target.capacity)
        room += min(here, step.per_target) if step.per_target else here
    if room == 0:
        return "a task needs more than any target has"
    if step.gang and room < step.count:
        return f"the gang of {step.count} fits {room} times at most"
    return ""
