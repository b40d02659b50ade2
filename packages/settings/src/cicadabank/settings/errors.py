"""Errors of the settings."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class SettingsError(CicadabankError):
    """A settings file can't be used.

    Parameters
    ----------
    faults : list of str
        Each fault with its path and what was expected there.
    """

    code = "settings"

    def __init__(self, file: str, faults: list[str]):
        self.faults = faults
        super().__init__(
            f"{file}: " + "; ".join(faults), "correct the file and start again"
        )
