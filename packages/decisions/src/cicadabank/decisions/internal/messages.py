"""Events that a cell's scheduler receives and actions that it requests."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from cicadabank.decisions.internal.fleet import WorkerInfo
from cicadabank.model import FailureDomain, Guarantee, JobRow, Workspace


class Report(NamedTuple):
    """The state of one member of a gang, as its worker's agent reports it."""

    attempt: str
    state: str  # reserved, held, starting, running, done, failed, stopped
    answer: bytes = b""
    answer_object: str = ""
    reason: str = ""
    checkpoint: str = ""
    run_s: float = 0.0
    started: bool = True


class HeartbeatEvent(NamedTuple):
    """A heartbeat of a worker, with all member states or those that have changed."""

    worker: str
    incarnation: str
    info: WorkerInfo | None
    full: bool
    reports: tuple[Report, ...]
    digest: int = 0
    leaving: bool = False


class HeartbeatReply(NamedTuple):
    """The reply to a heartbeat.

    It renews the leases of all tasks, except those of the attempts that it names.
    """

    want_full: bool
    acknowledged: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()


class ConfigView(NamedTuple):
    """The latest configuration that an entry has read."""

    version: int = 0
    domains: dict[str, FailureDomain] = {}
    guarantees: dict[str, Guarantee] = {}
    workspaces: dict[str, Workspace] = {}


class OrderResult(NamedTuple):
    """The reply of an agent to an order.

    Attributes
    ----------
    answered : bool
        False if no reply came, so that the order may have been carried out.
    started : bool
        False only if the member has certainly not started.
    """

    answered: bool
    accepted: bool = False
    started: bool = True
    reason: str = ""
    checkpoint: str = ""


class SendReserve(NamedTuple):
    """Reserve accelerators on a worker for a member of a gang."""

    worker: str
    attempt: str
    tasks: int
    accelerators: int
    incarnation: str


class SendStart(NamedTuple):
    """Start a member of a committed gang.

    Attributes
    ----------
    hold_s : float
        Seconds for which the worker holds the member. It drops the member if no order
        to begin arrives in that time; with 0 the member begins at once.
    """

    worker: str
    attempt: str
    incarnation: str
    payload: str
    checkpoint: str
    hold_s: float


class SendBegin(NamedTuple):
    """Let a held member begin, sent once all members of its gang are held."""

    worker: str
    attempt: str
    incarnation: str


class SendStop(NamedTuple):
    """Stop a member, or release its reservation if it hasn't started."""

    worker: str
    attempt: str
    incarnation: str
    checkpoint: bool = False


class CommitJob(NamedTuple):
    """Write a job's row if its stored version is still `version`."""

    job: str
    row: JobRow
    version: int
    operation: str
    answer: bytes | None = None


class CommitStatus(StrEnum):
    """Outcome of a commit of a job's row."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FENCED = "fenced"  # the cell has another holder


class ReloadJob(NamedTuple):
    """Read a job's row from the table."""

    job: str


class LogDecision(NamedTuple):
    """A decision to be logged."""

    job: str
    event: str
    cause: str
    attempt: str = ""


Order = SendReserve | SendStart | SendBegin | SendStop
Action = Order | CommitJob | ReloadJob | LogDecision
