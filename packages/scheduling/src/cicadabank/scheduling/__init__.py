"""Scheduling decisions of the entry that holds a cell, free of I/O."""

from cicadabank.scheduling.internal.cell import CellScheduler
from cicadabank.scheduling.internal.jobs import (
    ConfigView,
    JobRecord,
    Need,
    QueueView,
    RouteView,
    RunId,
    StepSpec,
    WorkspaceView,
)
from cicadabank.scheduling.internal.reports import ReportReply
from cicadabank.scheduling.internal.rows import (
    AGENT,
    CANCEL,
    HOLDER,
    JOB,
    LEASE,
    RUN,
    TABLE,
    AgentRow,
    CancelRow,
    HolderRow,
    LeaseRow,
    RunRow,
    pack,
    unpack,
)
from cicadabank.scheduling.internal.state import Commit, Orders, Start, Timings
from cicadabank.scheduling.internal.targets import EndedRun, Report, RunningRun
from cicadabank.scheduling.internal.units import ENDED_STATES, Place

__all__ = [
    "AGENT",
    "CANCEL",
    "ENDED_STATES",
    "HOLDER",
    "JOB",
    "LEASE",
    "RUN",
    "TABLE",
    "AgentRow",
    "CancelRow",
    "CellScheduler",
    "Commit",
    "ConfigView",
    "EndedRun",
    "HolderRow",
    "JobRecord",
    "LeaseRow",
    "Need",
    "Orders",
    "Place",
    "QueueView",
    "Report",
    "ReportReply",
    "RouteView",
    "RunId",
    "RunRow",
    "RunningRun",
    "Start",
    "StepSpec",
    "Timings",
    "WorkspaceView",
    "pack",
    "unpack",
]
