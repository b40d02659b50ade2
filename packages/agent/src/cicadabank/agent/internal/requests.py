"""Forwarding of requests from an agent to its minion."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

import grpc
from cicadabank.wire import ChannelPool, control_pb2, targets_pb2, targets_pb2_grpc

MAX_REMEMBERED_REQUESTS = 100_000
DEFAULT_TIMEOUT_S = 30.0


class RequestForwarder:
    """Forwards requests to the minion, each non-idempotent request at most once.

    A repeated request is recognised among the last `MAX_REMEMBERED_REQUESTS`. Methods
    are called from the threads of the gRPC server, so a lock guards the state.
    """

    def __init__(self, address: str, pool: ChannelPool, incarnation: str):
        self._address = address
        self._pool = pool
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._forwarded: OrderedDict[str, None] = OrderedDict()
        self.in_flight = 0
        self.leaving = False
        self.domain_out = False

    def handle(
        self, request: control_pb2.MemberRequest, context
    ) -> control_pb2.MemberAnswer:
        """Forward a request, or return a refusal with the reason."""
        reason = self._admit(request)
        if reason:
            return _member_answer(request, "refused", reason=reason)
        with self._counted_in_flight():
            return self._forward(request, context)

    def _admit(self, request: control_pb2.MemberRequest) -> str:
        """Return the reason for a refusal, or record the request as forwarded."""
        with self._lock:
            if self.leaving:
                return "the target is leaving"
            if self.domain_out:
                return "the failure domain is out of service"
            if request.incarnation and request.incarnation != self._incarnation:
                return "the request is meant for an earlier run of this agent"
            if not request.idempotent:
                if request.request in self._forwarded:
                    return "duplicate: the request was passed to the minion before"
                self._forwarded[request.request] = None
                if len(self._forwarded) > MAX_REMEMBERED_REQUESTS:
                    self._forwarded.popitem(last=False)
        return ""

    @contextmanager
    def _counted_in_flight(self) -> Iterator[None]:
        with self._lock:
            self.in_flight += 1
        try:
            yield
        finally:
            with self._lock:
                self.in_flight -= 1

    def _forward(
        self, request: control_pb2.MemberRequest, context
    ) -> control_pb2.MemberAnswer:
        remaining_s = context.time_remaining()
        stub = targets_pb2_grpc.MinionStub(self._pool.get(self._address))
        minion_request = targets_pb2.MinionRequest(
            request=request.request,
            workspace=request.workspace,
            payload=request.payload,
        )
        try:
            reply = stub.Handle(
                minion_request, timeout=min(remaining_s or DEFAULT_TIMEOUT_S, 3600.0)
            )
        except grpc.RpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self._address)
            return _member_answer(
                request,
                "unknown",
                reason=f"the minion: {error.code().name.lower()}",
            )
        return minion_outcome(request, reply)


def minion_outcome(
    request, reply: targets_pb2.MinionAnswer
) -> control_pb2.MemberAnswer:
    """Return the outcome that a minion's answer stands for."""
    if reply.request != request.request:
        return _member_answer(
            request,
            "unknown",
            reason="the minion answered another request",
        )
    if not reply.error:
        return _member_answer(request, "done", answer=reply.answer)
    return _member_answer(
        request, "failed" if reply.ran else "refused", reason=reply.error
    )


def _member_answer(request, outcome: str, answer: bytes = b"", reason: str = ""):
    return control_pb2.MemberAnswer(
        request=request.request, outcome=outcome, answer=answer, reason=reason
    )
