"""Workers and seeded jobs for the benchmarks of the decisions."""

from __future__ import annotations

import random
from typing import NamedTuple

from cicadabank.decisions import WorkerInfo

WORKERS_PER_RACK = 3
ACCELERATORS = 8


class GeneratedJob(NamedTuple):
    """A generated job: its actual run time and the estimate it is submitted with."""

    at_s: float
    tasks: int
    run_s: float
    estimate_s: float
    size_class: str
    cancelled_at_s: float = 0.0
    workspace: str = "glaze"


def fleet_infos(workers: int, domains: int = 3) -> list[WorkerInfo]:
    """Return workers, three in each rack; racks alternate between failure domains."""
    return [
        WorkerInfo(
            f"w{index:05d}",
            f"d{(index // WORKERS_PER_RACK) % domains}",
            f"r{index // WORKERS_PER_RACK}",
            ACCELERATORS,
        )
        for index in range(workers)
    ]


def bursty_jobs(
    seed: int,
    workers: int,
    jobs: int,
    load: float,
    gang_sizes: tuple[int, ...] = (8, 8, 16, 24),
) -> list[GeneratedJob]:
    """Return gangs and bursts of small preview jobs, some cancelled in bursts.

    The estimates are wrong by a factor of up to ten in either direction.
    """
    rng = random.Random(seed)
    capacity = workers * ACCELERATORS
    generated: list[GeneratedJob] = []
    at_s = 0.0
    while len(generated) < jobs:
        if rng.random() < 0.5:
            count = rng.randint(5, 15)
            generated += [_preview(rng, at_s) for _ in range(count)]
        else:
            generated.append(_gang(rng, at_s, gang_sizes))
        demand = sum(job.tasks * job.run_s for job in generated)
        at_s = demand / (capacity * load)
    return _with_cancellations(rng, sorted(generated))


def _estimate(rng: random.Random, run_s: float) -> float:
    return run_s * 10 ** rng.uniform(-1, 1)


def _preview(rng: random.Random, at_s: float) -> GeneratedJob:
    run_s = rng.uniform(20, 120)
    at_s += rng.uniform(0, 5)
    tasks = rng.choice((1, 1, 1, 2, 4))
    return GeneratedJob(at_s, tasks, run_s, _estimate(rng, run_s), "preview")


def _gang(rng: random.Random, at_s: float, gang_sizes: tuple[int, ...]) -> GeneratedJob:
    run_s = rng.uniform(300, 1500)
    tasks = rng.choice(gang_sizes)
    return GeneratedJob(at_s, tasks, run_s, _estimate(rng, run_s), f"gang-{tasks}")


def _with_cancellations(
    rng: random.Random, generated: list[GeneratedJob]
) -> list[GeneratedJob]:
    last_s = generated[-1].at_s
    cancel_times_s = [rng.uniform(0.2, 0.9) * last_s for _ in range(3)]
    with_cancellations = []
    for job in generated:
        cancel_s = next(
            (w for w in cancel_times_s if job.at_s < w < job.at_s + 300), 0.0
        )
        cancelled_s = cancel_s if cancel_s and rng.random() < 0.3 else 0.0
        with_cancellations.append(job._replace(cancelled_at_s=cancelled_s))
    return with_cancellations
