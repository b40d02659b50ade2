"""Runs the soak: ``python -m soak --seeds 50``.

With ``--deadly 1``, one more caller submits jobs whose tasks crash their targets, and
with ``--leaving 1``, one cancels its jobs without waiting for their acceptance.
"""

from __future__ import annotations

import random
import sys
import tempfile
import time
from argparse import ArgumentParser
from pathlib import Path
from typing import NamedTuple

from loguru import logger

from soak.checker import InvariantChecker, Violation
from soak.deployment import CAPACITY, DOMAINS, deployment_running, wait_for
from soak.faults import Schedule, draw_schedule
from soak.load import KEY, Caller, configuration, load_running, whole_fleet_job
from soak.regressions import REGRESSIONS

READY_TIMEOUT_S = 30.0
# After the last fault, a lease of 8 s must expire, takeovers must end, and the pending
# work must be done.
SETTLE_TIMEOUT_S = 75.0


class Options(NamedTuple):
    """Options of a run with one seed.

    Attributes
    ----------
    faults : int
        Single faults to draw; some of them are repeated.
    series : int
        Series of overlapping faults of one target and its agent to draw.
    deadly : int
        Callers whose jobs crash each target that starts them.
    leaving : int
        Callers that cancel each job without waiting for its acceptance.
    longest_s : float
        Longest work of a run.
    length_s : float
        Time within which the drawn faults start.
    """

    entries: int = 3
    targets: int = 6
    callers: int = 6
    faults: int = 8
    series: int = 2
    deadly: int = 0
    leaving: int = 0
    longest_s: float = 4.0
    length_s: float = 20.0


class Result(NamedTuple):
    """Result of a soak with one seed.

    Attributes
    ----------
    accepted : int
        Number of accepted jobs.
    end_counts : dict of str to int
        Number of ended runs, by kind of end.
    error_lines : list of str
        Unexpected errors in the logs of the processes.
    """

    seed: int
    violations: list[Violation]
    accepted: int
    end_counts: dict[str, int]
    error_lines: list[str]
    elapsed_s: float


def run_seed(seed: int, options: Options, folder: Path) -> Result:
    """Run the soak with one seed; return what it found."""
    rng, started_s = random.Random(seed), time.monotonic()
    domains = {f"t{n}": DOMAINS[n % len(DOMAINS)] for n in range(options.targets)}
    checker = InvariantChecker(domains, CAPACITY)
    with deployment_running(
        folder, checker, options.entries, options.targets, seed
    ) as deployment:
        deployment.store.put("op", "config", configuration(1, 0, [KEY]))
        with load_running(
            deployment,
            checker,
            rng,
            options.callers,
            options.deadly,
            options.leaving,
            options.longest_s,
        ) as caller:
            if not wait_for(
                lambda: sum(checker.end_counts.values()) > 0, READY_TIMEOUT_S
            ):
                checker.report_violation(
                    "a deployment without faults runs jobs", "no run has ended"
                )
            schedule = Schedule(
                deployment,
                draw_schedule(
                    rng, deployment, options.faults, options.series, options.length_s
                ),
            )
            schedule.run(options.length_s if options.deadly else 0.0)
            deployment.heal()
        _check_end(checker, caller, options.targets)
        accepted = sum(job.accepted_s is not None for job in checker.jobs.values())
        return Result(
            seed,
            checker.violations,
            accepted,
            dict(checker.end_counts),
            deployment.error_lines(),
            time.monotonic() - started_s,
        )


def _check_end(checker: InvariantChecker, caller: Caller, targets: int) -> None:
    """Check that all jobs end after the faults, then one that needs all targets."""
    if wait_for(lambda: _all_ended(checker, caller), SETTLE_TIMEOUT_S):
        job = whole_fleet_job(targets)
        checker.record_submission(job)
        caller.submit(job, "fast")
        if job.accepted_s is None:
            checker.report_violation("jobs are accepted after the faults", job.job)
        wait_for(lambda: _all_ended(checker, caller), SETTLE_TIMEOUT_S)
    for job in checker.unfinished_jobs():
        checker.report_violation(
            "every accepted job ends", f"{job.job} is {job.state!r}"
        )


def _all_ended(checker: InvariantChecker, caller: Caller) -> bool:
    unfinished = checker.unfinished_jobs()
    for job in unfinished:
        caller.refresh(job)
    return not checker.unfinished_jobs()


def report(result: Result, folder: Path) -> None:
    """Print the result of a seed."""
    verdict = "FAILED" if result.violations or result.error_lines else "ok"
    end_counts = " ".join(
        f"{kind} {count}" for kind, count in sorted(result.end_counts.items())
    )
    print(
        f"seed {result.seed}: {verdict}, {result.accepted} jobs, {end_counts}, "
        f"{result.elapsed_s:.0f} s",
        flush=True,
    )
    for violation in result.violations[:20]:
        print(f"  {violation.invariant}: {violation.detail[:300]}")
    for line in result.error_lines[:10]:
        print(f"  {line}")
    if verdict != "ok":
        print(f"  logs: {folder}", flush=True)


def main() -> None:
    """Run the seeds; exit with 1 if an invariant was violated or an error logged."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--folder", type=Path, default=None)
    parser.add_argument(
        "--kept", action="store_true", help="run the seeds that have failed before"
    )
    for name, default in Options()._asdict().items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(default), default=default)
    parsed = parser.parse_args()
    logger.remove()  # the stand-ins' logs are kept with those of the processes
    options = Options(**{name: getattr(parsed, name) for name in Options._fields})
    base_folder = parsed.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    requested = range(parsed.first, parsed.first + parsed.seeds)
    runs = [(seed, options) for seed in requested]
    if parsed.kept:
        runs = [(kept.seed, Options(**kept.options)) for kept in REGRESSIONS]
    for seed, seed_options in runs:
        folder = base_folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        sink = logger.add(folder / "stand-ins.txt")
        result = run_seed(seed, seed_options, folder)
        logger.remove(sink)
        report(result, folder)
        if result.violations or result.error_lines:
            failed.append(seed)
    print(f"{len(runs)} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
