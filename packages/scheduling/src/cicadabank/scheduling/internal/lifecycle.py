"""State transitions of jobs and units."""

from __future__ import annotations

from cicadabank.scheduling.internal import reliability
from cicadabank.scheduling.internal.forecast import MeasuredDurations
from cicadabank.scheduling.internal.placement import is_local
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import EndedRun, Target
from cicadabank.scheduling.internal.units import Job, Phase, Unit

# Time after its placement in which a job has to begin, or else counts as waiting again.
MAX_BEGIN_S = 2.0
OPEN_PHASES = (Phase.CLAIMING, Phase.COMMITTING, Phase.RUNNING, Phase.STOPPING)


def await_begin(state: CellState, job: Job) -> None:
    """Expect one of a job's tasks to begin soon, now that it was placed."""
    if not job.has_begun:
        state.begin_due_s.setdefault(job.record.job, state.now_s + MAX_BEGIN_S)


def await_begin_after_takeover(state: CellState, job: Job) -> None:
    """Expect a restored job to show soon that one of its tasks has run.

    Its row says that it was placed, not whether it has begun since, unless a run of it
    is known to have ended.
    """
    if not job.has_begun or job.ended:
        return
    if all(unit.run <= 1 and unit.phase is not Phase.DONE for unit in job.units):
        has_checkpoint = any(unit.checkpoint for unit in job.units)
        may_run = any(unit.phase is Phase.RUNNING for unit in job.units)
        if may_run and not has_checkpoint:
            job.has_begun = False
            await_begin(state, job)


def on_begun(state: CellState, job: Job) -> None:
    """Record that a target has run one of a job's tasks."""
    if job.has_begun:
        return
    job.has_begun = True
    state.begin_due_s.pop(job.record.job, None)
    if job.counts_as_waiting:
        job.counts_as_waiting = False
        state.mark_dirty(job)


def note_unbegun_jobs(state: CellState) -> None:
    """Have jobs count as waiting again that were placed but don't begin.

    A job is stored as started with its placement, which saves a write once it begins.
    """
    due = [job for job, due_s in state.begin_due_s.items() if due_s <= state.now_s]
    for job_id in due:
        del state.begin_due_s[job_id]
        job = state.jobs.get(job_id)
        if job is not None and not job.ended:
            job.counts_as_waiting = True
            state.mark_dirty(job)
            state.log("job_not_begun", job=job_id)


def on_run_ended(state: CellState, target: Target, end: EndedRun) -> None:
    """Process the end of a run on a target."""
    run = end.id
    job = state.jobs.get(run.job)
    unit = job.unit_of(run.step, run.index) if job else None
    if unit is None:
        return
    on_begun(state, job)
    found = state.find_member(run, target.target_incarnation)
    if found is not None:
        state.release_member(*found)
        reliability.on_run_ended(state, target, end.outcome)
    target.record_outcome(end.outcome, state.now_s)
    state.log(
        "run_ended",
        job=run.job,
        step=run.step,
        index=run.index,
        run=run.run,
        how=end.outcome,
        target=target.target_incarnation.target,
        sequence=end.sequence,
    )
    if job.ended or unit.phase is Phase.DONE:
        return
    if end.outcome == "done" and run.run <= unit.run:
        complete_unit(state, job, unit, run.run)
        finish_if_idle(state, job)
    elif found is not None:
        if end.checkpoint:
            unit.checkpoint = end.checkpoint
            if unit.progress is not None:
                unit.saved_percent = unit.progress.percent
        if end.outcome == "failed":
            _count_failure(state, job, unit, target)
        stop_unit(state, unit, end.outcome)
        requeue_if_idle(state, job, unit)


def _count_failure(state: CellState, job: Job, unit: Unit, target: Target) -> None:
    """Count a failed run of a unit, once for all its members, and avoid its target."""
    unit.avoided_targets.add(target.target_incarnation.target)
    if unit.stop_reason != "failed":
        unit.failed_runs += 1
        state.mark_dirty(job)


def complete_unit(state: CellState, job: Job, unit: Unit, run: int) -> None:
    """Mark a unit as done once one of its members is.

    The other members of a gang end by themselves within ``reports.GANG_END_GRACE_S``
    or are then stopped. If a newer run has begun, its members are stopped at once.
    """
    if unit.phase is Phase.CLAIMING:
        release_claim(state, unit)
    newer_run = unit.run != run
    is_complete_run = unit.is_timed and not unit.checkpoint and not newer_run
    if unit.phase is Phase.RUNNING and is_complete_run and unit.duration_s is None:
        if is_local(unit, state.targets_by_incarnation):
            record_duration(state, unit, state.now_s - unit.started_s)
    unit.phase = Phase.DONE
    unit.done_s = float("-inf") if newer_run else state.now_s
    state.mark_dirty(job)
    if newer_run:
        # An earlier run turns out to have succeeded, so the current one is redundant.
        for member_index, member in enumerate(unit.members):
            if not member.released:
                send_stop(state, unit, member_index)
    if all(u.phase is Phase.DONE for u in job.units) and not job.ended:
        finish_job(state, job, "completed", "")


def record_duration(state: CellState, unit: Unit, duration_s: float) -> None:
    """Record the measured duration of a unit on its targets.

    The forecast learns from the first measurement, the speeds of targets from each.
    """
    if len(unit.agents) == 1:
        (agent,) = unit.agents
        step = (unit.job, unit.step)
        state.speeds.observe(step, unit.first_index, agent, duration_s)
    # Forecasts are for a target of average speed.
    duration_s /= state.slowness(unit)
    if unit.duration_s is None:
        job = state.jobs[unit.job]
        if unit.step not in job.measured_by_step:
            state.log(
                "step_measured",
                job=unit.job,
                step=unit.step,
                first=unit.first_index,
                declared_s=unit.spec.estimate_s,
                expected_s=round(state.expected_s(unit), 3),
                measured_s=round(duration_s, 3),
            )
        state.forecast.observe(job.record.queue, unit.spec.estimate_s, duration_s)
        job.measured_by_step.setdefault(unit.step, MeasuredDurations()).add(duration_s)
    unit.duration_s = duration_s


def stop_unit(state: CellState, unit: Unit, reason: str) -> None:
    """Stop a unit that has been placed, or release its claim if it has not started."""
    if unit.phase is Phase.CLAIMING:
        release_claim(state, unit)
    elif unit.phase is Phase.COMMITTING:
        unit.stop_reason = reason
    elif unit.phase is Phase.RUNNING:
        unit.phase = Phase.STOPPING
        unit.stop_reason = reason
        for member_index, member in enumerate(unit.members):
            if not member.released:
                send_stop(state, unit, member_index)
    elif unit.phase is Phase.STOPPING and reason == "failed":
        # Marks the run as failed, so that further members that fail aren't counted.
        unit.stop_reason = reason


def release_claim(state: CellState, unit: Unit) -> None:
    """Release the claimed resources of a unit that has not started."""
    for member_index in range(len(unit.members)):
        state.release_member(unit, member_index)
    unit.members = []
    unit.phase = Phase.WAITING


def send_stop(state: CellState, unit: Unit, member_index: int) -> None:
    """Order a member to stop, unless an order was sent within the retry interval."""
    member = unit.members[member_index]
    target = state.targets_by_incarnation.get(member.target_incarnation)
    if target is None or state.fenced:
        return
    if state.now_s - member.stop_sent_s < state.timings.order_retry_s:
        return
    member.stop_sent_s = state.now_s
    state.orders_for(target).stops.append(unit.run_id(member_index))


def requeue_if_idle(state: CellState, job: Job, unit: Unit) -> None:
    """Requeue a stopped unit once none of its members can be running.

    Fails the job if the unit has used up its attempts, and finishes a cancelled or
    failing job of which nothing can be running. Does nothing while a member of the unit
    may still be running.
    """
    if any(not member.released for member in unit.members):
        return
    if unit.phase is Phase.DONE:
        unit.members = []
    if unit.phase not in (Phase.STOPPING, Phase.RUNNING):
        finish_if_idle(state, job)
        return
    unit.members = []
    lost_core_s = _lost_core_s(state, unit)
    unit.phase = Phase.WAITING
    if not job.has_begun and all(u.phase is Phase.WAITING for u in job.units):
        job.counts_as_waiting = True
    reason, unit.stop_reason = unit.stop_reason, ""
    state.mark_dirty(job)
    attempts = state.queue_of(job.record).attempts
    if unit.failed_runs >= attempts and not job.reason:
        fail_job(state, job, f"step {unit.step} failed {unit.failed_runs} times")
    state.log(
        "unit_waits",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        run=unit.run,
        reason=reason,
        failed_runs=unit.failed_runs,
        attempts=attempts,
        lost_core_s=lost_core_s,
    )
    finish_if_idle(state, job)


def _lost_core_s(state: CellState, unit: Unit) -> float | None:
    """Return the core-seconds since a stopped run's start or latest checkpoint.

    They end when no member can be running any more. None if an earlier holder started
    the run.
    """
    if not unit.is_timed:
        return None
    since_s = max(unit.started_s, unit.checkpointed_s)
    return round(unit.core_equivalents * max(0.0, state.now_s - since_s), 1)


def fail_job(state: CellState, job: Job, reason: str) -> None:
    """Stop all units of a job that cannot succeed, and mark it as failing."""
    job.reason = reason
    _stop_all(state, job, "failed")
    finish_if_idle(state, job)


def cancel_job(state: CellState, job: Job) -> None:
    """Stop all units of a job at its client's request."""
    if job.ended or job.cancelled:
        return
    job.cancelled = True
    state.log("job_cancelled", job=job.record.job)
    _stop_all(state, job, "cancelled")
    finish_if_idle(state, job)


def _stop_all(state: CellState, job: Job, reason: str) -> None:
    for unit in job.units:
        if unit.phase in OPEN_PHASES:
            stop_unit(state, unit, reason)


def finish_if_idle(state: CellState, job: Job) -> None:
    """Finish a cancelled or failing job once none of its units can be running."""
    if job.ended or not (job.cancelled or job.reason):
        return
    if any(unit.may_be_running for unit in job.units):
        return
    if job.cancelled:
        finish_job(state, job, "cancelled", "its caller cancelled it")
    else:
        finish_job(state, job, "failed", job.reason)


def finish_job(state: CellState, job: Job, outcome: str, reason: str) -> None:
    """Set a job's final state and have it stored."""
    job.state, job.reason = outcome, reason
    job.ended_s = state.store_now_s
    state.open_jobs.pop(job.record.job, None)
    state.mark_dirty(job)
    age_s = job.ended_s - job.record.accepted_s
    state.log(
        "job_ended",
        job=job.record.job,
        queue=job.record.queue,
        state=outcome,
        reason=reason,
        age_s=round(age_s, 3),
    )
