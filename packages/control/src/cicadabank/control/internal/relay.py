"""Calls to the store through other processes, for one that can't reach it itself.

The store may turn single processes away, and a partition may cut one off from it while
agents still reach both. Conditional writes are safe to repeat, so it doesn't matter by
which way one arrives, or whether it arrives twice.
"""

from __future__ import annotations

import queue
import random
import threading
from collections.abc import Callable, Mapping
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

# The store's slowest answers took 0.3 s; a relay adds one more way.
CALL_TIMEOUT_S = 0.8
RELAY_MARGIN_S = 0.2
# Peers that are asked at once for one that reaches the store; a third may be cut off.
PEERS_PER_SEARCH = 4
SEARCH_TIMEOUT_S = 0.55
# After a search without success the store is away for all, and a search adds only load.
SEARCH_PAUSE_S = 0.3
# Between tries of the direct way while it fails.
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.45
# A range without rows, read to see whether the store answers.
PROBE_KEY = "probe"

# Names by which processes know the tables that they relay calls to.
CELLS = "cells"
OPERATOR = "operator"

Outcome = fleet_pb2.RelayReply


class StorePath:
    """Knows whether this process reaches the store, and through whom otherwise.

    Parameters
    ----------
    table : str
        By which peers know the table that is probed.
    probe_table : PartitionedTable
        That table, reached directly.
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
        self._last_search_s = float("-inf")
        self.direct = True

    def on_direct_failure(self, error: PlatformError) -> None:
        """Take in that a direct call has failed."""
        with self._lock:
            if not self.direct:
                return
            self.direct = False
        logger.bind(event="store_path_lost", code=error.code).warning("{}", error)
        threading.Thread(target=self._probe_until_reachable, daemon=True).start()

    def on_direct_success(self) -> None:
        """Take in that a direct call was answered."""
        if not self.direct:
            self.direct = True
            logger.bind(event="store_path_back", relay=self._relay_peer).info(
                "the store is reached directly again"
            )

    def _probe_until_reachable(self) -> None:
        pause = threading.Event()
        while not self.direct:
            pause.wait(PROBE_INTERVAL_S)
            try:
                end = PROBE_KEY + "\x00"
                self._probe_table.read("", PROBE_KEY, end, timeout_s=PROBE_TIMEOUT_S)
            except PlatformError:
                continue  # logged as lost; the next probe follows
            self.on_direct_success()

    def relay(self, request: fleet_pb2.RelayRequest) -> fleet_pb2.RelayReply:
        """Make a call through a peer.

        Raises
        ------
        UnavailableError
            If no peer reaches the store; nothing was done.
        UnknownOutcomeError
            If a peer took the call and gave no answer.
        """
        peer = self._relay_peer or self._find_relay()
        timeout_s = request.timeout_s + RELAY_MARGIN_S
        try:
            reply = self._relay_stub(peer).Relay(request, timeout=timeout_s)
        except grpc.RpcError as error:
            self._forget_relay(peer)
            raise UnknownOutcomeError(
                f"the relay {peer} gave no answer: {error.code().name.lower()}"
            ) from error
        if reply.outcome == Outcome.UNAVAILABLE:
            self._forget_relay(peer)
            raise UnavailableError(f"the relay {peer}: {reply.message}")
        return reply

    def _relay_stub(self, peer: str) -> fleet_pb2_grpc.StoreRelayStub:
        return fleet_pb2_grpc.StoreRelayStub(self._pool.get(peer))

    def _forget_relay(self, peer: str) -> None:
        with self._lock:
            if self._relay_peer == peer:
                self._relay_peer = ""

    def _find_relay(self) -> str:
        """Return the first of some peers whose read of the store succeeds."""
        with self._lock:
            if self._relay_peer:
                return self._relay_peer
            if clock_s() - self._last_search_s < SEARCH_PAUSE_S:
                raise UnavailableError("no peer reached the store a moment ago")
            self._last_search_s = clock_s()
            peers = self._peers()
            asked = random.sample(peers, min(PEERS_PER_SEARCH, len(peers)))
            self._relay_peer = self._first_to_answer(asked)
        if not self._relay_peer:
            raise UnavailableError(f"none of {len(asked)} peers reaches the store")
        logger.bind(event="relay_found", relay=self._relay_peer).info("relay_found")
        return self._relay_peer

    def _first_to_answer(self, peers: list[str]) -> str:
        answers: queue.Queue = queue.Queue()
        request = fleet_pb2.RelayRequest(table=self._table, timeout_s=PROBE_TIMEOUT_S)
        request.read.first, request.read.end = PROBE_KEY, PROBE_KEY + "\x00"
        for peer in peers:
            call = self._relay_stub(peer).Relay.future(
                request, timeout=SEARCH_TIMEOUT_S
            )
            call.add_done_callback(lambda c, peer=peer: answers.put((peer, c)))
        for _ in peers:
            peer, call = answers.get()
            if call.exception() is None:
                if call.result().outcome == Outcome.DONE:
                    return peer
        return ""


class RelayedTable:
    """A table that is reached directly, or else through a peer.

    See `PartitionedTable`.

    Parameters
    ----------
    name : str
        By which peers know the table.
    """

    def __init__(self, direct: PartitionedTable, name: str, path: StorePath):
        self._direct = direct
        self._name = name
        self._path = path

    def partitions(self) -> Page:
        """Return the names of all partitions, as rows without a value."""
        request = self._request(CALL_TIMEOUT_S)
        request.partitions.SetInParent()
        return _page(self._call_direct_or_relayed(self._direct.partitions, request))

    def read(
        self,
        partition: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Page:
        """Return the rows of a partition from a key up to, without, another."""
        request = self._request(timeout_s or CALL_TIMEOUT_S)
        request.read.partition = partition
        request.read.first, request.read.end = first, end
        return _page(
            self._call_direct_or_relayed(
                lambda: self._direct.read(partition, first, end, timeout_s), request
            )
        )

    def changes(self, after: int, wait_s: float) -> Page:
        """Return what has changed since a version, waiting for a change."""
        request = self._request(wait_s + CALL_TIMEOUT_S)
        request.changes.after, request.changes.wait_s = after, wait_s
        try:
            return _page(
                self._call_direct_or_relayed(
                    lambda: self._direct.changes(after, wait_s), request
                )
            )
        except UnavailableError:
            # Nobody waits for a feed, so the direct way is tried in any case; without a
            # wait, since a store that is silent answers none of it.
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
        """Write rows if others have the expected versions; return the new version."""
        request = self._request(timeout_s or CALL_TIMEOUT_S)
        request.commit.partition = partition
        request.commit.expected.update(expected)
        request.commit.puts.update(puts)
        request.commit.removes.extend(removes)
        found = self._call_direct_or_relayed(
            lambda: self._direct.commit(partition, expected, puts, removes, timeout_s),
            request,
        )
        return found if isinstance(found, int) else found.version

    def _request(self, timeout_s: float) -> fleet_pb2.RelayRequest:
        return fleet_pb2.RelayRequest(table=self._name, timeout_s=timeout_s)

    def _call_direct_or_relayed(
        self, direct: Callable[[], Any], request: fleet_pb2.RelayRequest
    ) -> Any:
        """Return what the direct call returns, or a peer's reply.

        Raises
        ------
        UnavailableError
            If neither way works; at once, if both are known not to.
        """
        if self._path.direct:
            try:
                return direct()
            except UnavailableError as error:
                self._path.on_direct_failure(error)
            except UnknownOutcomeError as error:
                # The caller decides whether to repeat it, then through a peer.
                self._path.on_direct_failure(error)
                raise
        return _raise_for_outcome(self._path.relay(request))


def _page(found: Page | fleet_pb2.RelayReply) -> Page:
    if isinstance(found, Page):
        return found
    return Page(_rows(found), found.version, found.store_s)


def _rows(reply: fleet_pb2.RelayReply) -> list[StoredRow]:
    return [row_from_message(row) for row in reply.rows]


def _raise_for_outcome(reply: fleet_pb2.RelayReply) -> fleet_pb2.RelayReply:
    """Raise the error that the peer met."""
    if reply.outcome == Outcome.CONFLICT:
        rows = {row.key: row for row in _rows(reply)}
        raise RowConflictError(reply.message, rows)
    if reply.outcome == Outcome.HISTORY_LOST:
        raise HistoryLostError(reply.message)
    if reply.outcome == Outcome.UNKNOWN:
        raise UnknownOutcomeError(reply.message)
    return reply


def row_from_message(message: fleet_pb2.StoreRow) -> StoredRow:
    """Read a row."""
    value = message.value if message.HasField("value") else None
    return StoredRow(message.partition, message.key, value, message.version)


def row_to_message(row: StoredRow) -> fleet_pb2.StoreRow:
    """Write a row."""
    return fleet_pb2.StoreRow(
        partition=row.partition, key=row.key, value=row.value, version=row.version
    )


class RelayService(fleet_pb2_grpc.StoreRelayServicer):
    """Makes calls to the store for processes that can't reach it.

    Parameters
    ----------
    tables : dict of str to PartitionedTable
        Reached directly, so that a call is never relayed twice.
    store_reachable : callable
        Whether the store answers this process, as far as it knows.
    """

    def __init__(
        self,
        tables: Mapping[str, PartitionedTable],
        store_reachable: Callable[[], bool] = lambda: True,
    ):
        self._tables = tables
        self._store_reachable = store_reachable

    def Relay(self, request, context):  # noqa: N802 (named by the protocol)
        """Make one call, and tell its outcome."""
        if not self._store_reachable():
            return _failure_reply(
                Outcome.UNAVAILABLE, "the store doesn't answer here either"
            )
        table = self._tables.get(request.table)
        if table is None:
            return _failure_reply(
                Outcome.UNAVAILABLE, f"no table {request.table!r} here"
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
