"""Failure of jobs that none of the targets could ever run."""

from __future__ import annotations

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.placement import infeasible_reason
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import AbsentTarget

# A target that is away for no longer than this is likely to come back, so a job that
# only lacks it is not infeasible.
ABSENT_TARGET_RETENTION_S = 30.0


def fail_infeasible_jobs(state: CellState) -> None:
    """Fail pending jobs that none of the targets could ever run."""
    # An ended target is known without capacity until its next incarnation reports.
    present = [t.shape for t in state.targets.values() if any(t.largest_capacity)]
    if not present or len(present) < len(state.last_contact_attempt_s) / 2:
        return
    pending = [
        job
        for job in state.open_jobs.values()
        if job.state == "pending" and not (job.cancelled or job.reason)
    ]
    if not pending:
        return
    absent = [target.shape for target in _targets_likely_to_return(state)]
    if None in absent:
        # No holder has heard of that target yet, so it may be able to run any job.
        return
    shapes = [*present, *absent]
    for job in pending:
        for index, step in enumerate(job.record.steps):
            reason = infeasible_reason(step, shapes)
            if reason:
                lifecycle.fail_job(state, job, f"step {index}: {reason}")
                break


def _targets_likely_to_return(state: CellState) -> list[AbsentTarget]:
    """Return the targets that have been absent for a short time only."""
    oldest_s = state.store_now_s - ABSENT_TARGET_RETENTION_S
    return [
        absent
        for absent in state.absent_targets.values()
        if absent.since_store_s >= oldest_s
    ]
