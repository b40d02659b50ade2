"""Fake agents: the real decision logic over fake runners, which outlive the agent."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.agent import AgentCore, OrderRefusedError
from cicadabank.decisions import (
    HeartbeatEvent,
    OrderResult,
    Report,
    SendBegin,
    SendReserve,
    SendStart,
)
from cicadabank.wire import control_pb2

HEARTBEAT_INTERVAL_S = 1.0
FRESHNESS_S = 3.0
LEASE_S = 10.0
RESERVATION_TTL_S = 6.0
TERMINAL_STATES = ("done", "failed", "stopped")


class FakeTask(NamedTuple):
    attempt: str
    job: str
    tasks: int
    accelerators: int
    held: bool
    epoch: int
    started_at_s: float


class FakeRunner:
    """Runner of a worker; keeps its tasks when the agent restarts."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.tasks: dict[str, FakeTask] = {}
        self.states: dict[str, str] = {}
        self.lease_until_s: dict[str, float] = {}
        self.began_at_s: dict[str, float] = {}

    def start(self, task, lease_s):
        self.tasks[task.attempt] = task
        self.states[task.attempt] = "held"
        self.lease_until_s[task.attempt] = self.world.now_s + lease_s

    def advance(self, now_s):
        for attempt, task in self.tasks.items():
            if self.states[attempt] in TERMINAL_STATES:
                continue
            if now_s > self.lease_until_s[attempt]:
                self.states[attempt] = "stopped"
            elif not task.held:
                if attempt not in self.began_at_s:
                    self.began_at_s[attempt] = now_s
                    self.world.record_run(self, task)
                self.states[attempt] = "running"
                if now_s >= self.began_at_s[attempt] + self.world.run_s(task.job):
                    fails = task.job in self.world.failing_jobs
                    self.states[attempt] = "failed" if fails else "done"

    def begin(self, attempt, lease_s):
        self.tasks[attempt] = self.tasks[attempt]._replace(held=False)
        self.lease_until_s[attempt] = self.world.now_s + lease_s

    def stop(self, attempt):
        if self.states.get(attempt) in ("held", "running"):
            self.states[attempt] = "stopped"


class _Usage(NamedTuple):
    attempt: str
    state: str
    epoch: int
    run_s: float = 1.0
    checkpoint: str = ""
    reason: str = ""
    answer: bytes = b"x"


class FakeAgent:
    """The real decision logic of an agent over a fake runner."""

    def __init__(self, world, info):
        self.world = world
        self.info = info
        self.runner = FakeRunner(world, info.name)
        self.frozen = False
        self.disconnected = False
        self.heartbeat_due_s = 0.0
        self.restart()

    def lose_tasks(self):
        """Lose all tasks of the runner while the agent keeps running."""
        self.runner = FakeRunner(self.world, self.info.name)

    def replace_vm(self):
        """Lose all tasks, as when the VM is replaced, and restart the agent."""
        self.runner = FakeRunner(self.world, self.info.name)
        self.restart()

    def restart(self):
        self.core = AgentCore(
            self.world.make_id("run"), self.info.accelerators, FRESHNESS_S
        )
        self._apply_usage()

    def _apply_usage(self):
        usage = [
            _Usage(a, state, self.runner.tasks[a].epoch)
            for a, state in self.runner.states.items()
        ]
        self.core.apply_usage(usage, self.world.now_s)

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
                ttl_s=RESERVATION_TTL_S,
            )
            self.core.reserve(message, now_s)
            return OrderResult(True, True, False)
        if isinstance(order, SendStart):
            return self._start(order, epoch, now_s)
        if isinstance(order, SendBegin):
            return self._begin(order, epoch, now_s)
        return self._stop(order, epoch)

    def _start(self, order, epoch, now_s):
        message = control_pb2.Start(
            attempt=order.attempt,
            epoch=epoch,
            incarnation=order.incarnation,
            hold_s=order.hold_s,
            lease_duration_s=LEASE_S,
        )
        member = self.core.start(message, now_s)
        if member is not None:
            task = FakeTask(
                order.attempt,
                self.world.job_by_attempt[order.attempt],
                member.tasks,
                member.accelerators,
                bool(order.hold_s),
                epoch,
                now_s,
            )
            self.world.record_start(self, task)
            lease_s = order.hold_s or self.core.lease_until_s - now_s
            self.runner.start(task, lease_s)
            self.core.order_accepted(order.attempt, now_s)
        return OrderResult(True, True, self.core.members[order.attempt].started)

    def _begin(self, order, epoch, now_s):
        message = control_pb2.Begin(
            attempt=order.attempt,
            epoch=epoch,
            incarnation=order.incarnation,
            lease_duration_s=LEASE_S,
        )
        self.runner.advance(now_s)
        self._apply_usage()
        member = self.core.begin(message, now_s)
        if member is not None:
            self.world.record_start(self, self.runner.tasks[order.attempt])
            self.runner.begin(order.attempt, self.core.lease_until_s - now_s)
            self.core.order_accepted(order.attempt, now_s)
        return OrderResult(True, True, True)

    def _stop(self, order, epoch):
        message = control_pb2.Stop(
            attempt=order.attempt, epoch=epoch, incarnation=order.incarnation
        )
        member = self.core.stop(message)
        if member is not None:
            self.runner.advance(self.world.now_s)
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
        self._apply_usage()
        for member in self.core.members_with_expired_lease(now_s):
            member.state = "stopped"
            self.runner.stop(member.attempt)
        if now_s >= self.heartbeat_due_s and not self.disconnected:
            self.heartbeat_due_s = now_s + HEARTBEAT_INTERVAL_S
            self._send_heartbeat()

    def _send_heartbeat(self):
        holder = self.world.holder
        if not holder.alive or holder.frozen or self.world.message_lost():
            return
        info = control_pb2.TargetInfo(name=self.info.name)
        heartbeat = self.core.next_heartbeat(info)
        reports = tuple(
            Report(r.attempt, r.state, run_s=r.run_s, started=r.started)
            for r in heartbeat.reports
        )
        event = HeartbeatEvent(
            self.info.name,
            heartbeat.incarnation,
            self.info if heartbeat.full else None,
            heartbeat.full,
            reports,
            heartbeat.digest,
        )
        now_s = self.world.now_s
        answer = holder.core.on_heartbeat(event, now_s)
        holder.execute_actions()
        if self.world.message_lost():
            return
        view = holder.core.state.view
        domain = view.domains.get(self.info.domain)
        reply = control_pb2.BeatReply(
            epoch=holder.epoch,
            config_version=view.version,
            domain_out=bool(domain and domain.out),
            view_age_s=now_s - holder.view_seen_s,
            lease_duration_s=LEASE_S,
            want_full=answer.want_full,
            acknowledged=answer.acknowledged,
        )
        if answer.want_full:
            self.heartbeat_due_s = 0.0
        self.core.apply_heartbeat_reply(heartbeat, reply, now_s)
        for attempt in answer.unknown:
            self.runner.stop(attempt)
            self.core.forget(attempt)
            self._forget(attempt)
        for attempt in answer.acknowledged:
            self._forget(attempt)
        for attempt, task in self.runner.tasks.items():
            if task.epoch <= self.core.epoch and not task.held:
                self.runner.lease_until_s[attempt] = max(
                    self.runner.lease_until_s[attempt], self.core.lease_until_s
                )

    def _forget(self, attempt):
        if self.runner.states.get(attempt) in TERMINAL_STATES:
            for table in (
                self.runner.states,
                self.runner.tasks,
                self.runner.lease_until_s,
            ):
                del table[attempt]
