"""Routing of requests to minions whose load is announced late.

Three entries route on their own to ten minions with eight slots each; one minion is
three times slower and one fails fast. Queues at minions are counted, not run.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from cicadabank.decisions import RetryBudget, Router

from benchmarks.results import percentiles, print_results

SEED = 14
ENTRIES = 3
MINIONS = 10
SLOTS = 8
MEAN_RUN_S = 0.2
ANNOUNCE_S = 1.0
DURATION_S = 60.0
DEADLINE_S = 2.0
LOADS = (0.5, 0.9, 1.2, 1.5)

Choose = Callable[[Router, random.Random, float], str]


def open_minions(router: Router) -> list:
    """Return the minions of a router in order of their names."""
    return sorted(router.minions.values(), key=lambda m: m.name)


def round_robin() -> Choose:
    """Take the minions in turn."""
    counters: dict[int, itertools.count] = {}

    def choose(router, _source, _now_s):
        turn = next(counters.setdefault(id(router), itertools.count()))
        minions = open_minions(router)
        return minions[turn % len(minions)].name

    return choose


def at_random() -> Choose:
    """Take any minion."""
    return lambda router, source, _now_s: source.choice(open_minions(router)).name


def least_connections() -> Choose:
    """Take the minion to which this entry has the fewest open requests."""

    def choose(router, source, _now_s):
        key = {m.name: (m.in_flight, source.random()) for m in router.minions.values()}
        return min(router.minions, key=key.__getitem__)

    return choose


def power_of_two() -> Choose:
    """Take the less loaded of two random minions, announcements included."""

    def choose(router, source, _now_s):
        pair = source.sample(open_minions(router), 2)
        return min(pair, key=lambda m: m.load()).name

    return choose


def bounded() -> Choose:
    """Use the router's own choice: two choices, latency, ejection, bounds."""
    return lambda router, _source, now_s: router.choose(now_s).minion


class Bench:
    """One policy at one load."""

    def __init__(self, make: Callable[[], Choose], load: float):
        self.source = random.Random(SEED)
        self.routers = [Router(1.5, SEED + i) for i in range(ENTRIES)]
        self.choose = make()
        self.own_choice = make is bounded
        self.busy = [0] * MINIONS
        self.queues: list[list] = [[] for _ in range(MINIONS)]
        self.events: list = []
        self.order = itertools.count()
        self.rate_per_s = load * MINIONS * SLOTS / MEAN_RUN_S
        self.latency_s: list[float] = []
        self.counts = {"done": 0, "failed": 0, "shed": 0, "late": 0}

    def at(self, at_s, call, *arguments):
        heapq.heappush(self.events, (at_s, next(self.order), call, arguments))

    def run(self):
        self.announce(0.0)
        self.arrive(0.0)
        while self.events:
            now_s, _, call, arguments = heapq.heappop(self.events)
            call(now_s, *arguments)
        return self.results()

    def announce(self, now_s):
        for router in self.routers:
            for index in range(MINIONS):
                waiting = self.busy[index] + len(self.queues[index])
                router.announce(f"m{index}", SLOTS, waiting, now_s)
        if now_s < DURATION_S:
            self.at(now_s + ANNOUNCE_S, self.announce)

    def arrive(self, now_s):
        router = self.source.choice(self.routers)
        name = self.choose(router, self.source, now_s)
        if not name:
            self.counts["shed"] += 1
        else:
            if not self.own_choice:
                router.minions[name].in_flight += 1
            self.send(now_s, router, int(name[1:]))
        if now_s < DURATION_S:
            self.at(now_s + self.source.expovariate(self.rate_per_s), self.arrive)

    def send(self, now_s, router, index):
        request = (now_s, router)
        if index == 1:  # fails fast
            self.at(now_s + 0.002, self.finish, request, index, True)
        elif self.busy[index] < SLOTS:
            self.start(now_s, request, index)
        else:
            self.queues[index].append(request)

    def start(self, now_s, request, index):
        self.busy[index] += 1
        run_s = self.source.expovariate(1 / MEAN_RUN_S) * (3.0 if index == 0 else 1.0)
        self.at(now_s + run_s, self.leave, request, index)

    def leave(self, now_s, request, index):
        self.busy[index] -= 1
        if self.queues[index]:
            self.start(now_s, self.queues[index].pop(0), index)
        self.finish(now_s, request, index, False)

    def finish(self, now_s, request, index, failed):
        arrived_s, router = request
        latency_s = now_s - arrived_s
        router.finished(f"m{index}", failed, latency_s, now_s)
        if failed:
            self.counts["failed"] += 1
        elif latency_s > DEADLINE_S:
            self.counts["late"] += 1
        else:
            self.counts["done"] += 1
            self.latency_s.append(latency_s)

    def results(self):
        total = sum(self.counts.values())
        return {
            "latency_s": percentiles(self.latency_s),
            "goodput_share": round(self.counts["done"] / total, 4),
            **{k: round(v / total, 4) for k, v in self.counts.items() if k != "done"},
        }


def retry_outage() -> dict:
    """Return the extra load that retries add while every try fails."""
    budget = RetryBudget(0.1)
    sent = 0
    first_tries = 10_000
    for _ in range(first_tries):
        budget.first_try()
        sent += 1
        for _ in range(2):
            if not budget.allow_retry():
                break
            sent += 1
    unbounded = first_tries * 3
    return {"with_budget": sent / first_tries, "without": unbounded / first_tries}


def main() -> None:
    """Print the figures of all policies at all loads."""
    policies = {
        "round-robin": round_robin,
        "random": at_random,
        "least-connections": least_connections,
        "power-of-two": power_of_two,
        "bounded": bounded,
    }
    results: dict = {
        name: {str(load): Bench(make, load).run() for load in LOADS}
        for name, make in policies.items()
    }
    results["retry_load_in_an_outage"] = retry_outage()
    print_results("routing", SEED, results)


if __name__ == "__main__":
    main()
