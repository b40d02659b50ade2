"""Retry budget and rate limit of a workspace."""

from __future__ import annotations


class RetryBudget:
    """Token bucket that limits retries to a share of the recent first tries.

    Parameters
    ----------
    share : float, default=0.1
        Retry tokens added by each first try.
    burst : float, default=10
        Largest number of tokens kept.
    """

    def __init__(self, share: float = 0.1, burst: float = 10.0):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def first_try(self) -> None:
        """Add the retry tokens of one first try."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def allow_retry(self) -> bool:
        """Take one token and return True, or return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimit:
    """Token bucket whose capacity is one second of the allowed rate.

    Parameters
    ----------
    per_s : float
        Allowed rate in requests per second.
    now_s : float
        Current time in seconds.
    """

    def __init__(self, per_s: float, now_s: float):
        self.per_s = per_s
        self._tokens = max(1.0, per_s)
        self._refilled_s = now_s

    def allow(self, now_s: float) -> bool:
        """Take one token and return True, or return False if none is left."""
        earned = (now_s - self._refilled_s) * self.per_s
        self._tokens = min(max(1.0, self.per_s), self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
