"""Starts the project's programs as processes on the stand-ins, and records events."""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from standins import Minion, Proxy, Store, call

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-1"
HOST = "h.example"
HEADERS = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": HOST,
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
SETTINGS = """node = "{name}"
role = "{role}"
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
portRange = [{peer}, {peer}]
heartbeatMs = 1500
orders = "call"
app = "{app}"
service = "{service}"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
{listen}
[limits]
cpuShare = 1.0
cores = 1
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
configMs = 2000
holdMaxMs = 10000
status_s = 120
stopMs = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
rowBytes = 65536
"""


def run(case_file: str, main) -> None:
    """Run a case: `main` gets the deployment and returns the exit code."""
    deployment = Deployment(Path(case_file).resolve().parent)
    signal.signal(signal.SIGTERM, lambda *_: deployment.end(2))
    try:
        code = main(deployment)
    except BaseException as error:
        deployment.record(f"could not run: {error!r}")
        code = 2
    deployment.end(code)


def work_in_spec(_: str, spec: str) -> float:
    """Return a task's seconds of work, which its `spec` holds."""
    return float(spec)


class EndsTogether:
    """Work of tasks that end within a span of time, whenever they were started.

    Parameters
    ----------
    spread_s : float
        Length of the span.
    """

    SPEC = "ends with the others"

    def __init__(self, spread_s: float):
        self._spread_s = spread_s
        self.first_end_s = time.monotonic() + 60.0

    def __call__(self, task: str, spec: str) -> float:
        """Return the seconds of work of a task that starts now."""
        if spec != self.SPEC:
            return float(spec)
        end_s = self.first_end_s + random.Random(task).uniform(0.0, self._spread_s)
        return max(1.0, end_s - time.monotonic())


class Deployment:
    """Entries and agents as processes; the store and the minions in this process."""

    def __init__(self, case: Path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._lines = (case / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()
        self.events: list[tuple[float, str]] = []
        self._reservations: list[socket.socket] = []
        self._ports = self._free_ports()
        self.store = Store(self.address())
        self.store.put("op", "config", CONFIG)
        self.processes: dict[str, subprocess.Popen] = {}
        self._roles: dict[str, str] = {}
        self.fronts: dict[str, str] = {}
        self.minions: dict[str, Minion] = {}
        self.proxies: dict[str, Proxy] = {}

    def _free_ports(self):
        """Yield free ports; each stays bound here, so that no other run takes it.

        Whoever listens on it sets SO_REUSEADDR, which lets it share the port with a
        socket that doesn't listen.
        """
        first = random.randrange(24_000, 31_000)
        for port in (*range(first, 32_000), *range(24_000, first)):
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reservations.append(reservation)
            yield port

    def address(self) -> str:
        """Return a free loopback address."""
        return f"127.0.0.1:{next(self._ports)}"

    def record(self, line: str) -> None:
        """Write a line with its time to record.txt."""
        now_s = time.monotonic() - self._start_s
        with self._lock:
            self.events.append((now_s, line))
            self._lines.write(f"{now_s:8.3f} {line}\n")
            self._lines.flush()

    def now_s(self) -> float:
        """Return the time of the record."""
        return time.monotonic() - self._start_s

    def add_entry(self, name: str, zone: str = "z0", proxied: bool = False) -> None:
        """Start an entry; with a proxy in front of the port to which agents report."""
        self.fronts[name] = self.address()
        fields = {"front": self.fronts[name], "ready": self.address()}
        self._write(name, "entry", zone, **fields, **self._peer(name, proxied))
        self.start(name)

    def _peer(self, name: str, proxied: bool) -> dict[str, str]:
        """Return the settings of the port for other processes of the system."""
        peer = self.address()
        fields = {"peer": peer.rpartition(":")[2]}
        if proxied:
            listen = self.address()
            self.proxies[name] = Proxy(peer, listen)
            fields["listen"] = f'peer = "{listen}"'
        return fields

    def cut_worker(self, name: str) -> None:
        """Cut a worker's machine off from the entries, in both directions."""
        self.proxies[name].cut = True
        for entry in self.fronts:
            self.proxies[entry].cut_pid = self.processes[name].pid
        self.record(f"the machine of {name} is cut off from all entries")

    def heal(self) -> None:
        """End all cuts."""
        for proxy in self.proxies.values():
            proxy.heal()
        self.record("the cut has ended")

    def add_worker(
        self, name: str, zone: str, labels, work_s, proxied: bool = False, capacity=None
    ) -> None:
        """Start a minion with its agent; with a proxy in front of the agent's port."""
        app, control = self.address(), self.address()
        fields = {"app": app, "control": control, "service": "cell"}
        self._write(name, "agent", zone, **fields, **self._peer(name, proxied))
        self.minions[name] = Minion(
            name, app, control, zone, labels, work_s, self.record, capacity
        )
        self.start(name)

    def _write(self, name: str, role: str, zone: str, **fields) -> None:
        values = dict.fromkeys(("app", "service", "front", "ready", "control"), "")
        values |= {"listen": "", "store": self.store.address, **fields}
        text = SETTINGS.format(name=name, role=role, zone=zone, **values)
        (self.folder / f"{name}.toml").write_text(text)
        self._roles[name] = role

    def start(self, name: str) -> None:
        """Start a process with the deploy file's command."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
            "GRPC_VERBOSITY": "NONE",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CICADABANK_SETTINGS": str(self.folder / f"{name}.toml"),
        }
        command = ["python3", "-S", "-m", "cicadabank.platform", self._roles[name]]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"process {name} starts")

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait(10)
        self.record(f"process {name} killed")

    def log(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def holder(self) -> str:
        """Return the entry that last loaded the cell; for choosing whom to disturb."""
        found = []
        for name in self.fronts:
            for line in self.log(name).splitlines():
                if '"cell_loaded"' in line:
                    found.append((line.partition('"at": "')[2][:40], name))
        return max(found)[1] if found else ""

    def request(self, method: str, job: str, entry: str = "", body=None, quiet=False):
        """Send a client's request; by default to the first entry that runs."""
        if not entry:
            entry = next(name for name in self.fronts if name in self.processes)
        path = f"/q/{job}"
        status, reply = call(method, self.fronts[entry], path, body, 4.0, HEADERS)
        if not quiet:
            note = f" {reply}" if reply else ""
            self.record(f"{method} {path} at {entry} -> {status}{note}")
        return status, reply

    def submit(self, job: str, entry: str = "", spec: str = "1", **step) -> int:
        """Hand a job of one step in, as a client does: again until it is answered."""
        fields = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 1000, **step}
        body = {"spec": spec, "steps": [fields]}
        for _ in range(5):
            status, _ = self.request("POST", job, entry, body)
            if status in (200, 404):
                break
            time.sleep(0.5)
        return status

    def state(self, job: str, entry: str = "", quiet: bool = True) -> str:
        """Return a job's state; empty without an answer."""
        status, reply = self.request("GET", job, entry, quiet=quiet)
        return (reply or {}).get("state", "") if status == 200 else str(status)

    def wait_state(self, job: str, states: tuple[str, ...], limit_s: float) -> str:
        """Wait until a job has one of the states; record each that is shown."""
        end_s = time.monotonic() + limit_s
        shown = ""
        while True:
            state = self.state(job)
            if state != shown:
                shown = state
                self.record(f"GET /q/{job} shows {state}")
            if state in states or time.monotonic() > end_s:
                return state
            time.sleep(0.1)

    def wait_ready(self, limit_s: float = 25.0, spec: str = "0.05") -> bool:
        """Wait until a job has run on each minion's label, so that all take part."""
        end_s = time.monotonic() + limit_s
        labels = {m.labels[1] for m in self.minions.values()}
        todo = {f"{number:016x}": label for number, label in enumerate(sorted(labels))}
        while todo and time.monotonic() < end_s:
            for job, label in list(todo.items()):
                body = {
                    "spec": spec,
                    "steps": [{"count": 1, "cpu": 100, "memMb": 1, "requires": label}],
                }
                self.request("POST", job, body=body, quiet=True)
                if self.state(job) == "completed":
                    del todo[job]
            time.sleep(0.1)
        self.record(f"ready: {not todo}")
        return not todo

    def end(self, code: int) -> None:
        """End all processes that were started, and exit."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(10)
        verdict = {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}
        self.record(f"exit {code}: {verdict[code]}")
        self._lines.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        print(verdict[code])
        sys.stdout.flush()
        os._exit(code)
