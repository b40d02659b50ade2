"""Faults from outside the processes, drawn by a seed, in series that overlap."""

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

# Longest that a fault lasts; outages of the users' platform take 4 to 9 s.
LONGEST_S = 7.0
SERIES_SHARE = 0.3
SERIES_PAUSE_S = 1.2
STORE_FAULTS = ("away", "busy", "slow", "lost", "late", "forgets")
LINK_FAULTS = ("silence", "reset", "refuse", "delay", "hold", "to", "from", "both")
SIGNALS = ("kill", "pause", "stop", "hangup")
TARGET_FAULTS = (
    "fails_all",
    "hangs",
    "unhealthy",
    "deaf",
    "slow",
    "power",
    "leave",
    "clock",
)


class StoreFault(NamedTuple):
    """The store misbehaves towards all."""

    kind: str
    for_s: float


class LinkFault(NamedTuple):
    """A link of one process misbehaves."""

    process: str
    link: str
    kind: str
    for_s: float


class SignalFault(NamedTuple):
    """A process gets a signal, and is started again if that ended it."""

    process: str
    kind: str
    for_s: float


class TargetFault(NamedTuple):
    """A target misbehaves, or starts a new life."""

    target: str
    kind: str
    for_s: float


class AllPower(NamedTuple):
    """All processes and targets lose power at once."""

    for_s: float


Fault = StoreFault | LinkFault | SignalFault | TargetFault | AllPower


def draw(rng: random.Random, made: Deployment) -> Fault:
    """Draw one fault."""
    for_s = rng.uniform(0.3, LONGEST_S)
    process = rng.choice([*made.of("entry"), rng.choice(list(made.processes.values()))])
    choice = rng.random()
    if choice < 0.2:
        return StoreFault(rng.choice(STORE_FAULTS), for_s)
    if choice < 0.5:
        link = rng.choice(sorted(process.links))
        return LinkFault(process.name, link, rng.choice(LINK_FAULTS), for_s)
    if choice < 0.75:
        return SignalFault(process.name, rng.choice(SIGNALS), for_s)
    if choice < 0.96:
        target = rng.choice(sorted(made.fleet.targets))
        return TargetFault(target, rng.choice(TARGET_FAULTS), for_s)
    return AllPower(rng.uniform(0.5, 1.5))


def plan(
    rng: random.Random, made: Deployment, count: int, length_s: float
) -> list[tuple[float, Fault]]:
    """Draw faults with their times; some come several times in a row."""
    found = []
    for _ in range(count):
        at_s, fault = rng.uniform(0.0, length_s), draw(rng, made)
        times = 3 if rng.random() < SERIES_SHARE else 1
        found += [(at_s + n * SERIES_PAUSE_S, fault) for n in range(times)]
    return sorted(found, key=lambda entry: entry[0])


@singledispatch
def inject(fault: Fault, made: Deployment) -> None:
    """Have a fault begin, last, and end."""
    raise NotImplementedError(type(fault).__name__)


@contextmanager
def _disturbing(made: Deployment) -> Iterator[None]:
    made.book.disturb()
    try:
        yield
    finally:
        made.book.disturb()


@inject.register
def _(fault: StoreFault, made: Deployment) -> None:
    store = made.store
    with _disturbing(made):
        if fault.kind == "forgets":
            for table in list(store.tables.values()):
                table.forget_history()
            return
        store.turned_away = fault.kind == "away"
        store.busy = fault.kind == "busy"
        store.delay_s = 0.25 if fault.kind == "slow" else 0.0
        store.lost_share = 0.3 if fault.kind == "lost" else 0.0
        store.late_share = 0.3 if fault.kind == "late" else 0.0
        time.sleep(fault.for_s)
        store.heal()


@inject.register
def _(fault: LinkFault, made: Deployment) -> None:
    process = made.processes[fault.process]
    link = process.links[fault.link]
    process.disturbed = True
    with _disturbing(made):
        if fault.kind in ("silence", "reset"):
            getattr(link, fault.kind)()
        link.refusing = fault.kind == "refuse"
        link.delay_s = 0.3 if fault.kind == "delay" else 0.0
        link.cut_to = fault.kind in ("to", "both")
        link.cut_from = fault.kind in ("from", "both")
        if fault.kind == "hold":
            link.hold()
        time.sleep(fault.for_s)
        link.heal()


@inject.register
def _(fault: SignalFault, made: Deployment) -> None:
    process = made.processes[fault.process]
    with _disturbing(made):
        if fault.kind == "hangup":
            process.signal(signal.SIGHUP)
        elif fault.kind == "stop":
            process.end(signal.SIGTERM)
            process.start()
        elif fault.kind == "kill":
            process.disturbed = True
            process.end(signal.SIGKILL)
            time.sleep(min(fault.for_s, 3.0))
            process.start()
        else:
            _pause(process, fault.for_s)


def _pause(process: Process, for_s: float) -> None:
    process.disturbed = True
    process.signal(signal.SIGSTOP)
    time.sleep(for_s)
    process.signal(signal.SIGCONT)


@inject.register
def _(fault: TargetFault, made: Deployment) -> None:
    target = made.fleet.targets[fault.target]
    with _disturbing(made):
        if fault.kind == "power":
            made.life_over(fault.target)
        elif fault.kind == "leave":
            target.draining = True
            time.sleep(3.0 + fault.for_s)
            made.life_over(fault.target)
        elif fault.kind == "slow":
            target.speed = 0.2
            time.sleep(fault.for_s)
            target.speed = 1.0
        elif fault.kind == "clock":
            target.clock_rate = 0.98
        else:
            setattr(target, fault.kind, True)
            time.sleep(fault.for_s)
            setattr(target, fault.kind, False)


@inject.register
def _(fault: AllPower, made: Deployment) -> None:
    with _disturbing(made):
        for process in made.processes.values():
            process.disturbed = True
            process.signal(signal.SIGKILL)
        for target in sorted(made.fleet.targets):
            made.life_over(target)
        time.sleep(fault.for_s)
        for process in made.processes.values():
            process.end(signal.SIGKILL)
            process.start()


class Schedule:
    """Injects faults at their times, each in a thread of its own.

    One process gets one signal at a time; everything else may overlap.
    """

    def __init__(self, made: Deployment, faults: list[tuple[float, Fault]]):
        self._made = made
        self._faults = faults
        self._threads: list[threading.Thread] = []
        self._locks = {name: threading.Lock() for name in made.processes}

    def play(self) -> None:
        """Inject all faults, and wait until each has ended."""
        began_s = time.monotonic()
        for at_s, fault in self._faults:
            time.sleep(max(0.0, began_s + at_s - time.monotonic()))
            thread = threading.Thread(target=self._inject, args=(fault,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _inject(self, fault: Fault) -> None:
        names = [fault.process] if isinstance(fault, SignalFault) else []
        if isinstance(fault, AllPower):
            names = sorted(self._locks)
        for name in names:
            self._locks[name].acquire()
        try:
            inject(fault, self._made)
        finally:
            for name in names:
                self._locks[name].release()
