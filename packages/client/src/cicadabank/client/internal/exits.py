"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum

from cicadabank.client.errors import ApiError, UnreachableError
from cicadabank.model import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
)
from cicadabank.settings import SettingsError


class Exit(IntEnum):
    """What the exit code of a command says."""

    DONE = 0
    FAULT = 1
    BAD_INPUT = 2
    NOT_FOUND = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7


def exit_of(error: CicadabankError) -> Exit:
    """Return the exit code that an error ends the command with."""
    if isinstance(error, ApiError):
        return _exit_of_api(error)
    for kind, code in (
        (UnreachableError, Exit.UNAVAILABLE),
        (SettingsError, Exit.BAD_INPUT),
        (InvalidInputError, Exit.BAD_INPUT),
        (NotFoundError, Exit.NOT_FOUND),
        (ConflictError, Exit.CONFLICT),
    ):
        if isinstance(error, kind):
            return code
    return Exit.FAULT


def _exit_of_api(error: ApiError) -> Exit:
    if error.ran == "unknown" or error.code.endswith("outcome-unknown"):
        return Exit.OUTCOME_UNKNOWN
    by_status = {400: Exit.BAD_INPUT, 404: Exit.NOT_FOUND, 409: Exit.CONFLICT}
    if error.status in by_status:
        return by_status[error.status]
    if error.status == 503:
        return Exit.UNAVAILABLE
    return Exit.REFUSED if error.status < 500 else Exit.FAULT
