"""Tasks of the entry that holds a cell."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

import grpc
from cicadabank.control.internal.conversion import (
    report_from_message,
    run_id_to_message,
    start_to_message,
)
from cicadabank.control.internal.feed import OperatorView
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    HOLDER,
    LEASE,
    CellScheduler,
    Commit,
    LeaseRow,
    Orders,
    Timings,
    pack,
)
from cicadabank.store import (
    PartitionedTable,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import Task, clock_s
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc
from loguru import logger

TICK_INTERVAL_S = 0.05
# Least time between two rounds of planning: a burst of events takes one round.
MIN_PLAN_INTERVAL_S = 0.02
# Two renewals fit into the time after which others ask whether this entry lives.
RENEW_INTERVAL_S = 0.45
# Pause before a write that the store turned away is tried again.
WRITE_RETRY_PAUSE_S = 0.15
ORDER_TIMEOUT_S = 0.8
REPORT_INTERVAL_S = 1.0


def log_event(event: str, **fields: object) -> None:
    """Write a log line of a decision."""
    logger.bind(event=event, **fields).info(event)


class CellTask(Task):
    """Holds a cell: carries out what its scheduler decides.

    Parameters
    ----------
    epoch : int
        Under which this entry took the cell.
    version : int
        Of the row that names the holder; writes depend on it.
    on_fenced : callable
        Called once another entry turns out to hold the cell.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        version: int,
        address: str,
        table: PartitionedTable,
        replica: Replica,
        pool: ChannelPool,
        on_fenced: Callable[[str], None],
        timings: Timings,
    ):
        super().__init__(TICK_INTERVAL_S)
        self.cell = cell
        self.epoch = epoch
        self.version = version
        self._address = address
        self._table = table
        self._replica = replica
        self._pool = pool
        self._on_fenced = on_fenced
        self._timings = timings
        self._writer = ThreadPoolExecutor(1, f"commit-{cell}")
        self._last_write_s = clock_s()
        self._renew_due_s = 0.0
        self._last_plan_s = float("-inf")
        self._writing = False
        self.scheduler = CellScheduler(cell, epoch, clock_s(), timings, log_event)

    def load(self, operator: OperatorView, lapse_s: float) -> None:
        """Take in all rows of the cell; the replica has caught up with the takeover.

        Parameters
        ----------
        lapse_s : float
            After which no lease is left that an earlier holder has renewed.
        """
        now_s = clock_s()
        self._update_clock_offset()
        self.on_operator(operator)
        rows = self._replica.cell(self.cell)
        for agent in list(rows.agents):
            self.scheduler.on_agent(agent)
        jobs = [
            (record, stored.row if stored else None, stored.version if stored else 0)
            for record, stored in (
                (record, rows.runs.get(job)) for job, record in list(rows.jobs.items())
            )
        ]
        self.scheduler.load(jobs, list(rows.cancelled), now_s, lapse_s)
        log_event(
            "cell_loaded",
            cell=self.cell,
            epoch=self.epoch,
            jobs=len(jobs),
            lapse_s=round(lapse_s, 3),
        )
        self._plan_and_send()

    def _update_clock_offset(self) -> None:
        self.scheduler.state.store_offset_s = self._replica.offset_s

    def on_operator(self, view: OperatorView) -> None:
        """Take in what the operators want."""
        now_s = clock_s()
        if view.config is not None:
            self.scheduler.on_config(view.config, now_s)
        self.scheduler.on_domains_out(view.domains_out, now_s)

    def on_row(self, kind: str, name: str) -> None:
        """Take in a row that was written by others."""
        if not self.scheduler.state.loaded:
            return
        rows = self._replica.cell(self.cell)
        now_s = clock_s()
        if kind == "job" and name in rows.jobs:
            self.scheduler.on_job(rows.jobs[name], now_s)
            if name in rows.cancelled:
                self.scheduler.on_cancel(name, now_s)
        elif kind == "cancel":
            self.scheduler.on_cancel(name, now_s)
        elif kind == "agent" and name in rows.agents:
            self.scheduler.on_agent_started(name)
            self._notify_silent_agents(now_s)
        elif kind == "agent":
            self.scheduler.on_agent_removed(name)
        self._plan_and_send()

    def on_report(self, message: fleet_pb2.TargetReport) -> fleet_pb2.ReportReply:
        """Answer an agent's report."""
        now_s = clock_s()
        if message.epoch > self.epoch:
            self._fence("an agent follows a newer epoch")
            return fleet_pb2.ReportReply(accepted=False)
        answer = self.scheduler.on_report(
            report_from_message(message), now_s, self._may_renew_leases(now_s)
        )
        self._plan_and_send()
        return fleet_pb2.ReportReply(
            accepted=True,
            epoch=self.epoch,
            holder=self._address,
            lease_s=answer.lease_s,
            recorded=answer.recorded,
            settled=[run_id_to_message(run) for run in answer.settled],
            interval_s=REPORT_INTERVAL_S,
        )

    def on_target_left(self, agent: str) -> None:
        """Take in that an agent's target has ended."""
        self.scheduler.on_target_left(agent, clock_s())
        self._plan_and_send()

    def _may_renew_leases(self, now_s: float) -> bool:
        """Whether leases may be renewed: a successor must be able to outwait them."""
        return (
            now_s - self._last_write_s < self._timings.outage_s - self._timings.lease_s
        )

    def on_tick(self) -> None:
        """Let the scheduler act, renew the lease, and look for silent agents."""
        self._update_clock_offset()
        self._plan_and_send()
        now_s = clock_s()
        if now_s >= self._renew_due_s and not self._writing:
            self._write(None)
        if self.scheduler.state.loaded:
            self._notify_silent_agents(now_s)

    def _notify_silent_agents(self, now_s: float) -> None:
        """Tell agents that may not know it who holds the cell."""
        for agent in self.scheduler.silent_agents(now_s):
            self._send(Orders(agent, None))

    def _plan_and_send(self) -> None:
        now_s = clock_s()
        if now_s - self._last_plan_s >= MIN_PLAN_INTERVAL_S:
            self._last_plan_s = now_s
            self.scheduler.tick(now_s)
        if not self._writing:
            commit = self.scheduler.take_commit()
            if commit is not None:
                self._write(commit)
        for orders in self.scheduler.take_orders():
            self._send(orders)

    def _write(self, commit: Commit | None) -> None:
        """Write a commit, or only renew the lease."""
        self._writing = True
        self._renew_due_s = clock_s() + RENEW_INTERVAL_S
        future = self._writer.submit(self._write_now, commit)
        future.add_done_callback(lambda f: self.post(self._on_write_done, commit, f))

    def _write_now(self, commit: Commit | None) -> tuple[int, float]:
        """Return the new version, and when the successful write was sent."""
        rows = commit.rows if commit else ()
        expected = {HOLDER: self.version}
        expected.update({row.key: row.expected for row in rows})
        puts = {row.key: row.value for row in rows}
        sent_s = clock_s()
        puts[LEASE] = pack(LeaseRow(self.epoch, self._replica.store_now_s()))
        return self._table.commit(self.cell, expected, puts), sent_s

    def _on_write_done(self, commit: Commit | None, future: Future) -> None:
        self._writing = False
        error = future.exception()
        if isinstance(error, RowConflictError):
            self._on_conflict(commit, error)
        elif isinstance(error, (UnavailableError, UnknownOutcomeError)):
            logger.bind(event="write_failed", cell=self.cell, code=error.code).warning(
                "{}", error.message
            )
            self._retry_write(commit)
        elif error is not None:
            logger.opt(exception=error).error("a write to the store failed")
            self._retry_write(commit)
        else:
            version, sent_s = future.result()
            self._last_write_s = sent_s
            if commit is not None:
                self.scheduler.on_committed(commit, version, clock_s())
            self._plan_and_send()

    def _retry_write(self, commit: Commit | None) -> None:
        """Write the same rows again.

        A first attempt that is still on its way then finds them changed.
        """
        if commit is None:
            self._renew_due_s = clock_s() + WRITE_RETRY_PAUSE_S
            return
        self._writing = True
        future = self._writer.submit(self._write_after_pause, commit)
        future.add_done_callback(lambda f: self.post(self._on_write_done, commit, f))

    def _write_after_pause(self, commit: Commit) -> tuple[int, float]:
        time.sleep(WRITE_RETRY_PAUSE_S)
        return self._write_now(commit)

    def _on_conflict(self, commit: Commit | None, error: RowConflictError) -> None:
        """Tell an earlier attempt of the same write from a change of the holder."""
        holder = error.rows.get(HOLDER)
        if holder is None or holder.version != self.version:
            self._fence("the holder's row has changed")
            return
        rows = commit.rows if commit else ()
        found = [error.rows.get(row.key) for row in rows]
        if rows and all(
            stored is not None and stored.value == row.value
            for stored, row in zip(found, rows, strict=True)
        ):
            self._last_write_s = clock_s()
            self.scheduler.on_committed(commit, found[0].version, clock_s())
            self._plan_and_send()
            return
        self._fence("rows of the cell were written by somebody else")

    def _fence(self, reason: str) -> None:
        if self.scheduler.state.fenced:
            return
        log_event("cell_fenced", cell=self.cell, epoch=self.epoch, reason=reason)
        self.scheduler.on_fenced()
        self._on_fenced(self.cell)

    def _send(self, orders: Orders) -> None:
        """Send orders to an agent; an empty batch tells it who holds the cell."""
        batch = fleet_pb2.OrderBatch(
            cell=self.cell,
            epoch=self.epoch,
            holder=self._address,
            incarnation=orders.place.incarnation if orders.place else "",
            starts=[start_to_message(start) for start in orders.starts],
            stops=[run_id_to_message(run) for run in orders.stops],
            recorded=orders.recorded,
        )
        for start in orders.starts:
            log_event(
                "start_sent", **start.id._asdict(), agent=orders.agent, epoch=self.epoch
            )
        for run in orders.stops:
            log_event("stop_sent", **run._asdict(), agent=orders.agent)
        stub = fleet_pb2_grpc.StewardStub(self._pool.get(orders.agent))
        call = stub.Order.future(batch, timeout=ORDER_TIMEOUT_S)
        call.add_done_callback(
            lambda call: self.post(self._on_order_answer, orders.agent, call)
        )

    def _on_order_answer(self, agent: str, call: grpc.Future) -> None:
        error = call.exception()
        if error is None:
            reply = call.result()
            if reply.epoch > self.epoch:
                self._fence("an agent follows a newer epoch")
            return
        if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
            self._pool.drop(agent)

    def stop_placement(self) -> None:
        """Start nothing more; what is committed goes on."""
        self.scheduler.state.stopping = True

    def close(self) -> None:
        """End the writer."""
        self._writer.shutdown(wait=False, cancel_futures=True)
