"""The task that knows the minions and chooses one for each request."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.decisions import Router
from cicadabank.entry.internal.config import Seen
from cicadabank.tasks import Metrics, Task, clock_s
from cicadabank.wire import control_pb2

TICK_S = 0.5
SILENT_AFTER_S = 3.0
FORGET_AFTER_S = 60.0


class Route(NamedTuple):
    """A chosen minion; with an empty name, why there is none."""

    name: str
    address: str = ""
    incarnation: str = ""
    reason: str = ""


class KnownMinion(NamedTuple):
    """What a minion last announced."""

    info: control_pb2.TargetInfo
    incarnation: str
    heard_s: float
    leaving: bool


class MinionTask(Task):
    """Owns the router.

    Parameters
    ----------
    overcommit : float
        Requests kept at a minion for each of its slots.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, overcommit: float, seed: int, metrics: Metrics):
        super().__init__(TICK_S)
        self._router = Router(overcommit, seed)
        self._known: dict[str, KnownMinion] = {}
        self._out: frozenset[str] = frozenset()
        self._metrics = metrics

    def on_tick(self) -> None:
        """Leave silent minions out, and forget those long gone."""
        now_s = clock_s()
        for name, known in list(self._known.items()):
            if now_s - known.heard_s > FORGET_AFTER_S:
                del self._known[name]
                self._router.forget(name)
            else:
                self._refresh(name, now_s)

    def _refresh(self, name: str, now_s: float) -> None:
        known, minion = self._known[name], self._router.minions[name]
        minion.leaving = known.leaving or now_s - known.heard_s > SILENT_AFTER_S
        minion.out = known.info.domain in self._out

    def on_beat(self, beat: control_pb2.Beat, seen: Seen) -> control_pb2.BeatReply:
        """Take in a minion's heartbeat."""
        now_s = clock_s()
        info = beat.info
        before = self._known.get(info.name)
        if before is not None and before.incarnation != beat.incarnation:
            # It came back under the same name: nothing that was sent before is in
            # flight.
            self._router.forget(info.name)
        self._known[info.name] = KnownMinion(
            info, beat.incarnation, now_s, beat.leaving
        )
        self._router.announce(info.name, max(1, info.slots), beat.in_flight, now_s)
        self._refresh(info.name, now_s)
        domain = seen.view.domains.get(info.domain)
        return control_pb2.BeatReply(
            accepted=True,
            config_version=seen.view.version,
            domain_out=domain is not None and domain.out,
            view_age_s=min(1e9, seen.age_s()),
        )

    def config_changed(self, seen: Seen) -> None:
        """Take in which failure domains are out."""
        out = frozenset(
            name for name, domain in seen.view.domains.items() if domain.out
        )
        if out != self._out:
            self._out = out
            for name in self._known:
                self._refresh(name, clock_s())

    def choose(self, avoid: frozenset[str] = frozenset()) -> Route:
        """Choose a minion; each choice is ended by `finished`."""
        verdict = self._router.choose(clock_s(), avoid)
        if not verdict.minion:
            return Route("", reason=verdict.reason)
        known = self._known[verdict.minion]
        return Route(verdict.minion, known.info.address, known.incarnation)

    def finished(self, name: str, failed: bool, latency_s: float) -> None:
        """Take in the end of a request."""
        self._router.finished(name, failed, latency_s, clock_s())
        self._metrics.timing("request", latency_s)

    def targets(self) -> list[dict]:
        """Return what is known of the minions."""
        rows = []
        for name, known in sorted(self._known.items()):
            minion = self._router.minions[name]
            rows.append(
                {
                    "name": name,
                    "kind": "minion",
                    "domain": known.info.domain,
                    "slots": known.info.slots,
                    "in_flight": minion.in_flight,
                    "announced": minion.announced,
                    "leaving": minion.leaving,
                    "domain_out": minion.out,
                }
            )
        return rows
