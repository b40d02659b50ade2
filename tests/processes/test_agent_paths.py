"""Orders to agents that are frozen, or whose connection has gone silent."""

from __future__ import annotations

import time
from contextlib import ExitStack

import pytest
from cicadabank.local import Ports, Size, make_layout

from tests.support.deployments import DOMAINS, OVERRIDES, layout_running
from tests.support.relay import relay_running


@pytest.fixture(scope="class")
def paths(tmp_path_factory):
    """Run a deployment whose agent of worker-4 is reached through a relay."""
    size = Size(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    agent = layout.settings["agent-worker-4"]
    with ExitStack() as stack:
        relay = stack.enter_context(relay_running(agent["listen"]))
        agent["advertise"] = relay.address
        folder = tmp_path_factory.mktemp("bench")
        bench = stack.enter_context(layout_running(layout, folder, 4, 0))
        yield bench, relay


class TestAgentPaths:
    def test_frozen_agent_starts_nothing_after_a_drain(self, paths):
        bench, _ = paths
        bench.deployment.freeze("agent-worker-4")
        job = bench.submit(run_s=0.2, tasks=4, domain="huron")
        time.sleep(0.5)
        bench.client.apply("failure-domain", {"name": "huron", "out": True})
        time.sleep(4.0)
        bench.deployment.wake("agent-worker-4")
        time.sleep(3.0)
        record = bench.client.job(job)
        assert (record["state"], record["attempts"]) == ("queued", 0)
        bench.client.apply("failure-domain", {"name": "huron", "out": False})
        assert bench.ended(job)["state"] == "done"

    def test_silent_connection_is_replaced(self, paths):
        bench, relay = paths
        job = bench.submit(run_s=0.2, tasks=4, domain="huron")
        assert bench.ended(job)["state"] == "done"
        relay.silence()
        job = bench.submit(run_s=0.2, tasks=4, domain="huron", idempotent=False)
        record = bench.ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)
