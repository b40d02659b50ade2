"""Selection of targets for a unit.

Targets are packed tightly, so that whole racks stay free for gangs that need them. Of
the targets in use, the fastest come first; urgent work goes to the fastest in any case.

A placement is local if the unit runs at full speed there: on the rack of its data, and
on a single rack if it is a gang that needs that. Other placements are remote.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from cicadabank.scheduling.internal.jobs import Resources, StepSpec
from cicadabank.scheduling.internal.targets import (
    Target,
    TargetShape,
    add,
    fits,
    max_tasks,
    subtract,
)
from cicadabank.scheduling.internal.units import TargetIncarnation, Unit

NO_RESOURCES = Resources(0, 0, 0)
TargetOrShape = TypeVar("TargetOrShape", Target, TargetShape)


class Victim(NamedTuple):
    """A unit that may be preempted.

    Attributes
    ----------
    waste_core_s : float
        Core-seconds of work that preempting it would waste.
    """

    unit: Unit
    waste_core_s: float


class Placement(NamedTuple):
    """Targets selected for a unit.

    Attributes
    ----------
    targets : list of Target
        One target for each member, in order.
    victims : list of Unit
        Units that must be stopped first.
    local : bool
        Whether the placement is local.
    waste_core_s : float
        Core-seconds of work that stopping the victims wastes.
    """

    targets: list[Target]
    victims: list[Unit]
    local: bool
    waste_core_s: float = 0.0


def targets_with_label(
    step: StepSpec, targets: Iterable[TargetOrShape]
) -> list[TargetOrShape]:
    """Return the targets that have the step's label, or the shapes that do."""
    return [t for t in targets if not step.label or step.label in t.labels]


def needs_one_rack(unit: Unit) -> bool:
    """Return whether a unit runs more slowly if it spans racks."""
    return unit.spec.gang and unit.spec.same_rack and unit.size > 1


def local_groups(unit: Unit, candidates: list[Target]) -> list[list[Target]]:
    """Return the groups of targets within which a placement of a unit is local."""
    rack = unit.spec.data_rack
    local = [t for t in candidates if not rack or t.rack == rack]
    return group_by_rack(local) if needs_one_rack(unit) else [local]


def is_local(
    unit: Unit, targets_by_incarnation: dict[TargetIncarnation, Target]
) -> bool:
    """Return whether the current placement of a unit is local."""
    racks = {
        target.rack
        for member in unit.members
        if (target := targets_by_incarnation.get(member.target_incarnation))
    }
    if needs_one_rack(unit) and len(racks) > 1:
        return False
    return not unit.spec.data_rack or racks == {unit.spec.data_rack}


def find_placement(
    unit: Unit,
    targets: list[Target],
    tasks_by_target: dict[str, int],
    allow_remote: bool,
    urgent: bool = False,
    target_rank: Callable[[Target], int] | None = None,
) -> Placement | None:
    """Select targets with free resources for all members of a unit.

    Parameters
    ----------
    unit : Unit
    targets : list of Target
        Targets that currently accept new tasks.
    tasks_by_target : dict of str to int
        Number of the step's tasks on each target, for the limit per target.
    allow_remote : bool
        Whether to fall back to targets on which the tasks run more slowly.
    urgent : bool, default=False
        Whether speed counts more than tight packing.
    target_rank : callable, optional
        Ranks targets by what is known of their speeds, the preferred ones lowest, in
        place of their speed classes.

    Returns
    -------
    Placement or None
        None if the unit does not fit at present.
    """
    step = unit.spec
    # In a busy cell, few targets have room, so the others are left out first.
    candidates = [
        target
        for target in targets_with_label(step, targets)
        if fits(step.need, target.free)
    ]
    if not candidates:
        return None
    racks = _free_by_rack(targets)
    one_rack = needs_one_rack(unit)
    best: list[Target] | None = None
    best_rank = (float("inf"), float("inf"), float("inf"))
    for group in local_groups(unit, candidates):
        chosen = _pack(unit, group, tasks_by_target, racks, urgent, target_rank)
        if chosen is None:
            continue
        # A gang fails with the first of its members, and is as slow as the slowest.
        worst = max(target.incident_class for target in chosen)
        slowest = max(map(target_rank or (lambda t: t.speed_class), chosen))
        rank = (worst, slowest, racks[chosen[0].rack] if one_rack else 0)
        if rank < best_rank:
            best, best_rank = chosen, rank
    if best is not None:
        return Placement(best, [], True)
    if allow_remote and (one_rack or step.data_rack):
        chosen = _pack(unit, candidates, tasks_by_target, racks, urgent, target_rank)
        if chosen is not None:
            return Placement(chosen, [], False)
    return None


def _pack(
    unit: Unit,
    group: list[Target],
    tasks_by_target: dict[str, int],
    racks: dict[str, int],
    urgent: bool,
    target_rank: Callable[[Target], int] | None,
) -> list[Target] | None:
    """Fill targets one by one.

    First come those with the fewest consecutive failures, then those with the fewest
    recent incidents, then those of the lowest rank if there is a ranking, or, for
    urgent work, the fastest, then those in use, the fastest of these first, then those
    with the fewest free accelerators, then those whose racks have the fewest.
    """
    need, limit = unit.spec.need, unit.spec.per_target
    chosen: list[Target] = []
    for target in sorted(
        group, key=lambda t: _packing_key(t, racks, urgent, target_rank)
    ):
        count = max_tasks(need, target.free)
        if limit:
            count = min(
                count, limit - tasks_by_target.get(target.target_incarnation.target, 0)
            )
        chosen += [target] * min(max(0, count), unit.size - len(chosen))
        if len(chosen) == unit.size:
            return chosen
    return None


def _packing_key(
    target: Target,
    racks: dict[str, int],
    urgent: bool,
    target_rank: Callable[[Target], int] | None,
) -> tuple:
    free = target.free
    rank = target.speed_class if urgent else 0
    return (
        target.consecutive_failures,
        target.incident_class,
        target_rank(target) if target_rank else rank,
        not target.allocations,
        0 if target_rank else target.speed_class,
        free.accelerators,
        racks[target.rack],
        free.cpu_millicores,
        target.target_incarnation.target,
    )


def _free_by_rack(targets: list[Target]) -> dict[str, int]:
    """Return the free accelerators of each rack."""
    racks: dict[str, int] = defaultdict(int)
    for target in targets:
        racks[target.rack] += max(0, target.free.accelerators)
    return racks


def group_by_rack(targets: list[Target]) -> list[list[Target]]:
    """Group targets by rack."""
    racks: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        racks[target.rack].append(target)
    return list(racks.values())


def find_placement_with_preemption(
    unit: Unit,
    targets: list[Target],
    victims_by_target: dict[str, list[Victim]],
    tasks_by_target: dict[str, int],
    allow_remote: bool,
) -> Placement | None:
    """Select targets for a unit such that preempting other units wastes the least work.

    Parameters
    ----------
    unit : Unit
    targets : list of Target
        Targets that currently accept new tasks.
    victims_by_target : dict of str to list of Victim
        Units that may be preempted, by the targets they run on.
    tasks_by_target : dict of str to int
        Number of the step's tasks on each target, for the limit per target.
    allow_remote : bool
        Whether to fall back to targets on which the tasks run more slowly.

    Returns
    -------
    Placement or None
        None if the unit does not fit even with preemption.
    """
    step = unit.spec
    candidates = targets_with_label(step, targets)
    options: list[Placement] = []
    for group in local_groups(unit, candidates):
        choice = _preempt_for(unit, group, victims_by_target, tasks_by_target, True)
        if choice is not None:
            options.append(choice)
    if not options and allow_remote:
        choice = _preempt_for(
            unit, candidates, victims_by_target, tasks_by_target, False
        )
        if choice is not None:
            options.append(choice)
    return min(options, key=lambda c: c.waste_core_s, default=None)


def _preempt_for(
    unit: Unit,
    group: list[Target],
    victims_by_target: dict[str, list[Victim]],
    tasks_by_target: dict[str, int],
    local: bool,
) -> Placement | None:
    """Place the members one by one, each where preemption wastes the least work."""
    stopped: dict[int, Victim] = {}
    free = {t.target_incarnation.target: t.free for t in group}
    withheld = {t.target_incarnation.target: t.withheld for t in group}
    counts = dict(tasks_by_target)
    chosen: list[Target] = []
    need, limit = unit.spec.need, unit.spec.per_target
    for _ in range(unit.size):
        best = None
        for target in group:
            name = target.target_incarnation.target
            if limit and counts.get(name, 0) >= limit:
                continue
            victims = _cheapest_victims(
                need,
                free[name],
                withheld[name],
                victims_by_target.get(name, []),
                stopped,
            )
            if victims is None:
                continue
            cost = sum(v.waste_core_s for v in victims)
            rank = (
                cost,
                target.incident_class,
                target.speed_class,
                free[name].accelerators,
            )
            if best is None or rank < best[0]:
                best = (rank, target, victims)
        if best is None:
            return None
        _, target, victims = best
        for victim in victims:
            stopped[id(victim.unit)] = victim
            _add_released(victim.unit, free, withheld)
        name = target.target_incarnation.target
        free[name] = subtract(free[name], need)
        counts[name] = counts.get(name, 0) + 1
        chosen.append(target)
    waste = sum(v.waste_core_s for v in stopped.values())
    return Placement(chosen, [v.unit for v in stopped.values()], local, waste)


def _cheapest_victims(
    need: Resources,
    free: Resources,
    withheld: Resources,
    victims: list[Victim],
    stopped: dict[int, Victim],
) -> list[Victim] | None:
    """Return the victims, cheapest first, that make room for a task, or None.

    Victims whose room isn't needed once a larger one is stopped are spared. Stopping an
    isolated unit also frees what is withheld from others because of it.
    """
    chosen: list[Victim] = []
    for victim in sorted(victims, key=lambda v: v.waste_core_s):
        if fits(need, free):
            break
        if id(victim.unit) in stopped:
            continue
        chosen.append(victim)
        free = add(free, victim.unit.spec.need)
        if victim.unit.isolated:
            free = add(free, withheld)
    if not fits(need, free):
        return None
    for victim in reversed(chosen[:-1]):
        without = subtract(free, victim.unit.spec.need)
        if not victim.unit.isolated and fits(need, without):
            chosen.remove(victim)
            free = without
    return chosen


def _add_released(
    unit: Unit, free: dict[str, Resources], withheld: dict[str, Resources]
) -> None:
    for member in unit.members:
        name = member.target_incarnation.target
        if name in free and not member.released:
            free[name] = add(free[name], unit.spec.need)
            if unit.isolated:
                free[name] = add(free[name], withheld[name])
                withheld[name] = NO_RESOURCES


def infeasible_reason(step: StepSpec, shapes: Iterable[TargetShape]) -> str:
    """Return why a step can never be placed on targets of these shapes.

    Compares with the largest capacities known, so a step that only has to wait, also
    for targets that have shrunk, is not infeasible.

    Returns
    -------
    str
        Empty if the step can be placed.
    """
    candidates = targets_with_label(step, shapes)
    if not candidates:
        return f"no target has the label {step.label!r}"
    max_running = 0
    for shape in candidates:
        on_target = max_tasks(step.need, shape.largest_capacity)
        max_running += min(on_target, step.per_target) if step.per_target else on_target
    if max_running == 0:
        return "a task needs more than any target has"
    if step.gang and max_running < step.count:
        return f"the gang of {step.count} fits {max_running} times at most"
    return ""
