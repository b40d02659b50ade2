"""Placement of gangs in guarantee allocations, and preemption of their borrowers."""

from __future__ import annotations

from cicadabank.decisions.internal.allocations import (
    GuaranteeAllocation,
    allocate_guarantees,
)
from cicadabank.decisions.internal.attempts import Attempt, Phase, TrackedJob
from cicadabank.decisions.internal.fleet import Worker
from cicadabank.decisions.internal.gangs import (
    create_attempt,
    send_reserve_orders,
    stop,
)
from cicadabank.decisions.internal.placement import GangShape
from cicadabank.decisions.internal.state import CellState
from cicadabank.decisions.internal.victims import Borrower, choose_victims
from cicadabank.model import Adjacency, Member


def _unused_by_worker(
    state: CellState, allocation: GuaranteeAllocation
) -> dict[str, int]:
    unused = dict(allocation.accelerators_by_worker)
    for attempt in state.attempts.values():
        if attempt.allocation == allocation.name:
            for worker, count in attempt.accelerators_by_worker.items():
                unused[worker] = unused.get(worker, 0) - count
    return unused


def _members_in_allocation(
    state: CellState,
    tracked: TrackedJob,
    shape: GangShape,
    allocation: GuaranteeAllocation,
) -> list[Member]:
    """Return the members of a gang placed in an allocation, ignoring borrowers."""
    unused = _unused_by_worker(state, allocation)
    if any(not state.can_back_guarantee(worker) for worker in unused):
        return []
    if shape.domain and any(
        state.fleet.workers[worker].info.domain != shape.domain for worker in unused
    ):
        return []
    capacities = [
        (count // shape.need.accelerators, worker) for worker, count in unused.items()
    ]
    capacities = [
        (capacity, worker)
        for capacity, worker in capacities
        if capacity > 0 and worker not in tracked.avoid_until_s
    ]
    capacities.sort(key=lambda pair: (-pair[0], pair[1]))
    members: list[Member] = []
    tasks = shape.tasks
    for capacity, worker in capacities:
        if tasks:
            members.append(Member(worker, min(capacity, tasks)))
            tasks -= members[-1].tasks
    if tasks or not _satisfies_adjacency(state, members, shape.adjacency):
        return []
    return members


def _satisfies_adjacency(
    state: CellState, members: list[Member], adjacency: str
) -> bool:
    infos = [state.fleet.workers[member.worker].info for member in members]
    if adjacency == Adjacency.WORKER:
        return len(infos) == 1
    if adjacency == Adjacency.RACK:
        return len({(info.domain, info.rack) for info in infos}) == 1
    return True


def _allocations_of(state: CellState, workspace: str) -> list[GuaranteeAllocation]:
    allocations = [
        allocation
        for allocation in state.layout.allocations
        if allocation.workspace == workspace
    ]
    return sorted(allocations, key=lambda allocation: allocation.accelerators)


def find_free_allocation(
    state: CellState, tracked: TrackedJob, shape: GangShape
) -> tuple[GuaranteeAllocation, list[Member]] | None:
    """Return the smallest allocation that fits a gang without preemption."""
    for allocation in _allocations_of(state, tracked.row.spec.workspace):
        members = _members_in_allocation(state, tracked, shape, allocation)
        if members and all(
            state.fleet.workers[m.worker].max_tasks(shape.need) >= m.tasks
            for m in members
        ):
            return allocation, members
    return None


def claim_allocation(
    state: CellState, tracked: TrackedJob, shape: GangShape, now_s: float
) -> bool:
    """Claim the allocation whose borrowers lose the least work, and preempt them.

    Returns False if no allocation of the workspace can be claimed for the gang.
    """
    best: tuple[float, GuaranteeAllocation, list[Member], list[Borrower]] | None = None
    borrowers: list[Borrower] | None = None
    for allocation in _allocations_of(state, tracked.row.spec.workspace):
        members = _members_in_allocation(state, tracked, shape, allocation)
        if not members:
            continue
        borrowers = _borrowers(state, now_s) if borrowers is None else borrowers
        victims = choose_victims(_shortfall(state, shape, members), borrowers)
        cost = sum(victim.lost_work_s for victim in victims)
        if victims and (best is None or cost < best[0]):
            best = (cost, allocation, members, victims)
    if best is None:
        return False
    _, allocation, members, victims = best
    cause = f"reclaims allocation {allocation.name} from {len(victims)} borrowers"
    claimant = create_attempt(
        state, tracked, members, allocation.name, now_s, cause, claiming=True
    )
    for victim in victims:
        attempt = state.attempts[victim.attempt]
        spec = state.jobs[attempt.job].row.spec
        reason = f"preempt: home {allocation.name} reclaimed by {claimant.job}"
        stop(state, attempt, reason, now_s, checkpoint=spec.checkpointable)
    return True


def _shortfall(
    state: CellState, shape: GangShape, members: list[Member]
) -> dict[str, int]:
    """Return the accelerators that must be freed on each worker.

    A shortage of cores or memory on a worker counts as at least one accelerator.
    """
    shortfall = {}
    for member in members:
        worker = state.fleet.workers[member.worker]
        tasks_short = member.tasks - worker.max_tasks(shape.need)
        if tasks_short > 0:
            required = member.tasks * shape.need.accelerators
            shortfall[member.worker] = max(1, required - max(0, worker.free))
    return shortfall


def _borrowers(state: CellState, now_s: float) -> list[Borrower]:
    """Return the running gangs outside of allocations that can be stopped now."""
    return [
        Borrower(
            attempt.name,
            attempt.accelerators_by_worker,
            max(0.0, now_s - attempt.unsaved_since_s),
            state.jobs[attempt.job].row.spec.checkpointable,
        )
        for attempt in state.attempts.values()
        if attempt.phase is Phase.RUNNING
        and not attempt.allocation
        and _can_stop_now(state, attempt)
    ]


def _can_stop_now(state: CellState, attempt: Attempt) -> bool:
    spec = state.jobs[attempt.job].row.spec
    if not spec.preemptible:
        return False
    return not any(
        state.workers[worker].silent for worker in attempt.accelerators_by_worker
    )


def advance_claims(state: CellState, now_s: float) -> None:
    """Send reserve orders for claimed allocations that their borrowers have left."""
    for attempt in list(state.attempts.values()):
        if attempt.phase is Phase.CLAIMING and all(
            _within_capacity(state.fleet.workers[worker]) for worker in attempt.members
        ):
            send_reserve_orders(state, attempt, now_s)


def _within_capacity(worker: Worker) -> bool:
    return worker.free >= 0 and worker.cores_free >= 0 and worker.memory_free_mb >= 0


def refresh_allocations(state: CellState) -> None:
    """Recompute the guarantee allocations over the workers that can back them."""
    workers = [
        worker.info
        for name, worker in state.fleet.workers.items()
        if state.can_back_guarantee(name)
    ]
    guarantees = [g for g in state.view.guarantees.values() if g.cell == state.cell]
    pinned: dict[str, int] = {}
    for attempt in state.attempts.values():
        if (
            not attempt.allocation
            and attempt.job in state.jobs
            and not state.jobs[attempt.job].row.spec.preemptible
        ):
            for worker, count in attempt.accelerators_by_worker.items():
                pinned[worker] = pinned.get(worker, 0) + count
    previous = state.layout
    state.layout = allocate_guarantees(
        guarantees, workers, previous.allocations, pinned
    )
    state.fleet.set_guaranteed(state.layout.guaranteed_by_worker())
    state.allocations_stale = False
    if state.layout.missing and state.layout.missing != previous.missing:
        for workspace, shape in state.layout.missing:
            cause = (
                f"no allocation for {shape.accelerators} accelerators of {workspace!r}"
            )
            state.record("", "guarantee-at-risk", cause)
    reassign_allocations(state)


def reassign_allocations(state: CellState) -> None:
    """Match running gangs to the allocations of their workspaces.

    Gangs that match none are borrowers.
    """
    unused = {
        allocation.name: dict(allocation.accelerators_by_worker)
        for allocation in state.layout.allocations
    }
    owners = {
        allocation.name: allocation.workspace for allocation in state.layout.allocations
    }
    attempts = sorted(
        state.attempts.values(),
        key=lambda a: (not a.allocation, -sum(a.accelerators_by_worker.values())),
    )
    for attempt in attempts:
        tracked = state.jobs.get(attempt.job)
        if tracked is None:
            continue
        candidates = [
            name for name in unused if owners[name] == tracked.row.spec.workspace
        ]
        candidates.sort(key=lambda name: name != attempt.allocation)
        attempt.allocation = next(
            (
                n
                for n in candidates
                if _covers(unused[n], attempt.accelerators_by_worker)
            ),
            "",
        )
        if attempt.allocation:
            for worker, count in attempt.accelerators_by_worker.items():
                unused[attempt.allocation][worker] -= count


def _covers(unused: dict[str, int], accelerators_by_worker: dict[str, int]) -> bool:
    return all(
        unused.get(worker, 0) >= count
        for worker, count in accelerators_by_worker.items()
    )
