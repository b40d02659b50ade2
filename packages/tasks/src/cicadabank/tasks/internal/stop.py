"""Graceful stops: the first signal requests a stop, further ones do nothing."""

from __future__ import annotations

import queue
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from loguru import logger

# Python runs signal handlers in the main thread, which is not woken if the kernel
# delivers the signal to another thread; polling bounds the delay of a stop.
POLL_S = 0.5


class StopSignal:
    """Lets the main thread wait until the process is asked to stop."""

    def __init__(self) -> None:
        self._requested = False
        # Not a threading.Event: a signal handler would deadlock on its lock if it
        # interrupts the thread while that holds the lock.
        self._wakeups: queue.SimpleQueue[None] = queue.SimpleQueue()

    def request(self, *_: object) -> None:
        """Request a stop; has no further effect once one is requested."""
        if not self._requested:
            logger.info("stop requested")
        self._requested = True
        self._wakeups.put(None)

    def on_hangup(self, *_: object) -> None:
        """Log that SIGHUP is ignored; without a handler it would end the process."""
        logger.bind(event="reload").info(
            "SIGHUP ignored: settings are read only at the start; restart the process "
            "to apply changes"
        )

    def wait(self, timeout_s: float = float("inf")) -> bool:
        """Wait for a stop request; return whether there was one before the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not self._requested:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return False
            with suppress(queue.Empty):
                self._wakeups.get(timeout=min(remaining_s, POLL_S))
        return True

    @contextmanager
    def on_signals(self) -> Iterator[StopSignal]:
        """Request a stop on SIGTERM and SIGINT within the block; ignore SIGHUP.

        Signals that were held back during start-up are delivered now.
        """
        previous_handlers = {
            s: signal.signal(s, self.request) for s in (signal.SIGTERM, signal.SIGINT)
        }
        previous_handlers[signal.SIGHUP] = signal.signal(signal.SIGHUP, self.on_hangup)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, previous_handlers)
        try:
            yield self
        finally:
            for signal_number, handler in previous_handlers.items():
                signal.signal(signal_number, handler)
