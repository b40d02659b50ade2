"""Compares policies that route requests to minions by load reports that are outdated.

Three entries route independently to ten minions with eight slots each. One minion is
three times slower than the others, and one fails every request at once. The queues at
the minions are simulated.
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
ANNOUNCE_INTERVAL_S = 1.0
DURATION_S = 60.0
DEADLINE_S = 2.0
LOADS = (0.5, 0.9, 1.2, 1.5)

ChooseMinion = Callable[[Router, random.Random, float], str]


def sorted_minions(router: Router) -> list:
    """Return the minions of a router, sorted by name."""
    return sorted(router.minions.values(), key=lambda m: m.name)


def round_robin() -> ChooseMinion:
    """Choose the minions in turn."""
    counters: dict[int, itertools.count] = {}

    def choose(router, _rng, _now_s):
        turn = next(counters.setdefault(id(router), itertools.count()))
        minions = sorted_minions(router)
        return minions[turn % len(minions)].name

    return choose


def random_choice() -> ChooseMinion:
    """Choose a random minion."""
    return lambda router, rng, _now_s: rng.choice(sorted_minions(router)).name


def least_connections() -> ChooseMinion:
    """Choose the minion to which this entry has the fewest open requests."""

    def choose(router, rng, _now_s):
        key = {m.name: (m.in_flight, rng.random()) for m in router.minions.values()}
        return min(router.minions, key=key.__getitem__)

    return choose


def power_of_two() -> ChooseMinion:
    """Choose the less loaded of two random minions, by their reported load too."""

    def choose(router, rng, _now_s):
        candidates = rng.sample(sorted_minions(router), 2)
        return min(candidates, key=lambda m: m.load()).name

    return choose


def bounded_load() -> ChooseMinion:
    """Use the router itself: two choices, latency, ejection and bounded load."""
    return lambda router, _rng, now_s: router.choose(now_s).minion


class RoutingSimulation:
    """Simulates the requests under one policy at one load."""

    def __init__(self, make_policy: Callable[[], ChooseMinion], load: float):
        self.rng = random.Random(SEED)
        self.routers = [Router(1.5, SEED + i) for i in range(ENTRIES)]
        self.choose = make_policy()
        self.router_counts_requests = make_policy is bounded_load
        self.busy = [0] * MINIONS
        self.queues: list[list] = [[] for _ in range(MINIONS)]
        self.events: list = []
        self.order = itertools.count()
        self.rate_per_s = load * MINIONS * SLOTS / MEAN_RUN_S
        self.latency_s: list[float] = []
        self.counts = {"done": 0, "failed": 0, "shed": 0, "late": 0}

    def schedule(self, at_s, call, *arguments):
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
            self.schedule(now_s + ANNOUNCE_INTERVAL_S, self.announce)

    def arrive(self, now_s):
        router = self.rng.choice(self.routers)
        name = self.choose(router, self.rng, now_s)
        if not name:
            self.counts["shed"] += 1
        else:
            if not self.router_counts_requests:
                router.minions[name].in_flight += 1
            self.send(now_s, router, int(name[1:]))
        if now_s < DURATION_S:
            self.schedule(now_s + self.rng.expovariate(self.rate_per_s), self.arrive)

    def send(self, now_s, router, index):
        request = (now_s, router)
        if index == 1:  # the minion that fails at once
            self.schedule(now_s + 0.002, self.finish, request, index, True)
        elif self.busy[index] < SLOTS:
            self.start(now_s, request, index)
        else:
            self.queues[index].append(request)

    def start(self, now_s, request, index):
        self.busy[index] += 1
        run_s = self.rng.expovariate(1 / MEAN_RUN_S) * (3.0 if index == 0 else 1.0)
        self.schedule(now_s + run_s, self.complete, request, index)

    def complete(self, now_s, request, index):
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


def retry_load() -> dict:
    """Return the attempts per request while every attempt fails."""
    budget = RetryBudget(0.1)
    attempts = 0
    requests = 10_000
    for _ in range(requests):
        budget.first_try()
        attempts += 1
        for _ in range(2):
            if not budget.allow_retry():
                break
            attempts += 1
    unbounded_attempts = requests * 3
    return {
        "with_budget": attempts / requests,
        "without": unbounded_attempts / requests,
    }


def main() -> None:
    """Print the results of all policies at all loads."""
    policies = {
        "round-robin": round_robin,
        "random": random_choice,
        "least-connections": least_connections,
        "power-of-two": power_of_two,
        "bounded": bounded_load,
    }
    results: dict = {
        name: {str(load): RoutingSimulation(make_policy, load).run() for load in LOADS}
        for name, make_policy in policies.items()
    }
    results["retry_load_in_an_outage"] = retry_load()
    print_results("routing", SEED, results)


if __name__ == "__main__":
    main()
