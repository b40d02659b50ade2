"""Logs as JSON lines and metrics by statsd."""

from __future__ import annotations

import atexit
import json
import sys
import threading
from collections import deque
from typing import TextIO

from loguru import logger
from statsd import StatsClient

# Lines of one event that are written in a second; a busy holder writes about forty.
LINES_PER_EVENT_AND_S = 200
# Lines that wait for a reader; more are dropped, and counted.
LINES_WAITING = 5_000
# For the last lines of a process that ends; a reader that has stopped gets no more.
FLUSH_S = 0.5


class LogWriter:
    """Writes lines from a thread of its own, so that a full pipe never holds up work.

    Parameters
    ----------
    stream : file object
    """

    def __init__(self, stream: TextIO):
        self._stream = stream
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def admit(self, event: str, now_s: float) -> bool:
        """Whether one more line of an event may be written in this second."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._counts = {}
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > LINES_PER_EVENT_AND_S or len(self._lines) >= LINES_WAITING:
            self.dropped += 1
            return False
        return True

    def write(self, line: dict) -> None:
        """Have a line written; it tells how many were dropped before it."""
        if self.dropped:
            line["dropped_lines"], self.dropped = self.dropped, 0
        self._lines.append(json.dumps(line, default=str) + "\n")
        self._idle.clear()
        self._wake.set()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all lines are written; return whether they are."""
        return self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            try:
                while self._lines:
                    self._stream.write(self._lines.popleft())
                self._stream.flush()
            except OSError:
                # The reader is gone, and with it the only place to say so.
                self.dropped += 1
            self._idle.set()


def configure_logs(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> LogWriter:
    """Write each record as one JSON line.

    Parameters
    ----------
    process : str
        Name of the process, part of each line.
    level : str, default="INFO"
        Least severe level that is written.
    stream : file object, default=None
        Standard output by default.

    Returns
    -------
    LogWriter
        To be flushed before the process ends.
    """
    writer = LogWriter(stream or sys.stdout)

    def write(message) -> None:
        record = message.record
        extra = record["extra"]
        event = extra.get("event", record["message"])
        if not writer.admit(event, record["time"].timestamp()):
            return
        line = {
            "at": record["time"].isoformat(),
            "level": record["level"].name,
            "process": process,
            **extra,
        }
        if extra.get("event") != record["message"]:
            line["message"] = record["message"]
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
            line["trace"] = str(message).splitlines()[-20:]
        writer.write(line)

    atexit.register(writer.flush, FLUSH_S)
    logger.remove()
    logger.add(
        write,
        level=level,
        format="{message}\n{exception}",
        backtrace=False,
        diagnose=False,
    )
    return writer


class Metrics:
    """Counters, gauges and timings; dropped if no statsd address is set.

    Parameters
    ----------
    address : str
        ``IP:port`` of the statsd daemon, or an empty string.
    prefix : str
        First part of each metric's name.
    """

    def __init__(self, address: str, prefix: str):
        self._client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        if self._client:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Take in a duration."""
        if self._client:
            self._client.timing(name, duration_s * 1000)
