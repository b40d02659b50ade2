"""Load by retries during an outage of all minions, and the recovery afterwards.

Three entries route to ten minions of eight slots at 90 % load. From 20 s to 30 s every
attempt fails at once, or gets no reply within ``DEADLINE_S`` of being sent. Failed
attempts are retried as the retry policy allows, also after the request's deadline. The
queues at the minions are simulated.
"""

from __future__ import annotations

import random
from collections import Counter

from cicadabank.decisions import RetryBudget

from benchmarks.results import print_results
from benchmarks.routing import (
    MEAN_RUN_S,
    MINIONS,
    SLOTS,
    RoutingSimulation,
    bounded_load,
)

LOAD = 0.9
OUTAGE_S = (20.0, 30.0)
DURATION_S = 60.0
DEADLINE_S = 2.0
MAX_ATTEMPTS = 3
SEEDS = (14, 15, 16, 17)
RECOVERED_SHARE = 0.95
RECOVERED_FOR_S = 3


class UnboundedRetries:
    """Retry budget that allows every retry."""

    def first_try(self) -> None:
        """Do nothing; retries are not counted against the requests."""

    def allow_retry(self) -> bool:
        """Allow every retry."""
        return True


class NoRetries(UnboundedRetries):
    """Retry budget that allows no retry."""

    def allow_retry(self) -> bool:
        """Allow no retry."""
        return False


class OutageSimulation(RoutingSimulation):
    """Simulates the requests before, during and after an outage, for a retry policy."""

    def __init__(self, make_budget, unresponsive: bool, seed: int):
        super().__init__(bounded_load, LOAD)
        self.rng = random.Random(seed)
        self.budget = make_budget()
        self.unresponsive = unresponsive
        self.requests: Counter[int] = Counter()
        self.attempts: Counter[int] = Counter()
        self.done_in_time: Counter[int] = Counter()

    def arrive(self, now_s):
        self.budget.first_try()
        self.requests[int(now_s)] += 1
        self._send_attempt(now_s, now_s, 1)
        if now_s < DURATION_S:
            rate_per_s = LOAD * MINIONS * SLOTS / MEAN_RUN_S
            self.schedule(now_s + self.rng.expovariate(rate_per_s), self.arrive)

    def _send_attempt(self, now_s, arrived_s, number):
        self.attempts[int(now_s)] += 1
        router = self.rng.choice(self.routers)
        name = self.choose(router, self.rng, now_s)
        if not name:
            return
        index = int(name[1:])
        request = (arrived_s, now_s, router, number)
        if OUTAGE_S[0] <= now_s < OUTAGE_S[1]:
            wait_s = DEADLINE_S if self.unresponsive else 0.002
            self.schedule(now_s + wait_s, self.finish, request, index, True)
        elif self.busy[index] < SLOTS:
            self.start(now_s, request, index)
        else:
            self.queues[index].append(request)

    def start(self, now_s, request, index):
        self.busy[index] += 1
        run_s = self.rng.expovariate(1 / MEAN_RUN_S)
        self.schedule(now_s + run_s, self.complete, request, index)

    def finish(self, now_s, request, index, failed):
        arrived_s, sent_s, router, number = request
        router.finished(f"m{index}", failed, now_s - sent_s, now_s)
        if not failed and now_s - arrived_s <= DEADLINE_S:
            self.done_in_time[int(now_s)] += 1
        elif failed and number < MAX_ATTEMPTS and self.budget.allow_retry():
            self._send_attempt(now_s, arrived_s, number + 1)

    def results(self):
        first, last = int(OUTAGE_S[0]), int(OUTAGE_S[1])
        outage = range(first, last)
        before_per_s = sum(self.done_in_time[s] for s in range(first - 10, first)) / 10
        attempts_per_request = sum(self.attempts[s] for s in outage) / sum(
            self.requests[s] for s in outage
        )
        return {
            "load": attempts_per_request,
            "back_s": self._recovery_s(last, before_per_s),
            "before": before_per_s,
        }

    def _recovery_s(self, ended_s, before_per_s):
        for second in range(ended_s, int(DURATION_S) - RECOVERED_FOR_S):
            window = [self.done_in_time[second + i] for i in range(RECOVERED_FOR_S)]
            if sum(window) / RECOVERED_FOR_S >= RECOVERED_SHARE * before_per_s:
                return second - ended_s
        return None


def main() -> None:
    """Print the load and the recovery of each policy, in both kinds of outage."""
    policies = {
        "never": NoRetries,
        "budget": RetryBudget,
        "unbounded": UnboundedRetries,
    }
    results: dict = {}
    for kind, unresponsive in (("fails_at_once", False), ("silent", True)):
        for name, make_budget in policies.items():
            runs = [
                OutageSimulation(make_budget, unresponsive, seed).run()
                for seed in SEEDS
            ]
            results[f"{kind}/{name}"] = {
                "load_of_tries": [round(run["load"], 3) for run in runs],
                "goodput_back_after_s": [run["back_s"] for run in runs],
                "goodput_before_per_s": [round(run["before"]) for run in runs],
            }
    print_results("outage", SEEDS[0], results)


if __name__ == "__main__":
    main()
