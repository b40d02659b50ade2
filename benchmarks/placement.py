"""Compares policies for the placement of gangs by completion time and fragmentation.

The policies are first fit, best fit, the scheduler's adjacent placement, and adjacent
placement in the emptiest failure domain. All place the same jobs, at two loads; each
result is the mean over four seeds.

The simulation calls the placement directly on arrivals, ends and cancellations. Jobs
wait in one queue, and any job that fits may start.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from statistics import mean

from cicadabank.decisions import Fleet, GangShape, TaskResources, place
from cicadabank.model import Member

from benchmarks.fleets import ACCELERATORS, GeneratedJob, bursty_jobs, fleet_infos
from benchmarks.results import percentiles, print_results

SEEDS = (11, 12, 13, 14)
WORKERS = 30
JOBS = 1500
LOADS = (0.75, 0.95)
GANG_SIZES = (8, 8, 16, 32)
SAMPLE_EVERY = 10

Policy = Callable[[Fleet, GangShape], list[Member]]


def first_fit(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Fill workers in the order of their names, within one failure domain."""
    return _greedy(fleet, shape, lambda worker: worker.info.name)


def best_fit(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Fill the workers with the fewest free accelerators first, within one domain."""
    return _greedy(fleet, shape, lambda worker: (worker.free, worker.info.name))


def _greedy(fleet: Fleet, shape: GangShape, key: Callable) -> list[Member]:
    ordered = sorted(fleet.workers.values(), key=key)
    for domain in fleet.domains:
        members, remaining = [], shape.tasks
        for worker in ordered:
            capacity = worker.max_tasks(shape.need)
            if worker.info.domain == domain and capacity and remaining:
                members.append(Member(worker.info.name, min(capacity, remaining)))
                remaining -= members[-1].tasks
        if not remaining:
            return members
    return []


def emptiest_domain(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Use the scheduler's placement in the emptiest failure domain that fits."""
    for domain in sorted(fleet.domains, key=fleet.domain_free, reverse=True):
        members = place(fleet, shape._replace(domain=domain))
        if members:
            return members
    return []


def usable_share(fleet: Fleet, gang: int) -> float:
    """Return the share of the free accelerators that gangs of a size can use.

    A gang of 8 needs one worker, one of 16 whole workers of a rack, and one of 32 a
    failure domain.
    """
    free = sum(max(0, worker.free) for worker in fleet.workers.values())
    if gang > 24:
        by_domain = [fleet.domain_free(domain) for domain in fleet.domains]
        usable = sum((count // gang) * gang for count in by_domain)
        return usable / free if free else 1.0
    racks: dict[str, int] = {}
    for worker in fleet.workers.values():
        usable_free = worker.free if gang <= 8 else (worker.free == 8) * 8
        racks[worker.info.rack] = racks.get(worker.info.rack, 0) + usable_free
    if gang <= 8:
        usable = sum((w.free // gang) * gang for w in fleet.workers.values())
    else:
        usable = sum((count // gang) * gang for count in racks.values())
    return usable / free if free else 1.0


class PlacementSimulation:
    """Simulates the seeded jobs under one policy."""

    def __init__(self, policy: Policy, jobs: list[GeneratedJob]):
        self.policy = policy
        self.fleet = Fleet(fleet_infos(WORKERS))
        self.jobs = jobs
        self.waiting: list[tuple[float, int]] = []
        self.ends: list[tuple[float, int]] = []
        self.running: dict[int, list[Member]] = {}
        self.completion_s: dict[str, list[float]] = {}
        self.usable_shares: dict[int, list[float]] = {8: [], 16: [], 32: []}
        self.racks_per_gang: list[int] = []
        self.largest_free_in_rack: list[int] = []
        self.largest_free_in_domain: list[int] = []
        self.fullest_domain_shares: list[float] = []

    def run(self) -> None:
        """Process the arrivals, ends and cancellations until none is left."""
        events = [(job.at_s, "arrive", i) for i, job in enumerate(self.jobs)]
        events += [
            (job.cancelled_at_s, "cancel", i)
            for i, job in enumerate(self.jobs)
            if job.cancelled_at_s
        ]
        heapq.heapify(events)
        steps = 0
        while events:
            now_s, kind, index = heapq.heappop(events)
            if kind == "arrive":
                self.waiting.append((now_s, index))
            elif kind == "cancel":
                self.waiting = [w for w in self.waiting if w[1] != index]
                self._release(index)
            elif index in self.running:
                self._release(index)
                job = self.jobs[index]
                self.completion_s.setdefault(job.size_class, []).append(
                    now_s - job.at_s
                )
            for started_index in self._start():
                end_s = now_s + self.jobs[started_index].run_s
                heapq.heappush(events, (end_s, "end", started_index))
            steps += 1
            if steps % SAMPLE_EVERY == 0:
                self._sample()

    def _start(self) -> list[int]:
        started = []
        for queued in sorted(self.waiting):
            shape = GangShape(self.jobs[queued[1]].tasks, TaskResources(1))
            members = self.policy(self.fleet, shape)
            if members:
                self.waiting.remove(queued)
                self.running[queued[1]] = members
                self.racks_per_gang.append(
                    self._racks(members)
                ) if shape.tasks > 8 else None
                for member in members:
                    self.fleet.book(
                        member.worker, str(queued[1]), member.tasks, TaskResources(1)
                    )
                started.append(queued[1])
        return started

    def _racks(self, members: list[Member]) -> int:
        return len({self.fleet.workers[m.worker].info.rack for m in members})

    def _release(self, index: int) -> None:
        for member in self.running.pop(index, ()):
            self.fleet.release(member.worker, str(index))

    def _sample(self) -> None:
        for gang, usable_shares in self.usable_shares.items():
            usable_shares.append(usable_share(self.fleet, gang))
        racks: dict[str, int] = {}
        for worker in self.fleet.workers.values():
            racks[worker.info.rack] = racks.get(worker.info.rack, 0) + worker.free
        self.largest_free_in_rack.append(max(racks.values()))
        free = [self.fleet.domain_free(domain) for domain in self.fleet.domains]
        self.largest_free_in_domain.append(max(free))
        total = WORKERS * ACCELERATORS
        busy = total - sum(free)
        if busy:
            fullest = max(total // len(free) - count for count in free)
            self.fullest_domain_shares.append(fullest / busy)

    def results(self) -> dict:
        """Return completion times, fragmentation and racks per gang."""
        results: dict[str, float] = {}
        for size_class, times in sorted(self.completion_s.items()):
            completion_s = percentiles(times)
            results[f"{size_class} p50, s"] = completion_s["p50"]
            results[f"{size_class} p99, s"] = completion_s["p99"]
        for gang, usable_shares in self.usable_shares.items():
            results[f"free usable by gangs of {gang}"] = mean(usable_shares)
        results["largest free in a rack"] = mean(self.largest_free_in_rack)
        results["largest free in a domain"] = mean(self.largest_free_in_domain)
        results["racks of a gang over 8"] = mean(self.racks_per_gang)
        results["running work in the fullest domain"] = mean(self.fullest_domain_shares)
        return results


POLICIES = {
    "first-fit": first_fit,
    "best-fit": best_fit,
    "spreading": emptiest_domain,
    "adjacent": place,
}


def mean_results(policy: Policy, load: float) -> dict:
    """Return a policy's results at a load, each the mean over all seeds."""
    results = []
    for seed in SEEDS:
        simulation = PlacementSimulation(
            policy, bursty_jobs(seed, WORKERS, JOBS, load, GANG_SIZES)
        )
        simulation.run()
        results.append(simulation.results())
    return {key: round(mean(r[key] for r in results), 3) for key in results[0]}


def main() -> None:
    """Print the results of all policies at all loads."""
    results = {
        f"{name} at {load}": mean_results(policy, load)
        for load in LOADS
        for name, policy in POLICIES.items()
    }
    print_results("placement", SEEDS[0], results)


if __name__ == "__main__":
    main()
