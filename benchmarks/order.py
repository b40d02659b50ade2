"""Queue disciplines: FIFO, greedy, and reservation with backfilling.

Also prints how long urgent jobs wait within their workspace's guarantee, and the
longest wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from cicadabank.decisions import ConfigView
from cicadabank.decisions.internal import planner
from cicadabank.model import Guarantee, GuaranteedShape, JobSpec, Workspace

from benchmarks.driver import Driver
from benchmarks.fleets import bursty_jobs, fleet_infos
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
    """Start jobs strictly in order; only urgent ones may pass a blocked job."""
    plan, try_start = planner.plan, planner._try_start
    blocked_jobs = []

    def reset_and_plan(state, now_s):
        blocked_jobs.clear()
        plan(state, now_s)

    def start_in_order(state, entry, now_s):
        if blocked_jobs and not entry.row.spec.urgent:
            return False
        started = try_start(state, entry, now_s)
        if not started and not entry.row.spec.urgent:
            blocked_jobs.append(entry)
        return started

    with (
        mock.patch.object(planner, "plan", reset_and_plan),
        mock.patch.object(planner, "_try_start", start_in_order),
    ):
        yield


@contextmanager
def greedy() -> Iterator[None]:
    """Start any job that fits, and reserve nothing for a blocked one."""
    with mock.patch.object(planner, "refresh_reservation", lambda *_: None):
        yield


@contextmanager
def backfill() -> Iterator[None]:
    """Use the scheduler's own backfill reservations."""
    yield


def run_policy() -> dict:
    """Run the seeded jobs; return the waits and the completion times."""
    guarantee = Guarantee("kiln", "lakes", (GuaranteedShape(16),))
    workspaces = {w: Workspace(w, 10_000) for w in ("glaze", "kiln")}
    view = ConfigView(1, {}, {guarantee.name: guarantee}, workspaces)
    driver = Driver(fleet_infos(WORKERS), view, TICK_S)
    generated = bursty_jobs(SEED, WORKERS, JOBS, LOAD)
    size_classes: dict[str, str] = {}

    def submit(job) -> None:
        spec = JobSpec(
            "glaze", tasks=job.tasks, estimate_s=job.estimate_s, checkpointable=True
        )
        size_classes[driver.submit(spec, job.run_s)] = job.size_class

    def submit_urgent() -> None:
        spec = JobSpec("kiln", tasks=16, urgent=True, estimate_s=60.0)
        size_classes[driver.submit(spec, 60.0)] = "urgent"

    for job in generated:
        driver.schedule(job.at_s, submit, job)
    last_s = generated[-1].at_s
    at_s = URGENT_EVERY_S
    while at_s < last_s:
        driver.schedule(at_s, submit_urgent)
        at_s += URGENT_EVERY_S
    driver.run(last_s * 3)
    return _results(driver, size_classes)


def _results(driver: Driver, size_classes: dict[str, str]) -> dict:
    completion_s: dict[str, list[float]] = {}
    waits_s: list[float] = []
    urgent_waits_s: list[float] = []
    for job, size_class in size_classes.items():
        simulated = driver.jobs[job]
        completion_s.setdefault(size_class, []).append(
            simulated.ended_s - simulated.submitted_s
        )
        wait_s = simulated.first_start_s - simulated.submitted_s
        (urgent_waits_s if size_class == "urgent" else waits_s).append(wait_s)
    return {
        "completion_s": {k: percentiles(v) for k, v in sorted(completion_s.items())},
        "longest_wait_s": round(max(waits_s), 1),
        "unfinished": sum(simulated.ended_s < 0 for simulated in driver.jobs.values()),
        "urgent_start_s": percentiles(urgent_waits_s),
        "urgent_within_bound": all(wait <= URGENT_BOUND_S for wait in urgent_waits_s),
    }


def main() -> None:
    """Print the results of all policies."""
    results = {}
    for policy in (fifo, greedy, backfill):
        with policy():
            results[policy.__name__] = run_policy()
    print_results("order", SEED, results)


if __name__ == "__main__":
    main()
