"""Base classes of the errors of all packages."""

from __future__ import annotations


class CicadabankError(Exception):
    """Base of all errors; carries a stable error code and a suggested action.

    Parameters
    ----------
    message : str
        What is wrong, in one sentence.
    action : str, default=""
        What the user can do about it.

    Attributes
    ----------
    code : str
        Stable, machine-readable error code.
    """

    code = "internal"

    def __init__(self, message: str, action: str = ""):
        super().__init__(message)
        self.message = message
        self.action = action

    def __str__(self) -> str:
        text = f"[{self.code}] {self.message}"
        return f"{text}; {self.action}" if self.action else text


class InvalidInputError(CicadabankError):
    """A document or argument is invalid."""

    code = "invalid-input"


class NotFoundError(CicadabankError):
    """The named resource does not exist."""

    code = "not-found"


class ConflictError(CicadabankError):
    """A concurrent change to the resource was committed first.

    Parameters
    ----------
    winner : str, default=""
        Operator whose change was committed.
    """

    code = "conflict"

    def __init__(self, message: str, action: str = "", winner: str = ""):
        super().__init__(message, action)
        self.winner = winner
