"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum

from cicadabank.client.errors import ApiError, UnreachableError
from cicadabank.control import PolicySettingsError
from cicadabank.model import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
)
from cicadabank.settings import SettingsError


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    SUCCESS = 0
    FAILURE = 1
    INVALID_INPUT = 2
    NOT_FOUND = 3
    CONFLICT = 4
    REFUSED = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7


def exit_code_for(error: CicadabankError) -> ExitCode:
    """Return the exit code of a command that ends with `error`."""
    if isinstance(error, ApiError):
        return _exit_code_for_api_error(error)
    for error_type, code in (
        (UnreachableError, ExitCode.UNAVAILABLE),
        (SettingsError, ExitCode.INVALID_INPUT),
        (PolicySettingsError, ExitCode.INVALID_INPUT),
        (InvalidInputError, ExitCode.INVALID_INPUT),
        (NotFoundError, ExitCode.NOT_FOUND),
        (ConflictError, ExitCode.CONFLICT),
    ):
        if isinstance(error, error_type):
            return code
    return ExitCode.FAILURE


def _exit_code_for_api_error(error: ApiError) -> ExitCode:
    if error.ran == "unknown" or error.code.endswith("outcome-unknown"):
        return ExitCode.OUTCOME_UNKNOWN
    by_status = {
        400: ExitCode.INVALID_INPUT,
        404: ExitCode.NOT_FOUND,
        409: ExitCode.CONFLICT,
    }
    if error.status in by_status:
        return by_status[error.status]
    if error.status == 503:
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED if error.status < 500 else ExitCode.FAILURE
