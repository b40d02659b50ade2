"""An in-memory partitioned table with injectable faults."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping

from cicadabank.store import (
    HistoryLostError,
    Page,
    RowConflictError,
    StoredRow,
    UnavailableError,
    UnknownOutcomeError,
)

# Limits of one write: conditions, rows and removals; the size of a row; and the size of
# all rows, which are sent in base64.
MAX_ENTRIES = 100
MAX_ROW_BYTES = 65_536
MAX_WRITE_BYTES = 1_000_000


class MemoryTable:
    """Keeps rows in memory; see `PartitionedTable`. Timeouts are ignored.

    A write beyond the limits of the platform's store is refused for ever.

    Attributes
    ----------
    down : bool
        All calls are refused without effect.
    lose_answers : bool
        Writes are applied but raise `UnknownOutcomeError`.
    delay_writes : bool
        Writes raise `UnknownOutcomeError` and are delayed until `apply_delayed_writes`,
        which applies them if their conditions still hold.
    clock_offset_s : float
        The store's clock minus this process's clock.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.down = False
        self.lose_answers = False
        self.delay_writes = False
        self.clock_offset_s = 0.0
        self.writes = 0
        self._changes: list[StoredRow] = []
        self._oldest_version = 0
        self._delayed_writes: list[tuple] = []
        self._changed = threading.Condition()

    def _check_available(self) -> None:
        if self.down:
            raise UnavailableError("the table is down")

    def _page(self, rows: list[StoredRow]) -> Page:
        return Page(rows, self.version, time.monotonic() + self.clock_offset_s)

    def partitions(self) -> Page:
        """Return the names of all partitions, as rows without a value."""
        self._check_available()
        with self._changed:
            names = sorted({partition for partition, _ in self.rows})
            return self._page([StoredRow(name, "", None, 0) for name in names])

    def read(
        self,
        partition: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Page:
        """Return the rows of a partition with ``first <= key < end``."""
        self._check_available()
        with self._changed:
            found = [
                row
                for (part, key), row in sorted(self.rows.items())
                if part == partition and key >= first and (not end or key < end)
            ]
            return self._page(found)

    def changes(self, after: int, wait_s: float) -> Page:
        """Return the changes after a version; wait up to `wait_s` for the first."""
        self._check_available()
        with self._changed:
            if after < self._oldest_version:
                raise HistoryLostError("the requested changes are no longer kept")
            self._changed.wait_for(lambda: self.version > after, wait_s)
            self._check_available()
            return self._page([row for row in self._changes if row.version > after])

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: tuple[str, ...] = (),
        timeout_s: float | None = None,
    ) -> int:
        """Write rows if all expected versions match; return the new version."""
        self._check_available()
        self.writes += 1
        _check_size(expected, puts, removes)
        if self.delay_writes:
            self._delayed_writes.append(
                (partition, dict(expected), dict(puts), removes)
            )
            raise UnknownOutcomeError(
                "no reply to the write; it has not been applied yet"
            )
        version = self._apply(partition, expected, puts, removes)
        if self.lose_answers:
            raise UnknownOutcomeError("no reply to the write; it was applied")
        return version

    def _apply(self, partition, expected, puts, removes) -> int:
        with self._changed:
            absent = StoredRow(partition, "", None, 0)
            found = {
                key: self.rows.get((partition, key), absent._replace(key=key))
                for key in expected
            }
            if any(found[key].version != expected[key] for key in expected):
                raise RowConflictError(
                    "a row does not have the expected version", found
                )
            self.version += 1
            for key, value in puts.items():
                row = StoredRow(partition, key, value, self.version)
                self.rows[(partition, key)] = row
                self._changes.append(row)
            for key in removes:
                self.rows.pop((partition, key), None)
                self._changes.append(StoredRow(partition, key, None, self.version))
            self._changed.notify_all()
            return self.version

    def apply_delayed_writes(self) -> int:
        """Apply the delayed writes whose conditions still hold; return their number."""
        delayed, self._delayed_writes = self._delayed_writes, []
        applied = 0
        for write in delayed:
            try:
                self._apply(*write)
                applied += 1
            except RowConflictError:
                continue
        return applied

    def forget_history(self) -> None:
        """Drop the history of changes up to the current version."""
        with self._changed:
            self._changes.clear()
            self._oldest_version = self.version


def _check_size(
    expected: Mapping[str, int], puts: Mapping[str, bytes], removes: tuple[str, ...]
) -> None:
    """Raise UnknownOutcomeError if the store would refuse a write of this size."""
    sizes = [len(value) for value in puts.values()]
    if len(expected) + len(puts) + len(removes) > MAX_ENTRIES:
        raise UnknownOutcomeError("the write was refused: too many entries")
    if max(sizes, default=0) > MAX_ROW_BYTES or sum(sizes) * 4 / 3 > MAX_WRITE_BYTES:
        raise UnknownOutcomeError("the write was refused: it is too large")
