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


class Call(NamedTuple):
    """A call to the target that is due."""

    kind: str  # start or stop
    run: RunId
    payload: str = ""
    checkpoint: str = ""


class LocalRun:
    """A run that this agent was told to start."""

    __slots__ = ("busy", "order", "present_s", "stop_s", "stopping", "tried_s")

    def __init__(self, order: fleet_pb2.StartRun | None):
        self.order = order
        self.busy = False
        self.tried_s = float("-inf")
        self.present_s = float("inf")  # since when it is known to be there
        self.stopping = False
        self.stop_s = float("inf")  # when a stop was confirmed

    @property
    def need(self) -> Need:
        """What it takes of the target; nothing if that is not known."""
        if self.order is None:
            return Need(0, 0, 0)
        return Need(
            self.order.cpu_millicores, self.order.memory_mb, self.order.accelerators
        )
