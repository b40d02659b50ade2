"""Errors of calls to the platform's services: the store and the targets."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class PlatformError(CicadabankError):
    """Base of the errors of calls to the platform's services."""

    code = "platform"


class UnavailableError(PlatformError):
    """The service did not reply within the deadline.

    Nothing was changed, except that an immutable object may have been stored; storing
    it again is safe.
    """

    code = "platform-unavailable"


class RefusedConnectionError(UnavailableError):
    """Nothing listens at the address."""


class UnknownOutcomeError(PlatformError):
    """The reply to a write was lost; the write may have taken effect."""

    code = "platform-outcome-unknown"


class RowConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was written.

    Parameters
    ----------
    rows : dict of str to Row or StoredRow
        The current rows that don't meet the conditions, by key.
    """

    code = "platform-conflict"

    def __init__(self, message: str, rows: dict):
        super().__init__(
            message, "read the rows again and retry with their current versions"
        )
        self.rows = rows


class HistoryLostError(PlatformError):
    """The service no longer has the changes that a feed asked for."""

    code = "platform-history-lost"
