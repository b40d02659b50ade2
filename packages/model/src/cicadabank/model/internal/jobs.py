"""Job requests, their stored rows and their decision history."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Adjacency(StrEnum):
    """Largest part of the topology over which a gang may be spread."""

    WORKER = "worker"
    RACK = "rack"
    DOMAIN = "domain"


class JobState(StrEnum):
    """Lifecycle state of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "outcome-unknown"


TERMINAL_STATES = frozenset(JobState) - {JobState.QUEUED, JobState.RUNNING}


class Ran(StrEnum):
    """Whether a job or a request was executed, at least in part."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class JobSpec(NamedTuple):
    """A job request as its caller declares it.

    Declared sizes and durations are hints for placement; no safety property depends
    on them.

    Attributes
    ----------
    estimate_s : float
        Expected run time.
    domain : str
        Failure domain in which the gang must run; empty for any.
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
        """Number of accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task

    @property
    def preemptible(self) -> bool:
        """Whether it may be preempted, since it can be rerun or resumed."""
        return self.idempotent or self.checkpointable


class Member(NamedTuple):
    """The tasks of a gang that run on one worker."""

    worker: str
    tasks: int
    incarnation: str = ""


class Decision(NamedTuple):
    """A decision in a job's history, with its cause."""

    at_unix_s: float
    event: str
    cause: str
    epoch: int = 0
    config_version: int = 0
    attempt: str = ""


class JobRow(NamedTuple):
    """The stored record of a job.

    An attempt is one placement and start of the whole gang.

    Attributes
    ----------
    attempt : str
        Id of the current or the last attempt; empty while the job is queued.
    attempts : int
        Number of attempts so far.
    """

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
        """Whether the job's state is final."""
        return self.state in TERMINAL_STATES


def describe_shape(tasks: int, accelerators_per_task: int, adjacency: str) -> str:
    """Return a gang's shape as text for messages."""
    total = tasks * accelerators_per_task
    return (
        f"{total} accelerators as {tasks} x {accelerators_per_task} "
        f"within one {adjacency}"
    )
