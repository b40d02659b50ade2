"""Placement of gangs: first fit, best fit, the adjacent one, and one that spreads.

All place the same work, at two loads and four seeds; figures are means of the seeds.

The decision modules are driven directly by the events of starts and ends; jobs wait
in one queue and any that fits may start.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from statistics import mean

from cicadabank.decisions import Fleet, GangShape, Need, place
from cicadabank.model import Member

from benchmarks.fleets import ACCELERATORS, Work, bursty_work, fleet_infos
from benchmarks.results import percentiles, print_results

SEEDS = (11, 12, 13, 14)
WORKERS = 30
JOBS = 1500
LOADS = (0.75, 0.95)
GANGS = (8, 8, 16, 32)
SAMPLE_EVERY = 10

Place = Callable[[Fleet, GangShape], list[Member]]


def first_fit(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Take workers in order of their names, within one failure domain."""
    return _greedy(fleet, shape, lambda worker: worker.info.name)


def best_fit(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Take the workers with the least free accelerators first, within one domain."""
    return _greedy(fleet, shape, lambda worker: (worker.free, worker.info.name))


def _greedy(fleet: Fleet, shape: GangShape, key: Callable) -> list[Member]:
    ordered = sorted(fleet.workers.values(), key=key)
    for domain in fleet.domains:
        members, left = [], shape.tasks
        for worker in ordered:
            room = worker.room_for(shape.need)
            if worker.info.domain == domain and room and left:
                members.append(Member(worker.info.name, min(room, left)))
                left -= members[-1].tasks
        if not left:
            return members
    return []


def spreading(fleet: Fleet, shape: GangShape) -> list[Member]:
    """Take the emptiest failure domain, and place as adjacently as ours there."""
    for domain in sorted(fleet.domains, key=fleet.domain_free, reverse=True):
        members = place(fleet, shape._replace(domain=domain))
        if members:
            return members
    return []


def usable_share(fleet: Fleet, gang: int) -> float:
    """Return the share of free accelerators that gangs can use.

    Gangs of 8 within a worker, of 16 on whole workers of a rack, of 32 in a domain.
    """
    free = sum(max(0, worker.free) for worker in fleet.workers.values())
    if gang > 24:
        by_domain = [fleet.domain_free(domain) for domain in fleet.domains]
        usable = sum((count // gang) * gang for count in by_domain)
        return usable / free if free else 1.0
    racks: dict[str, int] = {}
    for worker in fleet.workers.values():
        whole = worker.free if gang <= 8 else (worker.free == 8) * 8
        racks[worker.info.rack] = racks.get(worker.info.rack, 0) + whole
    if gang <= 8:
        usable = sum((w.free // gang) * gang for w in fleet.workers.values())
    else:
        usable = sum((count // gang) * gang for count in racks.values())
    return usable / free if free else 1.0


class Run:
    """One policy over the seeded work."""

    def __init__(self, policy: Place, work: list[Work]):
        self.policy = policy
        self.fleet = Fleet(fleet_infos(WORKERS))
        self.work = work
        self.waiting: list[tuple[float, int]] = []
        self.ends: list[tuple[float, int]] = []
        self.running: dict[int, list[Member]] = {}
        self.completion: dict[str, list[float]] = {}
        self.shares: dict[int, list[float]] = {8: [], 16: [], 32: []}
        self.spread: list[int] = []
        self.largest: list[int] = []
        self.largest_in_a_domain: list[int] = []
        self.in_one_domain: list[float] = []

    def play(self) -> None:
        """Run the work to its end."""
        events = [(w.at_s, "arrive", i) for i, w in enumerate(self.work)]
        events += [
            (w.cancelled_at_s, "cancel", i)
            for i, w in enumerate(self.work)
            if w.cancelled_at_s
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
                item = self.work[index]
                self.completion.setdefault(item.size_class, []).append(
                    now_s - item.at_s
                )
            for index_started in self._start():
                end_s = now_s + self.work[index_started].run_s
                heapq.heappush(events, (end_s, "end", index_started))
            steps += 1
            if steps % SAMPLE_EVERY == 0:
                self._sample()

    def _start(self) -> list[int]:
        started = []
        for item in sorted(self.waiting):
            shape = GangShape(self.work[item[1]].tasks, Need(1))
            members = self.policy(self.fleet, shape)
            if members:
                self.waiting.remove(item)
                self.running[item[1]] = members
                self.spread.append(self._racks(members)) if shape.tasks > 8 else None
                for member in members:
                    self.fleet.book(member.worker, str(item[1]), member.tasks, Need(1))
                started.append(item[1])
        return started

    def _racks(self, members: list[Member]) -> int:
        return len({self.fleet.workers[m.worker].info.rack for m in members})

    def _release(self, index: int) -> None:
        for member in self.running.pop(index, ()):
            self.fleet.release(member.worker, str(index))

    def _sample(self) -> None:
        for gang, shares in self.shares.items():
            shares.append(usable_share(self.fleet, gang))
        racks: dict[str, int] = {}
        for worker in self.fleet.workers.values():
            racks[worker.info.rack] = racks.get(worker.info.rack, 0) + worker.free
        self.largest.append(max(racks.values()))
        free = [self.fleet.domain_free(domain) for domain in self.fleet.domains]
        self.largest_in_a_domain.append(max(free))
        total = WORKERS * ACCELERATORS
        busy = total - sum(free)
        if busy:
            most = max(total // len(free) - count for count in free)
            self.in_one_domain.append(most / busy)

    def results(self) -> dict:
        """Return completion times, fragmentation and spread."""
        figures: dict[str, float] = {}
        for size_class, times in sorted(self.completion.items()):
            found = percentiles(times)
            figures[f"{size_class} p50, s"] = found["p50"]
            figures[f"{size_class} p99, s"] = found["p99"]
        for gang, shares in self.shares.items():
            figures[f"free usable by gangs of {gang}"] = mean(shares)
        figures["largest free in a rack"] = mean(self.largest)
        figures["largest free in a domain"] = mean(self.largest_in_a_domain)
        figures["racks of a gang over 8"] = mean(self.spread)
        figures["running work in the fullest domain"] = mean(self.in_one_domain)
        return figures


POLICIES = {
    "first-fit": first_fit,
    "best-fit": best_fit,
    "spreading": spreading,
    "adjacent": place,
}


def figures_of(policy: Place, load: float) -> dict:
    """Return a policy's figures at a load, each the mean of all seeds."""
    results = []
    for seed in SEEDS:
        run = Run(policy, bursty_work(seed, WORKERS, JOBS, load, GANGS))
        run.play()
        results.append(run.results())
    return {key: round(mean(r[key] for r in results), 3) for key in results[0]}


def main() -> None:
    """Print the figures of all policies at all loads."""
    results = {
        f"{name} at {load}": figures_of(policy, load)
        for load in LOADS
        for name, policy in POLICIES.items()
    }
    print_results("placement", SEEDS[0], results)


if __name__ == "__main__":
    main()
