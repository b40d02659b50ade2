"""State machine of one cell's scheduler: events and time in, actions out."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from cicadabank.decisions.internal import drains, gangs, membership, planner
from cicadabank.decisions.internal.attempts import (
    Attempt,
    MemberState,
    Phase,
    TrackedJob,
)
from cicadabank.decisions.internal.fleet import TaskResources
from cicadabank.decisions.internal.messages import (
    Action,
    CommitJob,
    CommitStatus,
    ConfigView,
    HeartbeatEvent,
    HeartbeatReply,
    Order,
    OrderResult,
    ReloadJob,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.decisions.internal.outcomes import cancelled_row
from cicadabank.decisions.internal.state import CellState, CellTimings
from cicadabank.model import JobRow, JobState, new_id

RELOAD_RETRY_DELAY_S = 0.5


class CellCore:
    """Scheduler of the single-gang jobs of one cell, without I/O or clock reads.

    Each method takes an event and the time in seconds of a monotonic clock. The
    embedding process then carries out the actions from `take_actions` and reports
    their results.

    Parameters
    ----------
    cell : str
        Name of the cell.
    epoch : int
        Epoch of this holder's takeover, for fencing.
    now_s : float
        Time of the takeover in seconds.
    clock_unix_s : callable
        Returns the Unix time in seconds for stored rows.
    make_id : callable
        Returns a new identifier for a kind of object.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        now_s: float,
        timings: CellTimings | None = None,
        clock_unix_s: Callable[[], float] = lambda: 0.0,
        make_id: Callable[[str], str] = new_id,
    ):
        self.state = CellState(cell, timings or CellTimings(), clock_unix_s, make_id)
        self.state.epoch = epoch
        self.state.taken_over_s = now_s

    def take_actions(self) -> list[Action]:
        """Return the actions requested since the last call, and clear them."""
        actions, self.state.actions = self.state.actions, []
        for action in actions:
            if isinstance(action, CommitJob) and action.job in self.state.jobs:
                tracked = self.state.jobs[action.job]
                tracked.pending = action
                tracked.reload_due_s = float("inf")
                tracked.reloading = False
        return actions

    def load(self, rows: list[tuple[JobRow, int]], now_s: float) -> None:
        """Load all jobs of the cell that have not ended, after a takeover."""
        for row, version in rows:
            self.on_job(row, version, "", now_s)
        self.state.loaded = True

    def on_config(self, view: ConfigView, now_s: float) -> None:
        """Apply a configuration, unless it is older than the current one."""
        drains.on_config(self.state, view, now_s)

    def set_timings(self, timings: CellTimings) -> None:
        """Replace the time limits, which depend on the size of the cell."""
        self.state.timings = timings

    def on_heartbeat(self, heartbeat: HeartbeatEvent, now_s: float) -> HeartbeatReply:
        """Apply a worker's heartbeat and return the reply to it."""
        return membership.on_heartbeat(self.state, heartbeat, now_s)

    def on_tick(self, now_s: float) -> None:
        """Act on expired deadlines and due retries, then plan."""
        state = self.state
        state.now_s = now_s
        membership.check_heartbeats(state, now_s)
        membership.check_unreported_workers(state, now_s)
        membership.check_deadlines(state, now_s)
        drains.check_drains(state, now_s)
        self._request_due_reloads(now_s)
        if state.loaded and not state.fenced and not state.stopping:
            planner.plan(state, now_s)

    def _request_due_reloads(self, now_s: float) -> None:
        for job, tracked in self.state.jobs.items():
            if tracked.pending is not None and tracked.reload_due_s <= now_s:
                tracked.reload_due_s = float("inf")
                tracked.reloading = True
                self.state.actions.append(ReloadJob(job))

    def on_reload_failed(self, job: str, now_s: float) -> None:
        """Schedule another read of a row that could not be read.

        Reads are repeated while the outcome of a write to the row is unknown.
        """
        tracked = self.state.jobs.get(job)
        if tracked is not None:
            tracked.reload_due_s = now_s + RELOAD_RETRY_DELAY_S

    def on_job(self, row: JobRow, version: int, operation: str, now_s: float) -> None:
        """Apply a job's row as read from the table."""
        tracked = self.state.jobs.get(row.job)
        if tracked is None:
            self._add_job(row, version, now_s)
        elif tracked.pending is not None:
            # A write is in flight; only a row read back after it shows its outcome.
            if tracked.reloading:
                self._resolve_write(tracked, row, version, operation, now_s)
        elif version > tracked.version:
            tracked.row, tracked.version = row, version
            self._on_row_changed(tracked, now_s)

    def _add_job(self, row: JobRow, version: int, now_s: float) -> None:
        if row.terminal:
            return
        tracked = self.state.jobs[row.job] = TrackedJob(row, version, now_s)
        if row.state is JobState.RUNNING:
            self._recover_attempt(tracked, now_s)
        elif row.cancel_requested:
            self._cancel(tracked, now_s)
        else:
            self.state.enqueue(tracked)

    def _recover_attempt(self, tracked: TrackedJob, now_s: float) -> None:
        row, state = tracked.row, self.state
        spec = row.spec
        need = TaskResources(
            spec.accelerators_per_task, spec.cores_per_task, spec.memory_mb_per_task
        )
        members = [MemberState(m.worker, m.tasks, m.incarnation) for m in row.members]
        attempt = Attempt(row.attempt, row.job, need, members, "")
        attempt.phase, attempt.committed = Phase.RECOVERING, True
        attempt.deadline_s = now_s + state.timings.recovery_s
        attempt.running_since_s = attempt.unsaved_since_s = now_s
        for member in members:
            member.started = True
            if member.worker in state.fleet.workers:
                state.fleet.book(member.worker, attempt.name, member.tasks, need)
        state.attempts[attempt.name] = attempt
        tracked.attempt = attempt.name
        state.accelerators_in_use[spec.workspace] = (
            state.accelerators_in_use.get(spec.workspace, 0) + spec.accelerators
        )
        state.record(
            row.job, "adopted", "restored from the table after a takeover", attempt.name
        )
        if row.cancel_requested:
            gangs.stop(state, attempt, "cancelled", now_s)

    def _on_row_changed(self, tracked: TrackedJob, now_s: float) -> None:
        """Act on a row that another writer has changed, for example to cancel."""
        attempt = self.state.attempts.get(tracked.attempt)
        if attempt is not None and attempt.phase in gangs.PRE_COMMIT_PHASES:
            gangs.release_attempt(
                self.state,
                attempt,
                now_s,
                "the job's row was changed by another writer",
            )
            attempt = None
        if tracked.row.terminal:
            self.state.dequeue(tracked)
            self.state.jobs.pop(tracked.row.job, None)
        elif tracked.row.cancel_requested and attempt is None:
            self._cancel(tracked, now_s)
        elif tracked.row.cancel_requested and attempt.phase is not Phase.COMMITTING:
            gangs.stop(self.state, attempt, "cancelled", now_s)

    def _cancel(self, tracked: TrackedJob, now_s: float) -> None:
        self.state.dequeue(tracked)
        row = cancelled_row(self.state, tracked.row)
        operation = f"cancel-{row.job}-{tracked.version}"
        self.state.actions.append(CommitJob(row.job, row, tracked.version, operation))

    def on_commit(
        self, commit: CommitJob, status: CommitStatus, version: int, now_s: float
    ) -> None:
        """Apply the outcome of a commit of a job's row."""
        tracked = self.state.jobs.get(commit.job)
        if tracked is None or tracked.pending is None:
            return
        if tracked.pending.operation != commit.operation:
            return
        if status is CommitStatus.FENCED:
            self.state.fenced = True
        elif status is CommitStatus.COMMITTED:
            self._on_committed(tracked, version, now_s)
        else:
            tracked.reload_due_s = (
                now_s
                if status is CommitStatus.CONFLICT
                else now_s + RELOAD_RETRY_DELAY_S
            )

    def _on_committed(self, tracked: TrackedJob, version: int, now_s: float) -> None:
        pending, tracked.pending = tracked.pending, None
        tracked.reloading = False
        tracked.row, tracked.version = pending.row, version
        attempt = self.state.attempts.get(tracked.attempt)
        if attempt is None:
            if tracked.row.terminal:
                self.state.record(
                    tracked.row.job, str(tracked.row.state), tracked.row.reason
                )
                self.state.jobs.pop(tracked.row.job, None)
        elif attempt.phase is Phase.COMMITTING:
            gangs.send_start_orders(self.state, attempt, now_s)
        elif attempt.phase is Phase.SAVING:
            gangs.on_outcome_committed(self.state, attempt, tracked, now_s)

    def _resolve_write(
        self,
        tracked: TrackedJob,
        row: JobRow,
        version: int,
        operation: str,
        now_s: float,
    ) -> None:
        """Determine the outcome of a write from the row read back.

        Applies to a write whose reply was lost or that conflicted with another one.
        """
        pending = tracked.pending
        if operation == pending.operation:
            self._on_committed(tracked, version, now_s)
            return
        if version == tracked.version:
            # The write may still arrive, so only a retry of the same write is safe.
            self.state.actions.append(pending)
            return
        tracked.pending = None
        tracked.reloading = False
        tracked.row, tracked.version = row, version
        attempt = self.state.attempts.get(tracked.attempt)
        if attempt is None:
            self._on_write_superseded(tracked, now_s)
        elif attempt.phase is Phase.COMMITTING:
            self._resolve_start_write(tracked, attempt, now_s)
        elif attempt.phase is Phase.SAVING:
            gangs.commit_outcome(self.state, attempt, now_s)

    def _on_write_superseded(self, tracked: TrackedJob, now_s: float) -> None:
        if tracked.row.state is JobState.QUEUED and not tracked.row.cancel_requested:
            self.state.enqueue(tracked)
        else:
            self._on_row_changed(tracked, now_s)

    def _resolve_start_write(
        self, tracked: TrackedJob, attempt: Attempt, now_s: float
    ) -> None:
        if tracked.row.attempt != attempt.name:
            attempt.phase = Phase.RESERVING
            gangs.release_attempt(
                self.state,
                attempt,
                now_s,
                "the job's row was changed before the commit",
            )
            self._on_row_changed(tracked, now_s)
            return
        # The start was committed and then a request to cancel; no member has started.
        attempt.committed = True
        attempt.phase = Phase.STARTING
        gangs.stop(self.state, attempt, "cancelled", now_s)

    def on_order_reply(
        self,
        order: Order,
        result: OrderResult,
        now_s: float,
    ) -> None:
        """Apply an agent's reply to an order, or the lack of one."""
        attempt = self.state.attempts.get(order.attempt)
        if attempt is not None:
            self._dispatch_reply(order, attempt, result, now_s)

    @singledispatchmethod
    def _dispatch_reply(
        self, order, attempt: Attempt, result: OrderResult, now_s: float
    ) -> None:
        raise NotImplementedError(
            f"unexpected reply to an order of type {type(order).__name__}"
        )

    @_dispatch_reply.register
    def _(self, order: SendReserve, attempt, result, now_s) -> None:
        gangs.on_reserve_reply(self.state, attempt, order.worker, result, now_s)

    @_dispatch_reply.register
    def _(self, order: SendStart, attempt, result, now_s) -> None:
        gangs.on_start_reply(self.state, attempt, order.worker, result, now_s)

    @_dispatch_reply.register
    def _(self, order: SendBegin, attempt, result, now_s) -> None:
        gangs.on_begin_reply(self.state, attempt, order.worker, result, now_s)

    @_dispatch_reply.register
    def _(self, order: SendStop, attempt, result, now_s) -> None:
        gangs.on_stop_reply(self.state, attempt, order.worker, result, now_s)
