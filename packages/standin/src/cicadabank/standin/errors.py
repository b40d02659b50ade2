"""Errors of the stand-ins."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class StandInUnreachableError(CicadabankError):
    """No stand-in answers at the given address."""

    code = "stand-in-unreachable"


class TargetDownError(Exception):
    """An in-memory target has crashed, so that a call to it gets no reply."""
