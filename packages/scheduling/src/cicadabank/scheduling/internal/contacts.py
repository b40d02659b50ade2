"""Contact with agents before starts are sent to them.

A start that was sent and got no reply may be carried out long after, so that its task
can start elsewhere only once that is certainly over. One that was never sent can't
happen. The holder therefore sends the starts of a unit only once it has just heard from
all of its agents. A unit stays in phase COMMITTING until then.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cicadabank.scheduling.internal import drains, lifecycle, reports
from cicadabank.scheduling.internal.state import AwaitedContact, CellState
from cicadabank.scheduling.internal.targets import Target, fits
from cicadabank.scheduling.internal.units import Phase, TargetIncarnation, Unit

# An agent that was heard from within this time is in contact. A reply takes some 2 ms,
# and agents report each second.
CONTACT_AGE_S = 0.1
# A request counts as failed after this time if neither its reply nor its failure was
# processed. Calls fail after 0.8 s, but a busy holder processes that later.
LOST_REQUEST_S = 3.0
# Agents that a log line on a withdrawn unit names at most.
MAX_LOGGED_AGENTS = 10


class ContactStatus(NamedTuple):
    """What operators are shown of contacts and starts.

    Attributes
    ----------
    awaiting_units : int
        Committed units whose starts wait for a reply of their agents.
    out_of_contact : tuple of str
        Agents that didn't reply to an order and have not been heard from since.
    starts_sent, starts_not_sent : int
        Units since the takeover whose starts were sent, or withdrawn before that.
    """

    awaiting_units: int
    out_of_contact: tuple[str, ...]
    starts_sent: int
    starts_not_sent: int


def status(state: CellState) -> ContactStatus:
    """Return what operators are shown of contacts and starts."""
    return ContactStatus(
        len(state.awaiting_contact),
        tuple(sorted(state.lost_contacts)),
        state.starts_sent,
        state.starts_not_sent,
    )


def request_contact(state: CellState, unit: Unit) -> None:
    """Ask the agents of a unit for a reply while its placement is being committed."""
    for target in _targets(state, unit):
        if target.heard_s < state.now_s - CONTACT_AGE_S:
            _request(state, target)


def on_committed(state: CellState, starting: Iterable[tuple[Unit, int]]) -> None:
    """Start units whose placement is stored, once their agents are in contact.

    A unit may have been withdrawn and placed again while the commit was under way. The
    commit then stores an earlier run than the one that is to start.
    """
    for unit, run in starting:
        if unit.phase is Phase.COMMITTING and unit.run == run:
            key = (unit.job, unit.step, unit.first_index)
            state.awaiting_contact.setdefault(
                key, AwaitedContact(unit, run, state.now_s)
            )
            lifecycle.await_begin(state, state.jobs[unit.job])
            _advance(state, key)


def on_reply(
    state: CellState, target_incarnation: TargetIncarnation, heard_s: float
) -> None:
    """Record that an agent has taken orders, and send the starts that wait for it."""
    target = state.targets_by_incarnation.get(target_incarnation)
    if target is not None:
        target.on_heard(heard_s)
        on_heard(state, target)


def on_heard(state: CellState, target: Target) -> None:
    """Send the starts that wait for an agent that was heard from."""
    if target.agent in state.lost_contacts:
        state.lost_contacts.discard(target.agent)
        state.log("contact_regained", agent=target.agent)
    _advance_units_on(state, target.target_incarnation)


def on_no_reply(
    state: CellState, target_incarnation: TargetIncarnation, sent_s: float
) -> None:
    """Record that an agent didn't take orders.

    Its target gets no new tasks until the agent is heard from, and units that wait for
    it are requeued at once.
    """
    target = state.targets_by_incarnation.get(target_incarnation)
    if target is None or target.heard_s >= sent_s:
        return
    target.contact_asked_s = float("-inf")
    if not target.out_of_contact:
        target.out_of_contact = True
        state.lost_contacts.add(target.agent)
        state.log(
            "contact_lost",
            agent=target.agent,
            target=target_incarnation.target,
            heard_age_s=round(state.now_s - target.heard_s, 3),
        )
    _advance_units_on(state, target_incarnation)


def _advance_units_on(state: CellState, target_incarnation: TargetIncarnation) -> None:
    """Start or withdraw the units on a target that wait for contact."""
    if not state.awaiting_contact:
        return
    members = state.members_by_incarnation.get(target_incarnation, {})
    for unit in list(members.values()):
        _advance(state, (unit.job, unit.step, unit.first_index))


def advance_all(state: CellState) -> None:
    """Start or withdraw all units that wait for contact, and expire lost requests."""
    for key, awaited in list(state.awaiting_contact.items()):
        for target in _targets(state, awaited.unit):
            asked_s = target.contact_asked_s
            if float("-inf") < asked_s < state.now_s - LOST_REQUEST_S:
                on_no_reply(state, target.target_incarnation, asked_s)
        _advance(state, key)


def _targets(state: CellState, unit: Unit) -> list[Target]:
    """Return the known targets of a unit, each once."""
    incarnations = dict.fromkeys(member.target_incarnation for member in unit.members)
    found = map(state.targets_by_incarnation.get, incarnations)
    return [target for target in found if target is not None]


def _request(state: CellState, target: Target) -> None:
    """Ask an agent for a reply, unless a request is open."""
    if target.contact_asked_s == float("-inf") and not state.fenced:
        target.contact_asked_s = state.now_s
        state.orders_for(target).asks_for_reply = True


def _advance(state: CellState, key: tuple[str, int, int]) -> None:
    """Send a unit's starts if all of its agents are in contact.

    They are sent together, so that a gang of which one member can't be contacted has
    no others started. An agent also counts as in contact if it was heard from since
    the commit: the replies to a large gang take longer than `CONTACT_AGE_S` to arrive.
    """
    awaited = state.awaiting_contact.get(key)
    if awaited is None or state.fenced:
        return
    unit = awaited.unit
    if unit.phase is not Phase.COMMITTING or unit.run != awaited.run:
        del state.awaiting_contact[key]
        return
    job = state.jobs[unit.job]
    lost = any(member.released for member in unit.members)
    if unit.stop_reason or lost or job.cancelled or job.reason:
        _withdraw(state, unit, "withdrawn before start")
        return
    targets = _targets(state, unit)
    if not all(drains.accepts_starts(state, target) for target in targets):
        _withdraw(state, unit, "withdrawn before start")
        return
    if any(target.out_of_contact for target in targets):
        _withdraw(state, unit, "no contact")
        return
    oldest_s = awaited.since_s - CONTACT_AGE_S
    missing = [target for target in targets if target.heard_s < oldest_s]
    if missing:
        for target in missing:
            _request(state, target)
        return
    unexpected = not unit.tasks().isdisjoint(state.tasks_with_unexpected_runs())
    if unexpected or not _has_room(state, targets):
        _withdraw(state, unit, "withdrawn before start")
        return
    _send_starts(state, unit)


def _has_room(state: CellState, targets: list[Target]) -> bool:
    """Return whether targets hold what they are to run; one may have shrunk."""
    return all(
        fits(state.resources_in_use(target), target.capacity) for target in targets
    )


def _send_starts(state: CellState, unit: Unit) -> None:
    del state.awaiting_contact[unit.job, unit.step, unit.first_index]
    state.starts_sent += 1
    unit.phase = Phase.RUNNING
    unit.started_s = unit.checkpointed_s = state.now_s
    unit.is_timed = True
    unit.progress = None
    for member_index, member in enumerate(unit.members):
        target = state.targets_by_incarnation[member.target_incarnation]
        reports.send_start(state, target, unit, member_index)


def _withdraw(state: CellState, unit: Unit, reason: str) -> None:
    """Requeue a unit of which no start was sent for this run: nothing has to stop."""
    del state.awaiting_contact[unit.job, unit.step, unit.first_index]
    state.starts_not_sent += 1
    out = [t.agent for t in _targets(state, unit) if t.out_of_contact]
    state.log(
        "start_not_sent",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        run=unit.run,
        reason=unit.stop_reason or reason,
        out_of_contact=out[:MAX_LOGGED_AGENTS],
    )
    unit.stop_reason = unit.stop_reason or reason
    unit.phase = Phase.STOPPING
    for member_index in range(len(unit.members)):
        state.release_member(unit, member_index)
    lifecycle.requeue_if_idle(state, state.jobs[unit.job], unit)
