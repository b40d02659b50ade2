"""Planning: which queued jobs start, on which workers, and with which preemptions."""

from __future__ import annotations

import math
from functools import partial

from cicadabank.decisions.internal.attempts import JobEntry
from cicadabank.decisions.internal.backfill import (
    needs_probation_workers,
    refresh_hold,
    workers_to_avoid,
)
from cicadabank.decisions.internal.claims import (
    advance_claims,
    claim_allocation,
    find_free_allocation,
    refresh_layout,
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
    """Start the jobs that fit; reclaim allocations; reserve for the first blocked job.

    The tries of each workspace are limited, and its jobs with the shape of one that
    did not fit are skipped, so that a long backlog of one workspace doesn't keep jobs
    of others from being tried.
    """
    if not state.plan_due and now_s - state.last_planned_s < PLAN_INTERVAL_S:
        return
    state.plan_due, state.last_planned_s = False, now_s
    if state.layout_stale:
        refresh_layout(state)
    advance_claims(state, now_s)
    blocked_jobs = _BlockedJobs()
    none_blocked = True
    for rank in _ranked_jobs(state, now_s):
        entry = state.jobs.get(rank[2])
        if entry is None or entry.attempt or entry.pending:
            continue
        if blocked_jobs.skips(entry) or not _within_quota(state, entry):
            continue
        if _refuse_impossible(state, entry, now_s) or _try_start(state, entry, now_s):
            continue
        blocked_jobs.add(entry)
        if none_blocked:
            none_blocked = False
            refresh_hold(state, entry, now_s)
    if none_blocked:
        state.backfill_reservation = None


class _BlockedJobs:
    """Jobs that could not start in one run of the planner."""

    def __init__(self) -> None:
        self._tries: dict[str, int] = {}
        self._shapes: set[tuple] = set()

    @staticmethod
    def _shape(entry: JobEntry) -> tuple:
        spec = entry.row.spec
        # A shorter job may end before a backfill reservation starts, a longer one not.
        # Run times are grouped by powers of two.
        run_time_exponent = math.frexp(max(1.0, spec.estimate_s))[1]
        traits = (spec.urgent, spec.idempotent, spec.checkpointable, run_time_exponent)
        return (spec.workspace, GangShape.of(spec), traits)

    def skips(self, entry: JobEntry) -> bool:
        """Whether to skip a job in this run."""
        if self._tries.get(entry.row.spec.workspace, 0) >= MAX_TRIES_PER_WORKSPACE:
            return True
        return self._shape(entry) in self._shapes

    def add(self, entry: JobEntry) -> None:
        """Record that a job was tried and could not start."""
        workspace = entry.row.spec.workspace
        self._tries[workspace] = self._tries.get(workspace, 0) + 1
        self._shapes.add(self._shape(entry))


def _ranked_jobs(state: CellState, now_s: float) -> list[tuple[bool, float, str]]:
    """Return the ranks of queued jobs; starved jobs come first, before urgent ones."""
    ranks = list(state.queue)
    limit_s = now_s - state.timings.starvation_s
    starved = [
        r for r in ranks if r[2] in state.jobs and state.jobs[r[2]].queued_s < limit_s
    ]
    if not starved:
        return ranks
    return starved + [r for r in ranks if r not in set(starved)]


def _within_quota(state: CellState, entry: JobEntry) -> bool:
    spec = entry.row.spec
    workspace = state.view.workspaces.get(spec.workspace)
    if workspace is None:
        return False
    used = state.usage.get(spec.workspace, 0)
    return used + spec.accelerators <= workspace.quota_accelerators


def _refuse_impossible(state: CellState, entry: JobEntry, now_s: float) -> bool:
    if now_s - state.taken_over_s < state.timings.settle_s or not state.fleet.workers:
        return False
    reason = impossible_reason(state, GangShape.of(entry.row.spec))
    if not reason:
        return False
    state.dequeue(entry)
    row = refused_row(state, entry.row, reason)
    operation = f"refuse-{entry.row.job}-{entry.version}"
    state.actions.append(CommitJob(entry.row.job, row, entry.version, operation))
    return True


def impossible_reason(state: CellState, shape: GangShape) -> str:
    """Return why a gang can never fit in this cell, or an empty string if it can."""
    key = (state.fleet_version, shape)
    if key not in _impossible_reasons:
        if len(_impossible_reasons) > 10_000:
            _impossible_reasons.clear()
        _impossible_reasons[key] = _impossible_reason(state, shape)
    return _impossible_reasons[key]


_impossible_reasons: dict[tuple, str] = {}


def _impossible_reason(state: CellState, shape: GangShape) -> str:
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


def _try_start(state: CellState, entry: JobEntry, now_s: float) -> bool:
    spec = entry.row.spec
    shape = GangShape.of(spec)
    for worker in [w for w, until_s in entry.avoid_until_s.items() if until_s <= now_s]:
        del entry.avoid_until_s[worker]
    allocation = find_free_allocation(state, entry, shape)
    if allocation is not None:
        create_attempt(
            state,
            entry,
            allocation[1],
            allocation[0].name,
            now_s,
            f"in its own allocation {allocation[0].name}",
        )
        return True
    members = _place_on_free_accelerators(state, entry, shape, now_s)
    if members:
        create_attempt(state, entry, members, "", now_s, "on free accelerators")
        return True
    return claim_allocation(state, entry, shape, now_s)


def _place_on_free_accelerators(
    state: CellState, entry: JobEntry, shape: GangShape, now_s: float
) -> list[Member]:
    """Return a placement outside of the workspace's allocations, or an empty list.

    A job that may run only once avoids workers on probation, unless it needs them to
    ever fit. That check examines all workers and is therefore made last.
    """
    avoided = workers_to_avoid(state, entry, shape)
    limit = partial(_usable_accelerators, state, entry, avoided, now_s)
    if entry.row.spec.idempotent:
        return place(state.fleet, shape, limit)
    on_probation = state.health.on_probation
    members = place(
        state.fleet, shape, lambda w: 0 if on_probation(w.info.name) else limit(w)
    )
    if members or not state.health.any_on_probation:
        return members
    members = place(state.fleet, shape, limit)
    return members if members and needs_probation_workers(state, entry, shape) else []


def _usable_accelerators(
    state: CellState,
    entry: JobEntry,
    avoided: frozenset[str],
    now_s: float,
    worker: Worker,
) -> int:
    """Return how many accelerators of a worker a job may use outside its allocation."""
    name = worker.info.name
    spec = entry.row.spec
    if name in entry.avoid_until_s or name in avoided:
        return 0
    reservation = state.backfill_reservation
    if (
        reservation
        and reservation.job != entry.row.job
        and name in reservation.workers
        and not spec.urgent
    ):
        expected_s = state.estimates.expected_s(spec.workspace, spec.estimate_s)
        if now_s + expected_s > reservation.until_s:
            return 0
    if spec.stoppable:
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
