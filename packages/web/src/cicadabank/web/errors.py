"""Errors returned over HTTP, and their status codes."""

from __future__ import annotations

from cicadabank.model import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
    Ran,
)
from cicadabank.store.errors import PlatformError, UnknownOutcomeError


class HttpError(CicadabankError):
    """Base class of errors returned over HTTP.

    Parameters
    ----------
    ran : Ran, default=Ran.NO
        Whether the job or request was executed.
    """

    code = "entry"
    status = 500

    def __init__(self, message: str, action: str = "", ran: Ran = Ran.NO):
        super().__init__(message, action)
        self.ran = ran
        self.job = ""


class BadRequestError(HttpError):
    """The request is malformed."""

    code = "bad-request"
    status = 400


class OverloadedError(HttpError):
    """The request was refused and not executed, for example because of overload."""

    code = "overloaded"
    status = 503


class StoppingError(HttpError):
    """The process is stopping and accepts no new requests."""

    code = "stopping"
    status = 503


def status_of(error: CicadabankError) -> int:
    """Return the HTTP status code of an error."""
    if isinstance(error, HttpError):
        return error.status
    for error_type, status in STATUS_BY_ERROR.items():
        if isinstance(error, error_type):
            return status
    return 500


def ran_of(error: CicadabankError) -> Ran:
    """Return whether the requested operation may have been executed."""
    if isinstance(error, UnknownOutcomeError):
        return Ran.UNKNOWN
    return getattr(error, "ran", Ran.NO)


STATUS_BY_ERROR: dict[type, int] = {
    NotFoundError: 404,
    ConflictError: 409,
    InvalidInputError: 400,
    UnknownOutcomeError: 504,
    PlatformError: 503,
}
