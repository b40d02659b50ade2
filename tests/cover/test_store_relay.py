"""Calls to the store through peers, for a process that can't reach it directly."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest
from cicadabank.control.errors import StoreUnavailableError
from cicadabank.control.internal import feed as feed_module
from cicadabank.control.internal import job_service as job_service_module
from cicadabank.control.internal import relay as relay_module
from cicadabank.control.internal.feed import OperatorView
from cicadabank.control.internal.job_service import (
    JobRequest,
    JobService,
    RequestTiming,
)
from cicadabank.control.internal.relay import (
    CELLS,
    RelayedTable,
    RelayService,
    StorePath,
)
from cicadabank.control.internal.replica import Replica
from cicadabank.local import Ports
from cicadabank.scheduling import (
    Configuration,
    QueueConfig,
    Resources,
    RouteConfig,
    StepSpec,
)
from cicadabank.standin import MemoryTable
from cicadabank.store import (
    HistoryLostError,
    RowConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, fleet_pb2_grpc, serve


class StoreAccess:
    """One process's access to a shared store; fails with `error` if that is set.

    Each call takes `delay_s` seconds. While `silent` is set, reads fail after their
    timeout.
    """

    def __init__(self, store: MemoryTable):
        self.store = store
        self.error: Exception | None = None
        self.delay_s = 0.0
        self.silent = False
        self.calls = 0

    def __getattr__(self, name):
        def call(*arguments, **keywords):
            self.calls += 1
            time.sleep(self.delay_s)
            if self.silent:
                time.sleep(keywords.get("timeout_s") or arguments[3])
                raise UnavailableError("no reply")
            if self.error is not None:
                raise self.error
            return getattr(self.store, name)(*arguments, **keywords)

        return call


class Harness:
    """An entry, three peers that can relay for it, and the store that they share."""

    def __init__(self, stack):
        self.store = MemoryTable()
        self.entry_access = StoreAccess(self.store)
        self.peers = {}
        ports = Ports()
        for _ in range(3):
            access, address = StoreAccess(self.store), ports.address()
            service = RelayService({CELLS: access})
            add = fleet_pb2_grpc.add_StoreRelayServicer_to_server
            stack.enter_context(serve(address, [(add, service)], 4))
            self.peers[address] = access
        self.path = StorePath(
            CELLS, self.entry_access, lambda: list(self.peers), ChannelPool()
        )
        self.table = RelayedTable(self.entry_access, CELLS, self.path)

    def block_direct_access(self, error=None):
        """Make direct calls of the entry to the store fail."""
        self.entry_access.error = error or UnavailableError("no access")


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(relay_module, "PROBE_INTERVAL_S", 0.05)
    monkeypatch.setattr(relay_module, "SEARCH_PAUSE_S", 0.0)
    with ExitStack() as stack:
        yield Harness(stack)


@pytest.fixture
def deployed_harness():
    """Return a harness with the intervals of a deployment."""
    with ExitStack() as stack:
        yield Harness(stack)


def wait_for_call(access: StoreAccess) -> None:
    """Wait until a call has been made since now."""
    calls, end_s = access.calls, clock_s() + 2.0
    while access.calls == calls and clock_s() < end_s:
        time.sleep(0.002)
    assert access.calls > calls


class TestCommit:
    def test_reaches_the_store_directly_while_that_works(self, harness):
        assert harness.table.commit("p", {"k": 0}, {"k": b"1"}) == 1
        assert not any(access.calls for access in harness.peers.values())

    def test_goes_through_a_peer_when_direct_access_fails(self, harness):
        harness.block_direct_access()
        assert harness.table.commit("p", {"k": 0}, {"k": b"1"}) == 1
        assert harness.store.rows[("p", "k")].value == b"1"

    def test_conflict_returns_the_current_rows(self, harness):
        harness.store.commit("p", {}, {"k": b"other"})
        harness.block_direct_access()
        with pytest.raises(RowConflictError) as caught:
            harness.table.commit("p", {"k": 0, "absent": 0}, {"k": b"1"})
        assert caught.value.rows["k"].value == b"other"
        assert caught.value.rows["absent"].value is None

    def test_unknown_outcome_is_raised_and_a_retry_uses_a_peer(self, harness):
        harness.block_direct_access(UnknownOutcomeError("silent"))
        with pytest.raises(UnknownOutcomeError):
            harness.table.commit("p", {"k": 0}, {"k": b"1"})
        assert harness.table.commit("p", {"k": 0}, {"k": b"1"}) == 1

    def test_unknown_outcome_at_the_peer_is_raised(self, harness):
        harness.block_direct_access()
        harness.table.read("p")
        harness.store.lose_answers = True
        with pytest.raises(UnknownOutcomeError):
            harness.table.commit("p", {"k": 0}, {"k": b"1"})


class TestReads:
    def test_rows_and_changes_come_through_a_peer(self, harness):
        harness.store.commit("p", {}, {"a": b"1", "b": b"2"})
        harness.store.commit("p", {}, {}, ("a",))
        harness.block_direct_access()
        page = harness.table.read("p")
        assert [(r.key, r.value) for r in page.rows] == [("b", b"2")]
        changes = harness.table.changes(0, 0.1)
        assert [(r.key, r.value) for r in changes.rows][-1] == ("a", None)
        assert changes.version == page.version == 2
        assert [r.partition for r in harness.table.partitions().rows] == ["p"]

    def test_lost_history_is_raised(self, harness):
        harness.store.commit("p", {}, {"a": b"1"})
        harness.store.forget_history()
        harness.block_direct_access()
        with pytest.raises(HistoryLostError):
            harness.table.changes(0, 0.1)


class TestPath:
    def test_peer_without_access_to_the_store_is_skipped(self, harness):
        harness.block_direct_access()
        blocked = list(harness.peers.values())[:2]
        for access in blocked:
            access.error = UnavailableError("no access")
        assert harness.table.commit("p", {"k": 0}, {"k": b"1"}) == 1

    def test_another_peer_is_found_when_the_relay_fails(self, harness):
        harness.block_direct_access()
        harness.table.commit("p", {}, {"k": b"1"})
        relay = next(access for access in harness.peers.values() if access.calls > 1)
        relay.error = UnavailableError("no access")
        with pytest.raises(UnavailableError):
            harness.table.commit("p", {}, {"k": b"2"})
        assert harness.table.commit("p", {}, {"k": b"2"}) == 2

    def test_store_unavailable_to_all_processes_is_raised(self, harness):
        harness.block_direct_access()
        for access in harness.peers.values():
            access.error = UnavailableError("store unavailable")
        with pytest.raises(UnavailableError):
            harness.table.commit("p", {}, {"k": b"1"})

    def test_recovered_store_is_accessed_without_a_relay(self, harness, monkeypatch):
        # A probe that notices the store first would let the call long-poll.
        monkeypatch.setattr(relay_module, "PROBE_INTERVAL_S", 60.0)
        harness.block_direct_access()
        for access in harness.peers.values():
            access.error = UnavailableError("store unavailable")
        with pytest.raises(UnavailableError):
            harness.table.read("p")
        harness.entry_access.error = None
        start_s = time.monotonic()
        # Changes are read directly if no peer can relay.
        harness.table.changes(harness.store.version, 5.0)
        assert time.monotonic() - start_s < 2.5
        assert harness.path.is_direct
        assert harness.table.commit("p", {}, {"k": b"1"}) == 1

    def test_callers_fail_at_once_when_neither_path_works(self, harness, monkeypatch):
        monkeypatch.setattr(relay_module, "PROBE_INTERVAL_S", 10.0)
        monkeypatch.setattr(relay_module, "SEARCH_PAUSE_S", 10.0)
        harness.block_direct_access()
        for access in harness.peers.values():
            access.error = UnavailableError("store unavailable")
        for _ in range(3):
            with pytest.raises(UnavailableError):
                harness.table.read("p")
        assert harness.entry_access.calls == 1
        assert sum(access.calls for access in harness.peers.values()) == 3

    # Guards against requests that are answered after their deadline because each one
    # searched for a relay in turn while the store was silent.
    def test_concurrent_callers_share_one_search(self, harness, monkeypatch):
        monkeypatch.setattr(relay_module, "SEARCH_PAUSE_S", 0.3)
        harness.block_direct_access()
        for access in harness.peers.values():
            access.delay_s = 2.0
        with pytest.raises(UnavailableError):
            harness.table.read("p")
        time.sleep(0.3)
        with ThreadPoolExecutor(6) as pool:
            start_s = time.monotonic()
            calls = [pool.submit(harness.table.read, "p") for _ in range(6)]
            for call in calls:
                assert isinstance(call.exception(), UnavailableError)
            assert time.monotonic() - start_s < 2 * relay_module.SEARCH_TIMEOUT_S

    def test_direct_path_is_used_again_once_it_works(self, harness):
        harness.block_direct_access()
        harness.table.read("p")
        assert not harness.path.is_direct
        harness.entry_access.error = None
        for _ in range(200):
            if harness.path.is_direct:
                break
            time.sleep(0.02)
        assert harness.path.is_direct


# Guards against the loss of a job whose client left, or whose entry was killed, between
# the store's return and the next probe.
class TestReturnOfTheStore:
    # All processes were killed this long after the store was back.
    NOTICED_WITHIN_S = 0.2

    def time_until_direct_s(self, harness) -> float:
        start_s = clock_s()
        while not harness.path.is_direct and clock_s() - start_s < 2.0:
            time.sleep(0.002)
        return clock_s() - start_s

    def test_a_store_that_refused_calls_is_noticed(self, deployed_harness):
        harness = deployed_harness
        harness.block_direct_access()
        harness.path.on_direct_failure(UnavailableError("store unavailable"))
        wait_for_call(harness.entry_access)
        harness.entry_access.error = None
        assert self.time_until_direct_s(harness) < self.NOTICED_WITHIN_S

    def test_a_store_that_was_silent_is_noticed(self, deployed_harness):
        harness = deployed_harness
        harness.entry_access.silent = True
        harness.path.on_direct_failure(UnavailableError("no reply"))
        wait_for_call(harness.entry_access)
        harness.entry_access.silent = False
        assert self.time_until_direct_s(harness) < self.NOTICED_WITHIN_S

    def test_a_silent_store_is_called_at_a_bounded_rate(self, deployed_harness):
        harness = deployed_harness
        harness.entry_access.silent = True
        harness.path.on_direct_failure(UnavailableError("no reply"))
        time.sleep(1.0)
        assert harness.entry_access.calls <= 10


# Guards against the loss of a job that was not stored in the short time between the
# return of the store and the loss of all processes, because its request slept.
class TestWaitingRequests:
    QUEUE = QueueConfig("q", "cell", 1, 3, 3.0, 1.0)
    ROUTE = RouteConfig("h", "/q/", True, QUEUE)
    REQUEST = JobRequest("a" * 16, "", "", (StepSpec(1, Resources(1, 1, 1), 1.0),))

    def new_service(self, harness):
        config = Configuration(1, (self.ROUTE,), ())
        return JobService(
            harness.table,
            Replica(),
            lambda: OperatorView(config, frozenset()),
            lambda cell, rows: None,
            harness.path.sleep_until_reachable,
        )

    def test_a_job_is_stored_as_soon_as_the_store_is_back(self, harness, monkeypatch):
        monkeypatch.setattr(job_service_module, "RETRY_PAUSE_S", 2.0)
        service = self.new_service(harness)
        accesses = [harness.entry_access, *harness.peers.values()]
        for access in accesses:
            access.error = UnavailableError("store unavailable")
        back_s = []

        def return_store():
            back_s.append(clock_s())
            for access in accesses:
                access.error = None

        threading.Timer(0.3, return_store).start()
        service.submit(self.ROUTE, self.REQUEST, RequestTiming(clock_s(), 6.0))
        assert clock_s() - back_s[0] < 0.5
        assert len(harness.store.rows) == 1

    # Guards against a request that is still in a search for a relay when the store can
    # be reached directly again.
    def test_a_search_for_a_relay_ends_with_the_return_of_the_store(self, harness):
        service = self.new_service(harness)
        for access in [harness.entry_access, *harness.peers.values()]:
            access.silent = True
        harness.path.on_direct_failure(UnavailableError("no reply"))
        with ThreadPoolExecutor(1) as pool:
            timing = RequestTiming(clock_s(), 6.0)
            call = pool.submit(service.submit, self.ROUTE, self.REQUEST, timing)
            wait_for_call(next(iter(harness.peers.values())))
            back_s = clock_s()
            harness.entry_access.silent = False
            call.result()
            assert clock_s() - back_s < 0.3
        assert len(harness.store.rows) == 1

    # Guards against a refusal that comes after the client's deadline.
    def test_a_silent_store_is_not_waited_for_beyond_the_limit(self, harness):
        service = self.new_service(harness)
        for access in [harness.entry_access, *harness.peers.values()]:
            access.silent = True
        with ThreadPoolExecutor(4) as pool:
            start_s = clock_s()
            timing = RequestTiming(start_s, 1.0)
            requests = [
                self.REQUEST._replace(job=f"{number:016x}") for number in range(4)
            ]
            calls = [
                pool.submit(service.submit, self.ROUTE, r, timing) for r in requests
            ]
            for call in calls:
                assert isinstance(call.exception(), StoreUnavailableError)
            assert clock_s() - start_s < 0.8


# Guards against a local copy that stays behind for a pause after the store's return,
# and with it the requests that wait for the copy.
class TestFeeds:
    def test_a_failed_step_is_repeated_as_soon_as_the_store_is_back(
        self, harness, monkeypatch
    ):
        monkeypatch.setattr(feed_module, "RETRY_PAUSE_S", 2.0)
        accesses = [harness.entry_access, *harness.peers.values()]
        for access in accesses:
            access.error = UnavailableError("store unavailable")
        read_s = []

        def step():
            harness.table.read("p")
            read_s.append(clock_s())
            time.sleep(0.1)

        pause = harness.path.sleep_until_reachable
        with feed_module.repeating_thread("feed", step, pause):
            time.sleep(0.3)
            back_s = clock_s()
            for access in accesses:
                access.error = None
            while not read_s and clock_s() - back_s < 2.0:
                time.sleep(0.02)
        assert read_s
        assert read_s[0] - back_s < 0.5


class TestService:
    def test_process_without_access_to_the_store_relays_nothing(self):
        access = StoreAccess(MemoryTable())
        service = RelayService({CELLS: access}, lambda: False)
        request = relay_module.fleet_pb2.RelayRequest(table=CELLS)
        reply = service.Relay(request, None)
        assert reply.outcome == relay_module.Outcome.UNAVAILABLE
        assert not access.calls

    def test_unknown_table_is_refused(self):
        service = RelayService({CELLS: StoreAccess(MemoryTable())})
        request = relay_module.fleet_pb2.RelayRequest(table="none")
        reply = service.Relay(request, None)
        assert reply.outcome == relay_module.Outcome.UNAVAILABLE
