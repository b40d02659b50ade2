"""Client of the table service."""

from __future__ import annotations

from collections.abc import Iterable

import grpc
from cicadabank.store.errors import (
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.store.internal.rows import Row, Transaction, decode_row, encode_value
from cicadabank.wire import ChannelPool, platform_pb2, platform_pb2_grpc
from tenacity import (
    Retrying,
    retry_if_exception_type,
    stop_after_delay,
    wait_random_exponential,
)

CALL_TIMEOUT_S = 1.0
MIN_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 0.8
SCAN_PAGE_ROWS = 1000


class TableClient:
    """Conditional transactions and reads on the platform's table service.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    deadline_s : float, default=4.0
        Time limit of one operation, including retries.
    """

    def __init__(self, address: str, deadline_s: float = 4.0):
        self._address = address
        self._deadline_s = deadline_s
        self._pool = ChannelPool()

    def _stub(self) -> platform_pb2_grpc.TableStub:
        return platform_pb2_grpc.TableStub(self._pool.get(self._address))

    def _retrying(self, deadline_s: float | None) -> Retrying:
        return Retrying(
            retry=retry_if_exception_type(grpc.RpcError),
            stop=stop_after_delay(deadline_s or self._deadline_s),
            wait=wait_random_exponential(MIN_RETRY_WAIT_S, MAX_RETRY_WAIT_S),
            reraise=True,
        )

    def _call(self, method: str, request: object) -> object:
        try:
            return getattr(self._stub(), method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            # A broken connection may be noticed only through expired deadlines, so the
            # next attempt uses a new one.
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self._address)
            raise

    def read(
        self, keys: Iterable[str], deadline_s: float | None = None
    ) -> dict[str, Row]:
        """Return rows by key; a missing row has version 0.

        Raises
        ------
        UnavailableError
            If the service did not reply within the deadline.
        """
        request = platform_pb2.ReadRequest(keys=list(keys))
        try:
            reply = self._retrying(deadline_s)(self._call, "Read", request)
        except grpc.RpcError as error:
            raise _unavailable("read", error) from error
        return {
            row.key: decode_row(row.key, row.value, row.version) for row in reply.rows
        }

    def read_one(self, key: str, deadline_s: float | None = None) -> Row:
        """Return one row; a missing row has version 0."""
        return self.read([key], deadline_s)[key]

    def scan(self, prefix: str, deadline_s: float | None = None) -> list[Row]:
        """Return all rows whose key starts with `prefix`, sorted by key."""
        rows: list[Row] = []
        after = ""
        while True:
            request = platform_pb2.ScanRequest(
                prefix=prefix, after=after, limit=SCAN_PAGE_ROWS
            )
            try:
                reply = self._retrying(deadline_s)(self._call, "Scan", request)
            except grpc.RpcError as error:
                raise _unavailable("scan", error) from error
            rows += [decode_row(row.key, row.value, row.version) for row in reply.rows]
            if not reply.more:
                return rows
            after = rows[-1].key

    def transact(
        self, transaction: Transaction, deadline_s: float | None = None
    ) -> int:
        """Apply a transaction; return the version of the rows that it put.

        A write whose reply is lost is sent again with the same conditions. This is
        idempotent: if the first attempt took effect, the second one conflicts, and the
        operation id in the conflicting row shows that the row is this transaction's.

        Raises
        ------
        RowConflictError
            If a condition did not hold. Nothing was written.
        UnknownOutcomeError
            If the write may have taken effect.
        """
        request = platform_pb2.TransactRequest(
            conditions=[
                platform_pb2.Condition(key=key, version=version)
                for key, version in transaction.conditions.items()
            ],
            puts=[
                platform_pb2.Put(
                    key=key, value=encode_value(transaction.operation, value)
                )
                for key, value in transaction.puts.items()
            ],
            deletes=transaction.deletes,
        )
        lost_replies = 0
        try:
            for attempt in self._retrying(deadline_s):
                with attempt:
                    lost_replies = attempt.retry_state.attempt_number - 1
                    reply = self._call("Transact", request)
        except grpc.RpcError as error:
            raise UnknownOutcomeError(
                f"the reply to a write did not arrive: {error.code().name.lower()}",
                "read the rows to find out whether the write took effect",
            ) from error
        if reply.committed:
            return reply.version
        return self._resolve_conflict(transaction, reply, lost_replies)

    @staticmethod
    def _resolve_conflict(
        transaction: Transaction, reply: platform_pb2.TransactReply, lost_replies: int
    ) -> int:
        rows = {
            row.key: decode_row(row.key, row.value, row.version)
            for row in reply.conflicts
        }
        for row in rows.values():
            if row.operation == transaction.operation:
                return row.version
        if lost_replies:
            # The lost write may have taken effect and been overwritten since.
            raise UnknownOutcomeError(
                "the reply to a write was lost and its rows have changed since",
                "read the rows to find out whether the write took effect",
            )
        raise RowConflictError(f"the row {min(rows)!r} has changed", rows)

    def close(self) -> None:
        """Close the connections to the service."""
        self._pool.close()


def _unavailable(method: str, error: grpc.RpcError) -> UnavailableError:
    return UnavailableError(
        f"the table service did not reply to a {method}: {error.code().name.lower()}",
        "retry once the platform's table service is available",
    )
