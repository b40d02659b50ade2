"""What entries tell each other: rows that were written, and who holds a cell."""

import threading

import pytest
from cicadabank.control.internal.peers import (
    Liveness,
    PeerService,
    forward_row,
    ping,
)
from cicadabank.local import Ports
from cicadabank.store import StoredRow
from cicadabank.wire import ChannelPool, fleet_pb2_grpc, serve

from tests.support.platform import wait_for

ROW = StoredRow("cell", "job/a", b"value", 7)


class Holder:
    """An entry that holds a cell under an epoch."""

    def __init__(self):
        self.rows = []
        self.epoch = 3
        self.address = Ports().address()
        self.pause = None

    def epoch_of(self, cell):
        if self.pause is not None:
            self.pause.wait(5.0)
        return self.epoch

    def serving(self):
        service = PeerService(self.rows.extend, self.epoch_of)
        add = fleet_pb2_grpc.add_PeerServicer_to_server
        return serve(self.address, [(add, service)], 2)


@pytest.fixture
def holder():
    return Holder()


class TestPing:
    def test_holder_of_that_epoch_holds(self, holder):
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is Liveness.HOLDS

    def test_process_that_has_started_again_holds_nothing(self, holder):
        holder.epoch = 0
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is Liveness.GONE

    def test_address_where_nobody_listens_is_gone(self, holder):
        assert ping(ChannelPool(), holder.address, "cell", 3) is Liveness.GONE

    def test_process_that_gives_no_answer_is_silent(self, holder):
        holder.pause = threading.Event()
        with holder.serving():
            assert ping(ChannelPool(), holder.address, "cell", 3) is Liveness.SILENT
            holder.pause.set()


class TestRows:
    def test_row_arrives_at_the_other_entry(self, holder):
        with holder.serving():
            pool = ChannelPool()
            forward_row(pool, holder.address, ROW)
            wait_for(lambda: holder.rows == [ROW], 5.0)

    def test_removed_row_has_no_value(self, holder):
        with holder.serving():
            pool = ChannelPool()
            forward_row(pool, holder.address, ROW._replace(value=None))
            wait_for(lambda: bool(holder.rows), 5.0)
        assert holder.rows[0].value is None
