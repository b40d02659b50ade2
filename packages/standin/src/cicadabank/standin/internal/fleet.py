"""In-memory targets with leases, gangs and checkpoints, and faults to inject."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from types import MappingProxyType
from typing import NamedTuple

from cicadabank.standin.errors import TargetDownError

STOP_DELAY_S = 0.1
CHECKPOINT_INTERVAL_S = 0.5
GANG_TIMEOUT_S = 4.0
MAX_LEASE_S = 10.0  # a longer lease is shortened to this
TICK_S = 0.02
DOWN_S = 3.0


class TaskProfile(NamedTuple):
    """How the runs of a task behave on an in-memory target.

    Attributes
    ----------
    step : str
        Identifies the step; the members of a gang share it.
    work_s : float
        Work after which a run is done.
    need : tuple of int
        CPU millicores, megabytes of memory and accelerators.
    gang_size : int
        Members of the gang; 1 if the task is not part of one.
    fails_after_s : float
        Work after which a run fails; infinite if it never does.
    crashes_after_s : float
        Time from its start after which a run crashes its target; infinite if it never
        does. If it is 0, the start gets no reply.
    """

    step: str
    work_s: float
    need: tuple[int, int, int]
    gang_size: int = 1
    checkpointable: bool = False
    fails_after_s: float = float("inf")
    crashes_after_s: float = float("inf")


class TargetEvent(NamedTuple):
    """The start or the end of a run on a target.

    Attributes
    ----------
    kind : str
        ``started``, or how the run ended: ``done``, ``failed``, ``stopped``, ``lapsed``
        (the lease expired), ``broken`` (another member of its gang ended), ``alone``
        (its gang was not complete in time), ``lost`` (with the incarnation) or
        ``crashed`` (with the incarnation, whose crash any of its runs may have caused).
    """

    kind: str
    target: str
    incarnation: int
    task: str
    run: int
    sequence: int  # position among the target's ended runs; 0 for a start or a loss
    at_s: float


class ActiveRun:
    """A run that has started on a target and has not ended."""

    def __init__(self, profile: TaskProfile, task: str, run: int, checkpoint_s: float):
        self.profile = profile
        self.task = task
        self.run = run
        self.progress_s = checkpoint_s
        self.checkpoint_s = checkpoint_s
        self.started_s = time.monotonic()
        self.stop_at_s = float("inf")

    @property
    def checkpoint(self) -> str:
        """The last checkpoint; empty if there is none."""
        return f"{self.checkpoint_s:.3f}" if self.checkpoint_s else ""


class FleetTarget:
    """One target of a fleet; see `TargetFleet`.

    Attributes
    ----------
    fails_all, hangs, drops_start_answers, mute : bool
        Runs fail at once; runs make no progress; starts are executed, but the reply is
        sent after the agent's timeout; calls are neither executed nor answered.
    unhealthy_share : float
        Share of the starts that are refused as if the target were unhealthy. Unless it
        is 0, repetitions of a late start are refused too.
    late_call_share, late_heartbeat_share : float
        Share of the calls that get no reply and are executed seconds later, and of the
        heartbeats that are sent seconds later, by then perhaps about an earlier
        incarnation.
    speed : float
        Seconds of work done in each second.
    clock_rate, set_back_s : float
        Rate of the target's own clock; 1 is exact. Seconds by which the clock that
        tells the time of day at a restart has been set back. A restart resets the
        other faults, but not these.
    late_messages : int
        Number of late calls and heartbeats that are still to be executed or sent.
    down_s : float
        Time from a crash to the next incarnation; if infinite, the target is down until
        `restart` is called.
    renamed_by_crash : bool
        Whether the incarnation after a crash has a new `id`.
    id : str
        Under which the target registers; at first its name.
    crash_count : int
    is_down : bool
        Whether the target has crashed and no new incarnation has started.
    """

    HEALTHY = MappingProxyType(
        {
            "fails_all": False,
            "hangs": False,
            "drops_start_answers": False,
            "mute": False,
            "draining": False,
            "unhealthy_share": 0.0,
            "late_call_share": 0.0,
            "late_heartbeat_share": 0.0,
            "speed": 1.0,
        }
    )

    def __init__(self, fleet: TargetFleet, name: str, capacity: tuple[int, int, int]):
        self.fleet = fleet
        self.name = name
        self.capacity = capacity
        self.clock_rate = 1.0
        self.set_back_s = 0.0
        self.late_messages = 0
        self.down_s = DOWN_S
        self.renamed_by_crash = False
        self.id = name
        self.crash_count = 0
        self.is_down = False
        self.active_runs: dict[tuple[str, int], ActiveRun] = {}
        self.started: list[tuple[str, int]] = []  # in all incarnations
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation; active runs are lost."""
        with self.fleet.changed:
            self._lose_runs("lost")
            self.incarnation += 1
            if self.is_down and self.renamed_by_crash:
                self.id = f"{self.name}-{self.incarnation}"
            self.is_down = False
            self.born_ms = int((time.time() - self.set_back_s) * 1000)
            self._born_s = time.monotonic()
            self.ended: list[tuple[int, str, int, str, str]] = []
            self.acknowledged = 0
            self.heal()
            self._fence = 0
            self._lease_until_s = 0.0
            self._lease_expired = True
            # Highest number of a stopped or ended run, by task.
            self._last_closed: dict[str, int] = {}
            self._last_sequence = 0

    def crash(self) -> None:
        """End the incarnation without notice; active runs are lost."""
        with self.fleet.changed:
            if self.is_down:
                return
            self._lose_runs("crashed")
            self.is_down = True
            self.crash_count += 1
            self._up_at_s = time.monotonic() + self.down_s
            self.fleet.changed.notify_all()

    def _lose_runs(self, kind: str) -> None:
        lost, self.active_runs = self.active_runs, {}
        for active in lost.values():
            self.fleet.emit(kind, self, active)

    def _check_up(self) -> None:
        if self.is_down:
            raise TargetDownError(self.name)

    def heal(self) -> None:
        """End all faults, except those of the clocks."""
        vars(self).update(self.HEALTHY)

    def clock_s(self) -> float:
        """Return the seconds since the incarnation began, by the target's clock."""
        return (time.monotonic() - self._born_s) * self.clock_rate

    def start(
        self,
        task: str,
        run: int,
        spec: str,
        until_s: float,
        fence: int,
        checkpoint: str,
    ) -> str:
        """Start a run; return the reason for a refusal, or an empty string.

        Raises
        ------
        TargetDownError
            If the target is down, or the run crashes it at once.
        """
        with self.fleet.changed:
            self._check_up()
            if fence < self._fence:
                return "fence"
            self._fence = fence
            if (task, run) in self.active_runs:
                return ""
            if run <= self._last_closed.get(task, 0):
                self._extend_lease(until_s)
                return "old"
            if until_s <= self.clock_s():
                return "late"
            profile = self.fleet.profile_of(task, spec)
            self._extend_lease(until_s)
            active = ActiveRun(profile, task, run, float(checkpoint or 0.0))
            self.active_runs[(task, run)] = active
            self.started.append((task, run))
            self.fleet.emit("started", self, active)
            if profile.crashes_after_s <= 0:
                self.crash()
            self._check_up()
            return ""

    def _extend_lease(self, until_s: float) -> None:
        until_s = min(until_s, self.clock_s() + MAX_LEASE_S)
        self._lease_until_s = max(self._lease_until_s, until_s)

    def stop(self, task: str, run: int, fence: int) -> str:
        """Stop a run; return the reason for a refusal, or an empty string.

        Raises
        ------
        TargetDownError
            If the target is down.
        """
        with self.fleet.changed:
            self._check_up()
            if fence < self._fence:
                return "fence"
            self._fence = fence
            self._last_closed[task] = max(self._last_closed.get(task, 0), run)
            active = self.active_runs.get((task, run))
            if active is not None:
                active.stop_at_s = min(
                    active.stop_at_s, time.monotonic() + STOP_DELAY_S
                )
            return ""

    def renew_lease(
        self, fence: int, acknowledged: int, until_s: float | None, wait_s: float
    ) -> tuple[list[ActiveRun], list[tuple[int, str, int, str, str]]] | None:
        """Renew the lease; return active and ended runs, or None if fenced off.

        Waits up to `wait_s` for a run to end. An ended run is a tuple of its sequence,
        task, run number, kind of end and checkpoint.

        Raises
        ------
        TargetDownError
            If the target is down, or crashes meanwhile.
        """
        with self.fleet.changed:
            self._check_up()
            if fence < self._fence:
                return None
            self._fence = fence
            # A call to an earlier incarnation may acknowledge more ends than there are;
            # those to come are listed all the same.
            self.acknowledged = max(
                self.acknowledged, min(acknowledged, self._last_sequence)
            )
            self.fleet.emit_acknowledged(self)
            self.ended = [end for end in self.ended if end[0] > acknowledged]
            self._extend_lease(until_s or 0.0)
            incarnation, crash_count = self.incarnation, self.crash_count
            self.fleet.changed.wait_for(
                lambda: (
                    self.ended
                    or self.incarnation != incarnation
                    or self.crash_count != crash_count
                ),
                timeout=wait_s,
            )
            if self.crash_count != crash_count:
                raise TargetDownError(self.name)
            return list(self.active_runs.values()), list(self.ended)

    def advance(self, now_s: float, step_s: float) -> None:
        """Advance the target by `step_s`; called with the fleet's lock held."""
        if self.is_down:
            if now_s >= self._up_at_s:
                self.restart()
        elif any(
            now_s - active.started_s >= active.profile.crashes_after_s
            for active in self.active_runs.values()
        ):
            self.crash()
        else:
            self._advance_runs(now_s, step_s)

    def _advance_runs(self, now_s: float, step_s: float) -> None:
        lease_expired = self._lease_until_s < self.clock_s()
        if lease_expired and not self._lease_expired:
            self.fleet.on_lease_expired(self.name, self.incarnation)
        self._lease_expired = lease_expired
        for active in list(self.active_runs.values()):
            if lease_expired:
                self.end(active, "lapsed")
            elif now_s >= active.stop_at_s:
                if active.profile.checkpointable:
                    active.checkpoint_s = active.progress_s
                self.end(active, "stopped")
            elif self.fleet.is_complete(active):
                self._advance_run(active, step_s)
            elif now_s - active.started_s > GANG_TIMEOUT_S:
                self.end(active, "alone")

    def _advance_run(self, active: ActiveRun, step_s: float) -> None:
        if self.fails_all or active.progress_s >= active.profile.fails_after_s:
            self.end(active, "failed")
            return
        if not self.hangs:
            active.progress_s += step_s * self.speed
        if (
            active.profile.checkpointable
            and active.progress_s - active.checkpoint_s >= CHECKPOINT_INTERVAL_S
        ):
            active.checkpoint_s = active.progress_s
        if active.progress_s >= active.profile.work_s:
            self.end(active, "done")

    def end(self, active: ActiveRun, kind: str) -> None:
        """End a run and, if it is a gang's member, the gang's other runs."""
        if (active.task, active.run) not in self.active_runs:
            return  # already ended together with another member of its gang
        del self.active_runs[(active.task, active.run)]
        self._last_closed[active.task] = max(
            self._last_closed.get(active.task, 0), active.run
        )
        self._last_sequence += 1
        sequence = self._last_sequence
        self.ended.append((sequence, active.task, active.run, kind, active.checkpoint))
        self.fleet.emit(kind, self, active, sequence)
        if active.profile.gang_size > 1:
            for target, other in self.fleet.active_members(active):
                target.end(other, "done" if kind == "done" else "broken")
        self.fleet.changed.notify_all()


class TargetFleet:
    """In-memory targets whose gangs may span several of them.

    Parameters
    ----------
    profile_of : callable
        Returns the `TaskProfile` of a task, by the task's name and payload.
    on_event : callable
        Called with each `TargetEvent`, with the fleet's lock held.
    on_acknowledged : callable
        Called with a target, its incarnation and the sequence up to which its ended
        runs are acknowledged.
    on_lease_expired : callable
        Called with a target and its incarnation, with the fleet's lock held.
    """

    def __init__(
        self,
        profile_of: Callable[[str, str], TaskProfile],
        on_event: Callable[[TargetEvent], None] = lambda event: None,
        on_acknowledged: Callable[[str, int, int], None] = lambda *_: None,
        on_lease_expired: Callable[[str, int], None] = lambda *_: None,
    ):
        self.changed = threading.Condition(threading.RLock())
        self.targets: dict[str, FleetTarget] = {}
        self.profile_of = profile_of
        self._on_event = on_event
        self._on_acknowledged = on_acknowledged
        self.on_lease_expired = on_lease_expired
        self._stopping = threading.Event()

    def add(self, name: str, capacity: tuple[int, int, int]) -> FleetTarget:
        """Add a target with a capacity; return it."""
        target = self.targets[name] = FleetTarget(self, name, capacity)
        return target

    def emit(
        self, kind: str, target: FleetTarget, active: ActiveRun, sequence: int = 0
    ) -> None:
        """Report the start or the end of a run to the observer."""
        event = TargetEvent(
            kind,
            target.name,
            target.incarnation,
            active.task,
            active.run,
            sequence,
            time.monotonic(),
        )
        self._on_event(event)

    def emit_acknowledged(self, target: FleetTarget) -> None:
        """Report to the observer which ended runs of a target are acknowledged."""
        self._on_acknowledged(target.name, target.incarnation, target.acknowledged)

    def active_members(self, active: ActiveRun) -> list[tuple[FleetTarget, ActiveRun]]:
        """Return the active members of a run's gang on all targets."""
        return [
            (target, other)
            for target in self.targets.values()
            for other in target.active_runs.values()
            if other.profile.step == active.profile.step and other.run == active.run
        ]

    def is_complete(self, active: ActiveRun) -> bool:
        """Whether all members of a run's gang are active."""
        size = active.profile.gang_size
        return size == 1 or len(self.active_members(active)) >= size

    def run(self) -> None:
        """Advance all targets until `close` is called."""
        previous_s = time.monotonic()
        while not self._stopping.wait(TICK_S):
            now_s = time.monotonic()
            with self.changed:
                for target in self.targets.values():
                    target.advance(now_s, now_s - previous_s)
            previous_s = now_s

    def close(self) -> None:
        """Make `run` return."""
        self._stopping.set()
