"""The agent's process."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from cicadabank.agent.internal.answers import AnswerKeeper
from cicadabank.agent.internal.health import health_server
from cicadabank.agent.internal.service import AgentService
from cicadabank.agent.internal.task import AgentTask
from cicadabank.settings import AgentSettings
from cicadabank.store import ObjectClient
from cicadabank.tasks import StopSignal, clock_s, configure_logs, running
from cicadabank.wire import ChannelPool, control_pb2_grpc, serve
from loguru import logger

SERVER_THREADS = 72
LEAVE_NOTICE_S = 1.5


@contextmanager
def agent_running(settings: AgentSettings) -> Iterator[AgentTask]:
    """Run an agent in this process until the block ends; then let requests finish."""
    pool = ChannelPool()
    objects = ObjectClient(settings.objects) if settings.objects else None
    keeper = AnswerKeeper(objects, settings.name) if objects else None
    task = AgentTask(settings, pool, keeper)
    if settings.health_listen:
        health_server(settings.health_listen, lambda: task.ready).register(task)
    service = (control_pb2_grpc.add_AgentServicer_to_server, AgentService(task))
    with running(task), serve(settings.listen, [service], SERVER_THREADS):
        yield task
        _leave(task, settings.shutdown_s)
    pool.close()
    if keeper is not None:
        keeper.close()


def _leave(task: AgentTask, shutdown_s: float) -> None:
    """Announce the leave, and stay until what is under way has ended.

    Requests in flight are answered. Members run on and are reported, and their leases
    renewed; longer ones outlive this process under their lease, which the next agent
    takes over.
    """
    task.post(task.leave)
    started_s = clock_s()
    while clock_s() - started_s < shutdown_s:
        waited_s = clock_s() - started_s
        if waited_s >= LEAVE_NOTICE_S and not task.busy:
            return
        time.sleep(0.05)
    logger.warning(
        "{} requests and {} members were still under way at the end",
        task.gate.in_flight,
        len(task.core.members),
    )


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until the process is asked to stop."""
    configure_logs(settings.name, settings.log_level)
    with StopSignal().on_signals() as stop, agent_running(settings):
        logger.info("the agent beside {} runs", settings.target_address)
        stop.wait()
    logger.info("the agent has stopped")
