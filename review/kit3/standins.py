"""Stand-ins for the users' platform, and the project's programs as processes.

The store, the minions and the clients follow the users' pages. They run as threads of
the script; entries and agents run as processes with the commands of the deploy file.
Each machine has a loopback address of its own, and the ports are the same on all.
"""

from __future__ import annotations

import base64
import http.client
import json
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
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# Bounds of arrieta-taller, as its sheet gives them.
STOP_S = 0.9
MAX_LEASE_S = 10.0
GANG_TIMEOUT_S = 3.0
CANCEL_S = 3.0
FINISH_S = 14.0
STANDSTILL_S = 3.0
STOP_GRACE_S = 6.0
HEARTBEAT_S = 1.5
TX_S = 0.004
DEADLINE_S = 3.0
TICK_S = 0.02
MAX_PAGE_ROWS = 500
MAX_LISTED_ENDS = 500
MAX_HOLD_WAIT_S = 2.0
NO_ANSWER_S = 3.0  # longer than the agent's timeouts
CAPACITY = {"cpu": 32_000, "memMb": 131_072, "gpu": 8}
HOST = "bindery.example"
KEY = "key-of-the-workspace"
PREFIX, SERVICE = "/covers/", "libro-memoria"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """The file of what was sent, answered and run, with times from the start.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.start_s

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address, handler):
        self.open_sockets: set[socket.socket] = set()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore clients that have left."""


class Web:
    """An HTTP server of a stand-in, on a loopback address.

    Parameters
    ----------
    handle : callable
        Returns the status and the JSON document for a method, a path, a query, the
        headers and a body; None drops the connection without an answer.
    """

    def __init__(self, address: tuple[str, int], handle: Callable):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def _serve(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                parts = urlsplit(self.path)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                answer = handle(self.command, parts.path, query, self.headers, body)
                if answer is None:
                    self.close_connection = True
                    return
                status, document = answer
                content = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

        self._server = _Server(address, Handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop listening and break all connections."""
        self._server.shutdown()
        self._server.server_close()
        for sock in list(self._server.open_sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Store:
    """The platform's metadata store, as the page on the protocol describes it."""

    def __init__(self, address: tuple[str, int]):
        self._changed = threading.Condition()
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._web = Web(address, self._handle)

    def close(self) -> None:
        """Stop serving."""
        self._web.close()

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row with an empty part on behalf of the operator."""
        with self._changed:
            self._version += 1
            value = json.dumps(document).encode()
            self._rows[table, "", key] = (value, self._version)
            self._changed.notify_all()

    def keys(self, table: str, prefix: str) -> list[str]:
        """Return the keys of a table that begin with a prefix."""
        with self._changed:
            return sorted(
                key
                for (name, _, key), (value, _) in self._rows.items()
                if name == table and key.startswith(prefix) and value is not None
            )

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of the first row with a key."""
        with self._changed:
            for (name, _, known), (value, _) in self._rows.items():
                if name == table and known == key:
                    return value
        return None

    def _handle(self, method, path, query, headers, body):
        del method, headers
        if path == "/api/rows-tx":
            return self._transact(json.loads(body))
        with self._changed:
            if path == "/api/rows-parts":
                parts = sorted(
                    {
                        part
                        for (name, part, _), (value, _) in self._rows.items()
                        if name == query["table"] and value is not None
                    }
                )
                return self._page({"parts": parts, "morePages": False})
            if path == "/api/rows-get":
                return self._get(query)
            if path == "/api/rows-feed":
                return self._feed(query)
        return 404, {}

    def _page(self, document: dict) -> tuple[int, dict]:
        now_ms = int(time.monotonic() * 1000)
        return 200, {"ver": self._version, "nowMs": now_ms, **document}

    def _get(self, query: dict) -> tuple[int, dict]:
        first, end = query.get("from", ""), query.get("target", "")
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self._rows.items()
            if table == query["table"]
            and part == query.get("part", "")
            and value is not None
            and key >= first
            and (not end or key < end)
        )
        rows = [
            _row(query["table"], query.get("part", ""), *entry)
            for entry in found[:MAX_PAGE_ROWS]
        ]
        return self._page({"rows": rows, "morePages": len(found) > MAX_PAGE_ROWS})

    def _feed(self, query: dict) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]

        def changes() -> list:
            return sorted(
                (version, part, key, value)
                for (name, part, key), (value, version) in self._rows.items()
                if name == table and version > after
            )

        self._changed.wait_for(changes, int(query["waitMs"]) / 1000)
        rows = [_row(table, p, k, v, version) for version, p, k, v in changes()]
        return self._page({"rows": rows})

    def _transact(self, body: dict) -> tuple[int, dict]:
        time.sleep(TX_S)
        with self._changed:
            keys = [(r["table"], r["part"], r["key"]) for r in body["expected"]]
            current = [self._rows.get(key, (None, 0)) for key in keys]
            known = [version if value is not None else 0 for value, version in current]
            if known != [row["ver"] for row in body["expected"]]:
                rows = [
                    _row(*key, value, version)
                    for key, (value, version) in zip(keys, current, strict=True)
                ]
                return 412, {"rows": rows}
            self._version += 1
            for row in body["setKeys"]:
                key = (row["table"], row["part"], row["key"])
                self._rows[key] = (base64.b64decode(row["value"]), self._version)
            for row in body["remove"]:
                key = (row["table"], row["part"], row["key"])
                self._rows[key] = (None, self._version)
            self._changed.notify_all()
            return self._page({})


def _row(table: str, part: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}


class Event(NamedTuple):
    """What a minion did with a run.

    Attributes
    ----------
    kind : str
        ``started``, ``lost`` (with its minion), or how the run ended.
    """

    at_s: float
    kind: str
    minion: str
    task: str
    run: int

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.task.partition(".")[0]


class _Run:
    def __init__(self, task: str, run: int, spec: dict):
        self.task, self.run, self.spec = task, run, spec
        self.work_s = 0.0
        self.started_s = time.monotonic()
        self.stop_at_s = float("inf")


class Minion:
    """A minion: runs tasks under a lease, and reports to the agent of its machine.

    The spec of a job is a JSON object with `work_s`, the work of a task in seconds, and
    optionally `gang`, the number of members, and `fails_after_s`, the work after which
    each run fails.

    Attributes
    ----------
    leaves_unanswered : callable
        Tells by the path and the document of a call whether it gets no answer. Such
        calls are kept in `unanswered`, to be carried out late.
    calls : int
        Number of the calls that it got.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        address: tuple[str, int],
        control: tuple[str, int],
        rack: str,
        zone: str,
        service: str,
    ):
        self.fleet, self.name, self.service = fleet, name, service
        self.address, self.control = address, control
        self.rack, self.zone = rack, zone
        self.is_up = False
        self.incarnation = 0
        self.leaves_unanswered: Callable[[str, dict], bool] = lambda path, call: False
        self.unanswered: list[tuple[str, dict]] = []
        self.calls = 0
        self.runs: dict[str, _Run] = {}
        self._web: Web | None = None
        self.start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def start(self, same_id: bool = False) -> None:
        """Start a new incarnation, under a new id or the one that it had."""
        with self.fleet.changed:
            self.incarnation += 1
            if not same_id:
                self.id = f"i-{self.name}-{self.incarnation}"
            self._born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            self._sequence = self._fence = self._last_end = 0
            self._lease_until_s = 0.0
            self._ended: list[list] = []
            self._closed: dict[str, int] = {}
            self.runs = {}
        self._web = Web(self.address, self._handle)
        self.is_up = True

    def crash(self, down_s: float | None) -> None:
        """End without notice; another incarnation starts after a time, if given."""
        with self.fleet.changed:
            self.is_up = False
            lost, self.runs = self.runs, {}
            for run in lost.values():
                self.fleet.emit("lost", self, run)
            self.fleet.changed.notify_all()
        self.fleet.record.write(f"minion {self.name} crashes, down for {down_s} s")
        self._web.close()
        if down_s is None:
            return
        timer = threading.Timer(down_s, self.start)
        timer.daemon = True
        timer.start()

    def _clock_s(self) -> float:
        return time.monotonic() - self._born_s

    def _document(self, fields: dict) -> dict:
        clock_ms = int(self._clock_s() * 1000)
        return {"clockMs": clock_ms, "born": self._born_ms, **fields}

    def _handle(self, method, path, query, headers, body):
        del method, query
        document = json.loads(body) if body else {}
        with self.fleet.changed:
            if not self.is_up:
                return None
            if headers.get("X-Target-Instance", self.id) != self.id:
                return 421, {}
            self.calls += 1
            if self.leaves_unanswered(path, document):
                self.unanswered.append((path, document))
                self.fleet.record.write(f"minion {self.id}: no answer to {path}")
                self.fleet.changed.wait_for(lambda: not self.is_up, NO_ANSWER_S)
                return None
            return self._carry_out(path, document)

    def carry_out_late(self, path: str, document: dict) -> None:
        """Carry out a call that got no answer."""
        with self.fleet.changed:
            answer = self._carry_out(path, {**document, "waitMs": 0})
            self.fleet.record.write(
                f"minion {self.id} carries out late: {path} {document}: {answer}"
            )

    def _carry_out(self, path: str, document: dict) -> tuple[int, dict] | None:
        if document.get("fence", 0) < self._fence:
            return 409, self._document({"reason": "fence"})
        self._fence = document.get("fence", 0)
        if path == "/api/run-start":
            return self._start_run(document)
        if path == "/api/run-stop":
            return self._stop_run(document)
        if path == "/api/hold":
            return self._hold(document)
        return 404, {}

    def _extend_lease(self, document: dict) -> None:
        until_s = document.get("untilMs", 0) / 1000
        until_s = min(until_s, self._clock_s() + MAX_LEASE_S)
        self._lease_until_s = max(self._lease_until_s, until_s)

    def _start_run(self, document: dict) -> tuple[int, dict]:
        task, number = document["task"], document["run"]
        active = self.runs.get(task)
        if active is not None and active.run == number:
            return 200, self._document({})
        if number <= self._closed.get(task, 0):
            self._extend_lease(document)
            return 409, self._document({"reason": "old"})
        if document["untilMs"] / 1000 <= self._clock_s():
            return 409, self._document({"reason": "late"})
        self._extend_lease(document)
        run = self.runs[task] = _Run(task, number, json.loads(document["spec"]))
        self.fleet.emit("started", self, run)
        return 200, self._document({})

    def _stop_run(self, document: dict) -> tuple[int, dict]:
        task, number = document["task"], document["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        active = self.runs.get(task)
        if active is not None and active.run == number:
            stop_at_s = time.monotonic() + STOP_S / 2
            active.stop_at_s = min(active.stop_at_s, stop_at_s)
        return 200, self._document({})

    def _hold(self, document: dict) -> tuple[int, dict] | None:
        self._extend_lease(document)
        seen, incarnation = document["lastSeen"], self.incarnation
        for end in self._ended:
            if end[0] <= seen:
                self.fleet.seen.append((self.name, incarnation, end[1], end[2], end[3]))
        self._ended = [end for end in self._ended if end[0] > seen]
        self.fleet.changed.wait_for(
            lambda: self._ended or not self.is_up or self.incarnation != incarnation,
            min(document.get("waitMs", 0) / 1000, MAX_HOLD_WAIT_S),
        )
        if not self.is_up or self.incarnation != incarnation:
            return None
        running = [
            [run.task, run.run, "", self._percent(run), 0] for run in self.runs.values()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        return 200, self._document({"running": running, "ended": ended})

    def _percent(self, run: _Run) -> int:
        return min(99, int(100 * run.work_s / run.spec["work_s"]))

    def advance(self, step_s: float) -> None:
        """Let the runs work; called with the fleet's lock held."""
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if self._clock_s() > self._lease_until_s:
                self.end(run, "lapsed")
            elif now_s >= run.stop_at_s:
                self.end(run, "stopped")
            elif self.fleet.is_complete(run):
                run.work_s += step_s
                if run.work_s >= run.spec.get("fails_after_s", float("inf")):
                    self.end(run, "failed")
                elif run.work_s >= run.spec["work_s"]:
                    self.end(run, "done")
            elif now_s - run.started_s > GANG_TIMEOUT_S:
                self.end(run, "alone")

    def end(self, run: _Run, how: str) -> None:
        """End a run, and with it the other members of its gang."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.run)
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.run, how, ""])
        self.fleet.emit(how, self, run)
        if run.spec.get("gang", 1) > 1:
            for minion, other in self.fleet.members(run):
                minion.end(other, "done" if how == "done" else "broken")
        self.fleet.changed.notify_all()

    def _send_heartbeats(self) -> None:
        while not self.fleet.closing.is_set():
            sent = self.is_up and self._send_heartbeat()
            self.fleet.closing.wait(HEARTBEAT_S if sent else 0.2)

    def _send_heartbeat(self) -> bool:
        self._sequence += 1
        document = {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldMs": 0,
            "capacity": CAPACITY,
            "labels": ["a", self.rack],
            "seq": self._sequence,
        }
        content = json.dumps(self._document(document))
        answer = request(self.control, "PUT", f"/api/instances/{self.id}", content, 1.0)
        return answer is not None and answer[0] == 200


class Fleet:
    """All minions, and the events of their runs.

    Attributes
    ----------
    events : list of Event
    seen : list of tuple
        Ends that `lastSeen` has reached: minion, incarnation, task, run and how.
    """

    def __init__(self, record: Record):
        self.record = record
        self.changed = threading.Condition(threading.RLock())
        self.closing = threading.Event()
        self.minions: dict[str, Minion] = {}
        self.events: list[Event] = []
        self.seen: list[tuple[str, int, str, int, str]] = []
        threading.Thread(target=self._advance, daemon=True).start()

    def emit(self, kind: str, minion: Minion, run: _Run) -> None:
        """Note what happened to a run."""
        event = Event(self.record.now_s(), kind, minion.name, run.task, run.run)
        self.events.append(event)
        self.record.write(f"minion {minion.id}: {run.task} run {run.run} {kind}")

    def members(self, run: _Run) -> list[tuple[Minion, _Run]]:
        """Return the active members of a run's gang."""
        step = run.task.rpartition(".")[0]
        return [
            (minion, other)
            for minion in self.minions.values()
            for other in minion.runs.values()
            if other.task.rpartition(".")[0] == step and other.run == run.run
        ]

    def is_complete(self, run: _Run) -> bool:
        """Return whether all members of a run's gang are present."""
        size = run.spec.get("gang", 1)
        return size == 1 or len(self.members(run)) >= size

    def where(self, job: str) -> list[str]:
        """Return the minions that run tasks of a job now."""
        with self.changed:
            return [
                minion.name
                for minion in self.minions.values()
                for run in minion.runs.values()
                if run.task.startswith(job)
            ]

    def idle_minions(self) -> list[str]:
        """Return the minions that are up and run nothing."""
        with self.changed:
            return [m.name for m in self.minions.values() if m.is_up and not m.runs]

    def has_done(self, job: str) -> bool:
        """Return whether a run of a job of one task has ended ``done``."""
        with self.changed:
            return any(e.job == job and e.kind == "done" for e in self.events)

    def idle_s(self, job: str, from_s: float, until_s: float) -> float:
        """Return the longest time within a span in which a job had nothing running."""
        with self.changed:
            events = [e for e in self.events if e.job == job and e.at_s <= until_s]
        active, since_s, longest_s = 0, 0.0, 0.0
        for event in events:
            if event.kind == "started":
                if not active:
                    idle_s = event.at_s - max(from_s, since_s)
                    longest_s = max(longest_s, idle_s)
                active += 1
            else:
                active -= 1
                since_s = event.at_s
        if not active:
            longest_s = max(longest_s, until_s - max(from_s, since_s))
        return longest_s

    def _advance(self) -> None:
        previous_s = time.monotonic()
        while not self.closing.wait(TICK_S):
            now_s = time.monotonic()
            with self.changed:
                for minion in list(self.minions.values()):
                    if minion.is_up:
                        minion.advance(now_s - previous_s)
            previous_s = now_s

    def close(self) -> None:
        """Stop all minions' work and heartbeats."""
        self.closing.set()


def request(
    address: tuple[str, int],
    method: str,
    path: str,
    body: str | None = None,
    timeout_s: float = DEADLINE_S,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict] | None:
    """Send a request on a new connection; None if no answer arrives."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        content_type = {"Content-Type": "application/json"}
        connection.request(method, path, body, {**content_type, **(headers or {})})
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, json.loads(content) if content else {}
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def step(count: int, gpu: int, estimate_s: float, **fields: object) -> dict:
    """Return a step whose tasks need 13 cores and some GPUs."""
    needs = {"cpu": 13_000, "memMb": 11_000, "gpu": gpu}
    return {"count": count, **needs, "estimateMs": int(estimate_s * 1000), **fields}


def _route(prefix: str, service: str) -> dict:
    """Return the route of a service's queue."""
    return {
        "name": f"r-{service}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "service": service,
        "priority": 1,
        "attempts": 3,
        "stretch": 3.0,
        "targetLatencyMs": 1000,
    }


class Proxy:
    """Passes connections on to an address, or breaks them after their first bytes.

    Parameters
    ----------
    address, upstream : tuple of (str, int)

    Attributes
    ----------
    breaks : bool
        Whether a connection is closed once the client has sent something, without
        passing anything on.
    """

    def __init__(self, address: tuple[str, int], upstream: tuple[str, int]):
        self.breaks = False
        self._upstream = upstream
        self._listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        with client, suppress(OSError):
            first = client.recv(65_536)
            if self.breaks:
                return
            with socket.create_connection(self._upstream) as server:
                server.sendall(first)
                back = threading.Thread(
                    target=self._copy, args=(server, client), daemon=True
                )
                back.start()
                self._copy(client, server)
                back.join()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with suppress(OSError):
            while data := source.recv(65_536):
                target.sendall(data)
        with suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()


SETTINGS = """\
node = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "navarra"
portRange = [{peer}, {peer_last}]
seeds = []
bootstrap = true
discovery = "local"
entry = "vip"
heartbeatMs = 1500
orders = "call"
{target}
[zones]
pamplona = "navarra"
estella = "navarra"
tafalla = "navarra"
[listen]
{listen}
[limits]
cpuShare = 0.645
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configMs = 2000
holdMaxMs = 10000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 4.0
"""
ZONES = ("pamplona", "estella", "tafalla")


class NotRunError(Exception):
    """The case could not run."""


class Deployment:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : Record
    services : dict of str to str
        The prefixes of the queues, with their services.
    """

    def __init__(self, folder: Path, record: Record, services: dict[str, str]):
        self.folder, self.record = folder, record
        ports = _free_ports(6)
        self._front, self._ready, self._control, self._peer, self._app, store = ports
        self.store_address = ("127.0.1.1", store)
        self.store = Store(self.store_address)
        self.fleet = Fleet(record)
        self.processes: dict[str, subprocess.Popen] = {}
        self.ips: dict[str, str] = {}
        self._services: dict[str, str] = {}  # by agent
        self._silent: list[socket.socket] = []
        self._proxies: dict[str, tuple[tuple[str, int], Proxy]] = {}  # by entry
        routes = [_route(prefix, service) for prefix, service in services.items()]
        tenant = {"name": "w", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}
        config = {"version": 4, "routes": routes, "tenants": [tenant]}
        config["services"] = [{"name": service} for service in services.values()]
        self.store.put("op", "config", config)

    def start_entry(self, number: int) -> str:
        """Start an entry on a machine of its own; return its name."""
        name, ip = f"edge-{number}", f"127.0.2.{number}"
        listen = f'front = "{ip}:{self._front}"\nready = "{ip}:{self._ready}"'
        self._start(name, ip, "entry", "edge", number, listen, "")
        return name

    def start_agent(self, number: int, ip: str = "", service: str = SERVICE) -> str:
        """Start an agent on a machine of its own; return its name."""
        name, ip = f"side-{number}", ip or f"127.0.9.{number}"
        self._services[name] = service
        listen = f'control = "{ip}:{self._control}"'
        target = f'app = "{ip}:{self._app}"\nservice = "{service}"'
        self._start(name, ip, "agent", "side", number, listen, target)
        return name

    def start_minion(self, agent: str, rack: str) -> Minion:
        """Start the minion beside an agent."""
        ip, number = self.ips[agent], int(agent.rpartition("-")[2])
        minion = Minion(
            self.fleet,
            agent,
            (ip, self._app),
            (ip, self._control),
            rack,
            ZONES[number % len(ZONES)],
            self._services[agent],
        )
        self.fleet.minions[agent] = minion
        return minion

    def _start(self, name, ip, role, machine_class, number, listen, target) -> None:
        self.ips[name] = ip
        text = SETTINGS.format(
            name=name,
            role=role,
            machine_class=machine_class,
            ip=ip,
            zone=ZONES[number % len(ZONES)],
            peer=self._peer,
            peer_last=self._peer,
            listen=listen,
            target=target,
            store="{}:{}".format(*self.store_address),
        )
        settings = self.folder / f"{name}.toml"
        settings.write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "CICADABANK_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GRPC_VERBOSITY": "NONE",
        }
        if role == "entry":
            environment["CICADABANK_POLICY"] = "deploy/policy.json"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "cicadabank.platform", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait(timeout=10.0)

    def lose(self, names: list[str]) -> None:
        """Lose machines at once: their addresses do not respond any more."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes.pop(name).wait(timeout=10.0)
            ports = [self._peer]
            if name.startswith("edge"):
                ports += [self._front, self._ready]
            for port in ports:
                self._silence(self.ips[name], port)

    def _silence(self, ip: str, port: int) -> None:
        """Have connections to an address hang, by a full queue of new ones."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        self._silent.append(listener)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((ip, port))
            self._silent.append(filler)

    def front(self, entry: str) -> tuple[str, int]:
        """Return where an entry listens for clients."""
        return self.ips[entry], self._front

    def start_proxy(self, entry: str) -> Proxy:
        """Let clients reach an entry through a proxy from now on."""
        address = (self.ips[entry].replace("127.0.2.", "127.0.3."), self._front)
        proxy = Proxy(address, self.front(entry))
        self._proxies[entry] = (address, proxy)
        return proxy

    def is_ready(self, entry: str) -> bool:
        """Return whether an entry reports ready."""
        address = (self.ips[entry], self._ready)
        answer = request(address, "GET", "/api/readiness", timeout_s=1.0)
        return answer is not None and answer[0] == 200

    def call(
        self,
        method: str,
        job: str,
        entry: str,
        document: dict | None = None,
        prefix: str = PREFIX,
    ) -> tuple[int, dict] | None:
        """Send a client's request to an entry."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        body = json.dumps(document) if document is not None else None
        self.record.write(f"client: {method} {prefix}{job} to {entry} {body or ''}")
        address, _ = self._proxies.get(entry, (self.front(entry), None))
        answer = request(address, method, prefix + job, body, headers=headers)
        self.record.write(f"client: {method} {prefix}{job} from {entry}: {answer}")
        return answer

    def submit(
        self,
        job: str,
        work_s: float,
        steps: list[dict],
        entry: str,
        prefix: str = PREFIX,
        **spec: object,
    ) -> None:
        """Submit a job until it is accepted, as clients do.

        Raises
        ------
        NotRunError
            If it isn't.
        """
        document = {"spec": json.dumps({"work_s": work_s, **spec}), "steps": steps}
        for _ in range(5):
            answer = self.call("POST", job, entry, document, prefix)
            if answer is not None and answer[0] == 200:
                return
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                break
            time.sleep(1.0)
        raise NotRunError(f"the job {job} was not accepted")

    def cancel(self, job: str, entry: str, prefix: str = PREFIX) -> int:
        """Cancel a job; return the status that acknowledges it, 200 or 410."""
        answer = self.call("DELETE", job, entry, prefix=prefix)
        if answer is None or answer[0] not in (200, 410):
            raise NotRunError(f"the cancellation was answered {answer}")
        return answer[0]

    def state(self, job: str, entry: str, prefix: str = PREFIX) -> str:
        """Return the state that a client is shown; empty without an answer."""
        answer = self.call("GET", job, entry, prefix=prefix)
        if answer is None or answer[0] != 200:
            return ""
        return answer[1].get("state", "")

    def log_events(self, name: str, event: str) -> list[dict]:
        """Return the log lines of a process with an event."""
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            with suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") == event:
                    found.append(entry)
        return found

    def holder(self, service: str = SERVICE) -> str:
        """Return the entry that has last loaded a service's cell; empty if none has."""
        loaded = [
            (event["epoch"], name)
            for name in self.ips
            if name.startswith("edge") and name in self.processes
            for event in self.log_events(name, "cell_loaded")
            if event["cell"] == service
        ]
        return max(loaded, default=(0, ""))[1]

    def close(self) -> None:
        """End all processes and stand-ins."""
        self.fleet.close()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=10.0)
        self.store.close()
        for _, proxy in self._proxies.values():
            proxy.close()
        for sock in self._silent:
            sock.close()


def _free_ports(count: int) -> list[int]:
    """Return ports that are free on the first machines of each kind."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(20_000, 32_000)
        if port not in ports and all(
            _is_free(f"127.0.{machines}.1", port) for machines in (0, 1, 2, 3, 9)
        ):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def wait_for(condition: Callable[[], object], timeout_s: float, what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    NotRunError
        If it doesn't in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise NotRunError(f"timed out: {what}")
        time.sleep(0.05)


def start_small(
    deployment: Deployment, entries: int, sides: int, rack_size: int = 3
) -> list[str]:
    """Start entries, agents and minions; return the names of the entries."""
    names = [deployment.start_entry(number) for number in range(1, entries + 1)]
    agents = [deployment.start_agent(number) for number in range(1, sides + 1)]
    for position, agent in enumerate(agents):
        deployment.start_minion(agent, f"r1-{position // rack_size + 1}")
    wait_for(lambda: all(map(deployment.is_ready, names)), 30.0, "entries get ready")
    wait_for(
        lambda: (
            (holder := deployment.holder())
            and len(deployment.log_events(holder, "target_found")) >= sides
        ),
        30.0,
        "all minions are known",
    )
    return names


def standing_jobs(deployment: Deployment, jobs: list[str], end_s: float) -> list[str]:
    """Return the jobs that stand still `FINISH_S` after the end of the traffic.

    Waits until then and for `STANDSTILL_S` more.

    Parameters
    ----------
    deployment : Deployment
    jobs : list of str
        Jobs that have not ended by then.
    end_s : float
        End of the traffic.
    """
    from_s, until_s = end_s + FINISH_S, end_s + FINISH_S + STANDSTILL_S
    time.sleep(max(0.0, from_s - deployment.record.now_s()))
    idle = len(deployment.fleet.minions)
    while deployment.record.now_s() < until_s + 0.2:
        idle = min(idle, len(deployment.fleet.idle_minions()))
        time.sleep(TICK_S)
    deployment.record.write(f"at least {idle} minions were idle all the while")
    # Capacity for a task of any size twice over, and under half of it in use.
    if idle < 2 or 2 * idle <= len(deployment.fleet.minions):
        return []
    found = []
    for job in jobs:
        if deployment.fleet.has_done(job):
            continue
        idle_s = deployment.fleet.idle_s(job, end_s, until_s)
        deployment.record.write(f"{job} had nothing running for up to {idle_s:.1f} s")
        # Less than a tick is lost where the span begins and ends.
        if deployment.fleet.idle_s(job, from_s, until_s) >= STANDSTILL_S - TICK_S:
            found.append(job)
    return found


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


@contextmanager
def deployed(case: Path, services: dict[str, str]) -> Iterator[Deployment]:
    """Give a case an empty deployment; end all of it with the block."""
    folder = Path(tempfile.mkdtemp(prefix="review-3-"))
    record = Record(case / "record.txt")
    deployment = Deployment(folder, record, services)
    try:
        yield deployment
    finally:
        deployment.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def run_case(
    case: Path,
    play: Callable[[Deployment], str],
    services: dict[str, str] | None = None,
) -> int:
    """Play a case; return the exit code of its script.

    Parameters
    ----------
    case : Path
        Folder of the case.
    play : callable
        Returns what broke the rule; empty if it held.
    services : dict of str to str, optional
        The prefixes of the queues, with their services; by default one.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        with deployed(case, services or {PREFIX: SERVICE}) as deployment:
            broken = play(deployment)
            verdict = f"broken: {broken}" if broken else "held"
            deployment.record.write(f"rule {verdict}")
    except NotRunError as error:
        print(f"not run: {error}")
        return EXIT_NOT_RUN
    except Exception:
        # Any error of the script itself must not count as a broken rule.
        traceback.print_exc()
        return EXIT_NOT_RUN
    print(f"rule {verdict}")
    return EXIT_BROKEN if broken else EXIT_HELD
