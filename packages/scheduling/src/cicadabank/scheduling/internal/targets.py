"""Targets of a cell: their capacity, allocations and health."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from cicadabank.scheduling.internal.jobs import Resources, RunId
from cicadabank.scheduling.internal.units import TargetIncarnation

# A target is quarantined after this many consecutive failed runs, for a time that
# doubles with each further failure. Jobs that fail through their own fault seldom cause
# two consecutive failures on the same target. A sound target of a cell whose
# jobs fail must not stay idle for long.
FAILURES_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 8.0
# Tasks that need no resources fit this often into a target.
MAX_TASKS = 1_000_000


class SpeedKind(IntEnum):
    """What is known of a target's speed, compared with the least stretch of a queue."""

    FAST = 0
    UNKNOWN = 1
    SLOW = 2


def rank_for_slack(target: Target) -> int:
    """Rank targets for units with slack: slow ones first, and empty fast ones last."""
    is_empty = target.speed_kind is SpeedKind.FAST and not target.allocations
    return is_empty - target.speed_kind


class RunningRun(NamedTuple):
    """A run that a target reports as running.

    Attributes
    ----------
    percent : int
        Share of the task's work that is done.
    """

    id: RunId
    checkpoint: str
    percent: int


class EndedRun(NamedTuple):
    """A run that a target reports as ended."""

    sequence: int
    id: RunId
    outcome: str
    checkpoint: str


class CrashedRun(NamedTuple):
    """A run that may have been on a target when it crashed.

    Attributes
    ----------
    age_s : float
        Time from the first call that started it to the target's last reply. Infinite if
        an earlier process of the agent made that call.
    """

    id: RunId
    age_s: float


class TargetCrash(NamedTuple):
    """A crash of a target, as seen by an agent process that went on meanwhile.

    The incarnation ended without notice, and another one replaced it. A loss of power
    also ends the agent's process, so it is not seen as a crash.
    """

    target: str
    incarnation: str
    runs: tuple[CrashedRun, ...]


class Report(NamedTuple):
    """An agent's report on its target.

    Attributes
    ----------
    agent_run : str
        Identifies the process of the agent.
    report_number : int
        Increases with each report of this process.
    registration : int or None
        Number given to this process by the holder, see `registrations`; 0 before that.
        None for agents that don't register.
    target_incarnation : TargetIncarnation
    domain : str
        Failure domain of the target.
    capacity : Resources
        The present capacity; it may shrink and grow while the target runs.
    largest_capacity : Resources
        The largest amounts that the agent has seen of this incarnation; zero from
        agents that don't tell.
    remaining_s : float
        Time until a draining target may terminate.
    observed : bool
        Whether the lists of runs were read from this incarnation of the target.
    listed_age_s : float
        Age of the lists of running and ended runs when the report was sent.
    unhealthy : bool
        Whether the target does not reply to its agent or has refused a start as
        unhealthy.
    leaving : bool
        Whether the agent's process is shutting down. The agents of
        ``cicadabank.control`` don't set it.
    pending : tuple of RunId
        Starts that the agent has accepted and that have no outcome yet, and runs that
        it is stopping.
    stopping : tuple of RunId
        Those of `pending` that the agent is stopping and will not start any more.
    refused : tuple of (RunId, str)
        Starts that the target has refused, with the reason.
    not_running : tuple of RunId
        Runs that have certainly been stopped: they neither run nor can start.
    crashes : tuple of TargetCrash
        Latest crashes of the agent's target, repeated in each report.
    late_starts : tuple of RunId
        Runs of which a start call got no reply, or none yet. The target, or its next
        incarnation of the same name, may still carry the call out. Agents of earlier
        builds don't tell.
    lease_call_age_s : float or None
        Of a target that counts as ended: age of the latest call that may have set its
        lease. None while it runs, and from agents of earlier builds.
    """

    agent: str
    agent_run: str
    report_number: int
    target_incarnation: TargetIncarnation
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    rack: str = ""
    draining: bool = False
    remaining_s: float = 0.0
    observed: bool = False
    listed_age_s: float = 0.0
    unhealthy: bool = False
    leaving: bool = False
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    pending: tuple[RunId, ...] = ()
    refused: tuple[tuple[RunId, str], ...] = ()
    not_running: tuple[RunId, ...] = ()
    registration: int | None = None
    stopping: tuple[RunId, ...] = ()
    crashes: tuple[TargetCrash, ...] = ()
    largest_capacity: Resources = Resources(0, 0, 0)
    late_starts: tuple[RunId, ...] = ()
    lease_call_age_s: float | None = None


class TargetShape(NamedTuple):
    """What decides which tasks a target could ever run.

    Attributes
    ----------
    labels : frozenset of str
    largest_capacity : Resources
        The largest amounts known of the target, whose capacity may shrink.
    """

    labels: frozenset[str]
    largest_capacity: Resources


class AbsentTarget(NamedTuple):
    """The target of an agent that reports none at present.

    Attributes
    ----------
    shape : TargetShape or None
        Shape of its last incarnation; None if no holder has heard of any.
    since_store_s : float
        Since when it has been absent, by the store's clock.
    """

    shape: TargetShape | None
    since_store_s: float


class Target:
    """An incarnation of a target, as known to the holder."""

    __slots__ = (
        "_unused_cache",
        "agent",
        "agent_run",
        "allocated",
        "allocations",
        "capacity",
        "consecutive_failures",
        "contact_asked_s",
        "domain",
        "draining",
        "exclusive_tasks",
        "former_late_starts",
        "heard_s",
        "incident_class",
        "labels",
        "largest_capacity",
        "last_report_s",
        "late_starts",
        "lease_until_s",
        "leaving",
        "listed_s",
        "observed",
        "out_of_contact",
        "processed_sequence",
        "quarantined_until_s",
        "rack",
        "registration",
        "report_number",
        "slowness",
        "speed_class",
        "speed_kind",
        "stored_sequence",
        "target_incarnation",
        "terminates_s",
        "unexpected",
        "unhealthy",
    )

    def __init__(self, target_incarnation: TargetIncarnation, agent: str):
        self.target_incarnation = target_incarnation
        self.agent = agent
        self.agent_run = ""
        self.report_number = -1
        self.registration: int | None = None
        self.domain = ""
        self.rack = ""
        self.labels: frozenset[str] = frozenset()
        self.capacity = Resources(0, 0, 0)
        # The largest amounts known of this incarnation, whose capacity may shrink.
        self.largest_capacity = Resources(0, 0, 0)
        self.allocated = Resources(0, 0, 0)
        self.allocations: dict[tuple[str, int, int], Resources] = {}
        # Tasks with which no other unit's task may share the target.
        self.exclusive_tasks: set[tuple[str, int, int]] = set()
        # Reported runs that the holder does not expect there, with what they need.
        self.unexpected: dict[RunId, Resources] = {}
        self.last_report_s = float("-inf")
        self.listed_s = float("-inf")  # when it last listed its runs
        # When its agent last sent a report or a reply, and when it was asked for one,
        # unless it has been heard from since.
        self.heard_s = self.contact_asked_s = float("-inf")
        # Whether its agent has not been heard from since it didn't take orders.
        self.out_of_contact = False
        self.lease_until_s = float("-inf")
        # Runs of which a start call got no reply and may still be carried out: those
        # reported by the present agent process, and those of earlier processes with
        # the time until which that may be.
        self.late_starts: frozenset[RunId] = frozenset()
        self.former_late_starts: dict[RunId, float] = {}
        self.draining = False
        self.terminates_s = float("inf")  # earliest termination of a draining target
        self.leaving = False
        self.observed = False
        self.unhealthy = False
        self.processed_sequence = 0  # highest sequence number of a processed ended run
        self.stored_sequence = 0  # highest sequence number of a stored ended run
        self.consecutive_failures = 0
        self.quarantined_until_s = float("-inf")
        # How much longer tasks take here, as estimated when planning began, and the
        # rank of that speed.
        self.slowness = 1.0
        self.speed_class = 0
        self.speed_kind = SpeedKind.UNKNOWN
        # Rank by its recent incidents when planning began; 0 without any.
        self.incident_class = 0
        # Capacity, allocated and unallocated resources; see `_unused`.
        self._unused_cache = (self.capacity, self.allocated, Resources(0, 0, 0))

    @property
    def shape(self) -> TargetShape:
        """What decides which tasks the target could ever run."""
        return TargetShape(self.labels, self.largest_capacity)

    @property
    def free(self) -> Resources:
        """Unallocated resources; negative while claims wait for units to stop.

        They are negative as well while the target has shrunk below its allocations.
        Runs that the holder does not expect use resources until they are stopped. A
        target with an exclusive task has nothing free.
        """
        unused = self._unused
        if not self.exclusive_tasks:
            return unused
        return Resources(*(min(0, amount) for amount in unused))

    @property
    def withheld(self) -> Resources:
        """Resources that only an exclusive task keeps from other units."""
        if not self.exclusive_tasks:
            return Resources(0, 0, 0)
        return Resources(*(max(0, amount) for amount in self._unused))

    @property
    def _unused(self) -> Resources:
        # A planning round reads this far more often than it changes. Both inputs are
        # immutable, so their identities show whether the cached value still holds.
        capacity, allocated, unused = self._unused_cache
        if capacity is not self.capacity or allocated is not self.allocated:
            unused = subtract(self.capacity, self.allocated)
            self._unused_cache = (self.capacity, self.allocated, unused)
        for need in self.unexpected.values():
            unused = subtract(unused, need)
        return unused

    def allocate(
        self, task: tuple[str, int, int], need: Resources, exclusive: bool = False
    ) -> None:
        """Allocate resources for a task, unless it has an allocation already."""
        if exclusive:
            self.exclusive_tasks.add(task)
        if task not in self.allocations:
            self.allocations[task] = need
            self.allocated = add(self.allocated, need)

    def share(self, task: tuple[str, int, int]) -> None:
        """Let other units share the target with a task."""
        self.exclusive_tasks.discard(task)

    def release(self, task: tuple[str, int, int]) -> None:
        """Release the resources of a task, if it has any."""
        self.share(task)
        need = self.allocations.pop(task, None)
        if need is not None:
            self.allocated = subtract(self.allocated, need)

    def record_outcome(self, outcome: str, now_s: float) -> None:
        """Update the failure count and quarantine with a run's outcome."""
        if outcome == "done":
            self.consecutive_failures = 0
            self.quarantined_until_s = float("-inf")
        elif outcome == "failed":
            self.consecutive_failures += 1
            if self.consecutive_failures >= FAILURES_TO_QUARANTINE:
                factor = 2.0 ** (self.consecutive_failures - FAILURES_TO_QUARANTINE)
                quarantine_s = min(MAX_QUARANTINE_S, INITIAL_QUARANTINE_S * factor)
                self.quarantined_until_s = now_s + quarantine_s

    @property
    def is_unreachable(self) -> bool:
        """Whether the target doesn't reply to its agent, or the agent to the holder."""
        return self.unhealthy or self.out_of_contact

    def on_heard(self, heard_s: float) -> None:
        """Record that the target's agent sent a report or a reply."""
        self.heard_s = max(self.heard_s, heard_s)
        self.contact_asked_s = float("-inf")
        self.out_of_contact = False

    def update(self, report: Report, now_s: float) -> None:
        """Update the target's own attributes from a report, but not its runs."""
        self.on_heard(now_s)
        self.agent, self.agent_run = report.agent, report.agent_run
        self.report_number = report.report_number
        self.registration = report.registration
        self.domain, self.capacity = report.domain, report.capacity
        self.largest_capacity = largest(
            self.largest_capacity, report.largest_capacity, report.capacity
        )
        self.labels = frozenset(report.labels)
        self.rack = report.rack
        self.last_report_s = now_s
        self.observed = self.observed or report.observed
        if report.observed:
            self.listed_s = now_s - report.listed_age_s
        self.late_starts = frozenset(report.late_starts)
        self.former_late_starts = {
            run: until_s
            for run, until_s in self.former_late_starts.items()
            if until_s >= self.listed_s
        }
        self.unhealthy = report.unhealthy
        self.leaving = report.leaving
        if report.draining:
            self.draining = True
            self.terminates_s = now_s + report.remaining_s


def largest(*amounts: Resources) -> Resources:
    """Return the largest amount of each resource."""
    return Resources(*map(max, zip(*amounts, strict=True)))


def add(amounts: Resources, others: Resources) -> Resources:
    """Return the sums of two amounts of each resource."""
    return Resources(
        amounts[0] + others[0], amounts[1] + others[1], amounts[2] + others[2]
    )


def subtract(amounts: Resources, others: Resources) -> Resources:
    """Return the differences of two amounts of each resource."""
    return Resources(
        amounts[0] - others[0], amounts[1] - others[1], amounts[2] - others[2]
    )


def fits(need: Resources, available: Resources) -> bool:
    """Return whether a task fits into the given resources."""
    return (
        need[0] <= available[0] and need[1] <= available[1] and need[2] <= available[2]
    )


def max_tasks(need: Resources, available: Resources) -> int:
    """Return how many equal tasks fit, or `MAX_TASKS` if a task needs none.

    None fit if any resource is negative, also one that a task does not need.
    """
    count = MAX_TASKS
    for amount, present in zip(need, available, strict=True):
        if present < 0:
            return 0
        if amount > 0:
            count = min(count, present // amount)
    return count
