"""Where an agent sends its heartbeats."""

from __future__ import annotations

import pytest
from cicadabank.agent.internal.reporter import HolderReporter
from cicadabank.wire import control_pb2

from tests.support.fake_entries import FakeEntries, holding, naming

INTERVAL_S = 0.5
A, B, C = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
SILENT = None


class Agent:
    """Beats at an interval, and notes which entries took its heartbeats in."""

    def __init__(self, answers, entries):
        self.entries = FakeEntries(answers)
        self.moves = 0
        self.taken = []
        self.reporter = HolderReporter(
            entries, self.entries, lambda call, *args: call(*args), self._moved
        )

    def _moved(self):
        self.moves += 1

    def _take(self, _beat, reply, _sent_s):
        self.taken.append((self.entries.now_s, reply.epoch))

    def beat(self, until_s):
        while self.entries.now_s < until_s:
            self.reporter.send(control_pb2.Beat(), self._take)
            self.entries.advance(self.entries.now_s + INTERVAL_S)

    def last_asked(self):
        return self.entries.asked[-1][1]


def agent_with(answers, entries=(A, B)):
    return Agent(answers, entries)


class TestHolderReporter:
    def test_stays_with_the_holder(self):
        agent = agent_with({A: lambda _: holding(), B: lambda _: naming(A)})
        agent.beat(5.0)
        assert {address for _, address, _ in agent.entries.asked} == {A}
        assert len(agent.taken) == 10
        assert agent.moves == 0

    def test_goes_to_the_holder_that_is_named(self):
        agent = agent_with({A: lambda _: naming(C), C: lambda _: holding()})
        agent.beat(2.0)
        assert [address for _, address, _ in agent.entries.asked] == [A, C, C, C]
        assert agent.moves

    @pytest.mark.parametrize("holder", ["", A])
    def test_asks_the_next_entry_when_nobody_else_is_named(self, holder):
        agent = agent_with({A: lambda _: naming(holder), B: lambda _: holding()})
        agent.beat(1.0)
        assert agent.last_asked() == B
        assert agent.moves

    @pytest.mark.parametrize("taken_over_s", [2.0, 3.0, 4.0, 5.0, 6.0, 7.0])
    def test_finds_the_next_holder_while_the_frozen_one_is_still_named(
        self, taken_over_s
    ):
        """Three heartbeats later the lease may lapse; see `timings_for`."""

        def second(now_s):
            return holding(2) if now_s >= taken_over_s else naming(A)

        agent = agent_with({A: lambda _: SILENT, B: second})
        agent.beat(15.0)
        found_s = agent.taken[0][0]
        # A holder that is silent for less than two calls is not given up.
        assert found_s <= max(taken_over_s, 4.0) + 3 * INTERVAL_S

    @pytest.mark.parametrize("taken_over_s", [2.0, 3.0, 4.0, 5.0])
    def test_leaves_one_that_is_cut_off_from_the_table_and_names_itself(
        self, taken_over_s
    ):
        def first(now_s):
            return holding(1) if now_s < 1.0 else naming(A)

        def second(now_s):
            return holding(2) if now_s >= taken_over_s else naming(A)

        agent = agent_with({A: first, B: second})
        agent.beat(15.0)
        found_s = next((at_s for at_s, epoch in agent.taken if epoch == 2), 15.0)
        assert found_s <= taken_over_s + 3 * INTERVAL_S

    @pytest.mark.parametrize("back_s", [2.0, 4.0, 6.0])
    def test_returns_to_the_holder_that_was_silent_for_a_while(self, back_s):
        def first(now_s):
            return holding() if now_s >= back_s else SILENT

        agent = agent_with({A: first, B: lambda _: naming(A)})
        agent.beat(15.0)
        # A call under way when it came back still meets its deadline.
        assert agent.taken[0][0] <= back_s + 1.5 + 3 * INTERVAL_S
        assert agent.last_asked() == A

    def test_does_not_return_to_a_holder_that_was_replaced(self):
        def first(now_s):
            return holding(1) if now_s < 1.0 or now_s >= 9.0 else SILENT

        def second(now_s):
            return holding(2) if now_s >= 5.0 else naming(A)

        agent = agent_with({A: first, B: second})
        agent.beat(15.0)
        assert agent.last_asked() == B
        assert [epoch for at_s, epoch in agent.taken if at_s >= 6.0] == [2] * 18
