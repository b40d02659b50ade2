"""Rows in partitions of a table, with a feed of changes; implemented by adapters."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol


class StoredRow(NamedTuple):
    """A row as it stands; one that was removed has no value."""

    partition: str
    key: str
    value: bytes | None
    version: int


class Page(NamedTuple):
    """Rows as of one version of the store, and the time on its clock.

    Attributes
    ----------
    version : int
        Where a feed of later changes goes on.
    store_s : float
        The store's steady clock when it answered.
    """

    rows: list[StoredRow]
    version: int
    store_s: float


class PartitionedTable(Protocol):
    """A table of rows in partitions.

    Every method blocks and raises `UnavailableError` if nothing was done. A time-out
    of None stands for the adapter's own.
    """

    def partitions(self) -> Page:
        """Return the names of all partitions, as rows without a value."""

    def read(
        self,
        partition: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Page:
        """Return the rows of a partition from a key up to, without, another."""

    def changes(self, after: int, wait_s: float) -> Page:
        """Return what has changed since a version, waiting for a change.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes; all has to be read again.
        """

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: tuple[str, ...] = (),
        timeout_s: float | None = None,
    ) -> int:
        """Write rows if others have the expected versions; return the new version.

        Raises
        ------
        RowConflictError
            If a row has another version; nothing was written.
        UnknownOutcomeError
            If the write may have taken effect, or may do so later.
        """
