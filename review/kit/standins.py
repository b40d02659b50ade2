"""Stand-ins of the users' platform for the cases: the store, minions and a proxy.

They follow PROTOCOL.md and use the standard library alone. Every time is in seconds of
the steady clock, but for fields that end in `_ms`.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import socket
import socketserver
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit

MAX_ROWS_PER_PAGE = 500
MAX_PAGE_BYTES = 1_000_000
MAX_TX_BYTES = 1_000_000
MAX_ENTRIES = 100
ROW_BYTES = 65_536
MAX_LISTED_ENDS = 500
HOLD_MAX_S = 10.0
HEARTBEAT_S = 1.5
RESET = struct.pack("ii", 1, 0)


class _Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """An HTTP server whose open connections can be closed, as by a crash."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: str, handle):
        host, _, port = address.rpartition(":")
        self.handle_call = handle
        self.open_sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        super().__init__((host, int(port)), _Handler)

    def start(self) -> None:
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def get_request(self):
        connection, peer = super().get_request()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self.open_sockets.add(connection)
        return connection, peer

    def shutdown_request(self, request) -> None:
        with self._lock:
            self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Ignore connections that the peer or a crash has closed."""

    def stop(self) -> None:
        """Stop listening, and reset all open connections."""
        self.shutdown()
        self.server_close()
        self.reset_all()

    def reset_all(self) -> None:
        with self._lock:
            sockets = list(self.open_sockets)
        for connection in sockets:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        """Print nothing."""

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        reply = self.server.handle_call(self.command, self.path, self.headers, body)
        if reply is None:  # no answer: the connection delivers nothing further
            self.close_connection = True
            return
        status, document = reply
        content = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815


class Store:
    """The platform's metadata store, in memory.

    Attributes
    ----------
    down : bool
        Every call is answered with 503; nothing is done.
    late_writes : bool
        Writes that add a job get no answer and are done `late_s` later, if their
        conditions still hold.
    rejected : list of str
        Why calls beyond a limit of the platform were answered with 400.
    """

    def __init__(self, address: str):
        self.rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self.changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.changed = threading.Condition()
        self.down = False
        self.late_writes = False
        self.late_s = 6.0
        self.rejected: list[str] = []
        self.epoch_s = time.monotonic() - 1000.0
        self.address = address
        self._server = _Server(address, self._handle)
        self._server.start()

    def put(self, table: str, key: str, document) -> None:
        """Write a row on behalf of the operator."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self.changed:
            self._apply([(table, "", key)], [value], [])

    def _now_ms(self) -> int:
        return int((time.monotonic() - self.epoch_s) * 1000)

    def _apply(self, keys, values, removed) -> None:
        self.version += 1
        for key, value in zip(keys, values, strict=True):
            self.rows[key] = (self.version, value)
            self.changes.append((self.version, key, value))
        for key in removed:
            if self.rows.pop(key, None) is not None:
                self.changes.append((self.version, key, None))
        self.changed.notify_all()

    def _handle(self, method, path, headers, body):
        if self.down:
            return 503, {}
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        name = parts.path.removeprefix("/api/")
        if name == "rows-tx" and method == "POST":
            if self.late_writes and b'"key":"job/' in body.replace(b" ", b""):
                threading.Timer(self.late_s, self._transact, (body,)).start()
                return None
            return self._transact(body)
        if name == "rows-get":
            return self._get(query)
        if name == "rows-parts":
            return self._parts(query)
        if name == "rows-feed":
            return self._feed(query)
        return 404, {}

    def _transact(self, body: bytes):
        document = json.loads(body)
        expected = document.get("expected", [])
        puts, removes = document.get("setKeys", []), document.get("remove", [])
        entries = [*expected, *puts, *removes]
        if len(body) > MAX_TX_BYTES:
            return self._reject(f"a call of {len(body)} bytes")
        if len(entries) > MAX_ENTRIES:
            return self._reject(f"a call of {len(entries)} entries")
        for row in puts:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                return self._reject(f"a value of {size} bytes for {row['key']}")
        with self.changed:
            wrong = [
                row
                for row in expected
                if self.rows.get(_key(row), (0, ""))[0] != row["ver"]
            ]
            if wrong:
                found = [
                    self._document(_key(row))
                    for row in expected
                    if _key(row) in self.rows
                ]
                return 412, {"rows": found, "ver": self.version}
            self._apply(
                [_key(row) for row in puts],
                [row["value"] for row in puts],
                [_key(row) for row in removes],
            )
            return 200, {"ver": self.version, "nowMs": self._now_ms()}

    def _reject(self, why: str):
        self.rejected.append(why)
        return 400, {"error": why}

    def _document(self, key) -> dict:
        version, value = self.rows[key]
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
        }

    def _page(self, **fields):
        return 200, {**fields, "ver": self.version, "nowMs": self._now_ms()}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(MAX_ROWS_PER_PAGE, int(query.get("limit", MAX_ROWS_PER_PAGE)))
        with self.changed:
            keys = sorted(
                key
                for key in self.rows
                if key[:2] == (table, part)
                and key[2] >= first
                and (not end or key[2] < end)
            )
            rows, size = [], 0
            for key in keys[:limit]:
                document = self._document(key)
                size += len(document["value"]) + 200
                if rows and size > MAX_PAGE_BYTES:
                    break
                rows.append(document)
            return self._page(rows=rows, morePages=len(rows) < len(keys))

    def _parts(self, query):
        with self.changed:
            names = {key[1] for key in self.rows if key[0] == query["table"]}
            after = query.get("after")
            parts = sorted(n for n in names if after is None or n > after)
            return self._page(parts=parts[:1000], morePages=len(parts) > 1000)

    def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            while True:
                found = [c for c in self.changes if c[0] > after and c[1][0] == table]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0 or self.down:
                    break
                self.changed.wait(min(left_s, 0.1))
            if self.down:
                return 503, {}
            rows = []
            for version, key, value in found:
                row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                row.update({"tombstone": True} if value is None else {"value": value})
                rows.append(row)
            return self._page(rows=rows)


def _key(row) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


class Minion:
    """A sound minion: leases, fences, runs that end by themselves; it may crash.

    Parameters
    ----------
    work_s : callable
        Returns the seconds of work of a task, from its name and `spec`; negative for
        one that fails after this time.
    record : callable
        Called with a line for each event.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        zone: str,
        labels: list[str],
        work_s,
        record,
        capacity: dict | None = None,
    ):
        self.name, self.address, self.control = name, address, control
        self.zone, self.labels = zone, labels
        self.capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpu": 8}
        self._work_s, self._record = work_s, record
        self.changed = threading.Condition()
        self.is_up = self.is_mute = False
        # The next start that this predicate accepts gets no answer; it is kept here
        # until `carry_out_late`.
        self.delays_start = lambda task: False
        self._delayed: tuple | None = None
        self._server: _Server | None = None
        self.up()
        threading.Thread(target=self._advance, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def up(self, keep_id: bool = False) -> None:
        """Start a new life, under a new id or the former one; it knows nothing."""
        with self.changed:
            if not keep_id:
                self.id = f"i-{random.getrandbits(32):08x}"
            self.born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            self._sequence = 0
            self._fence = 0
            self._lease_s = 0.0
            # By task: run, end of the work.
            self.running: dict[str, tuple[int, float]] = {}
            self._stopping: dict[str, float] = {}
            self._fails: dict[str, bool] = {}
            self._closed: dict[str, int] = {}
            self.ended: list[list] = []
            self._ends = 0
            self._last_seen = 0
            self._has_lapsed = True
            self._server = _Server(self.address, self._handle)
            self._server.start()
            self.is_up = True
        self._record(f"minion {self.name} is up as {self.id}")

    def mute(self, is_mute: bool) -> None:
        """Leave calls and heartbeats out, as behind a cut, or end that."""
        self.is_mute = is_mute
        self._record(
            f"minion {self.name} is {'cut off' if is_mute else 'reached again'}"
        )
        if not is_mute:
            self._server.reset_all()

    def down(self) -> None:
        """Crash: everything that runs ends, and nothing answers any more."""
        with self.changed:
            if not self.is_up:
                return
            self.is_up = False
            lost = [f"{task} run {run}" for task, (run, _) in self.running.items()]
            self.running = {}
            self.changed.notify_all()
        self._server.stop()
        self._record(f"minion {self.name} crashes; with it {lost}")

    def carry_out_late(self) -> None:
        """Carry the delayed start out, as a call that comes in now."""
        reply = self._handle(*self._delayed)
        self._record(f"the delayed start is carried out on {self.id}: {reply}")

    def _swallows(self) -> bool:
        """Return whether a call is lost in a cut; it gets no answer meanwhile."""
        was_mute = self.is_mute
        while self.is_mute:
            time.sleep(0.02)
        return was_mute

    def _clock_s(self) -> float:
        return time.monotonic() - self._born_s

    def _handle(self, method, path, headers, body):
        if not self.is_up or self._swallows():
            return None
        if headers.get("X-Target-Instance") not in (None, self.id):
            return 421, {}
        document = json.loads(body)
        if path == "/api/run-start" and self._delayed is None:
            if self.delays_start(document["task"]):
                self._delayed = (method, path, headers, body)
                self._record(f"no answer to the start of {document['task']}")
                time.sleep(2.0)
                return None
        with self.changed:
            if document.get("fence", 0) < self._fence:
                return 409, {"clockMs": self._clock_ms(), "reason": "fence"}
            self._fence = document.get("fence", 0)
            if path == "/api/run-start":
                return self._start(document)
            if path == "/api/run-stop":
                return self._stop(document)
            if path == "/api/hold":
                return self._hold(document)
        return 404, {}

    def _clock_ms(self) -> int:
        return int(self._clock_s() * 1000)

    def _extend(self, document) -> None:
        if "untilMs" in document:
            until_s = min(document["untilMs"] / 1000, self._clock_s() + HOLD_MAX_S)
            self._lease_s = max(self._lease_s, until_s)

    def _start(self, document):
        task, run = document["task"], document["run"]
        if self.running.get(task, (0, 0.0))[0] == run:
            return 200, {"clockMs": self._clock_ms(), "born": self.born_ms}
        if run <= self._closed.get(task, 0) or task in self.running:
            self._extend(document)
            return 409, {"clockMs": self._clock_ms(), "reason": "old"}
        if document["untilMs"] / 1000 <= self._clock_s():
            return 409, {"clockMs": self._clock_ms(), "reason": "late"}
        self._extend(document)
        work_s = self._work_s(task, document["spec"])
        self._fails[task] = work_s < 0
        self.running[task] = (run, time.monotonic() + abs(work_s))
        self._record(f"started {task} run {run} on {self.id}")
        return 200, {"clockMs": self._clock_ms(), "born": self.born_ms}

    def _stop(self, document):
        task, run = document["task"], document["run"]
        self._closed[task] = max(run, self._closed.get(task, 0))
        if self.running.get(task, (0, 0.0))[0] == run:
            self._stopping.setdefault(task, time.monotonic() + 0.05)
        return 200, {"clockMs": self._clock_ms(), "born": self.born_ms}

    def _hold(self, document):
        self._extend(document)
        last_seen = document.get("lastSeen", 0)
        if last_seen > self._last_seen:
            self._last_seen = last_seen
            self._record(f"lastSeen on {self.id}: {last_seen}")
        self.ended = [end for end in self.ended if end[0] > last_seen]
        until_s = time.monotonic() + document.get("waitMs", 0) / 1000
        identity = self.id
        while not self.ended and self.is_up and self.id == identity:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.changed.wait(left_s)
        if not self.is_up or self.id != identity:
            return None
        running = [
            [task, run, "", 50, 0] for task, (run, _) in sorted(self.running.items())
        ]
        return 200, {
            "clockMs": self._clock_ms(),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:MAX_LISTED_ENDS],
        }

    def _end(self, task: str, how: str) -> None:
        run, _ = self.running.pop(task)
        self._stopping.pop(task, None)
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._ends += 1
        self.ended.append([self._ends, task, run, how, ""])
        line = f"ended {task} run {run} on {self.id} as end {self._ends}: {how}"
        self._record(line)
        self.changed.notify_all()

    def _advance(self) -> None:
        while True:
            time.sleep(0.01)
            with self.changed:
                now_s = time.monotonic()
                lapsed = self._clock_s() >= self._lease_s
                if lapsed and not self._has_lapsed and self.is_up:
                    self._record(f"the lease lapses on {self.id}")
                self._has_lapsed = lapsed
                for task, (_, end_s) in list(self.running.items()):
                    if lapsed:
                        self._end(task, "lapsed")
                    elif self._stopping.get(task, now_s + 1) <= now_s:
                        self._end(task, "stopped")
                    elif end_s <= now_s:
                        self._end(task, "failed" if self._fails[task] else "done")

    def _beat(self) -> None:
        first = ""
        while True:
            if (
                self.is_up
                and not self.is_mute
                and self._send_beat()
                and first != self.id
            ):
                first = self.id
            next_s = time.monotonic() + (HEARTBEAT_S if first == self.id else 0.2)
            identity = self.id
            while time.monotonic() < next_s and self.id == identity:
                time.sleep(0.02)

    def _send_beat(self) -> bool:
        self._sequence += 1
        body = {
            "service": "cell",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self.born_ms,
        }
        status, _ = call("PUT", self.control, f"/api/instances/{self.id}", body, 1.0)
        return status == 200


def call(method, address, path, body=None, timeout_s=4.0, headers=None):
    """Make a call; return the status, 0 without an answer, and the decoded body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = None if body is None else json.dumps(body)
    fields = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, content, fields)
        reply = connection.getresponse()
        text = reply.read()
        return reply.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


def owns_port(pid: int, port: int) -> bool:
    """Return whether a process has the loopback connection from a local port."""
    try:
        return _owns_port(pid, port)
    except OSError:
        return False  # the process has ended


def _owns_port(pid: int, port: int) -> bool:
    inodes = set()
    for name in ("tcp", "tcp6"):
        with open(f"/proc/{pid}/net/{name}") as table:
            for line in list(table)[1:]:
                fields = line.split()
                if int(fields[1].rpartition(":")[2], 16) == port:
                    inodes.add(f"socket:[{fields[9]}]")
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            if os.readlink(f"/proc/{pid}/fd/{name}") in inodes:
                return True
        except OSError:
            continue
    return False


class Proxy:
    """Forwards a TCP address to another one.

    Attributes
    ----------
    cut : bool
        Nothing passes: bytes are swallowed, and new connections stay silent.
    cut_pid : int
        The same, for the connections of this process alone; 0 for none.
    """

    def __init__(self, address: str, target: str):
        host, _, port = address.rpartition(":")
        self.address = address
        target_host, _, target_port = target.rpartition(":")
        self._target = (target_host, int(target_port))
        self.cut = False
        self.cut_pid = 0
        self._sockets: list[socket.socket] = []
        self._server = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._server.accept()
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _is_cut(self, port: int) -> bool:
        return self.cut or bool(self.cut_pid and owns_port(self.cut_pid, port))

    def _connect(self, near: socket.socket) -> None:
        self._sockets.append(near)
        port = near.getpeername()[1]
        while self._is_cut(port):
            time.sleep(0.05)
        try:
            far = socket.create_connection(self._target, timeout=2.0)
            far.settimeout(None)
        except OSError:
            self._close(near)
            return
        self._sockets.append(far)
        for pair in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=(*pair, port), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, port: int) -> None:
        try:
            while data := source.recv(65536):
                if (self.cut or self.cut_pid) and self._is_cut(port):
                    return  # a gap: nothing more passes on this connection
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(source)
            self._close(sink)

    def heal(self) -> None:
        """End the cut; open connections, some of which have a gap, are reset."""
        self.cut, self.cut_pid = False, 0
        sockets, self._sockets = self._sockets, []
        for connection in sockets:
            self._close(connection)

    @staticmethod
    def _close(connection: socket.socket) -> None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        connection.close()
