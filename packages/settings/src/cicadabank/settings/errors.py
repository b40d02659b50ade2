"""Errors in settings files."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class SettingsError(CicadabankError):
    """A settings file can't be read or is invalid.

    Parameters
    ----------
    file : str
        Path of the settings file.
    errors : list of str
        One message for each error, with the path of the field.
    """

    code = "settings"

    def __init__(self, file: str, errors: list[str]):
        self.errors = errors
        super().__init__(
            f"{file}: " + "; ".join(errors), "correct the file and try again"
        )
