"""Carries out the agent's decisions through the interface of a worker's runner."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import grpc
from cicadabank.agent.errors import OrderRefusedError
from cicadabank.agent.internal.core import AgentCore
from cicadabank.agent.internal.members import (
    RENEWABLE_STATES,
    TERMINAL_MEMBER_STATES,
    GangMember,
)
from cicadabank.tasks import clock_s, unix_s
from cicadabank.wire import ChannelPool, control_pb2, targets_pb2, targets_pb2_grpc
from loguru import logger

RUNNER_TIMEOUT_S = 1.0
START_TIMEOUT_S = 2.0
CHECKPOINT_TIMEOUT_S = 2.0

ReplyCallback = Callable[[control_pb2.OrderReply], None]
Post = Callable[..., None]


class RunnerDriver:
    """Calls the task runner of one worker; all methods run in the owning actor.

    Parameters
    ----------
    core : AgentCore
        Decision logic, owned by the same actor.
    address : str
        ``IP:port`` of the runner.
    pool : ChannelPool
    post : callable
        Runs a callable in the owning actor.
    upload_answer : callable, default=None
        Uploads a large answer; returns its object key, or an empty string until it is
        stored.
    answer_inline_bytes : int, default=32768
        Size above which an answer is uploaded.
    """

    def __init__(
        self,
        core: AgentCore,
        address: str,
        pool: ChannelPool,
        post: Post,
        upload_answer: Callable[[str, bytes], str] | None = None,
        answer_inline_bytes: int = 32_768,
    ):
        self.core = core
        self._address = address
        self._pool = pool
        self._post = post
        self._upload_answer = upload_answer
        self._max_inline_answer_bytes = answer_inline_bytes
        self._usage_pending = False
        # By attempt with a start in flight: stops to run after the runner has replied.
        self._deferred_stops: dict[str, list[Callable[[], None]]] = {}
        self.usage_seen_s = float("-inf")
        self.runner_clock_offset_s = 0.0

    def _stub(self) -> targets_pb2_grpc.RunnerStub:
        return targets_pb2_grpc.RunnerStub(self._pool.get(self._address))

    def _call(
        self,
        method: str,
        request,
        on_done: Callable,
        timeout_s: float = RUNNER_TIMEOUT_S,
    ):
        """Call the runner; `on_done` gets the reply, or None, in the owning actor."""
        future = getattr(self._stub(), method).future(request, timeout=timeout_s)
        future.add_done_callback(lambda f: self._post(self._finish, f, on_done))

    def _finish(self, future: grpc.Future, on_done: Callable) -> None:
        error = None if future.cancelled() else future.exception()
        if future.cancelled() or error is not None:
            if error is not None and error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self._address)
            on_done(None)
        else:
            on_done(future.result())

    def reserve(self, order: control_pb2.Reserve, send_reply: ReplyCallback) -> None:
        """Reserve accelerators for a member and reply to the order."""
        try:
            self.core.reserve(order, clock_s())
        except OrderRefusedError as error:
            send_reply(control_pb2.OrderReply(accepted=False, reason=error.message))
            return
        send_reply(control_pb2.OrderReply(accepted=True))

    def start(self, order: control_pb2.Start, send_reply: ReplyCallback) -> None:
        """Start a reserved member if the current view permits it."""
        now_s = clock_s()
        try:
            member = self.core.start(order, now_s)
        except OrderRefusedError as error:
            started = order.attempt in self.core.members and bool(
                self.core.members[order.attempt].started
            )
            send_reply(
                control_pb2.OrderReply(
                    accepted=False, reason=error.message, started=started
                )
            )
            return
        if member is None:
            send_reply(control_pb2.OrderReply(accepted=True, started=True))
            return
        # A held task stops by itself if it is not told to begin within `hold_s`.
        request = targets_pb2.TaskStart(
            attempt=order.attempt,
            tasks=member.tasks,
            accelerators=member.accelerators,
            epoch=order.epoch,
            not_after_unix_s=self._not_after_unix_s(member, now_s),
            held=bool(order.hold_s),
            lease_duration_s=order.hold_s or max(0.0, self.core.lease_until_s - now_s),
            payload=order.payload,
            checkpoint=order.checkpoint,
        )
        self._send_start("Start", request, member, self._finish_start, send_reply)

    def begin(self, order: control_pb2.Begin, send_reply: ReplyCallback) -> None:
        """Order a held member to begin if the current view permits it."""
        now_s = clock_s()
        try:
            member = self.core.begin(order, now_s)
        except OrderRefusedError as error:
            send_reply(control_pb2.OrderReply(accepted=False, reason=error.message))
            return
        if member is None:
            send_reply(control_pb2.OrderReply(accepted=True, started=True))
            return
        request = targets_pb2.TaskBegin(
            attempt=order.attempt,
            epoch=order.epoch,
            not_after_unix_s=self._not_after_unix_s(member, now_s),
            lease_duration_s=max(0.0, self.core.lease_until_s - now_s),
        )
        self._send_start("Begin", request, member, self._finish_begin, send_reply)

    def _not_after_unix_s(self, member: GangMember, now_s: float) -> float:
        """Return the latest start time on the runner's clock, for the runner to check.

        The agent's own check is not enough, since this process may be paused between
        the check and the runner's start.
        """
        bound_s = self.core.start_window_s(member, now_s)
        return unix_s() + self.runner_clock_offset_s + bound_s

    def _send_start(
        self,
        method: str,
        request,
        member: GangMember,
        finish_order: Callable,
        send_reply: ReplyCallback,
    ) -> None:
        now_s = clock_s()
        member.start_pending_until_s = now_s + self.core.start_window_s(member, now_s)
        self._deferred_stops[member.attempt] = []
        on_done = partial(self._on_start_reply, member, finish_order, send_reply)
        self._call(method, request, on_done, START_TIMEOUT_S)

    def _on_start_reply(
        self,
        member: GangMember,
        finish_order: Callable,
        send_reply: ReplyCallback,
        runner_reply: targets_pb2.TaskStarted | None,
    ) -> None:
        if runner_reply is None:
            self.core.order_unanswered(member.attempt, member.start_pending_until_s)
        else:
            member.start_pending_until_s = 0.0
            if runner_reply.accepted:
                self.core.order_accepted(member.attempt, clock_s())
        finish_order(member, send_reply, runner_reply)
        for deferred_stop in self._deferred_stops.pop(member.attempt, ()):
            deferred_stop()

    def _finish_start(
        self,
        member: GangMember,
        send_reply: ReplyCallback,
        runner_reply: targets_pb2.TaskStarted | None,
    ) -> None:
        if runner_reply is not None and not runner_reply.accepted:
            self.core.start_refused(member.attempt, runner_reply.reason)
        send_reply(_order_reply(member, runner_reply))

    def _finish_begin(
        self,
        member: GangMember,
        send_reply: ReplyCallback,
        runner_reply: targets_pb2.TaskStarted | None,
    ) -> None:
        if runner_reply is not None and not runner_reply.accepted:
            self.core.begin_refused(member.attempt)
        send_reply(_order_reply(member, runner_reply))

    def stop(self, order: control_pb2.Stop, send_reply: ReplyCallback) -> None:
        """Stop a member, after a checkpoint if the order asks for one."""
        try:
            member = self.core.stop(order)
        except OrderRefusedError as error:
            send_reply(
                control_pb2.OrderReply(
                    accepted=False, reason=error.message, started=True
                )
            )
            return
        if member is None:
            self._reply_stopped(order, send_reply)
            return
        if member.attempt in self._deferred_stops:
            # A stop must not overtake a start in transit to the runner.
            self._deferred_stops[member.attempt].append(
                partial(self.stop, order, send_reply)
            )
            return
        ref = targets_pb2.TaskRef(attempt=member.attempt, epoch=self.core.epoch)
        if order.checkpoint:
            on_done = partial(self._on_checkpoint_reply, order, member, send_reply)
            self._call("Checkpoint", ref, on_done, CHECKPOINT_TIMEOUT_S)
        else:
            self._call(
                "Stop", ref, partial(self._on_stop_reply, order, member, send_reply)
            )

    def _on_checkpoint_reply(
        self, order, member: GangMember, send_reply: ReplyCallback, runner_reply
    ) -> None:
        if runner_reply is not None and runner_reply.checkpoint:
            member.checkpoint = runner_reply.checkpoint
        ref = targets_pb2.TaskRef(attempt=member.attempt, epoch=self.core.epoch)
        self._call("Stop", ref, partial(self._on_stop_reply, order, member, send_reply))

    def _on_stop_reply(
        self, order, member: GangMember, send_reply: ReplyCallback, runner_reply
    ) -> None:
        now_s = clock_s()
        # Until `start_pending_until_s` an unanswered start or begin may still take
        # effect, so a reply to the stop does not prove that the member has ended.
        if runner_reply is None or now_s < member.start_pending_until_s:
            send_reply(
                control_pb2.OrderReply(
                    accepted=False,
                    started=member.started,
                    reason="the runner did not answer",
                )
            )
            return
        if member.state not in TERMINAL_MEMBER_STATES:
            member.state = "stopped"
            member.reason = "stopped by order"
        self._reply_stopped(order, send_reply)

    def _reply_stopped(
        self, order: control_pb2.Stop, send_reply: ReplyCallback
    ) -> None:
        member = self.core.members.get(order.attempt)
        checkpoint = member.checkpoint if member else ""
        started = self.core.may_have_started(order)
        send_reply(
            control_pb2.OrderReply(
                accepted=True, started=started, checkpoint=checkpoint
            )
        )

    def stop_unknown_attempts(self, attempts: list[str]) -> None:
        """Stop and forget attempts that the holder of the cell doesn't know."""
        for attempt in attempts:
            logger.bind(attempt=attempt).info(
                "stopping attempt: unknown to the holder of the cell"
            )
            self._stop_and_forget(attempt)

    def _stop_and_forget(self, attempt: str) -> None:
        ref = targets_pb2.TaskRef(attempt=attempt, epoch=self.core.epoch)

        def forget(runner_reply) -> None:
            if runner_reply is not None:
                self.core.forget(attempt)
                self.forget(attempt)

        self._call("Stop", ref, forget)

    def forget(self, attempt: str) -> None:
        """Let the runner forget an ended attempt whose outcome is stored."""
        ref = targets_pb2.TaskRef(attempt=attempt, epoch=self.core.epoch)
        self._call("Forget", ref, lambda _: None)

    def enforce_leases(self) -> None:
        """Stop the members whose lease has expired."""
        for member in self.core.members_with_expired_lease(clock_s()):
            logger.bind(attempt=member.attempt).warning(
                "stopping attempt: lease expired"
            )
            member.state = "stopped"
            member.reason = "lease-lapsed"
            ref = targets_pb2.TaskRef(attempt=member.attempt, epoch=self.core.epoch)
            self._call("Stop", ref, lambda _: None)

    def renew_leases(self) -> None:
        """Renew the members' leases at the runner for the remaining time."""
        members = self.core.members.values()
        running = [m.attempt for m in members if m.state in RENEWABLE_STATES]
        remaining_s = self.core.lease_until_s - clock_s()
        if running and remaining_s > 0:
            request = targets_pb2.LeaseRenewal(
                attempts=running, lease_duration_s=remaining_s, epoch=self.core.epoch
            )
            self._call("Renew", request, lambda _: None)

    def poll_usage(self) -> None:
        """Ask the runner for the state of its tasks."""
        if self._usage_pending:
            return
        self._usage_pending = True
        requested_s = clock_s()
        self._call(
            "Usage", targets_pb2.Empty(), partial(self._on_usage_report, requested_s)
        )

    def _on_usage_report(
        self, requested_s: float, report: targets_pb2.UsageReport | None
    ) -> None:
        self._usage_pending = False
        if report is None:
            return
        self.usage_seen_s = requested_s
        if report.clock_unix_s:
            # The latest start time sent to the runner may be too early, but never too
            # late: the runner read its clock between the request and now, so this
            # underestimates the offset, and a positive offset is ignored.
            self.runner_clock_offset_s = min(0.0, report.clock_unix_s - unix_s())
        for task in report.tasks:
            if (
                len(task.answer) > self._max_inline_answer_bytes
                and self._upload_answer is not None
            ):
                self._offload_answer(task)
        self.core.apply_usage(list(report.tasks), requested_s - report.lag_s)

    def _offload_answer(self, task: targets_pb2.TaskUsage) -> None:
        member = self.core.members.get(task.attempt)
        if member is not None and member.answer_object:
            task.answer = b""
            return
        key = self._upload_answer(task.attempt, task.answer)
        if member is not None and key:
            member.answer_object = key
            task.answer = b""
        else:
            # The member is reported as running until its answer is stored.
            task.state, task.answer = "running", b""


def _order_reply(
    member: GangMember, runner_reply: targets_pb2.TaskStarted | None
) -> control_pb2.OrderReply:
    """Return the reply to an order, from the runner's reply or None without one."""
    if runner_reply is None:
        reason = "the runner did not answer"
        return control_pb2.OrderReply(started=member.started, reason=reason)
    return control_pb2.OrderReply(
        accepted=runner_reply.accepted,
        started=member.started,
        reason=runner_reply.reason,
    )
