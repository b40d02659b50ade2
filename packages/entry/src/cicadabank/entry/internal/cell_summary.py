"""The summary of a cell that its holder publishes to the other entries."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cicadabank.decisions import CellCore, WorkerInfo
from cicadabank.model import encode


class CellSummary(NamedTuple):
    """The workers and queue length of a cell.

    From it, any entry decides whether a job or a guarantee fits in the cell.

    Attributes
    ----------
    queued : int
        The smallest power of two above the queue length; 0 if the queue is empty.
    """

    cell: str
    workers: tuple[WorkerInfo, ...]
    queued: int = 0


class SummaryHead(NamedTuple):
    """The row with the short form of a summary, read at each poll.

    Attributes
    ----------
    workers_digest : str
        Hash of the workers; their row is read again only when this has changed.
    """

    cell: str
    queued: int
    workers_digest: str


def summary_head(summary: CellSummary) -> SummaryHead:
    """Return the short form of a summary, which is read at each poll."""
    digest = hashlib.sha256(encode(list(summary.workers))).hexdigest()[:16]
    return SummaryHead(summary.cell, summary.queued, digest)


def summarize(core: CellCore) -> CellSummary:
    """Return the summary of a held cell."""
    state = core.state
    workers = tuple(w.info for _, w in sorted(state.fleet.workers.items()))
    # The queue length changes all the time; rounding it avoids a write for each change.
    queued = 1 << len(state.queue).bit_length() if state.queue else 0
    return CellSummary(state.cell, workers, queued)
