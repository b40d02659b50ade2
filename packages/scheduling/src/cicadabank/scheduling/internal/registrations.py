"""Registration of agents, which tells their reports and orders from late ones.

A report may arrive long after it was sent: after its agent has restarted, its target
has become another incarnation, or its tasks have been started elsewhere. The holder
therefore gives each agent process a number for each incarnation that it reports, and
counts only reports that carry it. Orders carry the number too, and it is part of the
fencing token of the agent's calls, so that orders and calls from before it have no
effect any more.
"""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Report, Target
from cicadabank.scheduling.internal.units import TargetIncarnation


class Registration(NamedTuple):
    """A number given to an agent, and what it was given for.

    Attributes
    ----------
    number : int
        Increases with each registration of the agent under one epoch.
    agent_run : str
        Process of the agent.
    target_incarnation : TargetIncarnation or None
        None once the number is void.
    """

    number: int
    agent_run: str
    target_incarnation: TargetIncarnation | None


def is_registered(state: CellState, known: Target | None, report: Report) -> bool:
    """Return whether a report carries the number that its sender was given for it.

    A new registration takes effect only with a report that has a list of runs: the
    target has then seen the new fencing token, and this incarnation is running.
    """
    if report.registration is None:
        # An agent that doesn't register. While the target is known from one that does,
        # it is an earlier process, of a build that has been replaced.
        if known is not None and known.registration is not None:
            return False
        return report.observed or (
            known is not None and known.target_incarnation == report.target_incarnation
        )
    claimed = Registration(
        report.registration, report.agent_run, report.target_incarnation
    )
    if known is not None and claimed == _registration_of(known):
        return True
    return report.observed and claimed == state.registrations.get(report.agent)


def _registration_of(target: Target) -> Registration:
    return Registration(
        target.registration or 0, target.agent_run, target.target_incarnation
    )


def register(state: CellState, report: Report) -> int:
    """Return the number under which the sender of a report is to repeat it."""
    latest = state.registrations.get(report.agent, Registration(0, "", None))
    given = Registration(latest.number, report.agent_run, report.target_incarnation)
    if given != latest:
        given = given._replace(number=latest.number + 1)
        state.registrations[report.agent] = given
        state.log(
            "agent_registered",
            agent=report.agent,
            agent_run=report.agent_run,
            registration=given.number,
            claimed=report.registration,
            incarnation=report.target_incarnation.incarnation,
        )
    return given.number


def void_registration(state: CellState, agent: str) -> None:
    """Have an agent registered anew, so that earlier orders to it no longer count."""
    latest = state.registrations.get(agent)
    if latest is not None:
        state.registrations[agent] = latest._replace(target_incarnation=None)
