"""Sends a cell holder's orders to the agents of its workers over gRPC."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

import grpc
from cicadabank.decisions import (
    HeartbeatEvent,
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
# Longer than the agent's own timeouts for the calls to its runner that the order needs.
START_TIMEOUT_S = 2.4
STOP_TIMEOUT_S = 3.5
RESERVATION_TTL_S = 6.0

ReplyCallback = Callable[[OrderResult], None]
NO_ANSWER = OrderResult(answered=False, reason="no answer")


class WorkerConfig(NamedTuple):
    """The part of the configuration that a reservation carries to a worker.

    Attributes
    ----------
    age_s : float
        Time since the holder last confirmed that this version is the newest.
    """

    version: int
    domain_out: bool
    age_s: float


class OrderBuilder:
    """Builds order messages with the values common to all orders of a cell's holder.

    Parameters
    ----------
    worker_config : callable
        Returns the current `WorkerConfig` of the worker with the given name.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        lease_duration_s: float,
        worker_config: Callable[[str], WorkerConfig],
    ):
        self.cell = cell
        self.epoch = epoch
        self.lease_duration_s = lease_duration_s
        self._worker_config = worker_config

    def reserve_message(self, order: SendReserve) -> control_pb2.Reserve:
        """Return the message that reserves accelerators for an attempt's members."""
        config = self._worker_config(order.worker)
        return control_pb2.Reserve(
            attempt=order.attempt,
            cell=self.cell,
            epoch=self.epoch,
            incarnation=order.incarnation,
            accelerators=order.accelerators,
            tasks=order.tasks,
            ttl_s=RESERVATION_TTL_S,
            config_version=config.version,
            domain_out=config.domain_out,
            view_age_s=min(1e9, config.age_s),
            reply_within_s=ORDER_TIMEOUT_S,
        )

    def start_message(self, order: SendStart) -> control_pb2.Start:
        """Return the message that starts an attempt's members on a worker."""
        return control_pb2.Start(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            hold_s=order.hold_s,
            payload=order.payload.encode(),
            checkpoint=order.checkpoint,
            lease_duration_s=self.lease_duration_s,
        )

    def begin_message(self, order: SendBegin) -> control_pb2.Begin:
        """Return the message that lets started members, held until now, begin work."""
        return control_pb2.Begin(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            lease_duration_s=self.lease_duration_s,
        )

    def stop_message(self, order: SendStop) -> control_pb2.Stop:
        """Return the message that stops an attempt's members on a worker."""
        return control_pb2.Stop(
            attempt=order.attempt,
            epoch=self.epoch,
            incarnation=order.incarnation,
            checkpoint=order.checkpoint,
        )


def _order_result(reply: control_pb2.OrderReply) -> OrderResult:
    return OrderResult(
        True, reply.accepted, reply.started, reply.reason, reply.checkpoint
    )


class AgentClient:
    """Sends orders to the agent of one worker.

    Parameters
    ----------
    post : callable
        Runs a function with its arguments in the actor that owns this client.
    """

    def __init__(
        self, address: str, pool: ChannelPool, builder: OrderBuilder, post: Callable
    ):
        self.address = address
        self._pool = pool
        self._builder = builder
        self._post = post

    @singledispatchmethod
    def send(self, order: Order, on_reply: ReplyCallback) -> None:
        """Send an order without waiting for the reply.

        `on_reply` is called in the actor that owns this client.
        """
        raise NotImplementedError(type(order).__name__)

    @send.register
    def _(self, order: SendReserve, on_reply: ReplyCallback) -> None:
        self._call(
            "ReserveMember",
            self._builder.reserve_message(order),
            on_reply,
            ORDER_TIMEOUT_S,
        )

    @send.register
    def _(self, order: SendStart, on_reply: ReplyCallback) -> None:
        self._call(
            "StartMember", self._builder.start_message(order), on_reply, START_TIMEOUT_S
        )

    @send.register
    def _(self, order: SendBegin, on_reply: ReplyCallback) -> None:
        self._call(
            "BeginMember", self._builder.begin_message(order), on_reply, START_TIMEOUT_S
        )

    @send.register
    def _(self, order: SendStop, on_reply: ReplyCallback) -> None:
        self._call(
            "StopMember", self._builder.stop_message(order), on_reply, STOP_TIMEOUT_S
        )

    def _call(
        self, method: str, request, on_reply: ReplyCallback, timeout_s: float
    ) -> None:
        stub = control_pb2_grpc.AgentStub(self._pool.get(self.address))
        future = getattr(stub, method).future(request, timeout=timeout_s)
        future.add_done_callback(lambda f: self._post(self._on_call_done, f, on_reply))

    def _on_call_done(self, future: grpc.Future, on_reply: ReplyCallback) -> None:
        error = None if future.cancelled() else future.exception()
        if future.cancelled() or error is not None:
            if error is not None and error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may be dead while it still looks open, so the next call
                # opens a new one.
                self._pool.drop(self.address)
            on_reply(NO_ANSWER)
        else:
            on_reply(_order_result(future.result()))

    def mark_domain_out(self, domain: str) -> None:
        """Tell the agent that its failure domain is out of service."""
        stub = control_pb2_grpc.AgentStub(self._pool.get(self.address))
        push = control_pb2.ViewPush(domain=domain, out=True)
        stub.PushView.future(push, timeout=ORDER_TIMEOUT_S)


def worker_info(info: control_pb2.TargetInfo) -> WorkerInfo:
    """Return the capacity and location that a worker announces."""
    return WorkerInfo(
        info.name, info.domain, info.rack, info.accelerators, info.cores, info.memory_mb
    )


def heartbeat_event(heartbeat: control_pb2.Beat) -> HeartbeatEvent:
    """Convert a heartbeat message to the event that `CellCore` takes."""
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
        for r in heartbeat.reports
    )
    info = worker_info(heartbeat.info) if heartbeat.HasField("info") else None
    return HeartbeatEvent(
        heartbeat.target,
        heartbeat.incarnation,
        info,
        heartbeat.full,
        reports,
        heartbeat.digest,
        heartbeat.leaving,
    )
