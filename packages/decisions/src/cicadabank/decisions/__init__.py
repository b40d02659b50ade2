"""Scheduling logic: placement, guarantees, queue order, membership and routing.

The code is free of side effects: callers pass in events and the current time, and
get back the actions to carry out.
"""

from cicadabank.decisions.internal.allocations import (
    GuaranteeAllocation,
    Layout,
    lay_out_allocations,
    refusal_of,
)
from cicadabank.decisions.internal.budget import RateLimit, RetryBudget
from cicadabank.decisions.internal.core import CellCore
from cicadabank.decisions.internal.estimates import RunTimeEstimator
from cicadabank.decisions.internal.fleet import Fleet, Need, Worker, WorkerInfo
from cicadabank.decisions.internal.health import WorkerHealth
from cicadabank.decisions.internal.messages import (
    BeatAnswer,
    BeatEvent,
    CommitJob,
    CommitStatus,
    ConfigView,
    Order,
    OrderResult,
    Record,
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
    "BeatAnswer",
    "BeatEvent",
    "Borrower",
    "CellCore",
    "CellTimings",
    "CommitJob",
    "CommitStatus",
    "ConfigView",
    "Fleet",
    "GangShape",
    "GuaranteeAllocation",
    "Layout",
    "Minion",
    "Need",
    "Order",
    "OrderResult",
    "RateLimit",
    "Record",
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
    "Worker",
    "WorkerHealth",
    "WorkerInfo",
    "choose_victims",
    "digest_of",
    "lay_out_allocations",
    "nearest_possible",
    "place",
    "refusal_of",
]
