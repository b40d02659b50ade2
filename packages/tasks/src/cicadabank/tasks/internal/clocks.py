"""Monotonic and wall clocks."""

from __future__ import annotations

import time


def clock_s() -> float:
    """Return the time in seconds of a monotonic clock that includes suspension.

    A VM may be suspended and resumed. A lease or a view that expired meanwhile must
    count as expired, so the clock has to advance during the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Return the wall-clock time in seconds since the Unix epoch.

    For records, and for times that another process compares with its own clock.
    """
    return time.time()
