"""Whether a holder may go on renewing leases while it can't reach the table."""

from __future__ import annotations

from collections.abc import Callable

from cicadabank.entry.internal.session import SessionTask
from cicadabank.settings import EntrySettings
from cicadabank.tasks import Task, clock_s
from loguru import logger

TICK_S = 1.0


class RenewalTask(Task):
    """Tells an outage of the table from being cut off from it.

    While the table is out for everybody, no cell can change hands, and stopping the
    running tasks would lose hours of work: the leases are renewed for `outage_lease_s`.
    If another entry reaches the table, this one is cut off and its cells will be taken
    over: it stops renewing.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: SessionTask,
        store_ages_s: Callable[[], list[float]],
    ):
        super().__init__(TICK_S)
        self._lease_s = settings.session_lease_s
        self._outage_lease_s = settings.timings.outage_lease_s
        self._session = session
        self._store_ages_s = store_ages_s
        self._allowed = True

    def allowed(self) -> bool:
        """Whether leases may be renewed now."""
        return self._session.valid or self._allowed

    def on_tick(self) -> None:
        """Ask the other entries when this one can't reach the table."""
        if self._session.valid:
            self._allowed = True
            return
        silence_s = clock_s() - self._session.store_seen_s
        cut_off = any(age_s < self._lease_s for age_s in self._store_ages_s())
        allowed = not cut_off and silence_s < self._outage_lease_s
        if allowed != self._allowed:
            logger.warning(
                "leases are {}renewed: {:.0f} s without the table, {}",
                "" if allowed else "no longer ",
                silence_s,
                "others reach it" if cut_off else "nobody is known to reach it",
            )
        self._allowed = allowed
