"""The agent's task: owns the members of its worker and its heartbeats."""

from __future__ import annotations

from cicadabank.agent.internal.answers import AnswerKeeper
from cicadabank.agent.internal.core import AgentCore
from cicadabank.agent.internal.driver import RunnerDriver
from cicadabank.agent.internal.reporter import EveryEntryReporter, HolderReporter
from cicadabank.agent.internal.requests import RequestGate
from cicadabank.model import new_id
from cicadabank.settings import AgentSettings
from cicadabank.tasks import Metrics, Task, clock_s
from cicadabank.wire import ChannelPool, control_pb2
from loguru import logger

TICK_S = 0.1
FIRST_BEAT_INTERVAL_S = 0.3
NEWS_INTERVAL_S = 0.3
READY_SILENCE_S = 10.0


class AgentTask(Task):
    """Beside one target: passes orders on, enforces leases, beats.

    Parameters
    ----------
    settings : AgentSettings
    pool : ChannelPool
    keeper : AnswerKeeper or None
        Stores large answers, if an object service is set.
    """

    def __init__(
        self, settings: AgentSettings, pool: ChannelPool, keeper: AnswerKeeper | None
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
            keeper.keep if keeper else None,
            settings.answer_inline_bytes,
        )
        self.gate = RequestGate(settings.target_address, pool, self.incarnation)
        self._is_worker = settings.target == "worker"
        if self._is_worker:
            self._reporter = HolderReporter(
                settings.entries, pool, self.post, self.core.tell_everything
            )
        else:
            self._reporter = EveryEntryReporter(settings.entries, pool, self.post)
        self._interval_s = FIRST_BEAT_INTERVAL_S
        self._beat_due_s = 0.0
        self._news_due_s = 0.0
        self._usage_due_s = 0.0
        self.answered_s = float("-inf")
        self._info = _target_info(settings)

    @property
    def ready(self) -> bool:
        """Whether an entry has answered of late."""
        return clock_s() - self.answered_s < READY_SILENCE_S

    @property
    def busy(self) -> bool:
        """Whether requests are in flight, or members not ended and acknowledged.

        Nothing can be done for members whose runner doesn't answer any more.
        """
        silence_s = clock_s() - self.driver.usage_seen_s
        waits = bool(self.core.members) and silence_s <= self.settings.freshness_s
        return waits or self.gate.in_flight > 0

    def on_tick(self) -> None:
        """Poll the target, enforce leases and send the heartbeat that is due."""
        now_s = clock_s()
        if self._is_worker:
            self.driver.enforce_leases()
            if now_s >= self._usage_due_s:
                self._usage_due_s = now_s + self.settings.usage_interval_s
                self.driver.poll_usage()
        news = now_s >= self._news_due_s and self.core.has_news()
        if now_s >= self._beat_due_s or news:
            self._news_due_s = now_s + NEWS_INTERVAL_S
            self._beat_due_s = now_s + self._interval_s
            self._beat(now_s)

    def _beat(self, now_s: float) -> None:
        # A worker whose runner does not answer has nothing true to say.
        silence_s = now_s - self.driver.usage_seen_s
        if self._is_worker and silence_s > self.settings.freshness_s:
            return
        beat = self.core.beat(self._info)
        if not self._is_worker:
            beat.info.CopyFrom(self._info)
            beat.in_flight = self.gate.in_flight
        self.metrics.count("beats")
        self._reporter.send(beat, self._beat_answered)

    def _beat_answered(self, beat, reply: control_pb2.BeatReply, sent_s: float) -> None:
        self.answered_s = clock_s()
        self._interval_s = reply.interval_s or self._interval_s
        if not self._is_worker:
            seen_s = sent_s - reply.view_age_s
            self.core.take_view(reply.config_version, reply.domain_out, seen_s)
            self.gate.domain_out = self.core.view.domain_out
            return
        self._worker_answered(beat, reply, sent_s)

    def _worker_answered(
        self, beat, reply: control_pb2.BeatReply, sent_s: float
    ) -> None:
        unknown = self.core.beat_answered(beat, reply, sent_s)
        if reply.want_full:
            self._beat_due_s = 0.0
            return
        self.driver.stop_unknown(unknown)
        for attempt in reply.acknowledged:
            self.driver.forget(attempt)
        self.driver.renew_leases()

    def reserve_member(self, order, reply) -> None:
        """Reserve a member."""
        self._log(order, "reserve")
        self.driver.reserve(order, reply)

    def start_member(self, order, reply) -> None:
        """Start a member."""
        self._log(order, "start")
        self.metrics.count("starts")
        self.driver.start(order, reply)

    def begin_member(self, order, reply) -> None:
        """Let a held member begin."""
        self._log(order, "begin")
        self.driver.begin(order, reply)

    def stop_member(self, order, reply) -> None:
        """Stop a member."""
        self._log(order, "stop")
        self.driver.stop(order, reply)

    def _log(self, order, what: str) -> None:
        bound = logger.bind(attempt=order.attempt, epoch=order.epoch)
        bound.bind(config_version=self.core.view.version).info("order to {}", what)

    def push_view(self, push: control_pb2.ViewPush) -> None:
        """Act on a failure domain's being taken out before the next heartbeat."""
        if push.domain == self.settings.domain and push.out:
            self.core.push_out(clock_s())
            self.gate.domain_out = True

    def handle(self, request, context):
        """Pass a request to the minion; called in the server's threads."""
        return self.gate.handle(request, context)

    def leave(self) -> None:
        """Take no new work, and tell the entries at once."""
        self.core.leaving = True
        self.gate.leaving = True
        self._beat_due_s = 0.0


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
