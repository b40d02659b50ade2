"""Waiting for a target's answers to the starts of an order."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from cicadabank.scheduling import RunId


class StartAnswers:
    """The starts of an order whose calls are not finished.

    Filled in and updated by the agent's actor; the thread that serves the order waits.

    Attributes
    ----------
    opened_s : float
        When it was filled in.
    """

    def __init__(self, runs: Iterable[RunId], opened_s: float):
        self.opened_s = opened_s
        self._open = set(runs)
        self._finished = threading.Event()
        if not self._open:
            self._finished.set()

    def on_finished(self, run: RunId) -> None:
        """Record that the start call of a run is finished, with or without a reply."""
        self._open.discard(run)
        if not self._open:
            self._finished.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until all calls are finished, for at most a time."""
        self._finished.wait(timeout_s)
