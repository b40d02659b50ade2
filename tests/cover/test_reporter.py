"""Where an agent sends its heartbeats."""

from __future__ import annotations

import pytest
from cicadabank.agent.internal.reporter import HolderReporter
from cicadabank.wire import ChannelPool, control_pb2


@pytest.fixture
def reporter():
    pool = ChannelPool()
    moves = []
    entries = ("127.0.0.1:1", "127.0.0.1:2")
    reporter = HolderReporter(entries, pool, print, lambda: moves.append(1))
    reporter.moves = moves
    yield reporter
    pool.close()


def answer(reporter, **fields):
    taken = []
    reply = control_pb2.BeatReply(**fields)
    reporter._take(lambda *_: taken.append(1), control_pb2.Beat(), reply, 0.0)
    return bool(taken)


class TestHolderReporter:
    def test_stays_with_the_holder(self, reporter):
        assert answer(reporter, accepted=True)
        assert reporter._at.address == "127.0.0.1:1"

    def test_goes_to_the_holder_that_is_named(self, reporter):
        assert not answer(reporter, holder="127.0.0.1:3")
        assert reporter._at.address == "127.0.0.1:3"
        assert reporter.moves

    @pytest.mark.parametrize("holder", ["", "127.0.0.1:1"])
    def test_asks_the_next_entry_when_nobody_else_is_named(self, reporter, holder):
        assert not answer(reporter, holder=holder)
        assert reporter._at.address == "127.0.0.1:2"
