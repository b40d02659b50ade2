"""Feeds that keep local copies of the store's tables up to date."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import Configuration
from cicadabank.store import (
    HistoryLostError,
    PartitionedTable,
    PlatformError,
    StoredRow,
)
from loguru import logger

# A call returns as soon as a row changes, as at each lease renewal of a holder, so a
# shorter wait would only add calls.
CELLS_WAIT_S = 1.0
# Half of the shortest time within which a new configuration must take effect.
OPERATOR_WAIT_S = 1.0
RETRY_PAUSE_S = 0.25
# Exceeds the wait of one call, so that contact is continuous while the store replies. A
# process without contact for longer may have missed lease renewals.
CONTACT_GAP_S = 1.9


class OperatorView(NamedTuple):
    """Settings made by operators, as last read from the store.

    Attributes
    ----------
    config : Configuration or None
        The configuration; None until one is stored.
    domains_out : frozenset of str
        Failure domains in which no new tasks are started.
    """

    config: Configuration | None
    domains_out: frozenset[str]


# The view of a process that has just started; a stored configuration may exist.
UNREAD_VIEW = OperatorView(None, frozenset())


@contextmanager
def repeating_thread(
    name: str,
    step: Callable[[], None],
    pause: Callable[[float], object] | None = None,
    retry_pause_s: float = RETRY_PAUSE_S,
) -> Iterator[None]:
    """Call `step` repeatedly in a thread until the ``with`` block ends.

    A failed step is logged, and `step` is called again after a pause. The log events
    are named after the store, but also logged for steps that call a target.

    Parameters
    ----------
    name : str
    step : callable
    pause : callable, optional
        Waits for up to some seconds after a failed step. By default the pause ends
        early only with the ``with`` block.
    retry_pause_s : float, default=RETRY_PAUSE_S
        Length of the pause after a failed step.
    """
    stop = threading.Event()
    pause = pause or stop.wait
    failures = 0

    def run() -> None:
        nonlocal failures
        while not stop.is_set():
            try:
                step()
            except PlatformError as error:
                failures += 1
                if failures == 1:
                    logger.bind(event="store_lost", feed=name).warning("{}", error)
                pause(retry_pause_s)
            except Exception:
                logger.exception("unexpected error in the {} thread", name)
                stop.wait(retry_pause_s)
            else:
                if failures:
                    logger.bind(event="store_back", feed=name, failures=failures).info(
                        "the calls of the thread succeed again"
                    )
                failures = 0

    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()


class CellsFeed:
    """Keeps a replica of all cells' rows up to date.

    Parameters
    ----------
    on_change : callable
        Called with the cell, kind and name of each changed row.
    on_contact : callable
        Called after each reply of the store.
    """

    def __init__(
        self,
        table: PartitionedTable,
        replica: Replica,
        on_change: Callable[[str, str, str], None],
        on_contact: Callable[[], None],
    ):
        self._table = table
        self._replica = replica
        self._on_change = on_change
        self._on_contact = on_contact
        self._version: int | None = None

    def step(self) -> None:
        """Load all rows if none are loaded or history was lost, else await changes."""
        if self._version is None:
            self._load()
            return
        try:
            page = self._table.changes(self._version, CELLS_WAIT_S)
        except HistoryLostError:
            logger.bind(event="history_lost", feed="cells").warning(
                "change history lost; reading all rows again"
            )
            self._version = None
            return
        self._replica.on_contact(page.store_s, CONTACT_GAP_S)
        self._replica.apply(page.rows, self._on_change)
        self._version = max(self._version, page.version)
        self._on_contact()

    def _load(self) -> None:
        """Read all rows; the feed delivers changes made meanwhile."""
        names = self._table.partitions()
        for name in names.rows:
            page = self._table.read(name.partition)
            self._replica.on_contact(page.store_s, CONTACT_GAP_S)
            self._replica.apply(
                sorted(page.rows, key=lambda row: row.version), self._on_change
            )
            keys = {row.key for row in page.rows}
            self._replica.remove_missing(
                name.partition, keys, page.version, self._on_change
            )
        self._replica.on_contact(names.store_s, CONTACT_GAP_S)
        self._version = names.version
        self._replica.loaded = True
        self._on_contact()


class OperatorFeed:
    """Follows the table that operators write.

    Parameters
    ----------
    decode : callable
        Returns the operators' settings that the rows, by key, contain; raises
        PlatformError if a row can't be decoded.
    on_change : callable
        Called with the settings after each change.
    """

    def __init__(
        self,
        table: PartitionedTable,
        decode: Callable[[dict[str, StoredRow]], OperatorView],
        on_change: Callable[[OperatorView], None],
    ):
        self._table = table
        self._decode = decode
        self._on_change = on_change
        self._rows: dict[str, StoredRow] = {}
        self._version: int | None = None

    def step(self) -> None:
        """Load all rows if none are loaded or history was lost, else await changes."""
        if self._version is None:
            page = self._table.read("")
            self._version = page.version
            found = {row.key for row in page.rows if row.value is not None}
            self._rows = {key: self._rows[key] for key in found & self._rows.keys()}
            self._apply(page.rows)
            return
        try:
            page = self._table.changes(self._version, OPERATOR_WAIT_S)
        except HistoryLostError:
            logger.bind(event="history_lost", feed="operator").warning(
                "change history lost; reading all rows again"
            )
            self._version = None
            return
        self._version = max(self._version, page.version)
        if page.rows:
            self._apply(page.rows)

    def _apply(self, rows: list[StoredRow]) -> None:
        """Apply each row that can be decoded beside the others.

        The earlier row stays in place of one that can't.
        """
        for row in rows:
            changed = {
                key: known for key, known in self._rows.items() if key != row.key
            }
            if row.value is not None:
                changed[row.key] = row
            try:
                self._decode(changed)
            except PlatformError as error:
                logger.bind(event="row_unreadable", feed="operator", key=row.key).error(
                    "keeping the earlier row, since the new one can't be decoded: {}",
                    error,
                )
            else:
                self._rows = changed
        self._on_change(self._decode(self._rows))
