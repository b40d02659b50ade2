"""Threads that follow the store's tables."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import ConfigView
from cicadabank.store import (
    HistoryLostError,
    PartitionedTable,
    PlatformError,
    StoredRow,
)
from loguru import logger

# The lease of a holder is renewed each second, so a shorter wait only adds calls.
CELLS_WAIT_S = 1.0
# Half of the shortest bound within which a configuration has to be in force.
OPERATOR_WAIT_S = 1.0
RETRY_PAUSE_S = 0.25
# A process that was out of touch for longer may have missed renewals of a lease.
CONTACT_GAP_S = 1.9


class OperatorView(NamedTuple):
    """What the operators want; `config` is None until there is one."""

    config: ConfigView | None
    domains_out: frozenset[str]


@contextmanager
def repeating_thread(name: str, step: Callable[[], None]) -> Iterator[None]:
    """Call `step` again and again in a thread until the block ends.

    A step that fails is logged, and repeated after a pause.
    """
    stop = threading.Event()
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
                stop.wait(RETRY_PAUSE_S)
            except Exception:
                logger.exception("the feed of {} failed", name)
                stop.wait(RETRY_PAUSE_S)
            else:
                if failures:
                    logger.bind(event="store_back", feed=name, failures=failures).info(
                        "the store answers again"
                    )
                failures = 0

    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()


class CellsFeed:
    """Keeps a replica of all cells' rows.

    Parameters
    ----------
    on_change : callable
        Called with cell, kind and name of each row that has changed.
    on_contact : callable
        Called whenever the store has answered.
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
        """Load all rows, or wait for the next changes."""
        if self._version is None:
            self._load()
            return
        try:
            page = self._table.changes(self._version, CELLS_WAIT_S)
        except HistoryLostError:
            logger.bind(event="history_lost", feed="cells").warning("reading all again")
            self._version = None
            return
        self._replica.on_contact(page.store_s, CONTACT_GAP_S)
        self._replica.apply(page.rows, self._on_change)
        self._version = max(self._version, page.version)
        self._on_contact()

    def _load(self) -> None:
        """Read all rows; what changes meanwhile comes by the feed."""
        names = self._table.partitions()
        for name in names.rows:
            page = self._table.read(name.partition)
            self._replica.on_contact(page.store_s, CONTACT_GAP_S)
            self._replica.apply(
                sorted(page.rows, key=lambda row: row.version), self._on_change
            )
        self._replica.on_contact(names.store_s, CONTACT_GAP_S)
        self._version = names.version
        self._replica.loaded = True
        self._on_contact()


class OperatorFeed:
    """Follows what the operators write.

    Parameters
    ----------
    read : callable
        Decodes the rows, by key.
    on_change : callable
        Called with each new view.
    """

    def __init__(
        self,
        table: PartitionedTable,
        read: Callable[[dict[str, StoredRow]], OperatorView],
        on_change: Callable[[OperatorView], None],
    ):
        self._table = table
        self._read = read
        self._on_change = on_change
        self._rows: dict[str, StoredRow] = {}
        self._version: int | None = None

    def step(self) -> None:
        """Load all rows, or wait for the next changes."""
        if self._version is None:
            page = self._table.read("")
            self._rows = {row.key: row for row in page.rows if row.value is not None}
            self._version = page.version
            self._on_change(self._read(self._rows))
            return
        try:
            page = self._table.changes(self._version, OPERATOR_WAIT_S)
        except HistoryLostError:
            logger.bind(event="history_lost", feed="operator").warning(
                "reading all again"
            )
            self._version = None
            return
        self._version = max(self._version, page.version)
        if not page.rows:
            return
        for row in page.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._on_change(self._read(self._rows))
