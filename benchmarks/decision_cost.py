"""Processor time of the decisions by the size of the fleet."""

from __future__ import annotations

import random
import time

from cicadabank.decisions import (
    BeatEvent,
    CellCore,
    ConfigView,
    Fleet,
    GangShape,
    Need,
    place,
)
from cicadabank.model import (
    JobRow,
    JobSpec,
    JobState,
    Member,
    Workspace,
)

from benchmarks.driver import Driver
from benchmarks.fleets import ACCELERATORS, fleet_infos
from benchmarks.results import percentiles, print_results

SEED = 17
FLEETS = (10, 100, 1_000, 19_000)
STANDING_TASKS = 71_000
PLACEMENTS = 300
GANGS = (1, 8, 24, 1024)
CELL_WORKERS = 1_000


def filled(workers: int, domains: int = 22) -> Fleet:
    """Return a fleet with its share of 71,000 standing tasks booked."""
    source = random.Random(SEED)
    fleet = Fleet(fleet_infos(workers, domains))
    standing = STANDING_TASKS * workers // FLEETS[-1]
    names = list(fleet.workers)
    number = 0
    while standing > 0:
        name = source.choice(names)
        tasks = min(source.choice((1, 2, 4, 8)), fleet.workers[name].free, standing)
        if tasks:
            fleet.book(name, f"standing-{number}", tasks, Need(1))
            standing -= tasks
            number += 1
    return fleet


def placement_cost(workers: int, domains: int = 22) -> dict:
    """Return milliseconds for each placement, booking and release, by gang size."""
    fleet = filled(workers, domains)
    results = {}
    for gang in GANGS:
        times = []
        placed = 0
        for number in range(PLACEMENTS):
            shape = GangShape(gang, Need(1))
            started_s = time.process_time()
            members = place(fleet, shape)
            for member in members:
                fleet.book(member.worker, f"job-{number}", member.tasks, Need(1))
            for member in members:
                fleet.release(member.worker, f"job-{number}")
            times.append((time.process_time() - started_s) * 1000)
            placed += bool(members)
        results[str(gang)] = {"ms": percentiles(times), "placed": placed}
    return results


def beat_cost(workers: int) -> float:
    """Return milliseconds of the decisions for each heartbeat without news."""
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10**6)})
    driver = Driver(fleet_infos(workers, 22), view)
    started_s = time.process_time()
    rounds = max(1, 20_000 // workers)
    for _ in range(rounds):
        for name in driver.core.state.workers:
            driver.core.on_beat(BeatEvent(name, "run", None, False, (), 0), 1.0)
    return (time.process_time() - started_s) * 1000 / (rounds * workers)


def tick_cost(workers: int) -> dict:
    """Return milliseconds of a tick while all workers are busy and one job waits."""
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10**6)})
    driver = Driver(fleet_infos(workers, 22), view)
    for _ in range(workers):
        driver.submit(JobSpec("glaze", tasks=ACCELERATORS), 1e9)
    driver.run(2.0 + workers / 256)
    started_s = time.process_time()
    for _ in range(20):
        driver.core.on_tick(driver.now_s + 1)
    idle_ms = (time.process_time() - started_s) * 50
    driver.submit(JobSpec("glaze", tasks=ACCELERATORS), 1e9)
    started_s = time.process_time()
    driver.core.on_tick(driver.now_s + 1)
    first_ms = (time.process_time() - started_s) * 1000
    return {
        "running": len(driver.core.state.attempts),
        "idle_ms": round(idle_ms, 3),
        "first_plan_of_a_waiting_job_ms": round(first_ms, 3),
    }


def takeover_cost(workers: int) -> dict:
    """Return the time and the reads in which a cell's rows become its state."""
    rows = []
    for index in range(workers):
        spec = JobSpec("glaze", tasks=4)
        member = Member(f"w{index:05d}", 4, "run")
        row = JobRow(
            f"job-{index}", spec, JobState.RUNNING, "lakes", float(index), "op"
        )
        row = row._replace(attempt=f"attempt-{index}", members=(member,))
        rows.append((row, index + 1))
    core = CellCore("lakes", 2, 0.0)
    started_s = time.process_time()
    core.load(rows, 0.0)
    loaded_s = time.process_time() - started_s
    for info in fleet_infos(workers, 22):
        core.on_beat(BeatEvent(info.name, "run", info, True, ()), 0.0)
    heard_s = time.process_time() - started_s - loaded_s
    return {
        "jobs": workers,
        "load_s": round(loaded_s, 3),
        "first_beats_s": round(heard_s, 3),
        "reads": 1 + -(-workers // 1000) + -(-workers // 200),
    }


def main() -> None:
    """Print all costs."""
    results = {
        "placement": {str(n): placement_cost(n) for n in FLEETS},
        "heartbeat_ms": {str(n): round(beat_cost(n), 4) for n in FLEETS[:3]},
        "tick": {str(n): tick_cost(n) for n in (100, 300, CELL_WORKERS)},
        "takeover": {str(n): takeover_cost(n) for n in (100, 300, CELL_WORKERS)},
    }
    print_results("decision_cost", SEED, results)


if __name__ == "__main__":
    main()
