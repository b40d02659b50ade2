"""Which entry an agent sends its heartbeats to."""

from __future__ import annotations

import pytest
from cicadabank.agent.internal.reporter import HolderHeartbeatSender
from cicadabank.wire import control_pb2

from tests.support.fake_entries import FakeEntries, holder_reply, redirect_reply

INTERVAL_S = 0.5
A, B, C = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
NO_REPLY = None


class Agent:
    """Sends heartbeats at an interval and records the accepted ones."""

    def __init__(self, answers, entries):
        self.entries = FakeEntries(answers)
        self.destination_changes = 0
        self.accepted = []
        self.reporter = HolderHeartbeatSender(
            entries,
            self.entries,
            lambda call, *args: call(*args),
            self._on_destination_change,
        )

    def _on_destination_change(self):
        self.destination_changes += 1

    def _on_reply(self, _beat, reply, _sent_s):
        self.accepted.append((self.entries.now_s, reply.epoch))

    def run_until(self, until_s):
        while self.entries.now_s < until_s:
            self.reporter.send(control_pb2.Beat(), self._on_reply)
            self.entries.advance(self.entries.now_s + INTERVAL_S)

    def last_called(self):
        return self.entries.calls[-1][1]


def agent_with(answers, entries=(A, B)):
    return Agent(answers, entries)


class TestHolderReporter:
    def test_keeps_sending_to_the_holder(self):
        agent = agent_with(
            {A: lambda _: holder_reply(), B: lambda _: redirect_reply(A)}
        )
        agent.run_until(5.0)
        assert {address for _, address, _ in agent.entries.calls} == {A}
        assert len(agent.accepted) == 10
        assert agent.destination_changes == 0

    def test_follows_a_redirect_to_the_holder(self):
        agent = agent_with(
            {A: lambda _: redirect_reply(C), C: lambda _: holder_reply()}
        )
        agent.run_until(2.0)
        assert [address for _, address, _ in agent.entries.calls] == [A, C, C, C]
        assert agent.destination_changes

    @pytest.mark.parametrize("holder", ["", A])
    def test_tries_the_next_entry_without_a_redirect_to_another(self, holder):
        agent = agent_with(
            {A: lambda _: redirect_reply(holder), B: lambda _: holder_reply()}
        )
        agent.run_until(1.0)
        assert agent.last_called() == B
        assert agent.destination_changes

    @pytest.mark.parametrize("taken_over_s", [2.0, 3.0, 4.0, 5.0, 6.0, 7.0])
    def test_finds_the_new_holder_while_redirected_to_the_frozen_one(
        self, taken_over_s
    ):
        """The lease outlasts a takeover by three heartbeats only; see `timings_for`."""

        def second(now_s):
            return holder_reply(2) if now_s >= taken_over_s else redirect_reply(A)

        agent = agent_with({A: lambda _: NO_REPLY, B: second})
        agent.run_until(15.0)
        found_s = agent.accepted[0][0]
        # The search starts only after two calls without a reply.
        assert found_s <= max(taken_over_s, 4.0) + 3 * INTERVAL_S

    @pytest.mark.parametrize("taken_over_s", [2.0, 3.0, 4.0, 5.0])
    def test_leaves_an_entry_that_lost_the_table_and_names_itself(self, taken_over_s):
        def first(now_s):
            return holder_reply(1) if now_s < 1.0 else redirect_reply(A)

        def second(now_s):
            return holder_reply(2) if now_s >= taken_over_s else redirect_reply(A)

        agent = agent_with({A: first, B: second})
        agent.run_until(15.0)
        found_s = next((at_s for at_s, epoch in agent.accepted if epoch == 2), 15.0)
        assert found_s <= taken_over_s + 3 * INTERVAL_S

    @pytest.mark.parametrize("back_s", [2.0, 4.0, 6.0])
    def test_returns_to_a_holder_that_was_silent_temporarily(self, back_s):
        def first(now_s):
            return holder_reply() if now_s >= back_s else NO_REPLY

        agent = agent_with({A: first, B: lambda _: redirect_reply(A)})
        agent.run_until(15.0)
        # A call in flight when the holder resumes still runs into its timeout.
        assert agent.accepted[0][0] <= back_s + 1.5 + 3 * INTERVAL_S
        assert agent.last_called() == A

    def test_does_not_return_to_a_holder_that_was_replaced(self):
        def first(now_s):
            return holder_reply(1) if now_s < 1.0 or now_s >= 9.0 else NO_REPLY

        def second(now_s):
            return holder_reply(2) if now_s >= 5.0 else redirect_reply(A)

        agent = agent_with({A: first, B: second})
        agent.run_until(15.0)
        assert agent.last_called() == B
        assert [epoch for at_s, epoch in agent.accepted if at_s >= 6.0] == [2] * 18
