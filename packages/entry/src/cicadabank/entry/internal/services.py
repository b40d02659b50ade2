"""The entry's gRPC services, for targets and for other entries, and its peer client."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial

import grpc
from cicadabank.entry.internal.cell import CellActor
from cicadabank.entry.internal.config import ConfigActor
from cicadabank.entry.internal.minions import MinionActor
from cicadabank.entry.internal.session import SessionActor
from cicadabank.model import decode, encode
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, control_pb2, control_pb2_grpc

HEARTBEAT_PROCESSING_TIMEOUT_S = 1.2  # shorter than the agent's timeout of the call
PEER_TIMEOUT_S = 0.6


class MembershipService(control_pb2_grpc.MembershipServicer):
    """Passes heartbeats to the actors that own the targets' state.

    Parameters
    ----------
    cells : dict of str to CellActor
        The held cells. The owner may change the dict concurrently.
    """

    def __init__(
        self,
        cells: dict[str, CellActor],
        session: SessionActor,
        minions: MinionActor,
        config: ConfigActor,
        beat_interval_s: float,
        may_renew: Callable[[], bool],
    ):
        self._cells = cells
        self._session = session
        self._minions = minions
        self._config = config
        self._interval_s = beat_interval_s
        self._may_renew = may_renew

    def Report(self, request, context):  # noqa: N802
        """Pass on a heartbeat; a refusal names the cell's holder, if one is known."""
        if request.HasField("info") and request.info.kind == "minion":
            deliver = partial(
                self._minions.ask,
                self._minions.on_heartbeat,
                request,
                self._config.snapshot,
            )
        elif request.cell in self._cells and self._may_renew():
            cell = self._cells[request.cell]
            deliver = partial(cell.ask, cell.on_heartbeat, request)
        else:
            return control_pb2.BeatReply(
                accepted=False,
                holder=self._session.holder_address(request.cell),
                entries=self._session.entry_addresses(),
            )
        try:
            reply = deliver(timeout_s=HEARTBEAT_PROCESSING_TIMEOUT_S)
        except FutureTimeoutError:
            context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED,
                "the holder did not process the heartbeat in time",
            )
        reply.entries.extend(self._session.entry_addresses())
        reply.interval_s = reply.interval_s or self._interval_s
        return reply


class PeerService(control_pb2_grpc.PeerServicer):
    """Serves calls from the other entries."""

    def __init__(
        self,
        cells: dict[str, CellActor],
        session: SessionActor,
        take_domain_out_here: Callable[[str], None],
    ):
        self._cells = cells
        self._session = session
        self._take_domain_out_here = take_domain_out_here

    def Wake(self, request, context):  # noqa: N802
        """Have a job's row read again, if its cell is held here."""
        cell = self._cells.get(request.cell)
        if cell is not None:
            cell.post(cell.on_job_changed, request.job)
        return control_pb2.Empty()

    def Describe(self, request, context):  # noqa: N802
        """Return the state of a held cell, for operators who query another entry."""
        cell = self._cells.get(request.cell)
        if cell is None:
            return control_pb2.CellDescription()
        try:
            document = cell.ask(cell.describe, timeout_s=PEER_TIMEOUT_S)
        except FutureTimeoutError:
            return control_pb2.CellDescription()
        return control_pb2.CellDescription(document=encode(document))

    def PushView(self, request, context):  # noqa: N802
        """Take a failure domain out of service at once."""
        if request.out:
            self._take_domain_out_here(request.domain)
        return control_pb2.Empty()

    def StoreSeen(self, request, context):  # noqa: N802
        """Return how long ago this entry last wrote to the table."""
        age_s = clock_s() - self._session.last_table_write_s
        return control_pb2.StoreContact(age_s=min(1e9, age_s))


class PeerClient:
    """Calls the other entries; those that don't answer are skipped."""

    def __init__(self, session: SessionActor, pool: ChannelPool, own_address: str):
        self._session = session
        self._pool = pool
        self._own_address = own_address

    def _stubs(self) -> list[control_pb2_grpc.PeerStub]:
        addresses = {s.row.grpc for s in self._session.observed_sessions.values()} - {
            self._own_address
        }
        return [
            control_pb2_grpc.PeerStub(self._pool.get(address)) for address in addresses
        ]

    def notify_job_changed(self, address: str, cell: str, job: str) -> None:
        """Tell a cell's holder that a job's row has changed.

        A lost call only delays this: the holder finds a new job in its next queue scan,
        and any other change when its next commit of the row conflicts.
        """
        stub = control_pb2_grpc.PeerStub(self._pool.get(address))
        stub.Wake.future(control_pb2.Poke(cell=cell, job=job), timeout=PEER_TIMEOUT_S)

    def mark_domain_out(self, domain: str) -> None:
        """Take a failure domain out of service at every reachable entry."""
        push = control_pb2.ViewPush(domain=domain, out=True)
        for stub in self._stubs():
            stub.PushView.future(push, timeout=PEER_TIMEOUT_S)

    def describe(self, address: str, cell: str) -> dict | None:
        """Return a cell's state from its holder, or None if it doesn't answer."""
        stub = control_pb2_grpc.PeerStub(self._pool.get(address))
        try:
            reply = stub.Describe(control_pb2.Poke(cell=cell), timeout=PEER_TIMEOUT_S)
        except grpc.RpcError:
            return None
        return decode(reply.document) if reply.document else None

    def table_write_ages_s(self) -> list[float]:
        """Return how long ago each entry that answers last wrote to the table."""
        calls = [
            stub.StoreSeen.future(control_pb2.Empty(), timeout=PEER_TIMEOUT_S)
            for stub in self._stubs()
        ]
        ages_s = []
        for call in calls:
            try:
                ages_s.append(call.result().age_s)
            except grpc.RpcError:
                continue
        return ages_s
