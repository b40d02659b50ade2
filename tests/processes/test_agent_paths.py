"""Orders to agents that are frozen, or whose connection has gone silent."""

from __future__ import annotations

import time
from contextlib import ExitStack

import pytest
from cicadabank.local import Ports, Size, make_layout
from cicadabank.standin import proxy_running
from cicadabank.wire import ChannelPool, targets_pb2, targets_pb2_grpc

from tests.support.deployments import DOMAINS, OVERRIDES, layout_running


@pytest.fixture(scope="class")
def paths(tmp_path_factory):
    """Run a deployment whose agent of worker-4 is reached through a relay."""
    size = Size(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    agent = layout.settings["agent-worker-4"]
    with ExitStack() as stack:
        relay = stack.enter_context(proxy_running(agent["listen"]))
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


@pytest.fixture(scope="class")
def runner_paths(tmp_path_factory):
    """Run a deployment in which two agents reach their runners through relays."""
    size = Size(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with ExitStack() as stack:
        relays = {}
        for worker in ("worker-1", "worker-4"):
            agent = layout.settings[f"agent-{worker}"]
            relay = stack.enter_context(proxy_running(agent["target_address"]))
            agent["target_address"] = relay.address
            relays[worker] = relay
        folder = tmp_path_factory.mktemp("bench")
        bench = stack.enter_context(layout_running(layout, folder, 4, 0))
        yield bench, relays


def states_on(bench, worker):
    """Return what a worker's runner tells of its tasks, asked past its agent."""
    pool = ChannelPool()
    address = bench.deployment.layout.settings[worker]["listen"]
    stub = targets_pb2_grpc.RunnerStub(pool.get(address))
    states = [task.state for task in stub.Usage(targets_pb2.Empty()).tasks]
    pool.close()
    return states


class TestRunnerPath:
    @pytest.mark.parametrize(
        ("worker", "domain", "tasks"),
        [("worker-4", "huron", 4), ("worker-1", "erie", 12)],
        ids=["one-worker", "gang-of-three"],
    )
    def test_start_that_is_held_up_past_a_drain_runs_nothing(
        self, runner_paths, worker, domain, tasks
    ):
        bench, relays = runner_paths
        relays[worker].hold()
        job = bench.submit(run_s=0.2, tasks=tasks, domain=domain)
        bench.wait(lambda: bench.client.job(job)["attempts"] == 1, "the start")
        bench.client.apply("failure-domain", {"name": domain, "out": True})
        time.sleep(4.0)
        relays[worker].release()
        bench.wait(
            lambda: bench.client.job(job)["state"] == "queued", "the job's return"
        )
        for name in ("worker-1", "worker-2", "worker-3", "worker-4"):
            assert set(states_on(bench, name)) <= {"stopped"}
        bench.client.apply("failure-domain", {"name": domain, "out": False})
        assert bench.ended(job)["state"] == "done"
