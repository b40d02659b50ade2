"""Members of gangs on one target, and the states that they go through."""

from __future__ import annotations

from cicadabank.agent.internal.views import View
from cicadabank.wire import control_pb2

ORDERED = "ordered"  # the runner was told, and has not answered
HELD = "held"
RENEWED = frozenset({"starting", "running"})
ENDED = frozenset({"done", "failed", "stopped"})


class MemberTask:
    """A gang's member on this target.

    `ordered` says that the runner was told to start it, `started` that it may have
    begun to run: a member that is held has not.
    """

    __slots__ = (
        "accelerators",
        "answer",
        "answer_object",
        "attempt",
        "checkpoint",
        "epoch",
        "expires_s",
        "ordered",
        "reason",
        "run_s",
        "settled_s",
        "start_open_until_s",
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
        self.ordered = False
        self.started = False
        self.expires_s = 0.0
        self.view = View()
        # Until then a start, or a begin, without an answer may take effect.
        self.start_open_until_s = 0.0
        # From then on the runner knows the member, or never will.
        self.settled_s = float("inf")
        self.answer = b""
        self.answer_object = ""
        self.reason = ""
        self.checkpoint = ""
        self.run_s = 0.0

    def report(self) -> control_pb2.MemberReport:
        """Return what the cell's holder is told of this member."""
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
