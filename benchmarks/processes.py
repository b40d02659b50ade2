"""CPU time and memory of running processes, and a generator of steady load."""

from __future__ import annotations

import os
import threading
import time
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """CPU seconds and resident memory of a process at one point in time."""

    sampled_s: float
    cpu_s: float
    memory_mb: float


def read_usage(pid: int) -> Usage:
    """Read the CPU time and the resident memory of a process from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(time.monotonic(), cpu_s, pages * PAGE_BYTES / 2**20)


def measure_usage(pid: int, duration_s: float) -> tuple[float, float]:
    """Return the share of a core used over the duration, and the memory in MB."""
    before = read_usage(pid)
    time.sleep(duration_s)
    after = read_usage(pid)
    share = (after.cpu_s - before.cpu_s) / (after.sampled_s - before.sampled_s)
    return share, after.memory_mb


class LoadGenerator:
    """Makes calls at a steady rate from several threads.

    Parameters
    ----------
    calls : list of callable
        Functions without arguments, called in turn.
    calls_per_s : float
        Calls per second of all threads together.
    threads : int, default=8
        Each thread makes one call at a time.
    """

    def __init__(self, calls: list, calls_per_s: float, threads: int = 8):
        self._calls = calls
        self._interval_s = threads / calls_per_s
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(i, threads), daemon=True)
            for i in range(threads)
        ]
        self.count = 0

    def _run(self, first: int, step: int) -> None:
        index = first
        due_s = time.monotonic() + self._interval_s * first / step
        while not self._stopping.is_set():
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._calls[index % len(self._calls)]()
            self.count += 1
            index += step
            due_s += self._interval_s

    def __enter__(self) -> LoadGenerator:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout=5.0)
