"""Orders to workers through their agents."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

import grpc
from cicadabank.decisions import (
    BeatEvent,
    Order,
    OrderResult,
    Report,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
    WorkerInfo,
)
from cicadabank.wire import ChannelPool, control_pb2, control_pb2_grpc

ORDER_TIMEOUT_S = 1.4
START_TIMEOUT_S = 2.4
STOP_TIMEOUT_S = 3.5
RESERVATION_S = 6.0

Reply = Callable[[OrderResult], None]
NOT_ANSWERED = OrderResult(answered=False, reason="no answer")


class WorkerView(NamedTuple):
    """The configuration as far as one worker needs it."""

    version: int
    domain_out: bool
    age_s: float


class OrderContext:
    """What every order of a cell's holder carries."""

    def __init__(
        self,
        cell: str,
        epoch: int,
        lease_duration_s: float,
        view_of: Callable[[str], WorkerView],
    ):
        self.cell = cell
        self.epoch = epoch
        self.lease_duration_s = lease_duration_s
        self._view_of = view_of

    def reserve(self, order: SendReserve) -> control_pb2.Reserve:
        """Return the message for a reservation."""
        view = self._view_of(order.worker)
        return control_pb2.Reserve(
            attempt=order.attempt,
            cell=self.cell,
            epoch=self.epoch,
            incarnation=order.incarnation,
            accelerators=order.accelerators,
            tasks=order.tasks,
            ttl_s=RESERVATION_S,
            config_version=view.version,
            domain_out=view.domain_out,
            view_age_s=min(1e9, view.age_s),
            reply_within_s=ORDER_TIMEOUT_S,
        )

    def start(self, order: SendStart) -> control_pb2.Start:
        """Return the message for a start."""
        return control_pb2.Start(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            hold_s=order.hold_s,
            payload=order.payload.encode(),
            checkpoint=order.checkpoint,
            lease_duration_s=self.lease_duration_s,
        )

    def begin(self, order: SendBegin) -> control_pb2.Begin:
        """Return the message that lets a held member begin."""
        return control_pb2.Begin(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            lease_duration_s=self.lease_duration_s,
        )

    def stop(self, order: SendStop) -> control_pb2.Stop:
        """Return the message for a stop."""
        return control_pb2.Stop(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            checkpoint=order.checkpoint,
        )


def _result(reply: control_pb2.OrderReply) -> OrderResult:
    return OrderResult(
        True, reply.accepted, reply.started, reply.reason, reply.checkpoint
    )


class AgentLink:
    """Orders to a worker's agent over gRPC."""

    def __init__(
        self, address: str, pool: ChannelPool, context: OrderContext, post: Callable
    ):
        self.address = address
        self._pool = pool
        self._context = context
        self._post = post

    @singledispatchmethod
    def send(self, order: Order, reply: Reply) -> None:
        """Send an order; `reply` is called in the owner's task."""
        raise NotImplementedError(type(order).__name__)

    @send.register
    def _(self, order: SendReserve, reply: Reply) -> None:
        self._call(
            "ReserveMember", self._context.reserve(order), reply, ORDER_TIMEOUT_S
        )

    @send.register
    def _(self, order: SendStart, reply: Reply) -> None:
        self._call("StartMember", self._context.start(order), reply, START_TIMEOUT_S)

    @send.register
    def _(self, order: SendBegin, reply: Reply) -> None:
        self._call("BeginMember", self._context.begin(order), reply, START_TIMEOUT_S)

    @send.register
    def _(self, order: SendStop, reply: Reply) -> None:
        self._call("StopMember", self._context.stop(order), reply, STOP_TIMEOUT_S)

    def _call(self, method: str, request, reply: Reply, timeout_s: float) -> None:
        stub = control_pb2_grpc.AgentStub(self._pool.get(self.address))
        future = getattr(stub, method).future(request, timeout=timeout_s)
        future.add_done_callback(lambda f: self._post(self._done, f, reply))

    def _done(self, future: grpc.Future, reply: Reply) -> None:
        error = None if future.cancelled() else future.exception()
        if future.cancelled() or error is not None:
            if error is not None and error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self.address)
            reply(NOT_ANSWERED)
        else:
            reply(_result(future.result()))

    def push_out(self, domain: str) -> None:
        """Tell the agent that its failure domain is out."""
        stub = control_pb2_grpc.AgentStub(self._pool.get(self.address))
        push = control_pb2.ViewPush(domain=domain, out=True)
        stub.PushView.future(push, timeout=ORDER_TIMEOUT_S)


def worker_info(info: control_pb2.TargetInfo) -> WorkerInfo:
    """Return the size and place that a worker announces."""
    return WorkerInfo(
        info.name, info.domain, info.rack, info.accelerators, info.cores, info.memory_mb
    )


def beat_event(beat: control_pb2.Beat) -> BeatEvent:
    """Return the event that a heartbeat is for the cell's decisions."""
    reports = tuple(
        Report(
            r.attempt,
            r.state,
            r.answer,
            r.answer_object,
            r.reason,
            r.checkpoint,
            r.run_s,
            r.started,
        )
        for r in beat.reports
    )
    info = worker_info(beat.info) if beat.HasField("info") else None
    return BeatEvent(
        beat.target,
        beat.incarnation,
        info,
        beat.full,
        reports,
        beat.digest,
        beat.leaving,
    )
