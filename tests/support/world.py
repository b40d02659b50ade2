"""Fakes at the interfaces of a cell: a table, agents with runners, lossy messages.

The decisions and the agents' logic are the real ones; time is a number.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from cicadabank.agent import AgentCore, OrderRefusedError
from cicadabank.decisions import (
    BeatEvent,
    CellCore,
    CellTimings,
    CommitJob,
    CommitStatus,
    ConfigView,
    OrderResult,
    ReloadJob,
    Report,
    SendReserve,
    SendStart,
    SendStop,
    WorkerInfo,
)
from cicadabank.model import FailureDomain, JobRow, JobSpec, JobState, seeded_ids
from cicadabank.wire import control_pb2

STEP_S = 0.1
BEAT_S = 1.0
FRESHNESS_S = 3.0
CONFIG_POLL_S = 0.5
ORDER_TIMEOUT_S = 1.4
SESSION_LEASE_S = 6.0
RESERVATION_S = 6.0
ENDED = ("done", "failed", "stopped")


class FakeTable:
    """Job rows under versions, and the epoch of the cell."""

    def __init__(self):
        self.rows: dict[str, tuple[JobRow, int, str]] = {}
        self.epoch = 0
        self.down = False
        self._versions = itertools.count(1)

    def put(self, row, version, operation):
        """Write a row if it has this version; return the new version or None."""
        if self.rows.get(row.job, (None, 0, ""))[1] != version:
            return None
        new = next(self._versions)
        self.rows[row.job] = (row, new, operation)
        return new

    def open_jobs(self):
        rows = [(row, v) for row, v, _ in self.rows.values() if not row.terminal]
        return sorted(rows)


class FakeTask(NamedTuple):
    attempt: str
    job: str
    tasks: int
    accelerators: int
    begin_s: float
    epoch: int
    started_at_s: float


class FakeRunner:
    """A worker's runner: survives its agent."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.tasks: dict[str, FakeTask] = {}
        self.states: dict[str, str] = {}
        self.lease_until: dict[str, float] = {}
        self.began: set[str] = set()

    def start(self, task, lease_s):
        self.tasks[task.attempt] = task
        self.states[task.attempt] = "held"
        self.lease_until[task.attempt] = self.world.now_s + lease_s

    def advance(self, now_s):
        for attempt, task in self.tasks.items():
            if self.states[attempt] in ENDED:
                continue
            if now_s > self.lease_until[attempt]:
                self.states[attempt] = "stopped"
            elif now_s >= task.begin_s:
                if attempt not in self.began:
                    self.began.add(attempt)
                    self.world.note_run(self, task)
                self.states[attempt] = "running"
                if now_s >= task.begin_s + self.world.run_s(task.job):
                    bad = task.job in self.world.failing
                    self.states[attempt] = "failed" if bad else "done"

    def stop(self, attempt):
        if self.states.get(attempt) in ("held", "running"):
            self.states[attempt] = "stopped"


class FakeAgent:
    """The real agent logic over a fake runner."""

    def __init__(self, world, info):
        self.world = world
        self.info = info
        self.runner = FakeRunner(world, info.name)
        self.frozen = False
        self.cut = False
        self.beat_due_s = 0.0
        self.restart()

    def replace_vm(self):
        """Lose all that runs here, and come back empty."""
        self.runner = FakeRunner(self.world, self.info.name)
        self.restart()

    def restart(self):
        self.core = AgentCore(
            self.world.make_id("run"), self.info.accelerators, FRESHNESS_S
        )
        self._take_usage()

    def _take_usage(self):
        usage = [
            _Usage(a, state, self.runner.tasks[a].epoch)
            for a, state in self.runner.states.items()
        ]
        self.core.take_usage(usage, self.world.now_s)

    def order(self, order, epoch):
        try:
            return self._order(order, epoch)
        except OrderRefusedError as error:
            member = self.core.members.get(order.attempt)
            started = bool(member and member.started)
            return OrderResult(True, False, started, error.message)

    def _order(self, order, epoch):
        now_s = self.world.now_s
        if isinstance(order, SendReserve):
            message = control_pb2.Reserve(
                attempt=order.attempt,
                epoch=epoch,
                incarnation=order.incarnation,
                accelerators=order.accelerators,
                tasks=order.tasks,
                ttl_s=RESERVATION_S,
            )
            self.core.reserve(message, now_s)
            return OrderResult(True, True, False)
        if isinstance(order, SendStart):
            return self._start(order, epoch, now_s)
        return self._stop(order, epoch)

    def _start(self, order, epoch, now_s):
        message = control_pb2.Start(
            attempt=order.attempt,
            epoch=epoch,
            incarnation=order.incarnation,
            delay_s=order.delay_s,
            lease_duration_s=10.0,
        )
        member = self.core.begin(message, now_s)
        if member is not None:
            task = FakeTask(
                order.attempt,
                self.world.job_of[order.attempt],
                member.tasks,
                member.accelerators,
                now_s + order.delay_s,
                epoch,
                now_s,
            )
            self.world.note_start(self, task)
            self.runner.start(task, self.core.lease_until_s - now_s)
        return OrderResult(True, True, True)

    def _stop(self, order, epoch):
        message = control_pb2.Stop(
            attempt=order.attempt, epoch=epoch, incarnation=order.incarnation
        )
        member = self.core.stopped(message)
        if member is not None:
            self.runner.advance(self.world.now_s)
            if order.attempt not in self.runner.began:
                member.started = False
            self.runner.stop(order.attempt)
            member.state = "stopped"
        known = self.core.members.get(order.attempt)
        checkpoint = "checkpoint:1" if order.checkpoint and known else ""
        started = self.core.may_have_started(message)
        return OrderResult(True, True, started, "", checkpoint)

    def tick(self):
        now_s = self.world.now_s
        self.runner.advance(now_s)
        if self.frozen:
            return
        self._take_usage()
        for member in self.core.lapsed(now_s):
            member.state = "stopped"
            self.runner.stop(member.attempt)
        if now_s >= self.beat_due_s and not self.cut:
            self.beat_due_s = now_s + BEAT_S
            self._beat()

    def _beat(self):
        holder = self.world.holder
        if not holder.alive or holder.frozen or self.world.lost():
            return
        info = control_pb2.TargetInfo(name=self.info.name)
        beat = self.core.beat(info)
        reports = tuple(
            Report(r.attempt, r.state, run_s=r.run_s, started=r.started)
            for r in beat.reports
        )
        event = BeatEvent(
            self.info.name,
            beat.incarnation,
            self.info if beat.full else None,
            beat.full,
            reports,
            beat.digest,
        )
        now_s = self.world.now_s
        answer = holder.core.on_beat(event, now_s)
        holder.carry_out()
        if self.world.lost():
            return
        view = holder.core.state.view
        domain = view.domains.get(self.info.domain)
        reply = control_pb2.BeatReply(
            epoch=holder.epoch,
            config_version=view.version,
            domain_out=bool(domain and domain.out),
            view_age_s=now_s - holder.view_seen_s,
            lease_duration_s=10.0,
            want_full=answer.want_full,
            acknowledged=answer.acknowledged,
        )
        if answer.want_full:
            self.beat_due_s = 0.0
        self.core.beat_answered(beat, reply, now_s)
        for attempt in answer.unknown:
            self.runner.stop(attempt)
            self.core.drop(attempt)
            self._forget(attempt)
        for attempt in answer.acknowledged:
            self._forget(attempt)
        for attempt, task in self.runner.tasks.items():
            if task.epoch <= self.core.epoch:
                self.runner.lease_until[attempt] = max(
                    self.runner.lease_until[attempt], self.core.lease_until_s
                )

    def _forget(self, attempt):
        if self.runner.states.get(attempt) in ENDED:
            for table in (
                self.runner.states,
                self.runner.tasks,
                self.runner.lease_until,
            ):
                del table[attempt]


class _Usage(NamedTuple):
    attempt: str
    state: str
    epoch: int
    run_s: float = 1.0
    checkpoint: str = ""
    reason: str = ""
    answer: bytes = b"x"


class FakeHolder:
    """A cell's holder: the real decisions, fake input and output."""

    def __init__(self, world):
        self.world = world
        world.table.epoch += 1
        self.epoch = world.table.epoch
        self.alive = True
        self.frozen = False
        self.view_seen_s = world.now_s
        self.poll_due_s = 0.0
        self.core = CellCore(
            "lakes",
            self.epoch,
            world.now_s,
            CellTimings(lease_duration_s=10.0, outage_lease_s=20.0),
            lambda: world.now_s,
            world.make_id,
        )
        self.loaded = False

    def tick(self):
        if not self.alive or self.frozen:
            return
        world = self.world
        if not world.table.down and world.now_s >= self.poll_due_s:
            self.poll_due_s = world.now_s + CONFIG_POLL_S
            self._poll()
        self.core.on_tick(world.now_s)
        self.carry_out()

    def _poll(self):
        world = self.world
        if world.table.epoch != self.epoch:
            self.alive = False
            return
        self.view_seen_s = world.now_s
        if world.view is not self.core.state.view:
            self.core.on_config(world.view, world.now_s)
        rows = world.table.open_jobs()
        if not self.loaded:
            self.loaded = True
            self.core.load(rows, world.now_s)
            return
        for row, version in rows:
            if row.job not in self.core.state.jobs or row.cancel_requested:
                operation = world.table.rows[row.job][2]
                self.core.on_job(row, version, operation, world.now_s)

    def carry_out(self):
        for action in self.core.take_actions():
            self._do(action)

    def _do(self, action):
        world = self.world
        if isinstance(action, (SendReserve, SendStart, SendStop)):
            if action.attempt in self.core.state.attempts:
                job = self.core.state.attempts[action.attempt].job
                world.job_of[action.attempt] = job
            self._send(action)
        elif isinstance(action, CommitJob):
            world.after(world.delay(), lambda: self._commit(action))
        elif isinstance(action, ReloadJob):
            world.after(world.delay(), lambda: self._reload(action.job))

    def _send(self, order):
        world = self.world
        sent_s = world.now_s

        def answer(result):
            if self.alive:
                world.after_thaw(self, lambda: self._replied(order, result))

        def arrive():
            agent = world.agents[order.worker]
            if agent.cut or agent.frozen or world.lost():
                late_s = max(0.0, sent_s + ORDER_TIMEOUT_S - world.now_s)
                world.after(late_s, lambda: answer(OrderResult(False)))
                return
            result = agent.order(order, self.epoch)
            if world.lost():
                late_s = max(0.0, sent_s + ORDER_TIMEOUT_S - world.now_s)
                world.after(late_s, lambda: answer(OrderResult(False)))
            else:
                world.after(world.delay(), lambda: answer(result))

        world.after(world.delay(), arrive)

    def _replied(self, order, result):
        self.core.on_order_reply(order, result, self.world.now_s)
        self.carry_out()

    def _commit(self, commit):
        status, version = self._try_commit(commit)

        def done():
            if self.alive:
                self.core.on_commit(commit, status, version or 0, self.world.now_s)
                self.carry_out()
                if self.core.state.fenced:
                    self.alive = False

        self.world.after_thaw(self, done)

    def _try_commit(self, commit):
        table = self.world.table
        if table.down:
            return CommitStatus.UNKNOWN, 0
        if table.epoch != self.epoch:
            return CommitStatus.FENCED, 0
        version = table.put(commit.row, commit.version, commit.operation)
        self.world.note_row(commit.row, version)
        if self.world.lost():
            return CommitStatus.UNKNOWN, 0
        if version is None:
            _row, version, operation = table.rows[commit.job]
            if operation == commit.operation:
                return CommitStatus.COMMITTED, version
            return CommitStatus.CONFLICT, 0
        return CommitStatus.COMMITTED, version

    def _reload(self, job):
        if not self.alive:
            return
        if self.world.table.down:
            self.core.on_reload_failed(job, self.world.now_s)
        else:
            row, version, operation = self.world.table.rows[job]
            self.core.on_job(row, version, operation, self.world.now_s)
        self.carry_out()


class World:
    """A cell with its surroundings, stepped through time."""

    def __init__(self, seed=0, infos=None):
        self.random = random.Random(seed)
        self.make_id = seeded_ids(seed)
        self.now_s = 100.0
        self.loss = 0.0
        self.longest_delay_s = 0.05
        self.table = FakeTable()
        self.view = ConfigView()
        self.failing: set[str] = set()
        self.job_of: dict[str, str] = {}
        self.runs: Counter[tuple[str, str]] = Counter()
        self.run_jobs: Counter[str] = Counter()
        self.out_since_s: dict[str, float] = {}
        self.broken: list[str] = []
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

    def check_gangs(self):
        """No member may go on alone for longer than a lease and its margins."""
        members: dict[str, list[tuple[str, float]]] = {}
        for agent in self.agents.values():
            for attempt, task in agent.runner.tasks.items():
                state = agent.runner.states[attempt]
                members.setdefault(attempt, []).append((state, task.begin_s))
        for attempt, states in members.items():
            job = self.job_of[attempt]
            wanted = len(self.row(job).members)
            if self.row(job).attempt != attempt:
                continue
            running = [begin_s for state, begin_s in states if state == "running"]
            if running and len(states) < wanted:
                alone_s = self.now_s - max(running)
                if alone_s > 40.0:
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
