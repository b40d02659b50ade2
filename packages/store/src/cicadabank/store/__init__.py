"""Clients of the platform's store: its tables of rows and its objects.

`PartitionedTable` is the interface that ``cicadabank.control`` uses; adapters implement
it for a given store. `TableClient` and `ObjectClient` are clients of gRPC services.
"""

from importlib import import_module
from typing import Any

from cicadabank.store.errors import (
    HistoryLostError,
    PlatformError,
    RefusedConnectionError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.store.internal.partitions import (
    Page,
    PartitionedTable,
    StoredRow,
)
from cicadabank.store.internal.rows import Row, Transaction, put_new

# Imported on first use: adapters of other protocols don't need the clients, whose
# imports take a quarter of a process's start time.
_CLIENT_MODULES = {"ObjectClient": "objects", "TableClient": "table"}

__all__ = [
    "HistoryLostError",
    "ObjectClient",
    "Page",
    "PartitionedTable",
    "PlatformError",
    "RefusedConnectionError",
    "Row",
    "RowConflictError",
    "StoredRow",
    "TableClient",
    "Transaction",
    "UnavailableError",
    "UnknownOutcomeError",
    "put_new",
]


def __getattr__(name: str) -> Any:
    """Import a client on its first use."""
    if name in _CLIENT_MODULES:
        module = import_module(f"cicadabank.store.internal.{_CLIENT_MODULES[name]}")
        return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
