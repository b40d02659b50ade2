"""Runs a stand-in as a process or in-process, and sets its fault switches."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import grpc
from cicadabank.model import InvalidInputError
from cicadabank.settings import StandInSettings
from cicadabank.standin.errors import StandInUnreachableError
from cicadabank.standin.internal.faults import FAULT_NAMES, FaultSwitches
from cicadabank.standin.internal.minion import MinionStandIn
from cicadabank.standin.internal.runner import RunnerStandIn
from cicadabank.standin.internal.store import serve_store
from cicadabank.tasks import StopSignal, configure_logs
from cicadabank.wire import serve, standin_pb2, standin_pb2_grpc, targets_pb2_grpc
from loguru import logger

SERVER_THREADS = 72


@contextmanager
def stand_in_running(settings: StandInSettings) -> Iterator[object]:
    """Run a stand-in in this process until the block ends."""
    if settings.role == "store":
        with serve_store(settings.listen, settings.seed) as table:
            yield table
        return
    with runner_or_minion_running(settings) as stand_in:
        yield stand_in


@contextmanager
def runner_or_minion_running(
    settings: StandInSettings,
) -> Iterator[RunnerStandIn | MinionStandIn]:
    """Serve the worker's or minion's stand-in until the block ends."""
    faults = FaultSwitches(settings.seed)
    if settings.role == "worker":
        stand_in = RunnerStandIn(settings.accelerators, faults)
        add_to_server = targets_pb2_grpc.add_RunnerServicer_to_server
    else:
        stand_in = MinionStandIn(settings.slots, faults, settings.name)
        add_to_server = targets_pb2_grpc.add_MinionServicer_to_server
    services = [
        (add_to_server, stand_in),
        (standin_pb2_grpc.add_FaultsServicer_to_server, faults),
    ]
    with serve(settings.listen, services, SERVER_THREADS):
        yield stand_in


def run_stand_in(settings: StandInSettings) -> None:
    """Run a stand-in until the process is asked to stop."""
    configure_logs(settings.name, settings.log_level)
    with StopSignal().on_signals() as stop, stand_in_running(settings):
        logger.info("stand-in for the {} listens on {}", settings.role, settings.listen)
        stop.wait()


def set_fault(address: str, name: str, value: float) -> None:
    """Set a fault switch of a running stand-in.

    Raises
    ------
    InvalidInputError
        If there is no such switch.
    StandInUnreachableError
        If no stand-in answers at the address.
    """
    with grpc.insecure_channel(address) as channel:
        stub = standin_pb2_grpc.FaultsStub(channel)
        message = standin_pb2.FaultSwitch(name=name, value=value)
        try:
            reply = stub.Switch(message, timeout=5.0)
        except grpc.RpcError as error:
            raise StandInUnreachableError(
                f"no stand-in answers at {address}", "check the address"
            ) from error
    if not reply.known:
        known = ", ".join(sorted(FAULT_NAMES))
        raise InvalidInputError(f"unknown fault {name!r}", f"use one of {known}")
