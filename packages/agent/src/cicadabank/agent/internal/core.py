"""The agent's decisions: epochs, leases and the last check before a start.

Does no input or output and reads no clock: callers pass orders and the time in, and
carry out what the methods return.
"""

from __future__ import annotations

from cicadabank.agent.errors import OrderRefusedError
from cicadabank.agent.internal.members import (
    HELD,
    ORDERED,
    TERMINAL_MEMBER_STATES,
    GangMember,
)
from cicadabank.agent.internal.views import View, view_from_reservation
from cicadabank.decisions import digest_of
from cicadabank.wire import control_pb2

# Limited, since a domain-out override whose drain is never stored must not block starts
# forever.
DOMAIN_OUT_OVERRIDE_TTL_S = 300.0


class AgentCore:
    """Decides which members may start on one worker.

    Parameters
    ----------
    incarnation : str
        Identifies this agent process; orders for an earlier process are refused.
    accelerators : int
        Number of accelerators of the worker.
    freshness_s : float
        Maximum age of the view at which a member may start.
    """

    def __init__(self, incarnation: str, accelerators: int, freshness_s: float):
        self.incarnation = incarnation
        self.accelerators = accelerators
        self.freshness_s = freshness_s
        self.epoch = 0
        self.view = View()
        self.lease_until_s = float("-inf")
        self.leaving = False
        self.members: dict[str, GangMember] = {}
        self._reported_states: dict[str, str] = {}
        self._full_report_due = True
        self._domain_out_until_s = float("-inf")

    def reserve(self, order: control_pb2.Reserve, now_s: float) -> None:
        """Reserve accelerators for a member until the reservation expires.

        Raises
        ------
        OrderRefusedError
            If the epoch or the incarnation is outdated, the target is leaving, the view
            does not permit a start, or too few accelerators are free.
        """
        self._check_fencing(order.epoch, order.incarnation)
        view = self._newer_view(view_from_reservation(order, now_s))
        self._check_start_permitted(view, now_s)
        self._remove_expired_reservations(now_s)
        member = self.members.get(order.attempt)
        if member is None:
            in_use = sum(
                m.accelerators
                for m in self.members.values()
                if m.state not in TERMINAL_MEMBER_STATES
            )
            if in_use + order.accelerators > self.accelerators:
                raise OrderRefusedError(
                    f"{in_use} of {self.accelerators} accelerators are in use"
                )
            member = GangMember(
                order.attempt, order.epoch, order.tasks, order.accelerators
            )
            self.members[order.attempt] = member
        if member.state == "reserved":
            member.expires_s = now_s + order.ttl_s
            member.view = view

    def start(self, order: control_pb2.Start, now_s: float) -> GangMember | None:
        """Return the reserved member to start; None if its start was sent before.

        Raises
        ------
        OrderRefusedError
            If the member must not start; this order has not started it.
        """
        member = self.members.get(order.attempt)
        if member is not None and member.start_sent:
            return None
        self._check_fencing(order.epoch, order.incarnation)
        self._remove_expired_reservations(now_s)
        member = self.members.get(order.attempt)
        if member is None:
            raise OrderRefusedError("the reservation has expired or was released")
        self._check_start_permitted(self._newer_view(member.view), now_s)
        member.start_sent = True
        member.started = not order.hold_s
        member.state = ORDERED
        member.epoch = order.epoch
        self.lease_until_s = max(self.lease_until_s, now_s + order.lease_duration_s)
        return member

    def begin(self, order: control_pb2.Begin, now_s: float) -> GangMember | None:
        """Return the held member that is to begin; None if it may have begun already.

        Raises
        ------
        OrderRefusedError
            If the member must not begin; this order has not let it begin.
        """
        member = self.members.get(order.attempt)
        begun = member is not None and member.started
        if (
            begun
            and member.state != HELD
            and member.state not in TERMINAL_MEMBER_STATES
        ):
            return None
        self._check_fencing(order.epoch, order.incarnation)
        if member is None or member.state != HELD:
            raise OrderRefusedError("the member is not held here any more")
        self._check_start_permitted(self._newer_view(member.view), now_s)
        member.started = True
        member.state = ORDERED
        self.lease_until_s = max(self.lease_until_s, now_s + order.lease_duration_s)
        return member

    def begin_refused(self, attempt: str) -> None:
        """Record that the runner refused an order to begin; the member stays held."""
        member = self.members.get(attempt)
        if member is not None and member.state == ORDERED:
            member.started = False
            member.state = HELD

    def order_accepted(self, attempt: str, now_s: float) -> None:
        """Record that the runner accepted an order to start or to begin."""
        member = self.members.get(attempt)
        if member is not None and member.state == ORDERED:
            member.state = "starting" if member.started else HELD
            member.order_resolved_s = now_s

    def order_unanswered(self, attempt: str, bound_s: float) -> None:
        """Record that an order without a reply may take effect until `bound_s`."""
        member = self.members.get(attempt)
        if member is not None and member.order_resolved_s == float("inf"):
            member.order_resolved_s = bound_s

    def start_window_s(self, member: GangMember, now_s: float) -> float:
        """Return the seconds from now until the view is too old for a start."""
        return self._newer_view(member.view).confirmed_s + self.freshness_s - now_s

    def start_refused(self, attempt: str, reason: str) -> None:
        """Record that the runner refused a start, so the member did not start."""
        member = self.members.get(attempt)
        if member is not None:
            member.started = False
            member.state = "stopped"
            member.reason = reason

    def _check_fencing(self, epoch: int, incarnation: str) -> None:
        if incarnation != self.incarnation:
            raise OrderRefusedError(
                "the order is meant for an earlier run of this agent"
            )
        self.check_epoch(epoch)

    def check_epoch(self, epoch: int) -> None:
        """Refuse orders of a replaced holder, and record the newest epoch.

        Raises
        ------
        OrderRefusedError
            If the epoch is lower than one seen before.
        """
        if epoch < self.epoch:
            raise OrderRefusedError(f"the epoch {epoch} is below {self.epoch}")
        self.epoch = epoch

    def _newer_view(self, other: View) -> View:
        """Return the newer of the agent's own view and the view from an order."""
        return max(self.view, other, key=lambda view: (view.version, view.confirmed_s))

    def _check_start_permitted(self, view: View, now_s: float) -> None:
        if self.leaving:
            raise OrderRefusedError("the target is leaving")
        if view.domain_out or now_s < self._domain_out_until_s:
            raise OrderRefusedError("the failure domain is out of service")
        age_s = now_s - view.confirmed_s
        if age_s > self.freshness_s:
            raise OrderRefusedError(f"the view is older than {self.freshness_s} s")

    def _remove_expired_reservations(self, now_s: float) -> list[str]:
        expired = [
            m.attempt
            for m in self.members.values()
            if m.state == "reserved" and now_s > m.expires_s
        ]
        for attempt in expired:
            del self.members[attempt]
        return expired

    def stop(self, order: control_pb2.Stop) -> GangMember | None:
        """Apply an order to stop; return the member that the runner must stop, if any.

        Raises
        ------
        OrderRefusedError
            If the order comes from a replaced holder.
        """
        self.check_epoch(order.epoch)
        member = self.members.get(order.attempt)
        if member is None or member.state in TERMINAL_MEMBER_STATES:
            return None
        if member.state == "reserved":
            del self.members[order.attempt]
            return None
        return member

    def may_have_started(self, order: control_pb2.Stop) -> bool:
        """Return whether a member may ever have started on this target.

        An agent that doesn't know an attempt can exclude that it started only if the
        attempt was reserved with this same agent process.
        """
        member = self.members.get(order.attempt)
        if member is not None:
            return member.started
        return order.incarnation != self.incarnation

    def apply_usage(self, tasks: list, reported_s: float) -> None:
        """Update members from a usage report of the runner; adopt tasks unknown here.

        Parameters
        ----------
        tasks : list of TaskUsage
        reported_s : float
            Time of the report, or earlier, on the agent's own clock.
        """
        self._mark_unreported_members_stopped(
            {task.attempt for task in tasks}, reported_s
        )
        for task in tasks:
            member = self.members.get(task.attempt)
            if member is None:
                member = self._adopt_task(task)
            if member.state == "reserved" or member.state in TERMINAL_MEMBER_STATES:
                continue
            member.run_s = task.run_s
            member.checkpoint = task.checkpoint or member.checkpoint
            if task.state in TERMINAL_MEMBER_STATES:
                member.started = member.started or task.state != "stopped"
                member.reason = task.reason
                member.answer = task.answer
                member.state = task.state
            elif task.state == "running":
                member.started = True
                member.state = "running"

    def _mark_unreported_members_stopped(
        self, known: set[str], reported_s: float
    ) -> None:
        """Mark members as stopped that the runner should know but does not report.

        Either the runner has restarted, or an unanswered order never reached it.
        """
        for member in self.members.values():
            expected = member.start_sent and member.state not in TERMINAL_MEMBER_STATES
            if (
                not expected
                or member.attempt in known
                or reported_s <= member.order_resolved_s
            ):
                continue
            member.started = member.started and member.state != ORDERED
            member.state = "stopped"
            member.reason = "the worker does not know it"

    def _adopt_task(self, task) -> GangMember:
        member = GangMember(task.attempt, task.epoch, 0, 0)
        member.start_sent = member.started = True
        member.state = HELD if task.state == HELD else "starting"
        self.members[task.attempt] = member
        self.epoch = max(self.epoch, task.epoch)
        return member

    def members_with_expired_lease(self, now_s: float) -> list[GangMember]:
        """Return the members to stop because their lease has expired.

        A restarted agent has no lease until the first reply to a heartbeat. Until
        then, the lease that the runner received earlier limits how long its tasks run.
        """
        self._remove_expired_reservations(now_s)
        if now_s <= self.lease_until_s or self.lease_until_s == float("-inf"):
            return []
        return [
            m
            for m in self.members.values()
            if m.start_sent and m.state not in TERMINAL_MEMBER_STATES
        ]

    def has_unreported_changes(self) -> bool:
        """Return whether a member's state differs from the one last reported."""
        members = self.members.values()
        return any(
            self._reported_states.get(m.attempt) != m.state and m.state != ORDERED
            for m in members
        )

    def next_heartbeat(self, info: control_pb2.TargetInfo) -> control_pb2.Beat:
        """Return the next heartbeat: a full report, or only the changed members."""
        states = {m.attempt: m.state for m in self.members.values()}
        changed = [
            m
            for m in self.members.values()
            if self._full_report_due or self._reported_states.get(m.attempt) != m.state
        ]
        return control_pb2.Beat(
            target=info.name,
            cell=info.cell,
            incarnation=self.incarnation,
            info=info if self._full_report_due else None,
            full=self._full_report_due,
            reports=[member.report() for member in changed],
            digest=digest_of(states),
            leaving=self.leaving,
            config_version=self.view.version,
            epoch=self.epoch,
        )

    def apply_heartbeat_reply(
        self,
        heartbeat: control_pb2.Beat,
        reply: control_pb2.BeatReply,
        sent_s: float,
    ) -> list[str]:
        """Apply the holder's reply; return the attempts to stop and forget.

        The lease and the age of the view count from when the heartbeat was sent, since
        the reply may have been delayed in transit.
        """
        if reply.epoch < self.epoch:
            return []
        self.epoch = reply.epoch
        if reply.want_full:
            self._full_report_due = True
            return []
        self.lease_until_s = max(self.lease_until_s, sent_s + reply.lease_duration_s)
        self.update_view(
            reply.config_version, reply.domain_out, sent_s - reply.view_age_s
        )
        if heartbeat.full:
            self._full_report_due = False
            self._reported_states = {}
        self._reported_states.update(
            {report.attempt: report.state for report in heartbeat.reports}
        )
        for attempt in reply.acknowledged:
            self._reported_states.pop(attempt, None)
            member = self.members.get(attempt)
            if member is not None and member.state in TERMINAL_MEMBER_STATES:
                del self.members[attempt]
        return list(reply.unknown)

    def update_view(self, version: int, domain_out: bool, confirmed_s: float) -> None:
        """Replace the view unless the new one has a lower version or is older."""
        if version < self.view.version or confirmed_s < self.view.confirmed_s:
            return
        if version > self.view.version:
            self._domain_out_until_s = float("-inf")
        self.view = View(version, domain_out, confirmed_s)

    def mark_domain_out(self, now_s: float) -> None:
        """Treat the failure domain as out of service before its drain is stored.

        This ends after `DOMAIN_OUT_OVERRIDE_TTL_S`, since the drain may never be
        accepted, or earlier when a newer version of the configuration arrives.
        """
        self._domain_out_until_s = now_s + DOMAIN_OUT_OVERRIDE_TTL_S

    def require_full_report(self) -> None:
        """Make the next heartbeat a full report, for a holder without any state."""
        self._full_report_due = True

    def forget(self, attempt: str) -> None:
        """Remove a member and what was reported of it."""
        self.members.pop(attempt, None)
        self._reported_states.pop(attempt, None)
