"""Settings of operators that switch optional scheduling decisions on and bound them.

Each section applies only in cells whose configuration and observed targets meet its
condition, so that one settings file serves deployments of different kinds.
"""

from __future__ import annotations

from typing import NamedTuple


class SpeedPolicy(NamedTuple):
    """Placement by the speeds of targets.

    Applies once at least `min_slow_targets` targets are certainly so slow that a job of
    some configured queue is late there even if it starts at once.

    Attributes
    ----------
    enabled : bool
    min_slow_targets : int
    max_probe_share : float
        Share of the usable targets that may run unmeasured probes at a time.
    """

    enabled: bool = False
    min_slow_targets: int = 2
    max_probe_share: float = 0.5


class SharePolicy(NamedTuple):
    """Fair shares of the workspaces in what guarantees leave.

    Applies if the largest guarantee of the configuration is at least
    `min_guarantee_ratio` times the smallest.

    Attributes
    ----------
    enabled : bool
    min_guarantee_ratio : float
    half_life_s : float
        Time in which past use loses half of its weight.
    max_boost : float
        Largest factor by which a workspace's use may raise or lower the priority index
        of its jobs.
    """

    enabled: bool = False
    min_guarantee_ratio: float = 4.0
    half_life_s: float = 15.0
    max_boost: float = 2.0


class ReliabilityPolicy(NamedTuple):
    """Preference for targets that have not failed, crashed or been lost lately.

    Applies if the platform allows leases of at most `max_lease_s`: with short leases, a
    target that is out of reach for a few seconds loses its runs.

    Attributes
    ----------
    enabled : bool
    max_lease_s : float
    half_life_s : float
        Time in which an incident loses half of its weight.
    """

    enabled: bool = False
    max_lease_s: float = 8.0
    half_life_s: float = 15.0


class SchedulingPolicy(NamedTuple):
    """All optional scheduling decisions; by default, none applies."""

    speeds: SpeedPolicy = SpeedPolicy()
    shares: SharePolicy = SharePolicy()
    reliability: ReliabilityPolicy = ReliabilityPolicy()
