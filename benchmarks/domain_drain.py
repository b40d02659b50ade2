"""Work completed while a failure domain is drained and returns, against an ideal."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from cicadabank.decisions import ConfigView
from cicadabank.decisions.internal import drains
from cicadabank.decisions.internal.attempts import Phase
from cicadabank.decisions.internal.gangs import stop
from cicadabank.model import JobSpec, Workspace

from benchmarks.driver import Driver
from benchmarks.fleets import ACCELERATORS, fleet_infos
from benchmarks.results import print_results

SEED = 16
WORKERS = 30
OUT_AT_S = 1800.0
STOP_AFTER_S = 300.0
RETURN_AT_S = 5400.0
END_S = 7200.0
LOADS = (0.6, 1.0)


@contextmanager
def at_once() -> Iterator[None]:
    """Stop all runs in the domain as soon as it is out."""

    def check(state, now_s):
        for domain in state.domain_out_since_s:
            for attempt in drains._running_gangs_in(state, domain):
                spec = state.jobs[attempt.job].row.spec
                stop(state, attempt, "drain", now_s, checkpoint=spec.checkpointable)

    with mock.patch.object(drains, "check_drains", check):
        yield


@contextmanager
def at_deadline() -> Iterator[None]:
    """Let all runs in the domain continue until the deadline, then stop them."""

    def check(state, now_s):
        for domain, since_s in state.domain_out_since_s.items():
            if now_s >= since_s + STOP_AFTER_S:
                for attempt in drains._running_gangs_in(state, domain):
                    stop(state, attempt, "drain", now_s, checkpoint=False)

    with mock.patch.object(drains, "check_drains", check):
        yield


@contextmanager
def own() -> Iterator[None]:
    """Use the scheduler's own drain policy."""
    yield


def run(load: float) -> dict:
    """Return the work completed after the drain began, as a share of the ideal.

    The ideal: all accelerators work, except for those of the domain between the
    deadline of the drain and the domain's return.
    """
    rng = random.Random(SEED)
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10_000)})
    driver = Driver(fleet_infos(WORKERS), view)
    at_s = 0.0
    while at_s < END_S:
        tasks = rng.choice((1, 2, 4, 8, 8, 16))
        run_s = rng.uniform(200, 2000)
        spec = JobSpec(
            "glaze",
            tasks=tasks,
            estimate_s=run_s,
            checkpointable=rng.random() < 0.6,
        )
        driver.schedule(at_s, driver.submit, spec, run_s)
        at_s += tasks * run_s / (WORKERS * ACCELERATORS * load)
    driver.schedule(OUT_AT_S, driver.update_domain, "d1", True, STOP_AFTER_S)
    driver.schedule(RETURN_AT_S, driver.update_domain, "d1", False)
    driver.run(OUT_AT_S)
    completed_before = _completed_work(driver)
    driver.run(END_S)
    completed = _completed_work(driver) - completed_before
    lost_accelerator_s = sum(
        simulated.lost_s * simulated.spec.accelerators
        for simulated in driver.jobs.values()
    )
    total_accelerators, drained_accelerators = (
        WORKERS * ACCELERATORS,
        WORKERS * ACCELERATORS * 0.3,  # the domain has 9 of the 30 workers
    )
    ideal = total_accelerators * (END_S - OUT_AT_S) - drained_accelerators * (
        RETURN_AT_S - OUT_AT_S - STOP_AFTER_S
    )
    return {
        "share_of_ideal": round(completed / ideal, 4),
        "lost_accelerator_hours": round(lost_accelerator_s / 3600, 2),
    }


def _completed_work(driver: Driver) -> float:
    """Return the accelerator-seconds of work done so far and not lost."""
    total = 0.0
    running = {
        attempt.job
        for attempt in driver.core.state.attempts.values()
        if attempt.phase is Phase.RUNNING
    }
    for job, simulated in driver.jobs.items():
        completed_s = simulated.completed_s
        if job in running:
            completed_s += driver.now_s - simulated.started_s
        total += completed_s * simulated.spec.accelerators
    return total


def main() -> None:
    """Print the results of all policies."""
    results: dict = {}
    for policy in (at_once, at_deadline, own):
        with policy():
            results[policy.__name__] = {str(load): run(load) for load in LOADS}
    print_results("domain_drain", SEED, results)


if __name__ == "__main__":
    main()
