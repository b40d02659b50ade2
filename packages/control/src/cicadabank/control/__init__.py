"""The processes that schedule jobs of steps: entries, and agents beside targets."""

from __future__ import annotations

from importlib import import_module
from typing import Any

from cicadabank.control.errors import DeskError, UnsupportedJobError

# Each process imports only what it runs: imports cost processor time at each start.
_HOMES = {
    "AgentParts": "agent",
    "EntryParts": "entry",
    "JobDesk": "desk",
    "JobRequest": "desk",
    "Listing": "target_messages",
    "OperatorView": "feed",
    "StartOutcome": "target_messages",
    "TargetBeat": "target_messages",
    "run_agent": "agent",
    "run_entry": "entry",
}

__all__ = ["DeskError", "UnsupportedJobError", *_HOMES]


def __getattr__(name: str) -> Any:
    """Import a public name from its module on first use."""
    if name in _HOMES:
        module = import_module(f"cicadabank.control.internal.{_HOMES[name]}")
        return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
