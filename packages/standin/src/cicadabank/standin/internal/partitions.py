"""A partitioned table in memory, with switches for the faults of a real one."""

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


class MemoryTable:
    """Keeps rows in memory; see `PartitionedTable`.

    Attributes
    ----------
    down : bool
        Calls are turned away; nothing is done.
    lose_answers : bool
        Writes are done, and their answers are lost.
    lose_writes : bool
        Writes are lost; they are done when `carry_out_lost` is called, if their
        conditions still hold.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.down = False
        self.lose_answers = False
        self.lose_writes = False
        self.writes = 0
        self._changes: list[StoredRow] = []
        self._oldest = 0
        self._lost: list[tuple] = []
        self._changed = threading.Condition()

    def _check(self) -> None:
        if self.down:
            raise UnavailableError("the table is down")

    def _page(self, rows: list[StoredRow]) -> Page:
        return Page(rows, self.version, time.monotonic())

    def partitions(self) -> Page:
        """Return the names of all partitions, as rows without a value."""
        self._check()
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
        """Return the rows of a partition from a key up to, without, another."""
        self._check()
        with self._changed:
            found = [
                row
                for (part, key), row in sorted(self.rows.items())
                if part == partition and key >= first and (not end or key < end)
            ]
            return self._page(found)

    def changes(self, after: int, wait_s: float) -> Page:
        """Return what has changed since a version, waiting for a change."""
        self._check()
        with self._changed:
            if after < self._oldest:
                raise HistoryLostError("the changes are no longer kept")
            self._changed.wait_for(lambda: self.version > after, wait_s)
            self._check()
            return self._page([row for row in self._changes if row.version > after])

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: tuple[str, ...] = (),
        timeout_s: float | None = None,
    ) -> int:
        """Write rows if others have the expected versions; return the new version."""
        self._check()
        self.writes += 1
        if self.lose_writes:
            self._lost.append((partition, dict(expected), dict(puts), removes))
            raise UnknownOutcomeError("the write was lost")
        version = self._apply(partition, expected, puts, removes)
        if self.lose_answers:
            raise UnknownOutcomeError("the answer was lost")
        return version

    def _apply(self, partition, expected, puts, removes) -> int:
        with self._changed:
            absent = StoredRow(partition, "", None, 0)
            found = {
                key: self.rows.get((partition, key), absent._replace(key=key))
                for key in expected
            }
            if any(found[key].version != expected[key] for key in expected):
                raise RowConflictError("a row has changed", found)
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

    def carry_out_lost(self) -> int:
        """Do the lost writes whose conditions still hold; return how many did."""
        lost, self._lost = self._lost, []
        done = 0
        for write in lost:
            try:
                self._apply(*write)
                done += 1
            except RowConflictError:
                continue
        return done

    def forget_history(self) -> None:
        """Forget all changes before now."""
        with self._changed:
            self._changes.clear()
            self._oldest = self.version
