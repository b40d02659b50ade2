"""Errors of the entry, each with the HTTP status it is answered with."""

from __future__ import annotations

from cicadabank.model import Ran
from cicadabank.web.errors import AnsweredError


class EntryError(AnsweredError):
    """Base of the faults that an entry answers."""


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
