"""Fakes at the interfaces of a cell: a table, agents with runners, lossy messages.

The decisions and the agents' logic are the real ones; time is a number.
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
LONGEST_ALONE_S = 30.0  # a takeover, its recovery, and the lease of what it can't reach


class World:
    """A cell with its surroundings, stepped through time."""

    def __init__(self, seed=0, infos=None):
        self.random = random.Random(seed)
        self.make_id = seeded_ids(seed)
        self.now_s = 100.0
        self.loss = 0.0
        self.longest_delay_s = 0.05
        self.table_delay_s = 0.0
        self.load_delay_s = 0.0
        self.table = FakeTable()
        self.view = ConfigView()
        self.failing: set[str] = set()
        self.job_of: dict[str, str] = {}
        self.runs: Counter[tuple[str, str]] = Counter()
        self.run_jobs: Counter[str] = Counter()
        self.out_since_s: dict[str, float] = {}
        self.broken: list[str] = []
        self.partly_s: Counter[str] = Counter()
        self.before_order = lambda order: None
        self.after_order = lambda order: None
        self._messages: list = []
        self._order = itertools.count()
        self.agents = {
            info.name: FakeAgent(self, info) for info in infos or default_workers()
        }
        self.holder = FakeHolder(self)
        self.holders = [self.holder]
        self._durations: dict[str, float] = {}

    def lost(self):
        return self.random.random() < self.loss

    def delay(self):
        return self.random.uniform(0.0, self.longest_delay_s)

    def after(self, delay_s, call):
        heapq.heappush(self._messages, (self.now_s + delay_s, next(self._order), call))

    def after_thaw(self, holder, call):
        """Deliver to a holder; while it is frozen the message waits."""
        if holder.frozen:
            self.after(STEP_S, lambda: self.after_thaw(holder, call))
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
            self.check_gangs()

    def run_s(self, job):
        return self._durations.get(job, 3.0)

    def submit(self, spec: JobSpec, run_s=3.0, fails=False):
        job = self.make_id("job")
        self._durations[job] = run_s
        if fails:
            self.failing.add(job)
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
        self.note_row(row, 1)

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
        """Let another entry take the cell once the holder's session has lapsed."""
        old = self.holder
        if kill:
            old.alive = False
        else:
            old.frozen = True
        self.advance(SESSION_LEASE_S)
        self.holder = FakeHolder(self)
        self.holders.append(self.holder)
        return old

    def note_start(self, agent, task):
        since_s = self.out_since_s.get(agent.info.domain)
        if since_s is not None and self.now_s - since_s > 5.0:
            self.broken.append(f"{task.job} started in {agent.info.domain}, out")

    def note_run(self, runner, task):
        self.runs[(task.job, runner.name)] += 1
        if self.runs[(task.job, task.attempt)] == 0:
            self.runs[(task.job, task.attempt)] += 1
            self.run_jobs[task.job] += 1
        busy = sum(
            t.accelerators
            for a, t in runner.tasks.items()
            if runner.states[a] in ("running", "held")
        )
        if busy > self.agents[runner.name].info.accelerators:
            self.broken.append(f"{runner.name} runs {busy} accelerators")

    def note_row(self, row, version):
        if version is None or not row.terminal:
            return
        if row.ran == "no" and self.run_jobs[row.job]:
            self.broken.append(f"{row.job} is said not to have run, and has")

    def _note_partly_running(self):
        """Add up how long some of a gang's members run before all have begun."""
        began: dict[str, int] = {}
        running: set[str] = set()
        for agent in self.agents.values():
            for attempt, state in agent.runner.states.items():
                began[attempt] = began.get(attempt, 0)
                began[attempt] += attempt in agent.runner.began
                if state == "running":
                    running.add(attempt)
        for attempt in running:
            job = self.job_of[attempt]
            row = self.row(job)
            if row.attempt == attempt and began[attempt] < len(row.members):
                self.partly_s[attempt] += STEP_S
                if self.partly_s[attempt] > LONGEST_ALONE_S:
                    self.broken.append(f"{job} has begun on only some workers")

    def check_gangs(self):
        """No member may go on alone for longer than a lease and its margins."""
        self._note_partly_running()
        members: dict[str, list[tuple[str, float]]] = {}
        for agent in self.agents.values():
            for attempt in agent.runner.tasks:
                state = agent.runner.states[attempt]
                begin_s = agent.runner.began.get(attempt, 0.0)
                members.setdefault(attempt, []).append((state, begin_s))
        for attempt, states in members.items():
            job = self.job_of[attempt]
            wanted = len(self.row(job).members)
            if self.row(job).attempt != attempt:
                continue
            running = [begin_s for state, begin_s in states if state == "running"]
            if running and len(states) < wanted:
                alone_s = self.now_s - max(running)
                if alone_s > LONGEST_ALONE_S:
                    self.broken.append(f"{job} runs on only some for {alone_s:.0f} s")

    def heal(self):
        self.loss = 0.0
        self.longest_delay_s = 0.05
        self.table.down = False
        for agent in self.agents.values():
            agent.frozen = agent.cut = False
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
