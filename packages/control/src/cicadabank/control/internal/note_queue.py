"""Notes for the next holder of a cell that wait to be stored."""

from __future__ import annotations

from collections.abc import Mapping

from cicadabank.control.internal.events import log_event
from cicadabank.scheduling import Note, pack

# A note with a longer key or value is not stored: a target may have very many labels,
# and the store would refuse the write, and with it the renewal of the lease.
MAX_NOTE_KEY_BYTES = 200
MAX_NOTE_BYTES = 4096


class NoteQueue:
    """Notes by the keys of their rows, to be written beside other rows.

    One thread adds notes while others take and write them, so that each step is one
    operation on a dictionary.
    """

    def __init__(self) -> None:
        self._notes: dict[str, Note] = {}

    def add(self, notes: Mapping[str, Note], stored: Mapping[str, Note]) -> None:
        """Add the notes that differ from the stored ones."""
        for key, note in notes.items():
            if note == stored.get(key):
                self._notes.pop(key, None)
            elif _fits_into_row(key, note):
                self._notes[key] = note
            else:
                log_event("note_too_large", key=key[:MAX_NOTE_KEY_BYTES])

    def first(self, count: int) -> dict[str, Note]:
        """Return the first notes, which stay until they are known to be stored."""
        return dict(list(self._notes.items())[:count])

    def on_stored(self, notes: Mapping[str, Note]) -> None:
        """Remove stored notes, except those that have changed meanwhile."""
        for key, note in notes.items():
            if self._notes.get(key) is note:
                self._notes.pop(key, None)


def _fits_into_row(key: str, note: Note) -> bool:
    key_bytes, note_bytes = len(key.encode()), len(pack(note))
    return key_bytes <= MAX_NOTE_KEY_BYTES and note_bytes <= MAX_NOTE_BYTES
