"""Earned value, wasted work and late jobs by job class, on in-memory targets.

Seeded jobs of several steps, distributed as the users describe theirs, run through the
scheduler's decisions without a network. Run as
``python -m benchmarks.steps [--seeds N] [--load X] [--burst X] [--power-loss S]``.
"""

from __future__ import annotations

import math
import random
from argparse import ArgumentParser
from collections import Counter, defaultdict
from typing import NamedTuple

from cicadabank.scheduling import (
    QueueConfig,
    Resources,
    RunId,
    StepSpec,
    WorkspaceConfig,
)

from tests.support.in_memory_cell import ModelCell, ModelTarget

# How much longer tasks take on a target than on an average one.
SLOWNESS = (0.8, 1.0, 1.25)
# How long all targets are down after a loss of all power.
POWER_OFF_S = 1.4
SUBMIT_PERIOD_S = 34.0
FINISH_PERIOD_S = 40.0
# Value lost per wasted core-second, between the prices of the users' two sites.
WASTE_PRICE = 0.0038
# The causes of lost work that the users' prices count as waste.
WASTE_CAUSES = ("preempted", "cancelled", "failed", "broken", "lapsed", "stopped")


class JobClass(NamedTuple):
    """A class of jobs, with the distributions and probabilities of its properties."""

    queue: QueueConfig
    jobs_per_s: float
    mean_steps: float
    mean_tasks: float
    max_tasks: int
    median_duration_s: float
    duration_sigma: float
    max_duration_s: float
    cpu_millicores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    estimate_sigma: float
    gang_share: float
    same_rack_share: float
    checkpoint_share: float
    value: float
    late_value: float
    failure_share: float
    cancel_share: float
    spread_share: float


# The values after the queue are in the order of the fields of ``JobClass``.
KILN = JobClass(
    QueueConfig("kiln", "cell", 1, 3, 3.0, 1.0),
    *(0.142, 1.0, 1.5, 9, 18.0, 0.3, 22.0, 13_000, 68_000, (1, 2, 4, 8, 8)),
    *(0.5, 0.3, 0.6, 0.45, 3.0, 0.9, 0.03, 0.05, 0.0),
)
PREVIEW = JobClass(
    QueueConfig("preview", "cell", 0, 4, 1.5, 0.25),
    *(0.203, 1.0, 3.4, 21, 4.0, 0.5, 16.0, 3_700, 11_000, (1, 2, 4, 8, 8)),
    *(0.9, 0.6, 0.8, 0.0, 4.0, 0.8, 0.01, 0.0, 0.0),
)
PROOF = JobClass(
    QueueConfig("proof", "cell", 2, 4, 3.0, 3.0),
    *(0.107, 1.3, 9.2, 55, 12.2, 0.3, 22.0, 2_800, 8_200, (1,)),
    *(0.2, 0.0, 0.0, 0.45, 1.0, 0.3, 0.02, 0.15, 0.12),
)
CLASSES = (KILN, PREVIEW, PROOF)


class SubmittedJob(NamedTuple):
    """A submitted job with its actual critical path and work."""

    job_class: JobClass
    at_s: float
    critical_path_s: float
    work_core_s: float


def make_targets() -> list[ModelTarget]:
    """Return eleven targets in three failure domains, at most three in each rack."""
    targets = []
    for domain, count in enumerate((4, 4, 3)):
        for slot in range(count):
            targets.append(
                ModelTarget(f"t{domain}{slot}", f"d{domain}", f"r{domain}-{slot // 3}")
            )
    return targets


class Simulation:
    """Simulates one seeded sequence of submissions and cancellations."""

    def __init__(
        self, seed: int, load: float, burst: float, power_loss_s: float = math.inf
    ):
        self.seed = seed
        self.random = random.Random(seed)
        self.power_loss_s = power_loss_s
        self.actual_duration_s: dict[tuple[str, int, int], float] = {}
        self.submitted: dict[str, SubmittedJob] = {}
        workspaces = [WorkspaceConfig(f"w{n}", frozenset(), 14) for n in range(4)]
        queues = [job_class.queue for job_class in CLASSES]
        self.failure_points: dict[RunId, float] = {}
        self.cancellations: list[tuple[float, str]] = []
        targets = make_targets()
        for target in targets:
            target.slowness = self.random.choice(SLOWNESS)
        self.cell = ModelCell(
            targets, queues, workspaces, self._duration_s, seed, self._fails_at
        )
        self.arrivals = sorted(
            (at_s, job_class)
            for job_class in CLASSES
            for at_s in self._arrival_times(
                job_class, load, burst if job_class is PREVIEW else 1.0
            )
        )

    def _duration_s(self, run: RunId, spec: StepSpec) -> float:
        return self.actual_duration_s[run[:3]]

    def _fails_at(self, run: RunId) -> float:
        if run not in self.failure_points:
            rng = random.Random(f"{self.seed}/{run}")
            failure_share = self.submitted[run.job].job_class.failure_share
            failure_point = rng.random()
            self.failure_points[run] = (
                failure_point if rng.random() < failure_share else math.inf
            )
        return self.failure_points[run]

    def _arrival_times(
        self, job_class: JobClass, load: float, burst: float
    ) -> list[float]:
        # Arrivals begin 6 s before the submission period; a burst is from 8 to 14 s.
        times, now_s = [], -6.0
        while now_s < SUBMIT_PERIOD_S:
            rate = job_class.jobs_per_s * load * (burst if 8.0 < now_s < 14.0 else 1.0)
            now_s += self.random.expovariate(rate)
            times.append(now_s)
        return times[:-1]

    def _submit(self, number: int, job_class: JobClass) -> None:
        # The same jobs arrive whatever the scheduler does.
        rng = random.Random(f"{self.seed}/{number}")
        job = f"{job_class.queue.name}{number}"
        mean_s = job_class.median_duration_s * rng.lognormvariate(
            0, job_class.duration_sigma
        )
        mean_s = min(mean_s, job_class.max_duration_s)
        accelerators = rng.choice(job_class.accelerators)
        gang, critical_path_s, work_core_s = (
            rng.random() < job_class.gang_share,
            0.0,
            0.0,
        )
        steps = []
        for step in range(1 + (rng.random() < job_class.mean_steps - 1)):
            # The factor has a mean of 1: -0.32 is minus half the square of 0.8.
            tasks = job_class.mean_tasks * rng.lognormvariate(-0.32, 0.8)
            count = max(1, min(job_class.max_tasks, round(tasks)))
            need = Resources(
                job_class.cpu_millicores, job_class.memory_mb, accelerators
            )
            estimate_factor = math.exp(rng.gauss(0, job_class.estimate_sigma))
            same_rack = gang and rng.random() < job_class.same_rack_share
            # A rack has at most 3 targets, the cell 11, of 8 accelerators each.
            if same_rack:
                count = min(count, 3 * (8 // accelerators))
            elif gang:
                count = min(count, 11 * (8 // accelerators))
            checkpointable = rng.random() < job_class.checkpoint_share
            after = (step - 1,) if step else ()
            spec = StepSpec(
                count,
                need,
                mean_s * estimate_factor,
                after,
                checkpointable,
                gang,
                same_rack,
            )
            if rng.random() < job_class.spread_share:
                spec = spec._replace(per_target=max(1, math.ceil(count / 8)))
            steps.append(spec)
            for index in range(count):
                factor = 1.0 if gang else rng.uniform(0.85, 1.15)
                self.actual_duration_s[(job, step, index)] = mean_s * factor
            cell_capacity = 11 * (8 // accelerators)
            critical_path_s += mean_s * (
                1 if gang else math.ceil(count / (cell_capacity / 4))
            )
            # An accelerator counts as 8 cores, as in `ModelCell`.
            cores = job_class.cpu_millicores / 1000 + 8 * accelerators
            work_core_s += count * mean_s * cores
        self.submitted[job] = SubmittedJob(
            job_class, self.cell.now_s, critical_path_s, work_core_s
        )
        if rng.random() < job_class.cancel_share:
            self.cancellations.append(
                (self.cell.now_s + rng.uniform(0.5, critical_path_s), job)
            )
        self.cell.submit(job, job_class.queue.name, steps, f"w{rng.randrange(4)}")

    def run(self) -> None:
        """Submit all jobs at their times, then run on for ``FINISH_PERIOD_S``."""
        self.cell.run(1.0)
        start_s = self.cell.now_s + 6.0
        for number, (at_s, job_class) in enumerate(self.arrivals):
            if at_s >= self.power_loss_s:
                self._advance_to(start_s + self.power_loss_s)
                self.power_loss_s = math.inf
                self.cell.lose_power(POWER_OFF_S)
            self._advance_to(start_s + at_s)
            self._submit(number, job_class)
        self._advance_to(self.cell.now_s + FINISH_PERIOD_S)

    def _advance_to(self, until_s: float) -> None:
        """Step the cell until a time, and cancel jobs when they are due."""
        while self.cell.now_s < until_s:
            self.cell.step()
            for due in [due for due in self.cancellations if due[0] <= self.cell.now_s]:
                self.cancellations.remove(due)
                self.cell.cancel(due[1])

    def earned_value(self) -> dict[str, tuple[float, float, int, int]]:
        """Return value earned and attainable, and jobs late and lost, by class.

        A job that ends by its deadline earns its full value. One that ends within three
        times the deadline is late and earns a reduced value; any other is lost.
        """
        ended_s = {
            f["job"]: f["age_s"]
            for event, f in self.cell.log
            if event == "job_ended" and f["state"] == "completed"
        }
        work_by_class: dict[str, list[float]] = defaultdict(list)
        for submitted in self.submitted.values():
            work_by_class[submitted.job_class.queue.name].append(submitted.work_core_s)
        by_class: dict[str, list] = defaultdict(lambda: [0.0, 0.0, 0, 0])
        for job, submitted in self.submitted.items():
            if job in self.cell.cancelled:
                continue
            name, queue = submitted.job_class.queue.name, submitted.job_class.queue
            mean_core_s = sum(work_by_class[name]) / len(work_by_class[name])
            size_factor = min(4.0, 0.3 + 0.7 * submitted.work_core_s / mean_core_s)
            deadline_s = queue.stretch * submitted.critical_path_s + queue.latency_s
            row = by_class[name]
            row[1] += submitted.job_class.value * size_factor
            elapsed_s = ended_s.get(job, float("inf"))
            if elapsed_s <= deadline_s:
                row[0] += submitted.job_class.value * size_factor
            elif elapsed_s <= 3 * deadline_s:
                row[0] += submitted.job_class.late_value * size_factor
                row[2] += 1
            else:
                row[3] += 1
        return {name: tuple(row) for name, row in by_class.items()}


def main() -> None:
    """Simulate every seed and print the earned value by class, and the waste."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--burst", type=float, default=2.4)
    parser.add_argument("--power-loss", type=float, default=math.inf)
    options = parser.parse_args()
    totals: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0, 0.0])
    wasted: Counter[str] = Counter()
    earned, attainable = 0.0, 0.0
    for seed in range(options.seeds):
        simulation = Simulation(seed, options.load, options.burst, options.power_loss)
        simulation.run()
        simulation.cell.check()
        wasted.update(simulation.cell.wasted_core_s)
        for name, row in simulation.earned_value().items():
            totals[name] = [a + b for a, b in zip(totals[name], row, strict=True)]
            earned, attainable = earned + row[0], attainable + row[1]
    for name, (class_earned, class_attainable, late, lost) in sorted(totals.items()):
        print(
            f"{name:8} credit {class_earned / class_attainable:.3f} "
            f"of {class_attainable:7.1f} late {late} lost {lost}"
        )
    waste_core_s = sum(wasted[cause] for cause in WASTE_CAUSES)
    net = (earned - waste_core_s * WASTE_PRICE) / attainable
    print(
        f"credit {earned / attainable:.3f} waste {waste_core_s:.0f} core-s "
        f"net {net:.3f}"
    )
    print(
        "waste by cause:", {cause: round(lost) for cause, lost in wasted.most_common()}
    )


if __name__ == "__main__":
    main()
