"""Clients of the platform's table and object services."""

from cicadabank.store.errors import (
    HistoryLostError,
    PlatformError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.store.internal.objects import ObjectClient
from cicadabank.store.internal.partitions import (
    Page,
    PartitionedTable,
    StoredRow,
)
from cicadabank.store.internal.rows import Row, Transaction, put_new
from cicadabank.store.internal.table import TableClient

__all__ = [
    "HistoryLostError",
    "ObjectClient",
    "Page",
    "PartitionedTable",
    "PlatformError",
    "Row",
    "RowConflictError",
    "StoredRow",
    "TableClient",
    "Transaction",
    "UnavailableError",
    "UnknownOutcomeError",
    "put_new",
]
