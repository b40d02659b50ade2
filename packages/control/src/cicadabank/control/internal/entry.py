"""The entry process: serves clients, takes over cells and runs their schedulers."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from typing import NamedTuple

import grpc
from cicadabank.control.internal.cancellation_sweep import CancellationSweep
from cicadabank.control.internal.cell_holder import TAKE_IN_LATENESS_S, CellActor
from cicadabank.control.internal.cell_view import OperatorApi
from cicadabank.control.internal.events import log_event
from cicadabank.control.internal.feed import (
    UNREAD_VIEW,
    CellsFeed,
    OperatorFeed,
    OperatorView,
    repeating_thread,
)
from cicadabank.control.internal.job_service import JobService
from cicadabank.control.internal.metrics import EntryMetrics, counting_events
from cicadabank.control.internal.peers import (
    HolderStatus,
    PeerService,
    forward_rows,
    ping,
)
from cicadabank.control.internal.relay import (
    CELLS,
    OPERATOR,
    RelayedTable,
    RelayService,
    StorePath,
)
from cicadabank.control.internal.replica import CellRows, Replica
from cicadabank.scheduling import (
    EARLIER_LEASES_KEY,
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    LEASE_KEY,
    EarlierLeasesRow,
    HolderLoadRow,
    HolderRow,
    JobRecord,
    LeaseRow,
    SchedulingPolicy,
    Timings,
    pack,
)
from cicadabank.store import PartitionedTable, PlatformError, StoredRow
from cicadabank.tasks import (
    FLUSH_TIMEOUT_S,
    Actor,
    StopSignal,
    clock_s,
    configure_logs,
    running,
)
from cicadabank.web.limits import Limits
from cicadabank.web.messages import ApiCall, ApiReply
from cicadabank.web.server import HttpActor
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc, serve
from loguru import logger

TICK_INTERVAL_S = 0.1
# A cell whose lease was not renewed for this long is taken over; its holder has then
# missed five renewals.
HOLDER_LEASE_S = 2.6
# A holder that has missed two renewals is pinged. One that doesn't reply to the ping
# loses its cell after a third missed renewal.
PING_AFTER_S = 1.0
UNRESPONSIVE_LEASE_S = 1.6
PING_INTERVAL_S = 0.3
# An entry waits before it takes over a free cell, in inverse proportion to its speed,
# so that a fast one holds the cell and several seldom try at once.
TAKEOVER_DELAY_CORE_S = 0.08
MAX_TAKEOVER_DELAY_S = 0.6
# An entry whose last contact with the store is older than this reports not ready, so
# that the balancer sends clients to others. It also takes over no cells.
READY_MAX_AGE_S = 2.2
# Each feed that is relayed for another entry occupies a thread.
SERVER_THREADS = 48
# Reports that are processed or wait for the cell's loop at a time. Further ones are
# refused, so that threads are left for pings and relayed calls.
MAX_OPEN_REPORTS = 32
CLIENT_LIMITS = Limits(body_bytes=1_048_576, open_requests=24, connections=2_000)
READY_LIMITS = Limits(open_requests=4)
REPORT_TIMEOUT_S = 2.0
# The balancer checks readiness once a second and removes an entry after two failures.
MIN_DRAIN_S = 2.5
DRAIN_POLL_S = 0.05
# A stopping entry ends once no client has connected or sent anything for this long.
DRAIN_QUIET_S = 0.4


class EntryParts(NamedTuple):
    """Settings and adapters of an entry.

    Attributes
    ----------
    front_socket, readiness_socket : socket.socket
        Listen for clients, and for the balancer's readiness checks.
    peer, peer_listen : str
        Address to which agents report, and address on which the entry listens for
        them.
    stop_grace_s : float
        Time within which a stopping entry must have ended.
    cells : PartitionedTable
        The table of the cells' rows, accessed without a relay.
    operator : PartitionedTable
        The table that operators write, accessed without a relay.
    read_operator : callable
        Decodes the rows that operators write.
    dispatch_for : callable
        Returns the handler of clients' requests for a job service.
    speed_cores : float, default=1.0
        Processor time available to this process, in seconds of a core for each second.
    policy : SchedulingPolicy
        Optional scheduling decisions that operators have switched on.
    """

    name: str
    front_socket: socket.socket
    readiness_socket: socket.socket
    peer: str
    peer_listen: str
    stop_grace_s: float
    cells: PartitionedTable
    operator: PartitionedTable
    read_operator: Callable[[dict[str, StoredRow]], OperatorView]
    dispatch_for: Callable[[JobService], Callable[[ApiCall], ApiReply]]
    timings: Timings = Timings()
    speed_cores: float = 1.0
    policy: SchedulingPolicy = SchedulingPolicy()


class HolderService(fleet_pb2_grpc.HolderServicer):
    """Receives the reports of agents."""

    def __init__(self, entry: EntryActor):
        self._entry = entry
        self._open_reports = threading.Semaphore(MAX_OPEN_REPORTS)

    def Report(self, request, context):  # noqa: N802 (named by the protocol)
        """Process a report, or name the entry that holds the cell."""
        if not self._open_reports.acquire(blocking=False):
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many open reports")
        try:
            return self._process(request)
        finally:
            self._open_reports.release()

    def _process(self, request: fleet_pb2.TargetReport) -> fleet_pb2.ReportReply:
        actor = self._entry.held_cells.get(request.cell)
        if actor is None:
            holder = self._entry.replica.cell(request.cell).holder
            address = holder.address if holder else ""
            return fleet_pb2.ReportReply(accepted=False, holder=address)
        return actor.ask(actor.on_report, request, timeout_s=REPORT_TIMEOUT_S)


class EntryActor(Actor):
    """Takes over cells without a live holder, and forwards changes to held cells."""

    def __init__(self, parts: EntryParts, pool: ChannelPool):
        super().__init__(TICK_INTERVAL_S)
        self.parts = parts
        self.replica = Replica()
        self.store_path = StorePath(CELLS, parts.cells, self._relay_addresses, pool)
        self.cells_table = RelayedTable(parts.cells, CELLS, self.store_path)
        self.operator_table = RelayedTable(parts.operator, OPERATOR, self.store_path)
        self.operator_view = UNREAD_VIEW
        self.held_cells: dict[str, CellActor] = {}
        self._cell_stacks: dict[str, ExitStack] = {}
        self._pool = pool
        # Write takeovers and send pings.
        self._takeover_threads = ThreadPoolExecutor(2, "takeover")
        # By cell: the epoch of a takeover that is being written.
        self._takeover_epochs: dict[str, int] = {}
        # Held cells whose takeover the replica doesn't include yet.
        self._loading: dict[str, CellActor] = {}
        self._last_ping_s: dict[str, float] = {}
        # By cell: the time until leases renewed by earlier holders have expired.
        self._lease_expiry_s: dict[str, float] = {}
        # By cell: the epoch of the holder whose last ping was not answered, or answered
        # by an entry that doesn't hold the cell.
        self._unresponsive_epochs: dict[str, int] = {}
        # By cell: the holder that a ping has found to have ended.
        self._ended_holders: dict[str, HolderRow] = {}
        # By cell that is free: when this entry takes it over.
        self._takeover_due_s: dict[str, float] = {}
        self.stopping = False

    def _relay_addresses(self) -> list[str]:
        """Return the addresses of agents, which can relay calls to the store."""
        return [a for cell in list(self.replica.cells.values()) for a in cell.agents]

    def on_written(self, cell: str, rows: list[StoredRow]) -> None:
        """Apply rows that this entry wrote, and forward them to the cell's holder.

        They include earlier rows that the holder has to know before those.
        """
        self.replica.apply(rows, self.on_change)
        holder = self.replica.cell(cell).holder
        if cell not in self.held_cells and holder and holder.address:
            forward_rows(self._pool, holder.address, rows)

    def on_peer_rows(self, rows: list[StoredRow]) -> None:
        """Apply rows that another entry has written."""
        self.replica.apply(rows, self.on_change)

    def epoch_of(self, cell: str) -> int:
        """Return the epoch under which this entry holds or takes over a cell.

        Returns 0 if it does neither.
        """
        takeover_epoch = self._takeover_epochs.get(cell, 0)
        actor = self.held_cells.get(cell)
        return actor.epoch if actor else takeover_epoch

    def on_change(self, cell: str, kind: str, name: str) -> None:
        """Process a changed row; called by the feed's thread."""
        actor = self.held_cells.get(cell)
        if actor is not None and kind in ("job", "cancel", "agent"):
            actor.post(actor.on_row, kind, name)
        elif kind == HOLDER_KEY:
            self.post(self._on_holder_changed, cell)

    def on_operator_view(self, view: OperatorView) -> None:
        """Apply changed settings of operators; called by the feed's thread."""
        previous = self.operator_view.config
        if previous is not None and view.config is not None:
            if view.config.version < previous.version:
                return
        self.operator_view = view
        log_event(
            "operator_view",
            version=view.config.version if view.config else None,
            domains_out=sorted(view.domains_out),
            routes=len(view.config.routes) if view.config else 0,
        )
        for actor in list(self.held_cells.values()):
            actor.post(actor.on_operator_view, view)
        self.post(self._take_over_free_cells)

    def on_tick(self) -> None:
        """Take over cells that have no live holder."""
        self._take_over_free_cells()

    def _take_over_free_cells(self) -> None:
        replica = self.replica
        if not replica.loaded or self.stopping or self.operator_view.config is None:
            return
        if replica.contact_age_s() > READY_MAX_AGE_S:
            return
        cells = {q.cell for q in self.operator_view.config.queues().values()}
        for cell in cells | set(replica.cells):
            if cell not in self.held_cells and cell not in self._takeover_epochs:
                self._take_over_if_due(cell, replica.cell(cell))

    def _take_over_if_due(self, cell: str, rows: CellRows) -> None:
        """Take over a cell if it has been free for this entry's delay."""
        ended = rows.holder is not None and self._ended_holders.get(cell) == rows.holder
        if not ended and not self._is_free(cell, rows):
            self._takeover_due_s.pop(cell, None)
            return
        if cell not in self._takeover_due_s:
            self._takeover_due_s[cell] = clock_s() + self._takeover_delay_s()
        if clock_s() >= self._takeover_due_s[cell]:
            del self._takeover_due_s[cell]
            self._take_over(cell, holder_ended=ended)

    def _takeover_delay_s(self) -> float:
        delay_s = TAKEOVER_DELAY_CORE_S / self.parts.speed_cores
        return min(MAX_TAKEOVER_DELAY_S, delay_s) * random.uniform(0.5, 1.5)

    def _is_free(self, cell: str, rows: CellRows) -> bool:
        """Return whether a cell's holder has released it, or its lease has expired.

        Time during which this process had no contact with the store doesn't count,
        since the lease may have been renewed unseen.
        """
        if rows.holder is None or not rows.holder.address:
            return True
        last_renewal_s = max(rows.lease_seen_s, self.replica.continuous_contact_since_s)
        since_renewal_s = self.replica.store_now_s() - last_renewal_s
        if since_renewal_s > HOLDER_LEASE_S + rows.holder_lateness_s:
            return True
        # The first sight of a lease row tells nothing about its age, so the holder is
        # pinged once at this process's start: it may have ended long ago.
        pinged_before = cell in self._last_ping_s
        if since_renewal_s < PING_AFTER_S and pinged_before:
            self._unresponsive_epochs.pop(cell, None)
            return False
        self._ping_holder(cell, rows.holder)
        unresponsive = self._unresponsive_epochs.get(cell) == rows.holder.epoch
        limit_s = UNRESPONSIVE_LEASE_S + rows.holder_lateness_s
        return unresponsive and since_renewal_s > limit_s

    def _ping_holder(self, cell: str, holder: HolderRow) -> None:
        now_s = clock_s()
        if now_s - self._last_ping_s.get(cell, float("-inf")) < PING_INTERVAL_S:
            return
        self._last_ping_s[cell] = now_s
        future = self._takeover_threads.submit(
            ping, self._pool, holder.address, cell, holder.epoch
        )
        future.add_done_callback(
            lambda f: self.post(self._on_ping_done, cell, holder, f)
        )

    def _on_ping_done(self, cell: str, holder: HolderRow, future) -> None:
        status = future.result()
        log_event("holder_asked", cell=cell, epoch=holder.epoch, found=status.value)
        self._last_ping_s[cell] = clock_s()
        if status is HolderStatus.HOLDS:
            self._unresponsive_epochs.pop(cell, None)
        else:
            self._unresponsive_epochs[cell] = holder.epoch
        if status is HolderStatus.GONE:
            self._ended_holders[cell] = holder
            self._take_over_free_cells()

    def _take_over(self, cell: str, holder_ended: bool = False) -> None:
        """Start to take over a cell.

        Parameters
        ----------
        holder_ended : bool, default=False
            Whether it is certain that the holder's process has ended, or that it holds
            the cell no more.
        """
        rows = self.replica.cell(cell)
        # Read before the rows: if those are newer, the takeover fails with a conflict.
        expected = {HOLDER_KEY: rows.holder_version, LEASE_KEY: rows.lease_version}
        holder_ended = holder_ended or self._has_ended(rows.holder)
        if holder_ended:
            # One of its last writes may still take effect.
            del expected[LEASE_KEY]
        epoch = (rows.holder.epoch if rows.holder else 0) + 1
        self._takeover_epochs[cell] = epoch
        leases_until_s = self._earlier_leases_until_s(rows, holder_ended)
        self._lease_expiry_s[cell] = self._target_lease_expiry_s(rows, leases_until_s)
        log_event(
            "cell_takeover",
            cell=cell,
            epoch=epoch,
            before=rows.holder.entry if rows.holder else "",
            lease_age_s=round(self.replica.store_now_s() - rows.lease_seen_s, 3),
        )
        future = self._takeover_threads.submit(
            self._write_holder, cell, epoch, expected, leases_until_s
        )
        future.add_done_callback(
            lambda f: self.post(self._on_takeover_written, cell, epoch, f)
        )

    def _has_ended(self, holder: HolderRow | None) -> bool:
        """Return whether a cell's row shows that its holder has ended."""
        if holder is None or not holder.address:
            return True
        # A holder with this process's address is its earlier incarnation.
        return holder.address == self.parts.peer

    def _earlier_leases_until_s(self, rows: CellRows, holder_ended: bool) -> float:
        """Return when leases granted by holders that may still run have expired.

        A holder that is cut off from the store may renew leases for a limited time;
        they have expired `outage_s` after its last write. A takeover from it is
        conditional on its lease row, so no write of it is unseen. The end of a holder
        says nothing about those before it, so what the last takeover stored is carried
        on.

        Returns
        -------
        float
            Time by the store's clock.
        """
        holder, earlier = rows.holder, rows.earlier_leases
        if holder is None:
            return float("-inf")
        is_known = earlier is not None and earlier.epoch == holder.epoch
        if is_known and holder_ended:
            return earlier.until_s
        # Every earlier holder's last write precedes the latest renewal.
        last_renewal_s = max(rows.lease_seen_s, self.replica.continuous_contact_since_s)
        until_s = last_renewal_s + self.parts.timings.outage_s
        return max(until_s, earlier.until_s) if is_known else until_s

    def _target_lease_expiry_s(self, rows: CellRows, leases_until_s: float) -> float:
        """Return the time after which all leases of earlier holders have expired.

        Holders that have ended renew no more leases, so their duration is enough.
        """
        if rows.holder is None:
            return 0.0
        remaining_s = leases_until_s - self.replica.store_now_s()
        return max(self.parts.timings.lease_s, remaining_s)

    def _write_holder(
        self, cell: str, epoch: int, expected: dict[str, int], leases_until_s: float
    ) -> tuple[int, float]:
        """Write a takeover; return the new version and when the write was sent."""
        earlier_leases = EarlierLeasesRow(epoch, leases_until_s)
        holder = HolderRow(epoch, self.parts.name, self.parts.peer)
        lease = LeaseRow(epoch, self.replica.store_now_s())
        sent_s = clock_s()
        version = self.cells_table.commit(
            cell,
            expected,
            {
                EARLIER_LEASES_KEY: pack(earlier_leases),
                HOLDER_KEY: pack(holder),
                HOLDER_LOAD_KEY: pack(HolderLoadRow(epoch, TAKE_IN_LATENESS_S)),
                LEASE_KEY: pack(lease),
            },
        )
        return version, sent_s

    def _on_takeover_written(self, cell: str, epoch: int, future) -> None:
        error = future.exception()
        if error is not None:
            level = "INFO" if isinstance(error, PlatformError) else "ERROR"
            logger.bind(event="takeover_failed", cell=cell).log(level, "{!r}", error)
        else:
            self._start_holding(cell, epoch, *future.result())
        del self._takeover_epochs[cell]

    def _start_holding(
        self, cell: str, epoch: int, version: int, taken_over_s: float
    ) -> None:
        actor = CellActor(
            cell,
            epoch,
            version,
            taken_over_s,
            self.parts.peer,
            self.cells_table,
            self.replica,
            self._pool,
            lambda fenced_cell: self.post(self._release, fenced_cell),
            self.parts.timings,
            self.parts.policy,
        )
        stack = ExitStack()
        stack.callback(actor.close)
        stack.enter_context(running(actor))
        self._cell_stacks[cell] = stack
        self._loading[cell] = actor
        self.held_cells[cell] = actor
        self._load_if_current(cell)

    def _on_holder_changed(self, cell: str) -> None:
        rows = self.replica.cell(cell)
        actor = self.held_cells.get(cell)
        if actor is None:
            # A takeover whose reply was lost may have taken effect.
            held_by_this_entry = (
                rows.holder is not None and rows.holder.address == self.parts.peer
            )
            if (
                held_by_this_entry
                and cell not in self._takeover_epochs
                and not self.stopping
            ):
                self._take_over(cell)
            return
        if rows.holder.epoch > actor.epoch:
            self._release(cell)
        else:
            self._load_if_current(cell)

    def _load_if_current(self, cell: str) -> None:
        """Load a cell once the replica includes the cell's takeover."""
        actor = self._loading.get(cell)
        rows = self.replica.cell(cell)
        if actor is not None and rows.holder and rows.holder.epoch >= actor.epoch:
            del self._loading[cell]
            actor.post(actor.load, self.operator_view, self._lease_expiry_s.pop(cell))

    def _release(self, cell: str) -> None:
        actor = self.held_cells.pop(cell, None)
        self._loading.pop(cell, None)
        if actor is not None:
            log_event("cell_let_go", cell=cell, epoch=actor.epoch)
            self._cell_stacks.pop(cell).close()

    def hand_over(self) -> None:
        """Release all cells, so that other entries take them over at once."""
        self.stopping = True
        for cell, actor in list(self.held_cells.items()):
            actor.ask(actor.prepare_hand_over)
            try:
                self.cells_table.commit(
                    cell,
                    {HOLDER_KEY: actor.version},
                    {HOLDER_KEY: pack(HolderRow(actor.epoch, self.parts.name, ""))},
                )
            except PlatformError as error:
                logger.bind(event="hand_over_failed", cell=cell).warning("{}", error)
            self._release(cell)

    def ready(self) -> bool:
        """Return whether clients should be sent to this entry."""
        replica = self.replica
        store_is_recent = replica.loaded and replica.contact_age_s() < READY_MAX_AGE_S
        return (
            store_is_recent
            and self.operator_view.config is not None
            and not self.stopping
        )


def _readiness(
    actor: EntryActor, operator_api: OperatorApi
) -> Callable[[ApiCall], ApiReply | None]:
    """Return what answers readiness checks, and leaves other calls to operators."""

    def dispatch_at_once(call: ApiCall) -> ApiReply | None:
        if operator_api.serves(call):
            return None
        return ApiReply(200 if actor.ready() else 503, b"{}")

    return dispatch_at_once


def _entry_metrics(actor: EntryActor) -> EntryMetrics:
    def record_of(job: str) -> JobRecord | None:
        rows = (cell.jobs.get(job) for cell in list(actor.replica.cells.values()))
        return next((record for record in rows if record is not None), None)

    metrics = EntryMetrics(record_of)
    metrics.add_gauge(
        "cells_held", "Cells that this entry holds.", lambda: len(actor.held_cells)
    )
    return metrics


@contextmanager
def entry_running(parts: EntryParts) -> Iterator[EntryActor]:
    """Run an entry in this process until the ``with`` block ends; then drain it."""
    pool = ChannelPool()
    actor = EntryActor(parts, pool)
    cells_feed = CellsFeed(
        actor.cells_table, actor.replica, actor.on_change, lambda: None
    )
    operator_feed = OperatorFeed(
        actor.operator_table, parts.read_operator, actor.on_operator_view
    )
    job_service = JobService(
        actor.cells_table,
        actor.replica,
        lambda: actor.operator_view,
        actor.on_written,
        actor.store_path.sleep_until_reachable,
    )
    client_server = HttpActor(
        parts.front_socket, parts.dispatch_for(job_service), CLIENT_LIMITS
    )
    sweep = CancellationSweep(
        actor.cells_table, actor.replica, lambda: actor.held_cells, actor.on_written
    )
    metrics = _entry_metrics(actor)
    operator_api = OperatorApi(actor.held_cells, actor.replica, metrics)
    readiness_server = HttpActor(
        parts.readiness_socket,
        operator_api.dispatch,
        READY_LIMITS,
        _readiness(actor, operator_api),
    )
    relay_service = RelayService(
        {CELLS: parts.cells, OPERATOR: parts.operator},
        lambda: actor.store_path.is_direct,
    )
    services = [
        (fleet_pb2_grpc.add_HolderServicer_to_server, HolderService(actor)),
        (
            fleet_pb2_grpc.add_PeerServicer_to_server,
            PeerService(actor.on_peer_rows, actor.epoch_of),
        ),
        (fleet_pb2_grpc.add_StoreRelayServicer_to_server, relay_service),
    ]
    with ExitStack() as stack:
        stack.enter_context(counting_events(metrics))
        stack.enter_context(running(actor))
        pause = actor.store_path.sleep_until_reachable
        stack.enter_context(repeating_thread("cells", cells_feed.step, pause))
        stack.enter_context(repeating_thread("operator", operator_feed.step, pause))
        stack.enter_context(repeating_thread("cancellations", sweep.step, pause))
        stack.enter_context(serve(parts.peer_listen, services, SERVER_THREADS))
        stack.enter_context(running(readiness_server))
        stack.enter_context(running(client_server))
        yield actor
        log_event("entry_drains")
        client_server.closing = True
        drain_start_s = clock_s()
        actor.ask(actor.hand_over)
        # The rest of the grace period is left to close the servers and flush the logs.
        end_s = drain_start_s + parts.stop_grace_s - 1.5
        min_end_s = min(drain_start_s + MIN_DRAIN_S, end_s)
        time.sleep(max(0.0, min_end_s - clock_s()))
        _wait_until_quiet(client_server, end_s)


def _wait_until_quiet(server: HttpActor, end_s: float) -> None:
    """Wait until no client has sent anything for a while, at most until a time.

    On a slow VM, requests that were sent before the balancer stopped may still wait in
    the server's sockets. The first of two checks has the server look at them.
    """
    quiet_checks = 0
    while quiet_checks < 2 and clock_s() < end_s:
        time.sleep(DRAIN_POLL_S)
        try:
            is_quiet = server.ask(
                server.is_quiet, DRAIN_QUIET_S, timeout_s=max(0.1, end_s - clock_s())
            )
        except TimeoutError:
            return
        quiet_checks = quiet_checks + 1 if is_quiet else 0


def run_entry(parts: EntryParts, log_level: str = "INFO") -> None:
    """Run an entry until the process is asked to stop."""
    logs = configure_logs(parts.name, log_level)
    with StopSignal().on_signals() as stop, entry_running(parts):
        sections = parts.policy._asdict().items()
        enabled = [name for name, section in sections if section.enabled]
        log_event("entry_started", peer=parts.peer, enabled=enabled)
        stop.wait()
    log_event("entry_stopped")
    logs.flush(FLUSH_TIMEOUT_S)
