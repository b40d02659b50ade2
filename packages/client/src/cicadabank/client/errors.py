"""Errors of the client."""

from __future__ import annotations

from typing import Any

from cicadabank.model import CicadabankError


class ClientError(CicadabankError):
    """Base of the client's errors."""

    code = "client"


class UnreachableError(ClientError):
    """No entry responded, or no address of an entry is given."""

    code = "unreachable"


class ApiError(ClientError):
    """An entry responded with an error.

    Attributes
    ----------
    status : int
        HTTP status code.
    ran : str
        Whether the job or request was run: ``no``, ``yes`` or ``unknown``.
    winner : str
        Operator whose change was committed, if the error is a conflict.
    job : str
        Id of the job if it was refused but has a record.
    """

    def __init__(self, status: int, error: dict[str, Any]):
        super().__init__(error.get("message", "no message"), error.get("action", ""))
        self.code = error.get("code", "unknown")
        self.status = status
        self.ran = error.get("ran", "unknown")
        self.winner = error.get("winner", "")
        self.job = error.get("job", "")
