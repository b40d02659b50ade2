"""CPU time of the decisions by the number of workers."""

from __future__ import annotations

import random
import time

from cicadabank.decisions import (
    CellCore,
    ConfigView,
    Fleet,
    GangShape,
    HeartbeatEvent,
    TaskResources,
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
FLEET_SIZES = (10, 100, 1_000, 19_000)
RUNNING_TASKS = 71_000
PLACEMENTS = 300
GANG_SIZES = (1, 8, 24, 1024)
CELL_WORKERS = 1_000


def loaded_fleet(workers: int, domains: int = 22) -> Fleet:
    """Return a fleet on which running tasks are allocated.

    The load is that of 71,000 tasks on 19,000 workers, scaled to the fleet's size.
    """
    rng = random.Random(SEED)
    fleet = Fleet(fleet_infos(workers, domains))
    remaining_tasks = RUNNING_TASKS * workers // FLEET_SIZES[-1]
    names = list(fleet.workers)
    number = 0
    while remaining_tasks > 0:
        name = rng.choice(names)
        tasks = min(rng.choice((1, 2, 4, 8)), fleet.workers[name].free, remaining_tasks)
        if tasks:
            fleet.book(name, f"running-{number}", tasks, TaskResources(1))
            remaining_tasks -= tasks
            number += 1
    return fleet


def placement_cost(workers: int, domains: int = 22) -> dict:
    """Return the milliseconds to place, allocate and release a gang, by its size."""
    fleet = loaded_fleet(workers, domains)
    results = {}
    for gang in GANG_SIZES:
        times_ms = []
        placed = 0
        for number in range(PLACEMENTS):
            shape = GangShape(gang, TaskResources(1))
            started_s = time.process_time()
            members = place(fleet, shape)
            for member in members:
                fleet.book(
                    member.worker, f"job-{number}", member.tasks, TaskResources(1)
                )
            for member in members:
                fleet.release(member.worker, f"job-{number}")
            times_ms.append((time.process_time() - started_s) * 1000)
            placed += bool(members)
        results[str(gang)] = {"ms": percentiles(times_ms), "placed": placed}
    return results


def heartbeat_cost(workers: int) -> float:
    """Return the milliseconds of decisions for a heartbeat that reports no change."""
    view = ConfigView(1, {}, {}, {"glaze": Workspace("glaze", 10**6)})
    driver = Driver(fleet_infos(workers, 22), view)
    started_s = time.process_time()
    rounds = max(1, 20_000 // workers)
    for _ in range(rounds):
        for name in driver.core.state.workers:
            driver.core.on_heartbeat(
                HeartbeatEvent(name, "run", None, False, (), 0), 1.0
            )
    return (time.process_time() - started_s) * 1000 / (rounds * workers)


def tick_cost(workers: int) -> dict:
    """Return the milliseconds of a tick while all workers are busy.

    Measured with no job waiting, and when one waits and is planned for the first time.
    """
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
    first_plan_ms = (time.process_time() - started_s) * 1000
    return {
        "running": len(driver.core.state.attempts),
        "idle_ms": round(idle_ms, 3),
        "first_plan_of_a_waiting_job_ms": round(first_plan_ms, 3),
    }


def takeover_cost(workers: int) -> dict:
    """Return the CPU time and the number of reads of a cell's takeover.

    The time is divided into loading the rows and processing the first heartbeats. The
    reads are computed, not measured: one, and one for every 1000 rows of a scan and
    every 200 rows read by key.
    """
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
    load_s = time.process_time() - started_s
    for info in fleet_infos(workers, 22):
        core.on_heartbeat(HeartbeatEvent(info.name, "run", info, True, ()), 0.0)
    first_heartbeats_s = time.process_time() - started_s - load_s
    return {
        "jobs": workers,
        "load_s": round(load_s, 3),
        "first_beats_s": round(first_heartbeats_s, 3),
        "reads": 1 + -(-workers // 1000) + -(-workers // 200),
    }


def main() -> None:
    """Print the costs of placements, heartbeats, ticks and takeovers."""
    results = {
        "placement": {str(size): placement_cost(size) for size in FLEET_SIZES},
        "heartbeat_ms": {
            str(size): round(heartbeat_cost(size), 4) for size in FLEET_SIZES[:3]
        },
        "tick": {str(size): tick_cost(size) for size in (100, 300, CELL_WORKERS)},
        "takeover": {
            str(size): takeover_cost(size) for size in (100, 300, CELL_WORKERS)
        },
    }
    print_results("decision_cost", SEED, results)


if __name__ == "__main__":
    main()
