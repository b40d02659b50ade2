"""Errors of the job API, each with its HTTP status, and of the policy file."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class JobServiceError(CicadabankError):
    """Base of the errors that clients of the job API receive.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    retry_after_s : int or None
        After how many seconds the client should retry; None if a retry is of no use.
    """

    code = "desk"
    status = 500
    retry_after_s: int | None = None


class NoConfigError(JobServiceError):
    """The entry has no configuration yet; nothing was accepted."""

    code = "no-config"
    status = 503
    retry_after_s = 1


class NoRouteError(JobServiceError):
    """No route matches the request's host and path."""

    code = "no-route"
    status = 404


class UnknownKeyError(JobServiceError):
    """The request carries no API key of a workspace."""

    code = "unknown-key"
    status = 401


class NoJobError(JobServiceError):
    """No such job exists."""

    code = "no-job"
    status = 410


class UnsupportedJobError(JobServiceError):
    """The job needs a feature that is not implemented."""

    code = "unsupported-job"
    status = 501


class InvalidJobError(JobServiceError):
    """The job's steps are inconsistent, or its id is taken in another queue."""

    code = "invalid-job"
    status = 400


class StoreUnavailableError(JobServiceError):
    """The store was not reached; no write took effect, and none still can.

    Parameters
    ----------
    retry_at_once : bool, default=False
        Whether the client should retry at once, since another entry may reach the
        store; else it should come back in a second.
    """

    code = "store-away"
    status = 503
    retry_after_s = 1

    def __init__(self, message: str, retry_at_once: bool = False):
        action = "retry at another entry" if retry_at_once else "retry in a second"
        super().__init__(message, action)
        if retry_at_once:
            self.retry_after_s = 0


class OutcomeUnknownError(JobServiceError):
    """The store did not confirm a write; the client should retry the request."""

    code = "outcome-unknown"
    status = 504


class PolicySettingsError(CicadabankError):
    """A policy file can't be read or is invalid.

    Parameters
    ----------
    file : str
        Path of the policy file.
    errors : list of str
        One message for each error, with the path of the field.
    """

    code = "policy-settings"

    def __init__(self, file: str, errors: list[str]):
        self.errors = errors
        super().__init__(
            f"{file}: " + "; ".join(errors), "correct the file and try again"
        )
