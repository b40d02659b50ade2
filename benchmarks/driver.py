"""Simulates a cell: its actions are executed, and orders replied to, without delay."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Sequence

from cicadabank.decisions import (
    CellCore,
    CellTimings,
    CommitJob,
    CommitStatus,
    ConfigView,
    HeartbeatEvent,
    OrderResult,
    Report,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
    WorkerInfo,
)
from cicadabank.model import FailureDomain, JobRow, JobSpec, JobState, seeded_ids

FAR_FUTURE_S = 1e12
TICK_S = 1.0
FAIL_FAST_S = 0.5
NO_TIMEOUTS = CellTimings(
    lease_duration_s=FAR_FUTURE_S, silent_after_s=FAR_FUTURE_S, settle_s=0.0
)


class SimulatedJob:
    """A job's actual run time, and the seconds of it that are completed and lost."""

    def __init__(self, spec: JobSpec, run_s: float, submitted_s: float):
        self.spec = spec
        self.run_s = run_s
        self.submitted_s = submitted_s
        self.completed_s = 0.0
        self.lost_s = 0.0
        self.started_s = -1.0
        self.first_start_s = -1.0
        self.ended_s = -1.0


class Driver:
    """Event-driven simulation of one cell and its workers.

    Parameters
    ----------
    infos : sequence of WorkerInfo
        The cell's workers.
    view : ConfigView
        The initial configuration.
    tick_s : float, default=1.0
        Seconds between ticks, in which the cell plans.
    timings : CellTimings, default=NO_TIMEOUTS
    """

    def __init__(
        self,
        infos: Sequence[WorkerInfo],
        view: ConfigView,
        tick_s: float = TICK_S,
        timings: CellTimings = NO_TIMEOUTS,
    ):
        self.now_s = 0.0
        self.tick_s = tick_s
        self.core = CellCore(
            "lakes", 1, 0.0, timings, lambda: self.now_s, seeded_ids(1)
        )
        self.core.on_config(view, 0.0)
        self.core.load([], 0.0)
        for info in infos:
            self.core.on_heartbeat(
                HeartbeatEvent(info.name, "run", info, True, ()), 0.0
            )
        self.jobs: dict[str, SimulatedJob] = {}
        self.faulty_workers: set[str] = set()
        self.failing_jobs: set[str] = set()
        self.failed_attempts: list[tuple[str, str]] = []
        self._members: dict[str, set[str]] = {}
        self._versions = itertools.count(1)
        self._events: list = []
        self._order = itertools.count()

    def schedule(self, at_s: float, call, *arguments) -> None:
        """Schedule a call at a simulated time in seconds."""
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def submit(self, spec: JobSpec, run_s: float) -> str:
        """Submit a job to the cell now; return its name."""
        job = f"job-{len(self.jobs):06d}"
        self.jobs[job] = SimulatedJob(spec, run_s, self.now_s)
        row = JobRow(job, spec, JobState.QUEUED, "lakes", self.now_s, "submit")
        self.core.on_job(row, next(self._versions), "submit", self.now_s)
        return job

    def cancel(self, job: str) -> None:
        """Set a job's cancel request, as an entry does, unless a commit is pending."""
        entry = self.core.state.jobs.get(job)
        if entry is not None and entry.pending is None:
            row = entry.row._replace(cancel_requested=True)
            self.core.on_job(row, next(self._versions), "cancel", self.now_s)
            self._process_actions()

    def update_domain(self, name: str, out: bool, stop_after_s: float = 0.0) -> None:
        """Drain a failure domain or end its drain, by a new configuration version."""
        view = self.core.state.view
        domains = {**view.domains, name: FailureDomain(name, out, stop_after_s)}
        self.core.on_config(
            view._replace(version=view.version + 1, domains=domains), self.now_s
        )

    def run(self, until_s: float) -> None:
        """Process events and ticks up to a simulated time in seconds."""
        next_tick_s = self.now_s
        while self.now_s < until_s:
            next_event_s = self._events[0][0] if self._events else FAR_FUTURE_S
            self.now_s = min(next_tick_s, next_event_s, until_s)
            while self._events and self._events[0][0] <= self.now_s:
                _, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            if self.now_s >= next_tick_s:
                next_tick_s = self.now_s + self.tick_s
                self.core.on_tick(self.now_s)
            self._process_actions()

    def _process_actions(self) -> None:
        while actions := self.core.take_actions():
            for action in actions:
                self._process(action)

    def _process(self, action) -> None:
        if isinstance(action, CommitJob):
            version = next(self._versions)
            if action.row.terminal:
                self.jobs[action.job].ended_s = self.now_s
            committed = CommitStatus.COMMITTED
            self.core.on_commit(action, committed, version, self.now_s)
        elif isinstance(action, SendReserve) or (
            isinstance(action, SendStart) and action.hold_s
        ):
            self._reply(action, OrderResult(True, True, False))
        elif isinstance(action, SendStart | SendBegin):
            self._start(action)
        elif isinstance(action, SendStop):
            self._stop(action)

    def _reply(self, order, result: OrderResult) -> None:
        self.core.on_order_reply(order, result, self.now_s)

    def _start(self, order: SendStart | SendBegin) -> None:
        members = self._members.setdefault(order.attempt, set())
        members.add(order.worker)
        attempt = self.core.state.attempts[order.attempt]
        if len(members) == len(attempt.members):
            simulated = self.jobs[attempt.job]
            simulated.started_s = self.now_s
            if simulated.first_start_s < 0:
                simulated.first_start_s = self.now_s
            remaining_s = simulated.run_s - simulated.completed_s
            failing_workers = sorted(members & self.faulty_workers)
            if attempt.job in self.failing_jobs:
                failing_workers = sorted(members)
            if failing_workers:
                self.schedule(
                    self.now_s + FAIL_FAST_S,
                    self._fail,
                    order.attempt,
                    failing_workers[0],
                )
            else:
                self.schedule(
                    self.now_s + remaining_s, self._complete, order.attempt, attempt.job
                )
        self._reply(order, OrderResult(True, True, True))

    def _complete(self, attempt: str, job: str) -> None:
        workers = self._members.pop(attempt, ())
        if not workers:
            return
        simulated = self.jobs[job]
        simulated.completed_s = simulated.run_s
        for worker in sorted(workers):
            report = Report(attempt, "done", run_s=simulated.run_s)
            self.core.on_heartbeat(
                HeartbeatEvent(worker, "run", None, False, (report,)), self.now_s
            )

    def _fail(self, attempt: str, worker: str) -> None:
        if attempt not in self._members:
            return
        job = self.core.state.attempts[attempt].job
        self.failed_attempts.append((job, worker))
        report = Report(attempt, "failed", run_s=FAIL_FAST_S)
        self.core.on_heartbeat(
            HeartbeatEvent(worker, "run", None, False, (report,)), self.now_s
        )

    def _stop(self, order: SendStop) -> None:
        workers = self._members.pop(order.attempt, None)
        attempt = self.core.state.attempts.get(order.attempt)
        if workers and attempt is not None:
            simulated = self.jobs[attempt.job]
            elapsed_s = self.now_s - simulated.started_s
            if order.checkpoint:
                simulated.completed_s += elapsed_s
            else:
                simulated.lost_s += elapsed_s
        checkpoint = "checkpoint:1" if order.checkpoint else ""
        self._reply(order, OrderResult(True, True, True, "", checkpoint))
