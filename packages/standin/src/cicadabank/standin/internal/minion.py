"""Stand-in for a minion's request handler."""

from __future__ import annotations

import threading
import time
from collections import Counter

from cicadabank.model import CicadabankError, decode
from cicadabank.standin.internal.faults import FaultSwitches
from cicadabank.wire import targets_pb2, targets_pb2_grpc


class MinionStandIn(targets_pb2_grpc.MinionServicer):
    """Runs simulated requests, each in a slot; the default answer is the payload.

    The payload may be JSON with ``run_s``, ``fail``, ``answer`` and ``answer_repeat``;
    defaults apply to any other payload.

    Attributes
    ----------
    runs : Counter
        How often each request has run, by its id.
    """

    def __init__(self, slots: int, faults: FaultSwitches, name: str = ""):
        self.name = name
        self.faults = faults
        self.runs: Counter[str] = Counter()
        self._slots = threading.BoundedSemaphore(slots)

    def Handle(self, request, context):  # noqa: N802
        """Run one request; it waits for a slot until the caller's deadline."""
        self.faults.apply_before(context)
        remaining_s = context.time_remaining()
        if not self._slots.acquire(
            timeout=remaining_s if remaining_s is not None else 30.0
        ):
            return targets_pb2.MinionAnswer(
                request=request.request, error="no slot became free before the deadline"
            )
        try:
            return self._run(request, context)
        finally:
            self._slots.release()

    def _run(self, request, context):
        behaviour = self._decode_behaviour(request.payload)
        self.runs[request.request] += 1
        if self.faults.get("fail_all") or behaviour.get("fail"):
            return targets_pb2.MinionAnswer(
                request=request.request, ran=True, error="the request failed"
            )
        time.sleep(float(behaviour.get("run_s", 0.01)))
        text = str(behaviour.get("answer", request.payload.decode(errors="replace")))
        answer = text.encode() * int(behaviour.get("answer_repeat", 1))
        self.faults.apply_after_write(context)
        return targets_pb2.MinionAnswer(
            request=request.request, ran=True, answer=answer
        )

    @staticmethod
    def _decode_behaviour(payload: bytes) -> dict:
        try:
            behaviour = decode(payload)
        except CicadabankError:
            return {}
        return behaviour if isinstance(behaviour, dict) else {}
