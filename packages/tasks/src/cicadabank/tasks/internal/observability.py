"""Logs as JSON lines, and metrics sent to statsd."""

from __future__ import annotations

import atexit
import json
import sys
import threading
from collections import deque
from typing import TextIO

from loguru import logger
from statsd import StatsClient

# Per event; a busy holder writes about 40 lines per second.
MAX_LINES_PER_EVENT_PER_S = 200
# Lines waiting for the reader of the stream; further ones are dropped and counted.
MAX_QUEUED_LINES = 5_000
# Time for the last lines of a process to be written; a reader that has stopped reading
# must not delay the exit further.
FLUSH_TIMEOUT_S = 0.5


class LogWriter:
    """Writes lines from its own thread, so that a full pipe never blocks the caller.

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
        self._current_second = 0
        self._line_counts: dict[str, int] = {}
        self.dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def admit(self, event: str, now_s: float) -> bool:
        """Count a line; return whether the rate limit and the queue admit it."""
        if int(now_s) != self._current_second:
            self._current_second = int(now_s)
            self._line_counts = {}
        count = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = count
        if count > MAX_LINES_PER_EVENT_PER_S or len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return False
        return True

    def write(self, line: dict) -> None:
        """Queue a line, with the number of lines dropped since the previous one."""
        if self.dropped:
            line["dropped_lines"], self.dropped = self.dropped, 0
        self._lines.append(json.dumps(line, default=str) + "\n")
        self._idle.clear()
        self._wake.set()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all queued lines are written; return False on timeout."""
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
                # The reader has closed the stream; the loss can't be logged anywhere.
                self.dropped += 1
            self._idle.set()


def configure_logs(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> LogWriter:
    """Make loguru write each record as one JSON line.

    Parameters
    ----------
    process : str
        Name of the process, part of each line.
    level : str, default="INFO"
        Lowest level that is written.
    stream : file object, default=None
        Target of the lines; standard output if None.

    Returns
    -------
    LogWriter
        Writer of the lines, flushed when the interpreter exits.
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

    atexit.register(writer.flush, FLUSH_TIMEOUT_S)
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
    """Counters, gauges and timings; discarded if no statsd address is set.

    Parameters
    ----------
    address : str
        ``IP:port`` of the statsd daemon, or an empty string.
    prefix : str
        Prefix of each metric's name.
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
        """Record a duration."""
        if self._client:
            self._client.timing(name, duration_s * 1000)
