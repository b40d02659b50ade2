"""Removes old cancellations of jobs that were never stored."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from cicadabank.control.internal.events import log_event
from cicadabank.control.internal.replica import Replica, StoredCancel
from cicadabank.scheduling import (
    CANCEL_PREFIX,
    HOLDER_KEY,
    JOB_PREFIX,
    MAX_COMMIT_ENTRIES,
)
from cicadabank.store import PartitionedTable, RowConflictError, StoredRow

# Linux gives a connection up 925 s after the first byte that isn't acknowledged, and
# up to 120 s later, so that no copy of a submission is on its way for longer.
KEPT_S = 1_200.0
# With more of them in a cell, the oldest go earlier, so that a client that cancels
# random ids fills neither the store nor the memory of entries.
MAX_KEPT = 10_000
# But not before this time, for which a job is known after its end.
MIN_KEPT_S = 120.0
SWEEP_INTERVAL_S = 10.0
# Each removal has two conditions, and the holder's row is one more.
MAX_REMOVALS_PER_COMMIT = (MAX_COMMIT_ENTRIES - 1) // 3


class CancellationSweep:
    """Removes old cancellations of jobs that were never stored from some cells.

    Parameters
    ----------
    cells : callable
        Returns the names of the cells, those that this entry holds.
    on_written : callable
        Called with a cell and rows of it that were removed or found.
    """

    def __init__(
        self,
        table: PartitionedTable,
        replica: Replica,
        cells: Callable[[], Iterable[str]],
        on_written: Callable[[str, list[StoredRow]], None],
    ):
        self._table = table
        self._replica = replica
        self._cells = cells
        self._on_written = on_written

    def step(self) -> None:
        """Sweep the cells once, after a pause."""
        time.sleep(SWEEP_INTERVAL_S)
        for cell in list(self._cells()):
            self.sweep(cell)

    def sweep(self, cell: str) -> None:
        """Remove the old cancellations from a cell.

        Raises
        ------
        PlatformError
            If the store was not reached, or did not confirm a removal.
        """
        rows = self._replica.cell(cell)
        found = rows.removable()
        keys = expired(found, self._replica.store_now_s())
        for first in range(0, len(keys), MAX_REMOVALS_PER_COMMIT):
            batch = keys[first : first + MAX_REMOVALS_PER_COMMIT]
            versions = {key: found[key].version for key in batch}
            self._remove(cell, rows.holder_version, versions)

    def _remove(self, cell: str, holder_version: int, versions: dict[str, int]) -> None:
        """Remove rows, unless one has changed or its job has been stored.

        The present holder has to know of a removal before a new job of the same id, so
        the removal is made in its name only.
        """
        expected = {HOLDER_KEY: holder_version}
        for key, version in versions.items():
            if key.startswith(CANCEL_PREFIX):
                expected[JOB_PREFIX + key.removeprefix(CANCEL_PREFIX)] = 0
            expected[key] = version
        try:
            version = self._table.commit(cell, expected, {}, tuple(versions))
        except RowConflictError as error:
            # The next sweep leaves out what has changed.
            found = [row for row in error.rows.values() if row.value is not None]
            self._on_written(cell, found)
            return
        removed = [StoredRow(cell, key, None, version) for key in versions]
        self._on_written(cell, removed)
        log_event("cancellations_removed", cell=cell, count=len(removed))


def expired(stored: Mapping[str, StoredCancel], now_s: float) -> list[str]:
    """Return the keys of cancellations that need not be kept, the oldest first.

    Parameters
    ----------
    stored : mapping of str to StoredCancel
        By the keys of their rows.
    now_s : float
        The present time by the store's clock.
    """
    oldest_first = sorted(stored, key=lambda key: stored[key].row.at_s)
    surplus = len(oldest_first) - MAX_KEPT
    found = []
    for place, key in enumerate(oldest_first):
        age_s = now_s - stored[key].row.at_s
        if age_s > KEPT_S or (place < surplus and age_s > MIN_KEPT_S):
            found.append(key)
    return found
