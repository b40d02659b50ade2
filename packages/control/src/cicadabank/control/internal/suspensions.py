"""Suspensions of an agent's process, after which its knowledge may be outdated."""

from __future__ import annotations

# A longer time without a look for due calls means that the process was suspended.
MAX_PAUSE_S = 2.0
# Longest time for which starts wait for a heartbeat after a suspension.
MAX_HEARTBEAT_WAIT_S = 3.0


class Suspensions:
    """Detects that the process was suspended, by the time between two looks."""

    def __init__(self):
        self._looked_s = float("-inf")  # when due calls were last looked for
        # The last suspension of this process.
        self._suspended_s = self._resumed_s = float("-inf")

    def note_turn(self, now_s: float) -> None:
        """Note a look for due calls."""
        if self._looked_s < now_s - MAX_PAUSE_S and self._looked_s > float("-inf"):
            self._suspended_s, self._resumed_s = self._looked_s, now_s
        self._looked_s = now_s

    def awaits_heartbeat(self, heard_s: float, now_s: float) -> bool:
        """Return whether the target may have changed since its latest heartbeat.

        Parameters
        ----------
        heard_s : float
            When the latest heartbeat was processed.
        """
        heard_since = heard_s > self._suspended_s + MAX_PAUSE_S
        return not heard_since and now_s < self._resumed_s + MAX_HEARTBEAT_WAIT_S
