"""Fault switches of the stand-ins, set over gRPC or by direct calls."""

from __future__ import annotations

import random
import threading
import time

import grpc
from cicadabank.wire import standin_pb2, standin_pb2_grpc

FAULT_NAMES = frozenset(
    {
        "down",  # calls fail immediately
        "slow_s",  # delay before each call is processed
        "lose_answers",  # share of writes that take effect but return an error
        "fail_all",  # every task or request fails
        "usage_lag_s",  # age of the reported usage
        "silent",  # calls wait for the switch to be off or the caller to give up
        "freeze_clock_s",  # offset of the clock, which keeps running
    }
)


class FaultSwitches(standin_pb2_grpc.FaultsServicer):
    """The faults that are switched on in one stand-in.

    Parameters
    ----------
    seed : int, default=0
        Seed of the faults that occur at random.
    """

    def __init__(self, seed: int = 0):
        self._values: dict[str, float] = {}
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def set(self, name: str, value: float) -> bool:
        """Set a switch; return whether the name is known."""
        with self._lock:
            if name not in FAULT_NAMES:
                return False
            self._values[name] = value
            return True

    def get(self, name: str) -> float:
        """Return a switch's value; 0 if it is off."""
        with self._lock:
            return self._values.get(name, 0.0)

    def applies(self, name: str) -> bool:
        """Draw whether a fault applies; the switch's value is its probability."""
        with self._lock:
            return self._random.random() < self._values.get(name, 0.0)

    def apply_before(self, context: grpc.ServicerContext) -> None:
        """Delay or abort a call as ``down``, ``slow_s`` and ``silent`` demand.

        A call delayed by ``silent`` is processed afterwards, even if its caller has
        given up by then.
        """
        if self.get("down"):
            context.abort(grpc.StatusCode.UNAVAILABLE, "the fault switch 'down' is on")
        if self.get("slow_s"):
            time.sleep(self.get("slow_s"))
        while self.get("silent") and context.is_active():
            time.sleep(0.05)

    def apply_after_write(self, context: grpc.ServicerContext) -> None:
        """Abort a call whose write has taken effect, as ``lose_answers`` demands."""
        if self.applies("lose_answers"):
            context.abort(
                grpc.StatusCode.UNAVAILABLE,
                "reply dropped after the write took effect",
            )

    def Switch(self, request, context):  # noqa: N802
        """Set a switch; the reply tells whether its name is known."""
        return standin_pb2.FaultReply(known=self.set(request.name, request.value))
