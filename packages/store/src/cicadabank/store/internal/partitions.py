"""Interface to a partitioned table with a feed of changes; adapters implement it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol


class StoredRow(NamedTuple):
    """A row read from a `PartitionedTable`; a removed row has the value None."""

    partition: str
    key: str
    value: bytes | None
    version: int


class Page(NamedTuple):
    """Rows at one version of the store, and the time on its clock.

    Attributes
    ----------
    version : int
        Version of the store; a feed of later changes continues after it.
    store_s : float
        The store's monotonic clock when it replied, in seconds.
    """

    rows: list[StoredRow]
    version: int
    store_s: float


class PartitionedTable(Protocol):
    """A table of rows in partitions.

    Every method blocks. It raises `UnavailableError` if the store was not reached and
    nothing was done. A `timeout_s` of None selects the adapter's default.
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
        """Return a partition's rows with keys from `first` to `end`, exclusive."""

    def changes(self, after: int, wait_s: float) -> Page:
        """Return the rows changed after a version, waiting up to `wait_s` for one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes; all rows must be read again.
        """

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: tuple[str, ...] = (),
        timeout_s: float | None = None,
    ) -> int:
        """Write rows if all expected versions match; return the new version.

        Parameters
        ----------
        expected : dict of str to int
            The version that each row must have; 0 for a row that must not exist.

        Raises
        ------
        RowConflictError
            If a row has another version; nothing was written.
        UnknownOutcomeError
            If the write may have taken effect, or may do so later.
        """
