"""The calls that an agent makes to its target."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack

import pytest
from cicadabank.control.internal.agent import (
    TARGET_CALL_THREADS,
    AgentActor,
    AgentParts,
)
from cicadabank.control.internal.target_messages import (
    Listing,
    StartOutcome,
    TargetHeartbeat,
)
from cicadabank.scheduling import Resources
from cicadabank.standin import MemoryTable
from cicadabank.tasks import clock_s, running
from cicadabank.wire import ChannelPool, fleet_pb2

RUNS = TARGET_CALL_THREADS + 1  # one has to wait for a thread
HEARTBEAT = TargetHeartbeat(
    "t", 1, 1, "cell", "d", "a:1", Resources(1, 1, 100), ("a", "r"), "r", False, 0.0
)


class SlowCalls:
    """Calls to a target that replies to no start before it is released.

    Attributes
    ----------
    timeout_s : float
        After this time, a start counts as unanswered.
    """

    def __init__(self) -> None:
        self.started: list[int] = []
        self.released = threading.Event()
        self.timeout_s = 10.0

    def start(self, run, *arguments) -> StartOutcome:
        self.started.append(run.index)
        return StartOutcome(self.released.wait(self.timeout_s))

    def hold(self, *arguments) -> Listing:
        return Listing(HEARTBEAT.started_ms, 50.0, (), ())


@pytest.fixture
def agent():
    """Run the actor of an agent that has a lease."""
    calls = SlowCalls()
    parts = AgentParts("a", "cell", None, "a:2", "a:2", MemoryTable(), {}, calls, None)
    pool = ChannelPool()
    actor = AgentActor(parts, pool)
    with ExitStack() as stack:
        stack.callback(pool.close)
        stack.enter_context(running(actor))
        actor.ask(actor.on_heartbeat, HEARTBEAT)
        stack.callback(calls.released.set)
        actor.ask(take_lease, actor)
        yield actor


def take_lease(agent) -> None:
    controller = agent.controller
    now_s = clock_s()
    agent.on_orders(fleet_pb2.OrderBatch(cell="cell", epoch=1, holder="h:1"))
    listed = Listing(HEARTBEAT.started_ms, 50.0, (), ())
    controller.on_listing(listed, now_s, now_s, controller.fence)
    reply = fleet_pb2.ReportReply(accepted=True, epoch=1, holder="h:1", lease_s=8.0)
    controller.on_reply(reply, now_s, controller.incarnation)


def order_starts(agent, count) -> None:
    starts = [
        fleet_pb2.StartRun(id=fleet_pb2.RunId(job="j", index=index), accelerators=1)
        for index in range(count)
    ]
    orders = fleet_pb2.OrderBatch(
        cell="cell",
        epoch=1,
        holder="h:1",
        incarnation=agent.controller.incarnation,
        starts=starts,
    )
    assert agent.on_orders(orders).accepted


class TestDelayedStarts:
    # Guards against a target over its capacity, which may shrink while a call waits for
    # one of the threads that make them.
    @pytest.mark.parametrize("accelerators", [RUNS - 1, RUNS])
    def test_a_start_that_waited_for_a_thread_is_checked_again(
        self, agent, accelerators
    ):
        agent.ask(order_starts, agent, RUNS)
        time.sleep(1.0)
        capacity = Resources(1, 1, accelerators)
        later = HEARTBEAT._replace(sequence=2, capacity=capacity)
        agent.ask(agent.on_heartbeat, later)
        agent.parts.calls.released.set()
        started, refused = self.wait_for_outcomes(agent)
        assert started == list(range(accelerators))
        assert refused == ["room"] * (RUNS - accelerators)

    # Guards against runs that never get a call since others are repeated.
    def test_each_run_gets_a_call_while_none_is_answered(self, agent):
        calls = agent.parts.calls
        calls.timeout_s = 0.6
        agent.ask(order_starts, agent, 4 * TARGET_CALL_THREADS)
        time.sleep(4.0)
        assert set(calls.started) == set(range(4 * TARGET_CALL_THREADS))

    def wait_for_outcomes(self, agent) -> tuple[list[int], list[str]]:
        """Return the indices of the runs that were started, and reasons of refusals."""
        for _ in range(30):
            time.sleep(0.1)
            refused = agent.ask(agent.controller.report, clock_s()).refused
            started = sorted(agent.parts.calls.started)
            if len(started) + len(refused) == RUNS:
                break
        return started, [run.reason for run in refused]
