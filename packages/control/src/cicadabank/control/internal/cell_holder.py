"""Runs a cell's scheduler in the entry that holds the cell's lease."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

import grpc
from cicadabank.control.internal.conversion import (
    report_from_message,
    run_id_from_message,
    run_id_to_message,
    start_to_message,
)
from cicadabank.control.internal.events import log_event
from cicadabank.control.internal.feed import OperatorView
from cicadabank.control.internal.note_queue import NoteQueue
from cicadabank.control.internal.pacing import LatenessMeter, RoundPacer
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    LEASE_KEY,
    MAX_COMMIT_ENTRIES,
    TARGET_SPEEDS_KEY,
    AgentOrders,
    CellScheduler,
    Commit,
    HolderLoadRow,
    LeaseRow,
    Note,
    SchedulingPolicy,
    TargetSpeedsRow,
    Timings,
    pack,
)
from cicadabank.store import (
    PartitionedTable,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import Actor, clock_s
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc
from loguru import logger

TICK_INTERVAL_S = 0.05
# Least time between two planning rounds, so that a burst of events causes only one.
MIN_PLAN_INTERVAL_S = 0.02
# Share of the time that planning may take, so that reports and orders of a holder with
# little processor time are not delayed by it.
MAX_PLAN_SHARE = 0.5
# Two renewals fit into the time after which other entries ping this one.
RENEW_INTERVAL_S = 0.45
# A holder whose loop has not run for this long renews no more: it serves no agents.
MAX_TICK_AGE_S = 4.0
# A new holder renews late while many agents report to it at once.
TAKE_IN_LATENESS_S = 3.0
# It is done when this share of the agents has reported, but at the latest after a time.
TAKEN_IN_SHARE = 0.9
MAX_TAKE_IN_S = 5.0
# A change of the expected lateness is stored if it is at least this large.
MIN_LATENESS_CHANGE_S = 0.3
# Least time between two writes of what is known of the speeds of targets.
SPEEDS_INTERVAL_S = 5.0
# Time between two searches for targets whose absence is to be stored.
ABSENCE_INTERVAL_S = 1.0
# Pause before a failed write is retried.
WRITE_RETRY_PAUSE_S = 0.15
ORDER_TIMEOUT_S = 0.8
# Sent to agents, which so far use their own interval of the same length.
REPORT_INTERVAL_S = 1.0


class CellActor(Actor):
    """Holds a cell: commits its scheduler's decisions and sends them to agents.

    Parameters
    ----------
    epoch : int
        Epoch of this entry's takeover of the cell.
    version : int
        Version of the row that names the holder; every write is conditional on it.
    taken_over_s : float
        Time at which the write of the takeover was sent.
    address : str
        ``IP:port`` at which this entry receives reports.
    on_fenced : callable
        Called with the cell once another entry is found to hold it.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        version: int,
        taken_over_s: float,
        address: str,
        table: PartitionedTable,
        replica: Replica,
        pool: ChannelPool,
        on_fenced: Callable[[str], None],
        timings: Timings,
        policy: SchedulingPolicy | None = None,
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
        self._last_write_s = taken_over_s
        self._renew_due_s = 0.0
        self._pacer = RoundPacer(MIN_PLAN_INTERVAL_S, MAX_PLAN_SHARE)
        self._lateness = LatenessMeter()
        self._stored_lateness_s = TAKE_IN_LATENESS_S  # written with the takeover
        # What the next write stores of the speeds of targets, if not None.
        self._unstored_speeds: TargetSpeedsRow | None = None
        self._speeds_read_s = clock_s()
        self._unstored_notes = NoteQueue()
        self._absences_read_s = clock_s()
        self._last_tick_s = clock_s()
        self._is_released = threading.Event()
        self._writing = False
        self.scheduler = CellScheduler(
            cell, epoch, clock_s(), timings, log_event, policy
        )
        threading.Thread(
            target=self._renew_until_released, name=f"renew-{cell}", daemon=True
        ).start()

    def load(self, operator: OperatorView, lease_expiry_s: float) -> None:
        """Load all rows of the cell from the replica.

        The replica must include the takeover's write.

        Parameters
        ----------
        lease_expiry_s : float
            Time after which all leases that an earlier holder renewed have expired.
        """
        now_s = clock_s()
        self._update_clock_offset()
        self.on_operator_view(operator)
        rows = self._replica.cell(self.cell)
        for agent in list(rows.agents):
            self.scheduler.on_agent(agent)
        jobs = [
            (record, stored.row if stored else None, stored.version if stored else 0)
            for record, stored in (
                (record, rows.runs.get(job)) for job, record in list(rows.jobs.items())
            )
        ]
        self.scheduler.load(
            jobs,
            [record.job for record, _, _ in jobs if rows.is_cancelled(record)],
            now_s,
            lease_expiry_s,
            rows.target_speeds,
            dict(rows.notes),
        )
        log_event(
            "cell_loaded",
            cell=self.cell,
            epoch=self.epoch,
            jobs=len(jobs),
            lapse_s=round(lease_expiry_s, 3),
        )
        self._plan_and_send()

    def _update_clock_offset(self) -> None:
        self.scheduler.state.store_offset_s = self._replica.offset_s

    def on_operator_view(self, view: OperatorView) -> None:
        """Apply the configuration, and the failure domains that get no new tasks."""
        now_s = clock_s()
        if view.config is not None:
            self.scheduler.on_config(view.config, now_s)
        self.scheduler.on_domains_out(view.domains_out, now_s)

    def on_row(self, kind: str, name: str) -> None:
        """Process a row that another process wrote."""
        if not self.scheduler.state.loaded:
            return
        rows = self._replica.cell(self.cell)
        now_s = clock_s()
        if kind in ("job", "cancel"):
            record = rows.jobs.get(name)
            if record is not None:
                self.scheduler.on_job(record, now_s)
                # Read after the job, whose row is written after its cancellation.
                if rows.is_cancelled(record):
                    self.scheduler.on_cancel(name, now_s)
        elif kind == "agent" and name in rows.agents:
            self.scheduler.on_agent_started(name)
            # Attempts to reach it before it listened have left the channel in backoff.
            self._pool.drop(name)
            self._notify_silent_agents(now_s)
        elif kind == "agent":
            self.scheduler.on_agent_removed(name)
        self._plan_and_send()

    def on_report(self, message: fleet_pb2.TargetReport) -> fleet_pb2.ReportReply:
        """Process an agent's report and return the reply."""
        now_s = clock_s()
        if message.epoch > self.epoch:
            self._fence("an agent has seen a newer epoch")
            return fleet_pb2.ReportReply(accepted=False)
        if message.registration and message.epoch < self.epoch:
            # An earlier holder gave the number; this one may have given the same.
            message.registration = 0
        reply = self.scheduler.on_report(
            report_from_message(message), now_s, self._may_renew_leases(now_s)
        )
        if not self._has_taken_in:
            self._notify_silent_agents(now_s)
        self._plan_and_send()
        return fleet_pb2.ReportReply(
            accepted=True,
            epoch=self.epoch,
            holder=self._address,
            lease_s=reply.lease_s,
            recorded=reply.recorded,
            settled=[run_id_to_message(run) for run in reply.settled],
            interval_s=REPORT_INTERVAL_S,
            registration=reply.registration,
        )

    def on_target_terminated(self, agent: str) -> None:
        """Record that an agent's target has terminated."""
        self.scheduler.on_target_terminated(agent, clock_s())
        self._plan_and_send()

    def _may_renew_leases(self, now_s: float) -> bool:
        """Return whether the leases of targets may be renewed.

        After the last write, leases are renewed for a limited time only, so that a
        successor knows when the last of them has expired. None are renewed during a
        hand-over: a successor may count from its write before the reply arrives here.
        """
        since_write_s = now_s - self._last_write_s
        in_time = since_write_s < self._timings.outage_s - self._timings.lease_s
        return in_time and not self.scheduler.state.stopping

    def on_tick(self) -> None:
        """Plan, and notify silent agents."""
        self._last_tick_s = clock_s()
        self._update_clock_offset()
        self._plan_and_send()
        if self.scheduler.state.loaded:
            self._notify_silent_agents(clock_s())
            self._read_speeds(clock_s())
            self._read_absences(clock_s())

    def _read_speeds(self, now_s: float) -> None:
        """Have what is known of the speeds of targets stored with the next write."""
        if now_s - self._speeds_read_s >= SPEEDS_INTERVAL_S:
            self._speeds_read_s = now_s
            speeds = self.scheduler.target_speeds()
            if speeds != self._replica.cell(self.cell).target_speeds:
                self._unstored_speeds = speeds

    def _read_absences(self, now_s: float) -> None:
        """Have it stored which targets have been absent for some time."""
        if now_s - self._absences_read_s >= ABSENCE_INTERVAL_S:
            self._absences_read_s = now_s
            self._store_notes(self.scheduler.notes_on_absent_targets())

    def _store_notes(self, notes: dict[str, Note]) -> None:
        """Have notes stored with the next writes, unless they are."""
        self._unstored_notes.add(notes, self._replica.cell(self.cell).notes)

    def _renew_until_released(self) -> None:
        """Renew the cell's lease whenever it is due.

        Runs in a thread of its own: the loop may be busy for seconds with planning, or
        with the reports of many agents.
        """
        while not self._is_released.is_set():
            now_s = clock_s()
            due_s = self._renew_due_s
            if now_s < due_s:
                self._is_released.wait(due_s - now_s)
            elif now_s - self._last_tick_s > MAX_TICK_AGE_S:
                self._is_released.wait(TICK_INTERVAL_S)
            else:
                self._renew_lease(due_s or now_s)

    def _renew_lease(self, due_s: float) -> None:
        lateness_s = self._expected_lateness_s()
        puts = {}
        if abs(lateness_s - self._stored_lateness_s) >= MIN_LATENESS_CHANGE_S:
            puts[HOLDER_LOAD_KEY] = pack(HolderLoadRow(self.epoch, lateness_s))
        self._renew_due_s = clock_s() + RENEW_INTERVAL_S
        try:
            _, sent_s = self._commit({}, puts)
        except RowConflictError as error:
            self._is_released.set()
            self.post(self._on_conflict, None, error)
        except (UnavailableError, UnknownOutcomeError) as error:
            logger.bind(event="renewal_failed", cell=self.cell, code=error.code).info(
                "{}", error.message
            )
            self._renew_due_s = clock_s() + WRITE_RETRY_PAUSE_S
        except Exception:
            logger.exception("unexpected error in a renewal of a lease")
            self._renew_due_s = clock_s() + WRITE_RETRY_PAUSE_S
        else:
            self._last_write_s = max(self._last_write_s, sent_s)
            self._lateness.on_renewal(due_s, clock_s())
            if puts:
                self._stored_lateness_s = lateness_s
                log_event("holder_load", cell=self.cell, lateness_s=lateness_s)

    def _expected_lateness_s(self) -> float:
        """Return how much later than usual renewals may be, for other entries."""
        expected_s = self._lateness.expected_s()
        return expected_s if self._has_taken_in else TAKE_IN_LATENESS_S

    @property
    def _has_taken_in(self) -> bool:
        """Whether most agents have reported since this entry took over."""
        state = self.scheduler.state
        if not state.loaded:
            return False
        if clock_s() - state.loaded_s > MAX_TAKE_IN_S:
            return True
        return len(state.targets) >= TAKEN_IN_SHARE * len(state.last_contact_attempt_s)

    def _notify_silent_agents(self, now_s: float) -> None:
        """Tell agents that have not reported who holds the cell."""
        for agent in self.scheduler.agents_to_contact(now_s):
            self._send(AgentOrders(agent, None))

    def _plan_and_send(self) -> None:
        """Run a planning round if due, write the next commit and send orders."""
        now_s = clock_s()
        if self._pacer.is_due(now_s):
            self.scheduler.tick(now_s)
            self._pacer.on_round(now_s, clock_s())
        self._store_notes(self.scheduler.take_changed_notes())
        if not self._writing:
            commit = self.scheduler.take_commit()
            if commit is not None:
                self._write(commit)
        self._send_orders()

    def _send_orders(self) -> None:
        for orders in self.scheduler.take_orders():
            self._send(orders)

    def _write(self, commit: Commit) -> None:
        """Write a commit in the writer thread."""
        self._writing = True
        future = self._writer.submit(self._write_now, commit)
        future.add_done_callback(lambda f: self.post(self._on_write_done, commit, f))

    def _write_now(self, commit: Commit) -> tuple[int, float]:
        """Write a commit; return the new version and when the write was sent."""
        self._renew_due_s = clock_s() + RENEW_INTERVAL_S
        return self._commit(
            {row.key: row.expected for row in commit.rows},
            {row.key: row.value for row in commit.rows},
        )

    def _commit(
        self, expected: dict[str, int], puts: dict[str, bytes]
    ) -> tuple[int, float]:
        """Write rows and the lease; return the new version and when it was sent.

        Speeds of targets and notes that are to be stored go with them.
        """
        speeds, self._unstored_speeds = self._unstored_speeds, None
        if speeds is not None:
            puts = {**puts, TARGET_SPEEDS_KEY: pack(speeds)}
        sent_s = clock_s()
        lease = LeaseRow(self.epoch, self._replica.store_now_s())
        expected = {HOLDER_KEY: self.version, **expected}
        puts = {**puts, LEASE_KEY: pack(lease)}
        room = max(0, MAX_COMMIT_ENTRIES - len(expected) - len(puts))
        notes = self._unstored_notes.first(room)
        puts.update((key, pack(note)) for key, note in notes.items())
        version = self._table.commit(self.cell, expected, puts)
        self._unstored_notes.on_stored(notes)
        return version, sent_s

    def _on_write_done(self, commit: Commit, future: Future) -> None:
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
            logger.opt(exception=error).error(
                "unexpected error in a write to the store"
            )
            self._retry_write(commit)
        else:
            version, sent_s = future.result()
            self._last_write_s = max(self._last_write_s, sent_s)
            self.scheduler.on_committed(commit, version, clock_s())
            self._plan_and_send()

    def _retry_write(self, commit: Commit) -> None:
        """Write the same rows again after a pause.

        If an earlier attempt took effect, or does so later, the conditions let only one
        of the two succeed.
        """
        self._writing = True
        future = self._writer.submit(self._write_after_pause, commit)
        future.add_done_callback(lambda f: self.post(self._on_write_done, commit, f))

    def _write_after_pause(self, commit: Commit) -> tuple[int, float]:
        time.sleep(WRITE_RETRY_PAUSE_S)
        return self._write_now(commit)

    def _on_conflict(self, commit: Commit | None, error: RowConflictError) -> None:
        """Accept a conflict with an earlier attempt of this write; else fence."""
        holder = error.rows.get(HOLDER_KEY)
        if holder is None or holder.version != self.version:
            self._fence("the holder row has another version")
            return
        rows = commit.rows if commit else ()
        found = [error.rows.get(row.key) for row in rows]
        if rows and all(
            stored is not None and stored.value == row.value
            for stored, row in zip(found, rows, strict=True)
        ):
            # It is unknown when the earlier attempt took effect: `_last_write_s` stays.
            self.scheduler.on_committed(commit, found[0].version, clock_s())
            self._plan_and_send()
            return
        self._fence("another process has written rows of the cell")

    def _fence(self, reason: str) -> None:
        if self.scheduler.state.fenced:
            return
        log_event("cell_fenced", cell=self.cell, epoch=self.epoch, reason=reason)
        self.scheduler.on_fenced()
        self._on_fenced(self.cell)

    def _send(self, orders: AgentOrders) -> None:
        """Send orders to an agent; without any, only name the cell's holder."""
        batch = fleet_pb2.OrderBatch(
            cell=self.cell,
            epoch=self.epoch,
            holder=self._address,
            incarnation=orders.target_incarnation.incarnation
            if orders.target_incarnation
            else "",
            starts=[start_to_message(start) for start in orders.starts],
            stops=[run_id_to_message(run) for run in orders.stops],
            recorded=orders.recorded,
            registration=orders.registration,
        )
        for start in orders.starts:
            log_event(
                "start_sent", **start.id._asdict(), agent=orders.agent, epoch=self.epoch
            )
        for run in orders.stops:
            log_event("stop_sent", **run._asdict(), agent=orders.agent)
        stub = fleet_pb2_grpc.StewardStub(self._pool.get(orders.agent))
        sent_s = clock_s()
        call = stub.Order.future(batch, timeout=ORDER_TIMEOUT_S)
        call.add_done_callback(
            lambda done: self.post(
                self._on_order_reply, orders, done, sent_s, clock_s()
            )
        )

    def _on_order_reply(
        self, orders: AgentOrders, call: grpc.Future, sent_s: float, heard_s: float
    ) -> None:
        error = call.exception()
        if error is not None:
            self._on_order_failed(orders, error.code(), sent_s)
            return
        reply = call.result()
        if reply.epoch > self.epoch:
            self._fence("an agent has seen a newer epoch")
        elif orders.target_incarnation is None:
            return
        elif reply.accepted:
            self._on_orders_accepted(orders, reply, heard_s)
        else:
            self.scheduler.on_order_failed(orders.target_incarnation, sent_s, clock_s())

    def _on_orders_accepted(
        self, orders: AgentOrders, reply: fleet_pb2.OrderReply, heard_s: float
    ) -> None:
        """Pass a reply to the scheduler, and send the starts that waited for it."""
        confirmed = self.scheduler.on_order_reply(
            orders.target_incarnation,
            [run_id_from_message(run) for run in reply.started],
            heard_s,
            clock_s(),
        )
        for run in confirmed:
            log_event("start_confirmed", **run._asdict(), agent=orders.agent)
        self._send_orders()

    def _on_order_failed(
        self, orders: AgentOrders, code: grpc.StatusCode, sent_s: float
    ) -> None:
        agent, is_contact = orders.agent, orders.target_incarnation is None
        log_event("order_failed", agent=agent, epoch=self.epoch, code=code.name)
        # While it is unavailable, the channel is in backoff. An agent that has reported
        # is up, so its next orders get a new one.
        is_in_backoff = code == grpc.StatusCode.UNAVAILABLE and not is_contact
        if code == grpc.StatusCode.DEADLINE_EXCEEDED or is_in_backoff:
            self._pool.drop(agent)
        if not is_contact:
            self.scheduler.on_order_failed(orders.target_incarnation, sent_s, clock_s())
            self._plan_and_send()

    def prepare_hand_over(self) -> None:
        """Place no further runs and renew no more leases.

        Starts that are already committed are still sent.
        """
        self.scheduler.state.stopping = True

    def close(self) -> None:
        """Let the threads that write end, without waiting for them."""
        self._is_released.set()
        self._writer.shutdown(wait=False, cancel_futures=True)
