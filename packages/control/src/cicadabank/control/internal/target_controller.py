"""Decides which runs an agent starts and stops on its target, and under which lease.

Makes no calls and reads no clock: orders, replies and times are passed in; due calls
and reports are returned.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from cicadabank.control.internal.conversion import (
    add_listed_runs,
    crash_to_message,
    run_id_from_message,
    run_id_to_message,
)
from cicadabank.control.internal.late_starts import LateStarts
from cicadabank.control.internal.suspensions import Suspensions
from cicadabank.control.internal.target_messages import (
    ClosedRun,
    Listing,
    LocalRun,
    StartOutcome,
    TargetCall,
    TargetHeartbeat,
)
from cicadabank.scheduling import CrashedRun, Resources, RunId, TargetCrash, largest
from cicadabank.wire import fleet_pb2

# Least time between two attempts of a call to which the target did not reply.
CALL_RETRY_INTERVAL_S = 0.3
# A target that has replied to no hold call for this long is reported as unhealthy, and
# its lease is not extended.
UNRESPONSIVE_AFTER_S = 1.2
# A draining target whose announced time is over has terminated if its port refuses
# connections for this long; they are tried several times meanwhile.
MIN_REFUSED_S = 0.3
# Largest fraction by which the target's clock may run slow.
MAX_CLOCK_DRIFT = 0.02
# Targets reject longer leases.
MAX_TARGET_LEASE_S = 10.0
# Starts are called only within this time after an exchange with the holder, since the
# stop that withdraws them may have been missed. It is two and a half report intervals,
# and half of the 5 s within which starts must end after an evacuation.
MAX_CONTACT_AGE_S = 2.5
# Closed runs that are remembered per target; the oldest are forgotten first.
MAX_CLOSED_RUNS = 4000
# Up to epoch 900 000, the fence stays below 2 ** 53, the limit up to which JSON numbers
# are exact.
FENCE_EPOCH_FACTOR = 10**10
# Added within an epoch: agents without registrations add the Unix time in seconds at
# which the target started, and their successors' calls must outrank theirs.
FENCE_BASE = 2 * 10**9
# A target that refused a start as unhealthy is reported as unhealthy for this long, so
# that it gets no further starts.
UNHEALTHY_BACKOFF_S = 2.0
NO_RESOURCES = Resources(0, 0, 0)
# Heartbeats of other incarnations that wait to be checked; the oldest are forgotten.
MAX_UNCHECKED_HEARTBEATS = 8
# Crashes of the target that are reported; the oldest are forgotten first.
MAX_REPORTED_CRASHES = 4


class TargetController:
    """Tracks the runs and the lease of one target, and decides which calls it gets.

    Parameters
    ----------
    agent : str
        ``IP:port`` of the agent.
    agent_run : str
        Identifies this incarnation of the agent's process.
    """

    def __init__(self, agent: str, agent_run: str, cell: str):
        self.agent = agent
        self.agent_run = agent_run
        self.cell = cell
        self.epoch = 0
        self.registration = 0  # given by the holder; 0 until then
        self.holder = ""
        self.heartbeat: TargetHeartbeat | None = None
        # Latest heartbeats of other incarnations, which the target has to confirm.
        self._unchecked: OrderedDict[tuple[str, int], TargetHeartbeat] = OrderedDict()
        self.target_terminated = False
        self.leaving = False
        self.recorded = 0  # highest sequence number of a stored ended run
        self._report_number = 0
        # Ends of the lease on this process's clock: as granted by the holder, and the
        # latest one that may have been passed to the target.
        self._granted_until_s = float("-inf")
        self._passed_on_until_s = float("-inf")
        # End of a lease that a call meant for the incarnation before may have set.
        self._stray_lease_until_s = float("-inf")
        self._late_starts = LateStarts()
        # The target's clock, and this process's clock when it was received.
        self._clock_sample: tuple[float, float] | None = None
        self._last_reply_s = float("-inf")
        # When a call last got no reply, and when the latest list was requested.
        self._unanswered_s = self._listing_asked_s = float("-inf")
        # Since when nothing has listened at the target's address; infinite once a later
        # call finds that something does, or gets no reply at all.
        self._refused_since_s = float("inf")
        # Whether this process has seen the incarnation from its start, since it
        # replaced one that a list had confirmed.
        self._seen_from_start = False
        self._adopted_s = float("-inf")
        self._heard_s = float("-inf")  # when the latest heartbeat was processed
        self._suspensions = Suspensions()
        # When the holder was last known to reach this process: an order arrived, or a
        # report was sent that the holder accepted.
        self._holder_contact_s = float("-inf")
        # When the latest list was requested that named another incarnation, unless the
        # known one has replied since.
        self._replaced_s = float("-inf")
        self._unhealthy_until_s = float("-inf")
        self._listing: Listing | None = None
        self._listed_fence = -1  # with which the list was requested
        # Largest amounts seen of this incarnation before the present heartbeat.
        self._former_capacity = NO_RESOURCES
        self._runs: dict[RunId, LocalRun] = {}
        self._refused: dict[RunId, str] = {}
        # Whether a run was refused since the latest report.
        self.refusal_is_unreported = False
        self._not_running: set[RunId] = (
            set()
        )  # stopped, and confirmed not to run any more
        self._closed: OrderedDict[RunId, ClosedRun] = OrderedDict()
        self.crashes: deque[TargetCrash] = deque(maxlen=MAX_REPORTED_CRASHES)

    @property
    def incarnation(self) -> str:
        """The incarnation of the target that orders must name; empty if unknown."""
        return (
            f"{self.heartbeat.target}/{self.heartbeat.started_ms}"
            if self.heartbeat
            else ""
        )

    @property
    def fence(self) -> int:
        """The fencing token of calls; the target rejects calls with a lower one.

        It increases with the holder's epoch and, within an epoch, with each
        registration of the agent. Without the second part, a call made before the agent
        or its target restarted could still be carried out.
        """
        return self.epoch * FENCE_EPOCH_FACTOR + FENCE_BASE + self.registration

    def on_heartbeat(self, heartbeat: TargetHeartbeat, now_s: float) -> bool:
        """Process a heartbeat; return whether a report to the holder is due at once.

        A heartbeat of another incarnation than the known one may be late, and its time
        of start tells nothing, since clocks are set back. The target has to confirm it,
        see `take_due_checks`.
        """
        previous = self.heartbeat
        if previous is None:
            self._adopt(heartbeat, now_s)
            return True
        incarnation = (heartbeat.target, heartbeat.started_ms)
        if incarnation != previous[:2]:
            self._unchecked.pop(incarnation, None)
            self._unchecked[incarnation] = heartbeat
            if len(self._unchecked) > MAX_UNCHECKED_HEARTBEATS:
                self._unchecked.popitem(last=False)
            return False
        if heartbeat.sequence <= previous.sequence:
            return False
        self._former_capacity = self._largest_capacity
        self.heartbeat, self._heard_s = heartbeat, now_s
        begins_drain = heartbeat.draining and not previous.draining
        return begins_drain or heartbeat.capacity != previous.capacity

    @property
    def _largest_capacity(self) -> Resources:
        """The largest amounts that this process has seen of the incarnation."""
        return largest(self._former_capacity, self.heartbeat.capacity)

    def _adopt(self, heartbeat: TargetHeartbeat, now_s: float) -> None:
        previous = self.heartbeat
        same_name = previous is not None and heartbeat.target == previous.target
        if self._has_ended_without_notice():
            self._record_crash()
        self._stray_lease_until_s = (
            now_s + MAX_TARGET_LEASE_S if same_name else float("-inf")
        )
        if not same_name:
            # The new one rejects calls that name another target.
            self._late_starts.clear()
        self._reset(now_s)
        self.target_terminated = False
        self.heartbeat = heartbeat
        self._unchecked.clear()

    def _has_ended_without_notice(self) -> bool:
        """Return whether the known incarnation gave no notice, if it has ended.

        Only one that this process has seen running counts.
        """
        return (
            self.heartbeat is not None
            and self._listing is not None
            and not self.heartbeat.draining
            and not self.target_terminated
        )

    def _record_crash(self) -> None:
        """Record that the known incarnation has crashed, unless that is known."""
        if all(crash.incarnation != self.incarnation for crash in self.crashes):
            self.crashes.append(self._crash())

    def _crash(self) -> TargetCrash:
        """Return the crash of the known incarnation, with the runs it may have had."""
        listed = {run.id for run in self._listing.running}
        runs = [
            CrashedRun(run, max(0.0, self._last_reply_s - local.first_start_call_s))
            for run, local in self._runs.items()
            if local.first_start_call_s < float("inf")
        ]
        known = {run.id for run in runs} | self._closed.keys()
        runs += [CrashedRun(run, float("inf")) for run in sorted(listed - known)]
        return TargetCrash(self.heartbeat.target, self.incarnation, tuple(runs))

    def take_due_checks(self) -> list[TargetHeartbeat]:
        """Return the heartbeats for which the target's list of runs is to be requested.

        Without an epoch, the target would reject the request.
        """
        if not self.epoch:
            return []
        due = list(self._unchecked.values())
        self._unchecked.clear()
        return due

    def on_check_reply(
        self,
        heartbeat: TargetHeartbeat,
        listing: Listing,
        asked_s: float,
        now_s: float,
        fence: int,
    ) -> bool:
        """Process the list requested for a heartbeat; return whether it confirmed it.

        The parameters after the heartbeat are those of `on_listing`.
        """
        confirmed = listing.started_ms == heartbeat.started_ms
        is_known = heartbeat[:2] == self.heartbeat[:2]
        if not confirmed or is_known or asked_s < self._adopted_s:
            return False
        self._adopt(heartbeat, now_s)
        self.on_listing(listing, asked_s, now_s, fence)
        return True

    def on_target_terminated(self, target: str) -> bool:
        """Record that the target announced its end; return whether that is new.

        The notice doesn't tell incarnations that have the same name apart, and may be
        late. A target drains before it ends by itself, so a notice about one that
        doesn't, or that no list has confirmed, is ignored: if the target has ended,
        it counts as lost once its lease has expired.
        """
        if (
            self.heartbeat is None
            or self.heartbeat.target != target
            or not self.heartbeat.draining
            or self._listing is None
            or self.target_terminated
        ):
            return False
        self.target_terminated = True
        return True

    def _reset(self, now_s: float) -> None:
        self._former_capacity = NO_RESOURCES
        self._runs.clear()
        self._refused.clear()
        self._not_running.clear()
        self._closed.clear()
        self._clock_sample = None
        self.recorded = 0
        # An earlier process of this agent may have renewed the lease of the first
        # target that this one sees, which an unconfirmed heartbeat doesn't name.
        self._passed_on_until_s = (
            now_s + MAX_TARGET_LEASE_S if self._listing is None else float("-inf")
        )
        self._seen_from_start = self._listing is not None
        self._listing = None
        self._listed_fence = -1
        self._last_reply_s = self._adopted_s = now_s
        self._unanswered_s = self._listing_asked_s = float("-inf")
        self._refused_since_s = float("inf")
        self._replaced_s = float("-inf")

    def on_orders(self, batch: fleet_pb2.OrderBatch, now_s: float) -> bool:
        """Process a batch of orders; return whether it was accepted."""
        if batch.epoch < self.epoch:
            return False
        self._follow(batch.epoch, batch.holder)
        if not batch.incarnation:
            return True  # such a batch only names the cell's holder
        if batch.incarnation != self.incarnation or self.target_terminated:
            return False
        if batch.registration != self.registration:
            return False
        self._holder_contact_s = now_s
        self.recorded = max(self.recorded, batch.recorded)
        for start_order in batch.starts:
            self._accept_start(start_order, now_s)
        for run in batch.stops:
            self._accept_stop(run_id_from_message(run))
        return True

    def _follow(self, epoch: int, holder: str) -> None:
        """Follow a holder; under a new epoch, this process has to be registered."""
        if epoch > self.epoch:
            self.registration = 0
        self.epoch, self.holder = epoch, holder

    def _accept_start(self, start_order: fleet_pb2.StartRun, now_s: float) -> None:
        run = run_id_from_message(start_order.id)
        if run in self._closed:
            self._refused[run] = self._closed[run].reason
            return
        if run in self._runs:
            return
        need = Resources(
            start_order.cpu_millicores,
            start_order.memory_mb,
            start_order.accelerators,
        )
        local = LocalRun(start_order, need)
        reason = self._refusal_reason(run, local)
        self._runs[run] = local
        if reason:
            self._on_refused(run, local, reason, now_s)

    def _refusal_reason(self, run: RunId, local: LocalRun) -> str:
        """Return why a run can't start on the target, or an empty string.

        "room" means that the target has too few free resources.
        """
        if self._is_listed_running(run):
            return ""
        if self.heartbeat.draining:
            return "draining"
        used = [other.need for other in self._runs.values()]
        return "" if self._fits(local, used) else "room"

    def _fits(self, local: LocalRun, used: list[Resources]) -> bool:
        """Return whether the target has room for a run beside the used resources.

        This process doesn't know what the runs need that an earlier one has started, so
        the holder's count must fit as well.
        """
        return all(
            max(sum(other[kind] for other in used) + local.need[kind], allocated)
            <= limit
            for kind, (limit, allocated) in enumerate(
                zip(self.heartbeat.capacity, local.allocated, strict=True)
            )
        )

    def _refusal_reason_at_call(self, run: RunId, local: LocalRun) -> str:
        """Return why a start call is not to be made, or an empty string.

        The target may have begun to drain, or shrunk, since the order was accepted.
        Accepted runs of which no call was made yet are checked before their own calls.
        """
        if self._is_listed_running(run):
            return ""
        if self.heartbeat.draining:
            return "draining"
        used = [
            other.need
            for other_run, other in self._runs.items()
            if other_run != run and self._may_be_on_target(other_run, other)
        ]
        return "" if self._fits(local, used) else "room"

    def is_holder_in_contact(self, now_s: float) -> bool:
        """Return whether a withdrawal of starts would probably have arrived."""
        return now_s - self._holder_contact_s <= MAX_CONTACT_AGE_S

    def _may_be_on_target(self, run: RunId, local: LocalRun) -> bool:
        return (
            local.stopping
            or local.may_start_late
            or local.last_call_s > float("-inf")
            or self._is_listed_running(run)
        )

    def _is_listed_running(self, run: RunId) -> bool:
        running = self._listing.running if self._listing else ()
        return any(listed.id == run for listed in running)

    def _refuse(self, run: RunId, reason: str) -> None:
        self._refused[run] = reason
        self.refusal_is_unreported = True
        self._close(run, reason)

    def _close(self, run: RunId, reason: str) -> None:
        """Record that a run must not be started again, and why."""
        local = self._runs.pop(run, None)
        self._closed[run] = ClosedRun(reason, local.need if local else NO_RESOURCES)
        while len(self._closed) > MAX_CLOSED_RUNS:
            self._closed.popitem(last=False)

    def _reopen(self, run: RunId) -> None:
        """Stop a run that the target has although it was taken for ended."""
        self._refused.pop(run, None)
        self._not_running.discard(run)
        self._runs[run] = LocalRun(None, self._closed.pop(run).need)
        self._begin_stop(self._runs[run])

    def _accept_stop(self, run: RunId) -> None:
        if run in self._closed:
            self._not_running.add(run)
            return
        self._begin_stop(self._runs.setdefault(run, LocalRun(None, NO_RESOURCES)))

    def _begin_stop(self, local: LocalRun) -> None:
        """Have a run stopped on the target, unless that has begun already."""
        if not local.stopping:
            local.stopping = True
            local.call_pending = False
            local.last_call_s = float("-inf")

    def take_due_calls(self, now_s: float) -> list[TargetCall]:
        """Return the calls to the target that are due, and mark them as pending.

        Runs for which the target has no room any more are refused instead.
        """
        self._suspensions.note_turn(now_s)
        due = []
        if self.heartbeat is None or self.target_terminated or self._is_replaced:
            return due
        # Runs without a call go first, so that repeated ones don't delay them.
        for run, local in sorted(
            self._runs.items(), key=lambda item: item[1].first_start_call_s < now_s
        ):
            if local.call_pending or now_s - local.last_call_s < CALL_RETRY_INTERVAL_S:
                continue
            if local.stopping and local.stop_confirmed_s == float("inf"):
                due.append(TargetCall("stop", run))
            elif (
                not local.stopping
                and local.known_on_target_since_s == float("inf")
                and not self._awaits_heartbeat(now_s)
                and self.take_lease_end_on_target_s(now_s) is not None
            ):
                reason = self._refusal_reason_at_call(run, local)
                if reason:
                    self._on_refused(run, local, reason, now_s)
                    continue
                if self.may_have_crashed or not self.is_holder_in_contact(now_s):
                    continue
                start_order = local.start_order
                local.first_start_call_s = min(local.first_start_call_s, now_s)
                self._late_starts.on_called(run, now_s)
                due.append(
                    TargetCall("start", run, start_order.spec, start_order.checkpoint)
                )
            else:
                continue
            local.call_pending = True
            local.last_call_s = now_s
        return due

    def starts_await_contact(self, now_s: float) -> bool:
        """Return whether accepted starts wait for an exchange with the holder."""
        return not self.is_holder_in_contact(now_s) and any(
            not local.stopping and local.known_on_target_since_s == float("inf")
            for local in self._runs.values()
        )

    def is_start_call_open(self, run: RunId) -> bool:
        """Return whether a start of a run is being called."""
        local = self._runs.get(run)
        return local is not None and local.call_pending and not local.stopping

    def confirmed_starts(self, batch: fleet_pb2.OrderBatch) -> list[RunId]:
        """Return the ordered starts that the target has confirmed.

        Those of which an earlier call may still be carried out are left out: the next
        incarnation may start them as well, as the next report will tell.
        """
        if batch.epoch != self.epoch or batch.registration != self.registration:
            return []
        if batch.incarnation != self.incarnation or self.target_terminated:
            return []
        runs = [run_id_from_message(start_order.id) for start_order in batch.starts]
        late = set(self._late_starts.runs())
        return [run for run in runs if run not in late and self._is_confirmed(run)]

    def _is_confirmed(self, run: RunId) -> bool:
        local = self._runs.get(run)
        if local is None or local.stopping:
            return False
        return local.known_on_target_since_s < float("inf")

    def _forget_start_call(self, local: LocalRun) -> None:
        """Take back that a start was called, unless an earlier call was made."""
        if local.first_start_call_s == local.last_call_s:
            local.first_start_call_s = float("inf")

    def on_no_reply(self, now_s: float, connection_refused: bool = False) -> bool:
        """Record that a call to the target got no reply.

        Returns whether that shows that the target has terminated. A draining one may do
        so without notice, and later than announced; then nothing listens on its port.
        """
        self._unanswered_s = now_s
        if not connection_refused:
            self._refused_since_s = float("inf")
            return False
        self._refused_since_s = min(self._refused_since_s, now_s)
        if self.heartbeat is None or not self.heartbeat.draining:
            return False
        announced_end_s = self._heard_s + self.heartbeat.remaining_s
        refused_s = now_s - max(self._refused_since_s, announced_end_s)
        return refused_s >= MIN_REFUSED_S and self.on_target_terminated(
            self.heartbeat.target
        )

    @property
    def may_have_crashed(self) -> bool:
        """Whether no list was requested since a call got no reply.

        A start would be carried out by the next incarnation of the same name as well:
        one that has crashed this one would crash that one too, unnoticed.
        """
        return self._unanswered_s > self._listing_asked_s

    def _awaits_heartbeat(self, now_s: float) -> bool:
        """Return whether the capacity may have changed during a suspension."""
        return self._suspensions.awaits_heartbeat(self._heard_s, now_s)

    def check_delayed_start(self, run: RunId, now_s: float) -> float | None:
        """Check a start call again that has been due for some time.

        Returns
        -------
        float or None
            The end of the lease on the target's clock; None if the call is not to be
            made, since the run was refused or stopped, or waits for a lease, a
            heartbeat or a list.
        """
        until_s = self._check_start(run, now_s)
        if until_s is None:
            self._late_starts.on_finished(run)
        else:
            self._late_starts.lease_call_s = now_s
        return until_s

    def _check_start(self, run: RunId, now_s: float) -> float | None:
        self._suspensions.note_turn(now_s)
        local = self._runs.get(run)
        if local is None or local.stopping:
            return None
        until_s = self.take_lease_end_on_target_s(now_s)
        waits = (
            self._awaits_heartbeat(now_s)
            or self.may_have_crashed
            or not self.is_holder_in_contact(now_s)
        )
        if until_s is None or self.target_terminated or waits:
            local.call_pending = False
            self._forget_start_call(local)
            return None
        reason = self._refusal_reason_at_call(run, local)
        if reason:
            local.call_pending = False
            self._forget_start_call(local)
            self._on_refused(run, local, reason, now_s)
            return None
        return until_s

    def take_lease_end_on_target_s(self, now_s: float) -> float | None:
        """Return when the lease ends on the target's clock; None without a lease.

        Records that the target may have been passed this end. The target read its clock
        before its reply arrived, and may run slow, so the lease is shortened by the
        drift: the target reaches the returned time no later than the true end.
        The lease of a target that does not reply is not extended, so that it expires.
        """
        until_s = self._granted_until_s
        if self._is_unresponsive(now_s):
            until_s = min(until_s, self._passed_on_until_s)
        if self._clock_sample is None or until_s <= now_s or self._is_replaced:
            return None
        target_s, received_s = self._clock_sample
        self._passed_on_until_s = max(self._passed_on_until_s, until_s)
        return target_s + (until_s - received_s) * (1 - MAX_CLOCK_DRIFT)

    def take_lease_end_for_hold_s(self, now_s: float) -> float | None:
        """Return the end of the lease that a hold call passes on; None for no lease.

        The lease of a target that does not reply is not extended, and its next
        incarnation, whose clock starts anew, would take the end for a later one.
        """
        until_s = self.take_lease_end_on_target_s(now_s)
        if until_s is None or self._is_unresponsive(now_s):
            return None
        self._late_starts.lease_call_s = now_s
        return until_s

    def on_started(self, run: RunId, outcome: StartOutcome, now_s: float) -> None:
        """Process the target's reply to a start."""
        self._late_starts.on_finished(run)
        if not outcome.known:
            self.on_no_reply(now_s)
            if outcome.received and self.heartbeat is not None:
                self._late_starts.on_unanswered(
                    run, now_s, self.fence, self.heartbeat.started_ms
                )
        local = self._runs.get(run)
        if local is None:
            return
        # Once the run is stopping, `call_pending` refers to the stop call.
        if not local.stopping:
            local.call_pending = False
        if not outcome.known:
            local.may_start_late = True
            if not outcome.received:
                self._forget_start_call(local)
            return
        if not outcome.refused:
            local.known_on_target_since_s = min(local.known_on_target_since_s, now_s)
            return
        if outcome.refused == "unhealthy":
            self._unhealthy_until_s = now_s + UNHEALTHY_BACKOFF_S
        # "late" means that the lease had expired when the start arrived, "fence" that
        # the fence has increased since; the start is retried with the present ones.
        if not local.stopping and outcome.refused not in ("late", "fence"):
            self._on_refused(run, local, outcome.refused, now_s)

    def _on_refused(
        self, run: RunId, local: LocalRun, reason: str, now_s: float
    ) -> None:
        """Report a run as refused, once it certainly neither ended nor can start.

        An earlier call that got no reply may be carried out after one that is refused.
        The target rejects it only once the run has ended there ("old") or was stopped.
        A run that has ended may be done, which a later list shows. An earlier process
        may have started it, and its end may be one that the target doesn't list yet.
        """
        has_all_ended = self._listing is not None and self._listing.has_all_ended
        if reason != "old" and not local.may_start_late and has_all_ended:
            self._refuse(run, reason)
            return
        local.refusal = reason
        self._begin_stop(local)
        if reason == "old":
            local.stop_confirmed_s = now_s

    def on_stopped(self, run: RunId, confirmed: bool, now_s: float) -> None:
        """Process the reply to a stop; `confirmed` is False if none arrived."""
        local = self._runs.get(run)
        if local is None:
            return
        local.call_pending = False
        if confirmed:
            local.stop_confirmed_s = min(local.stop_confirmed_s, now_s)

    def on_listing(
        self, listing: Listing, asked_s: float, now_s: float, fence: int
    ) -> bool:
        """Process the target's list of runs; return whether a report is due at once.

        Parameters
        ----------
        asked_s : float
            When the list was requested; runs started later may be missing from it.
        fence : int
            With which it was requested; the target rejects calls with a lower one.
        """
        if not self._names_incarnation(listing, asked_s):
            return False
        previous = self._listing
        if previous is not None and listing.target_s < previous.target_s:
            return False  # overtaken by a list that the target made later
        self._listing = listing
        self._listing_asked_s = max(self._listing_asked_s, asked_s)
        self._refused_since_s = float("inf")
        first_under_fence = fence > self._listed_fence
        self._listed_fence = max(self._listed_fence, fence)
        self._clock_sample = (listing.target_s, now_s)
        self._last_reply_s = now_s
        self._late_starts.forget_void(asked_s, fence, self.heartbeat.started_ms)
        running = {run.id for run in listing.running}
        ended = {end.id for end in listing.ended}
        self._stop_unknown_runs(running)
        for run, local in list(self._runs.items()):
            if run in running:
                local.known_on_target_since_s = min(
                    local.known_on_target_since_s, now_s
                )
            elif run in ended:
                self._close(run, "old")
            elif not listing.has_all_ended:
                continue
            elif local.stop_confirmed_s < asked_s:
                self._on_stop_completed(run, local)
            elif local.known_on_target_since_s < asked_s:
                self._close(run, "old")
        newest = max((end.sequence for end in listing.ended), default=0)
        newest_before = (
            max((end.sequence for end in previous.ended), default=0) if previous else 0
        )
        return (
            previous is None
            or first_under_fence
            or newest > newest_before
            or self.has_unsettled_runs()
        )

    def _names_incarnation(self, listing: Listing, asked_s: float) -> bool:
        """Return whether a list is of the known incarnation, and note another one.

        Another one has the same name, so it would carry out the calls to the known one.
        """
        if self.heartbeat is None:
            return False
        if listing.started_ms != self.heartbeat.started_ms:
            if asked_s > self._adopted_s:
                self._replaced_s = max(self._replaced_s, asked_s)
            return False
        if asked_s > self._replaced_s:
            self._replaced_s = float("-inf")
        return True

    @property
    def _is_replaced(self) -> bool:
        return self._replaced_s > float("-inf")

    def recorded_for_hold(self, now_s: float) -> int:
        """Return up to which sequence number a hold call lets the target forget ends.

        Each incarnation counts from 1, so a number is valid only on its own, but the
        next one may carry the call out. A number is therefore named only while the
        target replies, and lists ends up to it.
        """
        if self._listing is None or self._is_replaced or self._is_unresponsive(now_s):
            return 0
        sequences = (end.sequence for end in self._listing.ended)
        return max((n for n in sequences if n <= self.recorded), default=0)

    def _stop_unknown_runs(self, running: set[RunId]) -> None:
        """Stop runs that were taken for ended or that nobody can have ordered."""
        for run in running & self._closed.keys():
            self._reopen(run)
        if self._seen_from_start:
            # Started by a late call to the incarnation before, which had the same name.
            for run in running - self._runs.keys():
                self._accept_stop(run)

    def _on_stop_completed(self, run: RunId, local: LocalRun) -> None:
        """Record that a stopped run neither runs nor can start any more."""
        if local.refusal:
            self._refuse(run, local.refusal)
        else:
            self._not_running.add(run)
            self._close(run, "old")

    @property
    def has_unstored_ended_runs(self) -> bool:
        """Whether the target lists ended runs that the holder hasn't stored yet."""
        ended = self._listing.ended if self._listing else ()
        return any(end.sequence > self.recorded for end in ended)

    def has_unsettled_runs(self) -> bool:
        """Return whether the holder has yet to settle refused or stopped runs."""
        return bool(self._not_running or self._refused)

    def has_target_ended(self, now_s: float) -> bool:
        """Return whether the target has terminated, or counts as lost."""
        return self.target_terminated or self.is_target_lost(now_s)

    def is_target_lost(self, now_s: float) -> bool:
        """Return whether the target stopped replying and its lease has expired since.

        None of its runs can still be running then.
        """
        silent_s = now_s - self._last_reply_s
        until_s = max(self._passed_on_until_s, self._stray_lease_until_s)
        lease_left_s = max(0.0, until_s - self._last_reply_s)
        lease_expired = silent_s > lease_left_s * (1 + MAX_CLOCK_DRIFT)
        return self._is_unresponsive(now_s) and lease_expired

    def _is_unresponsive(self, now_s: float) -> bool:
        """Return whether the target has not replied for some time."""
        return now_s - self._last_reply_s > UNRESPONSIVE_AFTER_S

    def report(self, now_s: float) -> fleet_pb2.TargetReport | None:
        """Return the next report to the holder; None before the first heartbeat."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return None
        self._report_number += 1
        has_ended = self.has_target_ended(now_s)
        refuses_connections = self._refused_since_s < float("inf")
        if has_ended and refuses_connections and self._has_ended_without_notice():
            self._record_crash()
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
            registration=self.registration,
            crashes=[crash_to_message(crash) for crash in self.crashes],
            late_starts=[run_id_to_message(run) for run in self._late_starts.runs()],
        )
        if has_ended:
            self._give_up_runs()
            # Reported as a new incarnation without runs, so that the holder releases
            # the members of the old one; those of late starts wait.
            message.incarnation += "/ended"
            message.observed = True
            message.lease_call_age_s = self._late_starts.lease_call_age_s(now_s)
            return message
        message.cpu_millicores, message.memory_mb, message.accelerators = (
            heartbeat.capacity
        )
        (
            message.largest_cpu_millicores,
            message.largest_memory_mb,
            message.largest_accelerators,
        ) = self._largest_capacity
        message.labels.extend(heartbeat.labels)
        message.rack = heartbeat.rack
        message.draining = heartbeat.draining
        message.remaining_s = heartbeat.remaining_s
        message.unhealthy = (
            self._is_unresponsive(now_s) or now_s < self._unhealthy_until_s
        )
        if self._listing is not None and self._listed_fence >= self.fence:
            message.observed = True
            message.listed_age_s = now_s - self._last_reply_s
            self._add_runs(message, self._listing)
        return message

    def _give_up_runs(self) -> None:
        """Start nothing more of what was ordered: the holder may start it elsewhere.

        If the target replies again, it is told to stop all of it, and gets a lease only
        from a later reply of the holder.
        """
        for local in self._runs.values():
            self._begin_stop(local)
        self._granted_until_s = float("-inf")

    def _add_runs(self, message: fleet_pb2.TargetReport, listing: Listing) -> None:
        listed = add_listed_runs(message, listing.running, listing.ended)
        for run, local in self._runs.items():
            if run in listed:
                continue
            if self._is_confirmed(run):
                message.running.add(id=run_id_to_message(run))
            else:
                message.pending.append(run_id_to_message(run))
                if local.stopping:
                    message.stopping.append(run_id_to_message(run))
        self.refusal_is_unreported = False
        for run, reason in self._refused.items():
            message.refused.add(id=run_id_to_message(run), reason=reason)
        message.gone.extend(run_id_to_message(run) for run in self._not_running)

    def on_reply(
        self, reply: fleet_pb2.ReportReply, sent_s: float, incarnation: str
    ) -> bool:
        """Process the holder's reply to a report.

        Returns whether it registers this process, so that a list requested under the
        new fence is due.

        Parameters
        ----------
        sent_s : float
            When the report was sent; the granted lease counts from then.
        incarnation : str
            The incarnation of the target that the report was about.
        """
        if not reply.accepted:
            if reply.holder:
                self.holder = reply.holder
            return False
        if reply.epoch < self.epoch:
            return False
        self._follow(reply.epoch, reply.holder)
        if reply.registration:
            registered = reply.registration > self.registration
            self.registration = max(self.registration, reply.registration)
            return registered
        if incarnation != self.incarnation:
            return False
        self._holder_contact_s = max(self._holder_contact_s, sent_s)
        if reply.lease_s:
            self._granted_until_s = max(self._granted_until_s, sent_s + reply.lease_s)
        self.recorded = max(self.recorded, reply.recorded)
        for settled in reply.settled:
            run = run_id_from_message(settled)
            self._refused.pop(run, None)
            self._not_running.discard(run)
        return False
