"""Order of the queue: first in first out, greedy, and reservation with backfill.

Also the wait of urgent jobs within their workspace's guarantee, and the longest wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from cicadabank.decisions import ConfigView
from cicadabank.decisions.internal import planner
from cicadabank.model import Guarantee, GuaranteedShape, JobSpec, Workspace

from benchmarks.driver import Driver
from benchmarks.fleets import bursty_work, fleet_infos
from benchmarks.results import percentiles, print_results

SEED = 12
WORKERS = 30
JOBS = 1500
LOAD = 1.0
URGENT_EVERY_S = 600.0
URGENT_BOUND_S = 2.5
TICK_S = 0.25


@contextmanager
def fifo() -> Iterator[None]:
    """Let no job pass one that waits."""
    plan, try_start = planner.plan, planner._try_start
    blocked = []

    def plan_anew(state, now_s):
        blocked.clear()
        plan(state, now_s)

    def in_order(state, entry, now_s):
        if blocked and not entry.row.spec.urgent:
            return False
        started = try_start(state, entry, now_s)
        if not started and not entry.row.spec.urgent:
            blocked.append(entry)
        return started

    with (
        mock.patch.object(planner, "plan", plan_anew),
        mock.patch.object(planner, "_try_start", in_order),
    ):
        yield


@contextmanager
def greedy() -> Iterator[None]:
    """Start whatever fits, and hold nothing for those that wait."""
    with mock.patch.object(planner, "refresh_hold", lambda *_: None):
        yield


@contextmanager
def backfill() -> Iterator[None]:
    """Change nothing."""
    yield


def run_policy() -> dict:
    """Run the seeded work; return the waits and completion times."""
    guarantee = Guarantee("kiln", "lakes", (GuaranteedShape(16),))
    workspaces = {w: Workspace(w, 10_000) for w in ("glaze", "kiln")}
    view = ConfigView(1, {}, {guarantee.name: guarantee}, workspaces)
    driver = Driver(fleet_infos(WORKERS), view, TICK_S)
    work = bursty_work(SEED, WORKERS, JOBS, LOAD)
    classes: dict[str, str] = {}

    def submit(item) -> None:
        spec = JobSpec(
            "glaze", tasks=item.tasks, estimate_s=item.declared_s, checkpointable=True
        )
        classes[driver.submit(spec, item.run_s)] = item.size_class

    def submit_urgent() -> None:
        spec = JobSpec("kiln", tasks=16, urgent=True, estimate_s=60.0)
        classes[driver.submit(spec, 60.0)] = "urgent"

    for item in work:
        driver.at(item.at_s, submit, item)
    last_s = work[-1].at_s
    at_s = URGENT_EVERY_S
    while at_s < last_s:
        driver.at(at_s, submit_urgent)
        at_s += URGENT_EVERY_S
    driver.run(last_s * 3)
    return _results(driver, classes)


def _results(driver: Driver, classes: dict[str, str]) -> dict:
    completion: dict[str, list[float]] = {}
    waits: list[float] = []
    urgent: list[float] = []
    for job, size_class in classes.items():
        progress = driver.jobs[job]
        completion.setdefault(size_class, []).append(
            progress.ended_s - progress.submitted_s
        )
        wait_s = progress.first_start_s - progress.submitted_s
        (urgent if size_class == "urgent" else waits).append(wait_s)
    return {
        "completion_s": {k: percentiles(v) for k, v in sorted(completion.items())},
        "longest_wait_s": round(max(waits), 1),
        "unfinished": sum(p.ended_s < 0 for p in driver.jobs.values()),
        "urgent_start_s": percentiles(urgent),
        "urgent_within_bound": all(wait <= URGENT_BOUND_S for wait in urgent),
    }


def main() -> None:
    """Print the figures of all policies."""
    results = {}
    for policy in (fifo, greedy, backfill):
        with policy():
            results[policy.__name__] = run_policy()
    print_results("order", SEED, results)


if __name__ == "__main__":
    main()
