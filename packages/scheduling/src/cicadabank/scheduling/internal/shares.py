"""Fair shares of the workspaces in the capacity that guarantees leave.

A workspace is entitled to a share of the cell in proportion to its guarantee. Jobs of a
workspace that uses less than that move forward among the units that no guarantee
covers, and its running work is protected from those that use more. All figures are
computed once for each workspace in a planning round.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from cicadabank.scheduling.internal.jobs import Resources
from cicadabank.scheduling.internal.targets import add
from cicadabank.scheduling.internal.units import Phase

if TYPE_CHECKING:
    from cicadabank.scheduling.internal.state import CellState


# Phases in which the members of a unit occupy resources, the most frequent one first.
OCCUPYING_PHASES = (Phase.RUNNING, Phase.STOPPING, Phase.COMMITTING)


class Activation(NamedTuple):
    """Whether fair shares apply, with the inputs of that decision.

    Attributes
    ----------
    reason : str
        Empty if they apply.
    """

    is_active: bool
    reason: str
    largest_guarantee: int
    smallest_guarantee: int
    min_guarantee_ratio: float


class WorkspaceShare(NamedTuple):
    """A workspace's share of the cell; all shares are between 0 and 1.

    Attributes
    ----------
    guarantee : int
        Accelerators.
    entitlement : float
        The workspace's part of all guarantees.
    running : float
        Dominant share of what runs: the largest of its shares of the cell's cores,
        memory and accelerators.
    past : float
        Mean of earlier dominant shares, weighted by their age.
    factor : float
        Factor of the priority indices of its jobs; 1 while fair shares do not apply.
    """

    workspace: str
    guarantee: int
    entitlement: float
    running: float
    past: float
    factor: float = 1.0

    @property
    def use(self) -> float:
        """Mean of the present and the past share.

        The mean, and not the sum, equals the entitlement of a workspace that steadily
        runs what it is entitled to.
        """
        return (self.running + self.past) / 2


class SharesStatus(NamedTuple):
    """Whether fair shares apply and why, and the shares of all known workspaces."""

    enabled: bool
    active: bool
    reason: str
    activation: Activation
    workspaces: tuple[WorkspaceShare, ...]


class PastUse:
    """Decayed use of the workspaces, in memory only.

    Holds a number for each workspace that is configured or has running work, so that
    its size and the time of an update are bounded by their count.

    Parameters
    ----------
    now_s : float
        Time from which use is counted.
    """

    __slots__ = ("_running", "_since_s", "_weighted")

    def __init__(self, now_s: float):
        self._since_s = now_s
        self._running: Mapping[str, float] = {}
        self._weighted: dict[str, float] = {}

    def at(self, now_s: float, half_life_s: float) -> dict[str, float]:
        """Return the past use by workspace, if nothing has changed since the update."""
        kept = 0.5 ** (max(0.0, now_s - self._since_s) / half_life_s)
        return {
            name: kept * self._weighted.get(name, 0.0)
            + (1.0 - kept) * self._running.get(name, 0.0)
            for name in self._weighted.keys() | self._running.keys()
        }

    def update(
        self,
        now_s: float,
        half_life_s: float,
        running: Mapping[str, float],
        configured: Iterable[str],
    ) -> None:
        """Count the shares of the last update up to now, and these from now on."""
        names = running.keys() | set(configured)
        past = self.at(now_s, half_life_s)
        self._weighted = {name: past[name] for name in names & past.keys()}
        self._running = running
        self._since_s = now_s


class Shares:
    """The shares of a cell's workspaces in the current planning round.

    Attributes
    ----------
    activation : Activation or None
        As logged last; None until fair shares are first switched on.
    by_workspace : dict of str to WorkspaceShare
        Empty while fair shares do not apply.
    """

    __slots__ = ("activation", "by_workspace", "past_use")

    def __init__(self) -> None:
        self.activation: Activation | None = None
        self.by_workspace: dict[str, WorkspaceShare] = {}
        self.past_use: PastUse | None = None


def update_shares(state: CellState) -> None:
    """Compute the shares for a planning round, and log whether they begin to apply."""
    shares, policy = state.shares, state.policy.shares
    activation = _activation(state)
    logged = shares.activation
    was_active = logged is not None and logged.is_active
    if activation.is_active != was_active or (logged is None and policy.enabled):
        shares.activation = activation
        shares.past_use = PastUse(state.now_s)
        state.log("shares_switched", **activation._asdict())
    if not activation.is_active:
        shares.by_workspace = {}
        return
    running = _running_shares(state)
    shares.past_use.update(state.now_s, policy.half_life_s, running, state.guarantees)
    past = shares.past_use.at(state.now_s, policy.half_life_s)
    shares.by_workspace = {
        share.workspace: share._replace(factor=_factor(share, policy.max_boost))
        for share in _workspace_shares(state, running, past)
    }


def weigh_indices(state: CellState, index_by_job: dict[str, float]) -> dict[str, float]:
    """Multiply the priority indices of jobs by the factors of their workspaces.

    Logs each job, once, whose place among the others changes.
    """
    if not state.shares.by_workspace:
        return index_by_job
    weighed = {
        job: index * _share_of_job(state, job).factor
        for job, index in index_by_job.items()
    }
    before, after = _places(state, index_by_job), _places(state, weighed)
    for job_id, place in after.items():
        job = state.jobs[job_id]
        if place != before[job_id] and not job.is_share_logged:
            job.is_share_logged = True
            _log_order(state, job_id, before[job_id], place)
    return weighed


def protected_workspaces(state: CellState, preemptor_workspace: str) -> frozenset[str]:
    """Return the workspaces whose work a unit without a guarantee may not preempt.

    These are the workspaces below their entitlement, if that of the preemptor is above
    its own.
    """
    by_workspace = state.shares.by_workspace
    preemptor = by_workspace.get(preemptor_workspace)
    if preemptor is None or preemptor.use <= preemptor.entitlement:
        return frozenset()
    return frozenset(
        share.workspace
        for share in by_workspace.values()
        if share.use < share.entitlement
    )


def status(state: CellState) -> SharesStatus:
    """Return the present shares; changes nothing, also while they do not apply."""
    policy, past_use = state.policy.shares, state.shares.past_use
    activation = _activation(state)
    past: Mapping[str, float] = {}
    if activation.is_active and past_use is not None:
        past = past_use.at(state.now_s, policy.half_life_s)
    shares = _workspace_shares(state, _running_shares(state), past)
    if activation.is_active:
        shares = [s._replace(factor=_factor(s, policy.max_boost)) for s in shares]
    reason = activation.reason or "the guarantees differ widely"
    return SharesStatus(
        policy.enabled, activation.is_active, reason, activation, tuple(shares)
    )


def _activation(state: CellState) -> Activation:
    policy, guarantees = state.policy.shares, state.guarantees.values()
    largest, smallest = max(guarantees, default=0), min(guarantees, default=0)
    reason = ""
    if not policy.enabled:
        reason = "not enabled"
    elif largest == 0:
        reason = "no workspace has a guarantee"
    elif largest < policy.min_guarantee_ratio * smallest:
        reason = "the guarantees differ too little"
    return Activation(not reason, reason, largest, smallest, policy.min_guarantee_ratio)


def _running_shares(state: CellState) -> dict[str, float]:
    """Return the dominant share of what runs, is about to or stops, by workspace.

    Leaves out claims, whose resources are still held by the units that are stopped for
    them.
    """
    capacity = cell_capacity(state)
    used: dict[str, list[int]] = defaultdict(lambda: [0] * len(Resources._fields))
    for job in state.open_jobs.values():
        tasks = Counter()
        for unit in job.units:
            if unit.phase in OCCUPYING_PHASES:
                for member in unit.members:
                    if not member.released:
                        tasks[unit.step] += 1
        for step, count in tasks.items():
            amounts = used[job.record.workspace]
            for kind, need in enumerate(job.record.steps[step].need):
                amounts[kind] += count * need
    return {
        workspace: min(1.0, dominant_share(amounts, capacity))
        for workspace, amounts in used.items()
    }


def cell_capacity(state: CellState) -> Resources:
    """Return the sum of the capacities of the targets."""
    total = Resources(0, 0, 0)
    for target in state.targets.values():
        total = add(total, target.capacity)
    return total


def dominant_share(used: Sequence[int], capacity: Resources) -> float:
    """Return the largest share of a kind of resource; 0 of what there is none of."""
    pairs = zip(used, capacity, strict=True)
    return max((amount / total for amount, total in pairs if total > 0), default=0.0)


def _workspace_shares(
    state: CellState, running: Mapping[str, float], past: Mapping[str, float]
) -> list[WorkspaceShare]:
    guarantees = state.guarantees
    total = sum(guarantees.values())
    return [
        WorkspaceShare(
            name,
            guarantees.get(name, 0),
            guarantees.get(name, 0) / total if total else 0.0,
            running.get(name, 0.0),
            past.get(name, 0.0),
        )
        for name in sorted(guarantees.keys() | running.keys())
    ]


def _factor(share: WorkspaceShare, max_boost: float) -> float:
    """Return the factor of a workspace's priority indices, within the boost."""
    if share.use * max_boost <= share.entitlement:
        return max_boost
    return max(1.0 / max_boost, share.entitlement / share.use)


def _places(state: CellState, index_by_job: dict[str, float]) -> dict[str, int]:
    """Return the places of jobs in the order of their indices."""
    ordered = sorted(
        index_by_job,
        key=lambda job: (-index_by_job[job], state.jobs[job].record.accepted_s),
    )
    return {job: place for place, job in enumerate(ordered)}


def _share_of_job(state: CellState, job: str) -> WorkspaceShare:
    """Return the share of a job's workspace, which may be neither known nor in use."""
    name = state.jobs[job].record.workspace
    unknown = WorkspaceShare(name, 0, 0.0, 0.0, 0.0, state.policy.shares.max_boost)
    return state.shares.by_workspace.get(name, unknown)


def _log_order(state: CellState, job: str, before: int, after: int) -> None:
    share = _share_of_job(state, job)
    state.log(
        "order_changed_by_share",
        job=job,
        workspace=share.workspace,
        entitlement=round(share.entitlement, 4),
        running=round(share.running, 4),
        past=round(share.past, 4),
        factor=round(share.factor, 3),
        place_before=before,
        place=after,
    )
