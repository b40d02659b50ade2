"""Job requests, their stored rows and the decisions recorded with them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Adjacency(StrEnum):
    """The widest spread of a gang that its job accepts."""

    WORKER = "worker"
    RACK = "rack"
    DOMAIN = "domain"


class JobState(StrEnum):
    """Where a job is in its life."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "outcome-unknown"


TERMINAL_STATES = frozenset(JobState) - {JobState.QUEUED, JobState.RUNNING}


class Ran(StrEnum):
    """Whether any task of a job was started."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class JobSpec(NamedTuple):
    """What a caller asks for.

    Declared sizes and times are hints, never trusted for safety.
    """

    workspace: str
    name: str = ""
    tasks: int = 1
    accelerators_per_task: int = 1
    cores_per_task: int = 1
    memory_mb_per_task: int = 1024
    adjacency: Adjacency = Adjacency.DOMAIN
    urgent: bool = False
    idempotent: bool = True
    checkpointable: bool = False
    estimate_s: float = 600.0
    payload: str = ""
    domain: str = ""

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task

    @property
    def stoppable(self) -> bool:
        """Whether it may be stopped, since it can be repeated or resumed."""
        return self.idempotent or self.checkpointable


class Member(NamedTuple):
    """The part of a gang that runs on one worker."""

    worker: str
    tasks: int
    incarnation: str = ""


class Decision(NamedTuple):
    """One entry of a job's history."""

    at_unix_s: float
    event: str
    cause: str
    epoch: int = 0
    config_version: int = 0
    attempt: str = ""


class JobRow(NamedTuple):
    """The stored record of a job."""

    job: str
    spec: JobSpec
    state: JobState
    cell: str
    submitted_unix_s: float
    operation: str
    ran: Ran = Ran.NO
    attempt: str = ""
    attempts: int = 0
    members: tuple[Member, ...] = ()
    started_unix_s: float = 0.0
    ended_unix_s: float = 0.0
    reason: str = ""
    checkpoint: str = ""
    cancel_requested: bool = False
    answer_object: str = ""
    history: tuple[Decision, ...] = ()

    @property
    def terminal(self) -> bool:
        """Whether the job has its final outcome."""
        return self.state in TERMINAL_STATES


def describe_shape(tasks: int, accelerators_per_task: int, adjacency: str) -> str:
    """Describe a gang's shape in words."""
    total = tasks * accelerators_per_task
    return (
        f"{total} accelerators as {tasks} x {accelerators_per_task} "
        f"within one {adjacency}"
    )
