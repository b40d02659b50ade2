"""Rows of jobs after an attempt, a cancellation or a refusal."""

from __future__ import annotations

import msgspec
from cicadabank.decisions.internal.attempts import Attempt
from cicadabank.decisions.internal.state import CellState
from cicadabank.model import JobRow, JobState, Ran

# An idempotent job ends as failed at its MAX_FAILURES-th countable failure, or at its
# MAX_TOTAL_FAILURES-th failure whether countable or not.
MAX_FAILURES = 3
MAX_TOTAL_FAILURES = 10


def row_after_attempt(
    state: CellState, row: JobRow, attempt: Attempt
) -> tuple[JobRow, bytes | None]:
    """Return the row to commit after an attempt, and the answer or None.

    A job is requeued only if it is idempotent, resumes from a checkpoint, or has
    certainly not started.
    """
    if attempt.reason == "done":
        return _ended_row(state, row, attempt, JobState.DONE, Ran.YES, ""), gang_answer(
            attempt
        )
    if not attempt.started:
        row = row._replace(ran=_ran_in_earlier_attempts(row))
        if row.cancel_requested:
            return _ended_row(
                state, row, attempt, JobState.CANCELLED, row.ran, "cancelled"
            ), None
        return _requeued_row(state, row, attempt, "no member had started"), None
    if row.cancel_requested or attempt.reason.startswith("cancel"):
        return _ended_row(
            state, row, attempt, JobState.CANCELLED, Ran.YES, "cancelled"
        ), None
    return _row_after_run(state, row, attempt), None


def _ran_in_earlier_attempts(row: JobRow) -> Ran:
    earlier = [
        d for d in row.history if d.event == "start" and d.attempt != row.attempt
    ]
    return row.ran if earlier and row.ran is not Ran.NO else Ran.NO


def _row_after_run(state: CellState, row: JobRow, attempt: Attempt) -> JobRow:
    kind = attempt.reason.partition(":")[0]
    spec = row.spec
    if kind == "failed":
        total_failures = 1 + sum(d.event == "failed" for d in row.history)
        failures = _countable_failures(state, row, attempt, total_failures)
        retryable = failures < MAX_FAILURES and total_failures < MAX_TOTAL_FAILURES
        if spec.idempotent and retryable:
            workers = _failed_workers(attempt)
            cause = f"failed on {workers}, failure {failures} of {MAX_FAILURES}"
            return _requeued_row(state, row, attempt, cause, "failed")
        reason = f"a task failed on {_failed_workers(attempt)}"
        return _ended_row(state, row, attempt, JobState.FAILED, Ran.YES, reason)
    checkpoint = _gang_checkpoint(attempt)
    if checkpoint and attempt.with_checkpoint:
        row = row._replace(checkpoint=checkpoint)
        return _requeued_row(state, row, attempt, attempt.reason, "checkpointed")
    if spec.idempotent:
        return _requeued_row(state, row, attempt, attempt.reason, "stopped")
    if kind == "drain":
        reason = "stopped with its failure domain; it is not idempotent"
        return _ended_row(state, row, attempt, JobState.FAILED, Ran.YES, reason)
    reason = f"{attempt.reason}; it is not idempotent and never runs again"
    return _ended_row(state, row, attempt, JobState.UNKNOWN, Ran.UNKNOWN, reason)


def _countable_failures(
    state: CellState, row: JobRow, attempt: Attempt, total_failures: int
) -> int:
    """Return how many of a job's failures count towards `MAX_FAILURES`.

    Failures on workers on probation don't, so that faulty workers don't fail jobs that
    would succeed elsewhere. Earlier failures count once per worker, those of the
    members of this attempt once in all. If fewer workers are known than there were
    earlier failures, for example after a takeover, all failures count.
    """
    known_workers = state.health.failed_on(row.job)
    if len(known_workers) < total_failures - 1:
        return total_failures
    failed_workers = {
        m.worker for m in attempt.members.values() if m.outcome == "failed"
    }
    newly_failed = [
        w for w in failed_workers - known_workers if not state.health.on_probation(w)
    ]
    return state.health.countable_failures(row.job) + bool(newly_failed)


def _failed_workers(attempt: Attempt) -> str:
    return ", ".join(
        m.worker for m in attempt.members.values() if m.outcome == "failed"
    )


def _gang_checkpoint(attempt: Attempt) -> str:
    """Return the least advanced of the members' checkpoints, or an empty string.

    All members must have one.
    """
    checkpoints = [m.checkpoint for m in attempt.members.values()]
    return (
        min(checkpoints, key=_checkpoint_progress)
        if checkpoints and all(checkpoints)
        else ""
    )


def _checkpoint_progress(checkpoint: str) -> float:
    """Return the number after the last colon of a checkpoint's name, 0 if none."""
    try:
        return float(checkpoint.rpartition(":")[2])
    except ValueError:
        return 0.0


def _requeued_row(
    state: CellState, row: JobRow, attempt: Attempt, cause: str, event: str = "requeued"
) -> JobRow:
    ran = row.ran if event == "requeued" else Ran.YES
    row = row._replace(state=JobState.QUEUED, attempt="", members=(), ran=ran)
    if event == "requeued" and ran is Ran.NO:
        row = row._replace(started_unix_s=0.0)
    return state.with_decision(row, event, cause, attempt.name)


def _ended_row(
    state: CellState,
    row: JobRow,
    attempt: Attempt,
    end: JobState,
    ran: Ran,
    reason: str,
) -> JobRow:
    row = row._replace(
        state=end, ran=ran, reason=reason, ended_unix_s=state.clock_unix_s()
    )
    return state.with_decision(
        row, str(end), reason or "all members done", attempt.name
    )


def refused_row(state: CellState, row: JobRow, reason: str) -> JobRow:
    """Return the row of a job that is refused and has not run."""
    row = row._replace(
        state=JobState.REFUSED, reason=reason, ended_unix_s=state.clock_unix_s()
    )
    return state.with_decision(row, "refused", reason)


def cancelled_row(state: CellState, row: JobRow) -> JobRow:
    """Return the row of a job that is cancelled while queued."""
    row = row._replace(
        state=JobState.CANCELLED, reason="cancelled", ended_unix_s=state.clock_unix_s()
    )
    return state.with_decision(row, "cancelled", "cancelled while queued")


def gang_answer(attempt: Attempt) -> bytes:
    """Return the answers of all members as JSON, sorted by worker name."""
    parts = [
        {
            "worker": m.worker,
            "tasks": m.tasks,
            "answer": m.answer.decode(errors="replace"),
            "answer_object": m.answer_object,
        }
        for m in sorted(attempt.members.values(), key=lambda m: m.worker)
    ]
    return msgspec.json.encode({"job": attempt.job, "members": parts})
