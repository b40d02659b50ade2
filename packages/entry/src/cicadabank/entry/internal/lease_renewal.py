"""Decision whether workers' leases are renewed while the table can't be reached."""

from __future__ import annotations

from collections.abc import Callable

from cicadabank.entry.internal.session import SessionActor
from cicadabank.settings import EntrySettings
from cicadabank.tasks import Actor, clock_s
from loguru import logger

TICK_S = 1.0


class LeaseRenewalPolicy(Actor):
    """Decides whether workers' leases may be renewed while the table can't be reached.

    It tells an outage of the table from a network partition of this entry. While no
    entry can reach the table, no cell can change its holder, and stopping the
    running tasks would lose hours of work. So workers' leases are renewed for up to
    `outage_lease_s`. If another entry reaches the table, this one is partitioned from
    it and its cells will be taken over, so it stops renewing.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: SessionActor,
        table_write_ages_s: Callable[[], list[float]],
    ):
        super().__init__(TICK_S)
        self._session_lease_s = settings.session_lease_s
        self._outage_lease_s = settings.timings.outage_lease_s
        self._session = session
        self._table_write_ages_s = table_write_ages_s
        self._may_renew = True

    def may_renew(self) -> bool:
        """Whether workers' leases may be renewed now."""
        return self._session.valid or self._may_renew

    def on_tick(self) -> None:
        """Ask the other entries for their last write if the session is not valid."""
        if self._session.valid:
            self._may_renew = True
            return
        unreachable_s = clock_s() - self._session.last_table_write_s
        partitioned = any(
            age_s < self._session_lease_s for age_s in self._table_write_ages_s()
        )
        may_renew = not partitioned and unreachable_s < self._outage_lease_s
        if may_renew != self._may_renew:
            logger.warning(
                "workers' leases are {}: the table has been unreachable for {:.0f} s; "
                "{}",
                "renewed again" if may_renew else "no longer renewed",
                unreachable_s,
                "another entry reaches it"
                if partitioned
                else "no other entry is known to reach it",
            )
        self._may_renew = may_renew
