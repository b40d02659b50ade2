"""In-memory stand-ins for the platform's services and for targets, for tests."""

from cicadabank.standin.errors import StandInUnreachableError, TargetDownError
from cicadabank.standin.internal.app import run_stand_in, set_fault, stand_in_running
from cicadabank.standin.internal.faults import FaultSwitches
from cicadabank.standin.internal.fleet import (
    FleetTarget,
    TargetEvent,
    TargetFleet,
    TaskProfile,
)
from cicadabank.standin.internal.minion import MinionStandIn
from cicadabank.standin.internal.partitions import MemoryTable
from cicadabank.standin.internal.proxy import Proxy, proxy_running
from cicadabank.standin.internal.runner import RunnerStandIn
from cicadabank.standin.internal.store import ObjectStandIn, TableStandIn, serve_store

__all__ = [
    "FaultSwitches",
    "FleetTarget",
    "MemoryTable",
    "MinionStandIn",
    "ObjectStandIn",
    "Proxy",
    "RunnerStandIn",
    "StandInUnreachableError",
    "TableStandIn",
    "TargetDownError",
    "TargetEvent",
    "TargetFleet",
    "TaskProfile",
    "proxy_running",
    "run_stand_in",
    "serve_store",
    "set_fault",
    "stand_in_running",
]
