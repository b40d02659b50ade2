"""What operators can see of a cell: workspaces, queues, targets and the policy's parts.

Each part offers ``status(state)``, which returns a named tuple; `PARTS`
lists these functions. A view is of bounded size and leaves the state as it is.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Any, NamedTuple

from cicadabank.scheduling.internal import (
    contacts,
    isolation,
    reliability,
    shares,
    uneven_targets,
)
from cicadabank.scheduling.internal.jobs import Resources
from cicadabank.scheduling.internal.placement import NO_RESOURCES
from cicadabank.scheduling.internal.planner import unusable_reason
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import add
from cicadabank.scheduling.internal.units import Job

MAX_TARGETS = 1_000
MAX_ABSENT = 200
MAX_JOBS = 200
MAX_WORKSPACES = 500
MAX_QUEUES = 500
# Items of each collection in the status of a part.
MAX_PART_ITEMS = 200


class WorkspaceView(NamedTuple):
    """A workspace's part of the cell.

    Attributes
    ----------
    guaranteed_accelerators : int
    entitlement : float
        Share of the cell: its guarantee divided by the sum of all guarantees.
    use : float
        Its dominant share: the largest of its shares of the cell's cores, memory and
        accelerators in what is placed now.
    """

    workspace: str
    guaranteed_accelerators: int
    entitlement: float
    use: float


class TargetView(NamedTuple):
    """A target.

    Attributes
    ----------
    usable : bool
        Whether it gets new tasks now.
    reason : str
        Why it is not usable; empty if it is.
    slowness : float
        Factor by which tasks take longer than on an average target.
    comparisons : float
        Number of comparisons that the slowness is learned from; 0 if it is unknown.
    incidents : int
        Failed runs since the last one that was done.
    """

    target: str
    agent: str
    domain: str
    rack: str
    usable: bool
    reason: str
    capacity: Resources
    free: Resources
    slowness: float
    comparisons: float
    incidents: int
    last_report_age_s: float | None


class AbsentTargetView(NamedTuple):
    """The target of an agent that reports none at present, and since when."""

    agent: str
    absent_s: float


class QueueView(NamedTuple):
    """Numbers of open jobs of a queue that wait and that run."""

    queue: str
    priority: int
    waiting: int
    running: int


class JobSummary(NamedTuple):
    """An open job; `age_s` counts from its acceptance."""

    job: str
    queue: str
    workspace: str
    state: str
    age_s: float


class CellView(NamedTuple):
    """What operators can see of a cell.

    Lists that are longer than their limit are cut: unusable targets come first, and
    waiting jobs before running ones. The counts include what was cut.
    """

    cell: str
    epoch: int
    loaded: bool
    held_s: float
    config_version: int
    domains_out: list[str]
    parts: dict[str, Any]
    workspaces: list[WorkspaceView]
    queues: list[QueueView]
    target_count: int
    usable_count: int
    targets: list[TargetView]
    absent_count: int
    absent_targets: list[AbsentTargetView]
    job_count: int
    jobs: list[JobSummary]


# The status of each part; a part adds its ``status`` function here.
PARTS: dict[str, Callable[[CellState], Any]] = {
    "speeds": uneven_targets.status,
    "shares": shares.status,
    "reliability": reliability.status,
    "isolation": isolation.status,
    "contacts": contacts.status,
}


def cell_view(state: CellState) -> CellView:
    """Return what operators can see of a cell."""
    reasons = {
        agent: unusable_reason(state, target) for agent, target in state.targets.items()
    }
    return CellView(
        cell=state.cell,
        epoch=state.epoch,
        loaded=state.loaded,
        held_s=round(state.now_s - state.taken_over_s, 3),
        config_version=state.config.version,
        domains_out=sorted(state.domains_out)[:MAX_PART_ITEMS],
        parts={name: shortened(status(state)) for name, status in PARTS.items()},
        workspaces=_workspaces(state),
        queues=_queues(state),
        target_count=len(state.targets),
        usable_count=sum(not reason for reason in reasons.values()),
        targets=_targets(state, reasons),
        absent_count=len(state.absent_targets),
        absent_targets=[
            AbsentTargetView(agent, round(state.store_now_s - absent.since_store_s, 3))
            for agent, absent in islice(state.absent_targets.items(), MAX_ABSENT)
        ],
        job_count=len(state.open_jobs),
        jobs=_jobs(state),
    )


def shortened(value: Any) -> Any:
    """Return a part's status with each collection cut to `MAX_PART_ITEMS`."""
    if hasattr(value, "_asdict"):
        return {name: shortened(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        items = islice(value.items(), MAX_PART_ITEMS)
        return {str(name): shortened(item) for name, item in items}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [shortened(item) for item in islice(value, MAX_PART_ITEMS)]
    return value


def _targets(state: CellState, reasons: dict[str, str]) -> list[TargetView]:
    unusable_first = sorted(reasons, key=lambda agent: not reasons[agent])
    estimates = state.speeds.estimates()
    views = []
    for agent in unusable_first[:MAX_TARGETS]:
        target, reason = state.targets[agent], reasons[agent]
        estimate = estimates.get(agent)
        known_age_s = state.now_s - target.last_report_s
        views.append(
            TargetView(
                target=target.target_incarnation.target,
                agent=target.agent,
                domain=target.domain,
                rack=target.rack,
                usable=not reason,
                reason=reason,
                capacity=target.capacity,
                free=target.free,
                slowness=round(state.speeds.slowness(target.agent), 3),
                comparisons=round(estimate.weight, 2) if estimate else 0.0,
                incidents=target.consecutive_failures,
                last_report_age_s=_finite(known_age_s),
            )
        )
    return views


def _finite(value: float) -> float | None:
    return round(value, 3) if abs(value) < float("inf") else None


def _workspaces(state: CellState) -> list[WorkspaceView]:
    total = sum(state.guarantees.values())
    capacity = shares.cell_capacity(state)
    used: dict[str, Resources] = {}
    for members in state.members_by_incarnation.values():
        for unit in members.values():
            job = state.jobs.get(unit.job)
            name = job.record.workspace if job else ""
            before = used.get(name, NO_RESOURCES)
            used[name] = add(before, unit.spec.need)
    names = [
        *state.guarantees,
        *(name for name in used if name not in state.guarantees),
    ]
    return [
        WorkspaceView(
            workspace=name,
            guaranteed_accelerators=state.guarantees.get(name, 0),
            entitlement=round(state.guarantees.get(name, 0) / total, 4) if total else 0,
            use=round(shares.dominant_share(used.get(name, NO_RESOURCES), capacity), 4),
        )
        for name in names[:MAX_WORKSPACES]
    ]


def _waits(job: Job) -> bool:
    return job.state == "pending" or job.counts_as_waiting


def _queues(state: CellState) -> list[QueueView]:
    waiting: dict[str, int] = {}
    running: dict[str, int] = {}
    for job in state.open_jobs.values():
        counts = waiting if _waits(job) else running
        counts[job.record.queue] = counts.get(job.record.queue, 0) + 1
    names = dict.fromkeys([*state.queues, *waiting, *running])
    return [
        QueueView(
            queue=name,
            priority=state.queues[name].priority if name in state.queues else 2,
            waiting=waiting.get(name, 0),
            running=running.get(name, 0),
        )
        for name in islice(names, MAX_QUEUES)
    ]


def _jobs(state: CellState) -> list[JobSummary]:
    open_jobs = state.open_jobs.values()
    waiting_first = [
        *islice((job for job in open_jobs if _waits(job)), MAX_JOBS),
        *islice((job for job in open_jobs if not _waits(job)), MAX_JOBS),
    ][:MAX_JOBS]
    return [
        JobSummary(
            job=job.record.job,
            queue=job.record.queue,
            workspace=job.record.workspace,
            state="waiting" if _waits(job) else job.state,
            age_s=round(state.store_now_s - job.record.accepted_s, 3),
        )
        for job in waiting_first
    ]
