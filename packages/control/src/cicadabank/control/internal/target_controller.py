"""The agent's decisions: what may start on its target, under which lease, and why.

Pure but for the state it owns: orders, answers and time in, calls and reports out.
"""

from __future__ import annotations

from collections import OrderedDict

from cicadabank.control.internal.conversion import (
    run_id_from_message,
    run_id_to_message,
)
from cicadabank.control.internal.target_messages import (
    Listing,
    LocalRun,
    StartOutcome,
    TargetBeat,
    TargetCall,
)
from cicadabank.scheduling import Need, RunId
from cicadabank.wire import fleet_pb2

# A call to the target that brought no answer is repeated after this time.
CALL_RETRY_INTERVAL_S = 0.3
# A target whose hold calls fail for this long is reported as unhealthy.
UNRESPONSIVE_AFTER_S = 1.2
# The target's clock may run this much slow.
MAX_CLOCK_DRIFT = 0.02
# Targets allow no longer lease.
MAX_TARGET_LEASE_S = 10.0
MAX_CLOSED_RUNS = 4000
# More than the seconds since 1970; with some hundred thousand epochs the fence stays
# below 2 ** 53, which JSON numbers hold exactly.
FENCE_EPOCH_FACTOR = 10**10
# A target that turned a start away as unhealthy gets no others for this time.
UNHEALTHY_BACKOFF_S = 2.0


class TargetController:
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
        self.heartbeat: TargetBeat | None = None
        self.target_ended = False
        self.leaving = False
        self.recorded = 0
        self._report_number = 0
        self._lease_until_s = float("-inf")
        self._target_lease_until_s = float("-inf")
        self._clock_sample: tuple[float, float] | None = None
        self._last_answer_s = float("-inf")
        self._unhealthy_until_s = float("-inf")
        self._listing: Listing | None = None
        self._runs: dict[RunId, LocalRun] = {}
        self._refused: dict[RunId, str] = {}
        self._gone: set[RunId] = set()
        self._closed: OrderedDict[RunId, str] = OrderedDict()

    @property
    def incarnation(self) -> str:
        """The life of the target that orders must name."""
        return (
            f"{self.heartbeat.target}/{self.heartbeat.born_ms}"
            if self.heartbeat
            else ""
        )

    @property
    def fence(self) -> int:
        """The number that the target compares; it does nothing for a lower one.

        It rises with the holder's epoch, and within one with each life of the target: a
        call that was meant for an earlier life may arrive in the next one, which may
        have the same name, and would forget ends there that were never stored.
        """
        born_s = self.heartbeat.born_ms // 1000 if self.heartbeat else 0
        return self.epoch * FENCE_EPOCH_FACTOR + min(born_s, FENCE_EPOCH_FACTOR - 1)

    def on_heartbeat(self, heartbeat: TargetBeat, now_s: float) -> bool:
        """Take in a heartbeat; return whether the holder should hear at once."""
        before = self.heartbeat
        if before is not None and heartbeat.born_ms < before.born_ms:
            return False
        new_incarnation = (
            before is None or (heartbeat.target, heartbeat.born_ms) != before[:2]
        )
        if not new_incarnation and heartbeat.sequence <= before.sequence:
            return False
        if new_incarnation:
            self._reset(now_s)
            self.target_ended = False
        self.heartbeat = heartbeat
        return new_incarnation or (heartbeat.draining and not before.draining)

    def on_target_ended(self, target: str) -> bool:
        """Take in that the target says it ends."""
        if (
            self.heartbeat is None
            or self.heartbeat.target != target
            or self.target_ended
        ):
            return False
        self.target_ended = True
        return True

    def _reset(self, now_s: float) -> None:
        self._runs.clear()
        self._refused.clear()
        self._gone.clear()
        self._closed.clear()
        self._listing = None
        self._clock_sample = None
        self.recorded = 0
        # An earlier life of this agent may have prolonged the lease of a target that it
        # hasn't met yet.
        first_target = self.heartbeat is None
        self._target_lease_until_s = (
            now_s + MAX_TARGET_LEASE_S if first_target else float("-inf")
        )
        self._last_answer_s = now_s

    def on_orders(self, batch: fleet_pb2.OrderBatch, now_s: float) -> bool:
        """Take in a batch of orders; return whether they are accepted."""
        if batch.epoch < self.epoch:
            return False
        self.epoch, self.holder = batch.epoch, batch.holder
        if not batch.incarnation:
            return True
        if batch.incarnation != self.incarnation or self.target_ended:
            return False
        self.recorded = max(self.recorded, batch.recorded)
        for start_order in batch.starts:
            self._accept_start(start_order)
        for run in batch.stops:
            self._accept_stop(run_id_from_message(run))
        return True

    def _accept_start(self, start_order: fleet_pb2.StartRun) -> None:
        run = run_id_from_message(start_order.id)
        if run in self._closed:
            self._refused[run] = self._closed[run]
            return
        if run in self._runs:
            return
        local = LocalRun(start_order)
        reason = self._refusal_reason(run, local.need)
        if reason:
            self._refuse(run, reason)
        else:
            self._runs[run] = local

    def _refusal_reason(self, run: RunId, need: Need) -> str:
        """Return why a run can't start here, or an empty string."""
        if self._is_listed_running(run):
            return ""
        if self.heartbeat.draining:
            return "draining"
        used = [local.need for local in self._runs.values()]
        for kind, limit in enumerate(self.heartbeat.capacity):
            if sum(other[kind] for other in used) + need[kind] > limit:
                return "room"
        return ""

    def _is_listed_running(self, run: RunId) -> bool:
        running = self._listing.running if self._listing else ()
        return any(listed.id == run for listed in running)

    def _refuse(self, run: RunId, reason: str) -> None:
        self._refused[run] = reason
        self._close(run, reason)

    def _close(self, run: RunId, reason: str) -> None:
        """Remember that a run must not start here any more."""
        self._runs.pop(run, None)
        self._closed[run] = reason
        while len(self._closed) > MAX_CLOSED_RUNS:
            self._closed.popitem(last=False)

    def _accept_stop(self, run: RunId) -> None:
        if run in self._closed:
            self._gone.add(run)
            return
        local = self._runs.setdefault(run, LocalRun(None))
        if not local.stopping:
            local.stopping = True
            local.call_pending = False
            local.last_call_s = float("-inf")

    def take_due_calls(self, now_s: float) -> list[TargetCall]:
        """Return the calls to the target that are due, as now under way."""
        due = []
        if self.heartbeat is None or self.target_ended:
            return due
        for run, local in self._runs.items():
            if local.call_pending or now_s - local.last_call_s < CALL_RETRY_INTERVAL_S:
                continue
            if local.stopping and local.stop_confirmed_s == float("inf"):
                due.append(TargetCall("stop", run))
            elif (
                not local.stopping
                and local.present_since_s == float("inf")
                and self.lease_end_on_target_s(now_s) is not None
            ):
                start_order = local.start_order
                due.append(
                    TargetCall("start", run, start_order.spec, start_order.checkpoint)
                )
            else:
                continue
            local.call_pending = True
            local.last_call_s = now_s
        return due

    def lease_end_on_target_s(self, now_s: float) -> float | None:
        """Return the end of the lease on the target's clock, if there is one.

        The target's clock was read before its answer came, so the end is rather early
        than late.
        """
        if self._clock_sample is None or self._lease_until_s <= now_s:
            return None
        target_s, received_s = self._clock_sample
        self._target_lease_until_s = max(
            self._target_lease_until_s, self._lease_until_s
        )
        return target_s + (self._lease_until_s - received_s)

    def on_started(self, run: RunId, outcome: StartOutcome, now_s: float) -> None:
        """Take in how the target answered a start."""
        local = self._runs.get(run)
        if local is None:
            return
        if not local.stopping:
            local.call_pending = False
        if not outcome.known:
            return
        if not outcome.refused:
            local.present_since_s = min(local.present_since_s, now_s)
            return
        if outcome.refused == "unhealthy":
            self._unhealthy_until_s = now_s + UNHEALTHY_BACKOFF_S
        if not local.stopping and outcome.refused != "late":
            self._refuse(run, outcome.refused)

    def on_stopped(self, run: RunId, known: bool, now_s: float) -> None:
        """Take in how the target answered a stop."""
        local = self._runs.get(run)
        if local is None:
            return
        local.call_pending = False
        if known:
            local.stop_confirmed_s = min(local.stop_confirmed_s, now_s)

    def on_listing(self, listing: Listing, asked_s: float, now_s: float) -> bool:
        """Take in what the target lists; return whether the holder should hear.

        Parameters
        ----------
        asked_s : float
            When the target was asked: what was started later may be missing.
        """
        if self.heartbeat is None or listing.born_ms != self.heartbeat.born_ms:
            return False
        before = self._listing
        self._listing = listing
        self._clock_sample = (listing.target_s, now_s)
        self._last_answer_s = now_s
        running = {run.id for run in listing.running}
        ended = {end.id for end in listing.ended}
        for run, local in list(self._runs.items()):
            if run in running:
                local.present_since_s = min(local.present_since_s, now_s)
            elif run in ended:
                self._close(run, "old")
            elif local.stop_confirmed_s < asked_s:
                self._gone.add(run)
                self._close(run, "old")
            elif local.present_since_s < asked_s:
                self._close(run, "old")
        newest = max((end.sequence for end in listing.ended), default=0)
        known = max((end.sequence for end in before.ended), default=0) if before else 0
        return before is None or newest > known or bool(self._gone)

    @property
    def has_unrecorded_ends(self) -> bool:
        """Whether the target lists ends that the holder hasn't stored yet."""
        ended = self._listing.ended if self._listing else ()
        return any(end.sequence > self.recorded for end in ended)

    def has_unsettled_runs(self) -> bool:
        """Whether there is an outcome that the holder waits for."""
        return bool(self._gone or self._refused)

    def target_presumed_dead(self, now_s: float) -> bool:
        """Whether the target hasn't answered for longer than its lease."""
        unanswered_s = now_s - self._last_answer_s
        lease_left_s = max(0.0, self._target_lease_until_s - self._last_answer_s)
        return unanswered_s > UNRESPONSIVE_AFTER_S and unanswered_s > lease_left_s * (
            1 + MAX_CLOCK_DRIFT
        )

    def report(self, now_s: float) -> fleet_pb2.TargetReport | None:
        """Return what the holder should know; None before the first heartbeat."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return None
        self._report_number += 1
        message = fleet_pb2.TargetReport(
            cell=self.cell,
            epoch=self.epoch,
            agent=self.agent,
            agent_run=self.agent_run,
            number=self._report_number,
            target=heartbeat.target,
            incarnation=self.incarnation,
            domain=heartbeat.domain,
            address=heartbeat.address,
            leaving=self.leaving,
        )
        if self.target_ended or self.target_presumed_dead(now_s):
            message.incarnation += "/ended"
            message.observed = True
            return message
        message.cpu_millicores, message.memory_mb, message.accelerators = (
            heartbeat.capacity
        )
        message.labels.extend(heartbeat.labels)
        message.rack = heartbeat.rack
        message.draining = heartbeat.draining
        message.remaining_s = heartbeat.remaining_s
        silent = now_s - self._last_answer_s > UNRESPONSIVE_AFTER_S
        message.unhealthy = silent or now_s < self._unhealthy_until_s
        if self._listing is not None:
            message.observed = True
            self._add_runs(message, self._listing)
        return message

    def _add_runs(self, message: fleet_pb2.TargetReport, listing: Listing) -> None:
        listed = set()
        for run in listing.running:
            listed.add(run.id)
            message.running.add(
                id=run_id_to_message(run.id),
                checkpoint=run.checkpoint,
                percent=run.percent,
            )
        for end in listing.ended:
            listed.add(end.id)
            message.ended.add(
                id=run_id_to_message(end.id),
                sequence=end.sequence,
                how=end.how,
                checkpoint=end.checkpoint,
            )
        for run, local in self._runs.items():
            if run in listed:
                continue
            if local.present_since_s < float("inf") and not local.stopping:
                message.running.add(id=run_id_to_message(run))
            else:
                message.pending.append(run_id_to_message(run))
        for run, reason in self._refused.items():
            message.refused.add(id=run_id_to_message(run), reason=reason)
        message.gone.extend(run_id_to_message(run) for run in self._gone)

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
            run = run_id_from_message(settled)
            self._refused.pop(run, None)
            self._gone.discard(run)
