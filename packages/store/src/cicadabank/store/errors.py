"""Errors of the platform clients."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class PlatformError(CicadabankError):
    """Base of the faults of the platform's services."""

    code = "platform"


class UnavailableError(PlatformError):
    """The service gave no answer within the deadline; a read, so nothing changed."""

    code = "platform-unavailable"


class UnknownOutcomeError(PlatformError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "platform-outcome-unknown"


class RowConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was written.

    Parameters
    ----------
    rows : dict of str to Row
        The rows that differ from the conditions, as they stand.
    """

    code = "platform-conflict"

    def __init__(self, message: str, rows: dict):
        super().__init__(message, "read the rows again and decide anew")
        self.rows = rows


class HistoryLostError(PlatformError):
    """The service no longer has the changes that a feed asked for."""

    code = "platform-history-lost"
