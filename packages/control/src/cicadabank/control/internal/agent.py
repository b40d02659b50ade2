"""The agent process: receives heartbeats, calls its target, reports to the holder."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import NamedTuple, Protocol, TypeVar

import grpc
from cicadabank.control.internal.conversion import (
    run_id_from_message,
    run_id_to_message,
)
from cicadabank.control.internal.events import log_event
from cicadabank.control.internal.feed import repeating_thread
from cicadabank.control.internal.lease_renewal import renewal_timing
from cicadabank.control.internal.pacing import Backoff
from cicadabank.control.internal.relay import RelayService
from cicadabank.control.internal.start_answers import StartAnswers
from cicadabank.control.internal.target_controller import TargetController
from cicadabank.control.internal.target_messages import (
    Listing,
    StartOutcome,
    TargetCall,
    TargetHeartbeat,
)
from cicadabank.model import new_id
from cicadabank.scheduling import AGENT_PREFIX, AgentRow, RunId, TargetCrash, pack
from cicadabank.store import (
    PartitionedTable,
    PlatformError,
    RefusedConnectionError,
    UnknownOutcomeError,
)
from cicadabank.tasks import (
    ASK_TIMEOUT_S,
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

TICK_INTERVAL_S = 0.15
# Longest time between two reports. The interval in the holder's replies is not used.
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.9
# Means of the first and of the longest pause before a report is retried while the
# holder doesn't reply. A holder that has just taken over contacts the agent itself.
REPORT_RETRY_PAUSE_S = 0.3
MAX_REPORT_RETRY_PAUSE_S = 1.2
# A connection on which this many reports in a row had no reply may be dead. A single
# one may be due to a busy holder, which new connections would keep busier still.
UNANSWERED_REPORTS_TO_DROP = 2
ADDRESS_RETRY_PAUSE_S = 0.7
ORDER_ASK_TIMEOUT_S = 5.0
# While ended runs are not stored yet, the target replies to each hold call at once, so
# the calls are spaced by this pause.
UNSTORED_RUNS_PAUSE_S = 0.08
TARGET_CALL_THREADS = 6
# A start that waited longer for a thread is checked again before its call.
MAX_START_WAIT_S = 0.5
# How often a list is requested at once before a start may be called.
MAX_LISTS_BEFORE_START = 4
LIST_RETRY_PAUSE_S = 0.1
# Longest time for which a thread that makes calls waits for the actor.
CALL_ASK_TIMEOUT_S = 1.0
# How long the reply to an order waits for the target's answers to its starts, which
# take some 2 ms. With the time for the actor, it stays below the holder's 0.8 s.
START_ANSWERS_WAIT_S = 0.3
ANSWERS_ASK_TIMEOUT_S = 0.15
# So that relayed store calls find a thread, further orders are replied to at once.
MAX_WAITING_ORDERS = 3
# Threads that serve orders and the store calls relayed for entries.
SERVER_THREADS = 8
HEARTBEAT_LIMITS = Limits(body_bytes=4_194_304, open_requests=8, connections=64)

Decision = TypeVar("Decision")


class TargetCalls(Protocol):
    """Calls to a target; implemented by an adapter.

    Calls carry a fencing token, `fence`, and the name of the target.
    `lease_end_on_target_s` is the end of the lease in seconds of the target's clock.
    """

    def start(
        self,
        run: RunId,
        payload: str,
        checkpoint: str,
        lease_end_on_target_s: float,
        fence: int,
        target: str,
    ) -> StartOutcome:
        """Start a run; a missing reply is returned as an outcome, not raised."""

    def stop(self, run: RunId, fence: int, target: str) -> bool:
        """Stop a run; return whether the target confirmed the stop."""

    def hold(
        self,
        fence: int,
        recorded: int,
        lease_end_on_target_s: float | None,
        wait_s: float,
        target: str,
    ) -> Listing:
        """Renew the lease and return the target's running and ended runs.

        Parameters
        ----------
        recorded : int
            Highest sequence number of an ended run that is stored.
        lease_end_on_target_s : float or None
            None leaves the lease as it is.
        wait_s : float
            How long the target may delay its reply until a run ends.

        Raises
        ------
        PlatformError
            If no valid reply arrived.
        """


class AgentParts(NamedTuple):
    """Settings and adapters of an agent.

    Attributes
    ----------
    control_socket : socket.socket
        Listens for the heartbeats of the target.
    peer, peer_listen : str
        Address to which entries send orders, and address on which the agent listens
        for them.
    cells : PartitionedTable
        The table of the cells' rows.
    tables : dict of str to PartitionedTable
        Tables to which calls are relayed for entries that can't reach the store.
    dispatch_for : callable
        Returns the handler of the target's heartbeats for an agent's actor.
    max_lease_s : float, default=10.0
        Longest lease that the target allows.
    """

    name: str
    cell: str
    control_socket: socket.socket
    peer: str
    peer_listen: str
    cells: PartitionedTable
    tables: dict[str, PartitionedTable]
    calls: TargetCalls
    dispatch_for: Callable[[AgentActor], Callable[[ApiCall], ApiReply]]
    max_lease_s: float = 10.0


class AgentActor(Actor):
    """Owns the target controller; other threads reach it through the actor's queue."""

    def __init__(self, parts: AgentParts, pool: ChannelPool):
        super().__init__(TICK_INTERVAL_S)
        self.parts = parts
        self._pool = pool
        self.controller = TargetController(parts.peer, new_id("agent"), parts.cell)
        self.report_due = threading.Event()
        # Set by a holder that asks for a report.
        self._contacted_by_holder = threading.Event()
        # Set at the end of the latest report, and by a new holder. Each report has its
        # own: a cancelled one may end after the next one has begun.
        self._report_ended = threading.Event()
        self._report_backoff = Backoff(REPORT_RETRY_PAUSE_S, MAX_REPORT_RETRY_PAUSE_S)
        self._logged_crash: TargetCrash | None = None
        self._starts_await_contact = False  # as last logged
        # Of the orders whose replies wait for the target.
        self._open_answers: list[StartAnswers] = []
        self.target_registered = threading.Event()
        self.renewal_timing = renewal_timing(parts.max_lease_s)
        self._call_threads = ThreadPoolExecutor(TARGET_CALL_THREADS, "target")

    def on_heartbeat(self, heartbeat: TargetHeartbeat) -> None:
        """Process a heartbeat of the target."""
        previous_incarnation = self.controller.incarnation
        if self.controller.on_heartbeat(heartbeat, clock_s()):
            self._on_new_heartbeat(previous_incarnation)
        self._make_due_checks()
        self.target_registered.set()

    def _on_new_heartbeat(self, previous_incarnation: str) -> None:
        heartbeat = self.controller.heartbeat
        log_event(
            "target_beat",
            target=heartbeat.target,
            incarnation=self.controller.incarnation,
            before=previous_incarnation,
            capacity=list(heartbeat.capacity),
            draining=heartbeat.draining,
            remaining_s=heartbeat.remaining_s,
        )
        self.report_due.set()

    def _log_new_crash(self) -> None:
        """Log the latest crash, once."""
        crash = self.controller.crashes[-1] if self.controller.crashes else None
        if crash != self._logged_crash:
            self._logged_crash = crash
            log_event(
                "target_crashed",
                target=crash.target,
                incarnation=crash.incarnation,
                runs=[[*run.id, run.age_s] for run in crash.runs],
            )

    def _make_due_checks(self) -> None:
        for heartbeat in self.controller.take_due_checks():
            self._call_threads.submit(self._check, heartbeat, self.controller.fence)

    def _check(self, heartbeat: TargetHeartbeat, fence: int) -> None:
        """Ask the target whether it is the incarnation that a heartbeat names.

        Runs in a thread of the pool. Without an answer, the next heartbeat is checked.
        """
        asked_s = clock_s()
        try:
            listing = self.parts.calls.hold(fence, 0, None, 0.0, heartbeat.target)
        except PlatformError as error:
            logger.bind(event="heartbeat_unconfirmed", target=heartbeat.target).warning(
                "{}", error
            )
        except Exception:
            logger.exception("unexpected error in a call to the target")
        else:
            self.post(self._on_check_reply, heartbeat, listing, asked_s, fence)

    def _on_check_reply(
        self, heartbeat: TargetHeartbeat, listing: Listing, asked_s: float, fence: int
    ) -> None:
        previous_incarnation = self.controller.incarnation
        if self.controller.on_check_reply(
            heartbeat, listing, asked_s, clock_s(), fence
        ):
            self._on_new_heartbeat(previous_incarnation)
            self.target_registered.set()
        else:
            log_event(
                "heartbeat_refuted",
                target=heartbeat.target,
                started_ms=heartbeat.started_ms,
                listed_started_ms=listing.started_ms,
            )

    def on_target_terminated(self, target: str) -> None:
        """Process the target's notice that it terminates."""
        if self.controller.on_target_terminated(target):
            log_event("target_left", target=target)
            self.report_due.set()
        else:
            log_event(
                "target_notice_ignored",
                target=target,
                incarnation=self.controller.incarnation,
            )

    def on_orders(self, batch: fleet_pb2.OrderBatch) -> fleet_pb2.OrderReply:
        """Process orders of a holder and return the reply."""
        new_epoch = batch.epoch > self.controller.epoch
        accepted = self.controller.on_orders(batch, clock_s())
        if new_epoch:
            log_event("holder_found", epoch=batch.epoch, holder=batch.holder)
            # Reports that failed before the holder listened have left the channel in
            # backoff.
            self._pool.drop(batch.holder)
            self._report_ended.set()
        if new_epoch or not batch.incarnation:
            self._contacted_by_holder.set()
        if batch.starts or batch.stops:
            log_event(
                "orders_taken",
                epoch=batch.epoch,
                accepted=accepted,
                starts=[s.id.job + f".{s.id.step}.{s.id.index}" for s in batch.starts],
                stops=[s.job + f".{s.step}.{s.index}" for s in batch.stops],
            )
        elif not batch.incarnation:
            self.report_due.set()
        if self.controller.has_unsettled_runs():
            self.report_due.set()
        self._make_due_calls()
        return fleet_pb2.OrderReply(
            epoch=self.controller.epoch,
            accepted=accepted,
            incarnation=self.controller.incarnation,
        )

    def answer_orders(self, batch: fleet_pb2.OrderBatch) -> fleet_pb2.OrderReply:
        """Process orders, and reply once the target has answered their starts.

        Runs in a thread that serves orders. Starts that are not answered in time are
        left out of the reply; the holder learns their outcome from a report.
        """
        reply = self.ask(self.on_orders, batch, timeout_s=ORDER_ASK_TIMEOUT_S)
        if not reply.accepted or not batch.starts:
            return reply
        runs = [run_id_from_message(start.id) for start in batch.starts]
        try:
            answers = self.ask(
                self._open_start_answers, runs, timeout_s=ANSWERS_ASK_TIMEOUT_S
            )
            answers.wait(START_ANSWERS_WAIT_S)
            started = self.ask(
                self._close_start_answers,
                answers,
                batch,
                timeout_s=ANSWERS_ASK_TIMEOUT_S,
            )
        except TimeoutError:
            return reply
        reply.started.extend(run_id_to_message(run) for run in started)
        return reply

    def _open_start_answers(self, runs: list[RunId]) -> StartAnswers:
        # The thread of an order has given up if the actor opens its answers too late.
        oldest_s = clock_s() - START_ANSWERS_WAIT_S - 2 * ANSWERS_ASK_TIMEOUT_S
        self._open_answers = [a for a in self._open_answers if a.opened_s >= oldest_s]
        if len(self._open_answers) >= MAX_WAITING_ORDERS:
            return StartAnswers([], clock_s())
        open_runs = filter(self.controller.is_start_call_open, runs)
        answers = StartAnswers(open_runs, clock_s())
        self._open_answers.append(answers)
        return answers

    def _close_start_answers(
        self, answers: StartAnswers, batch: fleet_pb2.OrderBatch
    ) -> list[RunId]:
        if answers in self._open_answers:
            self._open_answers.remove(answers)
        return self.controller.confirmed_starts(batch)

    def _on_start_call_finished(self, run: RunId) -> None:
        for answers in self._open_answers:
            answers.on_finished(run)

    def on_tick(self) -> None:
        """Make the calls to the target that are due."""
        self._make_due_calls()
        self._make_due_checks()

    def _make_due_calls(self) -> None:
        now_s = clock_s()
        for call in self.controller.take_due_calls(now_s):
            until_s = self.controller.take_lease_end_on_target_s(now_s)
            heartbeat = self.controller.heartbeat
            self._call_threads.submit(
                self._call,
                call,
                until_s,
                self.controller.fence,
                heartbeat.target,
                now_s,
            )
        self._report_new_refusals()
        self._log_delayed_starts(now_s)

    def _log_delayed_starts(self, now_s: float) -> None:
        """Log when starts begin to wait for the holder, and when they go on."""
        waits = self.controller.starts_await_contact(now_s)
        if waits != self._starts_await_contact:
            self._starts_await_contact = waits
            log_event(
                "starts_await_contact", holder=self.controller.holder, waiting=waits
            )

    def _report_new_refusals(self) -> None:
        if self.controller.refusal_is_unreported:
            self.report_due.set()

    def _call(
        self, call: TargetCall, until_s: float, fence: int, target: str, due_s: float
    ) -> None:
        """Make one call; runs in a thread of the pool."""
        calls = self.parts.calls
        try:
            if call.kind == "start" and clock_s() - due_s > MAX_START_WAIT_S:
                until_s = self._list_until_confirmed(
                    partial(self._check_delayed_start, call)
                )
                if until_s is None:
                    return
            if call.kind == "stop":
                confirmed = calls.stop(call.run, fence, target)
                self.post(self._on_stop_reply, call, confirmed)
                if confirmed:
                    # A list requested after the stop shows that the run has ended, so
                    # that its resources are released without delay.
                    self.renew_lease(0.0, CALL_ASK_TIMEOUT_S)
            else:
                outcome = calls.start(
                    call.run, call.payload, call.checkpoint, until_s, fence, target
                )
                self.post(self._on_start_reply, call, outcome)
                if not outcome.known:
                    self._list_until_confirmed(decide=lambda: None)
                elif outcome.refused == "old":
                    # A list shows whether the run is done.
                    self.renew_lease(0.0, CALL_ASK_TIMEOUT_S)
        except PlatformError as error:
            logger.bind(event="call_failed", **call.run._asdict()).warning("{}", error)
            self.post(self._on_call_failed, call)
        except Exception:
            logger.exception("unexpected error in a call to the target")
            self.post(self._on_call_failed, call)

    def _check_delayed_start(self, call: TargetCall) -> float | None:
        """Return the end of the lease for a start, or None if it is not to be made."""
        until_s = self.controller.check_delayed_start(call.run, clock_s())
        self._report_new_refusals()
        if until_s is None:
            self._on_start_call_finished(call.run)
        log_event("start_delayed", **call.run._asdict(), called=until_s is not None)
        return until_s

    def _on_start_reply(self, call: TargetCall, outcome: StartOutcome) -> None:
        self.controller.on_started(call.run, outcome, clock_s())
        self._on_start_call_finished(call.run)
        log_event("start_answered", **call.run._asdict(), **outcome._asdict())
        if outcome.refused:
            self.report_due.set()

    def _on_stop_reply(self, call: TargetCall, confirmed: bool) -> None:
        self.controller.on_stopped(call.run, confirmed, clock_s())
        log_event("stop_answered", **call.run._asdict(), known=confirmed)

    def _on_call_failed(self, call: TargetCall) -> None:
        if call.kind == "stop":
            self.controller.on_stopped(call.run, False, clock_s())
        else:
            self.controller.on_started(call.run, StartOutcome(False), clock_s())
            self._on_start_call_finished(call.run)

    def _hold_call_arguments(self) -> tuple | None:
        controller = self.controller
        if controller.heartbeat is None or controller.target_terminated:
            return None
        now_s = clock_s()
        until_s = controller.take_lease_end_for_hold_s(now_s)
        return (
            controller.fence,
            controller.recorded_for_hold(now_s),
            until_s,
            controller.heartbeat.target,
        )

    def renew_lease(self, wait_s: float, ask_timeout_s: float = ASK_TIMEOUT_S) -> None:
        """Renew the target's lease by a hold call, and process the returned list.

        Parameters
        ----------
        wait_s : float
            How long the target may delay its reply until a run ends.
        ask_timeout_s : float, default=ASK_TIMEOUT_S
            How long to wait for the actor.
        """
        arguments = self.ask(self._hold_call_arguments, timeout_s=ask_timeout_s)
        if arguments is None:
            self.target_registered.clear()
            return
        fence, recorded, until_s, target = arguments
        asked_s = clock_s()
        # Without a lease, the reply is needed soon: a lease's end can be computed only
        # from the target's clock, which the reply contains.
        wait_s = wait_s if until_s is not None else min(wait_s, 0.2)
        try:
            listing = self.parts.calls.hold(fence, recorded, until_s, wait_s, target)
        except (RefusedConnectionError, UnknownOutcomeError) as error:
            self.post(self._on_no_reply, isinstance(error, RefusedConnectionError))
            raise
        self.post(self._on_listing, listing, asked_s, fence)

    def _on_no_reply(self, connection_refused: bool) -> None:
        if self.controller.on_no_reply(clock_s(), connection_refused):
            log_event(
                "target_left",
                target=self.controller.heartbeat.target,
                refuses_connections=True,
            )
            self.report_due.set()

    def renew_lease_step(self) -> None:
        """Renew the lease if a target has registered, else wait for one."""
        if self.controller.has_unstored_ended_runs:
            time.sleep(UNSTORED_RUNS_PAUSE_S)
        if self.target_registered.wait(1.0):
            self.renew_lease(self.renewal_timing.hold_wait_s)

    def _on_listing(self, listing: Listing, asked_s: float, fence: int) -> None:
        if self.controller.on_listing(listing, asked_s, clock_s(), fence):
            self.report_due.set()
        self._make_due_calls()

    def _prepare_report(self) -> tuple[str, fleet_pb2.TargetReport | None]:
        report = self.controller.report(clock_s())
        self._log_new_crash()
        return self.controller.holder, report

    def report_step(self) -> None:
        """Send a report as soon as one is due, at the latest after the interval."""
        self.report_due.wait(REPORT_INTERVAL_S)
        self.report_due.clear()
        self._contacted_by_holder.clear()
        ended = self._report_ended = threading.Event()
        holder, message = self.ask(self._prepare_report)
        if not holder or message is None:
            return
        sent_s = clock_s()
        stub = fleet_pb2_grpc.HolderStub(self._pool.get(holder))
        call = stub.Report.future(message, timeout=REPORT_TIMEOUT_S)
        call.add_done_callback(lambda _: ended.set())
        ended.wait()
        if not call.done():
            # Another holder waits for a report; the earlier one may never reply.
            call.cancel()
            self.report_due.set()
            return
        error = call.exception()
        if error is not None:
            self._on_report_failed(holder, error.code())
            return
        self._report_backoff.on_success()
        self.post(self._on_report_reply, call.result(), sent_s, message.incarnation)

    def _on_report_failed(self, holder: str, code: grpc.StatusCode) -> None:
        pause_s = self._report_backoff.on_failure()
        if code == grpc.StatusCode.DEADLINE_EXCEEDED:
            if self._report_backoff.failures % UNANSWERED_REPORTS_TO_DROP == 0:
                self._pool.drop(holder)
        logger.bind(
            event="report_failed", holder=holder, pause_s=round(pause_s, 3)
        ).warning("{}", code.name)
        self._contacted_by_holder.wait(pause_s)
        self.report_due.set()

    def _on_report_reply(
        self, reply: fleet_pb2.ReportReply, sent_s: float, incarnation: str
    ) -> None:
        if self.controller.on_reply(reply, sent_s, incarnation):
            log_event(
                "registered",
                epoch=self.controller.epoch,
                registration=self.controller.registration,
                incarnation=incarnation,
            )
            if self.controller.has_target_ended(clock_s()):
                self.report_due.set()
            else:
                # A report under the new number is due with the list.
                self._call_threads.submit(self._list_runs)
        self._make_due_calls()

    def _list_until_confirmed(self, decide: Callable[[], Decision]) -> Decision:
        """Request lists until one shows that the target has not crashed, then decide.

        Runs in a thread of the pool, and decides after some attempts in any case: a
        target may be busy, or other calls go on without a reply. `decide` runs in the
        turn of the actor in which the list is current: between two turns, another call
        may go unanswered.
        """
        for _ in range(MAX_LISTS_BEFORE_START):
            confirmed, decision = self.ask(
                self._decide_if_confirmed, decide, timeout_s=CALL_ASK_TIMEOUT_S
            )
            if confirmed:
                return decision
            try:
                self.renew_lease(0.0, CALL_ASK_TIMEOUT_S)
            except PlatformError as error:
                logger.bind(event="list_failed").warning("{}", error)
                time.sleep(LIST_RETRY_PAUSE_S)
        return self.ask(decide, timeout_s=CALL_ASK_TIMEOUT_S)

    def _decide_if_confirmed(
        self, decide: Callable[[], Decision]
    ) -> tuple[bool, Decision | None]:
        """Return whether the latest list is current, and if so what was decided."""
        if self.controller.may_have_crashed:
            return False, None
        return True, decide()

    def _list_runs(self) -> None:
        """Request the target's list of runs at once; runs in a thread of the pool."""
        try:
            self.renew_lease(0.0, CALL_ASK_TIMEOUT_S)
        except PlatformError as error:
            logger.bind(event="list_failed").warning("{}", error)
        except Exception:
            logger.exception("unexpected error in a call to the target")

    def cancel_calls(self) -> None:
        """Drop the calls that wait for a thread; call it once the actor has ended."""
        self._call_threads.shutdown(wait=False, cancel_futures=True)

    def store_address(self) -> bool:
        """Store this agent's address; return whether that succeeded."""
        row = pack(AgentRow(self.parts.peer))
        try:
            self.parts.cells.commit(
                self.parts.cell, {}, {AGENT_PREFIX + self.parts.peer: row}
            )
        except PlatformError as error:
            logger.bind(event="announce_failed").warning("{}", error)
            return False
        log_event("announced", address=self.parts.peer, cell=self.parts.cell)
        return True


class OrderService(fleet_pb2_grpc.StewardServicer):
    """Receives the orders of holders."""

    def __init__(self, actor: AgentActor):
        self._actor = actor

    def Order(self, request, context):  # noqa: N802 (named by the protocol)
        """Pass orders to the agent's actor and return its reply."""
        return self._actor.answer_orders(request)


def _store_address_with_retries(actor: AgentActor) -> None:
    while not actor.store_address():
        time.sleep(ADDRESS_RETRY_PAUSE_S)


@contextmanager
def agent_running(parts: AgentParts) -> Iterator[AgentActor]:
    """Run an agent in this process until the ``with`` block ends."""
    actor = AgentActor(parts, ChannelPool())
    heartbeats = HttpActor(
        parts.control_socket, parts.dispatch_for(actor), HEARTBEAT_LIMITS
    )
    services = [
        (fleet_pb2_grpc.add_StewardServicer_to_server, OrderService(actor)),
        (
            fleet_pb2_grpc.add_StoreRelayServicer_to_server,
            RelayService(parts.tables),
        ),
    ]
    with ExitStack() as stack:
        stack.callback(actor.cancel_calls)
        stack.enter_context(running(actor))
        stack.enter_context(serve(parts.peer_listen, services, SERVER_THREADS))
        stack.enter_context(running(heartbeats))
        retry_pause_s = actor.renewal_timing.retry_pause_s
        stack.enter_context(
            repeating_thread(
                "hold", actor.renew_lease_step, retry_pause_s=retry_pause_s
            )
        )
        stack.enter_context(repeating_thread("reports", actor.report_step))
        threading.Thread(
            target=_store_address_with_retries, args=(actor,), daemon=True
        ).start()
        yield actor


def run_agent(parts: AgentParts, log_level: str = "INFO") -> None:
    """Run an agent until the process is asked to stop."""
    logs = configure_logs(parts.name, log_level)
    with StopSignal().on_signals() as stop, agent_running(parts):
        log_event("agent_started", peer=parts.peer)
        stop.wait()
    log_event("agent_stopped")
    logs.flush(FLUSH_TIMEOUT_S)
