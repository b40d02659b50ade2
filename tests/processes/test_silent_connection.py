"""Requests over connections that stay open but no longer transfer data."""

from __future__ import annotations

import threading
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import pytest
from cicadabank.agent import agent_running
from cicadabank.decisions import ConfigView
from cicadabank.entry.errors import OutcomeUnknownError
from cicadabank.entry.internal.config import ConfigSnapshot
from cicadabank.entry.internal.minions import MinionActor
from cicadabank.entry.internal.requests import (
    AdmissionActor,
    RequestBody,
    RequestService,
)
from cicadabank.entry.internal.tally import TallyActor
from cicadabank.local import Ports
from cicadabank.model import Workspace
from cicadabank.settings import AgentSettings, EntrySettings, StandInSettings
from cicadabank.standin import proxy_running, serve_store, stand_in_running
from cicadabank.store import TableClient
from cicadabank.tasks import Metrics, running
from cicadabank.wire import ChannelPool, control_pb2

WORKSPACE = Workspace("glaze", 8)


@contextmanager
def heartbeats_sent(minions, heartbeat):
    """Post a minion's heartbeat to the actor every 0.5 s, not through the proxy."""
    stopping = threading.Event()

    def run():
        while not stopping.wait(0.5):
            minions.post(
                minions.on_heartbeat, heartbeat, ConfigSnapshot(ConfigView(), 0.0)
            )

    thread = threading.Thread(target=run)
    thread.start()
    yield
    stopping.set()
    thread.join()


@pytest.fixture
def parts():
    ports = Ports()
    store, listen, agent_listen = (ports.address() for _ in range(3))
    settings = StandInSettings("stand-in", "minion", "minion-1", listen)
    agent_settings = AgentSettings(
        kind="agent",
        name="minion-1",
        target="minion",
        target_address=listen,
        listen=agent_listen,
        cell="lakes",
        domain="erie",
        rack="rack-1",
        entries=(ports.address(),),  # unused: the test sends the heartbeats
        slots=8,
    )
    entry = EntrySettings("entry", "entry-1", "erie", "", "", store, store, ("lakes",))
    with ExitStack() as stack:
        minion = stack.enter_context(stand_in_running(settings))
        stack.enter_context(serve_store(store))
        agent = stack.enter_context(agent_running(agent_settings))
        proxy = stack.enter_context(proxy_running(agent_listen))
        minions = stack.enter_context(running(MinionActor(1.5, 0, Metrics("", ""))))
        admission = stack.enter_context(running(AdmissionActor(0.1)))
        heartbeat = control_pb2.Beat(
            target="minion-1",
            incarnation=agent.incarnation,
            info=control_pb2.TargetInfo(
                name="minion-1", address=proxy.address, slots=8
            ),
        )
        minions.ask(minions.on_heartbeat, heartbeat, ConfigSnapshot(ConfigView(), 0.0))
        stack.enter_context(heartbeats_sent(minions, heartbeat))
        table = TableClient(store)
        pool = ChannelPool()
        tally = stack.enter_context(running(TallyActor(table, "entry-1")))
        parts = (entry, table, None, pool, minions, admission, tally)
        service = RequestService(*parts)
        yield SimpleNamespace(service=service, proxy=proxy, minion=minion)
        pool.close()
        table.close()


class TestUnresponsiveConnection:
    def test_idempotent_request_is_retried_on_a_new_connection(self, parts):
        parts.service.run(RequestBody("glaze", "one"), WORKSPACE, "")
        parts.proxy.silence()
        body = RequestBody("glaze", "two", deadline_s=4.0)
        assert parts.service.run(body, WORKSPACE, "").answer == "two"

    def test_request_that_is_not_idempotent_is_not_retried(self, parts):
        parts.service.run(RequestBody("glaze", "one"), WORKSPACE, "")
        parts.proxy.silence()
        body = RequestBody("glaze", "two", idempotent=False, deadline_s=2.0)
        with pytest.raises(OutcomeUnknownError):
            parts.service.run(body, WORKSPACE, "key-1")
        assert parts.minion.runs["glaze.key-1"] == 0
        next_body = RequestBody("glaze", "three", deadline_s=2.0)
        assert parts.service.run(next_body, WORKSPACE, "").answer == "three"
