"""Errors of the entry, each with its code and HTTP status."""

from __future__ import annotations

from cicadabank.model import Ran
from cicadabank.web.errors import HttpError


class EntryError(HttpError):
    """Base class of the errors that an entry returns over HTTP."""


class UnknownWorkspaceError(EntryError):
    """The configuration has no workspace of this name."""

    code = "unknown-workspace"
    status = 422


class QuotaError(EntryError):
    """The job needs more than the workspace's quota, so it can never run."""

    code = "quota"
    status = 422


class NoWorkersError(EntryError):
    """No cell has announced workers yet; the job was not run."""

    code = "no-workers"
    status = 503


class ImpossibleShapeError(EntryError):
    """The job's shape fits on no cell, even if all its workers were free."""

    code = "impossible-shape"
    status = 422


class KeyReusedError(EntryError):
    """An idempotency key was reused with a different body."""

    code = "idempotency-key-reused"
    status = 409


class RateLimitError(EntryError):
    """The workspace exceeds its request rate; this request was not run."""

    code = "rate-limit"
    status = 429


class StoreUnavailableError(EntryError):
    """The platform's store is unavailable; the operation was not carried out."""

    code = "store-unavailable"
    status = 503


class OutcomeUnknownError(EntryError):
    """It is not known whether the request took effect."""

    code = "outcome-unknown"
    status = 504

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.UNKNOWN):
        super().__init__(message, action, ran)


class RequestFailedError(EntryError):
    """The minion ran the request, and the request failed."""

    code = "request-failed"
    status = 502

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.YES):
        super().__init__(message, action, ran)


class GuaranteeError(EntryError):
    """The cell's workers can't satisfy all its guarantees together."""

    code = "guarantee-unsatisfiable"
    status = 422


class DomainOutNotStoredError(EntryError):
    """A failure domain was taken out of service; the change could not be stored."""

    code = "acting-not-stored"
    status = 503
