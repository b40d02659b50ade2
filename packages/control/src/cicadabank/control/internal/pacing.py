"""Limits on how much of its time a busy process spends on work that may wait."""

from __future__ import annotations

import random

# A longer pause would delay the start of urgent jobs noticeably.
MAX_ROUND_PAUSE_S = 0.5
# Number of the latest renewals whose lateness counts.
LATENESS_WINDOW = 8
# Earlier renewals predict the next one only roughly.
LATENESS_MARGIN = 3.0
# Lateness below this is covered by the time that every holder is allowed.
USUAL_LATENESS_S = 0.25
# Longest extra time that a holder asks for. If its VM is lost meanwhile, the cell has
# no holder for this much longer.
MAX_LATENESS_S = 4.0


class RoundPacer:
    """Spaces rounds of work so that they take at most a share of the time.

    The duration of a round includes the time during which other threads or VMs had the
    processor, so that rounds become rarer while the process is short of it.

    Parameters
    ----------
    min_interval_s : float
        Least time between the beginnings of two rounds.
    max_share : float
        Share of the time that rounds may take, above 0 and at most 1.
    """

    def __init__(self, min_interval_s: float, max_share: float):
        self._min_interval_s = min_interval_s
        self._max_share = max_share
        self._due_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether another round may begin."""
        return now_s >= self._due_s

    def on_round(self, begun_s: float, ended_s: float) -> None:
        """Record when a round began and ended."""
        pause_s = (ended_s - begun_s) * (1.0 / self._max_share - 1.0)
        self._due_s = max(
            begun_s + self._min_interval_s, ended_s + min(pause_s, MAX_ROUND_PAUSE_S)
        )


class LatenessMeter:
    """Predicts how late a holder's next lease renewal may be from the latest ones."""

    def __init__(self) -> None:
        self._lateness_s: list[float] = []

    def on_renewal(self, due_s: float, done_s: float) -> None:
        """Record when a renewal was due, and when its reply was processed."""
        self._lateness_s.append(max(0.0, done_s - due_s))
        del self._lateness_s[:-LATENESS_WINDOW]

    def expected_s(self) -> float:
        """Return how much later than usual the next renewal may be, in seconds."""
        lateness_s = max(self._lateness_s, default=0.0)
        if lateness_s <= USUAL_LATENESS_S:
            return 0.0
        return min(MAX_LATENESS_S, LATENESS_MARGIN * lateness_s)


class Backoff:
    """Pauses between attempts that fail, doubling up to a limit, with jitter.

    Without jitter, the attempts of many agents at one holder would coincide.

    Parameters
    ----------
    first_s, max_s : float
        Mean of the first pause, and of the longest ones.
    """

    def __init__(
        self, first_s: float, max_s: float, source: random.Random | None = None
    ):
        self._first_s = first_s
        self._max_s = max_s
        self._random = source or random.Random()
        self.failures = 0

    def on_success(self) -> None:
        """Let the next pause be a short one again."""
        self.failures = 0

    def on_failure(self) -> float:
        """Return how long to pause after a failed attempt, in seconds."""
        mean_s = min(self._max_s, self._first_s * 2.0**self.failures)
        self.failures += 1
        return mean_s * self._random.uniform(0.5, 1.5)
