"""The agent's decisions: what may start on its target, under which lease, and why.

Pure but for the state it owns: orders, answers and time in, calls and reports out.
"""

from __future__ import annotations

from collections import OrderedDict

from cicadabank.control.internal.target_messages import (
    Call,
    Listing,
    LocalRun,
    StartOutcome,
    TargetBeat,
)
from cicadabank.control.internal.translate import message_of, run_of
from cicadabank.scheduling import Need, RunId
from cicadabank.wire import fleet_pb2

# A call to the target that brought no answer is repeated after this time.
CALL_RETRY_S = 0.3
# A target whose hold calls fail for this long is reported as unhealthy.
UNANSWERED_S = 1.2
# The target's clock may run this much slow.
CLOCK_DRIFT = 0.02
# Targets allow no longer lease.
LONGEST_LEASE_S = 10.0
CLOSED_REMEMBERED = 4000
# More than the seconds since 1970; with some hundred thousand epochs the fence stays
# below 2 ** 53, which JSON numbers hold exactly.
LIVES_IN_EPOCH = 10**10
# A target that turned a start away as unhealthy gets no others for this time.
UNHEALTHY_S = 2.0


class Steward:
    """Decides for one target.

    Parameters
    ----------
    agent : str
        ``IP:port`` of the agent.
    agent_run : str
        Identifies this life of the agent's process.
    """

    def __init__(self, agent: str, agent_run: str, cell: str):
        self.agent = agent
        self.agent_run = agent_run
        self.cell = cell
        self.epoch = 0
        self.holder = ""
        self.beat: TargetBeat | None = None
        self.left = False
        self.leaving = False
        self.recorded = 0
        self._number = 0
        self._lease_until_s = float("-inf")
        self._held_until_s = float("-inf")
        self._sample: tuple[float, float] | None = None
        self._answered_s = float("-inf")
        self._unhealthy_until_s = float("-inf")
        self._listing: Listing | None = None
        self._runs: dict[RunId, LocalRun] = {}
        self._refused: dict[RunId, str] = {}
        self._gone: set[RunId] = set()
        self._closed: OrderedDict[RunId, str] = OrderedDict()

    @property
    def incarnation(self) -> str:
        """The life of the target that orders must name."""
        return f"{self.beat.target}/{self.beat.born_ms}" if self.beat else ""

    @property
    def fence(self) -> int:
        """The number that the target compares; it does nothing for a lower one.

        It rises with the holder's epoch, and within one with each life of the target: a
        call that was meant for an earlier life may arrive in the next one, which may
        have the same name, and would forget ends there that were never stored.
        """
        born_s = self.beat.born_ms // 1000 if self.beat else 0
        return self.epoch * LIVES_IN_EPOCH + min(born_s, LIVES_IN_EPOCH - 1)

    def on_beat(self, beat: TargetBeat, now_s: float) -> bool:
        """Take in a heartbeat; return whether the holder should hear at once."""
        before = self.beat
        if before is not None and beat.born_ms < before.born_ms:
            return False
        new_life = before is None or (beat.target, beat.born_ms) != before[:2]
        if not new_life and beat.sequence <= before.sequence:
            return False
        if new_life:
            self._forget_all(now_s)
            self.left = False
        self.beat = beat
        return new_life or (beat.draining and not before.draining)

    def on_left(self, target: str) -> bool:
        """Take in that the target says it ends."""
        if self.beat is None or self.beat.target != target or self.left:
            return False
        self.left = True
        return True

    def _forget_all(self, now_s: float) -> None:
        self._runs.clear()
        self._refused.clear()
        self._gone.clear()
        self._closed.clear()
        self._listing = None
        self._sample = None
        self.recorded = 0
        # An earlier life of this agent may have prolonged the lease of a target that it
        # hasn't met yet.
        first = self.beat is None
        self._held_until_s = now_s + LONGEST_LEASE_S if first else float("-inf")
        self._answered_s = now_s

    def on_orders(self, batch: fleet_pb2.OrderBatch, now_s: float) -> bool:
        """Take in a batch of orders; return whether they are accepted."""
        if batch.epoch < self.epoch:
            return False
        self.epoch, self.holder = batch.epoch, batch.holder
        if not batch.incarnation:
            return True
        if batch.incarnation != self.incarnation or self.left:
            return False
        self.recorded = max(self.recorded, batch.recorded)
        for order in batch.starts:
            self._take_start(order)
        for run in batch.stops:
            self._take_stop(run_of(run))
        return True

    def _take_start(self, order: fleet_pb2.StartRun) -> None:
        run = run_of(order.id)
        if run in self._closed:
            self._refused[run] = self._closed[run]
            return
        if run in self._runs:
            return
        local = LocalRun(order)
        reason = self._why_not(run, local.need)
        if reason:
            self._refuse(run, reason)
        else:
            self._runs[run] = local

    def _why_not(self, run: RunId, need: Need) -> str:
        """Return why a run can't start here, or an empty string."""
        if self._listed(run):
            return ""
        if self.beat.draining:
            return "draining"
        used = [local.need for local in self._runs.values()]
        for kind, limit in enumerate(self.beat.capacity):
            if sum(n[kind] for n in used) + need[kind] > limit:
                return "room"
        return ""

    def _listed(self, run: RunId) -> bool:
        running = self._listing.running if self._listing else ()
        return any(listed.id == run for listed in running)

    def _refuse(self, run: RunId, reason: str) -> None:
        self._refused[run] = reason
        self._close(run, reason)

    def _close(self, run: RunId, reason: str) -> None:
        """Remember that a run must not start here any more."""
        self._runs.pop(run, None)
        self._closed[run] = reason
        while len(self._closed) > CLOSED_REMEMBERED:
            self._closed.popitem(last=False)

    def _take_stop(self, run: RunId) -> None:
        if run in self._closed:
            self._gone.add(run)
            return
        local = self._runs.setdefault(run, LocalRun(None))
        if not local.stopping:
            local.stopping = True
            local.busy = False
            local.tried_s = float("-inf")

    def calls(self, now_s: float) -> list[Call]:
        """Return the calls to the target that are due, as now under way."""
        due = []
        if self.beat is None or self.left:
            return due
        for run, local in self._runs.items():
            if local.busy or now_s - local.tried_s < CALL_RETRY_S:
                continue
            if local.stopping and local.stop_s == float("inf"):
                due.append(Call("stop", run))
            elif (
                not local.stopping
                and local.present_s == float("inf")
                and self.until_target_s(now_s) is not None
            ):
                order = local.order
                due.append(Call("start", run, order.spec, order.checkpoint))
            else:
                continue
            local.busy = True
            local.tried_s = now_s
        return due

    def until_target_s(self, now_s: float) -> float | None:
        """Return the end of the lease on the target's clock, if there is one.

        The target's clock was read before its answer came, so the end is rather early
        than late.
        """
        if self._sample is None or self._lease_until_s <= now_s:
            return None
        target_s, received_s = self._sample
        self._held_until_s = max(self._held_until_s, self._lease_until_s)
        return target_s + (self._lease_until_s - received_s)

    def on_started(self, run: RunId, outcome: StartOutcome, now_s: float) -> None:
        """Take in how the target answered a start."""
        local = self._runs.get(run)
        if local is None:
            return
        if not local.stopping:
            local.busy = False
        if not outcome.known:
            return
        if not outcome.refused:
            local.present_s = min(local.present_s, now_s)
            return
        if outcome.refused == "unhealthy":
            self._unhealthy_until_s = now_s + UNHEALTHY_S
        if not local.stopping and outcome.refused != "late":
            self._refuse(run, outcome.refused)

    def on_stopped(self, run: RunId, known: bool, now_s: float) -> None:
        """Take in how the target answered a stop."""
        local = self._runs.get(run)
        if local is None:
            return
        local.busy = False
        if known:
            local.stop_s = min(local.stop_s, now_s)

    def on_listing(self, listing: Listing, asked_s: float, now_s: float) -> bool:
        """Take in what the target lists; return whether the holder should hear.

        Parameters
        ----------
        asked_s : float
            When the target was asked: what was started later may be missing.
        """
        if self.beat is None or listing.born_ms != self.beat.born_ms:
            return False
        before = self._listing
        self._listing = listing
        self._sample = (listing.target_s, now_s)
        self._answered_s = now_s
        running = {run.id for run in listing.running}
        ended = {end.id for end in listing.ended}
        for run, local in list(self._runs.items()):
            if run in running:
                local.present_s = min(local.present_s, now_s)
            elif run in ended:
                self._close(run, "old")
            elif local.stop_s < asked_s:
                self._gone.add(run)
                self._close(run, "old")
            elif local.present_s < asked_s:
                self._close(run, "old")
        newest = max((end.sequence for end in listing.ended), default=0)
        known = max((end.sequence for end in before.ended), default=0) if before else 0
        return before is None or newest > known or bool(self._gone)

    @property
    def unrecorded(self) -> bool:
        """Whether the target lists ends that the holder hasn't stored yet."""
        ended = self._listing.ended if self._listing else ()
        return any(end.sequence > self.recorded for end in ended)

    def has_news(self) -> bool:
        """Whether there is an outcome that the holder waits for."""
        return bool(self._gone or self._refused)

    def target_is_dead(self, now_s: float) -> bool:
        """Whether the target hasn't answered for longer than its lease."""
        silent_s = now_s - self._answered_s
        left_s = max(0.0, self._held_until_s - self._answered_s)
        return silent_s > UNANSWERED_S and silent_s > left_s * (1 + CLOCK_DRIFT)

    def report(self, now_s: float) -> fleet_pb2.TargetReport | None:
        """Return what the holder should know; None before the first heartbeat."""
        beat = self.beat
        if beat is None:
            return None
        self._number += 1
        message = fleet_pb2.TargetReport(
            cell=self.cell,
            epoch=self.epoch,
            agent=self.agent,
            agent_run=self.agent_run,
            number=self._number,
            target=beat.target,
            incarnation=self.incarnation,
            domain=beat.domain,
            address=beat.address,
            leaving=self.leaving,
        )
        if self.left or self.target_is_dead(now_s):
            message.incarnation += "/ended"
            message.observed = True
            return message
        message.cpu_millicores, message.memory_mb, message.accelerators = beat.capacity
        message.labels.extend(beat.labels)
        message.rack = beat.rack
        message.draining = beat.draining
        message.remaining_s = beat.remaining_s
        silent = now_s - self._answered_s > UNANSWERED_S
        message.unhealthy = silent or now_s < self._unhealthy_until_s
        if self._listing is not None:
            message.observed = True
            self._add_lists(message, self._listing)
        return message

    def _add_lists(self, message: fleet_pb2.TargetReport, listing: Listing) -> None:
        listed = set()
        for run in listing.running:
            listed.add(run.id)
            message.running.add(
                id=message_of(run.id), checkpoint=run.checkpoint, percent=run.percent
            )
        for end in listing.ended:
            listed.add(end.id)
            message.ended.add(
                id=message_of(end.id),
                sequence=end.sequence,
                how=end.how,
                checkpoint=end.checkpoint,
            )
        for run, local in self._runs.items():
            if run in listed:
                continue
            if local.present_s < float("inf") and not local.stopping:
                message.running.add(id=message_of(run))
            else:
                message.pending.append(message_of(run))
        for run, reason in self._refused.items():
            message.refused.add(id=message_of(run), reason=reason)
        message.gone.extend(message_of(run) for run in self._gone)

    def on_reply(
        self, reply: fleet_pb2.ReportReply, sent_s: float, incarnation: str
    ) -> None:
        """Take in the holder's answer; its lease counts from when it was asked.

        Parameters
        ----------
        incarnation : str
            The life of the target that the report was about.
        """
        if not reply.accepted:
            if reply.holder:
                self.holder = reply.holder
            return
        if reply.epoch < self.epoch:
            return
        self.epoch, self.holder = reply.epoch, reply.holder
        if incarnation != self.incarnation:
            return
        if reply.lease_s:
            self._lease_until_s = max(self._lease_until_s, sent_s + reply.lease_s)
        self.recorded = max(self.recorded, reply.recorded)
        for settled in reply.settled:
            run = run_of(settled)
            self._refused.pop(run, None)
            self._gone.discard(run)
