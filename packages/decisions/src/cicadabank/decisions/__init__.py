"""Scheduler for the jobs and requests of the HTTP interface under `/v1`.

Each job is a single gang of tasks that is placed on the workers of a cell; requests
are routed to minions, the processes that serve them. Covers placement, guarantees,
queue order, preemption, membership and routing. `cicadabank.scheduling` is the
scheduler for jobs of steps.

A cell is a set of workers whose jobs are scheduled by one process, its holder. The
code performs no I/O: the embedding process passes in events and the current time, and
carries out the actions that it gets back.
"""

from cicadabank.decisions.internal.allocations import (
    AllocationPlan,
    GuaranteeAllocation,
    allocate_guarantees,
    guarantee_conflict,
)
from cicadabank.decisions.internal.budget import RateLimit, RetryBudget
from cicadabank.decisions.internal.core import CellCore
from cicadabank.decisions.internal.estimates import RunTimeEstimator
from cicadabank.decisions.internal.fleet import Fleet, TaskResources, Worker, WorkerInfo
from cicadabank.decisions.internal.health import WorkerHealth
from cicadabank.decisions.internal.messages import (
    CommitJob,
    CommitStatus,
    ConfigView,
    HeartbeatEvent,
    HeartbeatReply,
    LogDecision,
    Order,
    OrderResult,
    ReloadJob,
    Report,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.decisions.internal.placement import GangShape, nearest_possible, place
from cicadabank.decisions.internal.routing import Minion, Router, RoutingDecision
from cicadabank.decisions.internal.state import CellTimings, digest_of
from cicadabank.decisions.internal.victims import Borrower, choose_victims

__all__ = [
    "AllocationPlan",
    "Borrower",
    "CellCore",
    "CellTimings",
    "CommitJob",
    "CommitStatus",
    "ConfigView",
    "Fleet",
    "GangShape",
    "GuaranteeAllocation",
    "HeartbeatEvent",
    "HeartbeatReply",
    "LogDecision",
    "Minion",
    "Order",
    "OrderResult",
    "RateLimit",
    "ReloadJob",
    "Report",
    "RetryBudget",
    "Router",
    "RoutingDecision",
    "RunTimeEstimator",
    "SendBegin",
    "SendReserve",
    "SendStart",
    "SendStop",
    "TaskResources",
    "Worker",
    "WorkerHealth",
    "WorkerInfo",
    "allocate_guarantees",
    "choose_victims",
    "digest_of",
    "guarantee_conflict",
    "nearest_possible",
    "place",
]
