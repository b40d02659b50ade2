"""Durations of tasks, measured by the progress that their targets report."""

from __future__ import annotations

# Targets report whole percents, so a smaller difference says little.
MIN_PROGRESS_PERCENT = 10
COMPLETE_PERCENT = 100


class RunProgress:
    """Progress of one run.

    Parameters
    ----------
    listed_s : float
        Time at which the target listed the run.
    percent : int
        Share of the task's work that was done then, including what an earlier run did
        if this one resumes from its checkpoint.
    """

    __slots__ = ("_first_percent", "_first_s", "_percent", "_updated_s")

    def __init__(self, listed_s: float, percent: int):
        self._first_s = self._updated_s = listed_s
        self._first_percent = self._percent = percent

    def update(self, listed_s: float, percent: int) -> None:
        """Process a later list of the target."""
        if percent >= COMPLETE_PERCENT or listed_s <= self._updated_s:
            return
        if percent <= self._first_percent:
            # The run has not begun to work: it restores a checkpoint, or its gang is
            # not complete.
            self._first_s = listed_s
            self._first_percent = percent
        self._updated_s = listed_s
        self._percent = percent

    @property
    def percent(self) -> int:
        """Share of the task's work that was done when it was last listed."""
        return self._percent

    @property
    def duration_s(self) -> float | None:
        """Duration of a run that does all of the task's work; None if not known yet."""
        gained_percent = self._percent - self._first_percent
        if gained_percent < MIN_PROGRESS_PERCENT:
            return None
        elapsed_s = self._updated_s - self._first_s
        return elapsed_s * COMPLETE_PERCENT / gained_percent

    def remaining_s(self, now_s: float) -> float | None:
        """Return how much longer the run takes; None if that is not known yet."""
        duration_s = self.duration_s
        if duration_s is None:
            return None
        ends_s = self._updated_s + duration_s * (1.0 - self._percent / COMPLETE_PERCENT)
        return max(0.0, ends_s - now_s)
