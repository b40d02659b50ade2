"""Which pending work delays the stop of an agent."""

from __future__ import annotations

import pytest
from cicadabank.agent.internal.actor import AgentActor
from cicadabank.settings import AgentSettings
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, targets_pb2


@pytest.fixture
def actor():
    pool = ChannelPool()
    address = "127.0.0.1:1"
    settings = AgentSettings(
        "agent", "w1", "worker", address, address, "lakes", "erie", "r1", (address,)
    )
    yield AgentActor(settings, pool, None)
    pool.close()


class TestBusy:
    def test_not_busy_without_members(self, actor):
        assert not actor.busy

    @pytest.mark.parametrize(("silence_s", "busy"), [(0.0, True), (10.0, False)])
    def test_members_count_only_while_the_runner_answers(self, actor, silence_s, busy):
        running = targets_pb2.TaskUsage(attempt="a", state="running", epoch=1)
        actor.core.apply_usage([running], 0.0)
        actor.driver.usage_seen_s = clock_s() - silence_s
        assert actor.busy is busy
