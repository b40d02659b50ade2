"""How a target without an agent announces itself to the system."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

import grpc
from cicadabank.model import new_id
from cicadabank.settings import StandInSettings
from cicadabank.wire import ChannelPool, control_pb2, control_pb2_grpc

INTERVAL_S = 0.5
TIMEOUT_S = 1.0


class Announcer:
    """Sends the target's name, size and place to the entries, again and again.

    Attributes
    ----------
    leaving : bool
        Announced with the rest; the target takes no new work then.
    """

    def __init__(self, settings: StandInSettings):
        self._info = control_pb2.TargetInfo(
            name=settings.name,
            kind=settings.role,
            address=settings.listen,
            cell=settings.cell,
            domain=settings.domain,
            rack=settings.rack,
            accelerators=settings.accelerators if settings.role == "worker" else 0,
            cores=settings.cores,
            memory_mb=settings.memory_mb,
            slots=settings.slots,
            direct=True,
        )
        self._entries = list(settings.entries)
        self._incarnation = new_id("run")
        self._pool = ChannelPool()
        self._ended = threading.Event()
        self.leaving = False

    def run(self) -> None:
        """Announce until `stop` is called."""
        while not self._ended.wait(INTERVAL_S):
            for entry in list(self._entries):
                self._announce(entry)

    def _announce(self, entry: str) -> None:
        beat = control_pb2.Beat(
            target=self._info.name,
            incarnation=self._incarnation,
            info=self._info,
            full=True,
            leaving=self.leaving,
            cell=self._info.cell,
        )
        stub = control_pb2_grpc.MembershipStub(self._pool.get(entry))
        try:
            reply = stub.Report(beat, timeout=TIMEOUT_S)
        except grpc.RpcError:
            return
        for other in [*reply.entries, reply.holder]:
            if other and other not in self._entries:
                self._entries.append(other)

    def stop(self) -> None:
        """End the announcements."""
        self._ended.set()


@contextmanager
def announcing(settings: StandInSettings) -> Iterator[Announcer | None]:
    """Announce a target until the block ends, if its settings name entries."""
    if not settings.entries:
        yield None
        return
    announcer = Announcer(settings)
    thread = threading.Thread(target=announcer.run, daemon=True)
    thread.start()
    try:
        yield announcer
    finally:
        announcer.stop()
        thread.join(timeout=5.0)
