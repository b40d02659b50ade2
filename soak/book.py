"""What callers have sent and targets have run, and which promises that breaks."""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from typing import NamedTuple

from cicadabank.standin import TargetEvent, TaskFacts

# Bounds of the users' pages, for times without a fault.
CANCEL_S = 3.0
EVACUATE_S = 5.0
VISIBLE_S = 3.0
# Failed runs of a task after which its job fails.
ATTEMPTS = 4
# A fault's traces: a lease of 8 s, its drift, and a report.
CALM_AFTER_S = 10.0


class Step(NamedTuple):
    """A step of a job, in the words of the platform's job calls."""

    document: dict
    facts: TaskFacts


class Broken(NamedTuple):
    """A promise that was broken."""

    promise: str
    detail: str
    at_s: float


class Job:
    """A job as its caller knows it."""

    def __init__(self, job: str, spec: str, steps: list[Step]):
        self.job = job
        self.spec = spec
        self.steps = steps
        self.accepted_s: float | None = None
        self.refused = False
        self.cancelled_s: float | None = None
        self.state = ""

    def tasks(self, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        count = self.steps[step].document["count"]
        return [f"{self.job}.0.{step}.{index}" for index in range(count)]


class Run(NamedTuple):
    """A run that is under way."""

    target: str
    life: int
    run: int


class Book:
    """Checks the promises as events come in; all methods are thread-safe.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain of each target.
    """

    def __init__(self, domains: dict[str, str], capacity: tuple[int, int, int]):
        self.broken: list[Broken] = []
        self.jobs: dict[str, Job] = {}
        self.evacuated_s: dict[str, float] = {}
        self.disturbed_s = float("-inf")  # when the last fault began or ended
        self.ends: dict[str, int] = defaultdict(int)
        self._domains = domains
        self._capacity = capacity
        self._lock = threading.RLock()
        self._running: dict[str, Run] = {}
        self._at: dict[str, dict[str, tuple[int, int, int]]] = defaultdict(dict)
        # Tasks and gangs that have ended done, and the ends that still count: one that
        # was not noted is void once its target has lost power.
        self._worked: set[str] = set()
        self._done: dict[str, set[tuple[str, int, int]]] = defaultdict(set)
        self._noted: dict[tuple[str, int], int] = defaultdict(int)
        self._failed: dict[str, set[int]] = defaultdict(set)  # runs, by task or gang
        self._doubtful: list[tuple[str, tuple[str, int, int]]] = []

    def disturb(self) -> None:
        """Take in that a fault begins or ends."""
        self.disturbed_s = time.monotonic()

    def calm(self) -> bool:
        """Whether bounds in time hold."""
        return time.monotonic() - self.disturbed_s > CALM_AFTER_S

    def breaks(self, promise: str, detail: str) -> None:
        """Note that a promise was broken."""
        with self._lock:
            self.broken.append(Broken(promise, detail, time.monotonic()))

    def submitted(self, job: Job) -> None:
        """Take in a job that a caller is about to hand in."""
        with self._lock:
            self.jobs[job.job] = job

    def facts(self, task: str, spec: str) -> TaskFacts:
        """Return what a target has to know of a task that it is told to start."""
        name, _, step, _ = task.split(".")
        with self._lock:
            job = self.jobs.get(name)
            if job is None or int(step) >= len(job.steps):
                self.breaks("only what callers sent is started", task)
                return TaskFacts(task, 0.1, (0, 0, 0))
            if job.spec != spec:
                self.breaks("a start carries its job's payload", task)
            return job.steps[int(step)].facts

    def seen(self, event: TargetEvent) -> None:
        """Take in what has happened to a run on a target."""
        with self._lock:
            if event.kind == "started":
                self._started(event)
            else:
                self._ended(event)

    def _started(self, event: TargetEvent) -> None:
        name, _, step, _ = event.task.split(".")
        job = self.jobs.get(name)
        if job is None:
            return
        before = self._running.get(event.task)
        if before is not None:
            self.breaks(
                "no two runs of a task at once", f"{event.task}: {before}, then {event}"
            )
        for end in self._done[self._unit(event.task)]:
            self._doubtful.append((event.task, end))
            if end[2] <= self._noted[end[:2]]:
                self.noted(*end)
        if job.refused:
            self.breaks("a refused job never runs", event.task)
        self._check_order(job, int(step), event)
        self._check_times(job, event)
        self._running[event.task] = Run(event.target, event.life, event.run)
        here = self._at[event.target]
        here[event.task] = job.steps[int(step)].facts.need
        for kind, limit in enumerate(self._capacity):
            if sum(need[kind] for need in here.values()) > limit:
                self.breaks("a target is never over its capacity", str(event))

    def _check_order(self, job: Job, step: int, event: TargetEvent) -> None:
        for before in job.steps[step].document.get("after", ()):
            if not self._worked.issuperset(self._units(job, before)):
                self.breaks("steps run in order", event.task)

    def _check_times(self, job: Job, event: TargetEvent) -> None:
        now_s = time.monotonic()
        if not self.calm():
            return
        if job.cancelled_s is not None and now_s - job.cancelled_s > CANCEL_S:
            self.breaks("a cancelled job starts nothing", event.task)
        out_s = self.evacuated_s.get(self._domains[event.target])
        if out_s is not None and now_s - out_s > EVACUATE_S:
            self.breaks("nothing starts in an evacuated domain", str(event))

    def _ended(self, event: TargetEvent) -> None:
        self.ends[event.kind] += 1
        self._at[event.target].pop(event.task, None)
        run = Run(event.target, event.life, event.run)
        if self._running.get(event.task) == run:
            del self._running[event.task]
        if event.kind == "done":
            end = (event.target, event.life, event.sequence)
            self._done[self._unit(event.task)].add(end)
            self._worked.add(self._unit(event.task))
        elif event.kind == "failed":
            self._failed[self._unit(event.task)].add(event.run)
        elif event.kind == "alone" and self.calm():
            self.breaks("gangs run whole", str(event))

    def _unit(self, task: str) -> str:
        """Return what fails together: a gang's step, or a single task."""
        name, _, step, _ = task.split(".")
        facts = self.jobs[name].steps[int(step)].facts
        return facts.step if facts.gang_size > 1 else task

    def _units(self, job: Job, step: int) -> list[str]:
        """Return the units of a step."""
        return sorted({self._unit(task) for task in job.tasks(step)})

    def noted(self, target: str, life: int, sequence: int) -> None:
        """Take in up to which sequence a target's ends are noted."""
        with self._lock:
            key = (target, life)
            self._noted[key] = max(self._noted[key], sequence)
            for task, end in list(self._doubtful):
                if end[:2] == key and end[2] <= sequence:
                    self._doubtful.remove((task, end))
                    self.breaks("a task that is done never runs again", task)

    def life_over(self, target: str, life: int) -> None:
        """Take in that a target has begun a new life: ends not noted are void."""
        with self._lock:
            noted = self._noted[(target, life)]
            for ends in self._done.values():
                void = {e for e in ends if e[:2] == (target, life) and e[2] > noted}
                ends -= void

    def shown(self, job: Job, status: int, state: str) -> None:
        """Take in what a caller was told of a job."""
        with self._lock:
            if status == 410 and job.accepted_s is not None:
                if time.monotonic() - job.accepted_s > VISIBLE_S:
                    self.breaks("an accepted job is known", job.job)
            if status != 200:
                return
            job.state = state
            units = [u for n in range(len(job.steps)) for u in self._units(job, n)]
            undone = [unit for unit in units if unit not in self._worked]
            worst = max(len(self._failed[unit]) for unit in units)
            if state == "failed" and worst < ATTEMPTS:
                self.breaks("a job fails after its attempts only", job.job)
            if state == "completed" and undone:
                self.breaks("completed means that all is done", f"{undone}")

    def settled(self) -> list[Job]:
        """Return accepted jobs that have no final state yet."""
        with self._lock:
            return [
                job
                for job in self.jobs.values()
                if job.accepted_s is not None
                and job.state not in ("completed", "cancelled", "failed")
            ]
