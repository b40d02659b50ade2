"""What entries tell each other: rows that were written, and who holds a cell."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import grpc
from cicadabank.control.internal.relay import row_from_message, row_to_message
from cicadabank.store import StoredRow
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc
from loguru import logger

# A row that is not handed over in time comes by the feed.
FORWARD_TIMEOUT_S = 0.5
# A call between entries takes milliseconds; one that is paused answers none.
PING_TIMEOUT_S = 0.4


class Liveness(Enum):
    """What a ping has shown of the entry that holds a cell."""

    HOLDS = "holds"
    GONE = "gone"  # nobody listens there, or it holds the cell no more
    SILENT = "silent"


class PeerService(fleet_pb2_grpc.PeerServicer):
    """Answers other entries.

    Parameters
    ----------
    on_rows : callable
        Called with rows that another entry has written.
    epoch_of : callable
        Returns the epoch under which this entry holds a cell, or 0.
    """

    def __init__(
        self,
        on_rows: Callable[[list[StoredRow]], None],
        epoch_of: Callable[[str], int],
    ):
        self._on_rows = on_rows
        self._epoch_of = epoch_of

    def Changed(self, request, context):  # noqa: N802 (named by the protocol)
        """Take in rows that another entry has written."""
        self._on_rows([row_from_message(row) for row in request.rows])
        return fleet_pb2.ChangedReply()

    def Ping(self, request, context):  # noqa: N802
        """Tell whether this entry holds a cell."""
        return fleet_pb2.PingReply(epoch=self._epoch_of(request.cell))


def forward_row(pool: ChannelPool, address: str, row: StoredRow) -> None:
    """Tell another entry of a row, without waiting for its answer."""
    stub = fleet_pb2_grpc.PeerStub(pool.get(address))
    message = fleet_pb2.ChangedRows(rows=[row_to_message(row)])
    call = stub.Changed.future(message, timeout=FORWARD_TIMEOUT_S)
    # The callback also keeps the call alive: gRPC cancels one that nothing refers to.
    call.add_done_callback(lambda call: _log_failed_forward(address, row, call))


def _log_failed_forward(address: str, row: StoredRow, call: grpc.Future) -> None:
    error = call.exception()
    if error is not None:
        logger.bind(event="row_not_handed_over", key=row.key, holder=address).info(
            "{}; the feed will bring it", error.code().name
        )


def ping(pool: ChannelPool, address: str, cell: str, epoch: int) -> Liveness:
    """Ask an entry whether it holds a cell under an epoch."""
    stub = fleet_pb2_grpc.PeerStub(pool.get(address))
    try:
        reply = stub.Ping(fleet_pb2.PingRequest(cell=cell), timeout=PING_TIMEOUT_S)
    except grpc.RpcError as error:
        if error.code() == grpc.StatusCode.UNAVAILABLE and _connection_refused(error):
            return Liveness.GONE
        pool.drop(address)
        return Liveness.SILENT
    return Liveness.HOLDS if reply.epoch >= epoch else Liveness.GONE


def _connection_refused(error: grpc.RpcError) -> bool:
    """Whether the other VM is up and nothing listens there."""
    return "refused" in (error.details() or "").lower()
