"""Fault switches that tests set over gRPC or directly."""

from __future__ import annotations

import random
import threading
import time

import grpc
from cicadabank.wire import standin_pb2, standin_pb2_grpc

FAULTS = frozenset(
    {
        "down",  # answers with an error at once
        "slow_s",  # answers this much later
        "lose_answers",  # share of writes that take effect and answer an error
        "fail_all",  # every task or request fails
        "usage_lag_s",  # usage is reported this much late
        "silent",  # takes calls and never answers
        "freeze_clock_s",  # shift of the clock shown to others
    }
)


class FaultSwitches(standin_pb2_grpc.FaultsServicer):
    """The faults that are switched on in one stand-in.

    Parameters
    ----------
    seed : int, default=0
        Seed of the faults that strike by chance.
    """

    def __init__(self, seed: int = 0):
        self._values: dict[str, float] = {}
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def set(self, name: str, value: float) -> bool:
        """Set a switch; return whether the name is known."""
        with self._lock:
            if name not in FAULTS:
                return False
            self._values[name] = value
            return True

    def get(self, name: str) -> float:
        """Return a switch's value, 0 when off."""
        with self._lock:
            return self._values.get(name, 0.0)

    def strikes(self, name: str) -> bool:
        """Whether a fault with this share strikes now."""
        with self._lock:
            return self._random.random() < self._values.get(name, 0.0)

    def before(self, context: grpc.ServicerContext) -> None:
        """Delay or abort a call as the switches say."""
        if self.get("down"):
            context.abort(grpc.StatusCode.UNAVAILABLE, "switched off")
        if self.get("slow_s"):
            time.sleep(self.get("slow_s"))
        while self.get("silent") and context.is_active():
            time.sleep(0.05)

    def after_write(self, context: grpc.ServicerContext) -> None:
        """Lose the answer of a write that has taken effect, as the switch says."""
        if self.strikes("lose_answers"):
            context.abort(grpc.StatusCode.UNAVAILABLE, "the answer was lost")

    def Switch(self, request, context):  # noqa: N802
        """Serve the fault switch."""
        return standin_pb2.FaultReply(known=self.set(request.name, request.value))
