"""Clocks of the processes."""

from __future__ import annotations

import time


def clock_s() -> float:
    """Return seconds of a clock that never steps back and counts suspension too.

    A VM may be paused and woken; a lease or a view that lapsed meanwhile must be seen
    as lapsed, so the clock is the one that goes on during a pause.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Return the wall-clock time, for records only."""
    return time.time()
