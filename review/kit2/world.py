"""Stand-ins of the users' platform, and the project's programs as processes.

Only the standard library is used. The store, the minions and the clients do what the
users' pages say; a case changes single answers through the hooks of the classes.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "cell"
HOST = "h.example"
PREFIX = "/q/"
KEY = "key-1"
BEAT_S = 1.5  # `heartbeatMs` of the sites
STOP_S = 0.2
MAX_LEASE_S = 10.0  # `holdMaxMs`
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 8}
ENDED = 500  # ends in one list, at most

SETTINGS = """
node = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-1"
portRange = [{peer}, {peer}]
seeds = []
bootstrap = true
lossCounts = {counted}
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "call"
{extra}
[zones]
zone-0 = "region-1"
zone-1 = "region-1"
zone-2 = "region-1"
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
evacuateMs = 5000
recoverS = 12
holdMaxMs = 10000
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
saveS = 1
restoreMs = 100
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 4.0
partWritesPerS = 250
rowBytes = 65536
across = true
historyS = 20
"""


def free_port() -> int:
    """Return a free loopback port that is not given out again in this process.

    Ports of the kernel's range for outgoing connections are avoided: a minion that is
    down for a while must find its port free again.
    """
    while True:
        port = random.randint(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


PORTS = (10_000, 32_000)
_used_ports: set[int] = set()


class Record:
    """Writes what was sent, answered and run to the case's `record.txt`."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Return the time since the record began."""
        return time.monotonic() - self._start_s

    def line(self, text: str) -> None:
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, port: int, answer):
        self.answer = answer
        self.open_sockets: set[socket.socket] = set()
        super().__init__(("127.0.0.1", port), _Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has closed."""

    def kill(self) -> None:
        """Close the listening socket and reset all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.open_sockets):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.open_sockets.add(self.connection)

    def finish(self):
        self.server.open_sockets.discard(self.connection)
        super().finish()

    def log_message(self, *_):
        pass

    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        reply = self.server.answer(self.command, self.path, self.headers, body)
        if reply is None:
            # No answer: the connection delivers nothing further.
            time.sleep(30.0)
            self.close_connection = True
            return
        status, document = reply
        content = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815 (http.server)


class Store:
    """The platform's metadata store: rows, transactions, a feed.

    Attributes
    ----------
    on_tx : callable or None
        Called with the body of each write before it is applied. Returns ``"lose"`` if
        the write is to be applied and not answered, else None.
    silent_for : set of str
        Machines that get no answer, and whose calls are not performed.
    """

    def __init__(self, record: Record):
        self.record = record
        self.on_tx = None
        self.silent_for: set[str] = set()
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self._changes: list[dict] = []
        self._version = 0
        self._changed = threading.Condition()
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._server = _Server(self.port, self._answer)

    def operator_put(self, key: str, document) -> None:
        """Write a row on behalf of the operator."""
        with self._changed:
            self._apply([], [("op", "", key, json.dumps(document).encode())], [])
        self.record.line(f"operator wrote op/{key}")

    def holder(self) -> str:
        """Return the name of the entry in the row that names the cell's holder.

        It is the process that last wrote to the store under a condition.
        """
        with self._changed:
            row = self.rows.get(("cells", SERVICE, "holder"))
        text = row[0] if row else b""
        names = [name for name in self.entry_names if name.encode() in text]
        return names[0] if names else ""

    entry_names: list[str] = []

    def address_for(self, machine: str) -> str:
        """Return an address of the store of its own for one machine."""
        port = free_port()

        def answer(*call):
            if machine in self.silent_for:
                return None
            reply = self._answer(*call)
            return None if machine in self.silent_for else reply

        _Server(port, answer)
        return f"127.0.0.1:{port}"

    def _answer(self, method, path, headers, body):
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/api/rows-get":
            return self._get(query)
        if parts.path == "/api/rows-parts":
            return self._parts(query)
        if parts.path == "/api/rows-feed":
            return self._feed(query)
        return 404, {}

    def _stamp(self, document: dict) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {**document, "ver": self._version, "nowMs": now_ms}

    def _transact(self, body: dict):
        expected = [
            (row["table"], row.get("part", ""), row["key"], row["ver"])
            for row in body.get("expected") or ()
        ]
        puts = [
            (r["table"], r.get("part", ""), r["key"], base64.b64decode(r["value"]))
            for r in body.get("setKeys") or ()
        ]
        removes = [
            (row["table"], row.get("part", ""), row["key"])
            for row in body.get("remove") or ()
        ]
        if any(row[0] in ("op", "servers") for row in [*puts, *removes]):
            return 403, {}
        lose = self.on_tx(expected, puts) == "lose" if self.on_tx else False
        time.sleep(0.004)
        with self._changed:
            found = [(row, self.rows.get(row[:3])) for row in expected]
            if any((now[1] if now else 0) != row[3] for row, now in found):
                rows = [_row_document(row[:3], now) for row, now in found]
                reply = 412, self._stamp({"rows": rows})
            else:
                self._apply(expected, puts, removes)
                reply = 200, self._stamp({})
        return None if lose else reply

    def _apply(self, _expected, puts, removes) -> None:
        self._version += 1
        for *address, value in puts:
            self.rows[tuple(address)] = (value, self._version)
            self._changes.append(_row_document(tuple(address), (value, self._version)))
        for address in removes:
            self.rows.pop(address, None)
            document = _row_document(address, (b"", self._version))
            del document["value"]
            self._changes.append({**document, "tombstone": True})
        self._changed.notify_all()

    def _get(self, query: dict):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        with self._changed:
            keys = sorted(
                address
                for address in self.rows
                if address[:2] == (table, part)
                and address[2] >= first
                and (not end or address[2] < end)
            )
            page = keys[: min(500, int(query.get("limit", 500)))]
            rows = [_row_document(address, self.rows[address]) for address in page]
            more = len(keys) > len(page)
            return 200, self._stamp({"rows": rows, "morePages": more})

    def _parts(self, query: dict):
        with self._changed:
            parts = sorted({a[1] for a in self.rows if a[0] == query["table"]})
            parts = [part for part in parts if part > query.get("after", "")]
            document = {"parts": parts[:1000], "morePages": len(parts) > 1000}
            return 200, self._stamp(document)

    def _feed(self, query: dict):
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000)
        with self._changed:
            while True:
                rows = [
                    row
                    for row in self._changes
                    if row["table"] == table and row["ver"] > after
                ]
                left_s = end_s - time.monotonic()
                if rows or left_s <= 0:
                    return 200, self._stamp({"rows": rows})
                self._changed.wait(left_s)


def _row_document(address, now) -> dict:
    table, part, key = address
    document = {"table": table, "part": part, "key": key, "ver": now[1] if now else 0}
    if now:
        document["value"] = base64.b64encode(now[0]).decode()
    return document


class Run:
    """A run of a task on a minion."""

    def __init__(self, task: str, run: int, work_s: float):
        self.task, self.run = task, run
        self.work_s = work_s
        self.started_s = time.monotonic()
        self.stop_at_s = float("inf")


class Minion:
    """A minion with an in-memory life; see "Running tasks" in the pages.

    A task's `spec` is its work in seconds.

    Attributes
    ----------
    on_start : callable or None
        Called with the body of each start. Returns ``"late"`` if the start is to get no
        answer and to be carried out `late_s` later, ``"unhealthy"`` if it is to be
        rejected with 503, else None.
    """

    def __init__(self, record: Record, name: str, zone: str, rack: str, control: str):
        self.record = record
        self.machine = name
        self.id = name
        self.zone, self.rack, self.control = zone, rack, control
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.kind = "a"
        self.on_start = None
        self.late_s = 8.0
        self.orders = {"all": 0, "unanswered": 0}
        self.is_cut = False
        self.is_up = False
        self.draining_ms: int | None = None
        self.starts: list[tuple[float, str, int, int]] = []  # with the life
        self.ends: list[tuple[float, str, int, str]] = []
        self.acknowledged_drain_s: float | None = None
        self._changed = threading.Condition()
        self._life = 0
        self._server: _Server | None = None
        self.boot()
        threading.Thread(target=self._advance, daemon=True).start()

    def boot(self) -> None:
        """Begin a life: it holds and knows nothing of before."""
        with self._changed:
            self._life += 1
            self.born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            self._fence = 0
            self._until_s = 0.0
            self._closed: dict[str, int] = {}
            self._ended: list[list] = []
            self._last_number = 0
            self._sequence = 0
            self.running: dict[str, Run] = {}
            self.draining_ms = None
            self.is_up = True
            life = self._life
        if self._server is None:
            self._server = _Server(self.port, self._answer)
        threading.Thread(target=self._beat, args=(life,), daemon=True).start()
        self.record.line(f"{self.machine}: life {life} begins as {self.id}")

    def crash(self) -> None:
        """End the life without notice.

        Behind a cut, the other side does not see that its connections have ended.
        """
        with self._changed:
            self.is_up = False
            for run in self.running.values():
                self.record.line(f"{self.machine}: {run.task} run {run.run} lost")
            self.running = {}
            self._changed.notify_all()
        self.record.line(f"{self.machine}: crashed")
        if not self.is_cut:
            self._server.kill()
            self._server = None

    def drain(self, remaining_ms: int) -> None:
        """Say with the next heartbeat, sent at once, that the minion drains."""
        self.draining_ms = remaining_ms
        threading.Thread(target=self._send_beat, daemon=True).start()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    def _beat(self, life: int) -> None:
        while self.is_up and self._life == life:
            self._send_beat()
            time.sleep(BEAT_S)

    def _send_beat(self) -> None:
        if self.is_cut or not self.is_up:
            return
        self._sequence += 1
        document = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready" if self.draining_ms is None else "draining",
            "coldMs": 0,
            "capacity": CAPACITY,
            "labels": [self.kind, self.rack],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self.born_ms,
        }
        drains = self.draining_ms is not None
        if drains:
            document["remainingMs"] = self.draining_ms
        try:
            status = request(
                self.control, "PUT", f"/api/instances/{self.id}", document, 1.0
            )[0]
        except OSError:
            return
        if drains and self.acknowledged_drain_s is None and status // 100 == 2:
            self.acknowledged_drain_s = time.monotonic()
            self.record.line(f"{self.machine}: draining is acknowledged")

    def _answer(self, method, path, headers, body):
        if self.is_cut or not self.is_up:
            return None
        if unquote(headers.get("X-Target-Instance") or self.id) != self.id:
            return 421, {}
        document = json.loads(body)
        name = path.removeprefix("/api/")
        self.orders["all"] += 1
        if name == "run-start":
            found = self.on_start(document) if self.on_start else None
            if found == "unhealthy":
                self.record.line(
                    f"{self.machine}: unhealthy, rejects the start of "
                    f"{document['task']} run {document['run']} with 503"
                )
                return self._reply(503)
            if found == "late":
                self.orders["unanswered"] += 1
                self.record.line(
                    f"{self.machine}: no answer to the start of {document['task']} run "
                    f"{document['run']}; it is carried out {self.late_s} s later"
                )
                timer = threading.Timer(self.late_s, self._start_late, [document])
                timer.daemon = True
                timer.start()
                return None
            return self._start(document)
        if name == "run-stop":
            return self._stop(document)
        if name == "hold":
            return self._hold(document)
        return 404, {}

    def _reply(self, status: int, **fields):
        return status, {**fields, "clockMs": self._clock_ms(), "born": self.born_ms}

    def _is_fenced_off(self, document: dict) -> bool:
        fence = document.get("fence", 0)
        if fence < self._fence:
            return True
        self._fence = fence
        return False

    def _extend(self, until_ms) -> None:
        if until_ms is not None:
            now_s = self._clock_ms() / 1000
            self._until_s = max(
                self._until_s, min(until_ms / 1000, now_s + MAX_LEASE_S)
            )

    def _start_late(self, document: dict) -> None:
        if self.is_up and not self.is_cut:
            status, reply = self._start(document, late=True)
            self.record.line(
                f"{self.machine}: late start of {document['task']} run "
                f"{document['run']}: {status} {reply.get('reason', '')}"
            )

    def _start(self, document: dict, late: bool = False):
        task, number = document["task"], document["run"]
        with self._changed:
            if self._is_fenced_off(document):
                return self._reply(409, reason="fence")
            present = self.running.get(task)
            if present is not None and present.run == number:
                return self._reply(200)
            if number <= self._closed.get(task, 0):
                self._extend(document["untilMs"])
                return self._reply(409, reason="old")
            if document["untilMs"] <= self._clock_ms():
                return self._reply(409, reason="late")
            self._extend(document["untilMs"])
            self.running[task] = Run(task, number, float(document["spec"]))
            if not late:
                self.starts.append((time.monotonic(), task, number, self._life))
            how = "started late" if late else "started"
            self.record.line(f"{self.machine}: {task} run {number} {how}")
            return self._reply(200)

    def _stop(self, document: dict):
        task, number = document["task"], document["run"]
        with self._changed:
            if self._is_fenced_off(document):
                return self._reply(409, reason="fence")
            self._closed[task] = max(self._closed.get(task, 0), number)
            run = self.running.get(task)
            if run is not None and run.run <= number:
                run.stop_at_s = min(run.stop_at_s, time.monotonic() + STOP_S / 2)
            return self._reply(200)

    def _hold(self, document: dict):
        wait_s = min(2000, document.get("waitMs", 0)) / 1000
        with self._changed:
            if self._is_fenced_off(document):
                return self._reply(409, reason="fence")
            life = self._life
            seen = document.get("lastSeen", 0)
            for end in self._ended:
                if end[0] <= seen:
                    self.record.line(f"{self.machine}: end {end} is taken note of")
            self._ended = [end for end in self._ended if end[0] > seen]
            self._extend(document.get("untilMs"))
            self._changed.wait_for(
                lambda: self._ended or not self.is_up or self._life != life, wait_s
            )
            if not self.is_up or self._life != life:
                return None
            running = [
                [run.task, run.run, "", self._percent(run), 1000]
                for run in self.running.values()
            ]
            return self._reply(200, running=running, ended=self._ended[:ENDED])

    def _percent(self, run: Run) -> int:
        share = (time.monotonic() - run.started_s) / max(run.work_s, 0.001)
        return min(99, int(100 * share))

    def _advance(self) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                now_s = time.monotonic()
                lapsed = self._until_s * 1000 < self._clock_ms()
                for run in list(self.running.values()):
                    if lapsed:
                        self._end(run, "lapsed")
                    elif now_s >= run.stop_at_s:
                        self._end(run, "stopped")
                    elif now_s - run.started_s >= run.work_s:
                        self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.run)
        self._last_number += 1
        self._ended.append([self._last_number, run.task, run.run, how, ""])
        self.ends.append((time.monotonic(), run.task, run.run, how))
        self.record.line(f"{self.machine}: {run.task} run {run.run} ended {how}")
        self._changed.notify_all()


def request(address, method, path, body=None, timeout_s=3.0, headers=None):
    """Make one call on a connection of its own; return its status and document."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, content, sent)
        reply = connection.getresponse()
        data = reply.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        connection.close()
    try:
        return reply.status, json.loads(data) if data else {}
    except ValueError:
        return reply.status, {}


class Deployment:
    """Entries, agents and stand-ins of a small deployment."""

    def __init__(self, folder: Path, entries: int, minions: int):
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._temporary.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.roles: dict[str, str] = {}
        self.fronts: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.minions: list[Minion] = []
        # By job: the cpu, memMb and gpu of each of its tasks.
        self.needs: dict[str, tuple[int, int, int]] = {}
        self.store = Store(self.record)
        self.store.entry_names = [f"edge-{i}" for i in range(entries)]
        self.store.operator_put("config", self.config())
        for i in range(minions):
            control = f"127.0.0.1:{free_port()}"
            zone, rack = f"zone-{i % 3}", f"r{i % 3}-0"
            minion = Minion(self.record, f"m{i}", zone, rack, control)
            self.minions.append(minion)
            extra = f'app = "{minion.address}"\nservice = "{SERVICE}"'
            listen = f'control = "{control}"'
            self._write_settings(f"side-{i}", "agent", zone, extra, listen)
        for i in range(entries):
            name = f"edge-{i}"
            self.fronts[name] = f"127.0.0.1:{free_port()}"
            self.ready[name] = f"127.0.0.1:{free_port()}"
            listen = f'front = "{self.fronts[name]}"\nready = "{self.ready[name]}"'
            self._write_settings(name, "entry", f"zone-{i % 3}", "", listen)

    def config(self) -> dict:
        """Return the operator's configuration."""
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "priority": 1,
            "service": SERVICE,
            "attempts": 3,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        }
        tenant = {"name": "w", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}
        return {
            "version": 3,
            "routes": [route],
            "services": [{"name": SERVICE}],
            "tenants": [tenant],
            "limits": {},
        }

    def _write_settings(self, name, role, zone, extra, listen) -> None:
        self.roles[name] = role
        text = SETTINGS.format(
            name=name,
            role=role,
            machine_class="edge" if role == "entry" else "side",
            counted="true" if role == "entry" else "false",
            zone=zone,
            peer=free_port(),
            extra=extra,
            listen=listen,
            store=self.store.address_for(name),
        )
        (self.folder / f"{name}.toml").write_text(text)

    def start(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment.update(
            CICADABANK_SETTINGS=str(self.folder / f"{name}.toml"),
            PYTHONPATH=str(ROOT / "target" / "deps"),
            PYTHONDONTWRITEBYTECODE="1",
            GRPC_VERBOSITY="NONE",
        )
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "cicadabank.platform", self.roles[name]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line(f"{name}: process started")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.line(f"{name}: {number.name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait(10.0)

    def start_all(self) -> bool:
        """Start all processes; return whether all are ready in time."""
        for name in self.roles:
            self.start(name)
        end_s = time.monotonic() + 30.0
        while time.monotonic() < end_s:
            if all(self._is_ready(name) for name in self.fronts) and self._capacity():
                return True
            time.sleep(0.1)
        return False

    def _is_ready(self, name: str) -> bool:
        try:
            return (
                request(self.ready[name], "GET", "/api/readiness", None, 1.0)[0] == 200
            )
        except OSError:
            return False

    def _capacity(self) -> bool:
        logs = [self.folder / f"{name}.log" for name in self.fronts]
        found = {
            line.split('"target": "')[1].split('"')[0]
            for log in logs
            for line in log.read_text().splitlines()
            if '"target_found"' in line and '"target": "' in line
        }
        return len(found) >= len(self.minions)

    def call(self, entry: str, method: str, job: str, body=None, timeout_s=3.0):
        """Make a client's call; return its status and document, or (0, {})."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        path = PREFIX + job
        try:
            found = request(self.fronts[entry], method, path, body, timeout_s, headers)
        except OSError as error:
            self.record.line(f"client: {method} {path} at {entry} -> {error!r}")
            return 0, {}
        self.record.line(f"client: {method} {path} at {entry} -> {found}")
        return found

    def submit(self, entry: str, job: str, work_s: float, **step) -> int:
        """Submit a job of one step; return the status."""
        fields = {"count": 1, "cpu": 2800, "memMb": 8200, "gpu": 1}
        fields["estimateMs"] = int(work_s * 1000)
        fields.update(step)
        self.needs[job] = (fields["cpu"], fields["memMb"], fields["gpu"])
        body = {"spec": str(work_s), "steps": [fields]}
        return self.call(entry, "POST", job, body)[0]

    def running_tasks(self, job: str) -> list[tuple[Minion, Run]]:
        """Return the runs of a job that are at work, with their minions."""
        return [
            (minion, run)
            for minion in self.minions
            for run in list(minion.running.values())
            if run.task.startswith(job)
        ]

    def close(self) -> None:
        """End all processes that were started; `KEEP_LOGS` names a folder for logs."""
        for name in list(self.processes):
            process = self.processes.pop(name)
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(10.0)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def wait_for(condition, timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    `case` gets the folder of the script and returns whether the rule held, or None if
    the case could not run.
    """
    folder = Path(sys.argv[0]).resolve().parent
    if not (ROOT / "target" / "deps" / "cicadabank").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(2)
    try:
        held = case(folder)
    except Exception as error:
        print(f"the case could not run: {error!r}")
        with (folder / "record.txt").open("a") as record:
            record.write(f"the case could not run: {error!r}\n")
        held = None
    sys.exit({True: 0, False: 1, None: 2}[held])
