"""What this entry knows of all cells, its own and others'."""

from __future__ import annotations

from cicadabank.entry.internal.summary import CellSummary
from cicadabank.model import Key, decode_as
from cicadabank.platform import TableClient, UnavailableError
from cicadabank.tasks import Task, clock_s
from loguru import logger

TICK_S = 0.25
READ_INTERVAL_S = 1.0
STORE_TIMEOUT_S = 1.0


def announced_workers(summary: CellSummary) -> list[dict]:
    """Return what another entry, the cell's holder, has told of its workers."""
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


class SummaryTask(Task):
    """Reads the summaries that the cells' holders publish."""

    def __init__(self, table: TableClient):
        super().__init__(TICK_S)
        self._table = table
        self._due_s = 0.0
        self._summaries: list[CellSummary] = []

    def summaries(self) -> list[CellSummary]:
        """Return the summaries as last read."""
        return self._summaries

    def on_tick(self) -> None:
        """Read the summaries when due."""
        if clock_s() < self._due_s:
            return
        self._due_s = clock_s() + READ_INTERVAL_S
        try:
            rows = self._table.scan(Key.SUMMARIES, STORE_TIMEOUT_S)
        except UnavailableError as error:
            logger.warning("the cells' summaries could not be read: {}", error)
            return
        self._summaries = [decode_as(row.value, CellSummary) for row in rows]
