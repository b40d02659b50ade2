"""The targets of a cell: what each has, what is booked on it, and how it fares."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling.internal.jobs import Need, RunId
from cicadabank.scheduling.internal.units import Place

# A target is left alone after this many failed runs in a row, for a time that doubles
# with each further one; a job that fails by its own fault seldom fails twice in a row.
FAILURES_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 60.0


class RunningRun(NamedTuple):
    """A run that a target lists as running."""

    id: RunId
    checkpoint: str
    percent: int


class EndedRun(NamedTuple):
    """A run that a target lists as ended."""

    sequence: int
    id: RunId
    how: str
    checkpoint: str


class Report(NamedTuple):
    """What an agent says of its target.

    Attributes
    ----------
    observed : bool
        Whether the lists were read from this life of the target.
    pending : tuple of RunId
        Starts that the agent has taken and that have no outcome yet.
    gone : tuple of RunId
        Runs that were stopped for certain: they neither run nor can start.
    """

    agent: str
    agent_run: str
    number: int
    place: Place
    domain: str
    capacity: Need
    labels: tuple[str, ...]
    rack: str = ""
    draining: bool = False
    remaining_s: float = 0.0
    observed: bool = False
    unhealthy: bool = False
    leaving: bool = False
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    pending: tuple[RunId, ...] = ()
    refused: tuple[tuple[RunId, str], ...] = ()
    gone: tuple[RunId, ...] = ()


class Target:
    """One life of a target, as its holder knows it."""

    __slots__ = (
        "agent",
        "agent_run",
        "allocated",
        "allocations",
        "capacity",
        "consecutive_failures",
        "domain",
        "draining",
        "ends_s",
        "labels",
        "last_report_s",
        "lease_until_s",
        "leaving",
        "observed",
        "place",
        "processed_sequence",
        "quarantined_until_s",
        "rack",
        "recorded",
        "report_number",
        "unhealthy",
    )

    def __init__(self, place: Place, agent: str):
        self.place = place
        self.agent = agent
        self.agent_run = ""
        self.report_number = -1
        self.domain = ""
        self.rack = ""
        self.labels: frozenset[str] = frozenset()
        self.capacity = Need(0, 0, 0)
        self.allocated = Need(0, 0, 0)
        self.allocations: dict[tuple[str, int, int], Need] = {}
        self.last_report_s = float("-inf")
        self.lease_until_s = float("-inf")
        self.draining = False
        self.ends_s = float("inf")  # of a draining target, the soonest
        self.leaving = False
        self.observed = False
        self.unhealthy = False
        self.processed_sequence = 0  # highest sequence of an end that was processed
        self.recorded = 0  # highest sequence of which the outcome is stored
        self.consecutive_failures = 0
        self.quarantined_until_s = float("-inf")

    @property
    def free(self) -> Need:
        """What is not booked; negative while claims wait for stops."""
        return Need(
            *(c - u for c, u in zip(self.capacity, self.allocated, strict=True))
        )

    def allocate(self, task: tuple[str, int, int], need: Need) -> None:
        """Book room for a task."""
        if task not in self.allocations:
            self.allocations[task] = need
            self.allocated = Need(
                *(u + n for u, n in zip(self.allocated, need, strict=True))
            )

    def release(self, task: tuple[str, int, int]) -> None:
        """Give a task's room back."""
        need = self.allocations.pop(task, None)
        if need is not None:
            self.allocated = Need(
                *(u - n for u, n in zip(self.allocated, need, strict=True))
            )

    def record_outcome(self, how: str, now_s: float) -> None:
        """Learn from how a run ended here."""
        if how == "done":
            self.consecutive_failures = 0
            self.quarantined_until_s = float("-inf")
        elif how == "failed":
            self.consecutive_failures += 1
            if self.consecutive_failures >= FAILURES_TO_QUARANTINE:
                factor = 2.0 ** (self.consecutive_failures - FAILURES_TO_QUARANTINE)
                quarantine_s = min(MAX_QUARANTINE_S, INITIAL_QUARANTINE_S * factor)
                self.quarantined_until_s = now_s + quarantine_s

    def update(self, report: Report, now_s: float) -> None:
        """Take in what the agent says of the target itself."""
        self.agent, self.agent_run = report.agent, report.agent_run
        self.report_number = report.number
        self.domain, self.capacity = report.domain, report.capacity
        self.labels = frozenset(report.labels)
        self.rack = report.rack
        self.last_report_s = now_s
        self.observed = self.observed or report.observed
        self.unhealthy = report.unhealthy
        self.leaving = report.leaving
        if report.draining:
            self.draining = True
            self.ends_s = now_s + report.remaining_s


def fits(need: Need, available: Need) -> bool:
    """Whether a task fits into some room."""
    return all(n <= r for n, r in zip(need, available, strict=True))


def max_tasks(need: Need, available: Need) -> int:
    """Return how many tasks of a kind fit into some room."""
    counts = [r // n for n, r in zip(need, available, strict=True) if n > 0]
    return max(0, min(counts)) if counts else 1_000_000
