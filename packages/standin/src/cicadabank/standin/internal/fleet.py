"""Targets in memory: leases, gangs, checkpoints, and how each may misbehave."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

STOP_S = 0.1
SAVE_S = 0.5
GANG_TIMEOUT_S = 4.0
TICK_S = 0.02


class TaskFacts(NamedTuple):
    """What a target knows of a task before it starts.

    Attributes
    ----------
    step : str
        Names the step; the members of a gang share it.
    gang_size : int
        Tasks that work together; 1 if each works alone.
    fails_after_s : float
        Work after which a run of it fails; infinite if it is sound.
    """

    step: str
    work_s: float
    need: tuple[int, int, int]
    gang_size: int = 1
    saves: bool = False
    fails_after_s: float = float("inf")


class TargetEvent(NamedTuple):
    """Something that has happened to a run on a target."""

    kind: str  # started, done, failed, stopped, lapsed, broken, alone, or lost
    target: str
    life: int
    task: str
    run: int
    sequence: int  # of an end in the target's list; 0 for others
    at_s: float


class Work:
    """A run on a target."""

    def __init__(self, facts: TaskFacts, task: str, run: int, saved_s: float):
        self.facts = facts
        self.task = task
        self.run = run
        self.worked_s = saved_s
        self.saved_s = saved_s
        self.since_s = time.monotonic()
        self.stops_s = float("inf")

    @property
    def saved(self) -> str:
        """The checkpoint; empty if there is none."""
        return f"{self.saved_s:.3f}" if self.saved_s else ""


class FleetTarget:
    """One target of a fleet; see `TargetFleet`.

    Attributes
    ----------
    fails_all, hangs, unhealthy, deaf : bool
        Runs fail at once, runs stand still, starts are turned away, starts are carried
        out and get no answer.
    speed : float
        Work done in each second.
    clock_rate : float
        Speed of the target's own clock.
    """

    def __init__(self, fleet: TargetFleet, name: str, capacity: tuple[int, int, int]):
        self.fleet = fleet
        self.name = name
        self.capacity = capacity
        self.clock_rate = 1.0
        self.started: list[tuple[str, int]] = []  # in all lives
        self.life = 0
        self.reborn()

    def reborn(self) -> None:
        """Start a new life; whatever ran is lost."""
        with self.fleet.changed:
            for work in list(getattr(self, "work", {}).values()):
                self.fleet.tell("lost", self, work)
            self.life += 1
            self.born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            self.work: dict[tuple[str, int], Work] = {}
            self.ended: list[tuple[int, str, int, str, str]] = []
            self.noted = 0
            self.draining = False
            self.fails_all = self.hangs = self.unhealthy = self.deaf = False
            self.speed = 1.0
            self._fence = 0
            self._until_s = 0.0
            self._closed: dict[str, int] = {}
            self._sequences = itertools.count(1)

    def clock_s(self) -> float:
        """Return the time on the target's own clock."""
        return (time.monotonic() - self._born_s) * self.clock_rate

    def start(
        self, task: str, run: int, spec: str, until_s: float, fence: int, saved: str
    ) -> str:
        """Start a run; return why not, or an empty string."""
        with self.fleet.changed:
            if fence < self._fence:
                return "fence"
            self._fence = fence
            if (task, run) in self.work:
                return ""
            if run <= self._closed.get(task, 0):
                return "old"
            if until_s <= self.clock_s():
                return "late"
            facts = self.fleet.facts(task, spec)
            self._until_s = max(self._until_s, until_s)
            work = Work(facts, task, run, float(saved or 0.0))
            self.work[(task, run)] = work
            self.started.append((task, run))
            self.fleet.tell("started", self, work)
            return ""

    def stop(self, task: str, run: int, fence: int) -> str:
        """Stop a run; return why not, or an empty string."""
        with self.fleet.changed:
            if fence < self._fence:
                return "fence"
            self._fence = fence
            self._closed[task] = max(self._closed.get(task, 0), run)
            work = self.work.get((task, run))
            if work is not None:
                work.stops_s = min(work.stops_s, time.monotonic() + STOP_S)
            return ""

    def hold(
        self, fence: int, seen: int, until_s: float | None, wait_s: float
    ) -> tuple[list[Work], list[tuple[int, str, int, str, str]]] | None:
        """Prolong the lease; return what runs and has ended, or None if refused."""
        with self.fleet.changed:
            if fence < self._fence:
                return None
            self._fence = fence
            self.noted = max(self.noted, seen)
            self.fleet.note(self)
            self.ended = [end for end in self.ended if end[0] > seen]
            self._until_s = max(self._until_s, until_s or 0.0)
            life = self.life
            self.fleet.changed.wait_for(
                lambda: self.ended or self.life != life, timeout=wait_s
            )
            return list(self.work.values()), list(self.ended)

    def advance(self, now_s: float, step_s: float) -> None:
        """Let the runs work; called with the fleet's lock held."""
        lapsed = self._until_s < self.clock_s()
        for work in list(self.work.values()):
            if lapsed:
                self.end(work, "lapsed")
            elif now_s >= work.stops_s:
                if work.facts.saves:
                    work.saved_s = work.worked_s
                self.end(work, "stopped")
            elif self.fleet.is_whole(work):
                self._work(work, step_s)
            elif now_s - work.since_s > GANG_TIMEOUT_S:
                self.end(work, "alone")

    def _work(self, work: Work, step_s: float) -> None:
        if self.fails_all or work.worked_s >= work.facts.fails_after_s:
            self.end(work, "failed")
            return
        if not self.hangs:
            work.worked_s += step_s * self.speed
        if work.facts.saves and work.worked_s - work.saved_s >= SAVE_S:
            work.saved_s = work.worked_s
        if work.worked_s >= work.facts.work_s:
            self.end(work, "done")

    def end(self, work: Work, how: str) -> None:
        """End a run, and its gang with it."""
        if (work.task, work.run) not in self.work:
            return  # it has ended with another member of its gang
        del self.work[(work.task, work.run)]
        self._closed[work.task] = max(self._closed.get(work.task, 0), work.run)
        sequence = next(self._sequences)
        self.ended.append((sequence, work.task, work.run, how, work.saved))
        self.fleet.tell(how, self, work, sequence)
        if work.facts.gang_size > 1:
            for target, other in self.fleet.gang(work):
                target.end(other, "done" if how == "done" else "broken")
        self.fleet.changed.notify_all()


class TargetFleet:
    """Targets that know of each other's gangs.

    Parameters
    ----------
    facts : callable
        Returns what is known of a task, by its name and payload.
    seen : callable
        Called with each `TargetEvent`, with the fleet's lock held.
    noted : callable
        Called with a target, its life and the sequence up to which ends are noted.
    """

    def __init__(
        self,
        facts: Callable[[str, str], TaskFacts],
        seen: Callable[[TargetEvent], None] = lambda event: None,
        noted: Callable[[str, int, int], None] = lambda *_: None,
    ):
        self.changed = threading.Condition(threading.RLock())
        self.targets: dict[str, FleetTarget] = {}
        self.facts = facts
        self._seen = seen
        self._noted = noted
        self._ended = threading.Event()

    def add(self, name: str, capacity: tuple[int, int, int]) -> FleetTarget:
        """Add a target."""
        target = self.targets[name] = FleetTarget(self, name, capacity)
        return target

    def tell(
        self, kind: str, target: FleetTarget, work: Work, sequence: int = 0
    ) -> None:
        """Tell the observer what has happened to a run."""
        event = TargetEvent(
            kind,
            target.name,
            target.life,
            work.task,
            work.run,
            sequence,
            time.monotonic(),
        )
        self._seen(event)

    def note(self, target: FleetTarget) -> None:
        """Tell the observer which ends of a target are noted."""
        self._noted(target.name, target.life, target.noted)

    def gang(self, work: Work) -> list[tuple[FleetTarget, Work]]:
        """Return the members of a run's gang, wherever they are."""
        return [
            (target, other)
            for target in self.targets.values()
            for other in target.work.values()
            if other.facts.step == work.facts.step and other.run == work.run
        ]

    def is_whole(self, work: Work) -> bool:
        """Whether all members of a run's gang are present."""
        size = work.facts.gang_size
        return size == 1 or len(self.gang(work)) >= size

    def run(self) -> None:
        """Let all targets work until `close` is called."""
        before_s = time.monotonic()
        while not self._ended.wait(TICK_S):
            now_s = time.monotonic()
            with self.changed:
                for target in self.targets.values():
                    target.advance(now_s, now_s - before_s)
            before_s = now_s

    def close(self) -> None:
        """End `run`."""
        self._ended.set()
