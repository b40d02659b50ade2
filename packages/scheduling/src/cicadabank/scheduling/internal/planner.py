"""Which units start next, where, and what is stopped for them."""

from __future__ import annotations

import math
from collections import defaultdict

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.headroom import Headroom
from cicadabank.scheduling.internal.jobs import StepSpec
from cicadabank.scheduling.internal.placement import (
    Choice,
    Victim,
    is_hopeless,
    place,
    place_by_stopping,
)
from cicadabank.scheduling.internal.reservations import Reservations
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target, how_many
from cicadabank.scheduling.internal.units import Job, Phase, Unit

# What a finished job of each priority is worth, from the users' sheets.
WORTH_OF_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}
DEFAULT_WORTH = 1.0
# Share of its worth that a job keeps when it ends late, from the users' sheets.
LATE_SHARE = 0.25
# A job is worth this much, and the rest by its work against the mean of its queue, up
# to a limit; from the users' rules.
WORTH_AT_NO_WORK = 0.3
LARGEST_WORTH = 4.0
# What a wasted core-second costs, against the mean worth of one that is of use. On four
# sites of the users it is 1.33 to 1.54 times that, while the worth itself differs by
# three times.
WASTE_RATIO = 1.45
# Worth of a core-second of the users' present jobs, and how much of it counts beside
# what is seen: some minutes of their traffic.
USUAL_WORTH = 0.0025
USUAL_WORTH_SEEN = 40.0
# Work is only thrown away for a gain that is this much larger, as forecasts are off.
GAIN_FACTOR = 1.5
# Of the known agents, some may have gone for good.
REPORTED_SHARE = 0.9
# A step that is wider than this share of the room may run in waves.
WAVE_SHARE = 0.25
# A guaranteed job waits this long for room to become free by itself; the users allow
# 2.7 s, the stops that may be needed after it included.
RECLAIM_WAIT_S = 1.0
# Forecasts of when room becomes free are off by about this factor.
WAIT_MARGIN = 1.5
# Slack beyond which waiting costs little; about the mean time between two starts.
PATIENCE_S = 8.0
# A unit is placed on racks where it takes three times as long only if it would have to
# wait for this multiple of its run time: it also takes the room for longer there.
FAR_PATIENCE = 6.0
# Work that a stop wastes beside what was not saved: restoring and stopping.
RESTART_WASTE_S = 0.5


def plan(state: CellState) -> None:
    """Place what is waiting, the most urgent first."""
    if state.fenced or state.stopping or not state.loaded or _gathering(state):
        return
    _start_claims(state)
    if state.now_s - state.taken_over_s > state.timings.survey_s:
        _end_hopeless(state)
    waiting = _waiting(state)
    if not waiting:
        return
    entitled = entitled_units(state)
    indices = {
        job: _index(state, state.jobs[job]) for job in {unit.job for unit in waiting}
    }
    waiting.sort(key=lambda unit: _rank(state, unit, id(unit) in entitled, indices))
    targets = usable(state)
    kept = Reservations(state)
    headroom = Headroom(state, targets)
    blocked: set[tuple[str, int, bool]] = set()
    for unit in waiting:
        # What holds for one task of a step holds for the others in this round.
        kind = (unit.job, unit.step, id(unit) in entitled)
        if kind in blocked:
            continue
        if not _may_start(state, unit, entitled, headroom):
            blocked.add(kind)
            continue
        choice = _choose(state, unit, kept.open_to(unit, targets), entitled, kept)
        if choice is not None:
            headroom.take(unit)
            _claim(state, unit, choice, id(unit) in entitled)
            continue
        blocked.add(kind)
        if kept.left(targets):
            kept.reserve(unit, targets)


def _gathering(state: CellState) -> bool:
    """Whether most agents have still to report after a takeover.

    What is placed before that goes to the first few, and stops work there.
    """
    if state.now_s - state.loaded_s >= state.timings.gather_s:
        return False
    return len(state.targets) < REPORTED_SHARE * len(state.attached_s)


def _may_start(
    state: CellState, unit: Unit, entitled: set[int], headroom: Headroom
) -> bool:
    """Whether a unit leaves enough free for urgent work, or is urgent itself."""
    job = state.jobs[unit.job]
    if id(unit) in entitled or state.queue_of(job.record).priority == 0:
        return True
    return headroom.admits(unit, slack_s(state, job))


def usable(state: CellState) -> list[Target]:
    """Return the targets that take new tasks at present."""
    oldest_s = state.now_s - state.timings.silent_after_s
    return [
        target
        for target in state.targets.values()
        if target.observed
        and target.heard_s >= oldest_s
        and not (target.draining or target.leaving or target.unhealthy)
        and target.domain not in state.domains_out
        and target.quarantined_until_s <= state.now_s
    ]


def _waiting(state: CellState) -> list[Unit]:
    waiting = []
    for job in list(state.open_jobs.values()):
        if job.cancelled or job.reason:
            continue
        done = job.done_steps()
        for unit in job.units:
            if unit.phase is Phase.WAITING and done.issuperset(unit.spec.after):
                waiting.append(unit)
    return waiting


def entitled_units(state: CellState) -> set[int]:
    """Return the units that a workspace's guarantee covers, the oldest jobs first.

    Returns
    -------
    set of int
        Identities of the units.
    """
    left = dict(state.guarantees)
    covered: set[int] = set()
    jobs = [
        job
        for job in state.open_jobs.values()
        if not (job.cancelled or job.reason)
        and state.queue_of(job.record).priority == 0
    ]
    for job in sorted(jobs, key=lambda j: j.record.accepted_s):
        done = job.done_steps()
        for unit in job.units:
            room = left.get(job.record.workspace, 0)
            if unit.phase is Phase.DONE or not done.issuperset(unit.spec.after):
                continue
            if 0 < unit.accelerators <= room:
                left[job.record.workspace] = room - unit.accelerators
                covered.add(id(unit))
    return covered


def objective_s(state: CellState, job: Job) -> float:
    """Return within which time of its acceptance a job is on time."""
    queue = state.queue_of(job.record)
    return queue.stretch * chain_s(state, job) + queue.latency_s


def chain_s(state: CellState, job: Job, left_only: bool = False) -> float:
    """Return the longest chain of expected work of a job."""
    done = job.done_steps() if left_only else set()
    ends: list[float] = []
    queue = job.record.queue
    for number, step in enumerate(job.record.steps):
        before = max((ends[after] for after in step.after), default=0.0)
        step_s = state.forecast.expected_s(queue, step.estimate_s)
        left_s = 0.0 if number in done else step_s * waves(state, step)
        ends.append(before + left_s)
    return max(ends, default=0.0)


def waves(state: CellState, step: StepSpec) -> int:
    """Return in how many waves a wide step may run and still be on time."""
    if step.gang or not state.targets:
        return 1
    room = sum(how_many(step.need, t.capacity) for t in state.targets.values())
    return max(1, math.ceil(step.count / max(1.0, room * WAVE_SHARE)))


def slack_s(state: CellState, job: Job) -> float:
    """Return for how long a job can still wait and be on time."""
    left_s = objective_s(state, job) - age_s(state, job)
    return left_s - chain_s(state, job, left_only=True)


def age_s(state: CellState, job: Job) -> float:
    """Return the time since a job was accepted."""
    return state.now_s + state.store_offset_s - job.record.accepted_s


def _rank(
    state: CellState, unit: Unit, entitled: bool, indices: dict[str, float]
) -> tuple:
    """Order by guarantee, then by the credit that waiting costs."""
    accepted_s = state.jobs[unit.job].record.accepted_s
    if entitled:
        return (0, accepted_s, unit.step, unit.first)
    return (1, -indices[unit.job], accepted_s, unit.first)


def _index(state: CellState, job: Job) -> float:
    """Return the index of apparent tardiness cost of a job.

    It is the worth per accelerator-second, falling with the slack that is left.
    """
    slack = slack_s(state, job)
    worth = job_worth(state, job) * (LATE_SHARE if slack < 0 else 1.0)
    cost = max(1.0, work_core_s(state, job))
    return worth / cost * math.exp(-max(0.0, slack) / PATIENCE_S)


def work_core_s(state: CellState, job: Job) -> float:
    """Return the expected work of a job, an accelerator counting as eight cores."""
    return sum(
        unit.weight * state.forecast.expected_s(job.record.queue, unit.spec.estimate_s)
        for unit in job.units
    )


def waste_price(state: CellState) -> float:
    """Return what a wasted core-second costs, in worth, from the jobs seen so far."""
    worth, work = USUAL_WORTH_SEEN, USUAL_WORTH_SEEN / USUAL_WORTH
    for name, (count, mean) in state.mean_work.items():
        queue = state.queues.get(name)
        priority = queue.priority if queue else len(WORTH_OF_PRIORITY)
        worth += count * WORTH_OF_PRIORITY.get(priority, DEFAULT_WORTH)
        work += count * mean
    return WASTE_RATIO * worth / work


def job_worth(state: CellState, job: Job) -> float:
    """Return what a job is worth if it ends on time."""
    queue = state.queue_of(job.record)
    _, mean = state.mean_work.get(job.record.queue, (0, 0.0))
    size = work_core_s(state, job) / mean if mean > 0 else 1.0
    share = WORTH_AT_NO_WORK + (1.0 - WORTH_AT_NO_WORK) * size
    worth = WORTH_OF_PRIORITY.get(queue.priority, DEFAULT_WORTH)
    return worth * min(LARGEST_WORTH, share)


def _taken(unit: Unit, job: Job) -> dict[str, int]:
    """Return how many tasks of a unit's step are on each target, others included."""
    counts: dict[str, int] = defaultdict(int)
    if unit.spec.per_target:
        for other in job.units:
            if other is not unit and other.step == unit.step:
                for member in other.members:
                    if not member.gone:
                        counts[member.place.target] += 1
    return counts


def _choose(
    state: CellState,
    unit: Unit,
    targets: list[Target],
    entitled: set[int],
    kept: Reservations,
) -> Choice | None:
    job = state.jobs[unit.job]
    taken = _taken(unit, job)
    others = [t for t in targets if t.place.target not in unit.avoid]
    choice = place(unit, others, taken, False) or place(unit, targets, taken, False)
    if choice is not None:
        return choice
    if id(unit) in entitled:
        if kept.wait_s(unit, targets) < RECLAIM_WAIT_S - age_s(state, job):
            return None
        victims = _victims(state, entitled, -1)
        return place_by_stopping(unit, targets, victims, taken, True)
    wait_s = kept.wait_s(unit, targets)
    if wait_s * WAIT_MARGIN <= slack_s(state, job):
        return None
    choice = _worth_stopping(state, unit, targets, entitled, taken)
    # Far from its data or spread over racks a unit is slow, but may end sooner than if
    # it waited.
    if choice is None and wait_s > FAR_PATIENCE * state.expected_s(unit):
        choice = place(unit, targets, taken, True)
    return choice


def _worth_stopping(
    state: CellState,
    unit: Unit,
    targets: list[Target],
    entitled: set[int],
    taken: dict[str, int],
) -> Choice | None:
    """Choose targets for a unit in place of less urgent ones, if that is a gain."""
    job = state.jobs[unit.job]
    if slack_s(state, job) < 0:
        return None
    victims = _victims(state, entitled, state.queue_of(job.record).priority)
    choice = place_by_stopping(unit, targets, victims, taken, False)
    if choice is None:
        return None
    waiting = sum(1 for other in job.units if other.phase is Phase.WAITING)
    gain = job_worth(state, job) * (1.0 - LATE_SHARE) / waiting
    if choice.waste_core_s * waste_price(state) * GAIN_FACTOR > gain:
        return None
    return choice


def _victims(
    state: CellState, entitled: set[int], above: int
) -> dict[str, list[Victim]]:
    """Return the units that may be stopped, of lower priority than `above`."""
    found: dict[str, list[Victim]] = defaultdict(list)
    for unit in state.running_units():
        priority = state.queue_of(state.jobs[unit.job].record).priority
        if id(unit) in entitled or priority <= above:
            continue
        lost_s = unit.unsaved_s(state.now_s) + RESTART_WASTE_S
        victim = Victim(unit, unit.weight * lost_s)
        for target in {m.place.target for m in unit.members if not m.gone}:
            found[target].append(victim)
    return found


def _claim(state: CellState, unit: Unit, choice: Choice, entitled: bool) -> None:
    """Book a unit's targets; it starts once what is stopped for it has gone."""
    state.occupy(unit, [target.place for target in choice.targets])
    unit.phase = Phase.CLAIMING
    job = state.jobs[unit.job]
    state.log(
        "unit_placed",
        job=unit.job,
        step=unit.step,
        first=unit.first,
        run=unit.run + 1,
        targets=[t.place.target for t in choice.targets],
        near=choice.near,
        entitled=entitled,
        waited_s=round(state.now_s + state.store_offset_s - job.record.accepted_s, 3),
        victims=[f"{v.job}/{v.step}/{v.first}" for v in choice.victims],
        config_version=state.view.version,
    )
    for victim in choice.victims:
        lifecycle.stop(state, victim, "preempted")
    if not choice.victims:
        _start_claim(state, unit)


def _start_claims(state: CellState) -> None:
    for job in list(state.open_jobs.values()):
        for unit in job.units:
            if unit.phase is Phase.CLAIMING:
                _start_claim(state, unit)


def _start_claim(state: CellState, unit: Unit) -> None:
    """Commit a claim whose targets have room for it now."""
    for member in unit.members:
        target = state.places.get(member.place)
        if target is None or target.draining or target.domain in state.domains_out:
            lifecycle.withdraw(state, unit)
            return
        if min(target.free) < 0:
            return
    unit.phase = Phase.COMMITTING
    unit.run += 1
    job = state.jobs[unit.job]
    if job.state == "pending":
        job.state = "running"
    state.mark(job)


def _end_hopeless(state: CellState) -> None:
    """Fail jobs that no target could ever run, at once."""
    if not state.targets or len(state.targets) < len(state.attached_s) / 2:
        return
    for job in list(state.open_jobs.values()):
        if job.cancelled or job.reason or job.state != "pending":
            continue
        for number, step in enumerate(job.record.steps):
            reason = is_hopeless(step, state.targets.values())
            if reason:
                lifecycle.fail(state, job, f"step {number}: {reason}")
                break
