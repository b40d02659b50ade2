"""Errors of the job desk, each with the HTTP status it is answered with."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class DeskError(CicadabankError):
    """Base of the faults that the job desk answers.

    Attributes
    ----------
    retry_after_s : int
        When the caller should come back; 0 for never.
    """

    code = "desk"
    status = 500
    retry_after_s = 0


class NoConfigError(DeskError):
    """No configuration is known yet; nothing was accepted."""

    code = "no-config"
    status = 503
    retry_after_s = 1


class NoRouteError(DeskError):
    """No queue belongs to the request."""

    code = "no-route"
    status = 404


class UnknownKeyError(DeskError):
    """The request carries no key of a workspace."""

    code = "unknown-key"
    status = 401


class NoJobError(DeskError):
    """No such job exists."""

    code = "no-job"
    status = 410


class UnsupportedJobError(DeskError):
    """The job asks for a kind of work that is not built."""

    code = "unsupported-job"
    status = 501


class InvalidJobError(DeskError):
    """The job's steps contradict each other."""

    code = "invalid-job"
    status = 400


class StoreUnavailableError(DeskError):
    """The store was not reached; nothing was written and nothing will be."""

    code = "store-away"
    status = 503
    retry_after_s = 1


class OutcomeUnknownError(DeskError):
    """The store did not say whether it wrote; the caller should ask again."""

    code = "outcome-unknown"
    status = 504
