"""A local copy of the cells' rows, updated by a feed of changes."""

from __future__ import annotations

import math
import threading
from collections import deque
from collections.abc import Callable, Iterable, Set
from functools import singledispatch
from typing import Any, NamedTuple

from cicadabank.control.bounds import (
    MAX_SPEED_DIFFERENCE,
    MAX_SPEED_WEIGHT,
    check_resources,
    check_steps,
    is_address,
)
from cicadabank.control.internal.pacing import MAX_LATENESS_S
from cicadabank.scheduling import (
    AGENT_PREFIX,
    CANCEL_PREFIX,
    EARLIER_LEASES_KEY,
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    INCIDENTS_PREFIX,
    JOB_PREFIX,
    LEASE_KEY,
    QUEUE_PREFIX,
    RANGE_PREFIX,
    RUN_PREFIX,
    TARGET_SHAPE_PREFIX,
    TARGET_SPEEDS_KEY,
    AgentRow,
    CancelRow,
    EarlierLeasesRow,
    HolderLoadRow,
    HolderRow,
    IncidentCount,
    JobProgressRow,
    JobRecord,
    Note,
    QueueConfig,
    TargetShapeRow,
    TargetSpeedsRow,
    unpack,
    voided_at_s,
)
from cicadabank.store import StoredRow
from cicadabank.tasks import clock_s
from loguru import logger

# Rows written before a removal may arrive after it, forwarded by another entry. They do
# within the timeout of the call that forwards them.
REMOVAL_MEMORY_S = 60.0


class StoredRun(NamedTuple):
    """The stored `JobProgressRow` of a job, and the version of its row."""

    row: JobProgressRow
    version: int


class StoredCancel(NamedTuple):
    """The stored cancellation of a job, and the version of its row."""

    row: CancelRow
    version: int


class RemovedRow(NamedTuple):
    """A removed row: its partition and key, the version, and when it was applied."""

    row_id: tuple[str, str]
    version: int
    applied_s: float


class CellRows:
    """The rows of one cell.

    Attributes
    ----------
    cancelled : dict of str to StoredCancel
        By the ids of jobs, which need not be stored.
    voids : dict of str to StoredCancel
        Cancellations that earlier builds have stored in place of a job.
    """

    __slots__ = (
        "agents",
        "cancelled",
        "earlier_leases",
        "holder",
        "holder_load",
        "holder_version",
        "jobs",
        "lease_seen_s",
        "lease_version",
        "notes",
        "runs",
        "target_speeds",
        "voids",
    )

    def __init__(self) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.runs: dict[str, StoredRun] = {}
        self.cancelled: dict[str, StoredCancel] = {}
        self.voids: dict[str, StoredCancel] = {}
        self.agents: set[str] = set()
        self.holder: HolderRow | None = None
        self.holder_version = 0
        self.holder_load: HolderLoadRow | None = None
        self.earlier_leases: EarlierLeasesRow | None = None
        # What holders have noted for the next one, by the keys of the rows.
        self.notes: dict[str, Note] = {}
        self.target_speeds: TargetSpeedsRow | None = None
        self.lease_seen_s = float("-inf")  # on the store's clock
        self.lease_version = 0

    def is_cancelled(self, record: JobRecord) -> bool:
        """Return whether the client of a job has cancelled it."""
        stored = self.cancelled.get(record.job)
        return stored is not None and stored.row.covers(record.queue)

    def removable(self) -> dict[str, StoredCancel]:
        """Return the cancellations of jobs that aren't stored, by their rows' keys."""
        voids = list(self.voids.items())
        found = {JOB_PREFIX + job: stored for job, stored in voids}
        for job in self.cancelled.keys() - self.jobs.keys() - self.voids.keys():
            stored = self.cancelled.get(job)
            if stored is not None:
                found[CANCEL_PREFIX + job] = stored
        return found

    @property
    def holder_lateness_s(self) -> float:
        """How much later than usual the holder's lease renewals may be."""
        load, holder = self.holder_load, self.holder
        is_current = load is not None and holder and load.epoch == holder.epoch
        return load.lateness_s if is_current else 0.0


class Replica:
    """The latest known rows of all cells.

    Any thread may read without the lock, since each read is one dictionary operation.
    """

    def __init__(self) -> None:
        self.cells: dict[str, CellRows] = {}
        self.cell_by_job: dict[str, str] = {}
        self.loaded = False
        self.last_contact_s = float("-inf")  # on this process's clock
        # Since when contact has been without a gap, on the store's clock.
        self.continuous_contact_since_s = float("inf")
        self._offset_s = 0.0
        self._last_store_s = float("-inf")
        self._versions: dict[tuple[str, str], int] = {}
        # Removals whose versions are still kept, the oldest first.
        self._removed: deque[RemovedRow] = deque()
        self._lock = threading.Lock()

    def cell(self, name: str) -> CellRows:
        """Return the rows of a cell, which is added if it is unknown."""
        if name not in self.cells:
            self.cells[name] = CellRows()
        return self.cells[name]

    @property
    def offset_s(self) -> float:
        """The store's clock minus this process's clock."""
        return self._offset_s

    def store_now_s(self) -> float:
        """Return the estimated current time on the store's clock."""
        return clock_s() + self._offset_s

    def contact_age_s(self) -> float:
        """Return the time since the last contact with the store."""
        return clock_s() - self.last_contact_s

    def on_contact(self, store_s: float, max_gap_s: float) -> None:
        """Record a reply of the store.

        Parameters
        ----------
        store_s : float
            The store's clock when it replied.
        max_gap_s : float
            Longest time between two replies that counts as continuous contact. During a
            longer one, rows may have changed unseen.
        """
        now_s = clock_s()
        if now_s - self.last_contact_s > max_gap_s:
            self.continuous_contact_since_s = store_s
        self.last_contact_s = now_s
        self._last_store_s = store_s
        self.set_store_clock(store_s)

    def set_store_clock(self, store_s: float) -> None:
        """Set the store's clock, as read from a reply that has just arrived."""
        self._offset_s = store_s - clock_s()

    def apply(
        self, rows: Iterable[StoredRow], notify: Callable[[str, str, str], None]
    ) -> None:
        """Apply each row unless the same or a newer version of it is known.

        Parameters
        ----------
        notify : callable
            Called with the cell, kind and name of each changed row.
        """
        for row in rows:
            kind, _, name = row.key.partition("/")
            if self._apply_if_newer(row, kind, name):
                notify(row.partition, kind, name)

    def _apply_if_newer(self, row: StoredRow, kind: str, name: str) -> bool:
        """Apply one row; return whether it was newer and could be decoded."""
        row_id = (row.partition, row.key)
        with self._lock:
            if row.version <= self._versions.get(row_id, 0):
                return False
            self._versions[row_id] = row.version
            if row.value is None:
                self._on_removed(RemovedRow(row_id, row.version, clock_s()))
            try:
                self._apply_one(row, kind, name)
            # Any error: one row must not keep the others of its batch back.
            except Exception as error:
                logger.bind(
                    event="row_unreadable", cell=row.partition, key=row.key
                ).warning("skipping a row that can't be decoded: {!r}", error)
                return False
        return True

    def _on_removed(self, removed: RemovedRow) -> None:
        """Keep the version of a removed row for some time only."""
        self._removed.append(removed)
        while removed.applied_s - self._removed[0].applied_s > REMOVAL_MEMORY_S:
            row_id, version, _ = self._removed.popleft()
            if self._versions.get(row_id) == version:
                del self._versions[row_id]

    def remove_missing(
        self,
        partition: str,
        keys: Set[str],
        version: int,
        notify: Callable[[str, str, str], None],
    ) -> None:
        """Remove cancellations that all rows of a partition, read anew, don't include.

        Only cancellations of jobs that aren't stored are ever removed from the store.

        Parameters
        ----------
        keys : set of str
            Keys of the rows that were read.
        version : int
            Version of the store when the read began. Rows that changed later stay as
            they are, since the feed delivers their changes.
        """
        rows = self.cells.get(partition)
        if rows is None:
            return
        with self._lock:
            missing = [
                StoredRow(partition, key, None, version)
                for key in rows.removable()
                if key not in keys and self._versions[(partition, key)] < version
            ]
        self.apply(missing, notify)

    def _apply_one(self, row: StoredRow, kind: str, name: str) -> None:
        # Restores the key's prefix; the keys of the holder and the lease have no name.
        kind = kind + "/" if name else kind
        # Decoded first, so that an odd row adds no cell.
        value = _decode(row, kind, name)
        cell = self.cell(row.partition)
        if row.value is None:
            _remove(cell, kind, name)
        elif kind == JOB_PREFIX:
            self._apply_job(value, row, name)
        elif kind == RUN_PREFIX:
            cell.runs[name] = StoredRun(value, row.version)
        elif kind == CANCEL_PREFIX:
            cell.cancelled[name] = StoredCancel(value, row.version)
        elif kind == AGENT_PREFIX:
            cell.agents.add(value.address)
        elif kind in NOTE_KINDS:
            cell.notes[row.key] = value
        elif kind == HOLDER_KEY:
            cell.holder = value
            cell.holder_version = row.version
            cell.lease_seen_s = self._last_store_s
        elif kind in ATTRIBUTES:
            setattr(cell, ATTRIBUTES[kind], value)
        elif kind == LEASE_KEY:
            cell.lease_seen_s = self._last_store_s
            cell.lease_version = row.version

    def _apply_job(
        self, value: JobRecord | CancelRow, row: StoredRow, name: str
    ) -> None:
        """Apply the row of a job, or of a void one, which is no job to readers."""
        cell = self.cell(row.partition)
        if isinstance(value, JobRecord):
            cell.voids.pop(name, None)
            cell.jobs[name] = value
            self.cell_by_job[name] = row.partition
        else:
            cell.jobs.pop(name, None)
            cell.voids[name] = StoredCancel(value, row.version)


# Kinds of rows whose values are not read.
PLAIN_KINDS = (LEASE_KEY,)
NOTE_KINDS = (TARGET_SHAPE_PREFIX, QUEUE_PREFIX, INCIDENTS_PREFIX)
# Kinds of rows of which a cell has one, with the attributes of `CellRows` for them.
ATTRIBUTES = {
    EARLIER_LEASES_KEY: "earlier_leases",
    HOLDER_LOAD_KEY: "holder_load",
    TARGET_SPEEDS_KEY: "target_speeds",
}
ROW_TYPES = {
    JOB_PREFIX: JobRecord,
    RUN_PREFIX: JobProgressRow,
    CANCEL_PREFIX: CancelRow,
    AGENT_PREFIX: AgentRow,
    TARGET_SHAPE_PREFIX: TargetShapeRow,
    QUEUE_PREFIX: QueueConfig,
    INCIDENTS_PREFIX: IncidentCount,
    HOLDER_KEY: HolderRow,
    EARLIER_LEASES_KEY: EarlierLeasesRow,
    HOLDER_LOAD_KEY: HolderLoadRow,
    TARGET_SPEEDS_KEY: TargetSpeedsRow,
}


def _decode(row: StoredRow, kind: str, name: str) -> Any:
    """Decode and check the value of a row; return None if it needs none.

    The row of a void job is decoded as the cancellation of a job that isn't stored.

    Raises
    ------
    msgspec.MsgspecError, ValueError
        If the value can't be decoded or is out of range, or the kind is unknown.
    """
    if kind not in ROW_TYPES and kind not in PLAIN_KINDS:
        raise ValueError("rows of this kind are not used")
    if row.value is None or kind in PLAIN_KINDS:
        return None
    if kind == JOB_PREFIX and (voided_s := voided_at_s(row.value)) is not None:
        return CancelRow(voided_s)
    value = unpack(row.value, ROW_TYPES[kind])
    _check(value, name)
    return value


@singledispatch
def _check(value: Any, name: str) -> None:
    """Raise ValueError if a row of this name can't have this value."""


@_check.register
def _(value: JobRecord, name: str) -> None:
    if value.job != name or not math.isfinite(value.accepted_s):
        raise ValueError(f"a record of the job {value.job!r} at {value.accepted_s} s")
    check_steps(value.steps)


@_check.register
def _(value: CancelRow, name: str) -> None:
    if not math.isfinite(value.at_s):
        raise ValueError(f"the job {name!r} is cancelled at {value.at_s} s")


@_check.register
def _(value: AgentRow, name: str) -> None:
    if value.address != name or not is_address(name):
        raise ValueError(f"no agent listens at {value.address!r}")


@_check.register
def _(value: TargetShapeRow, name: str) -> None:
    check_resources(value.largest_capacity)
    since_s = value.absent_since_s
    if not is_address(name) or not (since_s is None or math.isfinite(since_s)):
        raise ValueError(f"a target of {name!r} that is absent since {since_s} s")


@_check.register
def _(value: QueueConfig, name: str) -> None:
    times_s = (value.stretch, value.latency_s)
    in_range = value.priority >= 0 and value.attempts >= 1
    if value.name != name or not in_range or not all(map(math.isfinite, times_s)):
        raise ValueError(f"the queue {name!r} is configured as {value!r}")


@_check.register
def _(value: IncidentCount, name: str) -> None:
    in_range = 0.0 <= value.failed_runs <= value.incidents < math.inf
    if not in_range or not math.isfinite(value.at_s) or not is_address(name):
        raise ValueError(f"{value!r} at {name!r}")


@_check.register
def _(value: EarlierLeasesRow, name: str) -> None:
    # Without earlier holders, the time is minus infinity.
    if math.isnan(value.until_s) or value.until_s == math.inf:
        raise ValueError(f"leases expire at {value.until_s} s")


@_check.register
def _(value: HolderLoadRow, name: str) -> None:
    if not 0.0 <= value.lateness_s <= MAX_LATENESS_S:
        raise ValueError(f"a holder that renews {value.lateness_s} s late")


@_check.register
def _(value: TargetSpeedsRow, name: str) -> None:
    for agent, (mean_difference, weight) in value.estimates.items():
        in_range = (
            abs(mean_difference) <= MAX_SPEED_DIFFERENCE
            and 0.0 <= weight <= MAX_SPEED_WEIGHT
        )
        if not in_range or not is_address(agent.removeprefix(RANGE_PREFIX)):
            raise ValueError(
                f"a speed {mean_difference} off with weight {weight} at {agent!r}"
            )


def _remove(cell: CellRows, kind: str, name: str) -> None:
    if kind == JOB_PREFIX:
        cell.jobs.pop(name, None)
        cell.voids.pop(name, None)
    elif kind == RUN_PREFIX:
        cell.runs.pop(name, None)
    elif kind == CANCEL_PREFIX:
        cell.cancelled.pop(name, None)
    elif kind == AGENT_PREFIX:
        cell.agents.discard(name)
    elif kind in NOTE_KINDS:
        cell.notes.pop(kind + name, None)
