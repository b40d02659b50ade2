"""What an agent and its target tell each other, and a run as the agent knows it."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling import EndedRun, Need, RunId, RunningRun
from cicadabank.wire import fleet_pb2


class TargetBeat(NamedTuple):
    """What a target says of itself.

    Attributes
    ----------
    born_ms : int
        Unix time of its start; tells apart lives under one name.
    remaining_s : float
        While it drains, at least this long until it ends.
    """

    target: str
    born_ms: int
    sequence: int
    cell: str
    domain: str
    address: str
    capacity: Need
    labels: tuple[str, ...]
    rack: str
    draining: bool
    remaining_s: float


class Listing(NamedTuple):
    """What a target lists: what runs, what has ended, and its clock."""

    born_ms: int
    target_s: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class StartOutcome(NamedTuple):
    """How a target answered a start; `refused` is empty if it runs.

    Attributes
    ----------
    known : bool
        False if no answer came: the start may still be carried out.
    """

    known: bool
    refused: str = ""


class TargetCall(NamedTuple):
    """A call to the target that is due."""

    kind: str  # start or stop
    run: RunId
    payload: str = ""
    checkpoint: str = ""


class LocalRun:
    """A run that this agent was told to start."""

    __slots__ = (
        "call_pending",
        "last_call_s",
        "present_since_s",
        "start_order",
        "stop_confirmed_s",
        "stopping",
    )

    def __init__(self, start_order: fleet_pb2.StartRun | None):
        self.start_order = start_order
        self.call_pending = False
        self.last_call_s = float("-inf")
        self.present_since_s = float("inf")  # since when it is known to be there
        self.stopping = False
        self.stop_confirmed_s = float("inf")  # when a stop was confirmed

    @property
    def need(self) -> Need:
        """What it takes of the target; nothing if that is not known."""
        if self.start_order is None:
            return Need(0, 0, 0)
        return Need(
            self.start_order.cpu_millicores,
            self.start_order.memory_mb,
            self.start_order.accelerators,
        )
