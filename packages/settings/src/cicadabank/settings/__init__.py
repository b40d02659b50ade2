"""Settings of the processes.

One JSON file each, checked whole before anything starts.
"""

from cicadabank.settings.errors import SettingsError
from cicadabank.settings.internal.kinds import (
    AgentSettings,
    EntrySettings,
    StandInSettings,
)
from cicadabank.settings.internal.load import KINDS, check_file, load

__all__ = [
    "KINDS",
    "AgentSettings",
    "EntrySettings",
    "SettingsError",
    "StandInSettings",
    "check_file",
    "load",
]
