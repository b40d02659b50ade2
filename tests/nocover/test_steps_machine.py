"""Stateful test: invariants of a cell with multi-step jobs under random events."""

from __future__ import annotations

import pytest
from cicadabank.scheduling import (
    QueueConfig,
    Report,
    Resources,
    StepSpec,
    WorkspaceConfig,
)
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.in_memory_cell import TARGET_CAPACITY, ModelCell, ModelTarget

# 300 sequences take 36 s of CPU time, and several times as long on a busy machine.
pytestmark = pytest.mark.timeout(900)

QUEUES = [
    QueueConfig("q0", "cell", 0, 3, 1.5, 0.25),
    QueueConfig("q1", "cell", 1, 3, 3.0, 1.0),
    QueueConfig("q2", "cell", 2, 4, 3.0, 3.0),
]
WORKSPACES = [
    WorkspaceConfig("w0", frozenset(), 16),
    WorkspaceConfig("w1", frozenset(), 8),
]
LEASE_EXPIRY_S = 9.0
# How long after its start a task of a deadly job crashes its target.
CRASH_DELAY_S = 0.3
COMPLETION_TIMEOUT_S = 400.0

STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 6),
    need=st.builds(
        Resources,
        cpu_millicores=st.just(1000),
        memory_mb=st.just(1000),
        accelerators=st.sampled_from([1, 2, 4, 8]),
    ),
    estimate_s=st.sampled_from([0.5, 2.0, 6.0]),
    checkpointable=st.booleans(),
    gang=st.booleans(),
    same_rack=st.booleans(),
    after=st.just(()),
    per_target=st.sampled_from([0, 0, 2]),
    label=st.just(""),
    data_rack=st.just(""),
)


class StepsMachine(RuleBasedStateMachine):
    """Drives a cell's actual scheduler with in-memory targets."""

    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        targets = [ModelTarget(f"t{n}", f"d{n % 2}", f"r{n // 3}") for n in range(6)]
        self.deadly_jobs: set[str] = set()
        self.cell = ModelCell(
            targets,
            QUEUES,
            WORKSPACES,
            seed=seed,
            crashes_after_s=lambda run: (
                CRASH_DELAY_S if run.job in self.deadly_jobs else float("inf")
            ),
        )
        self.cell.run(7.0)
        self.jobs: list[str] = []
        self.late_reports: list[Report] = []

    def target(self, index) -> ModelTarget:
        return self.cell.targets[f"agent-t{index}"]

    @rule(
        queue=st.sampled_from(["q0", "q1", "q2"]),
        steps=st.lists(STEPS, min_size=1, max_size=2),
        workspace=st.sampled_from(["w0", "w1"]),
        chained=st.booleans(),
    )
    def submit(self, queue, steps, workspace, chained):
        self.add_job(queue, steps, workspace, chained)

    @rule(
        queue=st.sampled_from(["q0", "q1", "q2"]),
        steps=st.lists(STEPS, min_size=1, max_size=2),
        workspace=st.sampled_from(["w0", "w1"]),
        chained=st.booleans(),
    )
    def submit_deadly_job(self, queue, steps, workspace, chained):
        self.deadly_jobs.add(f"j{len(self.jobs)}")
        self.add_job(queue, steps, workspace, chained)

    def add_job(self, queue, steps, workspace, chained):
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        if chained and len(steps) == 2:
            steps = [steps[0], steps[1]._replace(after=(0,))]
        self.cell.submit(job, queue, steps, workspace)

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        if index < len(self.jobs):
            self.cell.cancel(self.jobs[index])

    @rule(duration_s=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def wait(self, duration_s):
        self.cell.run(duration_s)

    @rule(index=st.integers(0, 5), silent=st.booleans())
    def cut_connection(self, index, silent):
        self.target(index).silent = silent

    @rule(index=st.integers(0, 5))
    def crash(self, index):
        self.target(index).restart()

    @rule(index=st.integers(0, 5))
    def crash_target_only(self, index):
        self.cell.crash(self.target(index))

    @rule(index=st.integers(0, 5))
    def restart_agent(self, index):
        self.target(index).restart_agent()

    @rule(index=st.integers(0, 5))
    def send_late_report(self, index):
        self.late_reports.append(self.target(index).report())

    @rule(index=st.integers(0, 20))
    def deliver_late_report(self, index):
        if index < len(self.late_reports):
            report = self.late_reports.pop(index)
            self.cell.scheduler.on_report(report, self.cell.now_s, self.cell.store_up)

    @rule(index=st.integers(0, 5), fails=st.booleans())
    def fail_all_runs(self, index, fails):
        self.target(index).fails_all = fails

    @rule(
        indices=st.sampled_from([range(3), range(3, 6), range(6)]),
        accelerators=st.sampled_from([0, 2, 4, 8]),
    )
    def change_capacity(self, indices, accelerators):
        for index in indices:
            target = self.target(index)
            target.capacity = target.capacity._replace(accelerators=accelerators)

    @rule(out=st.booleans())
    def drain_domain(self, out):
        domains = frozenset({"d0"}) if out else frozenset()
        self.cell.scheduler.on_domains_out(domains, self.cell.now_s)

    @rule()
    def take_over(self):
        self.cell.store_up = True
        self.cell.take_over()

    @rule(up=st.booleans())
    def set_store_up(self, up):
        self.cell.store_up = up

    @invariant()
    def invariants_hold(self):
        if hasattr(self, "cell"):
            self.cell.check()

    def teardown(self):
        if not hasattr(self, "cell"):
            return
        self.cell.store_up = True
        for target in self.cell.targets.values():
            target.silent = target.fails_all = target.draining = False
            target.capacity = TARGET_CAPACITY
        self.cell.scheduler.on_domains_out(frozenset(), self.cell.now_s)
        self.cell.run_until(
            lambda: all(
                self.cell.state(job) in ("completed", "failed", "cancelled")
                for job in self.jobs
            ),
            COMPLETION_TIMEOUT_S,
        )
        self.cell.run(LEASE_EXPIRY_S)
        self.cell.check()
        assert not any(t.active_runs for t in self.cell.targets.values())


TestStepsMachine = StepsMachine.TestCase
TestStepsMachine.settings = settings(
    max_examples=300,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
