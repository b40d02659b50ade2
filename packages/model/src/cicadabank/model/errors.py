"""The root of every error hierarchy of the workspace."""

from __future__ import annotations


class CicadabankError(Exception):
    """Base of all errors; carries a stable code and what the reader can do.

    Parameters
    ----------
    message : str
        What is wrong, in one sentence.
    action : str, default=""
        What the reader can do about it.

    Attributes
    ----------
    code : str
        Stable, machine-readable name of the fault.
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
    """A document or argument doesn't have the required form."""

    code = "invalid-input"


class NotFoundError(CicadabankError):
    """The named resource does not exist."""

    code = "not-found"


class ConflictError(CicadabankError):
    """Another writer changed the resource first.

    Parameters
    ----------
    winner : str, default=""
        Who made the change that stands.
    """

    code = "conflict"

    def __init__(self, message: str, action: str = "", winner: str = ""):
        super().__init__(message, action)
        self.winner = winner
