"""Heartbeat interval of a cell's workers, and the timings derived from it."""

from __future__ import annotations

from cicadabank.decisions import CellTimings
from cicadabank.settings import EntrySettings

HEARTBEATS_PER_LEASE = 3
HEARTBEATS_UNTIL_SILENT = 2.5


def heartbeat_interval_s(settings: EntrySettings, workers: int) -> float:
    """Return the interval of the heartbeats of a cell's workers, in seconds.

    It grows with the number of workers, so that the holder receives at most
    `beats_per_s` heartbeats per second.
    """
    return max(settings.beat_interval_s, workers / settings.beats_per_s)


def timings_for(settings: EntrySettings, interval_s: float) -> CellTimings:
    """Return the timings for workers that send heartbeats at this interval.

    A lease must outlast a takeover of the cell plus three heartbeats, so that running
    tasks continue through the takeover.
    """
    timings = settings.timings
    takeover_s = settings.session_lease_s + 2 * settings.session_renew_s
    lease_s = max(
        timings.lease_duration_s, takeover_s + HEARTBEATS_PER_LEASE * interval_s
    )
    silent_s = max(timings.silent_after_s, HEARTBEATS_UNTIL_SILENT * interval_s)
    recovery_s = max(timings.recovery_s, HEARTBEATS_UNTIL_SILENT * interval_s)
    return timings._replace(
        lease_duration_s=lease_s, silent_after_s=silent_s, recovery_s=recovery_s
    )
