"""Planning: which queued jobs start, on which workers, and with which preemptions."""

from __future__ import annotations

import math
from functools import partial

from cicadabank.decisions.internal.attempts import TrackedJob
from cicadabank.decisions.internal.backfill import (
    needs_probation_workers,
    refresh_reservation,
    workers_to_avoid,
)
from cicadabank.decisions.internal.claims import (
    advance_claims,
    claim_allocation,
    find_free_allocation,
    refresh_allocations,
)
from cicadabank.decisions.internal.fleet import Fleet, Worker
from cicadabank.decisions.internal.gangs import create_attempt
from cicadabank.decisions.internal.messages import CommitJob
from cicadabank.decisions.internal.outcomes import refused_row
from cicadabank.decisions.internal.placement import GangShape, nearest_possible, place
from cicadabank.decisions.internal.state import CellState
from cicadabank.model import Member, describe_shape

MAX_TRIES_PER_WORKSPACE = 64
PLAN_INTERVAL_S = 0.5


def plan(state: CellState, now_s: float) -> None:
    """Start the jobs that fit; claim allocations; reserve for the first blocked job.

    Limits the number of jobs of each workspace that are tried without success, and
    skips jobs of the same shape as one that did not fit. Otherwise the backlog of one
    workspace could take up the whole planning round.
    """
    if not state.plan_due and now_s - state.last_planned_s < PLAN_INTERVAL_S:
        return
    state.plan_due, state.last_planned_s = False, now_s
    if state.allocations_stale:
        refresh_allocations(state)
    advance_claims(state, now_s)
    blocked_jobs = _BlockedJobs()
    none_blocked = True
    for rank in _ranked_jobs(state, now_s):
        tracked = state.jobs.get(rank[2])
        if tracked is None or tracked.attempt or tracked.pending:
            continue
        if blocked_jobs.skips(tracked) or not _within_quota(state, tracked):
            continue
        if _refuse_infeasible(state, tracked, now_s) or _try_start(
            state, tracked, now_s
        ):
            continue
        blocked_jobs.add(tracked)
        if none_blocked:
            none_blocked = False
            refresh_reservation(state, tracked, now_s)
    if none_blocked:
        state.backfill_reservation = None


class _BlockedJobs:
    """Jobs that could not start in one planning round."""

    def __init__(self) -> None:
        self._tries: dict[str, int] = {}
        self._shapes: set[tuple] = set()

    @staticmethod
    def _shape(tracked: TrackedJob) -> tuple:
        spec = tracked.row.spec
        # A short job may end before the reserved workers are needed while a longer one
        # of the same shape would not, so run times are compared too, grouped by powers
        # of two.
        run_time_exponent = math.frexp(max(1.0, spec.estimate_s))[1]
        traits = (spec.urgent, spec.idempotent, spec.checkpointable, run_time_exponent)
        return (spec.workspace, GangShape.of(spec), traits)

    def skips(self, tracked: TrackedJob) -> bool:
        """Return whether to skip a job in this planning round."""
        if self._tries.get(tracked.row.spec.workspace, 0) >= MAX_TRIES_PER_WORKSPACE:
            return True
        return self._shape(tracked) in self._shapes

    def add(self, tracked: TrackedJob) -> None:
        """Record that a job was tried and could not start."""
        workspace = tracked.row.spec.workspace
        self._tries[workspace] = self._tries.get(workspace, 0) + 1
        self._shapes.add(self._shape(tracked))


def _ranked_jobs(state: CellState, now_s: float) -> list[tuple[bool, float, str]]:
    """Return the ranks of queued jobs; starved jobs come first, before urgent ones."""
    ranks = list(state.queue)
    queued_before_s = now_s - state.timings.starvation_s
    starved = [
        r
        for r in ranks
        if r[2] in state.jobs and state.jobs[r[2]].queued_s < queued_before_s
    ]
    if not starved:
        return ranks
    return starved + [r for r in ranks if r not in set(starved)]


def _within_quota(state: CellState, tracked: TrackedJob) -> bool:
    spec = tracked.row.spec
    workspace = state.view.workspaces.get(spec.workspace)
    if workspace is None:
        return False
    used = state.accelerators_in_use.get(spec.workspace, 0)
    return used + spec.accelerators <= workspace.quota_accelerators


def _refuse_infeasible(state: CellState, tracked: TrackedJob, now_s: float) -> bool:
    if now_s - state.taken_over_s < state.timings.settle_s or not state.fleet.workers:
        return False
    reason = infeasible_reason(state, GangShape.of(tracked.row.spec))
    if not reason:
        return False
    state.dequeue(tracked)
    row = refused_row(state, tracked.row, reason)
    operation = f"refuse-{tracked.row.job}-{tracked.version}"
    state.actions.append(CommitJob(tracked.row.job, row, tracked.version, operation))
    return True


def infeasible_reason(state: CellState, shape: GangShape) -> str:
    """Return why a gang can never fit in this cell, or an empty string if it can."""
    key = (state.fleet_version, shape)
    if key not in _infeasible_reasons:
        if len(_infeasible_reasons) > 10_000:
            _infeasible_reasons.clear()
        _infeasible_reasons[key] = _infeasible_reason(state, shape)
    return _infeasible_reasons[key]


# By fleet version and shape. All cells of the process share it, although each counts
# its own fleet versions.
_infeasible_reasons: dict[tuple, str] = {}


def _infeasible_reason(state: CellState, shape: GangShape) -> str:
    empty = Fleet(worker.info for worker in state.fleet.workers.values())
    if place(empty, shape):
        return ""
    required = describe_shape(shape.tasks, shape.need.accelerators, shape.adjacency)
    nearest_shape = nearest_possible(empty, shape)
    if nearest_shape is None:
        hint = "no smaller shape fits either"
    else:
        nearest = describe_shape(
            nearest_shape.tasks,
            nearest_shape.need.accelerators,
            nearest_shape.adjacency,
        )
        hint = f"the nearest shape that fits: {nearest}"
    return f"no workers of cell {state.cell!r} can ever hold {required}; {hint}"


def _try_start(state: CellState, tracked: TrackedJob, now_s: float) -> bool:
    spec = tracked.row.spec
    shape = GangShape.of(spec)
    for worker in [
        w for w, until_s in tracked.avoid_until_s.items() if until_s <= now_s
    ]:
        del tracked.avoid_until_s[worker]
    allocation = find_free_allocation(state, tracked, shape)
    if allocation is not None:
        create_attempt(
            state,
            tracked,
            allocation[1],
            allocation[0].name,
            now_s,
            f"in its own allocation {allocation[0].name}",
        )
        return True
    members = _place_on_free_accelerators(state, tracked, shape, now_s)
    if members:
        create_attempt(state, tracked, members, "", now_s, "on free accelerators")
        return True
    return claim_allocation(state, tracked, shape, now_s)


def _place_on_free_accelerators(
    state: CellState, tracked: TrackedJob, shape: GangShape, now_s: float
) -> list[Member]:
    """Return a placement outside of the workspace's allocations, or an empty list.

    A job that may run only once avoids workers on probation, unless it needs them to
    ever fit. That check examines all workers and is therefore made last.
    """
    avoided = workers_to_avoid(state, tracked, shape)
    limit = partial(_usable_accelerators, state, tracked, avoided, now_s)
    if tracked.row.spec.idempotent:
        return place(state.fleet, shape, limit)
    on_probation = state.health.on_probation
    members = place(
        state.fleet, shape, lambda w: 0 if on_probation(w.info.name) else limit(w)
    )
    if members or not state.health.any_on_probation:
        return members
    members = place(state.fleet, shape, limit)
    return members if members and needs_probation_workers(state, tracked, shape) else []


def _usable_accelerators(
    state: CellState,
    tracked: TrackedJob,
    avoided: frozenset[str],
    now_s: float,
    worker: Worker,
) -> int:
    """Return how many accelerators of a worker a job may use outside its allocation."""
    name = worker.info.name
    spec = tracked.row.spec
    if name in tracked.avoid_until_s or name in avoided:
        return 0
    reservation = state.backfill_reservation
    if (
        reservation
        and reservation.job != tracked.row.job
        and name in reservation.workers
        and not spec.urgent
    ):
        expected_s = state.estimates.expected_s(spec.workspace, spec.estimate_s)
        if now_s + expected_s > reservation.needed_s:
            return 0
    if spec.preemptible:
        return worker.free
    return _unguaranteed_free(state, worker)


def _unguaranteed_free(state: CellState, worker: Worker) -> int:
    """Return the free accelerators of a worker that back no guarantee.

    A job that can be neither repeated nor resumed can't be preempted, so it must not
    borrow an allocation.
    """
    outside = sum(
        tasks * need.accelerators
        for attempt, (tasks, need) in worker.bookings.items()
        if attempt in state.attempts and not state.attempts[attempt].allocation
    )
    return worker.info.accelerators - worker.guaranteed - outside
