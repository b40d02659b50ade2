"""Requests around an outage of all minions: the load of retries, and the way back.

Three entries route to ten minions of eight slots at 90 % load. From 20 s to 30 s every
request fails at once, or is silent until its deadline. Callers of failed requests are
retried within the policy; queues at minions are counted, not run.
"""

from __future__ import annotations

import random
from collections import Counter

from cicadabank.decisions import RetryBudget

from benchmarks.results import print_results
from benchmarks.routing import MEAN_RUN_S, MINIONS, SLOTS, Bench, bounded

LOAD = 0.9
OUTAGE_S = (20.0, 30.0)
DURATION_S = 60.0
DEADLINE_S = 2.0
MOST_TRIES = 3
SEEDS = (14, 15, 16, 17)
BACK_SHARE = 0.95
STAYS_S = 3


class Unbounded:
    """Retries every failed try."""

    def first_try(self) -> None:
        """Earn nothing."""

    def allow_retry(self) -> bool:
        """Allow every retry."""
        return True


class Never(Unbounded):
    """Retries nothing."""

    def allow_retry(self) -> bool:
        """Allow no retry."""
        return False


class OutageBench(Bench):
    """One retry policy through one outage."""

    def __init__(self, make_budget, silent: bool, seed: int):
        super().__init__(bounded, LOAD)
        self.source = random.Random(seed)
        self.budget = make_budget()
        self.silent = silent
        self.first_tries: Counter[int] = Counter()
        self.tries: Counter[int] = Counter()
        self.good: Counter[int] = Counter()

    def arrive(self, now_s):
        self.budget.first_try()
        self.first_tries[int(now_s)] += 1
        self._try(now_s, now_s, 1)
        if now_s < DURATION_S:
            rate_per_s = LOAD * MINIONS * SLOTS / MEAN_RUN_S
            self.at(now_s + self.source.expovariate(rate_per_s), self.arrive)

    def _try(self, now_s, arrived_s, number):
        self.tries[int(now_s)] += 1
        router = self.source.choice(self.routers)
        name = self.choose(router, self.source, now_s)
        if not name:
            return
        index = int(name[1:])
        request = (arrived_s, now_s, router, number)
        if OUTAGE_S[0] <= now_s < OUTAGE_S[1]:
            wait_s = DEADLINE_S if self.silent else 0.002
            self.at(now_s + wait_s, self.finish, request, index, True)
        elif self.busy[index] < SLOTS:
            self.start(now_s, request, index)
        else:
            self.queues[index].append(request)

    def start(self, now_s, request, index):
        self.busy[index] += 1
        run_s = self.source.expovariate(1 / MEAN_RUN_S)
        self.at(now_s + run_s, self.leave, request, index)

    def finish(self, now_s, request, index, failed):
        arrived_s, sent_s, router, number = request
        router.finished(f"m{index}", failed, now_s - sent_s, now_s)
        if not failed and now_s - arrived_s <= DEADLINE_S:
            self.good[int(now_s)] += 1
        elif failed and number < MOST_TRIES and self.budget.allow_retry():
            self._try(now_s, arrived_s, number + 1)

    def results(self):
        first, last = int(OUTAGE_S[0]), int(OUTAGE_S[1])
        outage = range(first, last)
        before = sum(self.good[s] for s in range(first - 10, first)) / 10
        load = sum(self.tries[s] for s in outage) / sum(
            self.first_tries[s] for s in outage
        )
        return {"load": load, "back_s": self._back_s(last, before), "before": before}

    def _back_s(self, ended_s, before):
        for second in range(ended_s, int(DURATION_S) - STAYS_S):
            window = [self.good[second + i] for i in range(STAYS_S)]
            if sum(window) / STAYS_S >= BACK_SHARE * before:
                return second - ended_s
        return None


def main() -> None:
    """Print the load and the way back of each policy in both outages."""
    policies = {"never": Never, "budget": RetryBudget, "unbounded": Unbounded}
    results: dict = {}
    for kind, silent in (("fails_at_once", False), ("silent", True)):
        for name, make in policies.items():
            runs = [OutageBench(make, silent, seed).run() for seed in SEEDS]
            results[f"{kind}/{name}"] = {
                "load_of_tries": [round(run["load"], 3) for run in runs],
                "goodput_back_after_s": [run["back_s"] for run in runs],
                "goodput_before_per_s": [round(run["before"]) for run in runs],
            }
    print_results("outage", SEEDS[0], results)


if __name__ == "__main__":
    main()
