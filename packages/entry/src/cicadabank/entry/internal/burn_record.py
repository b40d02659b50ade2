"""The stored request and configuration history that the burn report is based on."""

from __future__ import annotations

from typing import Any

from cicadabank.entry.internal.tally import InForceRow, TallyRow
from cicadabank.model import Key, decode_as, to_builtins
from cicadabank.store import TableClient


class BurnRecordService:
    """Reads the tallies and configuration versions that all entries have stored."""

    def __init__(self, table: TableClient):
        self._table = table

    def read(self, after_unix_s: float) -> dict[str, Any]:
        """Return request tallies, and when each entry first saw configuration versions.

        Tallies are those since `after_unix_s`; versions are the newest ones, whenever
        they were seen.
        """
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
