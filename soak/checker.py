"""Checks invariants on what callers have submitted and what targets have run."""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from typing import NamedTuple

from cicadabank.standin import TargetEvent, TaskProfile

# Bounds of the users' specification; they hold while there is no fault.
CANCEL_BOUND_S = 3.0
DRAIN_BOUND_S = 5.0
VISIBLE_BOUND_S = 3.0
# Failed runs of a task after which its job fails.
MAX_ATTEMPTS = 4
# Targets that crash under a task before its job may fail, and before its further starts
# are limited.
CRASHES_TO_FAIL = 2
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_LIMIT = 2
# Time after a fault for which the bounds do not hold: a lease of 8 s must expire, with
# clock drift, and a report must follow.
DISTURBANCE_S = 10.0


class Step(NamedTuple):
    """A step: the submitted document, and the behaviour of its runs on a target."""

    document: dict
    profile: TaskProfile


class Violation(NamedTuple):
    """One violation of an invariant."""

    invariant: str
    detail: str
    at_s: float


class Job:
    """A job and what its caller knows of it."""

    def __init__(self, job: str, spec: str, steps: list[Step]):
        self.job = job
        self.spec = spec
        self.steps = steps
        self.accepted_s: float | None = None
        self.refused = False
        self.cancelled_s: float | None = None
        self.is_void = False  # cancelled before it was stored
        self.state = ""

    @property
    def is_deadly(self) -> bool:
        """Whether a task of the job crashes its targets."""
        return any(step.profile.crashes_after_s < float("inf") for step in self.steps)

    def body(self) -> dict:
        """Return the body of the job's submission."""
        return {"spec": self.spec, "steps": [step.document for step in self.steps]}

    def tasks(self, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        count = self.steps[step].document["count"]
        return [f"{self.job}.0.{step}.{index}" for index in range(count)]


class ActiveRun(NamedTuple):
    """A run that has started and has not ended."""

    target: str
    incarnation: int
    run: int


class InvariantChecker:
    """Checks the invariants on each event; all methods are thread-safe.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain of each target.
    capacity : tuple of int
        Capacity of each target.
    """

    def __init__(self, domains: dict[str, str], capacity: tuple[int, int, int]):
        self.violations: list[Violation] = []
        self.jobs: dict[str, Job] = {}
        self.drain_started_s: dict[str, float] = {}
        self.last_disturbance_s = float("-inf")  # start or end of the latest fault
        self.last_crash_s = float("-inf")  # of a target, through one of its tasks
        self.end_counts: dict[str, int] = defaultdict(int)
        self._domains = domains
        self._capacity = capacity
        self._lock = threading.RLock()
        self._active_runs: dict[str, ActiveRun] = {}
        # Needs of the active runs, by target, and by task and run number.
        self._needs_by_target: dict[
            str, dict[tuple[str, int], tuple[int, int, int]]
        ] = defaultdict(dict)
        self._completed_units: set[str] = set()
        # Ends of successful runs, as (target, incarnation, sequence), by unit. An end
        # that was not acknowledged before its target's restart, or before the target's
        # lease expired, is removed; the task may then run again.
        self._done_ends: dict[str, set[tuple[str, int, int]]] = defaultdict(set)
        self._acknowledged: dict[tuple[str, int], int] = defaultdict(int)
        # Numbers of the failed runs, by unit.
        self._failed_runs: dict[str, set[int]] = defaultdict(set)
        # Targets that have crashed under each task, and its starts after the limit.
        self._crashes: dict[str, int] = defaultdict(int)
        self._starts_after_limit: dict[str, int] = defaultdict(int)
        # Tasks of done units that were started again, each with an earlier end. It is a
        # violation if that end is acknowledged, at that time or later.
        self._restarts_before_acknowledgement: list[
            tuple[str, tuple[str, int, int]]
        ] = []

    def mark_disturbance(self) -> None:
        """Record that a fault begins or ends now."""
        self.last_disturbance_s = time.monotonic()

    def is_undisturbed(self) -> bool:
        """Whether the last fault or crash is long enough ago for the bounds to hold."""
        last_s = max(self.last_disturbance_s, self.last_crash_s)
        return time.monotonic() - last_s > DISTURBANCE_S

    def report_violation(self, invariant: str, detail: str) -> None:
        """Record the violation of an invariant."""
        with self._lock:
            self.violations.append(Violation(invariant, detail, time.monotonic()))

    def record_submission(self, job: Job) -> None:
        """Record a job that a caller is about to submit."""
        with self._lock:
            self.jobs[job.job] = job

    def profile_of(self, task: str, spec: str) -> TaskProfile:
        """Return how the runs of a task behave, when a target is to start one."""
        name, _, step, _ = task.split(".")
        with self._lock:
            job = self.jobs.get(name)
            if job is None or int(step) >= len(job.steps):
                self.report_violation("only submitted tasks are started", task)
                return TaskProfile(task, 0.1, (0, 0, 0))
            if job.spec != spec:
                self.report_violation("a start carries its job's payload", task)
            return job.steps[int(step)].profile

    def on_event(self, event: TargetEvent) -> None:
        """Record and check the start or the end of a run on a target."""
        with self._lock:
            if event.kind == "started":
                self._on_start(event)
            else:
                self._on_end(event)

    def _on_start(self, event: TargetEvent) -> None:
        name, _, step, _ = event.task.split(".")
        job = self.jobs.get(name)
        if job is None:
            return
        earlier = self._active_runs.get(event.task)
        if earlier is not None:
            self.report_violation(
                "a task has at most one active run",
                f"{event.task}: {earlier}, then {event}",
            )
        for end in self._done_ends[self._unit(event.task)]:
            self._restarts_before_acknowledgement.append((event.task, end))
            if end[2] <= self._acknowledged[end[:2]]:
                self.on_acknowledged(*end)
        if job.refused:
            self.report_violation("a refused job never runs", event.task)
        if job.is_void:
            self.report_violation(
                "a job that was cancelled before it was stored never runs", event.task
            )
        self._check_order(job, int(step), event)
        self._check_times(job, event)
        self._check_crashes(job, event)
        self._active_runs[event.task] = ActiveRun(
            event.target, event.incarnation, event.run
        )
        needs = self._needs_by_target[event.target]
        needs[event.task, event.run] = job.steps[int(step)].profile.need
        for kind, limit in enumerate(self._capacity):
            if sum(need[kind] for need in needs.values()) > limit:
                self.report_violation("a target never exceeds its capacity", str(event))

    def _check_order(self, job: Job, step: int, event: TargetEvent) -> None:
        for earlier in job.steps[step].document.get("after", ()):
            if not self._completed_units.issuperset(self._units(job, earlier)):
                self.report_violation(
                    "a step starts after the steps that it depends on", event.task
                )

    def _check_times(self, job: Job, event: TargetEvent) -> None:
        now_s = time.monotonic()
        if not self.is_undisturbed():
            return
        if job.cancelled_s is not None and now_s - job.cancelled_s > CANCEL_BOUND_S:
            self.report_violation("a cancelled job starts nothing", event.task)
        drain_started_at_s = self.drain_started_s.get(self._domains[event.target])
        if (
            drain_started_at_s is not None
            and now_s - drain_started_at_s > DRAIN_BOUND_S
        ):
            self.report_violation("nothing starts in an evacuated domain", str(event))

    def _check_crashes(self, job: Job, event: TargetEvent) -> None:
        # A crash is no disturbance here: the processes are in touch with each other.
        undisturbed = time.monotonic() - self.last_disturbance_s > DISTURBANCE_S
        limited = self._crashes[event.task] >= CRASHES_BEFORE_LIMIT
        if not (job.is_deadly and limited and undisturbed):
            return
        self._starts_after_limit[event.task] += 1
        if self._starts_after_limit[event.task] > MAX_STARTS_AFTER_LIMIT:
            self.report_violation("a deadly task is given up", str(event))

    def _on_end(self, event: TargetEvent) -> None:
        self.end_counts[event.kind] += 1
        self._needs_by_target[event.target].pop((event.task, event.run), None)
        run = ActiveRun(event.target, event.incarnation, event.run)
        if self._active_runs.get(event.task) == run:
            del self._active_runs[event.task]
        if event.kind == "done":
            end = (event.target, event.incarnation, event.sequence)
            self._done_ends[self._unit(event.task)].add(end)
            self._completed_units.add(self._unit(event.task))
        elif event.kind == "failed":
            self._failed_runs[self._unit(event.task)].add(event.run)
        elif event.kind == "crashed":
            self._crashes[event.task] += 1
            self.last_crash_s = time.monotonic()
            self.on_ends_void(event.target, event.incarnation)
        elif event.kind == "alone" and self.is_undisturbed():
            self.report_violation("the members of a gang run together", str(event))

    def _unit(self, task: str) -> str:
        """Return the unit of a task: its step for a gang, otherwise the task."""
        name, _, step, _ = task.split(".")
        profile = self.jobs[name].steps[int(step)].profile
        return profile.step if profile.gang_size > 1 else task

    def _units(self, job: Job, step: int) -> list[str]:
        """Return the units of a step."""
        return sorted({self._unit(task) for task in job.tasks(step)})

    def on_acknowledged(self, target: str, incarnation: int, sequence: int) -> None:
        """Record up to which sequence a target's ended runs are acknowledged."""
        with self._lock:
            key = (target, incarnation)
            self._acknowledged[key] = max(self._acknowledged[key], sequence)
            for task, end in list(self._restarts_before_acknowledgement):
                if end[:2] == key and end[2] <= sequence:
                    self._restarts_before_acknowledgement.remove((task, end))
                    self.report_violation("a task that is done never runs again", task)

    def on_ends_void(self, target: str, incarnation: int) -> None:
        """Record that an incarnation was lost, or that its lease has expired.

        Tasks whose runs have ended there may run again from now on, unless the ends are
        acknowledged.
        """
        with self._lock:
            acknowledged = self._acknowledged[(target, incarnation)]
            for ends in self._done_ends.values():
                void_ends = {
                    end
                    for end in ends
                    if end[:2] == (target, incarnation) and end[2] > acknowledged
                }
                ends -= void_ends

    def on_state_shown(self, job: Job, status: int, state: str) -> None:
        """Record and check the state that a caller was told of a job."""
        with self._lock:
            if status == 410 and job.accepted_s is not None:
                if time.monotonic() - job.accepted_s > VISIBLE_BOUND_S:
                    self.report_violation("an accepted job is known", job.job)
            if status != 200:
                return
            job.state = state
            units = [
                unit for n in range(len(job.steps)) for unit in self._units(job, n)
            ]
            unfinished = [unit for unit in units if unit not in self._completed_units]
            if state == "failed" and not self._may_fail(job, units):
                self.report_violation(
                    "a job fails only after all its attempts", job.job
                )
            if state == "completed" and unfinished:
                self.report_violation(
                    "all tasks of a completed job are done", f"{unfinished}"
                )

    def on_repeated(self, job: Job, status: int, state: str) -> None:
        """Check the answer to a submission that repeats that of a cancelled job."""
        if status == 200 and state != "cancelled":
            self.report_violation(
                "a cancelled job that is submitted again stays cancelled",
                f"{job.job} is {state}",
            )

    def _may_fail(self, job: Job, units: list[str]) -> bool:
        """Whether a unit has used up its attempts, or a deadly task was given up.

        A sound job must not fail because of the crashes that its tasks were lost in.
        """
        tasks = [task for step in range(len(job.steps)) for task in job.tasks(step)]
        most_crashes = max(self._crashes[task] for task in tasks)
        most_failures = max(len(self._failed_runs[unit]) for unit in units)
        given_up = job.is_deadly and most_crashes >= CRASHES_TO_FAIL
        return given_up or most_failures >= MAX_ATTEMPTS

    def unfinished_jobs(self) -> list[Job]:
        """Return the accepted jobs that have no final state yet."""
        with self._lock:
            return [
                job
                for job in self.jobs.values()
                if job.accepted_s is not None
                and job.state not in ("completed", "cancelled", "failed")
            ]
