"""Units of placement: a whole gang, or a single task of a step that is not a gang."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cicadabank.scheduling.internal.forecast import MeasuredDurations
from cicadabank.scheduling.internal.jobs import (
    JobRecord,
    RunId,
    StepSpec,
    core_equivalents,
)
from cicadabank.scheduling.internal.progress import RunProgress


class Phase(Enum):
    """Lifecycle phase of a unit."""

    WAITING = "waiting"
    CLAIMING = "claiming"  # resources allocated, victims being stopped
    COMMITTING = "committing"  # the start is being committed to the store
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


class TargetIncarnation(NamedTuple):
    """An incarnation of a target, with the address of its agent.

    Tasks are assigned to an incarnation: on a target that has restarted, none of the
    earlier tasks run.
    """

    target: str
    incarnation: str
    agent: str


class Crash(NamedTuple):
    """A crash of a target under a run of a unit.

    Attributes
    ----------
    run : int
        Number of the run.
    target, incarnation : str
    agent : str
        Address of the agent; the same for all targets of a VM.
    alone : bool
        Whether the target ran no other unit.
    recent : bool
        Whether the run had begun shortly before.
    suspected : bool
        Whether the run had begun shortly before, or no run on the target had.
    explained : bool
        Whether another unit is found to have crashed the target, or another unit of the
        step has run alone without a crash.
    """

    run: int
    target: str
    incarnation: str
    agent: str
    alone: bool
    recent: bool
    suspected: bool
    explained: bool = False


class Member:
    """One task of a unit in its current run."""

    __slots__ = (
        "may_run_until_s",
        "refused",
        "released",
        "running",
        "start_sent_s",
        "stop_sent_s",
        "target_incarnation",
    )

    def __init__(self, target_incarnation: TargetIncarnation):
        self.target_incarnation = target_incarnation
        self.running = False
        self.released = False
        # Once its target is lost: until when a late start may have it running on the
        # next incarnation.
        self.may_run_until_s = float("-inf")
        self.refused = ""
        self.start_sent_s = float("-inf")
        self.stop_sent_s = float("-inf")


class Unit:
    """Tasks that are placed, started and stopped together.

    Parameters
    ----------
    job : str
        Id of the job.
    step : int
        Index of the step in its job.
    spec : StepSpec
    first_index : int
        Index of the unit's first task in its step.
    size : int
        Number of tasks.
    """

    __slots__ = (
        "avoidance_logged_run",
        "avoided_targets",
        "checkpoint",
        "checkpoint_stored_s",
        "checkpointed_s",
        "crashes",
        "done_s",
        "duration_s",
        "failed_runs",
        "first_index",
        "is_timed",
        "isolated",
        "job",
        "members",
        "phase",
        "progress",
        "run",
        "saved_percent",
        "size",
        "spec",
        "started_s",
        "step",
        "stop_reason",
        "waits_alone_since_s",
    )

    def __init__(
        self, job: str, step: int, spec: StepSpec, first_index: int, size: int
    ):
        self.job = job
        self.step = step
        self.spec = spec
        self.first_index = first_index
        self.size = size
        self.phase = Phase.WAITING
        self.run = 0
        self.failed_runs = 0
        self.checkpoint = ""
        self.members: list[Member] = []
        self.started_s = 0.0
        # Whether `started_s` is when the current run began. It is not for a run that an
        # earlier holder started.
        self.is_timed = True
        # Progress of the current run, once its target has listed it.
        self.progress: RunProgress | None = None
        # Measured duration of a run that does all of the task's work, converted to a
        # target of average speed.
        self.duration_s: float | None = None
        self.saved_percent = 0  # share of the work that the checkpoint contains
        self.checkpointed_s = 0.0
        self.checkpoint_stored_s = 0.0  # when its checkpoint was last stored in a row
        self.done_s = float("-inf")
        self.stop_reason = ""
        # Targets on which a run of the unit failed, or which crashed under it.
        self.avoided_targets: set[str] = set()
        self.crashes: tuple[Crash, ...] = ()
        # Whether its current run shares its targets with no other unit.
        self.isolated = False
        # The run after which it was last logged that the unit avoids failing targets.
        self.avoidance_logged_run = -1
        # Whether it was logged as waiting for an empty target.
        # Since when it has waited for a target of its own; None if it doesn't.
        self.waits_alone_since_s: float | None = None

    @property
    def accelerators(self) -> int:
        """Accelerators of all members."""
        return self.size * self.spec.need.accelerators

    @property
    def core_equivalents(self) -> float:
        """Cores of all members, where an accelerator counts as eight."""
        return self.size * core_equivalents(self.spec.need)

    @property
    def may_be_running(self) -> bool:
        """Whether a target may be running any of its members."""
        return self.phase in (Phase.COMMITTING, Phase.RUNNING, Phase.STOPPING)

    @property
    def agents(self) -> set[str]:
        """Addresses of the agents of the targets where the unit is placed."""
        return {member.target_incarnation.agent for member in self.members}

    def run_id(self, member_index: int) -> RunId:
        """Return the id of a member's current run."""
        return RunId(self.job, self.step, self.first_index + member_index, self.run)

    def tasks(self) -> set[tuple[str, int, int]]:
        """Return the job, step and index of each of the unit's tasks."""
        return {self.run_id(member_index)[:3] for member_index in range(self.size)}

    def measured_remaining_s(self, now_s: float) -> float | None:
        """Return how much longer the current run takes; None if not measured yet."""
        return self.progress.remaining_s(now_s) if self.progress else None

    def unsaved_s(self, now_s: float) -> float:
        """Return the seconds of work per task that stopping the unit now would lose."""
        if self.phase is not Phase.RUNNING:
            return 0.0
        return max(0.0, now_s - max(self.started_s, self.checkpointed_s))


class Job:
    """In-memory state of a job."""

    __slots__ = (
        "cancelled",
        "counts_as_waiting",
        "dirty",
        "ended_s",
        "has_begun",
        "held_back_steps",
        "is_share_logged",
        "measured_by_step",
        "reason",
        "record",
        "state",
        "units",
        "version",
    )

    def __init__(self, record: JobRecord):
        self.record = record
        self.state = "pending"
        self.reason = ""
        self.cancelled = False
        self.ended_s = 0.0
        self.version = 0
        self.dirty = False
        # Whether a target has run one of its tasks, as far as reports have shown.
        self.has_begun = False
        # Whether it counts as waiting although it was placed: it has not begun in time.
        self.counts_as_waiting = False
        self.measured_by_step: dict[int, MeasuredDurations] = {}
        self.held_back_steps: set[int] = set()  # logged as waiting for headroom
        # Whether a change of its place by the share of its workspace has been logged.
        self.is_share_logged = False
        self.units: list[Unit] = []
        for step_index, step in enumerate(record.steps):
            if step.gang:
                self.units.append(Unit(record.job, step_index, step, 0, step.count))
            else:
                self.units += [
                    Unit(record.job, step_index, step, task_index, 1)
                    for task_index in range(step.count)
                ]

    @property
    def ended(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in ENDED_STATES

    def done_steps(self) -> set[int]:
        """Return the indices of the steps whose tasks are all done."""
        open_steps = {u.step for u in self.units if u.phase is not Phase.DONE}
        return set(range(len(self.record.steps))) - open_steps

    def unit_of(self, step: int, index: int) -> Unit | None:
        """Return the unit that contains a task, or None if there is none."""
        for unit in self.units:
            if (
                unit.step == step
                and unit.first_index <= index < unit.first_index + unit.size
            ):
                return unit
        return None


ENDED_STATES = frozenset({"completed", "failed", "cancelled"})
