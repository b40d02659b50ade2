"""Stand-in for a minion's request handler."""

from __future__ import annotations

import threading
import time
from collections import Counter

from cicadabank.model import CicadabankError, decode
from cicadabank.standin.internal.faults import FaultSwitches
from cicadabank.wire import targets_pb2, targets_pb2_grpc


class MinionStandIn(targets_pb2_grpc.MinionServicer):
    """Answers each request with its payload, in one of its slots.

    The payload may be JSON with ``run_s``, ``fail``, ``answer`` and ``answer_repeat``.

    Attributes
    ----------
    runs : Counter
        How often each request ran.
    """

    def __init__(self, slots: int, faults: FaultSwitches, name: str = ""):
        self.name = name
        self.faults = faults
        self.runs: Counter[str] = Counter()
        self._slots = threading.BoundedSemaphore(slots)

    def Handle(self, request, context):  # noqa: N802
        """Run one request; it waits for a slot as long as its caller does."""
        self.faults.before(context)
        remaining_s = context.time_remaining()
        if not self._slots.acquire(
            timeout=remaining_s if remaining_s is not None else 30.0
        ):
            return targets_pb2.MinionAnswer(
                request=request.request, error="no slot was free"
            )
        try:
            return self._run(request, context)
        finally:
            self._slots.release()

    def _run(self, request, context):
        plan = self._plan(request.payload)
        self.runs[request.request] += 1
        if self.faults.get("fail_all") or plan.get("fail"):
            return targets_pb2.MinionAnswer(
                request=request.request, ran=True, error="it failed"
            )
        time.sleep(float(plan.get("run_s", 0.01)))
        text = str(plan.get("answer", request.payload.decode(errors="replace")))
        answer = text.encode() * int(plan.get("answer_repeat", 1))
        self.faults.after_write(context)
        return targets_pb2.MinionAnswer(
            request=request.request, ran=True, answer=answer
        )

    @staticmethod
    def _plan(payload: bytes) -> dict:
        try:
            plan = decode(payload)
        except CicadabankError:
            return {}
        return plan if isinstance(plan, dict) else {}
