"""Orders to agents and runners that are frozen, unresponsive or delayed by a proxy."""

from __future__ import annotations

import time
from contextlib import ExitStack

import pytest
from cicadabank.local import DeploymentSize, Ports, make_layout
from cicadabank.standin import proxy_running

from tests.support.deployments import DOMAINS, OVERRIDES, layout_running


@pytest.fixture(scope="class")
def agent_behind_proxy(tmp_path_factory):
    """Run a deployment in which entries reach the agent of worker-4 through a proxy."""
    size = DeploymentSize(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    agent = layout.settings["agent-worker-4"]
    with ExitStack() as stack:
        proxy = stack.enter_context(proxy_running(agent["listen"]))
        agent["advertise"] = proxy.address
        folder = tmp_path_factory.mktemp("deployment")
        harness = stack.enter_context(layout_running(layout, folder, 4, 0))
        yield harness, proxy


class TestAgentConnection:
    def test_resumed_agent_starts_nothing_after_a_drain(self, agent_behind_proxy):
        harness, _ = agent_behind_proxy
        harness.deployment.suspend("agent-worker-4")
        job = harness.submit(run_s=0.2, tasks=4, domain="huron")
        time.sleep(0.5)
        harness.client.apply("failure-domain", {"name": "huron", "out": True})
        time.sleep(4.0)
        harness.deployment.resume("agent-worker-4")
        time.sleep(3.0)
        record = harness.client.job(job)
        assert (record["state"], record["attempts"]) == ("queued", 0)
        harness.client.apply("failure-domain", {"name": "huron", "out": False})
        assert harness.wait_ended(job)["state"] == "done"

    def test_unresponsive_connection_is_replaced(self, agent_behind_proxy):
        harness, proxy = agent_behind_proxy
        job = harness.submit(run_s=0.2, tasks=4, domain="huron")
        assert harness.wait_ended(job)["state"] == "done"
        proxy.silence()
        job = harness.submit(run_s=0.2, tasks=4, domain="huron", idempotent=False)
        record = harness.wait_ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)


@pytest.fixture(scope="class")
def runners_behind_proxies(tmp_path_factory):
    """Run a deployment in which two agents reach their runners through proxies."""
    size = DeploymentSize(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with ExitStack() as stack:
        proxies = {}
        for worker in ("worker-1", "worker-4"):
            agent = layout.settings[f"agent-{worker}"]
            proxy = stack.enter_context(proxy_running(agent["target_address"]))
            agent["target_address"] = proxy.address
            proxies[worker] = proxy
        folder = tmp_path_factory.mktemp("deployment")
        harness = stack.enter_context(layout_running(layout, folder, 4, 0))
        yield harness, proxies


class TestRunnerConnection:
    @pytest.mark.parametrize(
        ("worker", "domain", "tasks"),
        [("worker-4", "huron", 4), ("worker-1", "erie", 12)],
        ids=["one-worker", "gang-of-three"],
    )
    def test_start_delayed_until_after_a_drain_runs_nothing(
        self, runners_behind_proxies, worker, domain, tasks
    ):
        harness, proxies = runners_behind_proxies
        proxies[worker].hold()
        job = harness.submit(run_s=0.2, tasks=tasks, domain=domain)
        harness.wait_until(
            lambda: harness.client.job(job)["attempts"] == 1, "the first attempt"
        )
        harness.client.apply("failure-domain", {"name": domain, "out": True})
        time.sleep(4.0)
        proxies[worker].release()
        harness.wait_until(
            lambda: harness.client.job(job)["state"] == "queued", "the requeued job"
        )
        for name in ("worker-1", "worker-2", "worker-3", "worker-4"):
            assert set(harness.task_states(name)) <= {"stopped"}
        harness.client.apply("failure-domain", {"name": domain, "out": False})
        assert harness.wait_ended(job)["state"] == "done"
