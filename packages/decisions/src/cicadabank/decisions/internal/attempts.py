"""State of attempts to run a job as a gang of tasks.

A gang with several members starts in two phases: each worker prepares its member and
holds it (`STARTING`); once all are held, they are told to begin (`BEGINNING`). A gang
with one member begins at once.
"""

from __future__ import annotations

from enum import StrEnum

from cicadabank.decisions.internal.fleet import TaskResources
from cicadabank.decisions.internal.messages import CommitJob
from cicadabank.model import JobRow


class Phase(StrEnum):
    """Phase of an attempt."""

    CLAIMING = "claiming"  # waits for borrowers to leave its allocation
    RESERVING = "reserving"
    COMMITTING = "committing"
    STARTING = "starting"
    BEGINNING = "beginning"  # all members are held and have been told to begin
    RUNNING = "running"
    RECOVERING = "recovering"  # restored from its row after a takeover
    STOPPING = "stopping"
    SAVING = "saving"  # its outcome is being committed


class MemberState:
    """The cell holder's view of one member: the tasks of a gang on one worker."""

    __slots__ = (
        "answer",
        "answer_object",
        "checkpoint",
        "ended",
        "incarnation",
        "outcome",
        "replied",
        "run_s",
        "started",
        "stop_sent_s",
        "tasks",
        "worker",
    )

    def __init__(self, worker: str, tasks: int, incarnation: str):
        self.worker = worker
        self.tasks = tasks
        self.incarnation = incarnation
        # Whether the worker has accepted the order of the attempt's current phase, or
        # has reported the state that the order asks for.
        self.replied = False
        self.started = False
        self.ended = False
        self.outcome = ""  # done, failed, stopped, lost, released
        self.answer = b""
        self.answer_object = ""
        self.checkpoint = ""
        self.run_s = 0.0
        self.stop_sent_s = -1.0


class Attempt:
    """A gang from its placement until its outcome is committed."""

    __slots__ = (
        "allocation",
        "committed",
        "deadline_s",
        "job",
        "members",
        "name",
        "need",
        "phase",
        "reason",
        "running_since_s",
        "unsaved_since_s",
        "with_checkpoint",
    )

    def __init__(
        self,
        name: str,
        job: str,
        need: TaskResources,
        members: list[MemberState],
        allocation: str,
    ):
        self.name = name
        self.job = job
        self.need = need
        self.members = {member.worker: member for member in members}
        self.allocation = allocation
        self.phase = Phase.RESERVING
        self.committed = False
        self.deadline_s = 0.0
        self.running_since_s = 0.0
        # Start of the run, or the takeover that restored it. Checkpoints that workers
        # report don't advance it.
        self.unsaved_since_s = 0.0
        # Evaluated as a code: `outcomes` decides by the part before the first colon.
        self.reason = ""
        self.with_checkpoint = False

    @property
    def accelerators_by_worker(self) -> dict[str, int]:
        """Accelerators by worker, for the members that have not ended."""
        return {
            m.worker: m.tasks * self.need.accelerators
            for m in self.members.values()
            if not m.ended
        }

    @property
    def started(self) -> bool:
        """Whether any member has started, or may have."""
        return any(member.started for member in self.members.values())

    @property
    def all_ended(self) -> bool:
        """Whether all members have released their accelerators."""
        return all(member.ended for member in self.members.values())


class TrackedJob:
    """A job that has not ended: its row as last committed, and its current attempt."""

    __slots__ = (
        "attempt",
        "avoid_until_s",
        "pending",
        "queued_s",
        "reload_due_s",
        "reloading",
        "row",
        "version",
    )

    def __init__(self, row: JobRow, version: int, now_s: float):
        self.row = row
        self.version = version
        self.attempt = ""
        # Start of the wait in the queue; kept if an uncommitted attempt is released.
        self.queued_s = now_s
        self.avoid_until_s: dict[str, float] = {}  # by worker
        self.pending: CommitJob | None = None
        self.reloading = False
        self.reload_due_s = 0.0  # when to read the row after a write of unknown outcome
