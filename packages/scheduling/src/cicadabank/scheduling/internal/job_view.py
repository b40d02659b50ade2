"""What operators can see of a job: why it waits, runs or ended, and its forecast."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import NamedTuple

from cicadabank.scheduling.internal import crashes, valuation
from cicadabank.scheduling.internal.planner import usable_targets
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import max_tasks
from cicadabank.scheduling.internal.units import Job, Phase, Unit

MAX_STEPS = 200
MAX_UNITS = 100
MAX_TARGETS_OF_UNIT = 16
# Steps for which the targets with room are counted, since each count visits all.
MAX_COUNTED_STEPS = 5


class StepView(NamedTuple):
    """A step; `units` counts its units by phase."""

    step: int
    count: int
    gang: bool
    units: dict[str, int]
    waits_for_steps: list[int]
    expected_s: float


class UnitView(NamedTuple):
    """A unit that is not done.

    Attributes
    ----------
    first : int
        Index of its first task in the step.
    why : str
        Why it is in its phase.
    remaining_s : float
        Expected remaining duration once it runs.
    """

    step: int
    first: int
    size: int
    phase: str
    why: str
    run: int
    failed_runs: int
    crashes: int
    alone: bool
    targets: list[str]
    remaining_s: float


class JobView(NamedTuple):
    """What operators can see of a job.

    Attributes
    ----------
    age_s : float
        Time from its acceptance until now, or until it ended.
    on_time_s : float
        Time from its acceptance within which it is on time.
    slack_s : float or None
        How long it can still wait without being late; None if it has ended.
    forecast_end_s : float or None
        Expected time until it ends if each unit starts as soon as its step is ready;
        None if it has ended.
    units : list of UnitView
        The first units that are not done.
    """

    job: str
    queue: str
    workspace: str
    priority: int
    state: str
    reason: str
    age_s: float
    on_time_s: float
    slack_s: float | None
    forecast_end_s: float | None
    steps: list[StepView]
    open_units: int
    units: list[UnitView]


def job_view(state: CellState, job_id: str) -> JobView | None:
    """Return what operators can see of a job; None if the holder doesn't know it."""
    job = state.jobs.get(job_id)
    if job is None:
        return None
    record = job.record
    now_s = job.ended_s if job.ended else state.store_now_s
    open_units = [unit for unit in job.units if unit.phase is not Phase.DONE]
    return JobView(
        job=record.job,
        queue=record.queue,
        workspace=record.workspace,
        priority=state.queue_of(record).priority,
        state="waiting" if job.counts_as_waiting and not job.ended else job.state,
        reason=job.reason or _cancelled(job),
        age_s=round(now_s - record.accepted_s, 3),
        on_time_s=round(valuation.relative_deadline_s(state, job), 3),
        slack_s=None if job.ended else round(valuation.slack_s(state, job), 3),
        forecast_end_s=None if job.ended else round(forecast_end_s(state, job), 3),
        steps=_steps(state, job),
        open_units=len(open_units),
        units=_units(state, job, open_units[:MAX_UNITS]),
    )


def forecast_end_s(state: CellState, job: Job) -> float:
    """Return the expected time until a job ends if nothing delays its units."""
    longest: dict[int, float] = {}
    waiting_steps = set()
    for unit in job.units:
        if unit.phase is not Phase.DONE:
            remaining_s = state.remaining_s(unit)
            longest[unit.step] = max(longest.get(unit.step, 0.0), remaining_s)
            if unit.phase is Phase.WAITING:
                waiting_steps.add(unit.step)

    def remaining_step_s(index: int) -> float:
        step = job.record.steps[index]
        waves = valuation.wave_count(state, step) if index in waiting_steps else 1
        return longest.get(index, 0.0) * waves

    return valuation.longest_path_s(job, remaining_step_s)


def _cancelled(job: Job) -> str:
    return "its caller cancelled it" if job.cancelled else ""


def _steps(state: CellState, job: Job) -> list[StepView]:
    phases: dict[int, Counter] = {}
    for unit in job.units:
        phases.setdefault(unit.step, Counter())[unit.phase.value] += 1
    done = job.done_steps()
    return [
        StepView(
            step=index,
            count=step.count,
            gang=step.gang,
            units=dict(phases.get(index, {})),
            waits_for_steps=[after for after in step.after if after not in done],
            expected_s=round(state.expected_step_s(job, index), 3),
        )
        for index, step in islice(enumerate(job.record.steps), MAX_STEPS)
    ]


def _units(state: CellState, job: Job, units: list[Unit]) -> list[UnitView]:
    reasons = _WaitReasons(state, job)
    return [
        UnitView(
            step=unit.step,
            first=unit.first_index,
            size=unit.size,
            phase=unit.phase.value,
            why=_why(reasons, unit),
            run=unit.run,
            failed_runs=unit.failed_runs,
            crashes=len(unit.crashes),
            alone=unit.isolated and bool(unit.members),
            targets=[
                member.target_incarnation.target
                for member in unit.members[:MAX_TARGETS_OF_UNIT]
            ],
            remaining_s=round(state.remaining_s(unit), 3),
        )
        for unit in units
    ]


def _why(reasons: _WaitReasons, unit: Unit) -> str:
    if unit.phase is Phase.WAITING:
        return reasons.reason(unit)
    if unit.phase is Phase.CLAIMING:
        return "waits until the units that it preempts have stopped"
    if unit.phase is Phase.COMMITTING:
        return "its start is being stored"
    if unit.phase is Phase.STOPPING:
        return f"is being stopped: {unit.stop_reason}"
    return "runs"


class _WaitReasons:
    """Why the units of a job wait."""

    def __init__(self, state: CellState, job: Job):
        self._state = state
        self._job = job
        self._done = job.done_steps()
        self._unexpected = state.tasks_with_unexpected_runs()
        self._usable = usable_targets(state)
        # By step: how many of its tasks the usable targets can hold, and have room for.
        self._counts: dict[int, tuple[int, int]] = {}

    def reason(self, unit: Unit) -> str:
        """Return why a waiting unit waits."""
        state, job = self._state, self._job
        if not state.loaded:
            return "the holder is taking over the cell"
        if state.stopping:
            return "the entry is stopping"
        if job.cancelled or job.reason:
            return "the job is ending"
        missing = [step for step in unit.spec.after if step not in self._done]
        if missing:
            return f"waits for the steps {', '.join(map(str, missing[:MAX_STEPS]))}"
        if not self._unexpected.isdisjoint(unit.tasks()):
            return "a target still has an earlier run of it"
        if unit.step in job.held_back_steps:
            return "held back: capacity is kept free for urgent jobs"
        if crashes.is_suspect(unit):
            return "waits for an empty target: a target has crashed under it"
        return self._lack(unit)

    def _lack(self, unit: Unit) -> str:
        if unit.step not in self._counts:
            if len(self._counts) >= MAX_COUNTED_STEPS:
                return "waits for its turn or for room"
            self._counts[unit.step] = self._count(unit)
        held, room = self._counts[unit.step]
        if held < unit.size:
            return f"needs room for {unit.size}; the usable targets can hold {held}"
        if room < unit.size:
            return (
                f"needs room for {unit.size}; the usable targets have room for {room}"
            )
        return "there is room; waits for its turn, or for better targets"

    def _count(self, unit: Unit) -> tuple[int, int]:
        spec = unit.spec
        held = room = 0
        for target in self._usable:
            if spec.label and spec.label not in target.labels:
                continue
            limit = spec.per_target or spec.count
            held += min(limit, max_tasks(spec.need, target.capacity))
            room += min(limit, max_tasks(spec.need, target.free))
        return held, room
