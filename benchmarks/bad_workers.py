"""Finding workers that fail everything; leaving good ones alone when jobs are bad."""

from __future__ import annotations

from unittest import mock

from cicadabank.decisions import ConfigView, WorkerHealth
from cicadabank.model import JobSpec, Workspace

from benchmarks.driver import Driver
from benchmarks.fleets import fleet_infos
from benchmarks.results import print_results

SEED = 15
WORKERS = 30
JOBS = 600
BAD_JOBS_EVERY = 10
RUN_S = 30.0
FIRST_USED = 3  # the first worker of the smallest failure domain


def run(bad_workers: int, bad_jobs: bool, found: bool) -> dict:
    """Run short jobs; return what the failures cost and who was set apart."""
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10_000)})
    driver = Driver(fleet_infos(WORKERS), view, tick_s=0.25)
    driver.bad_workers = {f"w{FIRST_USED + index:05d}" for index in range(bad_workers)}
    apart: dict[str, float] = {}
    for number in range(JOBS):
        job = f"job-{number:06d}"
        if bad_jobs and number % BAD_JOBS_EVERY == 0:
            driver.bad_jobs.add(job)
        spec = JobSpec("glaze", tasks=8, estimate_s=RUN_S)
        driver.at(number * 2.0, driver.submit, spec, RUN_S)

    def watch() -> None:
        for name in driver.core.state.workers:
            if driver.core.state.health.on_probation(name):
                apart.setdefault(name, driver.now_s)
        driver.at(driver.now_s + 1.0, watch)

    driver.at(1.0, watch)
    if found:
        driver.run(JOBS * 2.0 + 600)
    else:
        blind = mock.patch.multiple(
            WorkerHealth,
            on_probation=lambda *_: False,
            failed_on=lambda *_: frozenset(),
        )
        with blind:
            driver.run(JOBS * 2.0 + 600)
    states = [driver.core.state.jobs.get(job) for job in driver.jobs]
    failed = _failed_jobs(driver)
    on_bad = [f for f in driver.failed_attempts if f[0] not in driver.bad_jobs]
    return {
        "failed_tries_of_good_jobs": len(on_bad),
        "good_jobs_lost": len(failed - driver.bad_jobs),
        "set_apart": sorted(apart),
        "false_alarms": len(set(apart) - driver.bad_workers),
        "open_at_end": sum(state is not None for state in states),
    }


def _failed_jobs(driver: Driver) -> set[str]:
    tries: dict[str, int] = {}
    for job, _ in driver.failed_attempts:
        tries[job] = tries.get(job, 0) + 1
    return {job for job, count in tries.items() if count >= 3}


def main() -> None:
    """Print the figures with and without the search for bad workers."""
    results = {
        "one-bad-worker": run(1, False, True),
        "one-bad-worker-blind": run(1, False, False),
        "three-bad-workers": run(3, False, True),
        "three-bad-workers-blind": run(3, False, False),
        "bad-jobs-only": run(0, True, True),
        "bad-jobs-and-a-bad-worker": run(1, True, True),
    }
    print_results("bad_workers", SEED, results)


if __name__ == "__main__":
    main()
