"""Processor time, memory and traffic of running processes."""

from __future__ import annotations

import os
import threading
import time
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Processor seconds and resident memory of a process at a moment."""

    at_s: float
    cpu_s: float
    memory_mb: float


def usage_of(pid: int) -> Usage:
    """Read the usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(time.monotonic(), cpu_s, pages * PAGE_BYTES / 2**20)


def core_share(pid: int, duration_s: float) -> tuple[float, float]:
    """Return the share of a core used over a time, and the memory at its end in MB."""
    before = usage_of(pid)
    time.sleep(duration_s)
    after = usage_of(pid)
    share = (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
    return share, after.memory_mb


class Pacer:
    """Calls something at a steady rate from a few threads.

    Parameters
    ----------
    calls : list of callable
        Called in turn.
    per_s : float
        Calls each second, all threads together.
    """

    def __init__(self, calls: list, per_s: float, threads: int = 8):
        self._calls = calls
        self._interval_s = threads / per_s
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(i, threads), daemon=True)
            for i in range(threads)
        ]
        self.count = 0

    def _run(self, first: int, step: int) -> None:
        index = first
        due_s = time.monotonic() + self._interval_s * first / step
        while not self._ended.is_set():
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._calls[index % len(self._calls)]()
            self.count += 1
            index += step
            due_s += self._interval_s

    def __enter__(self) -> Pacer:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        for thread in self._threads:
            thread.join(timeout=5.0)
