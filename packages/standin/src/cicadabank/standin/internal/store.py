"""In-memory stand-ins for the table and object services."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from cicadabank.standin.internal.faults import FaultSwitches
from cicadabank.wire import platform_pb2, platform_pb2_grpc, serve, standin_pb2_grpc
from sortedcontainers import SortedDict


class TableStandIn(platform_pb2_grpc.TableServicer):
    """Keeps versioned rows in memory and writes them in transactions.

    Attributes
    ----------
    counts : Counter
        Numbers of calls and of rows read and written; the benchmarks read them.
    """

    def __init__(self, faults: FaultSwitches):
        self.faults = faults
        self.counts: Counter[str] = Counter()
        self._rows: SortedDict = SortedDict()
        self._version = 0
        self._lock = threading.Lock()

    def Transact(self, request, context):  # noqa: N802
        """Apply the writes if all conditions hold; return the conflicts otherwise."""
        self.faults.apply_before(context)
        with self._lock:
            reply = self._transact(request)
        self.faults.apply_after_write(context)
        return reply

    def _transact(
        self, request: platform_pb2.TransactRequest
    ) -> platform_pb2.TransactReply:
        self.counts["transact"] += 1
        conflicts = [
            self._row(condition.key)
            for condition in request.conditions
            if self._rows.get(condition.key, (b"", 0))[1] != condition.version
        ]
        if conflicts:
            return platform_pb2.TransactReply(committed=False, conflicts=conflicts)
        self._version += 1
        for put in request.puts:
            self._rows[put.key] = (put.value, self._version)
        for key in request.deletes:
            self._rows.pop(key, None)
        self.counts["rows_written"] += len(request.puts) + len(request.deletes)
        return platform_pb2.TransactReply(committed=True, version=self._version)

    def _row(self, key: str) -> platform_pb2.Row:
        value, version = self._rows.get(key, (b"", 0))
        return platform_pb2.Row(key=key, value=value, version=version)

    def Read(self, request, context):  # noqa: N802
        """Return rows by key; an absent one has version 0."""
        self.faults.apply_before(context)
        with self._lock:
            self.counts["read"] += 1
            self.counts["rows_read"] += len(request.keys)
            return platform_pb2.ReadReply(rows=[self._row(key) for key in request.keys])

    def Scan(self, request, context):  # noqa: N802
        """Return the rows with a prefix, one page of `limit` rows at a time."""
        self.faults.apply_before(context)
        start = max(request.prefix, request.after)
        rows: list[platform_pb2.Row] = []
        more = False
        with self._lock:
            for key in self._rows.irange(start, inclusive=(not request.after, True)):
                if not key.startswith(request.prefix):
                    break
                if len(rows) == request.limit:
                    more = True
                    break
                rows.append(self._row(key))
            self.counts["read"] += 1
            self.counts["rows_read"] += len(rows)
        return platform_pb2.ScanReply(rows=rows, more=more)


class ObjectStandIn(platform_pb2_grpc.ObjectsServicer):
    """Keeps objects in memory."""

    def __init__(self, faults: FaultSwitches):
        self.faults = faults
        self._objects: dict[str, bytes] = {}

    def Store(self, request, context):  # noqa: N802
        """Store an object."""
        self.faults.apply_before(context)
        self._objects[request.key] = request.data
        self.faults.apply_after_write(context)
        return platform_pb2.ObjectReply(found=True)

    def Fetch(self, request, context):  # noqa: N802
        """Return an object; the reply is empty if there is none."""
        self.faults.apply_before(context)
        data = self._objects.get(request.key)
        if data is None:
            return platform_pb2.Object()
        return platform_pb2.Object(key=request.key, data=data)

    def Remove(self, request, context):  # noqa: N802
        """Remove an object; return whether it existed."""
        self.faults.apply_before(context)
        found = self._objects.pop(request.key, None) is not None
        return platform_pb2.ObjectReply(found=found)


@contextmanager
def serve_store(address: str, seed: int = 0) -> Iterator[TableStandIn]:
    """Serve the table and object stand-ins on one address until the block ends."""
    faults = FaultSwitches(seed)
    table = TableStandIn(faults)
    services = [
        (platform_pb2_grpc.add_TableServicer_to_server, table),
        (platform_pb2_grpc.add_ObjectsServicer_to_server, ObjectStandIn(faults)),
        (standin_pb2_grpc.add_FaultsServicer_to_server, faults),
    ]
    with serve(address, services):
        yield table
