"""An entry's session lease in the table, and the cells it holds.

Each entry renews one row, however many cells it holds. A cell's row changes only when
its holder changes, so every placement commit can be made conditional on that row's
version.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cicadabank.model import Key, decode_as, encode, new_id
from cicadabank.settings import EntrySettings
from cicadabank.store import (
    PlatformError,
    Row,
    RowConflictError,
    TableClient,
    Transaction,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import Actor, clock_s
from loguru import logger

TICK_S = 0.25
# Margin between the end of the session's validity at this entry and the expiry of the
# lease, after which another entry may take over its cells.
VALIDITY_MARGIN_S = 0.5
TABLE_TIMEOUT_S = 1.2


class SessionRow(NamedTuple):
    """The session row of an entry, renewed while the entry runs.

    It is deleted when the entry stops, or by a takeover after the lease has expired.
    """

    session: str
    name: str
    grpc: str
    renewals: int


class CellRow(NamedTuple):
    """The row of a cell: the session that holds it (empty if none) and its epoch."""

    cell: str
    session: str
    epoch: int


class HeldCell(NamedTuple):
    """A cell held by this entry; `version` is the version of its row."""

    cell: str
    epoch: int
    version: int


class ObservedSession(NamedTuple):
    """An entry's session, this entry's own included, as last read from the table.

    Attributes
    ----------
    last_renewed_s : float
        When this entry last saw the row change, on its own monotonic clock; infinite
        after an outage, until the row is read again.
    """

    row: SessionRow
    version: int
    last_renewed_s: float


class SessionActor(Actor):
    """Renews the session lease and acquires cells that have no live holder.

    Parameters
    ----------
    settings : EntrySettings
    table : TableClient
    on_acquired : callable
        Called with a `HeldCell` when a cell is acquired.
    on_lost : callable
        Called with the name of a cell that this entry no longer holds.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: TableClient,
        on_acquired: Callable[[HeldCell], None],
        on_lost: Callable[[str], None],
    ):
        super().__init__(TICK_S)
        self._settings = settings
        self._table = table
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self.session = new_id("session")
        self._row_key = Key.entry(settings.name)
        self._row_version: int | None = None
        self._renewals = 0
        self._renewal_due_s = 0.0
        self._stopping = False
        self.valid_until_s = float("-inf")
        self.last_table_write_s = float("-inf")
        self.held: dict[str, HeldCell] = {}
        self.observed_sessions: dict[str, ObservedSession] = {}
        self._missing_since_s: dict[str, float] = {}
        self._cells: dict[str, tuple[CellRow, int]] = {}

    @property
    def valid(self) -> bool:
        """Whether the session lease is valid, so no other entry can hold its cells."""
        return clock_s() < self.valid_until_s

    def holder_address(self, cell: str) -> str:
        """Return the gRPC address of a cell's holder, or "" if none is known."""
        row_and_version = self._cells.get(cell)
        if row_and_version is None:
            return ""
        if row_and_version[0].session == self.session:
            return self._settings.advertise or self._settings.grpc_listen
        observed = self.observed_sessions.get(row_and_version[0].session)
        return observed.row.grpc if observed else ""

    def entry_addresses(self) -> list[str]:
        """Return the gRPC addresses of the entries whose leases have not expired."""
        renewed_since_s = clock_s() - self._settings.session_lease_s
        return sorted(
            s.row.grpc
            for s in self.observed_sessions.values()
            if s.last_renewed_s >= renewed_since_s
        )

    def cells(self) -> list[str]:
        """Return the names of the cells in the table or in the settings."""
        return sorted(set(self._cells) | set(self._settings.cells))

    def on_tick(self) -> None:
        """Renew the session and acquire free cells, when due."""
        now_s = clock_s()
        if self._stopping or now_s < self._renewal_due_s:
            return
        self._renewal_due_s = now_s + self._settings.session_renew_s
        try:
            self._renew()
            self._read_sessions_and_cells()
            self._acquire_free_cells()
        except (UnavailableError, UnknownOutcomeError) as error:
            # This entry could not see renewals during the outage, so no other session
            # may be judged expired by observations from before it.
            self.observed_sessions = {
                session: observed._replace(last_renewed_s=float("inf"))
                for session, observed in self.observed_sessions.items()
            }
            self._missing_since_s.clear()
            logger.warning("the session could not be renewed: {}", error)

    def _renew(self) -> None:
        started_s = clock_s()
        self._renewals += 1
        address = self._settings.advertise or self._settings.grpc_listen
        row = SessionRow(self.session, self._settings.name, address, self._renewals)
        if self._row_version is None:
            self._row_version = self._table.read_one(
                self._row_key, TABLE_TIMEOUT_S
            ).version
        operation = f"{self.session}-{self._renewals}"
        try:
            self._row_version = self._table.transact(
                Transaction(
                    operation,
                    {self._row_key: self._row_version},
                    {self._row_key: encode(row)},
                ),
                TABLE_TIMEOUT_S,
            )
        except RowConflictError:
            self._drop_all_cells("another writer replaced or deleted the session row")
            return
        except UnknownOutcomeError:
            self._row_version = self._read_own_row_version()
            raise
        self.last_table_write_s = clock_s()
        self.valid_until_s = (
            started_s + self._settings.session_lease_s - VALIDITY_MARGIN_S
        )

    def _read_own_row_version(self) -> int | None:
        """Return the version of the session row if this session wrote it last.

        Otherwise, or if the row can't be read, return the last known version.
        """
        try:
            row = self._table.read_one(self._row_key, TABLE_TIMEOUT_S)
        except PlatformError:
            return self._row_version
        if row.exists and decode_as(row.value, SessionRow).session == self.session:
            return row.version
        return self._row_version

    def _drop_all_cells(self, cause: str) -> None:
        logger.warning("the session was lost; dropping all cells: {}", cause)
        self.valid_until_s = float("-inf")
        self._row_version = None
        self.session = new_id("session")
        held, self.held = list(self.held), {}
        for cell in held:
            self._on_lost(cell)

    def _read_sessions_and_cells(self) -> None:
        now_s = clock_s()
        current: dict[str, ObservedSession] = {}
        for row in self._table.scan(Key.ENTRIES, TABLE_TIMEOUT_S):
            session = decode_as(row.value, SessionRow)
            previous = self.observed_sessions.get(session.session)
            renewed = previous is None or previous.version != row.version
            last_renewed_s = (
                now_s
                if renewed or previous.last_renewed_s == float("inf")
                else previous.last_renewed_s
            )
            current[session.session] = ObservedSession(
                session, row.version, last_renewed_s
            )
        self.observed_sessions = current
        self._cells = {}
        for row in self._table.scan(Key.CELLS, TABLE_TIMEOUT_S):
            cell = decode_as(row.value, CellRow)
            self._cells[cell.cell] = (cell, row.version)
        for name in [n for n in self.held if self._holder(n) != self.session]:
            del self.held[name]
            self._on_lost(name)

    def _holder(self, cell: str) -> str:
        row_and_version = self._cells.get(cell)
        return row_and_version[0].session if row_and_version else ""

    def _acquire_free_cells(self) -> None:
        now_s = clock_s()
        for cell in self._settings.cells:
            if cell in self.held or not self._below_fair_share():
                continue
            row, version = self._cells.get(cell, (CellRow(cell, "", 0), 0))
            conditions = self._vacancy_conditions(row, now_s)
            if conditions is not None:
                self._acquire(row, version, conditions)

    def _below_fair_share(self) -> bool:
        """Whether this entry holds fewer cells than its share of the live entries."""
        renewed_since_s = clock_s() - self._settings.session_lease_s
        live_entries = max(
            1,
            sum(
                s.last_renewed_s >= renewed_since_s
                for s in self.observed_sessions.values()
            ),
        )
        return len(self.held) < -(-len(self._settings.cells) // live_entries)

    def _vacancy_conditions(self, row: CellRow, now_s: float) -> dict[str, int] | None:
        """Return the row versions that prove a cell free, or None while it is held.

        This entry must have seen the former holder's session row unchanged, or missing,
        for a whole lease. If the row exists, the transaction that acquires the cell is
        conditional on its version, so a renewal in the meantime makes it fail.
        """
        if not row.session:
            return {}
        observed = self.observed_sessions.get(row.session)
        if observed is None:
            since_s = self._missing_since_s.setdefault(row.session, now_s)
            return {} if now_s - since_s > self._settings.session_lease_s else None
        self._missing_since_s.pop(row.session, None)
        if now_s - observed.last_renewed_s <= self._settings.session_lease_s:
            return None
        return {Key.entry(observed.row.name): observed.version}

    def _acquire(self, row: CellRow, version: int, conditions: dict[str, int]) -> None:
        new_row = CellRow(row.cell, self.session, row.epoch + 1)
        key = Key.cell(row.cell)
        # Deleting the expired session row makes its owner's next renewal conflict, so
        # that a paused owner learns of the takeover at once.
        transaction = Transaction(
            new_id("take"),
            {key: version, **conditions},
            {key: encode(new_row)},
            tuple(conditions),
        )
        try:
            new_version = self._table.transact(transaction, TABLE_TIMEOUT_S)
        except RowConflictError:
            return
        logger.bind(cell=row.cell, epoch=new_row.epoch).info("the cell was acquired")
        self._cells[row.cell] = (new_row, new_version)
        held = HeldCell(row.cell, new_row.epoch, new_version)
        self.held[row.cell] = held
        self._on_acquired(held)

    def hand_over(self) -> None:
        """Release all cells and delete the session row.

        Other entries need not wait for the lease to expire. No cell is acquired after
        this.
        """
        self._stopping = True
        for held in list(self.held.values()):
            key = Key.cell(held.cell)
            row = CellRow(held.cell, "", held.epoch)
            try:
                self._table.transact(
                    Transaction(
                        new_id("release"), {key: held.version}, {key: encode(row)}
                    ),
                    TABLE_TIMEOUT_S,
                )
            except PlatformError as error:
                logger.bind(cell=held.cell).warning(
                    "the cell could not be released: {}", error
                )
        self.held = {}
        self._delete_session()

    def _delete_session(self) -> None:
        if self._row_version is None:
            return
        try:
            row: Row = self._table.read_one(self._row_key, TABLE_TIMEOUT_S)
            if row.version == self._row_version:
                transaction = Transaction(
                    new_id("leave"), {self._row_key: row.version}, {}, (self._row_key,)
                )
                self._table.transact(transaction, TABLE_TIMEOUT_S)
        except PlatformError as error:
            logger.warning("the session row could not be deleted: {}", error)
