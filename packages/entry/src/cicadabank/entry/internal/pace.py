"""How often workers beat, and the leases that go with it."""

from __future__ import annotations

from cicadabank.decisions import CellTimings
from cicadabank.settings import EntrySettings

LEASE_BEATS = 3
SILENT_BEATS = 2.5


def beat_interval_s(settings: EntrySettings, workers: int) -> float:
    """Return the interval at which a cell of this size costs its holder no more."""
    return max(settings.beat_interval_s, workers / settings.beats_per_s)


def timings_for(settings: EntrySettings, interval_s: float) -> CellTimings:
    """Return time bounds that a worker beating at this interval keeps.

    Its lease must outlast a takeover of the cell and three heartbeats.
    """
    timings = settings.timings
    takeover_s = settings.session_lease_s + 2 * settings.session_renew_s
    lease_s = max(timings.lease_duration_s, takeover_s + LEASE_BEATS * interval_s)
    silent_s = max(timings.silent_after_s, SILENT_BEATS * interval_s)
    recovery_s = max(timings.recovery_s, SILENT_BEATS * interval_s)
    return timings._replace(
        lease_duration_s=lease_s, silent_after_s=silent_s, recovery_s=recovery_s
    )
