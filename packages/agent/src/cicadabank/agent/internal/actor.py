"""The agent's actor: owns the members of its target and sends heartbeats."""

from __future__ import annotations

from cicadabank.agent.internal.answers import AnswerUploader
from cicadabank.agent.internal.core import AgentCore
from cicadabank.agent.internal.driver import RunnerDriver
from cicadabank.agent.internal.reporter import (
    AllEntriesHeartbeatSender,
    HolderHeartbeatSender,
)
from cicadabank.agent.internal.requests import RequestForwarder
from cicadabank.model import new_id
from cicadabank.settings import AgentSettings
from cicadabank.tasks import Actor, Metrics, clock_s
from cicadabank.wire import ChannelPool, control_pb2
from loguru import logger

TICK_S = 0.1
INITIAL_HEARTBEAT_INTERVAL_S = 0.3
MIN_EARLY_HEARTBEAT_INTERVAL_S = 0.3
READY_MAX_REPLY_AGE_S = 10.0


class AgentActor(Actor):
    """Carries out orders for one target, enforces leases and sends heartbeats.

    Parameters
    ----------
    settings : AgentSettings
    pool : ChannelPool
    uploader : AnswerUploader or None
        Uploads large answers; None if no object service is set.
    """

    def __init__(
        self,
        settings: AgentSettings,
        pool: ChannelPool,
        uploader: AnswerUploader | None,
    ):
        super().__init__(TICK_S)
        self.settings = settings
        self.incarnation = new_id("run")
        self.metrics = Metrics(settings.statsd, "cicadabank.agent")
        self.core = AgentCore(
            self.incarnation, settings.accelerators, settings.freshness_s
        )
        self.driver = RunnerDriver(
            self.core,
            settings.target_address,
            pool,
            self.post,
            uploader.upload_answer if uploader else None,
            settings.answer_inline_bytes,
        )
        self.forwarder = RequestForwarder(
            settings.target_address, pool, self.incarnation
        )
        self._is_worker = settings.target == "worker"
        if self._is_worker:
            self._heartbeat_sender = HolderHeartbeatSender(
                settings.entries, pool, self.post, self.core.require_full_report
            )
        else:
            self._heartbeat_sender = AllEntriesHeartbeatSender(
                settings.entries, pool, self.post
            )
        self._interval_s = INITIAL_HEARTBEAT_INTERVAL_S
        self._heartbeat_due_s = 0.0
        self._early_heartbeat_due_s = 0.0
        self._usage_poll_due_s = 0.0
        self.last_reply_s = float("-inf")
        self._info = _target_info(settings)

    @property
    def ready(self) -> bool:
        """Whether an entry replied to a heartbeat within `READY_MAX_REPLY_AGE_S`."""
        return clock_s() - self.last_reply_s < READY_MAX_REPLY_AGE_S

    @property
    def busy(self) -> bool:
        """Whether requests are in flight, or members not yet ended and acknowledged.

        Members whose runner no longer replies don't count, since the agent can do
        nothing for them.
        """
        usage_report_age_s = clock_s() - self.driver.usage_seen_s
        members_reachable = (
            bool(self.core.members) and usage_report_age_s <= self.settings.freshness_s
        )
        return members_reachable or self.forwarder.in_flight > 0

    def on_tick(self) -> None:
        """Poll the target, enforce leases and send a heartbeat if one is due."""
        now_s = clock_s()
        if self._is_worker:
            self.driver.enforce_leases()
            if now_s >= self._usage_poll_due_s:
                self._usage_poll_due_s = now_s + self.settings.usage_interval_s
                self.driver.poll_usage()
        early = (
            now_s >= self._early_heartbeat_due_s and self.core.has_unreported_changes()
        )
        if now_s >= self._heartbeat_due_s or early:
            self._early_heartbeat_due_s = now_s + MIN_EARLY_HEARTBEAT_INTERVAL_S
            self._heartbeat_due_s = now_s + self._interval_s
            self._send_heartbeat(now_s)

    def _send_heartbeat(self, now_s: float) -> None:
        # Without a recent usage report of the runner the states may be wrong, so none
        # are sent.
        usage_report_age_s = now_s - self.driver.usage_seen_s
        if self._is_worker and usage_report_age_s > self.settings.freshness_s:
            return
        heartbeat = self.core.next_heartbeat(self._info)
        if not self._is_worker:
            heartbeat.info.CopyFrom(self._info)
            heartbeat.in_flight = self.forwarder.in_flight
        self.metrics.count("beats")
        self._heartbeat_sender.send(heartbeat, self._on_heartbeat_reply)

    def _on_heartbeat_reply(
        self, heartbeat, reply: control_pb2.BeatReply, sent_s: float
    ) -> None:
        self.last_reply_s = clock_s()
        self._interval_s = reply.interval_s or self._interval_s
        if not self._is_worker:
            confirmed_s = sent_s - reply.view_age_s
            self.core.update_view(reply.config_version, reply.domain_out, confirmed_s)
            self.forwarder.domain_out = self.core.view.domain_out
            return
        self._on_worker_heartbeat_reply(heartbeat, reply, sent_s)

    def _on_worker_heartbeat_reply(
        self, heartbeat, reply: control_pb2.BeatReply, sent_s: float
    ) -> None:
        unknown = self.core.apply_heartbeat_reply(heartbeat, reply, sent_s)
        if reply.want_full:
            self._heartbeat_due_s = 0.0
            return
        self.driver.stop_unknown_attempts(unknown)
        for attempt in reply.acknowledged:
            self.driver.forget(attempt)
        self.driver.renew_leases()

    def reserve_member(self, order, send_reply) -> None:
        """Reserve accelerators for a member."""
        self._log_order(order, "reserve")
        self.driver.reserve(order, send_reply)

    def start_member(self, order, send_reply) -> None:
        """Start a reserved member."""
        self._log_order(order, "start")
        self.metrics.count("starts")
        self.driver.start(order, send_reply)

    def begin_member(self, order, send_reply) -> None:
        """Order a held member to begin."""
        self._log_order(order, "begin")
        self.driver.begin(order, send_reply)

    def stop_member(self, order, send_reply) -> None:
        """Stop a member, or release its reservation."""
        self._log_order(order, "stop")
        self.driver.stop(order, send_reply)

    def _log_order(self, order, action: str) -> None:
        bound = logger.bind(attempt=order.attempt, epoch=order.epoch)
        bound.bind(config_version=self.core.view.version).info(
            "received order to {}", action
        )

    def push_view(self, push: control_pb2.ViewPush) -> None:
        """Treat the failure domain as out of service before the next heartbeat."""
        if push.domain == self.settings.domain and push.out:
            self.core.mark_domain_out(clock_s())
            self.forwarder.domain_out = True

    def handle(self, request, context):
        """Forward a request to the minion; called from the server's threads."""
        return self.forwarder.handle(request, context)

    def leave(self) -> None:
        """Refuse new work, and tell the entries with an immediate heartbeat."""
        self.core.leaving = True
        self.forwarder.leaving = True
        self._heartbeat_due_s = 0.0


def _target_info(settings: AgentSettings) -> control_pb2.TargetInfo:
    return control_pb2.TargetInfo(
        name=settings.name,
        kind=settings.target,
        address=settings.advertise or settings.listen,
        cell=settings.cell,
        domain=settings.domain,
        rack=settings.rack,
        accelerators=settings.accelerators,
        cores=settings.cores,
        memory_mb=settings.memory_mb,
        slots=settings.slots,
    )
