"""Errors that are answered over HTTP, each with its status."""

from __future__ import annotations

from cicadabank.model import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
    Ran,
)
from cicadabank.store.errors import PlatformError, UnknownOutcomeError


class AnsweredError(CicadabankError):
    """Base of the faults that are answered over HTTP.

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


class BadRequestError(AnsweredError):
    """The request's form is wrong."""

    code = "bad-request"
    status = 400


class OverloadedError(AnsweredError):
    """The request was shed and not run."""

    code = "overloaded"
    status = 503


class StoppingError(AnsweredError):
    """The process is stopping and takes no new requests."""

    code = "stopping"
    status = 503


def status_of(error: CicadabankError) -> int:
    """Return the HTTP status that an error is answered with."""
    if isinstance(error, AnsweredError):
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
