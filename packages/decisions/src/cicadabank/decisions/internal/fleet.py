"""The workers of a cell and an index of their free accelerators.

The index finds the best fit in time logarithmic in the number of workers, so the
cost of a placement hardly grows with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList


class WorkerInfo(NamedTuple):
    """Location and size of a worker, as its agent reports them."""

    name: str
    domain: str
    rack: str
    accelerators: int
    # The defaults stand for unlimited cores and memory.
    cores: int = 1_000_000
    memory_mb: int = 1_000_000_000


class TaskResources(NamedTuple):
    """Resources that one task of a gang takes on its worker."""

    accelerators: int
    cores: int = 0
    memory_mb: int = 0


class Worker:
    """A worker's reported size, its bookings and its free resources."""

    __slots__ = (
        "bookings",
        "cores_free",
        "free",
        "guaranteed",
        "indexed",
        "info",
        "memory_free_mb",
    )

    def __init__(self, info: WorkerInfo):
        self.info = info
        self.free = info.accelerators
        self.cores_free = info.cores
        self.memory_free_mb = info.memory_mb
        self.guaranteed = 0
        self.indexed = False
        self.bookings: dict[str, tuple[int, TaskResources]] = {}

    def max_tasks(self, need: TaskResources) -> int:
        """Return how many tasks with this need fit into the free resources."""
        capacity = self.free // need.accelerators
        if need.cores:
            capacity = min(capacity, self.cores_free // need.cores)
        if need.memory_mb:
            capacity = min(capacity, self.memory_free_mb // need.memory_mb)
        return max(0, capacity)


class Rack:
    """The workers of one rack that accept new work."""

    __slots__ = ("domain", "free", "name", "workers")

    def __init__(self, domain: str, name: str):
        self.domain = domain
        self.name = name
        self.free = 0
        self.workers: set[str] = set()


class Fleet:
    """All workers of a cell; those that accept new work are indexed.

    A worker's index key holds its free accelerators, then those of its rack, then
    those of its accelerators that back guarantees. The first key that fits is
    therefore the worker with the fewest free accelerators; among equals it is in the
    rack with the fewest free ones and backs the fewest guaranteed ones.
    """

    def __init__(self, infos: Iterable[WorkerInfo] = ()):
        self.workers: dict[str, Worker] = {}
        self._racks: dict[tuple[str, str], Rack] = {}
        self._by_free: SortedDict = SortedDict()  # domain -> SortedList of worker keys
        # domain -> SortedList of (free, rack)
        self._racks_by_free: SortedDict = SortedDict()
        self._domain_free: dict[str, int] = {}
        for info in infos:
            self.add(info)

    def add(self, info: WorkerInfo, indexed: bool = True) -> Worker:
        """Add a worker, or replace one that has changed, keeping its bookings.

        A worker may change its location or its size.
        """
        previous = self.workers.get(info.name)
        if previous is not None:
            if previous.info == info:
                return previous
            self.remove(info.name)
        worker = Worker(info)
        self.workers[info.name] = worker
        if previous is not None:
            for attempt, (tasks, need) in previous.bookings.items():
                self._book(worker, attempt, tasks, need)
        if indexed:
            self.admit(info.name)
        return worker

    def remove(self, name: str) -> None:
        """Remove a worker and its bookings."""
        self.exclude(name)
        self.workers.pop(name, None)

    def admit(self, name: str) -> None:
        """Add a worker to the index, so that it accepts new work."""
        worker = self.workers[name]
        if worker.indexed:
            return
        info = worker.info
        rack = self._racks.setdefault(
            (info.domain, info.rack), Rack(info.domain, info.rack)
        )
        self._remove_rack_from_index(rack)
        rack.workers.add(name)
        rack.free += worker.free
        self._domain_free[info.domain] = (
            self._domain_free.get(info.domain, 0) + worker.free
        )
        worker.indexed = True
        self._add_rack_to_index(rack)

    def exclude(self, name: str) -> None:
        """Remove a worker from the index, so that it gets no new work.

        Its bookings stay.
        """
        worker = self.workers.get(name)
        if worker is None or not worker.indexed:
            return
        info = worker.info
        rack = self._racks[(info.domain, info.rack)]
        self._remove_rack_from_index(rack)
        rack.workers.discard(name)
        rack.free -= worker.free
        self._domain_free[info.domain] -= worker.free
        worker.indexed = False
        self._add_rack_to_index(rack)

    def set_guaranteed(self, guaranteed: dict[str, int]) -> None:
        """Set how many accelerators of each worker back guarantees."""
        for name, worker in self.workers.items():
            count = guaranteed.get(name, 0)
            if worker.guaranteed != count:
                self._reindex(
                    worker, lambda w=worker, c=count: setattr(w, "guaranteed", c)
                )

    def book(self, name: str, attempt: str, tasks: int, need: TaskResources) -> None:
        """Book resources for an attempt's tasks on a worker, unless already booked."""
        worker = self.workers[name]
        if attempt not in worker.bookings:
            self._reindex(worker, lambda: self._book(worker, attempt, tasks, need))

    @staticmethod
    def _book(worker: Worker, attempt: str, tasks: int, need: TaskResources) -> None:
        worker.bookings[attempt] = (tasks, need)
        worker.free -= tasks * need.accelerators
        worker.cores_free -= tasks * need.cores
        worker.memory_free_mb -= tasks * need.memory_mb

    def release(self, name: str, attempt: str) -> None:
        """Release the resources that an attempt has booked on a worker."""
        worker = self.workers.get(name)
        if worker is None or attempt not in worker.bookings:
            return
        self._reindex(worker, lambda: self._release(worker, attempt))

    @staticmethod
    def _release(worker: Worker, attempt: str) -> None:
        tasks, need = worker.bookings.pop(attempt)
        worker.free += tasks * need.accelerators
        worker.cores_free += tasks * need.cores
        worker.memory_free_mb += tasks * need.memory_mb

    def _reindex(self, worker: Worker, change) -> None:
        if not worker.indexed:
            change()
            return
        rack = self._racks[(worker.info.domain, worker.info.rack)]
        before = worker.free
        self._remove_rack_from_index(rack)
        change()
        rack.free += worker.free - before
        self._domain_free[worker.info.domain] += worker.free - before
        self._add_rack_to_index(rack)

    def _index_key(self, name: str, rack: Rack) -> tuple[int, int, int, str]:
        worker = self.workers[name]
        return (worker.free, rack.free, worker.guaranteed, name)

    def _remove_rack_from_index(self, rack: Rack) -> None:
        if not rack.workers:
            return
        by_free = self._by_free[rack.domain]
        for name in rack.workers:
            by_free.remove(self._index_key(name, rack))
        self._racks_by_free[rack.domain].remove((rack.free, rack.name))

    def _add_rack_to_index(self, rack: Rack) -> None:
        if not rack.workers:
            return
        by_free = self._by_free.setdefault(rack.domain, SortedList())
        for name in rack.workers:
            by_free.add(self._index_key(name, rack))
        self._racks_by_free.setdefault(rack.domain, SortedList()).add(
            (rack.free, rack.name)
        )

    @property
    def domains(self) -> list[str]:
        """The failure domains with indexed workers, sorted by name."""
        return [domain for domain, workers in self._by_free.items() if workers]

    def domain_free(self, domain: str) -> int:
        """Return the free accelerators of a domain's indexed workers."""
        return self._domain_free.get(domain, 0)

    def workers_with_free(self, domain: str, accelerators: int) -> Iterator[Worker]:
        """Yield a domain's workers with enough free accelerators, fewest free first."""
        keys = self._by_free.get(domain, ())
        for key in keys.irange((accelerators,)) if keys else ():
            yield self.workers[key[3]]

    def racks_with_free(self, domain: str, accelerators: int) -> Iterator[Rack]:
        """Yield a domain's racks with enough free accelerators, fewest free first."""
        keys = self._racks_by_free.get(domain, ())
        for _, name in keys.irange((accelerators,)) if keys else ():
            yield self._racks[(domain, name)]

    def racks_by_free_descending(self, domain: str) -> Iterator[Rack]:
        """Yield a domain's racks, most free accelerators first."""
        for _, name in reversed(self._racks_by_free.get(domain, ())):
            yield self._racks[(domain, name)]

    def max_domain_free(self) -> int:
        """Return the largest number of free accelerators in any one failure domain."""
        return max((self.domain_free(domain) for domain in self.domains), default=0)
