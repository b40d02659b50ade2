"""Run-time estimates, corrected by what was seen of a workspace's earlier jobs."""

from __future__ import annotations

import math

SMOOTHING = 0.2
LARGEST_FACTOR = 16.0


class EstimateBook:
    """Keeps the ratio of actual to declared run time for each workspace."""

    def __init__(self) -> None:
        self._log_ratio: dict[str, float] = {}

    def observe(self, workspace: str, declared_s: float, actual_s: float) -> None:
        """Take in one ended job."""
        if declared_s <= 0 or actual_s <= 0:
            return
        bound = math.log(LARGEST_FACTOR)
        seen = max(-bound, min(bound, math.log(actual_s / declared_s)))
        before = self._log_ratio.get(workspace, 0.0)
        self._log_ratio[workspace] = before + SMOOTHING * (seen - before)

    def expected_s(self, workspace: str, declared_s: float) -> float:
        """Return the corrected estimate in seconds."""
        return max(1.0, declared_s) * math.exp(self._log_ratio.get(workspace, 0.0))
