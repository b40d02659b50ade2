"""Reads the summaries of all cells, those held by this entry included."""

from __future__ import annotations

from cicadabank.decisions import WorkerInfo
from cicadabank.entry.internal.cell_summary import CellSummary, SummaryHead
from cicadabank.model import Key, decode_as
from cicadabank.store import TableClient, UnavailableError
from cicadabank.tasks import Actor, clock_s
from loguru import logger

TICK_S = 0.5
READ_INTERVAL_S = 2.0
TABLE_TIMEOUT_S = 1.0


def announced_workers(summary: CellSummary) -> list[dict]:
    """Return target rows for the workers in a summary, without their live state."""
    return [
        {
            "name": worker.name,
            "kind": "worker",
            "cell": summary.cell,
            "domain": worker.domain,
            "rack": worker.rack,
            "accelerators": worker.accelerators,
        }
        for worker in summary.workers
    ]


class SummaryReaderActor(Actor):
    """Polls the summaries that the cells' holders publish in the table."""

    def __init__(self, table: TableClient):
        super().__init__(TICK_S)
        self._table = table
        self._read_due_s = 0.0
        self._heads: dict[str, SummaryHead] = {}
        self._workers: dict[str, tuple[WorkerInfo, ...]] = {}

    def summaries(self) -> list[CellSummary]:
        """Return the summaries as last read."""
        return [
            CellSummary(cell, self._workers[cell], head.queued)
            for cell, head in self._heads.items()
            if cell in self._workers
        ]

    def on_tick(self) -> None:
        """Read the summaries when due."""
        if clock_s() < self._read_due_s:
            return
        self._read_due_s = clock_s() + READ_INTERVAL_S
        try:
            self._read()
        except UnavailableError as error:
            logger.warning("the cells' summaries could not be read: {}", error)

    def _read(self) -> None:
        heads = {}
        for row in self._table.scan(Key.SUMMARIES, TABLE_TIMEOUT_S):
            head = decode_as(row.value, SummaryHead)
            previous = self._heads.get(head.cell)
            if previous is None or previous.workers_digest != head.workers_digest:
                self._read_workers(head.cell)
            heads[head.cell] = head
        self._heads = heads

    def _read_workers(self, cell: str) -> None:
        row = self._table.read_one(Key.workers(cell), TABLE_TIMEOUT_S)
        if row.exists:
            self._workers[cell] = decode_as(row.value, CellSummary).workers
