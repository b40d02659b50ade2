"""Lifecycle of a gang: reserve all members, commit, start together, end together."""

from __future__ import annotations

from cicadabank.decisions.internal.attempts import (
    Attempt,
    MemberState,
    Phase,
    TrackedJob,
)
from cicadabank.decisions.internal.fleet import TaskResources
from cicadabank.decisions.internal.messages import (
    CommitJob,
    OrderResult,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.decisions.internal.outcomes import row_after_attempt
from cicadabank.decisions.internal.state import CellState
from cicadabank.model import JobState, Member, Ran

# Time for which a job avoids a worker that refused an order of it, did not reply to a
# reserve order, or was lost.
REFUSED_WORKER_AVOID_S = 1.0
PRE_COMMIT_PHASES = (Phase.CLAIMING, Phase.RESERVING)
STARTING_PHASES = (Phase.STARTING, Phase.BEGINNING, Phase.RECOVERING)


def create_attempt(
    state: CellState,
    tracked: TrackedJob,
    members: list[Member],
    allocation: str,
    now_s: float,
    cause: str,
    claiming: bool = False,
) -> Attempt:
    """Create an attempt, book its placement and send the reserve orders.

    With `claiming`, the allocation is booked while borrowers still run there: the free
    accelerators of its workers drop below zero, so that no other gang is placed on
    those that the borrowers release. The reserve orders are sent once they have left.
    """
    spec = tracked.row.spec
    need = TaskResources(
        spec.accelerators_per_task, spec.cores_per_task, spec.memory_mb_per_task
    )
    member_states = [
        MemberState(m.worker, m.tasks, state.workers[m.worker].incarnation)
        for m in members
    ]
    attempt = Attempt(
        state.make_id("attempt"), tracked.row.job, need, member_states, allocation
    )
    state.attempts[attempt.name] = attempt
    tracked.attempt = attempt.name
    state.dequeue(tracked)
    workspace = spec.workspace
    state.accelerators_in_use[workspace] = (
        state.accelerators_in_use.get(workspace, 0) + spec.accelerators
    )
    for member in members:
        state.fleet.book(member.worker, attempt.name, member.tasks, need)
        state.refresh_worker(member.worker)
    state.record(tracked.row.job, "placed", cause, attempt.name)
    if claiming:
        attempt.phase = Phase.CLAIMING
        attempt.deadline_s = now_s + state.timings.claim_timeout_s
    else:
        send_reserve_orders(state, attempt, now_s)
    return attempt


def send_reserve_orders(state: CellState, attempt: Attempt, now_s: float) -> None:
    """Ask every worker of a gang to reserve accelerators for its member."""
    attempt.phase = Phase.RESERVING
    attempt.deadline_s = now_s + state.timings.reserve_timeout_s
    for member in attempt.members.values():
        member.incarnation = state.workers[member.worker].incarnation
        accelerators = member.tasks * attempt.need.accelerators
        state.actions.append(
            SendReserve(
                member.worker,
                attempt.name,
                member.tasks,
                accelerators,
                member.incarnation,
            )
        )


def on_reserve_reply(
    state: CellState, attempt: Attempt, worker: str, result: OrderResult, now_s: float
) -> None:
    """Commit the start once all workers reserve; release the gang on any refusal."""
    if attempt.phase is not Phase.RESERVING or worker not in attempt.members:
        return
    if not result.accepted:
        if not result.answered:
            _mark_silent(state, worker)
        release_attempt(
            state, attempt, now_s, f"{worker} did not reserve: {result.reason}", worker
        )
        return
    attempt.members[worker].replied = True
    if not all(member.replied for member in attempt.members.values()):
        return
    attempt.phase = Phase.COMMITTING
    commit_start(state, attempt)


def _mark_silent(state: CellState, worker: str) -> None:
    """Exclude a worker that did not answer from placement until its next heartbeat."""
    if worker in state.workers:
        state.workers[worker].silent = True
        state.refresh_worker(worker)


def commit_start(state: CellState, attempt: Attempt) -> None:
    """Commit the start of a gang to the job's row before any start order is sent."""
    tracked = state.jobs[attempt.job]
    row = tracked.row._replace(
        state=JobState.RUNNING,
        attempt=attempt.name,
        attempts=tracked.row.attempts + 1,
        members=tuple(
            Member(m.worker, m.tasks, m.incarnation) for m in attempt.members.values()
        ),
        ran=Ran.UNKNOWN if tracked.row.ran is Ran.NO else tracked.row.ran,
        started_unix_s=tracked.row.started_unix_s or state.clock_unix_s(),
    )
    # Stored decisions call an allocation a "home".
    location = (
        f"in home {attempt.allocation}"
        if attempt.allocation
        else "on free accelerators"
    )
    row = state.with_decision(row, "start", f"gang placed {location}", attempt.name)
    operation = f"start-{attempt.name}"
    state.actions.append(CommitJob(attempt.job, row, tracked.version, operation))


def send_start_orders(state: CellState, attempt: Attempt, now_s: float) -> None:
    """Send start orders to all workers of a committed gang.

    With several members, each is held until all workers have replied, so that no
    member runs if one worker can't be reached. A worker drops its held member if the
    order to begin does not arrive within `gang_hold_s`.
    """
    tracked = state.jobs[attempt.job]
    attempt.committed = True
    attempt.phase = Phase.STARTING
    attempt.deadline_s = now_s + state.timings.start_timeout_s
    hold_s = state.timings.gang_hold_s if len(attempt.members) > 1 else 0.0
    attempt.running_since_s = attempt.unsaved_since_s = now_s
    for member in attempt.members.values():
        member.replied = False
        member.started = not hold_s
        state.actions.append(
            SendStart(
                member.worker,
                attempt.name,
                member.incarnation,
                tracked.row.spec.payload,
                tracked.row.checkpoint,
                hold_s,
            )
        )


def on_start_reply(
    state: CellState, attempt: Attempt, worker: str, result: OrderResult, now_s: float
) -> None:
    """Record that a member has started or is held; stop the whole gang on a refusal.

    An order without a reply may have been carried out by an agent that has restarted
    since: its next heartbeat decides, or the deadline of the phase if none comes.
    """
    member = attempt.members.get(worker)
    if member is None or attempt.phase is not Phase.STARTING or not result.answered:
        return
    if not result.accepted:
        member.started = result.started
        state.jobs[attempt.job].avoid_until_s[worker] = now_s + REFUSED_WORKER_AVOID_S
        stop(state, attempt, f"start-refused: {worker}: {result.reason}", now_s)
        return
    on_member_ready(state, attempt, worker, now_s)


def on_member_ready(
    state: CellState, attempt: Attempt, worker: str, now_s: float
) -> None:
    """Record that a worker has started or holds its member.

    Once all have, held members are told to begin and started ones count as running.
    """
    attempt.members[worker].replied = True
    if not all(m.replied or m.ended for m in attempt.members.values()):
        return
    if attempt.phase is Phase.STARTING and len(attempt.members) > 1:
        _send_begin_orders(state, attempt, now_s)
    elif attempt.phase in STARTING_PHASES:
        attempt.phase = Phase.RUNNING
        state.record(attempt.job, "running", "all members started", attempt.name)


def _send_begin_orders(state: CellState, attempt: Attempt, now_s: float) -> None:
    attempt.phase = Phase.BEGINNING
    attempt.deadline_s = now_s + state.timings.start_timeout_s
    attempt.running_since_s = attempt.unsaved_since_s = now_s
    for member in attempt.members.values():
        if not member.ended:
            member.replied = False
            member.started = True
            order = SendBegin(member.worker, attempt.name, member.incarnation)
            state.actions.append(order)


def on_begin_reply(
    state: CellState, attempt: Attempt, worker: str, result: OrderResult, now_s: float
) -> None:
    """Record that a member has begun; stop the whole gang on a refusal.

    As for a start, an order without a reply is left to the next heartbeat.
    """
    member = attempt.members.get(worker)
    if member is None or attempt.phase is not Phase.BEGINNING or not result.answered:
        return
    if result.accepted:
        on_member_ready(state, attempt, worker, now_s)
        return
    member.started = result.started
    stop(state, attempt, f"begin-refused: {worker}: {result.reason}", now_s)


def stop(
    state: CellState,
    attempt: Attempt,
    reason: str,
    now_s: float,
    checkpoint: bool = False,
) -> None:
    """Stop a whole gang; its outcome is determined once all members have ended."""
    if attempt.phase in (Phase.STOPPING, Phase.SAVING):
        return
    attempt.phase = Phase.STOPPING
    attempt.reason = reason
    attempt.with_checkpoint = checkpoint
    state.record(attempt.job, "stop", reason, attempt.name)
    send_stop_orders(state, attempt, now_s)
    apply_member_ends(state, attempt, now_s)


def send_stop_orders(state: CellState, attempt: Attempt, now_s: float) -> None:
    """Send or resend stop orders to the members that have not ended."""
    for member in attempt.members.values():
        if member.ended or now_s - member.stop_sent_s < state.timings.stop_retry_s:
            continue
        worker = state.workers.get(member.worker)
        if worker is None or worker.silent:
            # Stopped once its heartbeats resume, or counted as lost.
            continue
        member.stop_sent_s = now_s
        state.actions.append(
            SendStop(
                member.worker, attempt.name, member.incarnation, attempt.with_checkpoint
            )
        )


def on_stop_reply(
    state: CellState, attempt: Attempt, worker: str, result: OrderResult, now_s: float
) -> None:
    """Release the resources of a stopped member."""
    member = attempt.members.get(worker)
    if member is None or attempt.phase is not Phase.STOPPING or not result.accepted:
        return
    member.started = result.started
    if result.checkpoint:
        member.checkpoint = result.checkpoint
    if not member.ended:
        mark_member_ended(state, attempt, member, member.outcome or "stopped")
    apply_member_ends(state, attempt, now_s)


def mark_member_ended(
    state: CellState, attempt: Attempt, member: MemberState, outcome: str
) -> None:
    """Mark a member as ended and release its resources."""
    member.ended = True
    member.outcome = outcome
    state.fleet.release(member.worker, attempt.name)
    state.refresh_worker(member.worker)
    state.plan_due = True


def apply_member_ends(state: CellState, attempt: Attempt, now_s: float) -> None:
    """Stop the gang or commit its outcome, depending on how its members ended."""
    if attempt.phase in (*STARTING_PHASES, Phase.RUNNING):
        outcomes = {m.outcome for m in attempt.members.values() if m.ended}
        if "failed" in outcomes:
            stop(state, attempt, "failed", now_s)
        elif outcomes & {"stopped", "lost"}:
            stop(state, attempt, "lost", now_s)
        elif attempt.all_ended:
            attempt.reason = "done"
            commit_outcome(state, attempt, now_s)
    elif attempt.phase is Phase.STOPPING and attempt.all_ended:
        commit_outcome(state, attempt, now_s)


def commit_outcome(state: CellState, attempt: Attempt, now_s: float) -> None:
    """Commit the outcome of an attempt to the job's row: ended or back in the queue."""
    tracked = state.jobs[attempt.job]
    attempt.phase = Phase.SAVING
    row, answer = row_after_attempt(state, tracked.row, attempt)
    operation = f"end-{attempt.name}-{tracked.version}"
    attempt.deadline_s = now_s + state.timings.stop_retry_s
    state.actions.append(
        CommitJob(attempt.job, row, tracked.version, operation, answer)
    )


def release_attempt(
    state: CellState, attempt: Attempt, now_s: float, cause: str, avoid_worker: str = ""
) -> None:
    """Release an attempt that was not committed, and requeue its job."""
    tracked = state.jobs.get(attempt.job)
    if tracked is not None and avoid_worker:
        tracked.avoid_until_s[avoid_worker] = now_s + REFUSED_WORKER_AVOID_S
    state.record(attempt.job, "released", cause, attempt.name)
    for member in attempt.members.values():
        if attempt.phase is not Phase.CLAIMING:
            state.actions.append(
                SendStop(member.worker, attempt.name, member.incarnation)
            )
        if not member.ended:
            mark_member_ended(state, attempt, member, "released")
    remove_attempt(state, attempt)
    if tracked is not None and not tracked.row.terminal:
        state.enqueue(tracked)


def remove_attempt(state: CellState, attempt: Attempt) -> None:
    """Remove an attempt that has released all its resources."""
    state.attempts.pop(attempt.name, None)
    state.mark_closed(attempt.name)
    tracked = state.jobs.get(attempt.job)
    if tracked is not None:
        tracked.attempt = ""
        workspace = tracked.row.spec.workspace
        state.accelerators_in_use[workspace] = (
            state.accelerators_in_use.get(workspace, 0) - tracked.row.spec.accelerators
        )
    state.plan_due = True


def on_outcome_committed(
    state: CellState, attempt: Attempt, tracked: TrackedJob, now_s: float
) -> None:
    """Remove an attempt whose outcome is committed, and requeue an unfinished job.

    `tracked` holds the committed row.
    """
    _update_health_and_estimates(state, attempt, tracked)
    remove_attempt(state, attempt)
    state.record(attempt.job, str(tracked.row.state), tracked.row.reason, attempt.name)
    if tracked.row.terminal:
        state.jobs.pop(attempt.job, None)
        return
    tracked.queued_s = now_s
    state.enqueue(tracked)


def _update_health_and_estimates(
    state: CellState, attempt: Attempt, tracked: TrackedJob
) -> None:
    spec = tracked.row.spec
    for member in attempt.members.values():
        if member.outcome == "failed":
            state.health.failed(attempt.job, member.worker, state.now_s)
            state.allocations_stale = True
        elif member.outcome == "done":
            state.health.succeeded(attempt.job, member.worker)
        state.refresh_worker(member.worker)
    if attempt.reason == "done":
        run_s = max((m.run_s for m in attempt.members.values()), default=0.0)
        state.estimates.observe(spec.workspace, spec.estimate_s, run_s)
