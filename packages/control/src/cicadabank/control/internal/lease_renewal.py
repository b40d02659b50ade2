"""How often an agent renews its target's lease."""

from __future__ import annotations

from typing import NamedTuple

# Targets that fail all calls, or reset connections, usually do so for up to this long.
USUAL_OUTAGE_S = 5.5
# Lease that must be left after such an outage, for the call that ends it.
LEASE_RESERVE_S = 0.1
# Long-poll time of a hold call. The target replies earlier when a run ends, so a longer
# wait would only delay lease renewals.
MAX_HOLD_WAIT_S = 1.0
# A shorter wait costs more processor time than the lease it saves is worth.
MIN_HOLD_WAIT_S = 0.2
MAX_RETRY_PAUSE_S = 0.25
MIN_RETRY_PAUSE_S = 0.1


class RenewalTiming(NamedTuple):
    """Timing of the calls that renew a lease.

    Attributes
    ----------
    hold_wait_s : float
        Long-poll time of a call.
    retry_pause_s : float
        Pause after a call that failed.
    """

    hold_wait_s: float
    retry_pause_s: float


def renewal_timing(max_lease_s: float) -> RenewalTiming:
    """Return how to renew a lease so that it outlasts a usual outage of the target.

    When an outage begins, the last renewal is up to one long poll old; when it ends,
    the next renewal may be due only after a pause.

    Parameters
    ----------
    max_lease_s : float
        Longest lease that the target allows.
    """
    spare_s = max_lease_s - USUAL_OUTAGE_S - LEASE_RESERVE_S
    if spare_s >= MAX_HOLD_WAIT_S + MAX_RETRY_PAUSE_S:
        return RenewalTiming(MAX_HOLD_WAIT_S, MAX_RETRY_PAUSE_S)
    hold_wait_s = max(MIN_HOLD_WAIT_S, spare_s - MIN_RETRY_PAUSE_S)
    return RenewalTiming(hold_wait_s, MIN_RETRY_PAUSE_S)
