"""Run-time estimates, corrected by the workspace's earlier jobs."""

from __future__ import annotations

import math

SMOOTHING_FACTOR = 0.2
# A job's ratio of actual to declared run time counts as at most this, or at least 1/16.
MAX_CORRECTION_FACTOR = 16.0


class RunTimeEstimator:
    """Tracks a moving average of actual over declared run time for each workspace."""

    def __init__(self) -> None:
        self._log_ratio: dict[str, float] = {}

    def observe(self, workspace: str, declared_s: float, actual_s: float) -> None:
        """Update a workspace's ratio with one completed job."""
        if declared_s <= 0 or actual_s <= 0:
            return
        bound = math.log(MAX_CORRECTION_FACTOR)
        log_ratio = max(-bound, min(bound, math.log(actual_s / declared_s)))
        previous = self._log_ratio.get(workspace, 0.0)
        self._log_ratio[workspace] = previous + SMOOTHING_FACTOR * (
            log_ratio - previous
        )

    def expected_s(self, workspace: str, declared_s: float) -> float:
        """Return the corrected run-time estimate in seconds."""
        return max(1.0, declared_s) * math.exp(self._log_ratio.get(workspace, 0.0))
