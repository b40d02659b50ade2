"""Calls between entries: forwarded rows, and pings of the holder of a cell."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import grpc
from cicadabank.control.internal.relay import row_from_message, row_to_message
from cicadabank.store import StoredRow
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc
from loguru import logger

# A row that is not forwarded in time arrives through the feed.
FORWARD_TIMEOUT_S = 0.5
# A running entry replies within milliseconds; one whose process is suspended doesn't
# reply at all.
PING_TIMEOUT_S = 0.4


class HolderStatus(Enum):
    """Result of pinging the holder of a cell."""

    HOLDS = "holds"
    GONE = "gone"  # no process listens there, or it no longer holds the cell
    SILENT = "silent"  # no reply: it may still hold the cell


class PeerService(fleet_pb2_grpc.PeerServicer):
    """Serves calls of other entries.

    Parameters
    ----------
    on_rows : callable
        Called with rows that another entry has written.
    epoch_of : callable
        Returns the epoch under which this entry holds or takes over a cell; 0 if it
        does neither.
    """

    def __init__(
        self,
        on_rows: Callable[[list[StoredRow]], None],
        epoch_of: Callable[[str], int],
    ):
        self._on_rows = on_rows
        self._epoch_of = epoch_of

    def Changed(self, request, context):  # noqa: N802 (named by the protocol)
        """Receive rows that another entry has written."""
        self._on_rows([row_from_message(row) for row in request.rows])
        return fleet_pb2.ChangedReply()

    def Ping(self, request, context):  # noqa: N802
        """Return the epoch under which this entry holds a cell; see `epoch_of`."""
        return fleet_pb2.PingReply(epoch=self._epoch_of(request.cell))


def forward_rows(pool: ChannelPool, address: str, rows: list[StoredRow]) -> None:
    """Send rows to another entry, in this order, without waiting for its reply."""
    stub = fleet_pb2_grpc.PeerStub(pool.get(address))
    message = fleet_pb2.ChangedRows(rows=[row_to_message(row) for row in rows])
    call = stub.Changed.future(message, timeout=FORWARD_TIMEOUT_S)
    keys = [row.key for row in rows]
    # The callback also keeps the call alive: gRPC cancels calls without references.
    call.add_done_callback(lambda done: _log_failed_forward(address, keys, done))


def _log_failed_forward(address: str, keys: list[str], call: grpc.Future) -> None:
    error = call.exception()
    if error is not None:
        logger.bind(event="rows_not_handed_over", keys=keys, holder=address).info(
            "{}; the rows will arrive through the feed", error.code().name
        )


def ping(pool: ChannelPool, address: str, cell: str, epoch: int) -> HolderStatus:
    """Ask an entry whether it holds a cell under this epoch or a later one."""
    # A channel in backoff repeats an earlier refusal without an attempt to connect, so
    # a refusal counts only on a new channel.
    for _ in range(2):
        stub = fleet_pb2_grpc.PeerStub(pool.get(address))
        try:
            reply = stub.Ping(fleet_pb2.PingRequest(cell=cell), timeout=PING_TIMEOUT_S)
        except grpc.RpcError as error:
            pool.drop(address)
            if not _connection_refused(error):
                return HolderStatus.SILENT
        else:
            return HolderStatus.HOLDS if reply.epoch >= epoch else HolderStatus.GONE
    return HolderStatus.GONE


def _connection_refused(error: grpc.RpcError) -> bool:
    """Return whether the VM answered that no process listens on the port."""
    if error.code() != grpc.StatusCode.UNAVAILABLE:
        return False
    return "refused" in (error.details() or "").lower()
