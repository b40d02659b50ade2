"""The kept record that the burn report is worked out from."""

from __future__ import annotations

from typing import Any

from cicadabank.entry.internal.tally import InForceRow, TallyRow
from cicadabank.model import Key, decode_as, to_builtins
from cicadabank.store import TableClient


class RecordService:
    """Reads what entries have kept of requests and of the configuration."""

    def __init__(self, table: TableClient):
        self._table = table

    def read(self, after_unix_s: float) -> dict[str, Any]:
        """Return the tallies after a time, and when versions were seen by whom."""
        first = Key.tally(int(after_unix_s // 60), "")
        tallies = [
            to_builtins(decode_as(row.value, TallyRow))
            for row in self._table.scan(Key.TALLIES)
            if row.key >= first
        ]
        in_force = [
            to_builtins(decode_as(row.value, InForceRow))
            for row in self._table.scan(Key.IN_FORCE)
        ]
        return {"tallies": tallies, "in_force": in_force}
