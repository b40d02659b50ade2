"""Heartbeats of workers: membership, member states and lease expiry."""

from __future__ import annotations

from cicadabank.decisions.internal.attempts import Attempt, Phase
from cicadabank.decisions.internal.gangs import (
    STARTING_PHASES,
    apply_member_ends,
    mark_member_ended,
    on_member_ready,
    release_attempt,
    send_stop_orders,
    stop,
)
from cicadabank.decisions.internal.messages import (
    HeartbeatEvent,
    HeartbeatReply,
    Report,
)
from cicadabank.decisions.internal.state import CellState, WorkerState

MEMBER_ENDED_STATES = frozenset({"done", "failed", "stopped"})
STARTED_STATES = frozenset({"starting", "running"})
HELD_STATE = "held"


def on_heartbeat(
    state: CellState, heartbeat: HeartbeatEvent, now_s: float
) -> HeartbeatReply:
    """Apply a worker's heartbeat and return the reply to it.

    The reply asks for a full report if the worker is not known, if the digest of its
    states differs, or if it has reported before the cell's jobs were loaded.
    """
    state.now_s = now_s
    worker = state.workers.get(heartbeat.worker)
    if worker is None or worker.incarnation != heartbeat.incarnation:
        if heartbeat.info is None or not heartbeat.full:
            return HeartbeatReply(want_full=True)
        worker = _register_worker(state, heartbeat, now_s)
    elif heartbeat.info is not None:
        state.add_worker(heartbeat.info)
    worker.last_heartbeat_s = now_s
    worker.silent = worker.lost = False
    worker.leaving = heartbeat.leaving
    if heartbeat.full:
        worker.reported = {}
    for report in heartbeat.reports:
        worker.reported[report.attempt] = report.state
        _apply_report(state, heartbeat.worker, report, now_s)
    if heartbeat.full:
        _handle_missing_members(state, heartbeat.worker, now_s)
    state.refresh_worker(heartbeat.worker)
    # Reports received before the jobs are loaded match no attempt, and a worker sends
    # each state only once, so it must send a full report again after the load.
    # Heartbeats are accepted during the load, which may take longer than a lease.
    if not state.loaded:
        worker.reported_before_load = True
    elif heartbeat.full:
        worker.reported_before_load = False
    must_report_again = state.loaded and worker.reported_before_load
    if not heartbeat.full and (
        must_report_again or heartbeat.digest != worker.digest()
    ):
        return HeartbeatReply(want_full=True)
    return _heartbeat_reply(state, worker)


def _register_worker(
    state: CellState, heartbeat: HeartbeatEvent, now_s: float
) -> WorkerState:
    worker = WorkerState(heartbeat.incarnation, now_s)
    state.workers[heartbeat.worker] = worker
    state.add_worker(heartbeat.info)
    for attempt in state.attempts.values():
        member = attempt.members.get(heartbeat.worker)
        if member is not None and not member.ended:
            state.fleet.book(heartbeat.worker, attempt.name, member.tasks, attempt.need)
    return worker


def _heartbeat_reply(state: CellState, worker: WorkerState) -> HeartbeatReply:
    acknowledged, unknown = [], []
    for attempt, reported in worker.reported.items():
        if attempt in state.attempts:
            continue
        if attempt in state.closed_attempts and reported in MEMBER_ENDED_STATES:
            acknowledged.append(attempt)
        elif state.loaded:
            unknown.append(attempt)
    for attempt in acknowledged:
        del worker.reported[attempt]
    return HeartbeatReply(False, tuple(acknowledged), tuple(unknown))


def _apply_report(state: CellState, worker: str, report: Report, now_s: float) -> None:
    attempt = state.attempts.get(report.attempt)
    member = attempt.members.get(worker) if attempt else None
    if member is None or member.ended:
        return
    member.incarnation = state.workers[worker].incarnation
    member.run_s = report.run_s or member.run_s
    if report.checkpoint:
        member.checkpoint = report.checkpoint
    if report.state in STARTED_STATES:
        member.started = True
        if attempt.phase in STARTING_PHASES:
            on_member_ready(state, attempt, worker, now_s)
    elif report.state == HELD_STATE:
        if attempt.phase is Phase.STARTING:
            on_member_ready(state, attempt, worker, now_s)
    elif report.state in MEMBER_ENDED_STATES:
        _apply_member_end(state, attempt, worker, report, now_s)


def _apply_member_end(
    state: CellState, attempt: Attempt, worker: str, report: Report, now_s: float
) -> None:
    member = attempt.members[worker]
    if attempt.phase is Phase.STOPPING and report.state == "stopped":
        # Left to the reply to the stop order, which also says whether the member ever
        # started.
        return
    member.answer = report.answer
    member.answer_object = report.answer_object
    member.started = report.started
    mark_member_ended(state, attempt, member, report.state)
    if attempt.phase in STARTING_PHASES:
        on_member_ready(state, attempt, worker, now_s)
    apply_member_ends(state, attempt, now_s)


def _handle_missing_members(state: CellState, worker: str, now_s: float) -> None:
    """Act on gangs with members on a worker that its full report doesn't name."""
    reported = state.workers[worker].reported
    for attempt in list(state.attempts.values()):
        member = attempt.members.get(worker)
        if member is None or member.ended or attempt.name in reported:
            continue
        if attempt.phase is Phase.RUNNING:
            mark_member_ended(state, attempt, member, "lost")
            apply_member_ends(state, attempt, now_s)
        elif attempt.phase is Phase.RECOVERING:
            stop(state, attempt, f"recovery: {worker} does not hold its member", now_s)


def check_heartbeats(state: CellState, now_s: float) -> None:
    """Exclude silent workers, and end members whose leases must have expired.

    Workers that have been lost for long are removed.
    """
    timings = state.timings
    for name, worker in state.workers.items():
        silence_s = now_s - worker.last_heartbeat_s
        if silence_s > timings.silent_after_s and not worker.silent:
            worker.silent = True
            state.refresh_worker(name)
            state.record("", "worker-silent", f"{name} has missed its heartbeats", "")
        if (
            silence_s > timings.lease_duration_s + timings.lease_margin_s
            and not worker.lost
        ):
            worker.lost = True
            state.record("", "worker-lost", f"the leases of {name} have expired", "")
            _handle_lost_worker(state, name, now_s)
    _remove_lost_workers(state, now_s)


def _remove_lost_workers(state: CellState, now_s: float) -> None:
    """Remove lost workers without heartbeats for `forget_worker_s`.

    A VM that is replaced gets a new name, so its old one would otherwise remain.
    Workers with bookings are kept until these are released.
    """
    lost_before_s = now_s - state.timings.forget_worker_s
    expired = [
        n
        for n, w in state.workers.items()
        if w.lost and w.last_heartbeat_s < lost_before_s
    ]
    for name in expired:
        if not state.fleet.workers[name].bookings:
            del state.workers[name]
            state.fleet.remove(name)
            state.fleet_version += 1
            state.allocations_stale = True


def _handle_lost_worker(state: CellState, worker: str, now_s: float) -> None:
    for attempt in list(state.attempts.values()):
        member = attempt.members.get(worker)
        if member is None or member.ended:
            continue
        if not attempt.committed:
            if attempt.phase is not Phase.COMMITTING:
                release_attempt(state, attempt, now_s, f"{worker} was lost", worker)
            continue
        mark_member_ended(state, attempt, member, "lost")
        apply_member_ends(state, attempt, now_s)


def check_unreported_workers(state: CellState, now_s: float) -> None:
    """End members on workers without any heartbeat since the takeover.

    The former holder may have lost contact with the table only, not with its workers.
    It then renews their leases for up to `outage_lease_s`, so members count as lost
    only after `outage_lease_s` plus a lease and its margin.
    """
    timings = state.timings
    max_silence_s = (
        timings.outage_lease_s + timings.lease_duration_s + timings.lease_margin_s
    )
    if now_s - state.taken_over_s <= max_silence_s:
        return
    for attempt in list(state.attempts.values()):
        for member in attempt.members.values():
            if not member.ended and member.worker not in state.workers:
                mark_member_ended(state, attempt, member, "lost")
        if any(m.outcome == "lost" for m in attempt.members.values()):
            apply_member_ends(state, attempt, now_s)


def check_deadlines(state: CellState, now_s: float) -> None:
    """Act on attempts whose phase has passed its deadline, and resend stop orders."""
    for attempt in list(state.attempts.values()):
        if attempt.phase is Phase.STOPPING:
            send_stop_orders(state, attempt, now_s)
            continue
        if now_s < attempt.deadline_s:
            continue
        if attempt.phase in (Phase.RESERVING, Phase.CLAIMING):
            release_attempt(
                state,
                attempt,
                now_s,
                f"{attempt.phase} did not complete before its deadline",
            )
        elif attempt.phase is Phase.STARTING:
            stop(state, attempt, "start-unanswered", now_s)
        elif attempt.phase is Phase.BEGINNING:
            stop(state, attempt, "begin-unanswered", now_s)
        elif attempt.phase is Phase.RECOVERING and not _awaits_first_heartbeat(
            state, attempt
        ):
            stop(state, attempt, "recovery: a member did not start", now_s)


def _awaits_first_heartbeat(state: CellState, attempt: Attempt) -> bool:
    return any(
        not m.ended and m.worker not in state.workers for m in attempt.members.values()
    )
