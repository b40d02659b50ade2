"""Scheduler of the jobs of steps that entries and agents run on the platform.

A cell is a set of targets with its jobs. Its holder, one of the entries, makes all
scheduling decisions for the cell with `CellScheduler`. The package performs no I/O.
``cicadabank.decisions`` is the scheduler of jobs without steps, which run as gangs of
tasks on workers.
"""

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
