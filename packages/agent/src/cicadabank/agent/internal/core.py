"""The agent's decisions: epochs, leases and the last check before a start.

Pure but for the state it owns: orders and time in, replies and actions out.
"""

from __future__ import annotations

from cicadabank.agent.errors import OrderRefusedError
from cicadabank.agent.internal.members import ENDED, HELD, ORDERED, MemberTask
from cicadabank.agent.internal.views import View, carried_view
from cicadabank.decisions import digest_of
from cicadabank.wire import control_pb2

PUSHED_OUT_S = 300.0


class AgentCore:
    """Decides what may start on one worker.

    Parameters
    ----------
    incarnation : str
        Identifies this run of the agent; orders meant for an earlier one are refused.
    accelerators : int
        Accelerators of the worker.
    freshness_s : float
        Greatest age of the view under which a member is started.
    """

    def __init__(self, incarnation: str, accelerators: int, freshness_s: float):
        self.incarnation = incarnation
        self.accelerators = accelerators
        self.freshness_s = freshness_s
        self.epoch = 0
        self.view = View()
        self.lease_until_s = float("-inf")
        self.leaving = False
        self.members: dict[str, MemberTask] = {}
        self._told: dict[str, str] = {}
        self._full = True
        self._pushed_out_until_s = float("-inf")

    def reserve(self, order: control_pb2.Reserve, now_s: float) -> None:
        """Keep accelerators for a member until the reservation expires.

        Raises
        ------
        OrderRefusedError
            If the member must not or can't be reserved.
        """
        self._check_origin(order.epoch, order.incarnation)
        view = self._newest(carried_view(order, now_s))
        self._check_view(view, now_s)
        self._expire(now_s)
        member = self.members.get(order.attempt)
        if member is None:
            busy = sum(
                m.accelerators for m in self.members.values() if m.state not in ENDED
            )
            if busy + order.accelerators > self.accelerators:
                raise OrderRefusedError(
                    f"{busy} of {self.accelerators} accelerators are in use"
                )
            member = MemberTask(
                order.attempt, order.epoch, order.tasks, order.accelerators
            )
            self.members[order.attempt] = member
        if member.state == "reserved":
            member.expires_s = now_s + order.ttl_s
            member.view = view

    def start(self, order: control_pb2.Start, now_s: float) -> MemberTask | None:
        """Let a reserved member leave the barrier; None if it has left already.

        Raises
        ------
        OrderRefusedError
            If the member must not start; it has not.
        """
        member = self.members.get(order.attempt)
        if member is not None and member.ordered:
            return None
        self._check_origin(order.epoch, order.incarnation)
        self._expire(now_s)
        member = self.members.get(order.attempt)
        if member is None:
            raise OrderRefusedError("the reservation has expired or was released")
        self._check_view(self._newest(member.view), now_s)
        member.ordered = True
        member.started = not order.hold_s
        member.state = ORDERED
        member.epoch = order.epoch
        self.lease_until_s = max(self.lease_until_s, now_s + order.lease_duration_s)
        return member

    def begin(self, order: control_pb2.Begin, now_s: float) -> MemberTask | None:
        """Let a held member begin; None if it may have begun already.

        Raises
        ------
        OrderRefusedError
            If the member must not begin; it has not.
        """
        member = self.members.get(order.attempt)
        begun = member is not None and member.started
        if begun and member.state != HELD and member.state not in ENDED:
            return None
        self._check_origin(order.epoch, order.incarnation)
        if member is None or member.state != HELD:
            raise OrderRefusedError("the member is not held here any more")
        self._check_view(self._newest(member.view), now_s)
        member.started = True
        member.state = ORDERED
        self.lease_until_s = max(self.lease_until_s, now_s + order.lease_duration_s)
        return member

    def begin_refused(self, attempt: str) -> None:
        """Note that the target itself did not let a member begin."""
        member = self.members.get(attempt)
        if member is not None and member.state == ORDERED:
            member.started = False
            member.state = HELD

    def order_taken(self, attempt: str, now_s: float) -> None:
        """Note that the runner has taken a start, or an order to begin."""
        member = self.members.get(attempt)
        if member is not None and member.state == ORDERED:
            member.state = "starting" if member.started else HELD
            member.settled_s = now_s

    def order_unanswered(self, attempt: str, bound_s: float) -> None:
        """Note that the runner may take an order until a bound."""
        member = self.members.get(attempt)
        if member is not None and member.settled_s == float("inf"):
            member.settled_s = bound_s

    def start_bound_s(self, member: MemberTask, now_s: float) -> float:
        """Return for how long from now a start is still covered by its view."""
        return self._newest(member.view).seen_s + self.freshness_s - now_s

    def start_refused(self, attempt: str, reason: str) -> None:
        """Note that the target itself refused a start, so the member did not start."""
        member = self.members.get(attempt)
        if member is not None:
            member.started = False
            member.state = "stopped"
            member.reason = reason

    def _check_origin(self, epoch: int, incarnation: str) -> None:
        if incarnation != self.incarnation:
            raise OrderRefusedError(
                "the order is meant for an earlier run of this agent"
            )
        self.check_epoch(epoch)

    def check_epoch(self, epoch: int) -> None:
        """Refuse orders of a holder that was replaced.

        And remember the newest epoch.
        """
        if epoch < self.epoch:
            raise OrderRefusedError(f"the epoch {epoch} is below {self.epoch}")
        self.epoch = epoch

    def _newest(self, other: View) -> View:
        """Return the newer of the agent's own view and one that came with an order."""
        return max(self.view, other, key=lambda view: (view.version, view.seen_s))

    def _check_view(self, view: View, now_s: float) -> None:
        if self.leaving:
            raise OrderRefusedError("the target is leaving")
        if view.domain_out or now_s < self._pushed_out_until_s:
            raise OrderRefusedError("the failure domain is out of service")
        age_s = now_s - view.seen_s
        if age_s > self.freshness_s:
            raise OrderRefusedError(f"the view is older than {self.freshness_s} s")

    def _expire(self, now_s: float) -> list[str]:
        expired = [
            m.attempt
            for m in self.members.values()
            if m.state == "reserved" and now_s > m.expires_s
        ]
        for attempt in expired:
            del self.members[attempt]
        return expired

    def stopped(self, order: control_pb2.Stop) -> MemberTask | None:
        """Take an order to stop; return the member that the target must stop, if any.

        Raises
        ------
        OrderRefusedError
            If the order comes from a holder that was replaced.
        """
        self.check_epoch(order.epoch)
        member = self.members.get(order.attempt)
        if member is None or member.state in ENDED:
            return None
        if member.state == "reserved":
            del self.members[order.attempt]
            return None
        return member

    def may_have_started(self, order: control_pb2.Stop) -> bool:
        """Whether a member may have started here, at any time.

        An agent that doesn't know an attempt can say that it never started only if
        the attempt was reserved with this same run of the agent.
        """
        member = self.members.get(order.attempt)
        if member is not None:
            return member.started
        return order.incarnation != self.incarnation

    def take_usage(self, tasks: list, seen_s: float) -> None:
        """Take in what the runner said of its tasks, adopting those not known.

        Parameters
        ----------
        tasks : list of TaskUsage
        seen_s : float
            When the runner said so, or earlier, on the agent's own clock.
        """
        self._note_forgotten({task.attempt for task in tasks}, seen_s)
        for task in tasks:
            member = self.members.get(task.attempt)
            if member is None:
                member = self._adopt(task)
            if member.state == "reserved" or member.state in ENDED:
                continue
            member.run_s = task.run_s
            member.checkpoint = task.checkpoint or member.checkpoint
            if task.state in ENDED:
                member.started = member.started or task.state != "stopped"
                member.reason = task.reason
                member.answer = task.answer
                member.state = task.state
            elif task.state == "running":
                member.started = True
                member.state = "running"

    def _note_forgotten(self, known: set[str], seen_s: float) -> None:
        """End the members that the runner should know and doesn't.

        It has restarted, or an order without an answer never reached it.
        """
        for member in self.members.values():
            open_here = member.ordered and member.state not in ENDED
            if not open_here or member.attempt in known or seen_s <= member.settled_s:
                continue
            member.started = member.started and member.state != ORDERED
            member.state = "stopped"
            member.reason = "the worker does not know it"

    def _adopt(self, task) -> MemberTask:
        member = MemberTask(task.attempt, task.epoch, 0, 0)
        member.ordered = member.started = True
        member.state = HELD if task.state == HELD else "starting"
        self.members[task.attempt] = member
        self.epoch = max(self.epoch, task.epoch)
        return member

    def lapsed(self, now_s: float) -> list[MemberTask]:
        """Return the members to stop because the holder was not heard of in time.

        An agent that was restarted has no lease of its own until its first heartbeat is
        answered; the lease that the runner was given before bounds its tasks meanwhile.
        """
        self._expire(now_s)
        if now_s <= self.lease_until_s or self.lease_until_s == float("-inf"):
            return []
        return [m for m in self.members.values() if m.ordered and m.state not in ENDED]

    def has_news(self) -> bool:
        """Whether a member's state has changed since the holder was told."""
        members = self.members.values()
        return any(
            self._told.get(m.attempt) != m.state and m.state != ORDERED for m in members
        )

    def beat(self, info: control_pb2.TargetInfo) -> control_pb2.Beat:
        """Return the next heartbeat: all members, or those that have changed."""
        states = {m.attempt: m.state for m in self.members.values()}
        changed = [
            m
            for m in self.members.values()
            if self._full or self._told.get(m.attempt) != m.state
        ]
        return control_pb2.Beat(
            target=info.name,
            cell=info.cell,
            incarnation=self.incarnation,
            info=info if self._full else None,
            full=self._full,
            reports=[member.report() for member in changed],
            digest=digest_of(states),
            leaving=self.leaving,
            config_version=self.view.version,
            epoch=self.epoch,
        )

    def beat_answered(
        self, beat: control_pb2.Beat, reply: control_pb2.BeatReply, sent_s: float
    ) -> list[str]:
        """Take in the holder's reply; return the attempts to stop and forget.

        The lease and the view count from when the heartbeat was sent, since the reply
        may have been long on its way.
        """
        if reply.epoch < self.epoch:
            return []
        self.epoch = reply.epoch
        if reply.want_full:
            self._full = True
            return []
        self.lease_until_s = max(self.lease_until_s, sent_s + reply.lease_duration_s)
        self.take_view(
            reply.config_version, reply.domain_out, sent_s - reply.view_age_s
        )
        if beat.full:
            self._full = False
            self._told = {}
        self._told.update({report.attempt: report.state for report in beat.reports})
        for attempt in reply.acknowledged:
            self._told.pop(attempt, None)
            member = self.members.get(attempt)
            if member is not None and member.state in ENDED:
                del self.members[attempt]
        return list(reply.unknown)

    def take_view(self, version: int, domain_out: bool, seen_s: float) -> None:
        """Take in a view.

        Versions never go back, and an older sight changes nothing.
        """
        if version < self.view.version or seen_s < self.view.seen_s:
            return
        if version > self.view.version:
            self._pushed_out_until_s = float("-inf")
        self.view = View(version, domain_out, seen_s)

    def push_out(self, now_s: float) -> None:
        """Act at once on a failure domain's being taken out, before it is stored.

        It lapses, so that a drain that is never accepted doesn't last for ever; a newer
        version of the configuration ends it sooner.
        """
        self._pushed_out_until_s = now_s + PUSHED_OUT_S

    def tell_everything(self) -> None:
        """Send a full report next, to a holder that may know nothing."""
        self._full = True

    def drop(self, attempt: str) -> None:
        """Forget a member."""
        self.members.pop(attempt, None)
        self._told.pop(attempt, None)
