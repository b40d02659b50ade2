"""Heartbeats of workers: who is there, what runs where, whose lease is renewed."""

from __future__ import annotations

from cicadabank.decisions.internal.attempts import Attempt, Phase
from cicadabank.decisions.internal.gangs import (
    STARTING_PHASES,
    end_member,
    evaluate,
    give_up,
    member_started,
    send_stops,
    stop,
)
from cicadabank.decisions.internal.messages import BeatAnswer, BeatEvent, Report
from cicadabank.decisions.internal.state import CellState, WorkerState

ENDED_STATES = frozenset({"done", "failed", "stopped"})
STARTED_STATES = frozenset({"starting", "running"})
HELD = "held"


def on_beat(state: CellState, beat: BeatEvent, now_s: float) -> BeatAnswer:
    """Take in a heartbeat and say what the worker must know."""
    state.now_s = now_s
    worker = state.workers.get(beat.worker)
    if worker is None or worker.incarnation != beat.incarnation:
        if beat.info is None or not beat.full:
            return BeatAnswer(want_full=True)
        worker = _arrive(state, beat, now_s)
    elif beat.info is not None:
        state.add_worker(beat.info)
    worker.heard_s = now_s
    worker.silent = worker.lost = False
    worker.leaving = beat.leaving
    if beat.full:
        worker.reported = {}
    for report in beat.reports:
        worker.reported[report.attempt] = report.state
        _take_report(state, beat.worker, report, now_s)
    if beat.full:
        _note_missing(state, beat.worker, now_s)
    state.refresh_worker(beat.worker)
    # What was told before the jobs were loaded met no attempt, and a worker tells it
    # only once, so it is asked again. Its heartbeats are taken in all the same: loading
    # may take longer than its lease.
    if not state.loaded:
        worker.reported_early = True
    elif beat.full:
        worker.reported_early = False
    unread = state.loaded and worker.reported_early
    if not beat.full and (unread or beat.digest != worker.digest()):
        return BeatAnswer(want_full=True)
    return _answer(state, worker)


def _arrive(state: CellState, beat: BeatEvent, now_s: float) -> WorkerState:
    worker = WorkerState(beat.incarnation, now_s)
    state.workers[beat.worker] = worker
    state.add_worker(beat.info)
    for attempt in state.attempts.values():
        member = attempt.members.get(beat.worker)
        if member is not None and not member.ended:
            state.fleet.book(beat.worker, attempt.name, member.tasks, attempt.need)
    return worker


def _answer(state: CellState, worker: WorkerState) -> BeatAnswer:
    acknowledged, unknown = [], []
    for attempt, reported in worker.reported.items():
        if attempt in state.attempts:
            continue
        if attempt in state.closed and reported in ENDED_STATES:
            acknowledged.append(attempt)
        elif state.loaded:
            unknown.append(attempt)
    for attempt in acknowledged:
        del worker.reported[attempt]
    return BeatAnswer(False, tuple(acknowledged), tuple(unknown))


def _take_report(state: CellState, worker: str, report: Report, now_s: float) -> None:
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
            member_started(state, attempt, worker, now_s)
    elif report.state == HELD:
        if attempt.phase is Phase.STARTING:
            member_started(state, attempt, worker, now_s)
    elif report.state in ENDED_STATES:
        _take_end(state, attempt, worker, report, now_s)


def _take_end(
    state: CellState, attempt: Attempt, worker: str, report: Report, now_s: float
) -> None:
    member = attempt.members[worker]
    if attempt.phase is Phase.STOPPING and report.state == "stopped":
        # The reply to the order to stop says more: whether the member ever started.
        return
    member.answer = report.answer
    member.answer_object = report.answer_object
    member.started = report.started
    end_member(state, attempt, member, report.state)
    if attempt.phase in STARTING_PHASES:
        member_started(state, attempt, worker, now_s)
    evaluate(state, attempt, now_s)


def _note_missing(state: CellState, worker: str, now_s: float) -> None:
    """Act on gangs that a full report should name and doesn't."""
    reported = state.workers[worker].reported
    for attempt in list(state.attempts.values()):
        member = attempt.members.get(worker)
        if member is None or member.ended or attempt.name in reported:
            continue
        if attempt.phase is Phase.RUNNING:
            end_member(state, attempt, member, "lost")
            evaluate(state, attempt, now_s)
        elif attempt.phase is Phase.RECOVERING:
            stop(state, attempt, f"recovery: {worker} does not hold its member", now_s)


def check_silence(state: CellState, now_s: float) -> None:
    """Exclude silent workers, and end the members whose leases have surely lapsed."""
    timings = state.timings
    for name, worker in state.workers.items():
        silence_s = now_s - worker.heard_s
        if silence_s > timings.silent_after_s and not worker.silent:
            worker.silent = True
            state.refresh_worker(name)
            state.record("", "worker-silent", f"{name} has not been heard of", "")
        if (
            silence_s > timings.lease_duration_s + timings.lease_margin_s
            and not worker.lost
        ):
            worker.lost = True
            state.record("", "worker-lost", f"the leases of {name} have lapsed", "")
            _lose(state, name, now_s)
    _forget_gone(state, now_s)


def _forget_gone(state: CellState, now_s: float) -> None:
    """Forget workers that have been lost for long; a replaced VM has a new name."""
    limit_s = now_s - state.timings.forget_worker_s
    gone = [n for n, w in state.workers.items() if w.lost and w.heard_s < limit_s]
    for name in gone:
        if not state.fleet.workers[name].bookings:
            del state.workers[name]
            state.fleet.remove(name)
            state.fleet_version += 1
            state.layout_stale = True


def _lose(state: CellState, worker: str, now_s: float) -> None:
    for attempt in list(state.attempts.values()):
        member = attempt.members.get(worker)
        if member is None or member.ended:
            continue
        if not attempt.committed:
            if attempt.phase is not Phase.COMMITTING:
                give_up(state, attempt, now_s, f"{worker} was lost", worker)
            continue
        end_member(state, attempt, member, "lost")
        evaluate(state, attempt, now_s)


def check_unheard(state: CellState, now_s: float) -> None:
    """End members on workers that were never heard of since the takeover.

    The former holder may have lost only the table, not its workers: it renews their
    leases for `outage_lease_s` at most, so until then nothing is known of them.
    """
    timings = state.timings
    bound_s = timings.outage_lease_s + timings.lease_duration_s + timings.lease_margin_s
    if now_s - state.taken_over_s <= bound_s:
        return
    for attempt in list(state.attempts.values()):
        for member in attempt.members.values():
            if not member.ended and member.worker not in state.workers:
                end_member(state, attempt, member, "lost")
        if any(m.outcome == "lost" for m in attempt.members.values()):
            evaluate(state, attempt, now_s)


def check_deadlines(state: CellState, now_s: float) -> None:
    """Act on gangs whose present phase takes too long."""
    for attempt in list(state.attempts.values()):
        if attempt.phase is Phase.STOPPING:
            send_stops(state, attempt, now_s)
            continue
        if now_s < attempt.deadline_s:
            continue
        if attempt.phase in (Phase.RESERVING, Phase.CLAIMING):
            give_up(state, attempt, now_s, f"{attempt.phase} took too long")
        elif attempt.phase is Phase.STARTING:
            stop(state, attempt, "start-unanswered", now_s)
        elif attempt.phase is Phase.BEGINNING:
            stop(state, attempt, "begin-unanswered", now_s)
        elif attempt.phase is Phase.RECOVERING and not _awaits_unheard(state, attempt):
            stop(state, attempt, "recovery: a member did not start", now_s)


def _awaits_unheard(state: CellState, attempt: Attempt) -> bool:
    return any(
        not m.ended and m.worker not in state.workers for m in attempt.members.values()
    )
