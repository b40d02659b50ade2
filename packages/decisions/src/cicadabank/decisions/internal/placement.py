"""Placement of gangs on adjacent workers, with little fragmentation."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cicadabank.decisions.internal.fleet import Fleet, Rack, TaskResources, Worker
from cicadabank.model import Adjacency, JobSpec, Member

MAX_RACKS_TRIED = 16
MAX_WORKERS_TRIED = 32


class GangShape(NamedTuple):
    """The tasks of a gang, and the domain and adjacency that they require."""

    tasks: int
    need: TaskResources
    adjacency: Adjacency = Adjacency.DOMAIN
    domain: str = ""

    @classmethod
    def of(cls, spec: JobSpec) -> GangShape:
        """Return the gang shape that a job specification asks for."""
        need = TaskResources(
            spec.accelerators_per_task, spec.cores_per_task, spec.memory_mb_per_task
        )
        return cls(spec.tasks, need, spec.adjacency, spec.domain)

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the whole gang."""
        return self.tasks * self.need.accelerators


WorkerLimit = Callable[[Worker], int]


def place(
    fleet: Fleet, shape: GangShape, limit: WorkerLimit | None = None
) -> list[Member]:
    """Choose workers for a whole gang, as close together as possible.

    A single worker is tried first, then a rack, then a failure domain. The search does
    not go beyond the shape's adjacency.

    Parameters
    ----------
    limit : callable, default=None
        Returns how many accelerators of a worker may be used; by default all free ones.

    Returns
    -------
    list of Member
        Empty if the whole gang doesn't fit.
    """
    domains = [d for d in fleet.domains if not shape.domain or d == shape.domain]
    members = _in_one_worker(fleet, shape, domains, limit)
    if members or shape.adjacency == Adjacency.WORKER:
        return members
    members = _in_one_rack(fleet, shape, domains, limit)
    if members or shape.adjacency == Adjacency.RACK:
        return members
    return _in_one_domain(fleet, shape, domains, limit)


def _task_capacity(
    worker: Worker, need: TaskResources, limit: WorkerLimit | None
) -> int:
    capacity = worker.max_tasks(need)
    if capacity and limit is not None:
        capacity = min(capacity, max(0, limit(worker)) // need.accelerators)
    return capacity


def _in_one_worker(
    fleet: Fleet, shape: GangShape, domains: list[str], limit: WorkerLimit | None
) -> list[Member]:
    best: Worker | None = None
    best_key: tuple = ()
    for domain in domains:
        for tried, worker in enumerate(
            fleet.workers_with_free(domain, shape.accelerators)
        ):
            if tried == MAX_WORKERS_TRIED:
                break
            if _task_capacity(worker, shape.need, limit) >= shape.tasks:
                key = (worker.free, worker.guaranteed, fleet.domain_free(domain))
                if best is None or key < best_key:
                    best, best_key = worker, key
                break
    return [Member(best.info.name, shape.tasks)] if best else []


def _assign_tasks(
    workers: list[Worker], shape: GangShape, tasks: int, limit: WorkerLimit | None
) -> list[Member]:
    """Assign tasks to the workers of largest capacity, the rest to the tightest fit.

    Returns an empty list if the tasks don't fit.
    """
    capacities = [
        (capacity, w)
        for w in workers
        if (capacity := _task_capacity(w, shape.need, limit))
    ]
    capacities.sort(key=lambda pair: (-pair[0], pair[1].guaranteed, pair[1].info.name))
    members: list[Member] = []
    while tasks and capacities:
        fitting = [i for i, (capacity, _) in enumerate(capacities) if capacity >= tasks]
        index = fitting[-1] if fitting else 0
        capacity, worker = capacities.pop(index)
        members.append(Member(worker.info.name, min(capacity, tasks)))
        tasks -= members[-1].tasks
    return [] if tasks else members


def _rack_capacity(
    fleet: Fleet, rack: Rack, shape: GangShape, limit: WorkerLimit | None
) -> int:
    return sum(
        _task_capacity(fleet.workers[n], shape.need, limit) for n in rack.workers
    )


def _rack_members(
    fleet: Fleet, rack: Rack, shape: GangShape, tasks: int, limit: WorkerLimit | None
) -> list[Member]:
    workers = [fleet.workers[name] for name in sorted(rack.workers)]
    return _assign_tasks(workers, shape, tasks, limit)


def _in_one_rack(
    fleet: Fleet, shape: GangShape, domains: list[str], limit: WorkerLimit | None
) -> list[Member]:
    best: list[Member] = []
    best_key: tuple = ()
    for domain in domains:
        for tried, rack in enumerate(fleet.racks_with_free(domain, shape.accelerators)):
            if tried == MAX_RACKS_TRIED or (best and rack.free > best_key[0]):
                break
            members = _rack_members(fleet, rack, shape, shape.tasks, limit)
            if members:
                key = (rack.free, len(members), fleet.domain_free(domain))
                if not best or key < best_key:
                    best, best_key = members, key
                break
    return best


def _in_one_domain(
    fleet: Fleet, shape: GangShape, domains: list[str], limit: WorkerLimit | None
) -> list[Member]:
    candidates = [d for d in domains if fleet.domain_free(d) >= shape.accelerators]
    for domain in sorted(candidates, key=fleet.domain_free):
        members = _assign_across_racks(fleet, domain, shape, limit)
        if members:
            return members
    return []


def _assign_across_racks(
    fleet: Fleet, domain: str, shape: GangShape, limit: WorkerLimit | None
) -> list[Member]:
    """Assign tasks to the racks with the most free accelerators.

    The last tasks go to the rack with the fewest free accelerators that fits them.
    Returns an empty list if the tasks don't fit.
    """
    members: list[Member] = []
    remaining = shape.tasks
    used: set[str] = set()
    for rack in fleet.racks_by_free_descending(domain):
        if rack.free < shape.need.accelerators:
            break
        capacity = _rack_capacity(fleet, rack, shape, limit)
        if capacity >= remaining:
            rack = _tightest_rack(fleet, domain, shape, remaining, limit, used) or rack
        assigned = min(remaining, _rack_capacity(fleet, rack, shape, limit))
        if assigned:
            members += _rack_members(fleet, rack, shape, assigned, limit)
            used.add(rack.name)
            remaining -= assigned
        if not remaining:
            return members
    return []


def _tightest_rack(
    fleet: Fleet,
    domain: str,
    shape: GangShape,
    tasks: int,
    limit: WorkerLimit | None,
    used: set[str],
) -> Rack | None:
    """Return the rack of least free accelerators that fits the remaining tasks.

    Returns None if there is none among the first `MAX_RACKS_TRIED`.
    """
    racks = fleet.racks_with_free(domain, tasks * shape.need.accelerators)
    for tried, rack in enumerate(racks):
        if tried == MAX_RACKS_TRIED:
            return None
        if rack.name not in used and _rack_capacity(fleet, rack, shape, limit) >= tasks:
            return rack
    return None


def nearest_possible(fleet: Fleet, shape: GangShape) -> GangShape | None:
    """Return the largest smaller shape that fits an idle fleet, or None.

    Parameters
    ----------
    fleet : Fleet
        Workers without bookings.
    """
    need = shape.need
    low, high = 0, shape.tasks
    while low < high:
        middle = (low + high + 1) // 2
        if place(fleet, shape._replace(tasks=middle)):
            low = middle
        else:
            high = middle - 1
    if low:
        return shape._replace(tasks=low)
    per_task = max((w.info.accelerators for w in fleet.workers.values()), default=0)
    if per_task and need.accelerators > per_task:
        smaller = shape._replace(tasks=1, need=need._replace(accelerators=per_task))
        return smaller if place(fleet, smaller) else None
    return None
