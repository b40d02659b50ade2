"""Planned stops: the first signal drains, a second one changes nothing."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger


class StopSignal:
    """Tells the main thread that the process was asked to stop."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def request(self, *_: object) -> None:
        """Ask for a stop; asking again changes nothing."""
        if not self._event.is_set():
            logger.info("a stop was requested")
        self._event.set()

    def reload(self, *_: object) -> None:
        """Note that the settings may have changed, instead of ending the process."""
        logger.bind(event="reload").info("the settings may have changed")

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for a stop; return whether one was requested."""
        return self._event.wait(timeout_s)

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
