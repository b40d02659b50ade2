"""Clients of the platform's table and object services."""

from cicadabank.store.errors import (
    PlatformError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.store.internal.objects import ObjectClient
from cicadabank.store.internal.rows import Row, Transaction, put_new
from cicadabank.store.internal.table import TableClient

__all__ = [
    "ObjectClient",
    "PlatformError",
    "Row",
    "RowConflictError",
    "TableClient",
    "Transaction",
    "UnavailableError",
    "UnknownOutcomeError",
    "put_new",
]
