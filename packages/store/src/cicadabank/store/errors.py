"""Errors of the platform clients."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class PlatformError(CicadabankError):
    """Base of the errors of calls to the platform's services."""

    code = "platform"


class UnavailableError(PlatformError):
    """The service could not be reached within the deadline; nothing was changed."""

    code = "platform-unavailable"


class UnknownOutcomeError(PlatformError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "platform-outcome-unknown"


class RowConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was written.

    Parameters
    ----------
    rows : dict of str to Row
        The current rows that don't meet the conditions.
    """

    code = "platform-conflict"

    def __init__(self, message: str, rows: dict):
        super().__init__(message, "read the rows again and repeat the decision")
        self.rows = rows


class HistoryLostError(PlatformError):
    """The service no longer has the changes that a feed asked for."""

    code = "platform-history-lost"
