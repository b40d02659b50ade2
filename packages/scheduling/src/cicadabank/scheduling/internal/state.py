"""In-memory state of a cell's holder, and its outgoing commits and orders."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cicadabank.scheduling.internal.forecast import Forecast
from cicadabank.scheduling.internal.jobs import (
    Configuration,
    JobRecord,
    QueueConfig,
    Resources,
    RunId,
)
from cicadabank.scheduling.internal.policy import SchedulingPolicy
from cicadabank.scheduling.internal.probes import Probes
from cicadabank.scheduling.internal.shares import Shares
from cicadabank.scheduling.internal.speeds import TargetSpeeds
from cicadabank.scheduling.internal.targets import (
    AbsentTarget,
    Target,
    max_tasks,
)
from cicadabank.scheduling.internal.units import (
    Job,
    Member,
    Phase,
    TargetIncarnation,
    Unit,
)

if TYPE_CHECKING:
    from cicadabank.scheduling.internal.registrations import Registration
    from cicadabank.scheduling.internal.reliability import Incident, IncidentCount

# A task that has exceeded its forecast is expected to run for another share of its
# elapsed time, as with long-tailed durations.
OVERRUN_SHARE = 0.3
# Number of recent urgent jobs whose sizes are kept; a few minutes of typical traffic.
URGENT_SIZE_HISTORY = 40


class Timings(NamedTuple):
    """Time limits of a cell's holder, in seconds.

    Attributes
    ----------
    lease_s : float
        Lease granted in reply to a report; below `max_lease_s`.
    max_lease_s : float
        Longest lease that targets allow.
    clock_drift : float
        Relative rate by which a target's clock may run slow.
    outage_s : float
        Time after the last contact with the store by which all granted leases have
        expired. Longer than the store outages that tasks should survive.
    silent_after_s : float
        Time without reports after which a target receives no new tasks; two and a half
        report intervals.
    order_retry_s : float
        Time after which an order without effect is sent again.
    contact_after_s : float
        Time without reports after which an agent is contacted. Longer than the report
        interval and a report's way, so that only reports that are missing count.
    contact_retry_s : float
        Time between attempts to contact a silent agent.
    contact_reply_s : float
        Time within which a contacted agent usually reports.
    report_wait_s : float
        Longest time for which a new holder waits for most agents to report before it
        places tasks.
    infeasible_after_s : float
        Time for which a new holder waits for agents before it fails jobs as infeasible.
    stop_s : float
        Maximum duration of a stop, set by the platform.
    max_call_delay_s : float
        A call to a target that got no reply is carried out within this time, or never.
    checkpoint_write_interval_s : float
        Minimum time between two writes of a unit's checkpoint to the store. The stored
        checkpoint is needed if all processes lose power: the unit then resumes from it.
        Writes are batched; each costs 60 bytes per task.
    """

    lease_s: float = 8.0
    max_lease_s: float = 10.0
    clock_drift: float = 0.02
    outage_s: float = 16.0
    silent_after_s: float = 2.5
    order_retry_s: float = 0.4
    contact_after_s: float = 1.7
    contact_retry_s: float = 1.0
    contact_reply_s: float = 0.8
    report_wait_s: float = 0.5
    infeasible_after_s: float = 6.0
    stop_s: float = 0.9
    max_call_delay_s: float = 12.0
    checkpoint_write_interval_s: float = 2.0

    @property
    def late_run_s(self) -> float:
        """Time after a call within which a run that it started or prolonged has ended.

        A target that has restarted cuts the lease to the longest when it carries the
        call out, whatever end the call names.
        """
        return self.max_call_delay_s + self.max_lease_s * (1.0 + self.clock_drift)


class Start(NamedTuple):
    """An order to start a run.

    Attributes
    ----------
    allocated : tuple of int
        Resources of this run and of all others that the target may have.
    """

    id: RunId
    payload: str
    checkpoint: str
    need: tuple[int, int, int]
    allocated: tuple[int, int, int] = (0, 0, 0)


class AgentOrders:
    """A batch of orders to the agent of one incarnation of a target.

    `target_incarnation` is None in a batch that only announces the holder. The orders
    count only for the agent process that has this registration number.
    """

    __slots__ = (
        "agent",
        "asks_for_reply",
        "recorded",
        "registration",
        "starts",
        "stops",
        "target_incarnation",
    )

    def __init__(self, agent: str, target_incarnation: TargetIncarnation | None):
        self.agent = agent
        self.target_incarnation = target_incarnation
        self.starts: list[Start] = []
        self.stops: list[RunId] = []
        self.recorded = 0  # sequence number up to which ended runs are stored
        self.registration = 0
        # Whether to send the batch even if it contains nothing else.
        self.asks_for_reply = False


class RowChange(NamedTuple):
    """A conditional write: applies only if the row has the expected version."""

    key: str
    expected: int
    value: bytes


class Commit(NamedTuple):
    """Rows to be written in one transaction.

    Attributes
    ----------
    rows : tuple of RowChange
    jobs : tuple of str
        Jobs whose rows are written.
    starting : tuple of (Unit, int)
        Units to be started once the commit is stored, each with the number of the run
        that it stores.
    recorded : tuple of (TargetIncarnation, int)
        For each incarnation of a target, the sequence number up to which its ended runs
        are stored once this commit is.
    """

    rows: tuple[RowChange, ...]
    jobs: tuple[str, ...]
    starting: tuple[tuple[Unit, int], ...]
    recorded: tuple[tuple[TargetIncarnation, int], ...]


class AwaitedContact(NamedTuple):
    """A unit whose placement is stored and whose agents are to be in contact.

    Attributes
    ----------
    run : int
        The unit's run that is to start.
    since_s : float
        When the placement was found to be stored.
    """

    unit: Unit
    run: int
    since_s: float


Log = Callable[..., None]


def no_log(event: str, **fields: object) -> None:
    """Ignore an event."""


class CellState:
    """State on which the scheduling decisions for one cell are based.

    Parameters
    ----------
    cell : str
    epoch : int
        Epoch under which this holder acquired the cell.
    now_s : float
        Time of the takeover.
    timings : Timings
    log : callable, default=no_log
        Called with the name of an event and its fields.
    policy : SchedulingPolicy, optional
        Optional decisions that operators have switched on.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        now_s: float,
        timings: Timings,
        log: Log = no_log,
        policy: SchedulingPolicy | None = None,
    ):
        self.cell = cell
        self.epoch = epoch
        self.timings = timings
        self.log = log
        self.policy = policy or SchedulingPolicy()
        self.taken_over_s = now_s
        self.now_s = now_s
        self.store_offset_s = 0.0  # store clock minus local clock
        self.loaded = False
        self.loaded_s = now_s
        self.fenced = False
        self.stopping = False  # the entry is shutting down and places no more units
        self.config = Configuration()
        self.queues: dict[str, QueueConfig] = {}
        self.guarantees: dict[str, int] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.targets: dict[str, Target] = {}  # keyed by agent
        self.targets_by_incarnation: dict[TargetIncarnation, Target] = {}
        self.members_by_incarnation: dict[
            TargetIncarnation, dict[tuple[str, int, int], Unit]
        ] = {}
        # By incarnation that has not reported since the takeover: when the leases that
        # earlier holders granted to it have expired. By removed incarnation that has
        # late starts: when the next run that they may have started has ended.
        self.unreported_lease_until_s: dict[TargetIncarnation, float] = {}
        # By agent, unless it reports a target that has had any capacity.
        self.absent_targets: dict[str, AbsentTarget] = {}
        # Agents whose targets have got a new shape, which is to be stored.
        self.changed_shapes: set[str] = set()
        # Queues with jobs whose configuration is new, which is to be stored.
        self.changed_queues: set[str] = set()
        # Whose targets list runs that are not expected there; some may be gone.
        self.agents_with_unexpected_runs: set[str] = set()
        # By agent: the latest number given to it.
        self.registrations: dict[str, Registration] = {}
        # The known agents, with the time of the last attempt to contact each.
        self.last_contact_attempt_s: dict[str, float] = {}
        self.started_agents: set[str] = set()  # not told yet which entry holds the cell
        self.dirty: dict[str, Job] = {}
        # By job that was placed and hasn't begun: when it counts as waiting again.
        self.begin_due_s: dict[str, float] = {}
        # By job, step and first index of the unit, see `contacts`.
        self.awaiting_contact: dict[tuple[str, int, int], AwaitedContact] = {}
        # Agents that didn't take orders and have not been heard from since.
        self.lost_contacts: set[str] = set()
        self.starts_sent = self.starts_not_sent = 0  # units since the takeover
        self.in_flight: Commit | None = None
        self.orders: dict[str, AgentOrders] = {}
        self.forecast = Forecast()
        self.speeds = TargetSpeeds(self.policy.speeds.enabled)
        self.probes = Probes()
        self.shares = Shares()
        # By agent: decayed numbers of incidents, and the latest one with its time. The
        # numbers of changed agents are to be stored.
        self.incident_counts: dict[str, IncidentCount] = {}
        self.latest_incidents: dict[str, tuple[Incident, float]] = {}
        self.changed_incidents: set[str] = set()
        # Incarnations whose crashes this holder has counted; agents repeat them.
        self.counted_crashes: set[str] = set()
        # Units that were placed alone; some may share their targets again.
        self.isolated_units: list[Unit] = []
        self.urgent_sizes: deque[int] = deque(maxlen=URGENT_SIZE_HISTORY)
        # By need of a task: how many fit into the capacity of all targets.
        self._max_running_by_need: dict[Resources, int] = {}
        # By queue: number of jobs and their mean work in core-seconds.
        self.mean_work: dict[str, tuple[int, float]] = {}

    @property
    def store_now_s(self) -> float:
        """The current time on the store's clock."""
        return self.now_s + self.store_offset_s

    def add_agent(self, agent: str) -> None:
        """Add an agent, of whose target nothing is known yet; known ones stay."""
        if agent not in self.last_contact_attempt_s:
            self.last_contact_attempt_s[agent] = float("-inf")
            self.absent_targets[agent] = AbsentTarget(None, self.store_now_s)

    def queue_of(self, record: JobRecord) -> QueueConfig:
        """Return the queue of a job.

        A queue that was removed from the configuration is retained. One that was in no
        configuration gets priority 2, 3 attempts, a stretch of 3 and a latency of 3 s.
        """
        known = self.queues.get(record.queue)
        return known or QueueConfig(record.queue, self.cell, 2, 3, 3.0, 3.0)

    def expected_s(self, unit: Unit) -> float:
        """Return the expected duration of a complete run of a unit, in seconds.

        On targets of average speed, as all forecasts of steps and waiting units.
        """
        if unit.duration_s is not None:
            return unit.duration_s
        return self.expected_step_s(self.jobs[unit.job], unit.step)

    def expected_step_s(self, job: Job, step: int) -> float:
        """Return the expected duration of a task that has not been measured."""
        record = job.record
        return self.forecast.expected_s(
            record.queue, record.steps[step].estimate_s, job.measured_by_step.get(step)
        )

    def slowness(self, unit: Unit) -> float:
        """Return how much longer a unit takes where it is placed, as a factor."""
        return max(map(self.speeds.slowness, unit.agents), default=1.0)

    def remaining_s(self, unit: Unit) -> float:
        """Return the expected remaining duration of a unit, in seconds.

        At least 0.2 s for a running unit.
        """
        if unit.phase is not Phase.RUNNING:
            return self.expected_s(unit) * (1.0 - unit.saved_percent / 100)
        measured_s = unit.measured_remaining_s(self.now_s)
        if measured_s is not None:
            return max(measured_s, 0.2)
        elapsed_s = self.now_s - unit.started_s
        expected_s = self.expected_s(unit) * self.slowness(unit)
        return max(expected_s - elapsed_s, OVERRUN_SHARE * elapsed_s, 0.2)

    def max_running(self, need: Resources) -> int:
        """Return how many tasks with this need the capacity of all targets can hold."""
        if need not in self._max_running_by_need:
            self._max_running_by_need[need] = sum(
                max_tasks(need, target.capacity) for target in self.targets.values()
            )
        return self._max_running_by_need[need]

    def on_capacity_changed(self) -> None:
        """Recompute what fits after a target came, went, shrank or grew."""
        self._max_running_by_need.clear()

    def mark_dirty(self, job: Job) -> None:
        """Schedule a job's row to be written."""
        self.dirty[job.record.job] = job

    def orders_for(self, target: Target) -> AgentOrders:
        """Return the pending batch of orders for a target."""
        orders = self.orders.get(target.agent)
        if orders is None or orders.target_incarnation != target.target_incarnation:
            orders = self.orders[target.agent] = AgentOrders(
                target.agent, target.target_incarnation
            )
        orders.registration = target.registration or 0
        return orders

    def assign_members(
        self,
        unit: Unit,
        target_incarnations: list[TargetIncarnation],
        isolated: bool = False,
    ) -> None:
        """Assign a unit's members to target incarnations; allocate their resources.

        An isolated unit shares its targets with no other.
        """
        unit.isolated = isolated
        if isolated and unit not in self.isolated_units:
            self.isolated_units.append(unit)
        unit.members = [
            Member(target_incarnation) for target_incarnation in target_incarnations
        ]
        for member_index, member in enumerate(unit.members):
            self.allocate(unit, member_index, member)

    def allocate(self, unit: Unit, member_index: int, member: Member) -> None:
        """Allocate a member's resources on its target."""
        key = (unit.job, unit.step, unit.first_index + member_index)
        self.members_by_incarnation.setdefault(member.target_incarnation, {})[key] = (
            unit
        )
        target = self.targets_by_incarnation.get(member.target_incarnation)
        if target is not None:
            target.allocate(key, unit.spec.need, unit.isolated)

    def release_member(self, unit: Unit, member_index: int) -> None:
        """Release a member's resources: it neither runs nor can start any more."""
        if member_index >= len(unit.members) or unit.members[member_index].released:
            return
        member = unit.members[member_index]
        member.released = True
        key = (unit.job, unit.step, unit.first_index + member_index)
        members = self.members_by_incarnation.get(member.target_incarnation, {})
        members.pop(key, None)
        if not members:
            self.members_by_incarnation.pop(member.target_incarnation, None)
            self.unreported_lease_until_s.pop(member.target_incarnation, None)
        target = self.targets_by_incarnation.get(member.target_incarnation)
        if target is not None:
            target.release(key)

    def resources_in_use(self, target: Target) -> Resources:
        """Return the resources of all runs that a target has or is about to start.

        Unlike ``Target.allocated``, they leave out claims that wait for resources to be
        released, and include runs that are not expected.
        """
        members = self.members_by_incarnation.get(target.target_incarnation, {})
        needs = [
            unit.spec.need
            for unit in members.values()
            if unit.phase is not Phase.CLAIMING
        ]
        used = [Resources(0, 0, 0), *needs, *target.unexpected.values()]
        return Resources(*map(sum, zip(*used, strict=True)))

    def find_member(
        self, run: RunId, target_incarnation: TargetIncarnation
    ) -> tuple[Unit, int] | None:
        """Return the unit and member index of a run on an incarnation of a target.

        Returns
        -------
        tuple of (Unit, int) or None
            None if the run is outdated, its member has been released, or the member is
            assigned to another incarnation. A unit that claims targets for its next run
            has no members of the run before.
        """
        job = self.jobs.get(run.job)
        unit = job.unit_of(run.step, run.index) if job else None
        if unit is None or unit.run != run.run or not unit.members:
            return None
        if unit.phase is Phase.CLAIMING:
            return None  # the members are those of the next run
        member_index = run.index - unit.first_index
        member = unit.members[member_index]
        if member.released or member.target_incarnation != target_incarnation:
            return None
        return unit, member_index

    def tasks_with_unexpected_runs(self) -> set[tuple[str, int, int]]:
        """Return the tasks of which a target reports a run that is not expected there.

        Another run of such a task must not start before that one has been stopped.
        """
        targets = map(self.targets.get, self.agents_with_unexpected_runs)
        return {run[:3] for target in targets if target for run in target.unexpected}

    def running_units(self) -> list[Unit]:
        """Return the units in phase RUNNING."""
        return [
            unit
            for job in self.open_jobs.values()
            for unit in job.units
            if unit.phase is Phase.RUNNING
        ]
