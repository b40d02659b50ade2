"""Drives a cell's decisions directly; orders are carried out and answered at once."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Sequence

from cicadabank.decisions import (
    BeatEvent,
    CellCore,
    CellTimings,
    CommitJob,
    CommitStatus,
    ConfigView,
    OrderResult,
    Report,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
    WorkerInfo,
)
from cicadabank.model import FailureDomain, JobRow, JobSpec, JobState, seeded_ids

FOREVER_S = 1e12
TICK_S = 1.0
FAIL_FAST_S = 0.5
NEVER_SILENT = CellTimings(
    lease_duration_s=FOREVER_S, silent_after_s=FOREVER_S, settle_s=0.0
)


class Progress:
    """A job's true run time, what was kept of it, and what was lost."""

    def __init__(self, spec: JobSpec, run_s: float, submitted_s: float):
        self.spec = spec
        self.run_s = run_s
        self.submitted_s = submitted_s
        self.kept_s = 0.0
        self.lost_s = 0.0
        self.started_s = -1.0
        self.first_start_s = -1.0
        self.ended_s = -1.0


class Driver:
    """One cell with its workers, stepped from event to event.

    Parameters
    ----------
    infos : list of WorkerInfo
    view : ConfigView
        The configuration at the start.
    tick_s : float, default=1.0
        Time between plans.
    """

    def __init__(
        self,
        infos: Sequence[WorkerInfo],
        view: ConfigView,
        tick_s: float = TICK_S,
        timings: CellTimings = NEVER_SILENT,
    ):
        self.now_s = 0.0
        self.tick_s = tick_s
        self.core = CellCore(
            "lakes", 1, 0.0, timings, lambda: self.now_s, seeded_ids(1)
        )
        self.core.on_config(view, 0.0)
        self.core.load([], 0.0)
        for info in infos:
            self.core.on_beat(BeatEvent(info.name, "run", info, True, ()), 0.0)
        self.jobs: dict[str, Progress] = {}
        self.bad_workers: set[str] = set()
        self.bad_jobs: set[str] = set()
        self.failed_attempts: list[tuple[str, str]] = []
        self._members: dict[str, set[str]] = {}
        self._versions = itertools.count(1)
        self._events: list = []
        self._order = itertools.count()

    def at(self, at_s: float, call, *arguments) -> None:
        """Call something at a time."""
        heapq.heappush(self._events, (at_s, next(self._order), call, arguments))

    def submit(self, spec: JobSpec, run_s: float) -> str:
        """Hand a job to the cell now."""
        job = f"job-{len(self.jobs):06d}"
        self.jobs[job] = Progress(spec, run_s, self.now_s)
        row = JobRow(job, spec, JobState.QUEUED, "lakes", self.now_s, "submit")
        self.core.on_job(row, next(self._versions), "submit", self.now_s)
        return job

    def cancel(self, job: str) -> None:
        """Cancel a job as an entry would."""
        entry = self.core.state.jobs.get(job)
        if entry is not None and entry.pending is None:
            row = entry.row._replace(cancel_requested=True)
            self.core.on_job(row, next(self._versions), "cancel", self.now_s)
            self._carry_out()

    def set_domain(self, name: str, out: bool, stop_after_s: float = 0.0) -> None:
        """Take a failure domain out or bring it back."""
        view = self.core.state.view
        domains = {**view.domains, name: FailureDomain(name, out, stop_after_s)}
        self.core.on_config(
            view._replace(version=view.version + 1, domains=domains), self.now_s
        )

    def run(self, until_s: float) -> None:
        """Play events and plans up to a time."""
        next_tick_s = self.now_s
        while self.now_s < until_s:
            next_event_s = self._events[0][0] if self._events else FOREVER_S
            self.now_s = min(next_tick_s, next_event_s, until_s)
            while self._events and self._events[0][0] <= self.now_s:
                _, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            if self.now_s >= next_tick_s:
                next_tick_s = self.now_s + self.tick_s
                self.core.on_tick(self.now_s)
            self._carry_out()

    def _carry_out(self) -> None:
        while actions := self.core.take_actions():
            for action in actions:
                self._do(action)

    def _do(self, action) -> None:
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
            progress = self.jobs[attempt.job]
            progress.started_s = self.now_s
            if progress.first_start_s < 0:
                progress.first_start_s = self.now_s
            left_s = progress.run_s - progress.kept_s
            bad = sorted(members & self.bad_workers)
            if attempt.job in self.bad_jobs:
                bad = sorted(members)
            if bad:
                self.at(self.now_s + FAIL_FAST_S, self._fail, order.attempt, bad[0])
            else:
                self.at(self.now_s + left_s, self._end, order.attempt, attempt.job)
        self._reply(order, OrderResult(True, True, True))

    def _end(self, attempt: str, job: str) -> None:
        workers = self._members.pop(attempt, ())
        if not workers:
            return
        progress = self.jobs[job]
        progress.kept_s = progress.run_s
        for worker in sorted(workers):
            report = Report(attempt, "done", run_s=progress.run_s)
            self.core.on_beat(
                BeatEvent(worker, "run", None, False, (report,)), self.now_s
            )

    def _fail(self, attempt: str, worker: str) -> None:
        if attempt not in self._members:
            return
        job = self.core.state.attempts[attempt].job
        self.failed_attempts.append((job, worker))
        report = Report(attempt, "failed", run_s=FAIL_FAST_S)
        self.core.on_beat(BeatEvent(worker, "run", None, False, (report,)), self.now_s)

    def _stop(self, order: SendStop) -> None:
        workers = self._members.pop(order.attempt, None)
        attempt = self.core.state.attempts.get(order.attempt)
        if workers and attempt is not None:
            progress = self.jobs[attempt.job]
            ran_s = self.now_s - progress.started_s
            if order.checkpoint:
                progress.kept_s += ran_s
            else:
                progress.lost_s += ran_s
        checkpoint = "checkpoint:1" if order.checkpoint else ""
        self._reply(order, OrderResult(True, True, True, "", checkpoint))
