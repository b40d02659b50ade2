"""The actor that tracks the minions and chooses one for each request."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.decisions import Router
from cicadabank.entry.internal.config import ConfigSnapshot
from cicadabank.tasks import Actor, Metrics, clock_s
from cicadabank.wire import control_pb2

TICK_S = 0.5
SILENT_AFTER_S = 3.0
FORGET_AFTER_S = 60.0


class MinionChoice(NamedTuple):
    """A chosen minion; if the name is empty, the reason why none was chosen."""

    name: str
    address: str = ""
    incarnation: str = ""
    reason: str = ""


class KnownMinion(NamedTuple):
    """What a minion announced in its last heartbeat."""

    info: control_pb2.TargetInfo
    incarnation: str
    last_heartbeat_s: float
    leaving: bool


class MinionActor(Actor):
    """Tracks the minions' heartbeats and chooses a minion for each request.

    Parameters
    ----------
    overcommit : float
        Limit of requests in flight at a minion, per slot.
    seed : int
        Seed of the router's random choices.
    """

    def __init__(self, overcommit: float, seed: int, metrics: Metrics):
        super().__init__(TICK_S)
        self._router = Router(overcommit, seed)
        self._known: dict[str, KnownMinion] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._metrics = metrics

    def on_tick(self) -> None:
        """Exclude minions without recent heartbeats, and forget those long silent."""
        now_s = clock_s()
        for name, known in list(self._known.items()):
            if now_s - known.last_heartbeat_s > FORGET_AFTER_S:
                del self._known[name]
                self._router.forget(name)
            else:
                self._update_availability(name, now_s)

    def _update_availability(self, name: str, now_s: float) -> None:
        known, minion = self._known[name], self._router.minions[name]
        # The router excludes a silent minion in the same way as one that is leaving.
        minion.leaving = (
            known.leaving or now_s - known.last_heartbeat_s > SILENT_AFTER_S
        )
        minion.out = known.info.domain in self._domains_out

    def on_heartbeat(
        self, heartbeat: control_pb2.Beat, snapshot: ConfigSnapshot
    ) -> control_pb2.BeatReply:
        """Apply a minion's heartbeat and return the reply to it."""
        now_s = clock_s()
        info = heartbeat.info
        previous = self._known.get(info.name)
        if previous is not None and previous.incarnation != heartbeat.incarnation:
            # The minion has restarted under the same name, so nothing that was sent to
            # it before is still in flight.
            self._router.forget(info.name)
        self._known[info.name] = KnownMinion(
            info, heartbeat.incarnation, now_s, heartbeat.leaving
        )
        self._router.announce(info.name, max(1, info.slots), heartbeat.in_flight, now_s)
        self._update_availability(info.name, now_s)
        domain = snapshot.view.domains.get(info.domain)
        return control_pb2.BeatReply(
            accepted=True,
            config_version=snapshot.view.version,
            domain_out=domain is not None and domain.out,
            view_age_s=min(1e9, snapshot.age_s()),
        )

    def on_config_confirmed(self, snapshot: ConfigSnapshot) -> None:
        """Apply which failure domains are out of service."""
        out = frozenset(
            name for name, domain in snapshot.view.domains.items() if domain.out
        )
        if out != self._domains_out:
            self._domains_out = out
            for name in self._known:
                self._update_availability(name, clock_s())

    def choose(self, avoid: frozenset[str] = frozenset()) -> MinionChoice:
        """Choose a minion; the caller must report the request's end to `finished`."""
        choice = self._router.choose(clock_s(), avoid)
        if not choice.minion:
            return MinionChoice("", reason=choice.reason)
        known = self._known[choice.minion]
        return MinionChoice(choice.minion, known.info.address, known.incarnation)

    def finished(self, name: str, failed: bool, latency_s: float) -> None:
        """Update the router and the metrics with the end of a request."""
        self._router.finished(name, failed, latency_s, clock_s())
        self._metrics.timing("request", latency_s)

    def targets(self) -> list[dict]:
        """Return the state of each minion, by name."""
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
