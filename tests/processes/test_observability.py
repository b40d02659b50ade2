"""Health checks, metrics and logs of agents and entries."""

from __future__ import annotations

import io
import json
import socket
import sys
from contextlib import ExitStack, closing

import httpx
from cicadabank.agent import agent_running
from cicadabank.local import Ports, wait_until
from cicadabank.settings import AgentSettings
from cicadabank.tasks import configure_logs
from loguru import logger

from tests.support.entries import local_deployment_running


def agent_settings(local, statsd, health):
    store = local.layout.store
    target = local.layout.settings["worker-1"]["listen"]
    return AgentSettings(
        kind="agent",
        name="worker-9",
        target="worker",
        target_address=target,
        listen=Ports().address(),
        cell="lakes",
        domain="erie",
        rack="rack-9",
        entries=(local.layout.settings["entry-1"]["grpc_listen"],),
        objects=store,
        accelerators=8,
        health_listen=health,
        statsd=statsd,
    )


class TestAgent:
    def test_is_ready_after_an_entry_replies_and_sends_metrics(self):
        with ExitStack() as stack:
            receiver = stack.enter_context(
                closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            )
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(10.0)
            statsd = f"127.0.0.1:{receiver.getsockname()[1]}"
            health = Ports().address()
            local = stack.enter_context(local_deployment_running(workers=1, minions=0))
            settings = agent_settings(local, statsd, health)
            stack.enter_context(agent_running(settings._replace(shutdown_s=0.1)))

            def status(page):
                try:
                    return httpx.get(f"http://{health}/{page}").status_code
                except httpx.TransportError:
                    return 0

            wait_until(lambda: status("healthz") == 200, 10.0, "health")
            wait_until(lambda: status("readyz") == 200, 10.0, "readiness")
            metric = receiver.recv(1000)
            assert metric == b"cicadabank.agent.beats:1|c"
            local.parts["entry-1"].http.drain()
            assert httpx.get(f"http://{local.http_address}/healthz").status_code == 200
            assert httpx.get(f"http://{local.http_address}/readyz").status_code == 503
            rejected = httpx.get(f"http://{local.http_address}/v1/status")
            assert rejected.json()["error"]["code"] == "stopping"


class TestLogs:
    def test_are_json_lines_with_the_bound_fields(self):
        stream = io.StringIO()
        try:
            writer = configure_logs("entry-1", "INFO", stream)
            logger.bind(job="job-1", epoch=3).info("placed {}", "a gang")
            try:
                raise ValueError("bad")
            except ValueError:
                logger.exception("it failed")
            assert writer.flush(2.0)
        finally:
            logger.remove()
            logger.add(sys.stderr)
        placed_line, failed_line = [
            json.loads(line) for line in stream.getvalue().splitlines()
        ]
        assert (placed_line["process"], placed_line["message"]) == (
            "entry-1",
            "placed a gang",
        )
        assert (placed_line["job"], placed_line["epoch"]) == ("job-1", 3)
        assert "ValueError" in failed_line["error"]
