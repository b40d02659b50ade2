"""Units that the guarantees of their workspaces cover."""

from __future__ import annotations

from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.units import Phase


def guaranteed_units(state: CellState) -> set[int]:
    """Return the units covered by their workspace's guarantee, oldest jobs first.

    Returns
    -------
    set of int
        Identities (``id``) of the units.
    """
    remaining = dict(state.guarantees)
    guaranteed: set[int] = set()
    jobs = [
        job
        for job in state.open_jobs.values()
        if not (job.cancelled or job.reason)
        and state.queue_of(job.record).priority == 0
    ]
    for job in sorted(jobs, key=lambda j: j.record.accepted_s):
        done = job.done_steps()
        for unit in job.units:
            available = remaining.get(job.record.workspace, 0)
            if unit.phase is Phase.DONE or not done.issuperset(unit.spec.after):
                continue
            if 0 < unit.accelerators <= available:
                remaining[job.record.workspace] = available - unit.accelerators
                guaranteed.add(id(unit))
    return guaranteed
