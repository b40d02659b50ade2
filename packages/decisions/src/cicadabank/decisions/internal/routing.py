"""Routing of requests to minions, the processes that serve them.

An entry learns of the requests of other entries only from the load that the minions
announce.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

FAILURE_SMOOTHING = 0.2
EJECT_FAILURE_SHARE = 0.5
EJECT_MIN_ANSWERS = 5  # since the minion's last ejection
EJECT_TIME_S = 5.0
MAX_EJECTED_SHARE = 0.5
LATENCY_SMOOTHING = 0.1


class Minion:
    """Load, latency and failures of one minion, as one entry sees them."""

    __slots__ = (
        "announced",
        "announced_s",
        "answers_since_ejection",
        "ejected_until_s",
        "failure_share",
        "in_flight",
        "latency_s",
        "leaving",
        "name",
        "out",
        "slots",
    )

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        self.in_flight = 0
        self.announced = 0
        self.announced_s = 0.0
        self.answers_since_ejection = 0
        self.failure_share = 0.0
        self.latency_s = 0.0
        self.ejected_until_s = 0.0
        self.leaving = False
        self.out = False

    def load(self) -> float:
        """Return the requests in flight at the minion per slot.

        Uses the larger of the entry's own count and the one that the minion announced,
        which includes requests of other entries.
        """
        return max(self.in_flight, self.announced) / self.slots


class RoutingDecision(NamedTuple):
    """The minion chosen for a request, or the reason why there is none."""

    minion: str
    reason: str = ""


class Router:
    """Routes by power of two choices on expected delay, with a limit per minion.

    Parameters
    ----------
    overcommit : float, default=1.5
        Limit of an entry's requests in flight at a minion, as a multiple of its slots.
    seed : int, default=0
        Seed of the random choices.
    """

    def __init__(self, overcommit: float = 1.5, seed: int = 0):
        self.minions: dict[str, Minion] = {}
        self._overcommit = overcommit
        self._random = random.Random(seed)

    def announce(self, name: str, slots: int, in_flight: int, now_s: float) -> Minion:
        """Update a minion from the slots and requests in flight that it announced."""
        minion = self.minions.get(name)
        if minion is None or minion.slots != slots:
            minion = self.minions[name] = Minion(name, slots)
        minion.announced = in_flight
        minion.announced_s = now_s
        return minion

    def forget(self, name: str) -> None:
        """Remove a minion."""
        self.minions.pop(name, None)

    def choose(self, now_s: float, avoid: Iterable[str] = ()) -> RoutingDecision:
        """Choose a minion for a request; the caller reports its end to `finished`."""
        avoid = set(avoid)
        in_service = [m for m in self.minions.values() if not (m.leaving or m.out)]
        if not in_service:
            return RoutingDecision("", "no minion is in service")
        eligible = self._not_ejected(in_service, now_s)
        eligible = [m for m in eligible if m.name not in avoid] or eligible
        available = [m for m in eligible if m.in_flight < m.slots * self._overcommit]
        if not available:
            return RoutingDecision("", "every minion is at its limit of requests")
        chosen = self._better_of_two(available)
        chosen.in_flight += 1
        return RoutingDecision(chosen.name)

    @staticmethod
    def _not_ejected(in_service: Sequence[Minion], now_s: float) -> list[Minion]:
        """Return the minions that are not ejected, or all if more than half are.

        If most minions fail at once the cause lies elsewhere, and ejecting them would
        only overload the others.
        """
        eligible = [m for m in in_service if m.ejected_until_s <= now_s]
        if len(eligible) < len(in_service) * (1 - MAX_EJECTED_SHARE):
            return list(in_service)
        return eligible

    def _better_of_two(self, minions: Sequence[Minion]) -> Minion:
        if len(minions) == 1:
            return minions[0]
        pair = self._random.sample(minions, 2)
        return min(pair, key=_expected_delay)

    def finished(self, name: str, failed: bool, latency_s: float, now_s: float) -> None:
        """Record the result of a request that `choose` routed to a minion."""
        minion = self.minions.get(name)
        if minion is None:
            return
        minion.in_flight = max(0, minion.in_flight - 1)
        minion.answers_since_ejection += 1
        minion.failure_share += FAILURE_SMOOTHING * (failed - minion.failure_share)
        if not failed:
            if not minion.latency_s:
                minion.latency_s = latency_s
            minion.latency_s += LATENCY_SMOOTHING * (latency_s - minion.latency_s)
        if (
            minion.answers_since_ejection >= EJECT_MIN_ANSWERS
            and minion.failure_share > EJECT_FAILURE_SHARE
        ):
            minion.ejected_until_s = now_s + EJECT_TIME_S
            minion.answers_since_ejection = 0


def _expected_delay(minion: Minion) -> tuple[float, float]:
    """Return a sort key: the observed latency scaled by the load, then the load.

    Minions without a measured latency sort first.
    """
    waiting = 1.0 + minion.load()
    return (minion.latency_s * waiting, minion.load())
