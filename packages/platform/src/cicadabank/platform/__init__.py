"""Clients of the platform's table and object services."""

from cicadabank.platform.errors import (
    PlatformError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.platform.internal.objects import ObjectClient
from cicadabank.platform.internal.rows import Row, Transaction, put_new
from cicadabank.platform.internal.table import TableClient

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
