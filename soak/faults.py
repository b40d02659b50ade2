"""Faults injected from outside the processes, drawn at random from a seed."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import singledispatch
from typing import NamedTuple

from soak.deployment import Deployment, Process

# Outages of the users' platform take 4 to 9 s.
MAX_DURATION_S = 7.0
REPEATED_SHARE = 0.3
REPEAT_INTERVAL_S = 1.2
STORE_FAULTS = (
    "unavailable",
    "overloaded",
    "slow",
    "lost_answers",
    "late_writes",
    "history_lost",
)
LINK_FAULTS = (
    "silence",
    "reset",
    "refuse",
    "delay",
    "hold",
    "drop_to",
    "drop_from",
    "drop_both",
)
SIGNAL_FAULTS = ("kill", "pause", "stop", "hangup")
TARGET_FAULTS = (
    "fails_all",
    "hangs",
    "unhealthy",
    "drops_start_answers",
    "slow",
    "power_loss",
    "drain",
    "slow_clock",
)
# What a fault sets on its target while it lasts.
TARGET_STATES = {
    "fails_all": {"fails_all": True},
    "hangs": {"hangs": True},
    "unhealthy": {"unhealthy_share": 1.0},
    "drops_start_answers": {"drops_start_answers": True},
    "slow": {"speed": 0.2},
    "drain": {"draining": True},
    "late_calls": {"late_call_share": 0.4},
    "overload": {"late_call_share": 0.4, "unhealthy_share": 0.2},
    "late_heartbeats": {"late_heartbeat_share": 0.5},
    "mute": {"mute": True},
}
# Added to the duration of these faults, so that a drain takes longer than a target's
# notice, and that a mute target's lease expires.
ADDED_DURATION_S = {"drain": 3.0, "mute": 10.0}
# Faults of a series, which all hit one target or its agent.
SERIES_TARGET_FAULTS = (
    "overload",
    "overload",
    "late_calls",
    "late_heartbeats",
    "mute",
    "power_loss",
    "clock_back",
    "drops_start_answers",
    "drain",
    "slow_clock",
)
SERIES_LENGTH = (3, 5)
SERIES_INTERVAL_S = (0.2, 2.5)
CLOCK_SET_BACK_S = 120.0
LATE_MESSAGES_POLL_S = 0.1


class StoreFault(NamedTuple):
    """A fault of the store, for all processes."""

    kind: str
    duration_s: float


class LinkFault(NamedTuple):
    """A fault on a link of one process."""

    process: str
    link: str
    kind: str
    duration_s: float


class SignalFault(NamedTuple):
    """A signal to a process; a killed or stopped process is started again."""

    process: str
    kind: str
    duration_s: float


class TargetFault(NamedTuple):
    """A fault of a target, or its restart; faults of its clocks do not end."""

    target: str
    kind: str
    duration_s: float


class PowerLoss(NamedTuple):
    """A power loss of all processes and targets."""

    duration_s: float


Fault = StoreFault | LinkFault | SignalFault | TargetFault | PowerLoss


def draw_fault(rng: random.Random, deployment: Deployment) -> Fault:
    """Draw one fault at random."""
    duration_s = rng.uniform(0.3, MAX_DURATION_S)
    # Mostly an entry; one process in `entries + 1` is drawn from all, agents included.
    process = rng.choice(
        [
            *deployment.processes_with_role("entry"),
            rng.choice(list(deployment.processes.values())),
        ]
    )
    drawn = rng.random()
    if drawn < 0.2:
        return StoreFault(rng.choice(STORE_FAULTS), duration_s)
    if drawn < 0.5:
        link = rng.choice(sorted(process.links))
        return LinkFault(process.name, link, rng.choice(LINK_FAULTS), duration_s)
    if drawn < 0.75:
        return SignalFault(process.name, rng.choice(SIGNAL_FAULTS), duration_s)
    if drawn < 0.96:
        target = rng.choice(sorted(deployment.fleet.targets))
        return TargetFault(target, rng.choice(TARGET_FAULTS), duration_s)
    return PowerLoss(rng.uniform(0.5, 1.5))


def draw_series(
    rng: random.Random, deployment: Deployment, at_s: float
) -> list[tuple[float, Fault]]:
    """Draw faults of one target and its agent that overlap, with their start times."""
    target = rng.choice(sorted(deployment.fleet.targets))
    agent = deployment.agents[target]
    schedule = []
    for _ in range(rng.randint(*SERIES_LENGTH)):
        duration_s = rng.uniform(0.3, MAX_DURATION_S)
        drawn = rng.random()
        if drawn < 0.7:
            fault = TargetFault(target, rng.choice(SERIES_TARGET_FAULTS), duration_s)
        elif drawn < 0.85:
            fault = LinkFault(
                agent.name,
                rng.choice(sorted(agent.links)),
                rng.choice(LINK_FAULTS),
                duration_s,
            )
        else:
            kind = rng.choice(("kill", "pause"))
            fault = SignalFault(agent.name, kind, duration_s)
        schedule.append((at_s, fault))
        at_s += rng.uniform(*SERIES_INTERVAL_S)
    return schedule


def draw_schedule(
    rng: random.Random,
    deployment: Deployment,
    count: int,
    series: int,
    length_s: float,
) -> list[tuple[float, Fault]]:
    """Draw faults with their start times, in order; some are repeated.

    Parameters
    ----------
    count, series : int
        Number of single faults, and of series of faults of one target.
    """
    schedule = []
    for _ in range(count):
        at_s, fault = rng.uniform(0.0, length_s), draw_fault(rng, deployment)
        repeats = 3 if rng.random() < REPEATED_SHARE else 1
        schedule += [(at_s + n * REPEAT_INTERVAL_S, fault) for n in range(repeats)]
    for _ in range(series):
        schedule += draw_series(rng, deployment, rng.uniform(0.0, length_s))
    return sorted(schedule, key=lambda entry: entry[0])


@singledispatch
def inject(fault: Fault, deployment: Deployment) -> None:
    """Inject a fault; return when it has ended."""
    raise NotImplementedError(type(fault).__name__)


@contextmanager
def _disturbance(deployment: Deployment) -> Iterator[None]:
    deployment.checker.mark_disturbance()
    try:
        yield
    finally:
        deployment.checker.mark_disturbance()


@inject.register
def _(fault: StoreFault, deployment: Deployment) -> None:
    store = deployment.store
    with _disturbance(deployment):
        if fault.kind == "history_lost":
            for table in list(store.tables.values()):
                table.forget_history()
            return
        store.unavailable = fault.kind == "unavailable"
        store.overloaded = fault.kind == "overloaded"
        store.delay_s = 0.25 if fault.kind == "slow" else 0.0
        store.lost_answer_share = 0.3 if fault.kind == "lost_answers" else 0.0
        store.late_write_share = 0.3 if fault.kind == "late_writes" else 0.0
        time.sleep(fault.duration_s)
        store.heal()


@inject.register
def _(fault: LinkFault, deployment: Deployment) -> None:
    process = deployment.processes[fault.process]
    link = process.links[fault.link]
    process.disturbed = True
    with _disturbance(deployment):
        if fault.kind in ("silence", "reset"):
            getattr(link, fault.kind)()
        link.refusing = fault.kind == "refuse"
        link.delay_s = 0.3 if fault.kind == "delay" else 0.0
        link.drop_to = fault.kind in ("drop_to", "drop_both")
        link.drop_from = fault.kind in ("drop_from", "drop_both")
        if fault.kind == "hold":
            link.hold()
        time.sleep(fault.duration_s)
        link.heal()


@inject.register
def _(fault: SignalFault, deployment: Deployment) -> None:
    process = deployment.processes[fault.process]
    with _disturbance(deployment):
        if fault.kind == "hangup":
            process.send_signal(signal.SIGHUP)
        elif fault.kind == "stop":
            process.signal_and_wait(signal.SIGTERM)
            process.start()
        elif fault.kind == "kill":
            process.disturbed = True
            process.signal_and_wait(signal.SIGKILL)
            time.sleep(min(fault.duration_s, 3.0))
            process.start()
        else:
            _pause(process, fault.duration_s)


def _pause(process: Process, duration_s: float) -> None:
    process.disturbed = True
    process.send_signal(signal.SIGSTOP)
    time.sleep(duration_s)
    process.send_signal(signal.SIGCONT)


@inject.register
def _(fault: TargetFault, deployment: Deployment) -> None:
    target = deployment.fleet.targets[fault.target]
    with _disturbance(deployment):
        if fault.kind == "slow_clock":
            target.clock_rate = 0.98
            return
        if fault.kind == "clock_back":
            target.set_back_s += CLOCK_SET_BACK_S
        state = TARGET_STATES.get(fault.kind, {})
        if state:
            vars(target).update(state)
            time.sleep(fault.duration_s + ADDED_DURATION_S.get(fault.kind, 0.0))
        if fault.kind in ("power_loss", "clock_back", "drain"):
            deployment.restart_target(fault.target)
        else:
            vars(target).update({name: target.HEALTHY[name] for name in state})
        # Late calls and heartbeats disturb until they have been executed or sent.
        while target.late_messages:
            time.sleep(LATE_MESSAGES_POLL_S)


@inject.register
def _(fault: PowerLoss, deployment: Deployment) -> None:
    with _disturbance(deployment):
        for process in deployment.processes.values():
            process.disturbed = True
            process.send_signal(signal.SIGKILL)
        for target in sorted(deployment.fleet.targets):
            deployment.restart_target(target)
        time.sleep(fault.duration_s)
        for process in deployment.processes.values():
            process.signal_and_wait(signal.SIGKILL)
            process.start()


class Schedule:
    """Injects faults at their start times, each in a thread of its own.

    Faults overlap, except that a process gets one signal fault at a time, and none
    during a power loss.
    """

    def __init__(self, deployment: Deployment, faults: list[tuple[float, Fault]]):
        self._deployment = deployment
        self._faults = faults
        self._threads: list[threading.Thread] = []
        self._locks = {name: threading.Lock() for name in deployment.processes}

    def run(self, least_s: float) -> None:
        """Inject all faults, and wait until all have ended, at least for `least_s`."""
        started_s = time.monotonic()
        for at_s, fault in self._faults:
            time.sleep(max(0.0, started_s + at_s - time.monotonic()))
            thread = threading.Thread(target=self._inject, args=(fault,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()
        time.sleep(max(0.0, started_s + least_s - time.monotonic()))

    def _inject(self, fault: Fault) -> None:
        names = [fault.process] if isinstance(fault, SignalFault) else []
        if isinstance(fault, PowerLoss):
            names = sorted(self._locks)
        for name in names:
            self._locks[name].acquire()
        try:
            self._deployment.trace(f"begins {fault}")
            inject(fault, self._deployment)
            self._deployment.trace(f"ended {fault}")
        finally:
            for name in names:
                self._locks[name].release()
