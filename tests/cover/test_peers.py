"""Calls between entries: forwarded rows, and pings of the holder of a cell."""

import threading
import time

import pytest
from cicadabank.control.internal.peers import (
    HolderStatus,
    PeerService,
    forward_rows,
    ping,
)
from cicadabank.local import Ports
from cicadabank.store import StoredRow
from cicadabank.wire import ChannelPool, fleet_pb2_grpc, serve

from tests.support.platform import wait_for

ROW = StoredRow("cell", "job/a", b"value", 7)


class Holder:
    """An entry that holds a cell; does not reply to pings until `resume` is set."""

    def __init__(self):
        self.rows = []
        self.epoch = 3
        self.address = Ports().address()
        self.resume = None

    def epoch_of(self, cell):
        if self.resume is not None:
            self.resume.wait(5.0)
        return self.epoch

    def serving(self):
        service = PeerService(self.rows.extend, self.epoch_of)
        add = fleet_pb2_grpc.add_PeerServicer_to_server
        return serve(self.address, [(add, service)], 2)


@pytest.fixture
def holder():
    return Holder()


class TestPing:
    def test_holder_of_the_epoch_is_reported_as_holding(self, holder):
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is HolderStatus.HOLDS

    def test_restarted_entry_is_reported_as_gone(self, holder):
        holder.epoch = 0
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is HolderStatus.GONE

    def test_address_without_a_listener_is_reported_as_gone(self, holder):
        assert ping(ChannelPool(), holder.address, "cell", 3) is HolderStatus.GONE

    # Guards against a holder that is taken to have ended though it goes on renewing
    # leases: a channel in backoff repeats an earlier refusal.
    @pytest.mark.parametrize("refused_s", [0.3, 1.5])
    def test_an_entry_that_listens_again_is_not_reported_as_gone(
        self, holder, refused_s
    ):
        pool = ChannelPool()
        end_s = time.monotonic() + refused_s
        while time.monotonic() < end_s:
            assert ping(pool, holder.address, "cell", 3) is HolderStatus.GONE
            time.sleep(0.05)
        with holder.serving():
            assert ping(pool, holder.address, "cell", 3) is HolderStatus.HOLDS

    def test_entry_that_does_not_reply_is_reported_as_silent(self, holder):
        holder.resume = threading.Event()
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is HolderStatus.SILENT
            holder.resume.set()


class TestForwardedRows:
    def test_row_is_forwarded_to_the_other_entry(self, holder):
        with holder.serving():
            pool = ChannelPool()
            forward_rows(pool, holder.address, [ROW])
            wait_for(lambda: holder.rows == [ROW], 5.0)

    def test_removed_row_has_no_value(self, holder):
        with holder.serving():
            pool = ChannelPool()
            forward_rows(pool, holder.address, [ROW._replace(value=None)])
            wait_for(lambda: bool(holder.rows), 5.0)
        assert holder.rows[0].value is None
