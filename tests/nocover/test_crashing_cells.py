"""Randomized histories of a cell in which tasks crash their targets."""

from __future__ import annotations

import random

import pytest
from cicadabank.scheduling import QueueConfig, Resources, StepSpec, WorkspaceConfig

from tests.support.in_memory_cell import ModelCell, ModelTarget

QUEUES = [
    QueueConfig("urgent", "cell", 0, 4, 1.5, 0.25),
    QueueConfig("batch", "cell", 2, 4, 3.0, 3.0),
]
NEEDS = [
    Resources(4_000, 8_192, 1),
    Resources(8_000, 16_384, 2),
    Resources(32_000, 65_536, 8),
]
DEADLY_SHARE = 0.4
LEASE_EXPIRY_S = 9.0
COMPLETION_TIMEOUT_S = 900.0
# Probabilities per time step of 0.1 s.
CALM = {}
CANCELS_AND_TAKEOVERS = {"take_over": 0.01, "cancel": 0.003, "drain": 0.003}
LOSSES_OF_POWER = {"lose_power": 0.01, "take_over": 0.005}


class CrashingCell:
    """A cell of random size that gets random jobs, of which some are deadly."""

    def __init__(self, seed: int, events: dict[str, float]):
        self.random = random.Random(seed)
        self.events = events
        size = self.random.choice([1, 2, 3, 6, 11])
        targets = [ModelTarget(f"t{n}", f"d{n % 3}", f"r{n // 3}") for n in range(size)]
        self.crash_delay_s: dict[str, float] = {}
        self.jobs: list[str] = []
        self.cell = ModelCell(
            targets,
            QUEUES,
            [WorkspaceConfig("w", frozenset(), 4 * size)],
            seed=seed,
            crashes_after_s=lambda run: self.crash_delay_s.get(run.job, float("inf")),
        )
        self.targets = targets
        self.cell.run(7.0)

    def submit(self) -> None:
        """Submit a job of one or two steps."""
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        is_deadly = self.random.random() < DEADLY_SHARE
        if is_deadly:
            self.crash_delay_s[job] = self.random.choice([0.1, 0.3, 1.0, 3.0, 7.0])
        steps = []
        for step in range(self.random.choice([1, 1, 2])):
            gang = self.random.random() < 0.2
            steps.append(
                StepSpec(
                    self.random.randint(1, min(len(self.targets), 3) if gang else 4),
                    self.random.choice(NEEDS),
                    15.0 if is_deadly else self.random.choice([1.0, 4.0, 12.0]),
                    after=(0,) if step and self.random.random() < 0.5 else (),
                    checkpointable=not is_deadly and self.random.random() < 0.5,
                    gang=gang,
                )
            )
        self.cell.submit(job, self.random.choice(["urgent", "batch"]), steps)

    def step(self) -> None:
        """Advance time by one step; any of the events may happen."""
        self.cell.step()
        target = self.random.choice(self.targets)
        happening = {
            name
            for name, probability in self.events.items()
            if self.random.random() < probability
        }
        if "take_over" in happening:
            self.cell.take_over(LEASE_EXPIRY_S)
        if "cancel" in happening:
            self.cell.cancel(self.random.choice(self.jobs))
        if "lose_power" in happening:
            target.restart()
        if "drain" in happening:
            target.draining, target.remaining_s = True, 3.0
        for drained in self.targets:
            if drained.draining and self.random.random() < 0.02:
                drained.draining = False
                drained.restart()

    def run(self) -> None:
        """Submit jobs while events happen, then wait until all jobs have ended."""
        for _ in range(self.random.choice([6, 15, 30])):
            self.submit()
            for _ in range(self.random.choice([1, 5, 20, 30])):
                self.step()
        for target in self.targets:
            if target.draining:
                target.draining = False
                target.restart()
        ended = ("completed", "failed", "cancelled")
        self.cell.run_until(
            lambda: all(self.cell.state(job) in ended for job in self.jobs),
            COMPLETION_TIMEOUT_S,
        )


class TestCrashingCells:
    # Guards against tasks that crash target after target (rule BUDGET), and against
    # sound jobs beside them that fail, never end, or run twice.
    @pytest.mark.parametrize("seed", range(12))
    @pytest.mark.parametrize(
        "events",
        [CALM, CANCELS_AND_TAKEOVERS, LOSSES_OF_POWER],
        ids=["calm", "cancels_and_takeovers", "losses_of_power"],
    )
    def test_deadly_jobs_fail_and_sound_ones_complete(self, seed, events):
        crashing = CrashingCell(seed, events)
        crashing.run()
        cell = crashing.cell
        cell.check()
        for job in set(crashing.jobs) - cell.cancelled:
            is_deadly = job in crashing.crash_delay_s
            assert cell.state(job) == ("failed" if is_deadly else "completed")
