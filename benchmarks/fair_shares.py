"""Fair shares of workspaces: cost of the decision, and who is on time with and without.

Run as ``python -m benchmarks.fair_shares [--seeds N] [--rate X] [--small-rate X]``.
Without seeds, only the cost is measured.
"""

from __future__ import annotations

import random
import time
from argparse import ArgumentParser
from collections import Counter

from cicadabank.scheduling import SchedulingPolicy
from cicadabank.scheduling.internal import planner, shares
from cicadabank.scheduling.internal.policy import SharePolicy

from benchmarks.results import percentiles, print_results
from tests.support.workspace_burst import (
    GUARANTEES,
    WorkspaceBurst,
    burst_cell,
    step_of,
)

SEED = 17
TARGET_COUNTS = (60, 300, 1000)
ROUNDS = 30
POLICIES = {
    "off": SchedulingPolicy(),
    "on": SchedulingPolicy(shares=SharePolicy(enabled=True)),
}


def decision_cost(targets: int) -> dict:
    """Return the milliseconds of a planning round of a full cell, and of its shares.

    One batch step of 40 tasks for each three targets runs or waits.
    """
    cell = burst_cell(POLICIES["on"], targets=targets)
    rng, names = random.Random(SEED), list(GUARANTEES)
    for number in range(targets // 3):
        cell.submit(f"j{number}", "batch", [step_of("batch", rng)], rng.choice(names))
    cell.run(0.5)
    state = cell.scheduler.state
    index_by_job = {job: rng.random() for job in state.open_jobs}
    times_ms: dict[str, list[float]] = {"shares": [], "round off": [], "round on": []}
    for _ in range(ROUNDS):
        state.now_s += 0.1
        started_s = time.process_time()
        shares.update_shares(state)
        shares.weigh_indices(state, index_by_job)
        shares.protected_workspaces(state, names[-1])
        times_ms["shares"].append((time.process_time() - started_s) * 1000)
        for name, policy in POLICIES.items():
            state.policy = policy
            started_s = time.process_time()
            planner.plan(state)
            times_ms[f"round {name}"].append((time.process_time() - started_s) * 1000)
    tasks = sum(len(job.units) for job in state.open_jobs.values())
    return {"tasks": tasks} | {k: percentiles(v) for k, v in times_ms.items()}


def on_time(name: str, seeds: int, rate: float, small_rate: float) -> dict:
    """Return the jobs on time by queue and workspace, and the work stopped."""
    counts: dict[str, Counter[str]] = {}
    wasted_core_s: Counter[str] = Counter()
    stopped, longest_s = 0, 0.0
    for seed in range(seeds):
        burst = WorkspaceBurst(burst_cell(POLICIES[name]), seed, rate, small_rate).run()
        burst.cell.check()
        for key, count in burst.on_time_by_workspace().items():
            counts.setdefault(key, Counter()).update(count)
        wasted_core_s += burst.cell.wasted_core_s
        stopped += sum(run.outcome == "stopped" for run in burst.cell.history)
        waits_s = (burst.ended_s[job] - at_s for job, at_s in burst.accepted_s.items())
        longest_s = max(longest_s, *waits_s)
    return {
        "on time": {
            k: f"{c['on_time']}/{c['jobs']}" for k, c in sorted(counts.items())
        },
        "wasted, core-s": {k: round(v) for k, v in wasted_core_s.items()},
        "runs stopped": stopped,
        "longest job, s": round(longest_s, 1),
    }


def main() -> None:
    """Print the cost, and for some seeds who is on time."""
    parser = ArgumentParser()
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--small-rate", type=float, default=0.0)
    options = parser.parse_args()
    if options.seeds:
        inputs = (options.seeds, options.rate, options.small_rate)
        results = {name: on_time(name, *inputs) for name in POLICIES}
    else:
        results = {str(count): decision_cost(count) for count in TARGET_COUNTS}
    print_results("fair_shares", SEED, results)


if __name__ == "__main__":
    main()
