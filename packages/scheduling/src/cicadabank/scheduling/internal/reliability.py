"""Incidents of targets, and the preference for targets without recent ones.

A target that fails all that it starts is empty, so that units which need much room are
placed there again and again. Incidents are counted for the VM of each agent, since it
outlives the incarnations of its target, and the count decays.
"""

from __future__ import annotations

import heapq
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from cicadabank.scheduling.internal.placement import infeasible_reason
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Unit

if TYPE_CHECKING:
    from cicadabank.scheduling.internal.state import CellState

# A decayed count from here on is recent: a single incident is for one half-life.
RECENT_COUNT = 0.5
# Smaller counts are forgotten: a single incident after six half-lives.
MIN_COUNT = 1.0 / 64
# Counts that are stored for the next holder; the smallest are left out.
MAX_STORED_COUNTS = 1000


class Incident(Enum):
    """Kinds of incidents of a target."""

    FAILED_RUN = "failed run"
    CRASH = "crash"
    LOSS = "loss without notice"
    LAPSED_RUN = "lapsed run"


INCIDENT_BY_OUTCOME = {"failed": Incident.FAILED_RUN, "lapsed": Incident.LAPSED_RUN}


class IncidentCount(NamedTuple):
    """Decayed numbers of the incidents of a target.

    Attributes
    ----------
    incidents : float
    failed_runs : float
        Those of them that are failed runs.
    at_s : float
        Time up to which they have decayed.
    """

    incidents: float
    failed_runs: float
    at_s: float

    def decayed(self, now_s: float, half_life_s: float) -> IncidentCount:
        """Return the numbers as of a later time."""
        factor = 0.5 ** (max(0.0, now_s - self.at_s) / half_life_s)
        return IncidentCount(self.incidents * factor, self.failed_runs * factor, now_s)


NO_INCIDENTS = IncidentCount(0.0, 0.0, 0.0)


class ReliabilityStatus(NamedTuple):
    """What is known of the reliability of targets.

    Attributes
    ----------
    enabled : bool
        Whether the policy asks for the preference.
    active : bool
        Whether it applies.
    reason : str
        Why it does, or doesn't.
    incidents_by_agent : dict of str to float
        Decayed numbers of incidents, the largest first.
    agents_with_failed_runs : tuple of str
        Agents whose targets have had a failed run recently.
    """

    enabled: bool
    active: bool
    reason: str
    incidents_by_agent: dict[str, float]
    agents_with_failed_runs: tuple[str, ...]


def is_active(state: CellState) -> bool:
    """Return whether the policy and the platform's leases call for this preference."""
    policy = state.policy.reliability
    return policy.enabled and state.timings.max_lease_s <= policy.max_lease_s


def _reason(state: CellState) -> str:
    policy = state.policy.reliability
    if not policy.enabled:
        return "reliability.enabled is not set"
    return (
        f"the platform's leases last up to {state.timings.max_lease_s:g} s; needs at "
        f"most {policy.max_lease_s:g} s"
    )


def status(state: CellState) -> ReliabilityStatus:
    """Return what is known of the reliability of targets."""
    counts = {agent: _count(state, agent) for agent in state.incident_counts}
    worst = sorted(counts.items(), key=lambda item: -item[1].incidents)
    return ReliabilityStatus(
        state.policy.reliability.enabled,
        is_active(state),
        _reason(state),
        {a: round(c.incidents, 3) for a, c in worst if c.incidents >= MIN_COUNT},
        tuple(agent for agent, c in worst if c.failed_runs >= RECENT_COUNT),
    )


def on_run_ended(state: CellState, target: Target, outcome: str) -> None:
    """Count the end of a run if it is an incident of its target."""
    if outcome in INCIDENT_BY_OUTCOME:
        _record(state, target, INCIDENT_BY_OUTCOME[outcome])


def on_incarnation_lost(state: CellState, target: Target, has_crashed: bool) -> None:
    """Count the end of an incarnation of a target, unless it had been announced."""
    # A target that has ended is reported without capacity until its next incarnation.
    if target.draining or not any(target.capacity):
        return
    _record(state, target, Incident.CRASH if has_crashed else Incident.LOSS)


def _record(state: CellState, target: Target, incident: Incident) -> None:
    """Count an incident; several of a kind that are reported together count as one."""
    if not is_active(state):
        return
    agent = target.agent
    latest = (incident, state.now_s)
    if state.latest_incidents.get(agent) == latest:
        return
    state.latest_incidents[agent] = latest
    count = _count(state, agent)
    failed_runs = count.failed_runs + (incident is Incident.FAILED_RUN)
    count = IncidentCount(count.incidents + 1.0, failed_runs, state.now_s)
    state.incident_counts[agent] = count
    state.changed_incidents.add(agent)
    state.log(
        "target_incident",
        agent=agent,
        target=target.target_incarnation.target,
        kind=incident.value,
        incidents=round(count.incidents, 2),
        failed_runs=round(count.failed_runs, 2),
    )


def _count(state: CellState, agent: str) -> IncidentCount:
    """Return the decayed numbers of an agent's target as of now."""
    count = state.incident_counts.get(agent, NO_INCIDENTS)
    return count.decayed(state.now_s, state.policy.reliability.half_life_s)


def incident_class(state: CellState, agent: str) -> int:
    """Return the rank of a target by its incidents; 0 if there was none recently."""
    if agent not in state.incident_counts:
        return 0
    count = _count(state, agent).incidents
    if count < MIN_COUNT:
        forget(state, agent)
    return int(count + 1.0 - RECENT_COUNT)


def avoids_failing_targets(state: CellState, unit: Unit) -> bool:
    """Return whether a unit is on its last attempt, and there have been incidents."""
    if not state.incident_counts:
        return False
    attempts = state.queue_of(state.jobs[unit.job].record).attempts
    # With a single attempt, each unit would search all targets in each round.
    return unit.failed_runs >= max(1, attempts - 1)


def without_failing(
    state: CellState, unit: Unit, targets: list[Target]
) -> list[Target]:
    """Return the targets without a recent failed run.

    Returns all of them if the others could never hold the unit.
    """
    others = [t for t in targets if not _has_recent_failed_run(state, t)]
    failing = len(targets) - len(others)
    if not failing:
        return targets
    could_hold = not infeasible_reason(unit.spec, [t.shape for t in others])
    if unit.avoidance_logged_run != unit.run:
        unit.avoidance_logged_run = unit.run
        state.log(
            "failing_targets_avoided",
            job=unit.job,
            step=unit.step,
            first=unit.first_index,
            failed_runs=unit.failed_runs,
            failing=failing,
            others=len(others),
            avoided=could_hold,
        )
    return others if could_hold else targets


def _has_recent_failed_run(state: CellState, target: Target) -> bool:
    if target.agent not in state.incident_counts:
        return False
    return _count(state, target.agent).failed_runs >= RECENT_COUNT


def forget(state: CellState, agent: str) -> None:
    """Forget a target that another kind has replaced, or whose agent is removed."""
    state.incident_counts.pop(agent, None)
    state.latest_incidents.pop(agent, None)


def take_changed_counts(state: CellState) -> dict[str, IncidentCount]:
    """Return and clear the counts to be stored, by agent, on the store's clock."""
    counts = {
        agent: state.incident_counts[agent]
        for agent in state.changed_incidents & state.incident_counts.keys()
    }
    state.changed_incidents.clear()
    return {
        agent: count._replace(at_s=count.at_s + state.store_offset_s)
        for agent, count in _worst(counts).items()
    }


def restore(state: CellState, stored: dict[str, IncidentCount]) -> None:
    """Take over an earlier holder's counts, of which the clock is the store's."""
    if not is_active(state):
        return
    half_life_s = state.policy.reliability.half_life_s
    counts = {
        agent: count.decayed(state.store_now_s, half_life_s)._replace(at_s=state.now_s)
        for agent, count in stored.items()
    }
    counts = {agent: c for agent, c in counts.items() if c.incidents >= MIN_COUNT}
    state.incident_counts.update(_worst(counts))


def _worst(counts: dict[str, IncidentCount]) -> dict[str, IncidentCount]:
    if len(counts) <= MAX_STORED_COUNTS:
        return counts
    return dict(
        heapq.nlargest(MAX_STORED_COUNTS, counts.items(), key=lambda item: item[1])
    )
