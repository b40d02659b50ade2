"""Scheduler of the jobs of steps that entries and agents run on the platform.

A cell is a set of targets with its jobs. Its holder, one of the entries, makes all
scheduling decisions for the cell with `CellScheduler`. The package performs no I/O.
``cicadabank.decisions`` is the scheduler of jobs without steps, which run as gangs of
tasks on workers.
"""

from cicadabank.scheduling.internal.cell import MAX_COMMIT_ENTRIES, CellScheduler
from cicadabank.scheduling.internal.job_view import JobView, job_view
from cicadabank.scheduling.internal.jobs import (
    Configuration,
    JobRecord,
    QueueConfig,
    Resources,
    RouteConfig,
    RunId,
    StepSpec,
    WorkspaceConfig,
)
from cicadabank.scheduling.internal.notes import Note
from cicadabank.scheduling.internal.policy import (
    ReliabilityPolicy,
    SchedulingPolicy,
    SharePolicy,
    SpeedPolicy,
)
from cicadabank.scheduling.internal.reliability import IncidentCount
from cicadabank.scheduling.internal.reports import ReportReply
from cicadabank.scheduling.internal.rows import (
    AGENT_PREFIX,
    CANCEL_PREFIX,
    EARLIER_LEASES_KEY,
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    INCIDENTS_PREFIX,
    JOB_PREFIX,
    LEASE_KEY,
    QUEUE_PREFIX,
    RUN_PREFIX,
    TABLE,
    TARGET_SHAPE_PREFIX,
    TARGET_SPEEDS_KEY,
    AgentRow,
    CancelRow,
    EarlierLeasesRow,
    HolderLoadRow,
    HolderRow,
    JobProgressRow,
    LeaseRow,
    TargetShapeRow,
    TargetSpeedsRow,
    pack,
    unpack,
    voided_at_s,
)
from cicadabank.scheduling.internal.speeds import RANGE_PREFIX, SpeedEstimate
from cicadabank.scheduling.internal.state import AgentOrders, Commit, Start, Timings
from cicadabank.scheduling.internal.targets import (
    CrashedRun,
    EndedRun,
    Report,
    RunningRun,
    TargetCrash,
    largest,
)
from cicadabank.scheduling.internal.units import ENDED_STATES, TargetIncarnation
from cicadabank.scheduling.internal.view import CellView, cell_view

__all__ = [
    "AGENT_PREFIX",
    "CANCEL_PREFIX",
    "EARLIER_LEASES_KEY",
    "ENDED_STATES",
    "HOLDER_KEY",
    "HOLDER_LOAD_KEY",
    "INCIDENTS_PREFIX",
    "JOB_PREFIX",
    "LEASE_KEY",
    "MAX_COMMIT_ENTRIES",
    "QUEUE_PREFIX",
    "RANGE_PREFIX",
    "RUN_PREFIX",
    "TABLE",
    "TARGET_SHAPE_PREFIX",
    "TARGET_SPEEDS_KEY",
    "AgentOrders",
    "AgentRow",
    "CancelRow",
    "CellScheduler",
    "CellView",
    "Commit",
    "Configuration",
    "CrashedRun",
    "EarlierLeasesRow",
    "EndedRun",
    "HolderLoadRow",
    "HolderRow",
    "IncidentCount",
    "JobProgressRow",
    "JobRecord",
    "JobView",
    "LeaseRow",
    "Note",
    "QueueConfig",
    "ReliabilityPolicy",
    "Report",
    "ReportReply",
    "Resources",
    "RouteConfig",
    "RunId",
    "RunningRun",
    "SchedulingPolicy",
    "SharePolicy",
    "SpeedEstimate",
    "SpeedPolicy",
    "Start",
    "StepSpec",
    "TargetCrash",
    "TargetIncarnation",
    "TargetShapeRow",
    "TargetSpeedsRow",
    "Timings",
    "WorkspaceConfig",
    "cell_view",
    "job_view",
    "largest",
    "pack",
    "unpack",
    "voided_at_s",
]
