"""Settings of the processes.

Each process reads one JSON file, which is validated completely before it starts.
"""

from cicadabank.settings.errors import SettingsError
from cicadabank.settings.internal.load import PROCESS_KINDS, check_file, load
from cicadabank.settings.internal.schemas import (
    AgentSettings,
    EntrySettings,
    StandInSettings,
)

__all__ = [
    "PROCESS_KINDS",
    "AgentSettings",
    "EntrySettings",
    "SettingsError",
    "StandInSettings",
    "check_file",
    "load",
]
