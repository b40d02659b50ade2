"""Events that a cell takes in and actions that it asks for."""

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


class BeatEvent(NamedTuple):
    """A heartbeat of a worker."""

    worker: str
    incarnation: str
    info: WorkerInfo | None
    full: bool
    reports: tuple[Report, ...]
    digest: int = 0
    leaving: bool = False


class BeatAnswer(NamedTuple):
    """The reply to a heartbeat; it renews the leases of all tasks it doesn't name."""

    want_full: bool
    acknowledged: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()


class ConfigView(NamedTuple):
    """The configuration as one entry knows it."""

    version: int = 0
    domains: dict[str, FailureDomain] = {}
    guarantees: dict[str, Guarantee] = {}
    workspaces: dict[str, Workspace] = {}


class OrderResult(NamedTuple):
    """The reply of an agent to an order.

    Attributes
    ----------
    answered : bool
        False if no reply came: the order may have been carried out.
    started : bool
        The agent can't exclude that the member has started.
    """

    answered: bool
    accepted: bool = False
    started: bool = True
    reason: str = ""
    checkpoint: str = ""


class SendReserve(NamedTuple):
    """Ask a worker to keep accelerators for a gang."""

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
        For this long the worker holds the member, and drops it unless it is told to
        begin; 0 lets it begin at once.
    """

    worker: str
    attempt: str
    incarnation: str
    payload: str
    checkpoint: str
    hold_s: float


class SendBegin(NamedTuple):
    """Let a member that is held begin, since all of its gang are."""

    worker: str
    attempt: str
    incarnation: str


class SendStop(NamedTuple):
    """Stop a member, or release its reservation."""

    worker: str
    attempt: str
    incarnation: str
    checkpoint: bool = False


class CommitJob(NamedTuple):
    """Store a job's row, if it still has `version`."""

    job: str
    row: JobRow
    version: int
    operation: str
    answer: bytes | None = None


class CommitStatus(StrEnum):
    """How the storing of a row ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FENCED = "fenced"  # the cell has another holder


class ReloadJob(NamedTuple):
    """Read a job's row again."""

    job: str


class Record(NamedTuple):
    """One decision, for the log."""

    job: str
    event: str
    cause: str
    attempt: str = ""


Order = SendReserve | SendStart | SendBegin | SendStop
Action = Order | CommitJob | ReloadJob | Record
