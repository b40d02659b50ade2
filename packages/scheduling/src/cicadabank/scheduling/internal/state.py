"""What the holder of a cell knows, and the messages that leave it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from cicadabank.scheduling.internal.forecast import Forecast
from cicadabank.scheduling.internal.jobs import ConfigView, JobRecord, QueueView, RunId
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Job, Member, Phase, Place, Unit

# A task that has outlived its forecast is expected to go on for this share of the time
# that it has run, as run times with a long tail do.
OVERRUN_SHARE = 0.3
# Urgent jobs whose sizes are remembered; some minutes of the users' traffic.
URGENT_SIZE_HISTORY = 40


class Timings(NamedTuple):
    """Time bounds of a cell's holder, in seconds.

    Attributes
    ----------
    lease_s : float
        For which a report is answered with a lease; below the 10 s that targets allow.
    clock_drift : float
        By how much a target's clock may run slow.
    outage_s : float
        For how long leases are renewed after the last contact with the store; longer
        than the outages of the store that tasks should survive.
    silent_after_s : float
        A target unheard of for two reports and a half takes no new tasks.
    order_retry_s : float
        After which an order without effect is sent again.
    attach_s : float
        Time between attempts to reach a silent agent.
    gather_s : float
        For which a new holder waits for most agents before it places anything.
    survey_s : float
        For which a new holder waits for agents before it calls a job hopeless.
    stop_s : float
        For which a stop may take; from the platform's bounds.
    checkpoint_s : float
        Time between two writes of a unit's checkpoint, from which it goes on after a
        loss of all power; a write is batched with others and costs 60 bytes a task.
    """

    lease_s: float = 8.0
    clock_drift: float = 0.02
    outage_s: float = 16.0
    silent_after_s: float = 2.5
    order_retry_s: float = 0.4
    attach_retry_s: float = 1.0
    report_wait_s: float = 0.5
    infeasible_after_s: float = 6.0
    stop_s: float = 0.9
    checkpoint_s: float = 2.0


class Start(NamedTuple):
    """An order to start one run."""

    id: RunId
    payload: str
    checkpoint: str
    need: tuple[int, int, int]


class Orders:
    """Orders for one life of a target, sent to its agent together."""

    __slots__ = ("agent", "place", "recorded", "starts", "stops")

    def __init__(self, agent: str, place: Place | None):
        self.agent = agent
        self.place = place
        self.starts: list[Start] = []
        self.stops: list[RunId] = []
        self.recorded = 0  # ends up to this sequence are stored


class RowChange(NamedTuple):
    """A row to be written if it still has the version that is known."""

    key: str
    expected: int
    value: bytes


class Commit(NamedTuple):
    """Rows to be written together, and what follows once they are."""

    rows: tuple[RowChange, ...]
    jobs: tuple[str, ...]
    starting: tuple[Unit, ...]
    recorded: tuple[tuple[Place, int], ...]


Log = Callable[..., None]


def no_log(event: str, **fields: object) -> None:
    """Drop a log line."""


class CellState:
    """All that the decisions for one cell rest on.

    Parameters
    ----------
    epoch : int
        Under which this holder took the cell.
    now_s : float
        Time of the takeover.
    """

    def __init__(
        self, cell: str, epoch: int, now_s: float, timings: Timings, log: Log = no_log
    ):
        self.cell = cell
        self.epoch = epoch
        self.timings = timings
        self.log = log
        self.taken_over_s = now_s
        self.now_s = now_s
        self.store_offset_s = 0.0  # the store's clock less this process's
        self.loaded = False
        self.loaded_s = now_s
        self.fenced = False
        self.stopping = False
        self.config = ConfigView()
        self.queues: dict[str, QueueView] = {}
        self.guarantees: dict[str, int] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.targets: dict[str, Target] = {}  # by agent
        self.targets_by_place: dict[Place, Target] = {}
        self.members_by_place: dict[Place, dict[tuple[str, int, int], Unit]] = {}
        self.unreported_lease_until_s: dict[
            Place, float
        ] = {}  # of places without a target here
        self.last_attach_s: dict[str, float] = {}  # agent -> last attempt to reach it
        self.started_agents: set[str] = set()  # that haven't been told who holds
        self.dirty: dict[str, Job] = {}
        self.in_flight: Commit | None = None
        self.orders: dict[str, Orders] = {}
        self.forecast = Forecast()
        self.urgent_sizes: deque[int] = deque(maxlen=URGENT_SIZE_HISTORY)
        self.mean_work: dict[str, tuple[int, float]] = {}  # queue -> jobs, core-seconds

    def queue_of(self, record: JobRecord) -> QueueView:
        """Return a job's queue; a removed one keeps its last settings."""
        known = self.queues.get(record.queue)
        return known or QueueView(record.queue, self.cell, 2, 3, 3.0, 3.0)

    def expected_s(self, unit: Unit) -> float:
        """Return how long a unit is expected to run from its beginning."""
        queue = self.jobs[unit.job].record.queue
        return self.forecast.expected_s(queue, unit.spec.estimate_s)

    def remaining_s(self, unit: Unit) -> float:
        """Return how long a running unit is expected to go on."""
        if unit.phase is not Phase.RUNNING:
            return self.expected_s(unit)
        elapsed_s = self.now_s - unit.started_s
        return max(self.expected_s(unit) - elapsed_s, OVERRUN_SHARE * elapsed_s, 0.2)

    def mark_dirty(self, job: Job) -> None:
        """Have a job's row written."""
        self.dirty[job.record.job] = job

    def orders_for(self, target: Target) -> Orders:
        """Return the orders that are being gathered for a target."""
        orders = self.orders.get(target.agent)
        if orders is None or orders.place != target.place:
            orders = self.orders[target.agent] = Orders(target.agent, target.place)
        return orders

    def assign_members(self, unit: Unit, places: list[Place]) -> None:
        """Book the members of a unit on their targets."""
        unit.members = [Member(place) for place in places]
        for member_index, member in enumerate(unit.members):
            self.allocate(unit, member_index, member)

    def allocate(self, unit: Unit, member_index: int, member: Member) -> None:
        """Book one member."""
        key = (unit.job, unit.step, unit.first_index + member_index)
        self.members_by_place.setdefault(member.place, {})[key] = unit
        target = self.targets_by_place.get(member.place)
        if target is not None:
            target.allocate(key, unit.spec.need)

    def release_member(self, unit: Unit, member_index: int) -> None:
        """Give a member's room back: it neither runs nor can start any more."""
        if member_index >= len(unit.members) or unit.members[member_index].released:
            return
        member = unit.members[member_index]
        member.released = True
        key = (unit.job, unit.step, unit.first_index + member_index)
        members = self.members_by_place.get(member.place, {})
        members.pop(key, None)
        if not members:
            self.members_by_place.pop(member.place, None)
            self.unreported_lease_until_s.pop(member.place, None)
        target = self.targets_by_place.get(member.place)
        if target is not None:
            target.release(key)

    def find_member(self, run: RunId, place: Place) -> tuple[Unit, int] | None:
        """Return the member that a run on a target is, if it is still wanted there."""
        job = self.jobs.get(run.job)
        unit = job.unit_of(run.step, run.index) if job else None
        if unit is None or unit.run != run.run or not unit.members:
            return None
        member_index = run.index - unit.first_index
        member = unit.members[member_index]
        if member.released or member.place != place:
            return None
        return unit, member_index

    def running_units(self) -> list[Unit]:
        """Return the units that are running on targets."""
        return [
            unit
            for job in self.open_jobs.values()
            for unit in job.units
            if unit.phase is Phase.RUNNING
        ]
