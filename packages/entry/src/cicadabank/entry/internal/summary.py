"""What a cell's holder tells the other entries about its workers."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cicadabank.decisions import CellCore, WorkerInfo
from cicadabank.model import encode


class CellSummary(NamedTuple):
    """The workers of a cell, for the checks that any entry makes."""

    cell: str
    workers: tuple[WorkerInfo, ...]
    queued: int = 0


class SummaryHead(NamedTuple):
    """The row that is read often; the workers are read when it has changed."""

    cell: str
    queued: int
    workers_digest: str


def head_of(summary: CellSummary) -> SummaryHead:
    """Return the small row of a summary."""
    digest = hashlib.sha256(encode(list(summary.workers))).hexdigest()[:16]
    return SummaryHead(summary.cell, summary.queued, digest)


def summary_of(core: CellCore) -> CellSummary:
    """Return the summary of a held cell."""
    state = core.state
    workers = tuple(w.info for _, w in sorted(state.fleet.workers.items()))
    # The load changes all the time; rounding keeps the row from being written as often.
    queued = 1 << len(state.queue).bit_length() if state.queue else 0
    return CellSummary(state.cell, workers, queued)
