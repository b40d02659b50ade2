"""Relays calls to the store through peers, for a process that can't reach it.

The store may refuse individual processes, and a network partition may separate a
process from the store while agents still reach both. Writes are conditional, so they
may take any path and may arrive more than once.
"""

from __future__ import annotations

import math
import queue
import random
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for_futures
from typing import Any

import grpc
from cicadabank.store import (
    HistoryLostError,
    Page,
    PartitionedTable,
    PlatformError,
    RowConflictError,
    StoredRow,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc
from loguru import logger

# The store's slowest replies take 0.3 s, and a relay adds one more network hop.
RELAYED_CALL_TIMEOUT_S = 0.8
RELAY_MARGIN_S = 0.2
MIN_CALL_TIMEOUT_S = 0.05
# Peers that one search asks in parallel. If a third of all peers can't reach the store,
# all four fail in about 1 of 81 searches.
PEERS_PER_SEARCH = 4
SEARCH_TIMEOUT_S = 0.55
# After a failed search the store is probably unavailable to all peers, and another
# search would only add load.
SEARCH_PAUSE_S = 0.3
# Time between probes of the direct path while it fails. Clients of waiting requests may
# leave shortly after the store's return.
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.45
# Probes without a reply yet, so that the next one need not wait for their timeouts.
MAX_OPEN_PROBES = 5
# Key of an empty range that is read to check whether the store answers.
PROBE_KEY = "probe"

# Names of the tables in relay requests.
CELLS = "cells"
OPERATOR = "operator"

# The values of the enum are attributes of the message.
Outcome = fleet_pb2.RelayReply


class StorePath:
    """Tracks whether this process reaches the store directly, and which peer relays.

    Parameters
    ----------
    table : str
        Name of the probed table in relay requests.
    probe_table : PartitionedTable
        That table, accessed without a relay.
    peers : callable
        Returns the addresses of processes that may relay.
    """

    def __init__(
        self,
        table: str,
        probe_table: PartitionedTable,
        peers: Callable[[], list[str]],
        pool: ChannelPool,
    ):
        self._table = table
        self._probe_table = probe_table
        self._peers = peers
        self._pool = pool
        self._lock = threading.Lock()
        self._relay_peer = ""
        self._search_thread = ThreadPoolExecutor(1, "relay-search")
        self._search: Future[str] | None = None
        self._search_start_s = float("-inf")
        # Done while calls go directly; a future, since a search may be awaited with it.
        self._reachable: Future[None] = Future()
        self._reachable.set_result(None)

    @property
    def is_direct(self) -> bool:
        """Whether calls go to the store directly."""
        return self._reachable.done()

    def sleep_until_reachable(self, timeout_s: float) -> None:
        """Sleep; wake up early if the store can be reached directly again."""
        if self.is_direct:
            time.sleep(timeout_s)
        else:
            wait_for_futures([self._reachable], timeout_s)

    def on_direct_failure(self, error: PlatformError) -> None:
        """Switch to relaying after a direct call failed, and start to probe."""
        with self._lock:
            if not self.is_direct:
                return
            self._reachable = Future()
        logger.bind(event="store_path_lost", code=error.code).warning("{}", error)
        threading.Thread(target=self._probe_until_reachable, daemon=True).start()

    def on_direct_success(self) -> None:
        """Switch back to direct calls after one succeeded."""
        with self._lock:
            if self.is_direct:
                return
            self._reachable.set_result(None)
        logger.bind(event="store_path_back", relay=self._relay_peer).info(
            "store reachable directly again"
        )

    def _probe_until_reachable(self) -> None:
        open_probes = threading.Semaphore(MAX_OPEN_PROBES)
        reachable = self._reachable
        while not wait_for_futures([reachable], PROBE_INTERVAL_S).done:
            if open_probes.acquire(blocking=False):
                threading.Thread(
                    target=self._probe, args=(open_probes,), daemon=True
                ).start()

    def _probe(self, open_probes: threading.Semaphore) -> None:
        try:
            end = PROBE_KEY + "\x00"
            self._probe_table.read("", PROBE_KEY, end, timeout_s=PROBE_TIMEOUT_S)
        except PlatformError:
            return  # the loss is logged already; probed again
        finally:
            open_probes.release()
        self.on_direct_success()

    def relay(
        self, request: fleet_pb2.RelayRequest, end_s: float = math.inf
    ) -> fleet_pb2.RelayReply:
        """Make a call through a peer and return its reply.

        Parameters
        ----------
        request : RelayRequest
        end_s : float, default=inf
            When the search and the call have to end, on this process's clock.

        Raises
        ------
        UnavailableError
            If no peer reaches the store; nothing was done.
        UnknownOutcomeError
            If the call to the peer failed; the peer may have carried it out.
        """
        peer = self._relay_peer or self._find_relay(end_s)
        remaining_s = max(MIN_CALL_TIMEOUT_S, end_s - clock_s())
        request.timeout_s = min(request.timeout_s, remaining_s)
        timeout_s = request.timeout_s + RELAY_MARGIN_S
        try:
            reply = self._relay_stub(peer).Relay(request, timeout=timeout_s)
        except grpc.RpcError as error:
            self._forget_relay(peer)
            raise UnknownOutcomeError(
                f"the relay {peer} did not answer: {error.code().name.lower()}"
            ) from error
        if reply.outcome == Outcome.UNAVAILABLE:
            self._forget_relay(peer)
            raise UnavailableError(f"the relay {peer} failed: {reply.message}")
        return reply

    def _relay_stub(self, peer: str) -> fleet_pb2_grpc.StoreRelayStub:
        return fleet_pb2_grpc.StoreRelayStub(self._pool.get(peer))

    def _forget_relay(self, peer: str) -> None:
        with self._lock:
            if self._relay_peer == peer:
                self._relay_peer = ""

    def _find_relay(self, end_s: float) -> str:
        """Return a peer that can read from the store; callers share a search.

        Raises
        ------
        UnavailableError
            If none can, the search doesn't end before `end_s` or before the store can
            be reached directly again, or the last search began less than
            `SEARCH_PAUSE_S` ago.
        """
        with self._lock:
            if self._relay_peer:
                return self._relay_peer
            if self._search is None or self._search.done():
                if clock_s() - self._search_start_s < SEARCH_PAUSE_S:
                    raise UnavailableError(
                        "no peer is known to reach the store; the last search was "
                        "too recent for another"
                    )
                self._search_start_s = clock_s()
                self._search = self._search_thread.submit(self._search_relay)
            search = self._search
        # A search ends by itself, so callers without a limit need none here.
        wait_s = None if math.isinf(end_s) else max(0.0, end_s - clock_s())
        futures = [search, self._reachable]
        wait_for_futures(futures, wait_s, return_when=FIRST_COMPLETED)
        if not search.done():
            raise UnavailableError(
                "the search for a peer that reaches the store has not ended yet"
            )
        return search.result()

    def _search_relay(self) -> str:
        """Ask some random peers whether they can read from the store.

        Raises
        ------
        UnavailableError
            If none of them can.
        """
        peers = self._peers()
        asked = random.sample(peers, min(PEERS_PER_SEARCH, len(peers)))
        found = self._first_peer_with_access(asked)
        if not found:
            raise UnavailableError(f"none of {len(asked)} peers can reach the store")
        with self._lock:
            self._relay_peer = found
        logger.bind(event="relay_found", relay=found).info(
            "found a peer that relays to the store"
        )
        return found

    def _first_peer_with_access(self, peers: list[str]) -> str:
        """Return the first peer that relays a read; empty if none does."""
        replies: queue.Queue = queue.Queue()
        request = fleet_pb2.RelayRequest(table=self._table, timeout_s=PROBE_TIMEOUT_S)
        request.read.first, request.read.end = PROBE_KEY, PROBE_KEY + "\x00"
        for peer in peers:
            call = self._relay_stub(peer).Relay.future(
                request, timeout=SEARCH_TIMEOUT_S
            )
            call.add_done_callback(lambda c, peer=peer: replies.put((peer, c)))
        for _ in peers:
            peer, call = replies.get()
            if call.exception() is None:
                if call.result().outcome == Outcome.DONE:
                    return peer
        return ""


class RelayedTable:
    """A `PartitionedTable` that is accessed directly or, failing that, through a peer.

    Parameters
    ----------
    direct : PartitionedTable
        The table, accessed without a relay.
    name : str
        Name of the table in relay requests.
    """

    def __init__(self, direct: PartitionedTable, name: str, path: StorePath):
        self._direct = direct
        self._name = name
        self._path = path

    def partitions(self) -> Page:
        """Return the names of all partitions, as rows without a value."""
        request = self._request(RELAYED_CALL_TIMEOUT_S)
        request.partitions.SetInParent()
        return _page(
            self._call_direct_or_relayed(lambda _: self._direct.partitions(), request)
        )

    def read(
        self,
        partition: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Page:
        """Return a partition's rows with keys from `first` to `end`, exclusive."""
        request = self._request(timeout_s or RELAYED_CALL_TIMEOUT_S)
        request.read.partition = partition
        request.read.first, request.read.end = first, end
        return _page(
            self._call_direct_or_relayed(
                lambda limit_s: self._direct.read(partition, first, end, limit_s),
                request,
                timeout_s,
            )
        )

    def changes(self, after: int, wait_s: float) -> Page:
        """Return the rows changed after a version, waiting up to `wait_s` for one."""
        request = self._request(wait_s + RELAYED_CALL_TIMEOUT_S)
        request.changes.after, request.changes.wait_s = after, wait_s
        try:
            return _page(
                self._call_direct_or_relayed(
                    lambda _: self._direct.changes(after, wait_s), request
                )
            )
        except UnavailableError:
            # If relaying fails too, the direct path is tried again, since no request
            # waits for a feed. The call does not long-poll: a store that doesn't answer
            # would block it for the whole wait.
            page = self._direct.changes(after, 0.0)
            self._path.on_direct_success()
            return page

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: tuple[str, ...] = (),
        timeout_s: float | None = None,
    ) -> int:
        """Write rows if all expected versions match; return the new version."""
        request = self._request(timeout_s or RELAYED_CALL_TIMEOUT_S)
        request.commit.partition = partition
        request.commit.expected.update(expected)
        request.commit.puts.update(puts)
        request.commit.removes.extend(removes)
        found = self._call_direct_or_relayed(
            lambda limit_s: self._direct.commit(
                partition, expected, puts, removes, limit_s
            ),
            request,
            timeout_s,
        )
        return found if isinstance(found, int) else found.version

    def _request(self, timeout_s: float) -> fleet_pb2.RelayRequest:
        return fleet_pb2.RelayRequest(table=self._name, timeout_s=timeout_s)

    def _call_direct_or_relayed(
        self,
        direct: Callable[[float | None], Any],
        request: fleet_pb2.RelayRequest,
        timeout_s: float | None = None,
    ) -> Any:
        """Return the result of the direct call, or a peer's reply.

        Parameters
        ----------
        direct : callable
            Makes the direct call, given its timeout in seconds or None.
        request : RelayRequest
        timeout_s : float, optional
            Limits both calls and the search for a peer together. By default each has a
            limit of its own.

        Raises
        ------
        UnavailableError
            If neither path works; at once if both have just failed.
        UnknownOutcomeError
            If the call may have taken effect.
        """
        end_s = math.inf if timeout_s is None else clock_s() + timeout_s
        if self._path.is_direct:
            try:
                return self._call_directly(direct, timeout_s)
            except UnavailableError:
                pass  # logged by the path; a peer may still reach the store
        try:
            return _raise_for_outcome(self._path.relay(request, end_s))
        except UnavailableError:
            if not self._path.is_direct:
                raise
        # The store can be reached directly again since the relayed call began.
        if timeout_s is not None:
            timeout_s = max(MIN_CALL_TIMEOUT_S, end_s - clock_s())
        return self._call_directly(direct, timeout_s)

    def _call_directly(
        self, direct: Callable[[float | None], Any], timeout_s: float | None
    ) -> Any:
        """Make a direct call; switch to relaying if it fails."""
        try:
            return direct(timeout_s)
        except (UnavailableError, UnknownOutcomeError) as error:
            self._path.on_direct_failure(error)
            raise


def _page(found: Page | fleet_pb2.RelayReply) -> Page:
    if isinstance(found, Page):
        return found
    return Page(_rows(found), found.version, found.store_s)


def _rows(reply: fleet_pb2.RelayReply) -> list[StoredRow]:
    return [row_from_message(row) for row in reply.rows]


def _raise_for_outcome(reply: fleet_pb2.RelayReply) -> fleet_pb2.RelayReply:
    """Return the reply, or raise the error that the peer reported."""
    if reply.outcome == Outcome.CONFLICT:
        rows = {row.key: row for row in _rows(reply)}
        raise RowConflictError(reply.message, rows)
    if reply.outcome == Outcome.HISTORY_LOST:
        raise HistoryLostError(reply.message)
    if reply.outcome == Outcome.UNKNOWN:
        raise UnknownOutcomeError(reply.message)
    return reply


def row_from_message(message: fleet_pb2.StoreRow) -> StoredRow:
    """Return the row that a message contains."""
    value = message.value if message.HasField("value") else None
    return StoredRow(message.partition, message.key, value, message.version)


def row_to_message(row: StoredRow) -> fleet_pb2.StoreRow:
    """Return the message for a row."""
    return fleet_pb2.StoreRow(
        partition=row.partition, key=row.key, value=row.value, version=row.version
    )


class RelayService(fleet_pb2_grpc.StoreRelayServicer):
    """Makes calls to the store for processes that can't reach it.

    Parameters
    ----------
    tables : dict of str to PartitionedTable
        Tables accessed without a relay, so that a call is never relayed twice.
    store_reachable : callable
        Returns whether this process currently reaches the store directly.
    """

    def __init__(
        self,
        tables: Mapping[str, PartitionedTable],
        store_reachable: Callable[[], bool] = lambda: True,
    ):
        self._tables = tables
        self._store_reachable = store_reachable

    def Relay(self, request, context):  # noqa: N802 (named by the protocol)
        """Make one call and return its outcome."""
        if not self._store_reachable():
            return _failure_reply(
                Outcome.UNAVAILABLE, "the relay can't reach the store directly"
            )
        table = self._tables.get(request.table)
        if table is None:
            return _failure_reply(
                Outcome.UNAVAILABLE, f"unknown table {request.table!r}"
            )
        try:
            return self._call(table, request)
        except RowConflictError as error:
            reply = _failure_reply(Outcome.CONFLICT, error.message)
            reply.rows.extend(row_to_message(row) for row in error.rows.values())
            return reply
        except HistoryLostError as error:
            return _failure_reply(Outcome.HISTORY_LOST, error.message)
        except UnknownOutcomeError as error:
            return _failure_reply(Outcome.UNKNOWN, error.message)
        except PlatformError as error:
            return _failure_reply(Outcome.UNAVAILABLE, error.message)

    def _call(
        self, table: PartitionedTable, request: fleet_pb2.RelayRequest
    ) -> fleet_pb2.RelayReply:
        kind = request.WhichOneof("call")
        if kind == "commit":
            call = request.commit
            version = table.commit(
                call.partition,
                dict(call.expected),
                dict(call.puts),
                tuple(call.removes),
                timeout_s=request.timeout_s,
            )
            return fleet_pb2.RelayReply(version=version)
        if kind == "changes":
            page = table.changes(request.changes.after, request.changes.wait_s)
        elif kind == "read":
            call = request.read
            page = table.read(
                call.partition, call.first, call.end, timeout_s=request.timeout_s
            )
        else:
            page = table.partitions()
        return fleet_pb2.RelayReply(
            rows=[row_to_message(row) for row in page.rows],
            version=page.version,
            store_s=page.store_s,
        )


def _failure_reply(outcome: int, message: str) -> fleet_pb2.RelayReply:
    return fleet_pb2.RelayReply(outcome=outcome, message=message)
