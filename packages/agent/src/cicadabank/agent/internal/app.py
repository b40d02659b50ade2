"""Start and stop of the agent process."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from cicadabank.agent.internal.actor import AgentActor
from cicadabank.agent.internal.answers import AnswerUploader
from cicadabank.agent.internal.health import health_server
from cicadabank.agent.internal.service import AgentService
from cicadabank.settings import AgentSettings
from cicadabank.store import ObjectClient
from cicadabank.tasks import StopSignal, clock_s, configure_logs, running
from cicadabank.wire import ChannelPool, control_pb2_grpc, serve
from loguru import logger

SERVER_THREADS = 72
# Time for a heartbeat to tell the entries that the target is leaving.
MIN_LEAVE_WAIT_S = 1.5


@contextmanager
def agent_running(settings: AgentSettings) -> Iterator[AgentActor]:
    """Run an agent in this process until the block ends; then let requests finish."""
    pool = ChannelPool()
    objects = ObjectClient(settings.objects) if settings.objects else None
    uploader = AnswerUploader(objects, settings.name) if objects else None
    actor = AgentActor(settings, pool, uploader)
    if settings.health_listen:
        health_server(settings.health_listen, lambda: actor.ready).register(actor)
    service = (control_pb2_grpc.add_AgentServicer_to_server, AgentService(actor))
    with running(actor), serve(settings.listen, [service], SERVER_THREADS):
        yield actor
        _leave(actor, settings.shutdown_s)
    pool.close()
    if uploader is not None:
        uploader.close()


def _leave(actor: AgentActor, shutdown_s: float) -> None:
    """Announce that the target is leaving, and wait until pending work has ended.

    Requests in flight are answered. Members continue to run, are reported and have
    their leases renewed. Members that run longer than `shutdown_s` continue under
    their lease; the next agent process adopts them.
    """
    actor.post(actor.leave)
    started_s = clock_s()
    while clock_s() - started_s < shutdown_s:
        waited_s = clock_s() - started_s
        if waited_s >= MIN_LEAVE_WAIT_S and not actor.busy:
            return
        time.sleep(0.05)
    logger.warning(
        "shutdown timeout reached with {} requests in flight and {} unfinished members",
        actor.forwarder.in_flight,
        len(actor.core.members),
    )


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until the process is asked to stop."""
    configure_logs(settings.name, settings.log_level)
    with StopSignal().on_signals() as stop, agent_running(settings):
        logger.info("agent started for target {}", settings.target_address)
        stop.wait()
    logger.info("agent stopped")
