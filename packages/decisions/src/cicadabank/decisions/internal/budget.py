"""Retry budget and rate limit of a workspace."""

from __future__ import annotations


class RetryBudget:
    """Allows retries up to a share of the first tries of late.

    Parameters
    ----------
    share : float, default=0.1
        Retries earned by each first try.
    burst : float, default=10
        Retries that may be saved up.
    """

    def __init__(self, share: float = 0.1, burst: float = 10.0):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def allow_retry(self) -> bool:
        """Spend one retry, if one was earned."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimit:
    """A token bucket that holds one second's worth of requests.

    Parameters
    ----------
    per_s : float
        Requests allowed each second.
    now_s : float
        Present time.
    """

    def __init__(self, per_s: float, now_s: float):
        self.per_s = per_s
        self._tokens = max(1.0, per_s)
        self._refilled_s = now_s

    def allow(self, now_s: float) -> bool:
        """Spend one token, if there is one."""
        earned = (now_s - self._refilled_s) * self.per_s
        self._tokens = min(max(1.0, self.per_s), self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
