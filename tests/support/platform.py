"""Runs entries and agents as processes on stand-ins of the users' platform."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import httpx
from cicadabank.local import Ports
from cicadabank.platform.standin import (
    StoreStandIn,
    TargetServer,
    fleet_running,
    serving,
    target_running,
)
from cicadabank.standin import (
    FleetTarget,
    TargetEvent,
    TargetFleet,
    TaskProfile,
)

KEY = "key-1"
CAPACITY = (32_000, 131_072, 8)
DEADLY_PREFIX = "crash after "
HEADERS = {"Host": "h.example", "Authorization": f"Bearer {KEY}"}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h.example",
            "pathPrefix": "/q/",
            "priority": 1,
            "service": "cell",
            "attempts": 3,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        }
    ],
    "services": [{"name": "cell"}],
    "tenants": [{"name": "w", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
}
SETTINGS = """
node = "{name}"
zone = "d{number}"
ip = "127.0.0.1"
portRange = [{peer}, {peer}]
app = "{target}"
service = "cell"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[bounds]
graceS = 6
configMs = 2000
holdMaxMs = 10000
status_s = 120
stopMs = 200
[platform]
address = "{store}"
"""


def profile_of(task: str, spec: str) -> TaskProfile:
    """Return the profile of a task.

    Its payload is its work in seconds; of a deadly task, it is `DEADLY_PREFIX` and the
    seconds after which a run crashes its target.
    """
    if spec.startswith(DEADLY_PREFIX):
        crashes_after_s = float(spec.removeprefix(DEADLY_PREFIX))
        return TaskProfile(
            task, float("inf"), (0, 0, 0), crashes_after_s=crashes_after_s
        )
    return TaskProfile(task, float(spec), (0, 0, 0))


class SmallPlatform:
    """A stand-in store, entries, and in-memory targets with their agents.

    Attributes
    ----------
    events : list of TargetEvent
        Starts and ends of runs on all targets, in order.
    """

    def __init__(self, folder: Path, ports: Ports):
        self.folder = folder
        self.ports = ports
        self.store = StoreStandIn()
        self.store_address = ports.address()
        self.events: list[TargetEvent] = []
        self.fleet = TargetFleet(profile_of, self.events.append)
        self.targets: list[FleetTarget] = []
        self.fronts: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._roles: dict[str, str] = {}

    def write_settings(self, name: str, role: str, number: int, **fields: str) -> None:
        """Write the settings file of a process."""
        self._roles[name] = role
        peer = self.ports.address().rpartition(":")[2]
        values = {"front": "", "ready": "", "control": "", "target": "", **fields}
        text = SETTINGS.format(
            name=name, number=number, peer=peer, store=self.store_address, **values
        )
        (self.folder / f"{name}.toml").write_text(text)

    def start(self, name: str) -> None:
        """Start a process."""
        environment = dict(os.environ)
        environment["CICADABANK_SETTINGS"] = str(self.folder / f"{name}.toml")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "cicadabank.platform", self._roles[name]],
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a process, and wait until it has ended."""
        process = self.processes.pop(name)
        process.send_signal(number)
        process.wait(timeout=10.0)

    def call(
        self, method: str, path: str, entry: str = "", **options
    ) -> httpx.Response:
        """Send a caller's request to an entry, by default the first."""
        front = self.fronts[entry or next(iter(self.fronts))]
        headers = {**HEADERS, **options.pop("headers", {})}
        return httpx.request(
            method,
            f"http://{front}{path}",
            headers=headers,
            timeout=5.0,
            trust_env=False,
            **options,
        )

    def submit(self, job: str, work_s: float, entry: str = "", **step) -> int:
        """Submit a job whose tasks run for some seconds; return the status."""
        return self._submit(job, str(work_s), entry, step)

    def submit_deadly(self, job: str, crashes_after_s: float) -> int:
        """Submit a job whose task crashes its targets; return the status."""
        return self._submit(job, f"{DEADLY_PREFIX}{crashes_after_s}", "", {})

    def _submit(self, job: str, spec: str, entry: str, step: dict) -> int:
        fields = {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1000}
        body = {"spec": spec, "steps": [{**fields, **step}]}
        return self.call("POST", f"/q/{job}", entry, json=body).status_code

    def state(self, job: str, entry: str = "") -> str:
        """Return a job's state, or an empty string."""
        return self.call("GET", f"/q/{job}", entry).json().get("state", "")

    def lose_power(self) -> None:
        """Kill all processes and crash all targets, then start the processes."""
        names = list(self.processes)
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for target in self.targets:
            target.crash()
        for name in names:
            self.kill(name)
            self.start(name)

    def start_count(self, job: str) -> int:
        """Return how often the tasks of a job were started."""
        return sum(
            event.kind == "started" and event.task.startswith(job)
            for event in list(self.events)
        )

    def overlapping_runs(self) -> list[TargetEvent]:
        """Return the starts of tasks that had another active run."""
        active: Counter[str] = Counter()
        overlapping = []
        for event in list(self.events):
            if event.kind != "started":
                active[event.task] -= 1
                continue
            if active[event.task]:
                overlapping.append(event)
            active[event.task] += 1
        return overlapping

    def holder(self) -> str:
        """Return the entry that last became the cell's holder, from the logs."""
        takeovers: list[tuple[str, str]] = []
        for name in self.fronts:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                if '"event": "cell_loaded"' in line:
                    takeovers.append((json.loads(line)["at"], name))
        return max(takeovers)[1]


def wait_for(condition: Callable[[], bool], timeout_s: float = 30.0) -> float:
    """Wait until a condition holds; return the seconds that it took."""
    started_s = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - started_s
        except (httpx.HTTPError, ValueError):
            pass
        assert time.monotonic() - started_s < timeout_s, (
            "condition not met within the time limit"
        )
        time.sleep(0.05)


@contextmanager
def platform_running(
    folder: Path, entries: int = 2, targets: int = 2
) -> Iterator[SmallPlatform]:
    """Run a small platform until the block ends; yield it once it serves jobs."""
    ports = Ports()
    platform = SmallPlatform(folder, ports)
    platform.store.put("op", "config", CONFIG)
    with ExitStack() as stack:
        stack.enter_context(serving(platform.store_address, platform.store.dispatch))
        stack.enter_context(fleet_running(platform.fleet))
        for number in range(targets):
            address, control = ports.address(), ports.address()
            name = f"agent-{number}"
            platform.write_settings(
                name, "agent", number, control=control, target=address
            )
            target = platform.fleet.add(f"t{number}", CAPACITY)
            server = TargetServer(
                target, address, control, f"d{number}", f"r-d{number}"
            )
            platform.targets.append(stack.enter_context(target_running(server)))
            platform.start(name)
        for number in range(entries):
            name = f"entry-{number}"
            platform.fronts[name] = ports.address()
            platform.write_settings(
                name,
                "entry",
                number,
                front=platform.fronts[name],
                ready=ports.address(),
            )
            platform.start(name)
        stack.callback(_kill_all, platform)
        wait_for(lambda: bool(platform.holder()) if _has_holder(platform) else False)
        for name in platform.fronts:
            wait_for(lambda name=name: platform.call("GET", "/q/", name).is_success)
        yield platform


def _has_holder(platform: SmallPlatform) -> bool:
    logs = [platform.folder / f"{name}.log" for name in platform.fronts]
    return any('"cell_loaded"' in log.read_text() for log in logs if log.exists())


def _kill_all(platform: SmallPlatform) -> None:
    for name in list(platform.processes):
        platform.kill(name)
