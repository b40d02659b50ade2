"""Planned stops: the first signal drains, a second one changes nothing."""

from __future__ import annotations

import queue
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from loguru import logger

# Python runs handlers in the main thread, which sleeps on if the kernel has delivered a
# signal to another one; a short sleep bounds how late a stop begins.
POLL_S = 0.5


class StopSignal:
    """Tells the main thread that the process was asked to stop."""

    def __init__(self) -> None:
        self._requested = False
        # An event's lock may be held by the very thread that a handler interrupts.
        self._woken: queue.SimpleQueue[None] = queue.SimpleQueue()

    def request(self, *_: object) -> None:
        """Ask for a stop; asking again changes nothing."""
        if not self._requested:
            logger.info("a stop was requested")
        self._requested = True
        self._woken.put(None)

    def reload(self, *_: object) -> None:
        """Note that the settings may have changed, instead of ending the process."""
        logger.bind(event="reload").info("the settings may have changed")

    def wait(self, timeout_s: float = float("inf")) -> bool:
        """Wait for a stop; return whether one was requested."""
        until_s = time.monotonic() + timeout_s
        while not self._requested:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return False
            with suppress(queue.Empty):
                self._woken.get(timeout=min(left_s, POLL_S))
        return True

    @contextmanager
    def on_signals(self) -> Iterator[StopSignal]:
        """Request a stop on SIGTERM and SIGINT while the block runs."""
        before = {
            s: signal.signal(s, self.request) for s in (signal.SIGTERM, signal.SIGINT)
        }
        before[signal.SIGHUP] = signal.signal(signal.SIGHUP, self.reload)
        try:
            yield self
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)
