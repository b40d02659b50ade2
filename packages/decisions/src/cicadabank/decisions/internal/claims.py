"""Claims of homes: a workspace's gang in its own home, and who leaves for it."""

from __future__ import annotations

from cicadabank.decisions.internal.attempts import Attempt, JobEntry, Phase
from cicadabank.decisions.internal.fleet import Worker
from cicadabank.decisions.internal.gangs import begin, reserve, stop
from cicadabank.decisions.internal.homes import Home, lay_out
from cicadabank.decisions.internal.placement import GangShape
from cicadabank.decisions.internal.state import CellState
from cicadabank.decisions.internal.victims import Borrower, choose_victims
from cicadabank.model import Adjacency, Member


def _home_left(state: CellState, home: Home) -> dict[str, int]:
    left = dict(home.share)
    for attempt in state.attempts.values():
        if attempt.home == home.name:
            for worker, count in attempt.share.items():
                left[worker] = left.get(worker, 0) - count
    return left


def _home_members(
    state: CellState, entry: JobEntry, shape: GangShape, home: Home
) -> list[Member]:
    """Return the members of a gang inside a home, without regard to borrowers."""
    left = _home_left(state, home)
    if any(not state.worker_homeable(worker) for worker in left):
        return []
    if shape.domain and any(
        state.fleet.workers[worker].info.domain != shape.domain for worker in left
    ):
        return []
    rooms = [
        (count // shape.need.accelerators, worker) for worker, count in left.items()
    ]
    rooms = [
        (room, worker)
        for room, worker in rooms
        if room > 0 and worker not in entry.avoid
    ]
    rooms.sort(key=lambda pair: (-pair[0], pair[1]))
    members: list[Member] = []
    tasks = shape.tasks
    for room, worker in rooms:
        if tasks:
            members.append(Member(worker, min(room, tasks)))
            tasks -= members[-1].tasks
    if tasks or not _adjacent(state, members, shape.adjacency):
        return []
    return members


def _adjacent(state: CellState, members: list[Member], adjacency: str) -> bool:
    infos = [state.fleet.workers[member.worker].info for member in members]
    if adjacency == Adjacency.WORKER:
        return len(infos) == 1
    if adjacency == Adjacency.RACK:
        return len({(info.domain, info.rack) for info in infos}) == 1
    return True


def _homes_of(state: CellState, workspace: str) -> list[Home]:
    homes = [home for home in state.layout.homes if home.workspace == workspace]
    return sorted(homes, key=lambda home: home.accelerators)


def free_home(
    state: CellState, entry: JobEntry, shape: GangShape
) -> tuple[Home, list[Member]] | None:
    """Return the smallest home that takes a gang without anybody's leaving."""
    for home in _homes_of(state, entry.row.spec.workspace):
        members = _home_members(state, entry, shape, home)
        if members and all(
            state.fleet.workers[m.worker].room_for(shape.need) >= m.tasks
            for m in members
        ):
            return home, members
    return None


def claim(state: CellState, entry: JobEntry, shape: GangShape, now_s: float) -> bool:
    """Reclaim the home whose borrowers lose the least."""
    best: tuple[float, Home, list[Member], list[Borrower]] | None = None
    borrowers: list[Borrower] | None = None
    for home in _homes_of(state, entry.row.spec.workspace):
        members = _home_members(state, entry, shape, home)
        if not members:
            continue
        borrowers = _borrowers(state, now_s) if borrowers is None else borrowers
        victims = choose_victims(_shortfall(state, shape, members), borrowers)
        cost = sum(victim.lost_work_s for victim in victims)
        if victims and (best is None or cost < best[0]):
            best = (cost, home, members, victims)
    if best is None:
        return False
    _, home, members, victims = best
    cause = f"reclaims home {home.name} from {len(victims)} borrowers"
    claimant = begin(state, entry, members, home.name, now_s, cause, claiming=True)
    for victim in victims:
        attempt = state.attempts[victim.attempt]
        spec = state.jobs[attempt.job].row.spec
        reason = f"preempt: home {home.name} reclaimed by {claimant.job}"
        stop(state, attempt, reason, now_s, checkpoint=spec.checkpointable)
    return True


def _shortfall(
    state: CellState, shape: GangShape, members: list[Member]
) -> dict[str, int]:
    """Return what is missing on each worker, counted in accelerators.

    A lack of cores or memory counts as the accelerators of the tasks that lack them.
    """
    missing = {}
    for member in members:
        worker = state.fleet.workers[member.worker]
        lacking = member.tasks - worker.room_for(shape.need)
        if lacking > 0:
            wanted = member.tasks * shape.need.accelerators
            missing[member.worker] = max(1, wanted - max(0, worker.free))
    return missing


def _borrowers(state: CellState, now_s: float) -> list[Borrower]:
    """Return the running gangs outside of homes that can be stopped at once."""
    return [
        Borrower(
            attempt.name,
            attempt.share,
            max(0.0, now_s - attempt.saved_s),
            state.jobs[attempt.job].row.spec.checkpointable,
        )
        for attempt in state.attempts.values()
        if attempt.phase is Phase.RUNNING
        and not attempt.home
        and _stoppable(state, attempt)
    ]


def _stoppable(state: CellState, attempt: Attempt) -> bool:
    spec = state.jobs[attempt.job].row.spec
    if not spec.stoppable:
        return False
    return not any(state.workers[worker].silent for worker in attempt.share)


def advance_claims(state: CellState, now_s: float) -> None:
    """Reserve the claimed homes that their borrowers have left."""
    for attempt in list(state.attempts.values()):
        if attempt.phase is Phase.CLAIMING and all(
            _settled(state.fleet.workers[worker]) for worker in attempt.members
        ):
            reserve(state, attempt, now_s)


def _settled(worker: Worker) -> bool:
    return worker.free >= 0 and worker.cores_free >= 0 and worker.memory_free_mb >= 0


def relayout(state: CellState) -> None:
    """Lay the homes out anew over the workers that take work."""
    workers = [
        worker.info
        for name, worker in state.fleet.workers.items()
        if state.worker_homeable(name)
    ]
    guarantees = [g for g in state.view.guarantees.values() if g.cell == state.cell]
    pinned: dict[str, int] = {}
    for attempt in state.attempts.values():
        if (
            not attempt.home
            and attempt.job in state.jobs
            and not state.jobs[attempt.job].row.spec.stoppable
        ):
            for worker, count in attempt.share.items():
                pinned[worker] = pinned.get(worker, 0) + count
    before = state.layout
    state.layout = lay_out(guarantees, workers, before.homes, pinned)
    state.fleet.set_homed(state.layout.homed())
    state.layout_stale = False
    if state.layout.missing and state.layout.missing != before.missing:
        for workspace, shape in state.layout.missing:
            text = f"no home for {shape.accelerators} accelerators of {workspace!r}"
            state.record("", "guarantee-at-risk", text)
    rematch(state)


def rematch(state: CellState) -> None:
    """Match running gangs to the homes of their workspaces.

    The others are borrowers.
    """
    left = {home.name: dict(home.share) for home in state.layout.homes}
    owners = {home.name: home.workspace for home in state.layout.homes}
    attempts = sorted(
        state.attempts.values(), key=lambda a: (not a.home, -sum(a.share.values()))
    )
    for attempt in attempts:
        entry = state.jobs.get(attempt.job)
        if entry is None:
            continue
        own = [name for name in left if owners[name] == entry.row.spec.workspace]
        own.sort(key=lambda name: name != attempt.home)
        attempt.home = next((n for n in own if _covers(left[n], attempt.share)), "")
        if attempt.home:
            for worker, count in attempt.share.items():
                left[attempt.home][worker] -= count


def _covers(left: dict[str, int], share: dict[str, int]) -> bool:
    return all(left.get(worker, 0) >= count for worker, count in share.items())
