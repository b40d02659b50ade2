"""An entry's session in the table, and the cells it holds.

One row for each entry is renewed, whatever the number of its cells. A cell's row
changes only when its holder changes, so every commit of a placement can be
conditional on it.
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
from cicadabank.tasks import Task, clock_s
from loguru import logger

TICK_S = 0.25
VALIDITY_MARGIN_S = 0.5
STORE_TIMEOUT_S = 1.2


class SessionRow(NamedTuple):
    """The row of a live entry."""

    session: str
    name: str
    grpc: str
    renewals: int


class CellRow(NamedTuple):
    """The row of a cell: who holds it, and under which epoch."""

    cell: str
    session: str
    epoch: int


class HeldCell(NamedTuple):
    """A cell held by this entry; `version` is that of its row."""

    cell: str
    epoch: int
    version: int


class Neighbour(NamedTuple):
    """What this entry has seen of another session."""

    row: SessionRow
    version: int
    changed_s: float


class SessionTask(Task):
    """Renews the session, and takes the cells that nobody holds any more.

    Parameters
    ----------
    settings : EntrySettings
    table : TableClient
    gained, lost : callable
        Called with a `HeldCell` when a cell is taken, with its name when it is lost.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: TableClient,
        gained: Callable[[HeldCell], None],
        lost: Callable[[str], None],
    ):
        super().__init__(TICK_S)
        self._settings = settings
        self._table = table
        self._gained = gained
        self._lost = lost
        self.session = new_id("session")
        self._key = Key.entry(settings.name)
        self._version: int | None = None
        self._renewals = 0
        self._due_s = 0.0
        self._stopping = False
        self.valid_until_s = float("-inf")
        self.store_seen_s = float("-inf")
        self.held: dict[str, HeldCell] = {}
        self.neighbours: dict[str, Neighbour] = {}
        self._missing_s: dict[str, float] = {}
        self._cells: dict[str, tuple[CellRow, int]] = {}

    @property
    def valid(self) -> bool:
        """Whether nobody else can hold this entry's cells now."""
        return clock_s() < self.valid_until_s

    def holder_address(self, cell: str) -> str:
        """Return the address of a cell's holder, or an empty string."""
        found = self._cells.get(cell)
        if found is None:
            return ""
        if found[0].session == self.session:
            return self._settings.advertise or self._settings.grpc_listen
        neighbour = self.neighbours.get(found[0].session)
        return neighbour.row.grpc if neighbour else ""

    def entry_addresses(self) -> list[str]:
        """Return the addresses of the entries whose sessions are renewed."""
        fresh_s = clock_s() - self._settings.session_lease_s
        return sorted(
            n.row.grpc for n in self.neighbours.values() if n.changed_s >= fresh_s
        )

    def cells(self) -> list[str]:
        """Return the known cells."""
        return sorted(set(self._cells) | set(self._settings.cells))

    def on_tick(self) -> None:
        """Renew the session and look for free cells, when due."""
        now_s = clock_s()
        if self._stopping or now_s < self._due_s:
            return
        self._due_s = now_s + self._settings.session_renew_s
        try:
            self._renew()
            self._look_around()
            self._take_free_cells()
        except (UnavailableError, UnknownOutcomeError) as error:
            # What was seen before an outage says nothing about who renewed during it.
            self.neighbours = {
                session: neighbour._replace(changed_s=float("inf"))
                for session, neighbour in self.neighbours.items()
            }
            self._missing_s.clear()
            logger.warning("the session could not be renewed: {}", error)

    def _renew(self) -> None:
        started_s = clock_s()
        self._renewals += 1
        address = self._settings.advertise or self._settings.grpc_listen
        row = SessionRow(self.session, self._settings.name, address, self._renewals)
        if self._version is None:
            self._version = self._table.read_one(self._key, STORE_TIMEOUT_S).version
        operation = f"{self.session}-{self._renewals}"
        try:
            self._version = self._table.transact(
                Transaction(
                    operation, {self._key: self._version}, {self._key: encode(row)}
                ),
                STORE_TIMEOUT_S,
            )
        except RowConflictError:
            self._lose_all("the session row was replaced")
            return
        except UnknownOutcomeError:
            self._version = self._own_version()
            raise
        self.store_seen_s = clock_s()
        self.valid_until_s = (
            started_s + self._settings.session_lease_s - VALIDITY_MARGIN_S
        )

    def _own_version(self) -> int | None:
        """Return the row's version if this session wrote it last.

        Else what was known.
        """
        try:
            row = self._table.read_one(self._key, STORE_TIMEOUT_S)
        except PlatformError:
            return self._version
        if row.exists and decode_as(row.value, SessionRow).session == self.session:
            return row.version
        return self._version

    def _lose_all(self, cause: str) -> None:
        logger.warning("all cells are lost: {}", cause)
        self.valid_until_s = float("-inf")
        self._version = None
        self.session = new_id("session")
        held, self.held = list(self.held), {}
        for cell in held:
            self._lost(cell)

    def _look_around(self) -> None:
        now_s = clock_s()
        seen: dict[str, Neighbour] = {}
        for row in self._table.scan(Key.ENTRIES, STORE_TIMEOUT_S):
            session = decode_as(row.value, SessionRow)
            before = self.neighbours.get(session.session)
            changed = before is None or before.version != row.version
            changed_s = (
                now_s
                if changed or before.changed_s == float("inf")
                else before.changed_s
            )
            seen[session.session] = Neighbour(session, row.version, changed_s)
        self.neighbours = seen
        self._cells = {}
        for row in self._table.scan(Key.CELLS, STORE_TIMEOUT_S):
            cell = decode_as(row.value, CellRow)
            self._cells[cell.cell] = (cell, row.version)
        for name in [n for n in self.held if self._holder(n) != self.session]:
            del self.held[name]
            self._lost(name)

    def _holder(self, cell: str) -> str:
        found = self._cells.get(cell)
        return found[0].session if found else ""

    def _take_free_cells(self) -> None:
        now_s = clock_s()
        for cell in self._settings.cells:
            if cell in self.held or not self._fair_share_left():
                continue
            row, version = self._cells.get(cell, (CellRow(cell, "", 0), 0))
            conditions = self._proof_of_vacancy(row, now_s)
            if conditions is not None:
                self._take(row, version, conditions)

    def _fair_share_left(self) -> bool:
        """Whether this entry may hold one more cell, so that all hold about as many."""
        fresh_s = clock_s() - self._settings.session_lease_s
        live = max(1, sum(n.changed_s >= fresh_s for n in self.neighbours.values()))
        return len(self.held) < -(-len(self._settings.cells) // live)

    def _proof_of_vacancy(self, row: CellRow, now_s: float) -> dict[str, int] | None:
        """Return conditions under which a cell is free, or None while it is held.

        The former holder's session must stand still in this entry's sight for a whole
        lease, and still do so in the transaction that takes the cell.
        """
        if not row.session:
            return {}
        neighbour = self.neighbours.get(row.session)
        if neighbour is None:
            since_s = self._missing_s.setdefault(row.session, now_s)
            return {} if now_s - since_s > self._settings.session_lease_s else None
        self._missing_s.pop(row.session, None)
        if now_s - neighbour.changed_s <= self._settings.session_lease_s:
            return None
        return {Key.entry(neighbour.row.name): neighbour.version}

    def _take(self, row: CellRow, version: int, conditions: dict[str, int]) -> None:
        taken = CellRow(row.cell, self.session, row.epoch + 1)
        key = Key.cell(row.cell)
        # Deleting the lapsed session lets its owner find out as soon as it wakes.
        transaction = Transaction(
            new_id("take"),
            {key: version, **conditions},
            {key: encode(taken)},
            tuple(conditions),
        )
        try:
            new_version = self._table.transact(transaction, STORE_TIMEOUT_S)
        except RowConflictError:
            return
        logger.bind(cell=row.cell, epoch=taken.epoch).info("the cell is taken over")
        self._cells[row.cell] = (taken, new_version)
        held = HeldCell(row.cell, taken.epoch, new_version)
        self.held[row.cell] = held
        self._gained(held)

    def hand_over(self) -> None:
        """Give all cells up, so that others take them without waiting for the lease."""
        self._stopping = True
        for held in list(self.held.values()):
            key = Key.cell(held.cell)
            row = CellRow(held.cell, "", held.epoch)
            try:
                self._table.transact(
                    Transaction(
                        new_id("release"), {key: held.version}, {key: encode(row)}
                    ),
                    STORE_TIMEOUT_S,
                )
            except PlatformError as error:
                logger.bind(cell=held.cell).warning(
                    "the cell could not be released: {}", error
                )
        self.held = {}
        self._delete_session()

    def _delete_session(self) -> None:
        if self._version is None:
            return
        try:
            row: Row = self._table.read_one(self._key, STORE_TIMEOUT_S)
            if row.version == self._version:
                transaction = Transaction(
                    new_id("leave"), {self._key: row.version}, {}, (self._key,)
                )
                self._table.transact(transaction, STORE_TIMEOUT_S)
        except PlatformError as error:
            logger.warning("the session row could not be removed: {}", error)
