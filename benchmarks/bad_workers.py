"""Detection of workers on which every job fails, and false alarms by failing jobs."""

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
FAILING_JOB_EVERY = 10
RUN_S = 30.0
FIRST_FAULTY_INDEX = 3  # the first worker of the smallest failure domain


def run(faulty_count: int, with_failing_jobs: bool, detect: bool) -> dict:
    """Run short jobs; return counts of failures and the workers put on probation.

    Without detection the decisions ignore which workers failed.
    """
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10_000)})
    driver = Driver(fleet_infos(WORKERS), view, tick_s=0.25)
    driver.faulty_workers = {
        f"w{FIRST_FAULTY_INDEX + index:05d}" for index in range(faulty_count)
    }
    probation_since_s: dict[str, float] = {}
    for number in range(JOBS):
        job = f"job-{number:06d}"
        if with_failing_jobs and number % FAILING_JOB_EVERY == 0:
            driver.failing_jobs.add(job)
        spec = JobSpec("glaze", tasks=8, estimate_s=RUN_S)
        driver.schedule(number * 2.0, driver.submit, spec, RUN_S)

    def record_probation() -> None:
        for name in driver.core.state.workers:
            if driver.core.state.health.on_probation(name):
                probation_since_s.setdefault(name, driver.now_s)
        driver.schedule(driver.now_s + 1.0, record_probation)

    driver.schedule(1.0, record_probation)
    if detect:
        driver.run(JOBS * 2.0 + 600)
    else:
        without_detection = mock.patch.multiple(
            WorkerHealth,
            on_probation=lambda *_: False,
            failed_on=lambda *_: frozenset(),
        )
        with without_detection:
            driver.run(JOBS * 2.0 + 600)
    open_jobs = [driver.core.state.jobs.get(job) for job in driver.jobs]
    failed_jobs = _failed_jobs(driver)
    failures_of_good_jobs = [
        failure
        for failure in driver.failed_attempts
        if failure[0] not in driver.failing_jobs
    ]
    return {
        "failed_tries_of_good_jobs": len(failures_of_good_jobs),
        "good_jobs_lost": len(failed_jobs - driver.failing_jobs),
        "set_apart": sorted(probation_since_s),
        "false_alarms": len(set(probation_since_s) - driver.faulty_workers),
        "open_at_end": sum(state is not None for state in open_jobs),
    }


def _failed_jobs(driver: Driver) -> set[str]:
    """Return the jobs that failed at least three times."""
    failures: dict[str, int] = {}
    for job, _ in driver.failed_attempts:
        failures[job] = failures.get(job, 0) + 1
    return {job for job, count in failures.items() if count >= 3}


def main() -> None:
    """Print the results with and without the detection of faulty workers."""
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
