"""Errors of the entry, each with the HTTP status it is answered with."""

from __future__ import annotations

from cicadabank.model import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
    Ran,
)
from cicadabank.store import PlatformError, UnknownOutcomeError


class EntryError(CicadabankError):
    """Base of the faults that an entry answers.

    Parameters
    ----------
    ran : Ran, default=Ran.NO
        Whether the job or request was run.
    """

    code = "entry"
    status = 500

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.NO):
        super().__init__(message, action)
        self.ran = ran
        self.job = ""


class BadRequestError(EntryError):
    """The request's form is wrong."""

    code = "bad-request"
    status = 400


class UnknownWorkspaceError(EntryError):
    """No such workspace is configured."""

    code = "unknown-workspace"
    status = 422


class QuotaError(EntryError):
    """The request can never run within the workspace's quota."""

    code = "quota"
    status = 422


class NoWorkersError(EntryError):
    """No cell's workers are known yet; the job was not run."""

    code = "no-workers"
    status = 503


class ImpossibleShapeError(EntryError):
    """No set of workers can ever hold the shape."""

    code = "impossible-shape"
    status = 422


class KeyReusedError(EntryError):
    """An idempotency key came again with another body."""

    code = "idempotency-key-reused"
    status = 409


class OverloadedError(EntryError):
    """The request was shed and not run."""

    code = "overloaded"
    status = 503


class RateLimitError(EntryError):
    """The workspace sends more requests than it may; this one was not run."""

    code = "rate-limit"
    status = 429


class StoreUnavailableError(EntryError):
    """The platform's service is out; what was asked for did not happen."""

    code = "store-unavailable"
    status = 503


class OutcomeUnknownError(EntryError):
    """It can't be told whether the request took effect."""

    code = "outcome-unknown"
    status = 504

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.UNKNOWN):
        super().__init__(message, action, ran)


class RequestFailedError(EntryError):
    """The minion ran the request and it failed."""

    code = "request-failed"
    status = 502

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.YES):
        super().__init__(message, action, ran)


class GuaranteeError(EntryError):
    """Guarantees can't hold together."""

    code = "guarantee-unsatisfiable"
    status = 422


class ActingNotStoredError(EntryError):
    """A failure domain was taken out at once, but that could not be stored."""

    code = "acting-not-stored"
    status = 503


class StoppingError(EntryError):
    """The entry is stopping and takes no new requests."""

    code = "stopping"
    status = 503


def status_of(error: CicadabankError) -> int:
    """Return the HTTP status that an error is answered with."""
    if isinstance(error, EntryError):
        return error.status
    for kind, status in STATUSES.items():
        if isinstance(error, kind):
            return status
    return 500


def ran_of(error: CicadabankError) -> Ran:
    """Return whether what was asked for may have happened."""
    if isinstance(error, UnknownOutcomeError):
        return Ran.UNKNOWN
    return getattr(error, "ran", Ran.NO)


STATUSES: dict[type, int] = {
    NotFoundError: 404,
    ConflictError: 409,
    InvalidInputError: 400,
    UnknownOutcomeError: 504,
    PlatformError: 503,
}
