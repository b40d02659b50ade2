"""Errors of the stand-ins."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class StandInUnreachableError(CicadabankError):
    """No stand-in answers at the given address."""

    code = "stand-in-unreachable"
