"""What a cell's holder tells the other entries about its workers."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.decisions import CellCore, WorkerInfo


class CellSummary(NamedTuple):
    """The workers of a cell, for the checks that any entry makes."""

    cell: str
    workers: tuple[WorkerInfo, ...]
    queued: int = 0


def summary_of(core: CellCore) -> CellSummary:
    """Return the summary of a held cell."""
    state = core.state
    workers = tuple(w.info for _, w in sorted(state.fleet.workers.items()))
    # The load changes all the time; rounding keeps the row from being written as often.
    queued = 1 << len(state.queue).bit_length() if state.queue else 0
    return CellSummary(state.cell, workers, queued)
