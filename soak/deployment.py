"""The real programs as processes, with a proxy on each of their links."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from cicadabank.local import Ports
from cicadabank.platform.standin import (
    StoreStandIn,
    TargetFace,
    fleet_working,
    serving,
    target_running,
)
from cicadabank.standin import Proxy, TargetFleet, proxy_running

from soak.book import Book

CAPACITY = (32_000, 131_072, 8)
DOMAINS = ("d0", "d1", "d2")
TARGETS_PER_RACK = 3
STOP_TIMEOUT_S = 15.0
SETTINGS = """
node = "{name}"
zone = "{domain}"
ip = "127.0.0.1"
portRange = [{peer_port}, {peer_port}]
app = "{target}"
service = "cell"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
peer = "{peer_listen}"
[bounds]
graceS = 6
configMs = 2000
holdMaxMs = 10000
status_s = 120
stopMs = 200
[platform]
address = "{store}"
"""


class Process:
    """One of the real programs, and the proxies on its links.

    Attributes
    ----------
    disturbed : bool
        Whether it was killed, paused or cut off since its last start.
    """

    def __init__(self, role: str, name: str, file: Path, links: dict[str, Proxy]):
        self.role = role
        self.name = name
        self.links = links
        self.disturbed = False
        self.starts = 0
        self._file = file
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program."""
        environment = {**os.environ, "CICADABANK_SETTINGS": str(self._file)}
        command = [sys.executable, "-m", "cicadabank.platform", self.role]
        self.disturbed = False
        self.starts += 1
        with self._file.with_suffix(".log").open("ab") as log:
            self._process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        """Whether the program runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; to this process only, by its id."""
        if self.running:
            self._process.send_signal(number)

    def end(self, number: signal.Signals) -> int | None:
        """End the program and wait for that; return its exit status."""
        self.signal(number)
        if self._process is None:
            return None
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
            return None


class Deployment:
    """Entries and agents, a store, and modelled targets."""

    def __init__(self, folder: Path, book: Book, targets: int):
        self.folder = folder
        self.book = book
        self.store = StoreStandIn()
        self.fleet = TargetFleet(book.facts, book.seen, book.noted)
        self.processes: dict[str, Process] = {}
        self.fronts: dict[str, str] = {}
        self.domains = {f"t{n}": DOMAINS[n % len(DOMAINS)] for n in range(targets)}

    def of(self, role: str) -> list[Process]:
        """Return the processes of a role."""
        return [p for p in self.processes.values() if p.role == role]

    def life_over(self, target: str) -> None:
        """Start a new life of a target, as after a loss of its power."""
        with self.fleet.changed:
            known = self.fleet.targets[target]
            life = known.life
            known.reborn()
            self.book.life_over(target, life)

    def heal(self) -> None:
        """End all faults, and start what has ended."""
        self.store.heal()
        for process in self.processes.values():
            for link in process.links.values():
                link.heal()
            process.signal(signal.SIGCONT)
            if not process.running:
                process.start()
        with self.fleet.changed:
            for target in self.fleet.targets.values():
                target.fails_all = target.hangs = target.unhealthy = False
                target.deaf = target.draining = False
                target.speed = 1.0

    def traces(self) -> list[str]:
        """Return the log lines of errors that nobody expects."""
        return [
            f"{file.name}: {line[:400]}"
            for file in sorted(self.folder.glob("*.log"))
            for line in file.read_text(errors="replace").splitlines()
            if '"level": "ERROR"' in line or line.startswith("Traceback")
        ]


@contextmanager
def deployment_running(
    folder: Path, book: Book, entries: int, targets: int
) -> Iterator[Deployment]:
    """Run a deployment until the block ends."""
    made, ports = Deployment(folder, book, targets), Ports()
    with ExitStack() as stack:
        store = ports.address()
        stack.enter_context(serving(store, made.store.dispatch))
        stack.enter_context(fleet_working(made.fleet))
        for number in range(targets):
            _add_target(made, stack, ports, store, number)
        for number in range(entries):
            front = ports.address()
            made.fronts[f"entry-{number}"] = front
            fields = {"front": front, "ready": ports.address()}
            domain = DOMAINS[number % len(DOMAINS)]
            _add(made, stack, ports, store, "entry", number, domain, fields)
        stack.callback(_end_all, made)
        for process in made.processes.values():
            process.start()
        yield made


def _add_target(
    made: Deployment, stack: ExitStack, ports: Ports, store: str, number: int
) -> None:
    name = f"t{number}"
    domain = made.domains[name]
    rack = f"r-{domain}-{number // (TARGETS_PER_RACK * len(DOMAINS))}"
    address, control = ports.address(), ports.address()
    target = made.fleet.add(name, CAPACITY)
    face = TargetFace(target, address, control, domain, rack)
    stack.enter_context(target_running(face))
    link = stack.enter_context(proxy_running(address))
    fields = {"control": control, "target": link.address}
    process = _add(made, stack, ports, store, "agent", number, domain, fields)
    process.links["target"] = link


def _add(
    made: Deployment,
    stack: ExitStack,
    ports: Ports,
    store: str,
    role: str,
    number: int,
    domain: str,
    fields: dict[str, str],
) -> Process:
    name = f"{role}-{number}"
    listen = ports.address()
    links = {
        "store": stack.enter_context(proxy_running(store)),
        "peer": stack.enter_context(proxy_running(listen)),
    }
    values = {"front": "", "ready": "", "control": "", "target": "", **fields}
    text = SETTINGS.format(
        name=name,
        domain=domain,
        peer_port=links["peer"].address.rpartition(":")[2],
        peer_listen=listen,
        store=links["store"].address,
        **values,
    )
    file = made.folder / f"{name}.toml"
    file.write_text(text)
    process = made.processes[name] = Process(role, name, file, links)
    return process


def _end_all(made: Deployment) -> None:
    for process in made.processes.values():
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
    for process in made.processes.values():
        process.end(signal.SIGKILL)


def wait_for(condition, limit_s: float) -> bool:
    """Wait until something holds; return whether it came about in time."""
    until_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until_s:
            return False
        time.sleep(0.05)
    return True
