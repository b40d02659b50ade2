"""Messages between an agent and its target, and the agent's state of a run."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling import EndedRun, Resources, RunId, RunningRun
from cicadabank.wire import fleet_pb2


class TargetHeartbeat(NamedTuple):
    """A heartbeat of a target.

    Attributes
    ----------
    started_ms : int
        Unix time in ms at which the target started; distinguishes incarnations that
        have the same name.
    remaining_s : float
        Least time until a draining target terminates.
    """

    target: str
    started_ms: int
    sequence: int
    cell: str
    domain: str
    address: str
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    draining: bool
    remaining_s: float


class Listing(NamedTuple):
    """A target's running and ended runs, and its clock when it listed them.

    Attributes
    ----------
    ended : tuple of EndedRun
        Ended runs that are not acknowledged yet; those with the lowest sequence
        numbers if they are too many for one list.
    has_all_ended : bool
        Whether no other ended run waits to be acknowledged. Otherwise, a run that the
        list lacks may have ended.
    """

    started_ms: int
    target_s: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    has_all_ended: bool


class StartOutcome(NamedTuple):
    """A target's reply to a start.

    Attributes
    ----------
    known : bool
        False if no reply arrived; the start may still take effect.
    refused : str
        Why the target refused the start; empty if it accepted.
    received : bool
        False if the call certainly didn't reach the target.
    """

    known: bool
    refused: str = ""
    received: bool = True


class TargetCall(NamedTuple):
    """A call to the target that is due."""

    kind: str  # "start" or "stop"
    run: RunId
    payload: str = ""
    checkpoint: str = ""


class ClosedRun(NamedTuple):
    """A run that must not be started again.

    Attributes
    ----------
    reason : str
        Why a start is refused: "old" for a run that has ended, was stopped or is no
        longer on the target.
    need : Resources
        The resources that the run used.
    """

    reason: str
    need: Resources


class LocalRun:
    """A run that this agent was ordered to start or stop."""

    __slots__ = (
        "allocated",
        "call_pending",
        "first_start_call_s",
        "known_on_target_since_s",
        "last_call_s",
        "may_start_late",
        "need",
        "refusal",
        "start_order",
        "stop_confirmed_s",
        "stopping",
    )

    def __init__(self, start_order: fleet_pb2.StartRun | None, need: Resources):
        self.start_order = start_order
        self.need = need  # zero if unknown
        # What the holder counted on the target, with this run, when it ordered the
        # start; zero if unknown.
        self.allocated = Resources(0, 0, 0)
        if start_order is not None:
            self.allocated = Resources(
                start_order.allocated_cpu_millicores,
                start_order.allocated_memory_mb,
                start_order.allocated_accelerators,
            )
        self.call_pending = False
        self.last_call_s = float("-inf")
        self.first_start_call_s = float("inf")
        # Since when the target is known to have the run.
        self.known_on_target_since_s = float("inf")
        # Whether a start call got no reply and may still be carried out.
        self.may_start_late = False
        self.stopping = False
        # Why the run was refused, if it must be stopped before that can be reported.
        self.refusal = ""
        self.stop_confirmed_s = float("inf")  # when the target confirmed a stop
