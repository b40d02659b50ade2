"""What the holder learns from agents: who lives, what runs there, what has ended."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.jobs import RunId
from cicadabank.scheduling.internal.state import CellState, Start
from cicadabank.scheduling.internal.targets import Report, Target
from cicadabank.scheduling.internal.units import Phase, Place, Unit

# All members of a gang that is done are listed as ended within a report or two.
MEMBERS_END_S = 1.5


class Answer(NamedTuple):
    """The answer to a report.

    Attributes
    ----------
    lease_s : float
        For which the target's tasks may go on, from when the report was sent.
    recorded : int
        Ends up to this sequence are stored, or concern nothing that is kept.
    settled : tuple of RunId
        Refusals and stops that the agent need not tell again.
    """

    lease_s: float
    recorded: int
    settled: tuple[RunId, ...]


def take(state: CellState, report: Report, may_renew: bool) -> Answer:
    """Take in an agent's report."""
    known = state.targets.get(report.agent)
    if known is not None and _is_stale(known, report):
        return Answer(0.0, 0, ())
    if known is not None and known.place != report.place:
        forget(state, known, "a new life of the target was reported")
        known = None
    target = known or _welcome(state, report)
    was_draining = target.draining
    target.take(report, state.now_s)
    if target.draining and not was_draining:
        state.log(
            "target_drains",
            target=target.place.target,
            remaining_s=report.remaining_s,
        )
    settled: list[RunId] = []
    if report.observed and state.loaded:
        settled = _compare(state, target, report)
    lease_s = state.timings.lease_s if may_renew else 0.0
    if lease_s:
        target.granted_until_s = state.now_s + lease_s
    if not state.dirty and state.in_flight is None:
        target.recorded = target.taken
    return Answer(lease_s, target.recorded, tuple(settled))


def _is_stale(known: Target, report: Report) -> bool:
    return known.agent_run == report.agent_run and report.number <= known.number


def _welcome(state: CellState, report: Report) -> Target:
    target = Target(report.place, report.agent)
    state.targets[report.agent] = target
    state.places[report.place] = target
    target.granted_until_s = state.lapses_s.pop(report.place, float("-inf"))
    for place in list(state.members_at):
        if place.agent == report.agent and place != report.place:
            lose_place(state, place)
    for (job, step, index), unit in state.members_at.get(report.place, {}).items():
        target.book((job, step, index), unit.spec.need)
    state.log(
        "target_found",
        target=report.place.target,
        incarnation=report.place.incarnation,
        agent=report.agent,
        domain=report.domain,
        capacity=list(report.capacity),
        labels=list(report.labels),
        rack=report.rack,
    )
    return target


def forget(state: CellState, target: Target, reason: str) -> None:
    """Forget a life of a target; whatever ran there has ended."""
    state.log(
        "target_lost",
        target=target.place.target,
        incarnation=target.place.incarnation,
        reason=reason,
        members=len(state.members_at.get(target.place, {})),
    )
    if state.targets.get(target.agent) is target:
        del state.targets[target.agent]
    state.places.pop(target.place, None)
    state.orders.pop(target.agent, None)
    lose_place(state, target.place)


def lose_place(state: CellState, place: Place) -> None:
    """Take all members on a place as gone."""
    for (_, _, index), unit in list(state.members_at.get(place, {}).items()):
        state.vacate(unit, index - unit.first)
        job = state.jobs[unit.job]
        if unit.phase is Phase.CLAIMING:
            lifecycle.withdraw(state, unit)
        else:
            lifecycle.stop(state, unit, "target lost")
        lifecycle.settle(state, job, unit)
    state.lapses_s.pop(place, None)


def _compare(state: CellState, target: Target, report: Report) -> list[RunId]:
    """Bring what is believed of a target in line with what it lists."""
    place = target.place
    mentioned: set[tuple[str, int, int]] = set()
    for end in report.ended:
        if end.sequence > target.taken:
            lifecycle.ended(state, target, end)
            target.taken = end.sequence
    for run in report.running:
        mentioned.add(run.id[:3])
        _running(state, target, run)
    mentioned.update(run[:3] for run in report.pending)
    settled = [*report.gone, *(run for run, _ in report.refused)]
    for run in report.gone:
        _gone(state, place, run, "stopped")
    for run, reason in report.refused:
        state.log(
            "start_refused", job=run.job, run=run.run, target=place.target, why=reason
        )
        _gone(state, place, run, f"refused: {reason}")
    for (_, _, index), unit in list(state.members_at.get(place, {}).items()):
        number = index - unit.first
        if (unit.job, unit.step, index) not in mentioned:
            _missing(state, target, unit, number)
        elif _must_stop(state, unit):
            lifecycle.send_stop(state, unit, number)
    return settled


def _must_stop(state: CellState, unit: Unit) -> bool:
    """Whether what a target still lists of a unit has to be stopped.

    The members of a gang that is done end by themselves, but not at the same moment.
    """
    if unit.phase is Phase.DONE:
        return state.now_s - unit.done_s > MEMBERS_END_S
    return unit.phase is Phase.STOPPING


def _running(state: CellState, target: Target, run) -> None:
    found = state.member(run.id, target.place)
    if found is None:
        orders = state.orders_for(target)
        if run.id not in orders.stops:
            orders.stops.append(run.id)
        return
    unit, number = found
    member = unit.members[number]
    if not member.present:
        member.present = True
        if unit.phase is Phase.RUNNING and all(m.present for m in unit.members):
            unit.started_s = unit.saved_s = state.now_s
    if run.checkpoint and run.checkpoint != unit.checkpoint:
        unit.checkpoint = run.checkpoint
        unit.saved_s = state.now_s
        if state.now_s - unit.stored_s >= state.timings.checkpoint_s:
            unit.stored_s = state.now_s
            state.mark(state.jobs[unit.job])


def _gone(state: CellState, place: Place, run: RunId, reason: str) -> None:
    found = state.member(run, place)
    if found is None:
        return
    unit, number = found
    if unit.phase in (Phase.CLAIMING, Phase.COMMITTING):
        return
    state.vacate(unit, number)
    job = state.jobs[unit.job]
    if unit.phase is Phase.RUNNING:
        lifecycle.stop(state, unit, reason)
    lifecycle.settle(state, job, unit)


def _missing(state: CellState, target: Target, unit: Unit, number: int) -> None:
    """Send an order again that has had no effect yet.

    A start is idempotent: a target that has the run says so, and one on which it has
    ended refuses it.
    """
    if unit.phase is Phase.RUNNING:
        send_start(state, target, unit, number)
    elif _must_stop(state, unit):
        lifecycle.send_stop(state, unit, number)


def send_start(state: CellState, target: Target, unit: Unit, number: int) -> None:
    """Order a member to start, unless that was done a moment ago."""
    member = unit.members[number]
    if state.fenced or state.now_s - member.ordered_s < state.timings.order_retry_s:
        return
    member.ordered_s = state.now_s
    record = state.jobs[unit.job].record
    start = Start(
        unit.run_id(number), record.payload, unit.checkpoint, tuple(unit.spec.need)
    )
    state.orders_for(target).starts.append(start)


def check_silence(state: CellState) -> None:
    """Give up on targets whose leases have lapsed for certain."""
    drift = 1.0 + state.timings.clock_drift
    for target in list(state.targets.values()):
        silent_s = state.now_s - target.heard_s
        if silent_s <= state.timings.silent_after_s:
            continue
        left_s = target.granted_until_s - target.heard_s
        if silent_s > max(left_s, state.timings.lease_s) * drift:
            forget(state, target, f"silent for {silent_s:.1f} s, its lease has lapsed")
    for place, lapse_s in list(state.lapses_s.items()):
        if state.now_s > lapse_s and place not in state.places:
            lose_place(state, place)
