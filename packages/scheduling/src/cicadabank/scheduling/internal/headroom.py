"""Accelerators kept free for urgent jobs that have not arrived yet.

Urgent jobs must start within seconds, and preempting other work for them wastes that
work. Work with enough slack therefore leaves as many accelerators free as a large
urgent job needs. How much slack it has follows from the duration of its tasks, so one
small task of each step may start in any case and show it by its progress.
"""

from __future__ import annotations

from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import Target
from cicadabank.scheduling.internal.units import Unit

# Upper limit of the headroom, as a share of the accelerators of all targets that accept
# new tasks. When the load is 1.4 to 1.7 times the normal one, both 0.27 and 0.6 are
# worse.
MAX_HEADROOM_SHARE = 0.45
# Quantile of the recent urgent job sizes that counts as a large job; without a
# quantile, the results are worse.
SIZE_QUANTILE = 0.9
# With fewer recent urgent jobs than this, a large job is as large as the largest
# guarantee or recent urgent job.
MIN_SIZE_SAMPLES = 6
# Work with less slack than the minimum may use the whole headroom; from FULL_SLACK_S on
# it may use none. In between, the share falls linearly.
MIN_SLACK_S = 2.0
FULL_SLACK_S = 18.0
# Share of the headroom that one task of a step may use to show how long the step takes.
PROBE_SHARE = 0.1


class Headroom:
    """Headroom for one planning round.

    Parameters
    ----------
    state : CellState
    targets : list of Target
        Targets that currently accept new tasks.

    Attributes
    ----------
    free : int
        Accelerators that are free, less those of the units placed in this round.
    size : float
        Accelerators to keep free.
    """

    def __init__(self, state: CellState, targets: list[Target]):
        self.free = sum(max(0, t.free.accelerators) for t in targets)
        self._capacity = sum(t.capacity.accelerators for t in targets)
        self.size = min(
            MAX_HEADROOM_SHARE * self._capacity, _large_urgent_job_size(state)
        )

    def admits(self, unit: Unit, slack_s: float) -> bool:
        """Return whether a unit may start now without using up the headroom.

        Parameters
        ----------
        unit : Unit
        slack_s : float
            Seconds for which the unit's job can still wait without being late.
        """
        share = (slack_s - MIN_SLACK_S) / (FULL_SLACK_S - MIN_SLACK_S)
        headroom = self.size * min(1.0, max(0.0, share))
        # Limited so that even a gang that needs the whole cell can start.
        headroom = min(headroom, self._capacity - unit.accelerators)
        if headroom <= 0 or not unit.accelerators:
            return True
        return self.free - unit.accelerators >= headroom

    def admits_probe(self, unit: Unit) -> bool:
        """Return whether a unit may use the headroom to show its duration."""
        return unit.accelerators <= PROBE_SHARE * self.size

    def record_placement(self, unit: Unit) -> None:
        """Deduct a placed unit's accelerators from the free ones."""
        self.free -= unit.accelerators


def _large_urgent_job_size(state: CellState) -> float:
    """Return the accelerators needed by a large urgent job."""
    sizes = sorted(state.urgent_sizes)
    if len(sizes) < MIN_SIZE_SAMPLES:
        return max([*state.guarantees.values(), *sizes], default=0.0)
    return sizes[min(len(sizes) - 1, int(SIZE_QUANTILE * len(sizes)))]
