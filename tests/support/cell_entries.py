"""Entries that take over a cell of a table in memory, in the test's own process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from typing import Any

from cicadabank.control.internal.cell_holder import CellActor
from cicadabank.control.internal.entry import EntryActor, EntryParts
from cicadabank.control.internal.feed import CellsFeed, OperatorView, repeating_thread
from cicadabank.control.internal.peers import PeerService
from cicadabank.scheduling import (
    HOLDER_KEY,
    JOB_PREFIX,
    LEASE_KEY,
    RUN_PREFIX,
    Configuration,
    HolderRow,
    JobProgressRow,
    JobRecord,
    LeaseRow,
    Resources,
    StepSpec,
    TargetIncarnation,
    Timings,
    pack,
)
from cicadabank.scheduling.internal.rows import UnitRow
from cicadabank.standin import MemoryTable
from cicadabank.store import UnknownOutcomeError
from cicadabank.tasks import clock_s, running
from cicadabank.wire import ChannelPool, fleet_pb2_grpc, serve

from tests.support.addresses import unused_address
from tests.support.platform import wait_for

CELL = "cell"
TIMINGS = Timings()
TARGET = TargetIncarnation("t", "t/1", "127.0.0.1:1")
RECORD = JobRecord("j", "q", "w", 0.0, "spec", (StepSpec(1, Resources(1, 1, 1), 1.0),))


@contextmanager
def silent_address() -> Iterator[str]:
    """Yield an address that accepts connections, but never replies."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def write_holder(table: MemoryTable, epoch: int, address: str) -> float:
    """Write a takeover as builds without `EarlierLeasesRow` do.

    Returns
    -------
    float
        Time before the write by this process's clock.
    """
    sent_s = clock_s()
    holder = HolderRow(epoch, f"holder-{epoch}", address)
    table.commit(
        CELL, {}, {HOLDER_KEY: pack(holder), LEASE_KEY: pack(LeaseRow(epoch, 0.0))}
    )
    return sent_s


def write_running_job(table: MemoryTable) -> None:
    """Write the rows of a job that runs on `TARGET`."""
    progress = JobProgressRow(
        "running", units=(UnitRow(1, 0, "running", "", (TARGET,)),), started=True
    )
    puts = {
        JOB_PREFIX + RECORD.job: pack(RECORD),
        RUN_PREFIX + RECORD.job: pack(progress),
    }
    table.commit(CELL, {}, puts)


class EntryTable:
    """An entry's access to a table that it shares with others.

    Attributes
    ----------
    lost_answers : int
        Number of commits that still take effect without a reply.
    before_commit : callable
        Called with the rows to be written, before a commit is sent.
    after_commit : callable
        Called before the reply to a commit is returned.
    """

    def __init__(self, table: MemoryTable):
        self._table = table
        self.lost_answers = 0
        self.before_commit: Callable[[Mapping[str, bytes]], None] = lambda puts: None
        self.after_commit: Callable[[], None] = lambda: None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._table, name)

    def commit(
        self,
        partition: str,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        *arguments: Any,
    ) -> int:
        """Commit to the shared table."""
        self.before_commit(puts)
        version = self._table.commit(partition, expected, puts, *arguments)
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnknownOutcomeError("no reply to the write; it was applied")
        self.after_commit()
        return version


class CellEntry:
    """An entry that serves other entries, but neither clients nor agents."""

    def __init__(self, table: MemoryTable, name: str, speed_cores: float = 1.0):
        self.table = EntryTable(table)
        self.address = unused_address()
        parts = EntryParts(
            name=name,
            front_socket=None,
            readiness_socket=None,
            peer=self.address,
            peer_listen=self.address,
            stop_grace_s=3.0,
            cells=self.table,
            operator=MemoryTable(),
            read_operator=None,
            dispatch_for=None,
            timings=TIMINGS,
            speed_cores=speed_cores,
        )
        self.actor = EntryActor(parts, ChannelPool())
        self._stack = ExitStack()

    def start(self) -> None:
        """Start to take over the cell if it has no live holder."""
        actor = self.actor
        feed = CellsFeed(
            actor.cells_table, actor.replica, actor.on_change, lambda: None
        )
        service = PeerService(actor.on_peer_rows, actor.epoch_of)
        services = [(fleet_pb2_grpc.add_PeerServicer_to_server, service)]
        self._stack.enter_context(running(actor))
        self._stack.enter_context(repeating_thread("cells", feed.step))
        self._stack.enter_context(serve(self.address, services, 4))
        actor.on_operator_view(OperatorView(Configuration(), frozenset()))

    def wait_for_holder(self, timeout_s: float = 15.0) -> CellActor:
        """Return the cell's actor once this entry holds the cell and has loaded it."""

        def loaded() -> bool:
            cell = self.actor.held_cells.get(CELL)
            return cell is not None and cell.scheduler.state.loaded

        wait_for(loaded, timeout_s)
        return self.actor.held_cells[CELL]

    def hand_over(self) -> None:
        """Release the cell as a stopping entry does, and end."""
        self.actor.ask(self.actor.hand_over)
        self._stack.close()

    def kill(self) -> None:
        """End without releasing the cell in the store."""
        self.actor.stopping = True
        for cell in list(self.actor.held_cells):
            self.actor.ask(self.actor._release, cell)
        self._stack.close()


@contextmanager
def cell_entry_running(table: MemoryTable, name: str) -> Iterator[CellEntry]:
    """Run an entry until the ``with`` block ends; it is killed unless it has ended."""
    entry = CellEntry(table, name)
    try:
        entry.start()
        yield entry
    finally:
        entry.kill()
