"""Logs as JSON lines and metrics by statsd."""

from __future__ import annotations

import json
import sys
from typing import TextIO

from loguru import logger
from statsd import StatsClient


def configure_logs(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Write each record as one JSON line.

    Parameters
    ----------
    process : str
        Name of the process, part of each line.
    level : str, default="INFO"
        Least severe level that is written.
    stream : file object, default=None
        Standard output by default.
    """
    target = stream or sys.stdout

    def write(message) -> None:
        record = message.record
        line = {
            "at": record["time"].isoformat(),
            "level": record["level"].name,
            "process": process,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
            line["trace"] = str(message).splitlines()[-20:]
        target.write(json.dumps(line, default=str) + "\n")
        target.flush()

    logger.remove()
    logger.add(
        write,
        level=level,
        format="{message}\n{exception}",
        backtrace=False,
        diagnose=False,
    )


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
