"""The entry: callers' and operators' interface, routing, and the cells it holds."""

from __future__ import annotations

from importlib import import_module
from typing import Any

from cicadabank.entry.errors import EntryError

__all__ = ["EntryError", "entry_running", "run_entry"]


def __getattr__(name: str) -> Any:
    """Import the process's modules on first use; the HTTP front does without them."""
    if name in ("entry_running", "run_entry"):
        return getattr(import_module("cicadabank.entry.internal.app"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
