"""Guarantee allocations: the accelerators that back a workspace's guarantee.

Each guaranteed shape is backed by an allocation, a concrete set of accelerators on
adjacent workers that is disjoint from all others. Other workspaces may borrow an
allocation while its owner doesn't use it, and borrowers may be preempted. A
guarantee can therefore always be reclaimed by preempting the borrowers of one
allocation, and a set of guarantees is feasible if all allocations can be placed.

Two stored texts still call an allocation a "home": the decision to start a gang in one
(`gangs.commit_start`) and the reason of a preemption (`claims.claim_allocation`).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cicadabank.decisions.internal.fleet import Fleet, TaskResources, WorkerInfo
from cicadabank.decisions.internal.placement import GangShape, place
from cicadabank.model import Adjacency, Guarantee, GuaranteedShape, describe_shape


class GuaranteeAllocation(NamedTuple):
    """Accelerators on workers that back one guaranteed shape."""

    workspace: str
    index: int
    accelerators: int
    accelerators_by_worker: dict[str, int]

    @property
    def name(self) -> str:
        """Name of the allocation, unique within its cell."""
        return f"{self.workspace}#{self.index}"


class AllocationPlan(NamedTuple):
    """All guarantee allocations of a cell, and the shapes without one."""

    allocations: list[GuaranteeAllocation]
    missing: list[tuple[str, GuaranteedShape]]

    def guaranteed_by_worker(self) -> dict[str, int]:
        """Return the allocated accelerators of each worker."""
        total: dict[str, int] = {}
        for allocation in self.allocations:
            for worker, count in allocation.accelerators_by_worker.items():
                total[worker] = total.get(worker, 0) + count
        return total


class _ShapeDemand(NamedTuple):
    workspace: str
    index: int
    shape: GuaranteedShape


def _shape_demands(guarantees: Iterable[Guarantee]) -> list[_ShapeDemand]:
    demands = []
    for guarantee in sorted(guarantees, key=lambda g: g.name):
        shapes = [s for shape in guarantee.shapes for s in [shape] * shape.count]
        demands += [
            _ShapeDemand(guarantee.workspace, i, shape)
            for i, shape in enumerate(shapes)
        ]
    return sorted(demands, key=lambda d: (-d.shape.accelerators, d.workspace, d.index))


def allocate_guarantees(
    guarantees: Iterable[Guarantee],
    workers: Iterable[WorkerInfo],
    previous: Iterable[GuaranteeAllocation] = (),
    pinned: dict[str, int] | None = None,
) -> AllocationPlan:
    """Allocate accelerators to each guaranteed shape.

    Previous allocations are kept where their workers still have the accelerators.

    Parameters
    ----------
    pinned : dict of str to int, default=None
        Accelerators of each worker in use by jobs that can't be stopped.
    """
    fleet = Fleet(workers)
    for worker, count in (pinned or {}).items():
        if worker in fleet.workers and count:
            # Booked as one task per accelerator, under a name that no attempt has.
            fleet.book(worker, "pinned", count, TaskResources(1))
    previous_by_name = {allocation.name: allocation for allocation in previous}
    allocations: list[GuaranteeAllocation] = []
    unplaced: list[_ShapeDemand] = []
    for demand in _shape_demands(guarantees):
        allocation = previous_by_name.get(f"{demand.workspace}#{demand.index}")
        if (
            allocation
            and allocation.accelerators == demand.shape.accelerators
            and _still_available(fleet, allocation)
        ):
            _book_allocation(fleet, allocation)
            allocations.append(allocation)
        else:
            unplaced.append(demand)
    missing = []
    for demand in unplaced:
        shape = GangShape(
            demand.shape.accelerators,
            TaskResources(1),
            Adjacency(demand.shape.adjacency),
        )
        members = place(fleet, shape)
        if not members:
            missing.append((demand.workspace, demand.shape))
            continue
        accelerators_by_worker = {member.worker: member.tasks for member in members}
        allocation = GuaranteeAllocation(
            demand.workspace,
            demand.index,
            demand.shape.accelerators,
            accelerators_by_worker,
        )
        _book_allocation(fleet, allocation)
        allocations.append(allocation)
    return AllocationPlan(allocations, missing)


def _still_available(fleet: Fleet, allocation: GuaranteeAllocation) -> bool:
    return all(
        w in fleet.workers and fleet.workers[w].free >= n
        for w, n in allocation.accelerators_by_worker.items()
    )


def _book_allocation(fleet: Fleet, allocation: GuaranteeAllocation) -> None:
    for worker, count in allocation.accelerators_by_worker.items():
        fleet.book(worker, allocation.name, count, TaskResources(1))


def guarantee_conflict(
    guarantees: Iterable[Guarantee], workers: Iterable[WorkerInfo]
) -> str:
    """Return why guarantees conflict, or an empty string if all can be satisfied.

    Those with `survive_domain_loss` must also fit without any one failure domain.
    """
    guarantees, workers = list(guarantees), list(workers)
    plan = allocate_guarantees(guarantees, workers)
    if plan.missing:
        return _infeasibility_message(plan, "")
    surviving = [g for g in guarantees if g.survive_domain_loss]
    for domain in sorted({w.domain for w in workers}) if surviving else ():
        plan = allocate_guarantees(
            surviving, [w for w in workers if w.domain != domain]
        )
        if plan.missing:
            return _infeasibility_message(
                plan, f" without the failure domain {domain!r}"
            )
    return ""


def _infeasibility_message(plan: AllocationPlan, condition: str) -> str:
    workspace, shape = plan.missing[0]
    required = describe_shape(shape.accelerators, 1, shape.adjacency)
    return (
        f"the guarantees can't be satisfied together{condition}: no allocation for "
        f"{required} of {workspace!r}"
    )
