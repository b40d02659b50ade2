"""A process's copy of the cells' rows, kept by a feed of changes."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from cicadabank.scheduling import (
    AGENT,
    CANCEL,
    HOLDER,
    JOB,
    LEASE,
    RUN,
    AgentRow,
    HolderRow,
    JobRecord,
    RunRow,
    unpack,
)
from cicadabank.store import StoredRow
from cicadabank.tasks import clock_s
from loguru import logger


class StoredRun(NamedTuple):
    """How a job stands, and the version of that row."""

    row: RunRow
    version: int


class CellRows:
    """The rows of one cell."""

    __slots__ = (
        "agents",
        "cancelled",
        "holder",
        "holder_version",
        "jobs",
        "lease_seen_s",
        "runs",
    )

    def __init__(self) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.runs: dict[str, StoredRun] = {}
        self.cancelled: set[str] = set()
        self.agents: set[str] = set()
        self.holder: HolderRow | None = None
        self.holder_version = 0
        self.lease_seen_s = float("-inf")  # on the store's clock


class Replica:
    """All cells' rows as this process last heard of them.

    Any thread may read without the lock: each read is one look-up in a dictionary.
    """

    def __init__(self) -> None:
        self.cells: dict[str, CellRows] = {}
        self.cell_of: dict[str, str] = {}
        self.loaded = False
        self.last_contact_s = float("-inf")  # of this process's clock
        self.contact_since_s = float("inf")  # on the store's clock, without a gap
        self._offset_s = 0.0
        self._last_store_s = float("-inf")
        self._versions: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()

    def cell(self, name: str) -> CellRows:
        """Return a cell's rows."""
        if name not in self.cells:
            self.cells[name] = CellRows()
        return self.cells[name]

    @property
    def offset_s(self) -> float:
        """The store's clock less this process's."""
        return self._offset_s

    def store_now_s(self) -> float:
        """Return the time on the store's clock."""
        return clock_s() + self._offset_s

    def age_s(self) -> float:
        """Return the time since the store was last heard."""
        return clock_s() - self.last_contact_s

    def on_contact(self, store_s: float, gap_s: float) -> None:
        """Take in that the store has answered.

        Parameters
        ----------
        store_s : float
            Its clock then.
        gap_s : float
            A longer silence than this is one in which others may have been heard.
        """
        now_s = clock_s()
        if now_s - self.last_contact_s > gap_s:
            self.contact_since_s = store_s
        self.last_contact_s = now_s
        self._offset_s = store_s - now_s
        self._last_store_s = store_s

    def apply(
        self, rows: Iterable[StoredRow], notify: Callable[[str, str, str], None]
    ) -> None:
        """Take in rows, each unless a newer version of it is known.

        Parameters
        ----------
        notify : callable
            Called with cell, kind and name of each row that has changed.
        """
        for row in rows:
            kind, _, name = row.key.partition("/")
            if self._apply_if_newer(row, kind, name):
                notify(row.partition, kind, name)

    def _apply_if_newer(self, row: StoredRow, kind: str, name: str) -> bool:
        """Take in one row; return whether it was news and could be read."""
        row_id = (row.partition, row.key)
        with self._lock:
            if row.version <= self._versions.get(row_id, 0):
                return False
            self._versions[row_id] = row.version
            try:
                self._apply_one(row, kind, name)
            except (msgspec.MsgspecError, ValueError) as error:
                logger.bind(
                    event="row_unreadable", cell=row.partition, key=row.key
                ).warning("a row can't be read and is passed over: {}", error)
                return False
        return True

    def _apply_one(self, row: StoredRow, kind: str, name: str) -> None:
        cell = self.cell(row.partition)
        kind = kind + "/" if name else kind
        if row.value is None:
            _remove(cell, kind, name)
        elif kind == JOB:
            cell.jobs[name] = unpack(row.value, JobRecord)
            self.cell_of[name] = row.partition
        elif kind == RUN:
            cell.runs[name] = StoredRun(unpack(row.value, RunRow), row.version)
        elif kind == CANCEL:
            cell.cancelled.add(name)
        elif kind == AGENT:
            cell.agents.add(unpack(row.value, AgentRow).address)
        elif kind == HOLDER:
            cell.holder = unpack(row.value, HolderRow)
            cell.holder_version = row.version
            cell.lease_seen_s = self._last_store_s
        elif kind == LEASE:
            cell.lease_seen_s = self._last_store_s


def _remove(cell: CellRows, kind: str, name: str) -> None:
    if kind == JOB:
        cell.jobs.pop(name, None)
    elif kind == RUN:
        cell.runs.pop(name, None)
    elif kind == CANCEL:
        cell.cancelled.discard(name)
    elif kind == AGENT:
        cell.agents.discard(name)
