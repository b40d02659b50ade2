"""Backfill reservations: workers kept for the first job that can't be placed."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cicadabank.decisions.internal.attempts import Attempt, Phase, TrackedJob
from cicadabank.decisions.internal.fleet import Fleet, TaskResources, Worker
from cicadabank.decisions.internal.placement import GangShape, place
from cicadabank.decisions.internal.state import BackfillReservation, CellState

# Running gangs are released in batches of one in this many, at least one gang each, and
# a placement is tried after each batch.
RELEASE_BATCHES = 16
MIN_RESERVATION_S = 60.0


def workers_to_avoid(
    state: CellState, tracked: TrackedJob, shape: GangShape
) -> frozenset[str]:
    """Return the workers on which a job has failed, if it could fit on others.

    Otherwise the result is empty: a job that has failed wherever it fits is retried on
    the same workers rather than wait indefinitely. Its remaining retries show whether
    the job or the workers are at fault.
    """
    failed_on = state.health.failed_on(tracked.row.job)
    if not failed_on or _fits_without(state, tracked, shape, failed_on):
        return failed_on
    return frozenset()


def needs_probation_workers(
    state: CellState, tracked: TrackedJob, shape: GangShape
) -> bool:
    """Return whether a job can only ever fit with the help of workers on probation.

    Such a job must be allowed to use them. No other job may come along to end their
    probation, and it would wait indefinitely.
    """
    on_probation = frozenset(n for n in state.workers if state.health.on_probation(n))
    return not _fits_without(state, tracked, shape, on_probation)


def _fits_without(
    state: CellState, tracked: TrackedJob, shape: GangShape, avoided: frozenset[str]
) -> bool:
    """Return whether a job would fit on the other usable workers if they were idle."""
    fleet = Fleet(
        worker.info
        for name, worker in state.fleet.workers.items()
        if name not in avoided and state.worker_usable(name)
    )
    if not tracked.row.spec.preemptible:
        for name in fleet.workers:
            guaranteed = state.fleet.workers[name].guaranteed
            if guaranteed:
                fleet.book(name, "guaranteed", guaranteed, TaskResources(1))
    return bool(place(fleet, shape))


def refresh_reservation(state: CellState, tracked: TrackedJob, now_s: float) -> None:
    """Make a backfill reservation for a job, or keep the one it has."""
    reservation = state.backfill_reservation
    if (
        reservation
        and reservation.job == tracked.row.job
        and _reservation_valid(state, reservation, now_s)
    ):
        return
    state.backfill_reservation = _make_reservation(state, tracked, now_s)


def _reservation_valid(
    state: CellState, reservation: BackfillReservation, now_s: float
) -> bool:
    """Return whether a reservation is kept.

    If it moved whenever other workers were expected to become free sooner, backfilled
    jobs would occupy each set of workers in turn and starve the waiting job. It is
    therefore replaced only if a worker has become unusable or it has taken twice as
    long as expected.
    """
    expected_s = max(MIN_RESERVATION_S, reservation.needed_s - reservation.created_s)
    if now_s > reservation.needed_s + expected_s:
        return False
    return all(state.worker_usable(worker) for worker in reservation.workers)


def _make_reservation(
    state: CellState, tracked: TrackedJob, now_s: float
) -> BackfillReservation | None:
    """Reserve the workers where the job is expected to fit first.

    Running gangs are assumed to end at their expected times. Simulates this by
    releasing their bookings in `state.fleet`, which are restored before returning.
    Returns None if the job doesn't fit even after all of them have ended.
    """
    shape = GangShape.of(tracked.row.spec)
    ending = sorted(
        (
            (_expected_end_s(state, attempt, now_s), attempt.name)
            for attempt in _running_attempts(state)
        ),
    )
    batch = max(1, len(ending) // RELEASE_BATCHES)
    avoided = workers_to_avoid(state, tracked, shape)
    limit: Callable[[Worker], int] = partial(_reservation_limit, tracked, avoided)
    released_attempts: list[Attempt] = []
    reservation: BackfillReservation | None = None
    for first in range(0, len(ending), batch):
        for _, name in ending[first : first + batch]:
            attempt = state.attempts[name]
            released_attempts.append(attempt)
            for worker in attempt.accelerators_by_worker:
                state.fleet.release(worker, name)
        members = place(state.fleet, shape, limit)
        if members:
            needed_s = ending[min(first + batch, len(ending)) - 1][0]
            workers = frozenset(member.worker for member in members)
            reservation = BackfillReservation(tracked.row.job, workers, needed_s, now_s)
            break
    for attempt in released_attempts:
        for member in attempt.members.values():
            if not member.ended and member.worker in state.fleet.workers:
                state.fleet.book(
                    member.worker, attempt.name, member.tasks, attempt.need
                )
    return reservation


def _running_attempts(state: CellState) -> list[Attempt]:
    return [
        a for a in state.attempts.values() if a.phase in (Phase.RUNNING, Phase.STOPPING)
    ]


def _reservation_limit(
    tracked: TrackedJob, avoided: frozenset[str], worker: Worker
) -> int:
    if worker.info.name in avoided:
        return 0
    if tracked.row.spec.preemptible:
        return worker.free
    return worker.info.accelerators - worker.guaranteed


def _expected_end_s(state: CellState, attempt: Attempt, now_s: float) -> float:
    if attempt.phase is Phase.STOPPING:
        return now_s
    spec = state.jobs[attempt.job].row.spec
    expected_s = state.estimates.expected_s(spec.workspace, spec.estimate_s)
    # A gang that has exceeded its estimate is expected to run as long again.
    ran_s = now_s - attempt.running_since_s
    return now_s + (expected_s - ran_s if ran_s < expected_s else ran_s)
