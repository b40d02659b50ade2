"""Members of gangs on one target, and their states."""

from __future__ import annotations

from cicadabank.agent.internal.views import View
from cicadabank.wire import control_pb2

ORDERED = "ordered"  # an order was sent to the runner, which has not replied
HELD = "held"
RENEWABLE_STATES = frozenset({"starting", "running"})
TERMINAL_MEMBER_STATES = frozenset({"done", "failed", "stopped"})


class GangMember:
    """A gang's member on this target.

    A member is first ``reserved``. While the runner has not replied to an order to
    start or to begin, it is ``ordered``; then it is ``held`` until it is told to begin,
    or ``starting`` until the runner reports it as ``running``. It ends as ``done``,
    ``failed`` or ``stopped``.

    `start_sent` says that a start was sent to the runner, in this state or an earlier
    one; `started` that the member may have begun to run, which a held member has not.
    """

    __slots__ = (
        "accelerators",
        "answer",
        "answer_object",
        "attempt",
        "checkpoint",
        "epoch",
        "expires_s",
        "order_resolved_s",
        "reason",
        "run_s",
        "start_pending_until_s",
        "start_sent",
        "started",
        "state",
        "tasks",
        "view",
    )

    def __init__(self, attempt: str, epoch: int, tasks: int, accelerators: int):
        self.attempt = attempt
        self.epoch = epoch
        self.tasks = tasks
        self.accelerators = accelerators
        self.state = "reserved"
        self.start_sent = False
        self.started = False
        self.expires_s = 0.0
        self.view = View()
        # Until this time an order to start or begin that the runner has not replied to
        # may still take effect; 0 once the runner has replied.
        self.start_pending_until_s = 0.0
        # After this time, a usage report without the member proves that the runner does
        # not have it: the last order was accepted, or can no longer take effect.
        self.order_resolved_s = float("inf")
        self.answer = b""
        self.answer_object = ""
        self.reason = ""
        self.checkpoint = ""
        self.run_s = 0.0

    def report(self) -> control_pb2.MemberReport:
        """Return the report on this member for the holder of the cell."""
        return control_pb2.MemberReport(
            attempt=self.attempt,
            state=self.state,
            answer=self.answer,
            answer_object=self.answer_object,
            reason=self.reason,
            checkpoint=self.checkpoint,
            run_s=self.run_s,
            started=self.started,
        )
