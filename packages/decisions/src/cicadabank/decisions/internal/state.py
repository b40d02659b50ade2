"""In-memory state of a cell, rebuilt after a takeover from table and heartbeats."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple
from zlib import crc32

from cicadabank.decisions.internal.allocations import (
    AllocationPlan,
    GuaranteeAllocation,
)
from cicadabank.decisions.internal.attempts import Attempt, TrackedJob
from cicadabank.decisions.internal.estimates import RunTimeEstimator
from cicadabank.decisions.internal.fleet import Fleet, WorkerInfo
from cicadabank.decisions.internal.health import WorkerHealth
from cicadabank.decisions.internal.messages import Action, ConfigView, LogDecision
from cicadabank.model import Decision, JobRow, new_id
from sortedcontainers import SortedList

MAX_CLOSED_ATTEMPTS = 50_000
MAX_HISTORY_ENTRIES = 60


class CellTimings(NamedTuple):
    """Time limits of a cell's holder, in seconds.

    Attributes
    ----------
    lease_duration_s : float
        Lease that a heartbeat's reply grants to the tasks of a worker.
    lease_margin_s : float
        Time beyond the lease after which a worker's tasks count as lost.
    silent_after_s : float
        Time without heartbeats after which a worker gets no new work.
    outage_lease_s : float
        Time for which a holder that can't reach the table renews leases.
    reserve_timeout_s, start_timeout_s : float
        Limits for the replies of all workers of a gang.
    gang_hold_s : float
        Time for which a worker holds a member without an order to begin.
    claim_timeout_s : float
        Limit for borrowers to leave a claimed allocation.
    stop_retry_s : float
        Interval at which stop orders are resent.
    recovery_s : float
        Limit for the members of a restored attempt to report that they have started.
    settle_s : float
        Time after a takeover during which no job is refused as infeasible, since
        workers may not have reported yet.
    starvation_s : float
        Time in the queue after which a job comes before urgent ones.
    forget_worker_s : float
        Time without heartbeats after which a lost worker is removed.
    """

    lease_duration_s: float = 15.0
    lease_margin_s: float = 1.0
    silent_after_s: float = 3.0
    outage_lease_s: float = 300.0
    reserve_timeout_s: float = 1.5
    start_timeout_s: float = 2.5
    gang_hold_s: float = 6.0
    claim_timeout_s: float = 4.0
    stop_retry_s: float = 1.0
    recovery_s: float = 5.0
    settle_s: float = 3.0
    starvation_s: float = 1800.0
    forget_worker_s: float = 900.0


class WorkerState:
    """The holder's view of a worker: its heartbeats and reported member states."""

    __slots__ = (
        "incarnation",
        "last_heartbeat_s",
        "leaving",
        "lost",
        "reported",
        "reported_before_load",
        "silent",
    )

    def __init__(self, incarnation: str, now_s: float):
        self.incarnation = incarnation
        self.last_heartbeat_s = now_s
        self.leaving = False
        self.silent = False
        self.lost = False
        self.reported: dict[str, str] = {}  # attempt -> state
        self.reported_before_load = False  # so a full report must follow the load

    def digest(self) -> int:
        """Return the digest to compare with the one in the agent's heartbeat."""
        return digest_of(self.reported)


def digest_of(reported: dict[str, str]) -> int:
    """Return the CRC-32 of a worker's attempts and their states."""
    text = ";".join(f"{attempt}={state}" for attempt, state in sorted(reported.items()))
    return crc32(text.encode())


class BackfillReservation(NamedTuple):
    """Workers reserved for the first job that can't be placed.

    The job is expected to fit on them at `needed_s`. Other jobs may use them if they
    are expected to end before that.
    """

    job: str
    workers: frozenset[str]
    needed_s: float
    created_s: float


class CellState:
    """State on which the scheduling decisions of one cell are based."""

    def __init__(
        self,
        cell: str,
        timings: CellTimings,
        clock_unix_s: Callable[[], float],
        make_id: Callable[[str], str] = new_id,
    ):
        self.cell = cell
        self.timings = timings
        self.clock_unix_s = clock_unix_s
        self.make_id = make_id
        self.now_s = 0.0  # time of the current event
        self.epoch = 0
        self.taken_over_s = 0.0
        self.loaded = False
        self.fenced = False
        self.stopping = False
        self.view = ConfigView()
        self.domain_out_since_s: dict[str, float] = {}  # when it was seen out
        self.fleet = Fleet()
        self.workers: dict[str, WorkerState] = {}
        self.jobs: dict[str, TrackedJob] = {}
        self.queue: SortedList = SortedList()
        self.attempts: dict[str, Attempt] = {}
        self.closed_attempts: OrderedDict[str, None] = OrderedDict()
        self.accelerators_in_use: dict[str, int] = {}  # workspace -> accelerators
        self.layout = AllocationPlan([], [])
        self.allocations_stale = True
        self.plan_due = True
        self.last_planned_s = float("-inf")
        self.backfill_reservation: BackfillReservation | None = None
        self.health = WorkerHealth()
        self.estimates = RunTimeEstimator()
        self.actions: list[Action] = []
        self.fleet_version = 0

    def allocation(self, name: str) -> GuaranteeAllocation | None:
        """Return the allocation with a name, or None."""
        return next(
            (
                allocation
                for allocation in self.layout.allocations
                if allocation.name == name
            ),
            None,
        )

    def enqueue(self, tracked: TrackedJob) -> None:
        """Add a job to the queue, which is ordered by urgency, then submission time."""
        self.queue.add(self._rank(tracked.row))
        self.plan_due = True

    def dequeue(self, tracked: TrackedJob) -> None:
        """Remove a job from the queue, if it is there."""
        self.queue.discard(self._rank(tracked.row))

    @staticmethod
    def _rank(row: JobRow) -> tuple[bool, float, str]:
        return (not row.spec.urgent, row.submitted_unix_s, row.job)

    def mark_closed(self, attempt: str) -> None:
        """Record that an attempt is closed: released, or its outcome committed.

        Its workers may then forget it.
        """
        self.closed_attempts[attempt] = None
        if len(self.closed_attempts) > MAX_CLOSED_ATTEMPTS:
            self.closed_attempts.popitem(last=False)

    def record(self, job: str, event: str, cause: str, attempt: str = "") -> None:
        """Request that a decision be logged."""
        self.actions.append(LogDecision(job, event, cause, attempt))

    def with_decision(
        self, row: JobRow, event: str, cause: str, attempt: str = ""
    ) -> JobRow:
        """Return the row with a decision added to its history.

        A history longer than `MAX_HISTORY_ENTRIES` loses entries from its middle.
        """
        decision = Decision(
            self.clock_unix_s(), event, cause, self.epoch, self.view.version, attempt
        )
        history = (*row.history, decision)
        if len(history) > MAX_HISTORY_ENTRIES:
            half = MAX_HISTORY_ENTRIES // 2
            history = (*history[:half], *history[-half:])
        return row._replace(history=history)

    def worker_usable(self, name: str) -> bool:
        """Return whether a worker may get new work, apart from probation."""
        worker = self.workers.get(name)
        if worker is None or worker.leaving or worker.silent or worker.lost:
            return False
        return not self.domain_out(self.fleet.workers[name].info.domain)

    def can_back_guarantee(self, name: str) -> bool:
        """Return whether a worker's accelerators may back a guarantee."""
        return self.worker_usable(name) and not self.health.on_probation(name)

    def domain_out(self, domain: str) -> bool:
        """Return whether operators have taken a failure domain out of service."""
        state = self.view.domains.get(domain)
        return state is not None and state.out

    def refresh_worker(self, name: str) -> None:
        """Admit a worker to placement or exclude it, according to its state."""
        if name not in self.fleet.workers:
            return
        indexed = self.fleet.workers[name].indexed
        usable = self.worker_usable(name)
        if usable and self.health.on_probation(name):
            count = sum(self.worker_usable(other) for other in self.workers)
            in_backoff = self.health.in_backoff(name, self.now_s, count)
            # A worker on probation gets one job at a time.
            usable = not in_backoff and not self.fleet.workers[name].bookings
        if usable == indexed:
            return
        if usable:
            self.fleet.admit(name)
        else:
            self.fleet.exclude(name)
        self.allocations_stale = True
        self.plan_due = True

    def add_worker(self, info: WorkerInfo) -> None:
        """Add a worker, or update its location and size."""
        known = self.fleet.workers.get(info.name)
        if known is not None and known.info == info:
            return
        self.fleet.add(info, indexed=False)
        self.fleet_version += 1
        self.allocations_stale = True
