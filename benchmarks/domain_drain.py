"""Work done while a failure domain leaves and returns, against what is ideal."""

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
BACK_AT_S = 5400.0
END_S = 7200.0
LOADS = (0.6, 1.0)


@contextmanager
def at_once() -> Iterator[None]:
    """Stop everything in the domain as soon as it is out."""

    def check(state, now_s):
        for domain in state.domain_out_s:
            for attempt in drains._running_in(state, domain):
                spec = state.jobs[attempt.job].row.spec
                stop(state, attempt, "drain", now_s, checkpoint=spec.checkpointable)

    with mock.patch.object(drains, "check_drains", check):
        yield


@contextmanager
def at_deadline() -> Iterator[None]:
    """Let everything work on until the deadline, and stop it then."""

    def check(state, now_s):
        for domain, since_s in state.domain_out_s.items():
            if now_s >= since_s + STOP_AFTER_S:
                for attempt in drains._running_in(state, domain):
                    stop(state, attempt, "drain", now_s, checkpoint=False)

    with mock.patch.object(drains, "check_drains", check):
        yield


@contextmanager
def own() -> Iterator[None]:
    """Change nothing."""
    yield


def run(load: float) -> dict:
    """Return the kept work from the drain to the end, as a share of the ideal."""
    source = random.Random(SEED)
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10_000)})
    driver = Driver(fleet_infos(WORKERS), view)
    at_s = 0.0
    while at_s < END_S:
        tasks = source.choice((1, 2, 4, 8, 8, 16))
        run_s = source.uniform(200, 2000)
        spec = JobSpec(
            "glaze",
            tasks=tasks,
            estimate_s=run_s,
            checkpointable=source.random() < 0.6,
        )
        driver.at(at_s, driver.submit, spec, run_s)
        at_s += tasks * run_s / (WORKERS * ACCELERATORS * load)
    driver.at(OUT_AT_S, driver.set_domain, "d1", True, STOP_AFTER_S)
    driver.at(BACK_AT_S, driver.set_domain, "d1", False)
    driver.run(OUT_AT_S)
    before = _kept(driver)
    driver.run(END_S)
    kept = _kept(driver) - before
    lost = sum(p.lost_s * p.spec.accelerators for p in driver.jobs.values())
    whole, out = WORKERS * ACCELERATORS, WORKERS * ACCELERATORS * 0.3
    ideal = whole * (END_S - OUT_AT_S) - out * (BACK_AT_S - OUT_AT_S - STOP_AFTER_S)
    return {
        "share_of_ideal": round(kept / ideal, 4),
        "lost_accelerator_hours": round(lost / 3600, 2),
    }


def _kept(driver: Driver) -> float:
    """Return the accelerator-seconds of work that was not lost so far."""
    total = 0.0
    running = {
        attempt.job
        for attempt in driver.core.state.attempts.values()
        if attempt.phase is Phase.RUNNING
    }
    for job, progress in driver.jobs.items():
        kept_s = progress.kept_s
        if job in running:
            kept_s += driver.now_s - progress.started_s
        total += kept_s * progress.spec.accelerators
    return total


def main() -> None:
    """Print the figures of all policies."""
    results: dict = {}
    for policy in (at_once, at_deadline, own):
        with policy():
            results[policy.__name__] = {str(load): run(load) for load in LOADS}
    print_results("domain_drain", SEED, results)


if __name__ == "__main__":
    main()
