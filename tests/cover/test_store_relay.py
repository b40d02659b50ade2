"""Calls to the store through peers, for a process that the store turns away."""

import time
from contextlib import ExitStack

import pytest
from cicadabank.control.internal import relay as relay_module
from cicadabank.control.internal.relay import (
    CELLS,
    RelayedTable,
    RelayService,
    StorePath,
)
from cicadabank.local import Ports
from cicadabank.standin import MemoryTable
from cicadabank.store import (
    HistoryLostError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.wire import ChannelPool, fleet_pb2_grpc, serve


class Way:
    """One process's way to a store that it shares with others."""

    def __init__(self, store: MemoryTable):
        self.store = store
        self.error: Exception | None = None
        self.calls = 0

    def __getattr__(self, name):
        def call(*arguments, **more):
            self.calls += 1
            if self.error is not None:
                raise self.error
            return getattr(self.store, name)(*arguments, **more)

        return call


class World:
    """An entry, and three peers that may relay for it."""

    def __init__(self, stack):
        self.store = MemoryTable()
        self.own = Way(self.store)
        self.peers = {}
        ports = Ports()
        for _ in range(3):
            way, address = Way(self.store), ports.address()
            service = RelayService({CELLS: way})
            add = fleet_pb2_grpc.add_StoreRelayServicer_to_server
            stack.enter_context(serve(address, [(add, service)], 4))
            self.peers[address] = way
        self.path = StorePath(CELLS, self.own, lambda: list(self.peers), ChannelPool())
        self.table = RelayedTable(self.own, CELLS, self.path)

    def turn_away(self, error=None):
        """Let the store turn this entry away."""
        self.own.error = error or UnavailableError("turned away")


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(relay_module, "PROBE_INTERVAL_S", 0.05)
    monkeypatch.setattr(relay_module, "SEARCH_PAUSE_S", 0.0)
    with ExitStack() as stack:
        yield World(stack)


class TestCommit:
    def test_reaches_the_store_directly_while_that_works(self, world):
        assert world.table.commit("p", {"k": 0}, {"k": b"1"}) == 1
        assert not any(way.calls for way in world.peers.values())

    def test_goes_through_a_peer_when_turned_away(self, world):
        world.turn_away()
        assert world.table.commit("p", {"k": 0}, {"k": b"1"}) == 1
        assert world.store.rows[("p", "k")].value == b"1"

    def test_conflict_tells_the_rows_that_stand(self, world):
        world.store.commit("p", {}, {"k": b"other"})
        world.turn_away()
        with pytest.raises(RowConflictError) as caught:
            world.table.commit("p", {"k": 0, "absent": 0}, {"k": b"1"})
        assert caught.value.rows["k"].value == b"other"
        assert caught.value.rows["absent"].value is None

    def test_unknown_outcome_is_left_to_the_caller_who_then_gets_a_peer(self, world):
        world.turn_away(UnknownOutcomeError("silent"))
        with pytest.raises(UnknownOutcomeError):
            world.table.commit("p", {"k": 0}, {"k": b"1"})
        assert world.table.commit("p", {"k": 0}, {"k": b"1"}) == 1

    def test_unknown_outcome_at_the_peer_is_told(self, world):
        world.turn_away()
        world.table.read("p")
        world.store.lose_answers = True
        with pytest.raises(UnknownOutcomeError):
            world.table.commit("p", {"k": 0}, {"k": b"1"})


class TestReads:
    def test_rows_and_changes_come_through_a_peer(self, world):
        world.store.commit("p", {}, {"a": b"1", "b": b"2"})
        world.store.commit("p", {}, {}, ("a",))
        world.turn_away()
        page = world.table.read("p")
        assert [(r.key, r.value) for r in page.rows] == [("b", b"2")]
        changes = world.table.changes(0, 0.1)
        assert [(r.key, r.value) for r in changes.rows][-1] == ("a", None)
        assert changes.version == page.version == 2
        assert [r.partition for r in world.table.partitions().rows] == ["p"]

    def test_lost_history_is_told(self, world):
        world.store.commit("p", {}, {"a": b"1"})
        world.store.forget_history()
        world.turn_away()
        with pytest.raises(HistoryLostError):
            world.table.changes(0, 0.1)


class TestPath:
    def test_peer_that_is_turned_away_as_well_is_passed_over(self, world):
        world.turn_away()
        broken = list(world.peers.values())[:2]
        for way in broken:
            way.error = UnavailableError("turned away")
        assert world.table.commit("p", {"k": 0}, {"k": b"1"}) == 1

    def test_another_peer_is_found_when_the_relay_is_lost(self, world):
        world.turn_away()
        world.table.commit("p", {}, {"k": b"1"})
        used = next(way for way in world.peers.values() if way.calls > 1)
        used.error = UnavailableError("turned away")
        with pytest.raises(UnavailableError):
            world.table.commit("p", {}, {"k": b"2"})
        assert world.table.commit("p", {}, {"k": b"2"}) == 2

    def test_store_that_is_away_for_all_is_told(self, world):
        world.turn_away()
        for way in world.peers.values():
            way.error = UnavailableError("away")
        with pytest.raises(UnavailableError):
            world.table.commit("p", {}, {"k": b"1"})

    def test_store_that_is_back_is_used_without_a_relay(self, world):
        world.turn_away()
        for way in world.peers.values():
            way.error = UnavailableError("away")
        with pytest.raises(UnavailableError):
            world.table.read("p")
        world.own.error = None
        began_s = time.monotonic()
        world.table.changes(world.store.version, 5.0)  # tries it in any case
        assert time.monotonic() - began_s < 2.5
        assert world.path.direct
        assert world.table.commit("p", {}, {"k": b"1"}) == 1

    def test_callers_are_told_at_once_when_neither_way_works(self, world, monkeypatch):
        monkeypatch.setattr(relay_module, "PROBE_INTERVAL_S", 10.0)
        monkeypatch.setattr(relay_module, "SEARCH_PAUSE_S", 10.0)
        world.turn_away()
        for way in world.peers.values():
            way.error = UnavailableError("away")
        for _ in range(3):
            with pytest.raises(UnavailableError):
                world.table.read("p")
        assert world.own.calls == 1
        assert sum(way.calls for way in world.peers.values()) == 3

    def test_direct_way_is_taken_again_once_it_works(self, world):
        world.turn_away()
        world.table.read("p")
        assert not world.path.direct
        world.own.error = None
        for _ in range(200):
            if world.path.direct:
                break
            time.sleep(0.02)
        assert world.path.direct


class TestService:
    def test_process_that_is_turned_away_relays_nothing(self):
        way = Way(MemoryTable())
        service = RelayService({CELLS: way}, lambda: False)
        request = relay_module.fleet_pb2.RelayRequest(table=CELLS)
        reply = service.Relay(request, None)
        assert reply.outcome == relay_module.Outcome.UNAVAILABLE
        assert not way.calls

    def test_unknown_table_is_refused(self):
        service = RelayService({CELLS: Way(MemoryTable())})
        request = relay_module.fleet_pb2.RelayRequest(table="none")
        reply = service.Relay(request, None)
        assert reply.outcome == relay_module.Outcome.UNAVAILABLE
