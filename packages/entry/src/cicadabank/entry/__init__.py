"""The entry: callers' and operators' interface, routing, and the cells it holds."""

from cicadabank.entry.errors import EntryError
from cicadabank.entry.internal.app import entry_running, run_entry

__all__ = ["EntryError", "entry_running", "run_entry"]
