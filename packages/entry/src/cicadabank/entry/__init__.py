"""The entry: serves the HTTP interface, routes requests, and schedules held cells."""

from __future__ import annotations

from importlib import import_module
from typing import Any

from cicadabank.entry.errors import EntryError

__all__ = ["EntryError", "entry_running", "run_entry"]


def __getattr__(name: str) -> Any:
    """Import the entry process on first use.

    A process that needs only the errors does without its dependencies.
    """
    if name in ("entry_running", "run_entry"):
        return getattr(import_module("cicadabank.entry.internal.app"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
