"""Accelerators left free for urgent work that has not come yet.

Urgent work has to start within seconds, and stopping other work for it throws that
away. Work that can still wait leaves as much free as a large urgent job takes.
"""

from __future__ import annotations

from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Unit

# Of seeded days at 1.4 and 1.7 times the users' load, 0.45 gave more than 0.27 and 0.6,
# and the quantile more than none.
MAX_HEADROOM_SHARE = 0.45
SIZE_QUANTILE = 0.9
# Before this many urgent jobs were seen, the largest guarantee stands for their size.
MIN_SIZE_SAMPLES = 6
# Work with less slack may take all that is free; with more, nothing of the headroom.
MIN_SLACK_S = 2.0
FULL_SLACK_S = 18.0


class Headroom:
    """The headroom of one round of planning.

    Parameters
    ----------
    targets : list of Target
        Those that take new tasks at present.
    """

    def __init__(self, state: CellState, targets: list[Target]):
        self._free = sum(max(0, t.free.accelerators) for t in targets)
        self._capacity = sum(t.capacity.accelerators for t in targets)
        self._headroom = min(
            MAX_HEADROOM_SHARE * self._capacity, _large_urgent_job_size(state)
        )

    def admits(self, unit: Unit, slack_s: float) -> bool:
        """Whether work that can wait may start now.

        Parameters
        ----------
        slack_s : float
            For how long its job can wait and still be on time.
        """
        share = (slack_s - MIN_SLACK_S) / (FULL_SLACK_S - MIN_SLACK_S)
        headroom = self._headroom * min(1.0, max(0.0, share))
        # A gang as large as the cell would otherwise never find enough.
        headroom = min(headroom, self._capacity - unit.accelerators)
        if headroom <= 0 or not unit.accelerators:
            return True
        return self._free - unit.accelerators >= headroom

    def record_placement(self, unit: Unit) -> None:
        """Take in that a unit was placed."""
        self._free -= unit.accelerators


def _large_urgent_job_size(state: CellState) -> float:
    """Return the accelerators that a large urgent job takes."""
    sizes = sorted(state.urgent_sizes)
    if len(sizes) < MIN_SIZE_SAMPLES:
        return max([*state.guarantees.values(), *sizes], default=0.0)
    return sizes[min(len(sizes) - 1, int(SIZE_QUANTILE * len(sizes)))]
