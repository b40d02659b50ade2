"""Fleets and seeded work for the decision benchmarks."""

from __future__ import annotations

import random
from typing import NamedTuple

from cicadabank.decisions import WorkerInfo

WORKERS_PER_RACK = 3
ACCELERATORS = 8


class Work(NamedTuple):
    """One job of the seeded work: what it is, and what it declares."""

    at_s: float
    tasks: int
    run_s: float
    declared_s: float
    size_class: str
    cancelled_at_s: float = 0.0
    workspace: str = "glaze"


def fleet_infos(workers: int, domains: int = 3) -> list[WorkerInfo]:
    """Return workers, three to a rack, spread over failure domains."""
    return [
        WorkerInfo(
            f"w{index:05d}",
            f"d{(index // WORKERS_PER_RACK) % domains}",
            f"r{index // WORKERS_PER_RACK}",
            ACCELERATORS,
        )
        for index in range(workers)
    ]


def bursty_work(
    seed: int,
    workers: int,
    jobs: int,
    load: float,
    gangs: tuple[int, ...] = (8, 8, 16, 24),
) -> list[Work]:
    """Return previews in bursts among gangs, some cancelled in waves.

    Declared run times are off by up to ten times either way.
    """
    source = random.Random(seed)
    capacity = workers * ACCELERATORS
    items: list[Work] = []
    at_s = 0.0
    while len(items) < jobs:
        if source.random() < 0.5:
            count = source.randint(5, 15)
            items += [_preview(source, at_s) for _ in range(count)]
        else:
            items.append(_gang(source, at_s, gangs))
        demand = sum(w.tasks * w.run_s for w in items)
        at_s = demand / (capacity * load)
    return _cancel_waves(source, sorted(items))


def _declared(source: random.Random, run_s: float) -> float:
    return run_s * 10 ** source.uniform(-1, 1)


def _preview(source: random.Random, at_s: float) -> Work:
    run_s = source.uniform(20, 120)
    at_s += source.uniform(0, 5)
    tasks = source.choice((1, 1, 1, 2, 4))
    return Work(at_s, tasks, run_s, _declared(source, run_s), "preview")


def _gang(source: random.Random, at_s: float, gangs: tuple[int, ...]) -> Work:
    run_s = source.uniform(300, 1500)
    tasks = source.choice(gangs)
    return Work(at_s, tasks, run_s, _declared(source, run_s), f"gang-{tasks}")


def _cancel_waves(source: random.Random, items: list[Work]) -> list[Work]:
    last_s = items[-1].at_s
    waves_s = [source.uniform(0.2, 0.9) * last_s for _ in range(3)]
    result = []
    for item in items:
        wave_s = next((w for w in waves_s if item.at_s < w < item.at_s + 300), 0.0)
        cancelled_s = wave_s if wave_s and source.random() < 0.3 else 0.0
        result.append(item._replace(cancelled_at_s=cancelled_s))
    return result
