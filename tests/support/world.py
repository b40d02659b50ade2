"""Simulation of a cell with a fake table, fake runners and lossy messages.

The scheduler and the agents' logic are real; time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from cicadabank.decisions import ConfigView, WorkerInfo
from cicadabank.model import FailureDomain, JobRow, JobSpec, JobState, seeded_ids

from tests.support.fake_agents import FakeAgent
from tests.support.fake_holders import FakeHolder, FakeTable

STEP_S = 0.1
SESSION_LEASE_S = 6.0
MAX_PARTIAL_RUN_S = 30.0  # takeover, recovery, and lease of unreachable members


class World:
    """A simulated cell, advanced in steps of `STEP_S` seconds."""

    def __init__(self, seed=0, infos=None):
        self.random = random.Random(seed)
        self.make_id = seeded_ids(seed)
        self.now_s = 100.0
        self.loss_rate = 0.0
        self.max_delay_s = 0.05
        self.table_delay_s = 0.0
        self.load_delay_s = 0.0
        self.table = FakeTable()
        self.view = ConfigView()
        self.failing_jobs: set[str] = set()
        self.job_by_attempt: dict[str, str] = {}
        self.runs: Counter[tuple[str, str]] = Counter()
        self.runs_by_job: Counter[str] = Counter()
        self.out_since_s: dict[str, float] = {}
        self.violations: list[str] = []
        self.partial_run_s: Counter[str] = Counter()
        self.before_order = lambda order: None
        self.after_order = lambda order: None
        self._messages: list = []
        self._sequence = itertools.count()
        self.agents = {
            info.name: FakeAgent(self, info) for info in infos or default_workers()
        }
        self.holder = FakeHolder(self)
        self.holders = [self.holder]
        self._run_s_by_job: dict[str, float] = {}

    def message_lost(self):
        return self.random.random() < self.loss_rate

    def delay(self):
        return self.random.uniform(0.0, self.max_delay_s)

    def after(self, delay_s, call):
        heapq.heappush(
            self._messages, (self.now_s + delay_s, next(self._sequence), call)
        )

    def call_when_resumed(self, holder, call):
        """Call a function now, or once the holder is no longer frozen."""
        if holder.frozen:
            self.after(STEP_S, lambda: self.call_when_resumed(holder, call))
        else:
            call()

    def advance(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            while self._messages and self._messages[0][0] <= self.now_s:
                heapq.heappop(self._messages)[2]()
            for agent in self.agents.values():
                agent.tick()
            for holder in self.holders:
                holder.tick()
            self.check_partial_gangs()

    def run_s(self, job):
        return self._run_s_by_job.get(job, 3.0)

    def submit(self, spec: JobSpec, run_s=3.0, fails=False):
        job = self.make_id("job")
        self._run_s_by_job[job] = run_s
        if fails:
            self.failing_jobs.add(job)
        row = JobRow(job, spec, JobState.QUEUED, "lakes", self.now_s, "submit")
        self.table.put(row, 0, f"submit-{job}")
        return job

    def row(self, job):
        return self.table.rows[job][0]

    def cancel(self, job):
        row, version, _ = self.table.rows[job]
        if row.terminal:
            return
        row = row._replace(cancel_requested=True)
        if row.state is JobState.QUEUED:
            row = row._replace(state=JobState.CANCELLED)
        self.table.put(row, version, self.make_id("cancel"))
        self.record_row(row, 1)

    def configure(self, **changes):
        self.view = self.view._replace(version=self.view.version + 1, **changes)

    def set_domain(self, name, out, stop_after_s=0.0):
        domains = {**self.view.domains, name: FailureDomain(name, out, stop_after_s)}
        self.configure(domains=domains)
        if out:
            self.out_since_s.setdefault(name, self.now_s)
        else:
            self.out_since_s.pop(name, None)

    def replace_holder(self, kill=True):
        """Replace the holder by another entry once its session lease has expired."""
        old = self.holder
        if kill:
            old.alive = False
        else:
            old.frozen = True
        self.advance(SESSION_LEASE_S)
        self.holder = FakeHolder(self)
        self.holders.append(self.holder)
        return old

    def record_start(self, agent, task):
        since_s = self.out_since_s.get(agent.info.domain)
        if since_s is not None and self.now_s - since_s > 5.0:
            self.violations.append(
                f"{task.job} started in {agent.info.domain}, which is out"
            )

    def record_run(self, runner, task):
        self.runs[(task.job, runner.name)] += 1
        if self.runs[(task.job, task.attempt)] == 0:
            self.runs[(task.job, task.attempt)] += 1
            self.runs_by_job[task.job] += 1
        busy = sum(
            t.accelerators
            for a, t in runner.tasks.items()
            if runner.states[a] in ("running", "held")
        )
        if busy > self.agents[runner.name].info.accelerators:
            self.violations.append(
                f"{runner.name} has {busy} busy accelerators, more than its capacity"
            )

    def record_row(self, row, version):
        if version is None or not row.terminal:
            return
        if row.ran == "no" and self.runs_by_job[row.job]:
            self.violations.append(f"{row.job} is recorded as not run, but has run")

    def _add_partial_run_time(self):
        """Add up the time for which members run before their whole gang has begun."""
        begun_members: dict[str, int] = {}
        running: set[str] = set()
        for agent in self.agents.values():
            for attempt, state in agent.runner.states.items():
                begun_members[attempt] = begun_members.get(attempt, 0)
                begun_members[attempt] += attempt in agent.runner.began_at_s
                if state == "running":
                    running.add(attempt)
        for attempt in running:
            job = self.job_by_attempt[attempt]
            row = self.row(job)
            if row.attempt == attempt and begun_members[attempt] < len(row.members):
                self.partial_run_s[attempt] += STEP_S
                if self.partial_run_s[attempt] > MAX_PARTIAL_RUN_S:
                    self.violations.append(f"{job} has begun on some workers only")

    def check_partial_gangs(self):
        """Record gangs of which only some members run for too long as violations."""
        self._add_partial_run_time()
        members: dict[str, list[tuple[str, float]]] = {}
        for agent in self.agents.values():
            for attempt in agent.runner.tasks:
                state = agent.runner.states[attempt]
                begin_s = agent.runner.began_at_s.get(attempt, 0.0)
                members.setdefault(attempt, []).append((state, begin_s))
        for attempt, states in members.items():
            job = self.job_by_attempt[attempt]
            expected = len(self.row(job).members)
            if self.row(job).attempt != attempt:
                continue
            running = [begin_s for state, begin_s in states if state == "running"]
            if running and len(states) < expected:
                partial_s = self.now_s - max(running)
                if partial_s > MAX_PARTIAL_RUN_S:
                    self.violations.append(
                        f"{job} ran on some workers only for {partial_s:.0f} s"
                    )

    def clear_faults(self):
        self.loss_rate = 0.0
        self.max_delay_s = 0.05
        self.table.down = False
        for agent in self.agents.values():
            agent.frozen = agent.disconnected = False
        for holder in self.holders:
            holder.frozen = False
        if not self.holder.alive:
            self.advance(SESSION_LEASE_S)
            self.holder = FakeHolder(self)
            self.holders.append(self.holder)
        for name in list(self.view.domains):
            self.set_domain(name, False)


def default_workers(racks=2, per_rack=2, accelerators=4):
    domains = ("erie", "huron")
    return [
        WorkerInfo(f"w{rack}{index}", domains[rack % 2], f"r{rack}", accelerators)
        for rack in range(racks)
        for index in range(per_rack)
    ]
