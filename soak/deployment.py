"""Runs entries and agents as processes, with a proxy on each of their links."""

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
    TargetServer,
    fleet_running,
    serving,
    target_running,
)
from cicadabank.standin import Proxy, TargetEvent, TargetFleet, proxy_running

from soak.checker import InvariantChecker

CAPACITY = (32_000, 131_072, 8)
DOMAINS = ("d0", "d1", "d2")
TARGETS_PER_RACK = 3
# Switches on each optional scheduling decision.
POLICY_FILE = Path(__file__).with_name("policy.json")
EXIT_TIMEOUT_S = 15.0
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
    """The process of an entry or agent, and the proxies on its links.

    Attributes
    ----------
    disturbed : bool
        Whether it was killed, paused or disconnected since its last start.
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
        """Start the process; its output is appended to its log file."""
        environment = {
            **os.environ,
            "CICADABANK_SETTINGS": str(self._file),
            "CICADABANK_POLICY": str(POLICY_FILE),
        }
        command = [sys.executable, "-m", "cicadabank.platform", self.role]
        self.disturbed = False
        self.starts += 1
        with self._file.with_suffix(".log").open("ab") as log:
            self._process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it is running."""
        if self.running:
            self._process.send_signal(number)

    def signal_and_wait(self, number: signal.Signals) -> int | None:
        """Send a signal and wait for the end; return the exit status.

        A process that does not end in time is killed; the status is then None.
        """
        self.send_signal(number)
        if self._process is None:
            return None
        try:
            return self._process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
            return None


class Deployment:
    """Entries and agents as processes, a stand-in store, and in-memory targets."""

    def __init__(self, folder: Path, checker: InvariantChecker, targets: int):
        self.folder = folder
        self.checker = checker
        self.store = StoreStandIn()
        self.fleet = TargetFleet(
            checker.profile_of,
            self._on_event,
            checker.on_acknowledged,
            self._on_lease_expired,
        )
        self.processes: dict[str, Process] = {}
        self.agents: dict[str, Process] = {}  # by target
        self.fronts: dict[str, str] = {}
        self.domains = {f"t{n}": DOMAINS[n % len(DOMAINS)] for n in range(targets)}

    def trace(self, line: object) -> None:
        """Append a line to the trace of injected faults and of the targets' events."""
        with (self.folder / "trace.txt").open("a") as file:
            file.write(f"{time.time():.3f} {line}\n")

    def _on_event(self, event: TargetEvent) -> None:
        known = len(self.checker.violations)
        self.trace(event)
        self.checker.on_event(event)
        for violation in self.checker.violations[known:]:
            self.trace(f"VIOLATION {violation}")

    def _on_lease_expired(self, target: str, incarnation: int) -> None:
        self.trace(f"lease expired: {target}, incarnation {incarnation}")
        self.checker.on_ends_void(target, incarnation)

    def processes_with_role(self, role: str) -> list[Process]:
        """Return the processes of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def restart_target(self, target: str) -> None:
        """Start a new incarnation of a target, as after a power loss."""
        with self.fleet.changed:
            restarted = self.fleet.targets[target]
            incarnation = restarted.incarnation
            restarted.restart()
            self.checker.on_ends_void(target, incarnation)

    def heal(self) -> None:
        """End all faults except those of clocks; start the processes that are down."""
        self.store.heal()
        for process in self.processes.values():
            for link in process.links.values():
                link.heal()
            process.send_signal(signal.SIGCONT)
            if not process.running:
                process.start()
        with self.fleet.changed:
            for target in self.fleet.targets.values():
                target.heal()

    def error_lines(self) -> list[str]:
        """Return the log lines of unexpected errors."""
        return [
            f"{file.name}: {line[:400]}"
            for file in sorted(self.folder.glob("*.log"))
            for line in file.read_text(errors="replace").splitlines()
            if '"level": "ERROR"' in line or line.startswith("Traceback")
        ]


@contextmanager
def deployment_running(
    folder: Path, checker: InvariantChecker, entries: int, targets: int, seed: int
) -> Iterator[Deployment]:
    """Run a deployment until the block ends; the seed is that of the targets."""
    deployment, ports = Deployment(folder, checker, targets), Ports()
    with ExitStack() as stack:
        store = ports.address()
        stack.enter_context(serving(store, deployment.store.dispatch))
        stack.enter_context(fleet_running(deployment.fleet))
        for number in range(targets):
            _add_target(deployment, stack, ports, store, number, seed)
        for number in range(entries):
            front = ports.address()
            deployment.fronts[f"entry-{number}"] = front
            fields = {"front": front, "ready": ports.address()}
            domain = DOMAINS[number % len(DOMAINS)]
            _add_process(
                deployment, stack, ports, store, "entry", number, domain, fields
            )
        stack.callback(_kill_all, deployment)
        for process in deployment.processes.values():
            process.start()
        yield deployment


def _add_target(
    deployment: Deployment,
    stack: ExitStack,
    ports: Ports,
    store: str,
    number: int,
    seed: int,
) -> None:
    name = f"t{number}"
    domain = deployment.domains[name]
    rack = f"r-{domain}-{number // (TARGETS_PER_RACK * len(DOMAINS))}"
    address, control = ports.address(), ports.address()
    target = deployment.fleet.add(name, CAPACITY)
    target.renamed_by_crash = number % 2 == 1
    server = TargetServer(target, address, control, domain, rack, seed)
    stack.enter_context(target_running(server))
    link = stack.enter_context(proxy_running(address))
    fields = {"control": control, "target": link.address}
    process = _add_process(
        deployment, stack, ports, store, "agent", number, domain, fields
    )
    process.links["target"] = link
    deployment.agents[name] = process


def _add_process(
    deployment: Deployment,
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
    file = deployment.folder / f"{name}.toml"
    file.write_text(text)
    process = deployment.processes[name] = Process(role, name, file, links)
    return process


def _kill_all(deployment: Deployment) -> None:
    for process in deployment.processes.values():
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)
    for process in deployment.processes.values():
        process.signal_and_wait(signal.SIGKILL)


def wait_for(condition, timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.05)
    return True
