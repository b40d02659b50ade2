"""Planning: which queued job starts where, and who leaves for it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cicadabank.decisions.internal.attempts import Attempt, JobEntry, Phase
from cicadabank.decisions.internal.fleet import Fleet, Worker
from cicadabank.decisions.internal.gangs import begin, reserve, stop
from cicadabank.decisions.internal.homes import Home, lay_out
from cicadabank.decisions.internal.messages import CommitJob
from cicadabank.decisions.internal.outcomes import refused_row
from cicadabank.decisions.internal.placement import GangShape, nearest_possible, place
from cicadabank.decisions.internal.state import CellState, Hold
from cicadabank.decisions.internal.victims import Borrower, choose_victims
from cicadabank.model import Adjacency, Member, describe_shape

JOBS_SCANNED = 256
HOLD_RELEASE_BATCHES = 16
SHORTEST_HOLD_S = 60.0


def plan(state: CellState, now_s: float) -> None:
    """Start what can start; claim homes; hold room for the first job that must wait."""
    if state.layout_stale:
        relayout(state)
    advance_claims(state, now_s)
    first_blocked = True
    for rank in _candidates(state, now_s):
        entry = state.jobs.get(rank[2])
        if entry is None or entry.attempt or entry.pending:
            continue
        if _refuse_impossible(state, entry, now_s) or not _within_quota(state, entry):
            continue
        if _try_start(state, entry, now_s):
            continue
        if first_blocked:
            first_blocked = False
            _refresh_hold(state, entry, now_s)
    if first_blocked:
        state.hold = None
    state.plan_due = False


def _candidates(state: CellState, now_s: float) -> list[tuple[bool, float, str]]:
    """Return the jobs to look at; one that has starved goes before urgent ones."""
    ranks = list(state.queue.islice(0, JOBS_SCANNED))
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
    state.out.append(CommitJob(entry.row.job, row, entry.version, operation))
    return True


def impossible_reason(state: CellState, shape: GangShape) -> str:
    """Return why no worker set of this cell can ever take a gang.

    Or an empty string.
    """
    key = (state.fleet_version, shape)
    if key not in _possible_cache:
        if len(_possible_cache) > 10_000:
            _possible_cache.clear()
        _possible_cache[key] = _impossible_reason(state, shape)
    return _possible_cache[key]


_possible_cache: dict[tuple, str] = {}


def _impossible_reason(state: CellState, shape: GangShape) -> str:
    empty = Fleet(worker.info for worker in state.fleet.workers.values())
    if place(empty, shape):
        return ""
    wanted = describe_shape(shape.tasks, shape.need.accelerators, shape.adjacency)
    fits = nearest_possible(empty, shape)
    if fits is None:
        hint = "no smaller shape fits either"
    else:
        nearest = describe_shape(fits.tasks, fits.need.accelerators, fits.adjacency)
        hint = f"the nearest shape that fits: {nearest}"
    return f"no workers of cell {state.cell!r} can ever hold {wanted}; {hint}"


def _try_start(state: CellState, entry: JobEntry, now_s: float) -> bool:
    spec = entry.row.spec
    shape = GangShape.of(spec)
    for worker in [w for w, until_s in entry.avoid.items() if until_s <= now_s]:
        del entry.avoid[worker]
    home = _free_home(state, entry, shape)
    if home is not None:
        begin(
            state,
            entry,
            home[1],
            home[0].name,
            now_s,
            f"in its own home {home[0].name}",
        )
        return True
    shunned = _shunned(state, entry, shape)
    members = place(state.fleet, shape, partial(_limit, state, entry, shunned, now_s))
    if members:
        begin(state, entry, members, "", now_s, "on free accelerators")
        return True
    return _claim(state, entry, shape, now_s)


def _shunned(state: CellState, entry: JobEntry, shape: GangShape) -> frozenset[str]:
    """Return the workers on which a job has failed, if others could ever hold it.

    A job that has failed wherever it fits is tried there again: what is left of its
    tries then tells a bad job from bad workers, and it doesn't wait without end.
    """
    failed_on = state.health.failed_on(entry.row.job)
    if not failed_on:
        return failed_on
    others = [
        worker.info
        for name, worker in state.fleet.workers.items()
        if name not in failed_on and state.worker_usable(name)
    ]
    return failed_on if place(Fleet(others), shape) else frozenset()


def _limit(
    state: CellState,
    entry: JobEntry,
    shunned: frozenset[str],
    now_s: float,
    worker: Worker,
) -> int:
    """Return how many accelerators of a worker a job may use outside of its home."""
    name = worker.info.name
    spec = entry.row.spec
    if name in entry.avoid or name in shunned:
        return 0
    if state.health.on_probation(name) and not spec.idempotent:
        return 0
    hold = state.hold
    if hold and hold.job != entry.row.job and name in hold.workers and not spec.urgent:
        expected_s = state.estimates.expected_s(spec.workspace, spec.estimate_s)
        if now_s + expected_s > hold.until_s:
            return 0
    if spec.idempotent or spec.checkpointable:
        return worker.free
    return _shared_room(state, worker)


def _shared_room(state: CellState, worker: Worker) -> int:
    """Return the accelerators that no home covers, less what stands on them.

    A job that can neither be repeated nor resumed can't be stopped for a reclaim, so
    it must not borrow a home.
    """
    outside = sum(
        tasks * need.accelerators
        for attempt, (tasks, need) in worker.bookings.items()
        if attempt in state.attempts and not state.attempts[attempt].home
    )
    return worker.info.accelerators - worker.homed - outside


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


def _free_home(
    state: CellState, entry: JobEntry, shape: GangShape
) -> tuple[Home, list[Member]] | None:
    for home in _homes_of(state, entry.row.spec.workspace):
        members = _home_members(state, entry, shape, home)
        if members and all(
            state.fleet.workers[m.worker].room_for(shape.need) >= m.tasks
            for m in members
        ):
            return home, members
    return None


def _claim(state: CellState, entry: JobEntry, shape: GangShape, now_s: float) -> bool:
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
    if not (spec.idempotent or spec.checkpointable):
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
            and not _repeatable(state, attempt)
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


def _repeatable(state: CellState, attempt: Attempt) -> bool:
    spec = state.jobs[attempt.job].row.spec
    return spec.idempotent or spec.checkpointable


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


def _refresh_hold(state: CellState, entry: JobEntry, now_s: float) -> None:
    hold = state.hold
    if hold and hold.job == entry.row.job and _hold_stands(state, hold, now_s):
        return
    state.hold = _make_hold(state, entry, now_s)


def _hold_stands(state: CellState, hold: Hold, now_s: float) -> bool:
    """Whether a hold is kept.

    Moving it whenever another place seems sooner would let backfilled jobs onto every
    place in turn, and the job that waits would never get one. Only a hold that took
    twice as long as expected is made anew.
    """
    expected_s = max(SHORTEST_HOLD_S, hold.until_s - hold.made_s)
    if now_s > hold.until_s + expected_s:
        return False
    return all(state.worker_usable(worker) for worker in hold.workers)


def _make_hold(state: CellState, entry: JobEntry, now_s: float) -> Hold | None:
    """Find where the job will fit first as running gangs end.

    At their expected times.
    """
    shape = GangShape.of(entry.row.spec)
    ending = sorted(
        (
            (_expected_end_s(state, attempt, now_s), attempt.name)
            for attempt in _running(state)
        ),
    )
    batch = max(1, len(ending) // HOLD_RELEASE_BATCHES)
    shunned = _shunned(state, entry, shape)
    limit: Callable[[Worker], int] = partial(_limit_for_hold, entry, shunned)
    released: list[Attempt] = []
    found: Hold | None = None
    for first in range(0, len(ending), batch):
        for _, name in ending[first : first + batch]:
            attempt = state.attempts[name]
            released.append(attempt)
            for worker in attempt.share:
                state.fleet.release(worker, name)
        members = place(state.fleet, shape, limit)
        if members:
            until_s = ending[min(first + batch, len(ending)) - 1][0]
            workers = frozenset(member.worker for member in members)
            found = Hold(entry.row.job, workers, until_s, now_s)
            break
    for attempt in released:
        for member in attempt.members.values():
            if not member.ended and member.worker in state.fleet.workers:
                state.fleet.book(
                    member.worker, attempt.name, member.tasks, attempt.need
                )
    return found


def _running(state: CellState) -> list[Attempt]:
    return [
        a for a in state.attempts.values() if a.phase in (Phase.RUNNING, Phase.STOPPING)
    ]


def _limit_for_hold(entry: JobEntry, shunned: frozenset[str], worker: Worker) -> int:
    if worker.info.name in shunned:
        return 0
    if entry.row.spec.idempotent or entry.row.spec.checkpointable:
        return worker.free
    return worker.info.accelerators - worker.homed


def _expected_end_s(state: CellState, attempt: Attempt, now_s: float) -> float:
    if attempt.phase is Phase.STOPPING:
        return now_s
    spec = state.jobs[attempt.job].row.spec
    expected_s = state.estimates.expected_s(spec.workspace, spec.estimate_s)
    # A gang that has outrun its estimate is expected to run as long again.
    ran_s = now_s - attempt.running_since_s
    return now_s + (expected_s - ran_s if ran_s < expected_s else ran_s)
