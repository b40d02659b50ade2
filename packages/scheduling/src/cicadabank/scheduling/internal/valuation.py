"""Value, deadline and slack of jobs, and the cost of wasted work."""

from __future__ import annotations

import math
from collections.abc import Callable

from cicadabank.scheduling.internal.jobs import StepSpec
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.units import Job, Phase

# Value of a job that ends on time, by the priority of its queue.
VALUE_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}
DEFAULT_VALUE = 1.0
# Share of its value that a job keeps if it ends late.
LATE_VALUE_SHARE = 0.25
# A job's value is scaled by this share plus a part proportional to its work relative to
# the mean of its queue, up to a maximum factor.
BASE_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0
# Cost of a wasted core-second, relative to the mean value of a useful one. A ratio fits
# all installations: it varies between them only from 1.33 to 1.54, whereas the mean
# value of a core-second varies by a factor of three.
WASTE_COST_RATIO = 1.45
# Prior of the mean job value per core-second, and its weight: it counts as much as
# observed jobs with this total value, which is a few minutes of typical traffic.
PRIOR_VALUE_PER_CORE_S = 0.0025
PRIOR_TOTAL_VALUE = 40.0
# A step with more tasks than this share of the number that fits into the cell at a time
# is expected to run in several waves.
WAVE_SHARE = 0.25
# Time constant with which a job's ATC index falls as its slack grows; about the mean
# time between two starts.
SLACK_DECAY_S = 8.0


def relative_deadline_s(state: CellState, job: Job) -> float:
    """Return the time after its acceptance within which a job is on time."""
    queue = state.queue_of(job.record)
    return queue.stretch * critical_path_s(state, job) + queue.latency_s


def critical_path_s(
    state: CellState,
    job: Job,
    remaining_only: bool = False,
    at_placed_speed: bool = False,
) -> float:
    """Return the expected duration of a job's critical path, in seconds.

    Parameters
    ----------
    state : CellState
    job : Job
    remaining_only : bool, default=False
        Whether to skip steps that are done.
    at_placed_speed : bool, default=False
        Whether steps take as long as on the slowest target where one of their units is
        placed now, instead of on one of average speed.
    """
    slowness = _slowness_by_step(state, job) if at_placed_speed else {}
    done = job.done_steps() if remaining_only else set()

    def remaining_step_s(index: int) -> float:
        if index in done:
            return 0.0
        step_s = state.expected_step_s(job, index) * slowness.get(index, 1.0)
        return step_s * wave_count(state, job.record.steps[index])

    return longest_path_s(job, remaining_step_s)


def longest_path_s(job: Job, step_s: Callable[[int], float]) -> float:
    """Return the longest path through a job's steps.

    Parameters
    ----------
    job : Job
    step_s : callable
        Returns the duration of a step by its index.
    """
    ends: list[float] = []
    for index, step in enumerate(job.record.steps):
        before = max((ends[after] for after in step.after), default=0.0)
        ends.append(before + step_s(index))
    return max(ends, default=0.0)


def _slowness_by_step(state: CellState, job: Job) -> dict[int, float]:
    """Return the slowness of the slowest target of each step that is placed now."""
    slowness: dict[int, float] = {}
    for unit in job.units:
        if unit.members and unit.phase is not Phase.DONE:
            slowness[unit.step] = max(
                slowness.get(unit.step, 0.0), state.slowness(unit)
            )
    return slowness


def wave_count(state: CellState, step: StepSpec) -> int:
    """Return the expected number of successive waves of a step's tasks."""
    if step.gang or not state.targets:
        return 1
    max_running = state.max_running(step.need)
    return max(1, math.ceil(step.count / max(1.0, max_running * WAVE_SHARE)))


def slack_s(state: CellState, job: Job) -> float:
    """Return how long a job can still wait without being late; negative if it is.

    While placement by speeds applies, this includes the speeds of the targets on which
    it runs.
    """
    return time_left_s(state, job) - critical_path_s(
        state, job, True, at_placed_speed=state.speeds.levels is not None
    )


def time_left_s(state: CellState, job: Job) -> float:
    """Return the time until a job's deadline; negative once it has passed."""
    return relative_deadline_s(state, job) - age_s(state, job)


def age_s(state: CellState, job: Job) -> float:
    """Return the time since a job was accepted, in seconds."""
    return state.store_now_s - job.record.accepted_s


def atc_index(state: CellState, job: Job) -> float:
    """Return a job's priority index by the apparent tardiness cost (ATC) rule.

    The index is the job's value per core-second of work. It falls exponentially as the
    remaining slack grows.
    """
    slack = slack_s(state, job)
    value = job_value(state, job) * (LATE_VALUE_SHARE if slack < 0 else 1.0)
    cost = max(1.0, work_core_s(state, job))
    return value / cost * math.exp(-max(0.0, slack) / SLACK_DECAY_S)


def work_core_s(state: CellState, job: Job) -> float:
    """Return the expected work of a job; an accelerator counts as eight cores."""
    return sum(
        unit.core_equivalents * state.expected_step_s(job, unit.step)
        for unit in job.units
    )


def waste_cost_per_core_s(state: CellState) -> float:
    """Return the cost of a wasted core-second, in units of job value.

    Estimated from the value and work of the jobs seen so far, combined with a prior.
    """
    value, work = PRIOR_TOTAL_VALUE, PRIOR_TOTAL_VALUE / PRIOR_VALUE_PER_CORE_S
    for name, (count, mean) in state.mean_work.items():
        queue = state.queues.get(name)
        priority = queue.priority if queue else len(VALUE_BY_PRIORITY)
        value += count * VALUE_BY_PRIORITY.get(priority, DEFAULT_VALUE)
        work += count * mean
    return WASTE_COST_RATIO * value / work


def job_value(state: CellState, job: Job) -> float:
    """Return the value of a job that ends on time."""
    queue = state.queue_of(job.record)
    _, mean = state.mean_work.get(job.record.queue, (0, 0.0))
    size = work_core_s(state, job) / mean if mean > 0 else 1.0
    share = BASE_VALUE_SHARE + (1.0 - BASE_VALUE_SHARE) * size
    value = VALUE_BY_PRIORITY.get(queue.priority, DEFAULT_VALUE)
    return value * min(MAX_VALUE_FACTOR, share)
