"""An agent's reports to the holder of its cell."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack

import pytest
from cicadabank.control.internal.agent import AgentActor, AgentParts
from cicadabank.control.internal.feed import repeating_thread
from cicadabank.control.internal.target_messages import Listing, TargetHeartbeat
from cicadabank.scheduling import Resources
from cicadabank.standin import MemoryTable
from cicadabank.tasks import clock_s, running
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc, serve

from tests.support.addresses import unused_address

HEARTBEAT = TargetHeartbeat(
    "t", 1, 1, "cell", "d", "a:1", Resources(1, 1, 1), ("a", "r"), "r", False, 0.0
)


class ListeningHolder:
    """A holder that only records that an agent has reported, and any refusal."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reported = threading.Event()
        self.refused = threading.Event()

    def Report(self, request, context):  # noqa: N802 (named by the protocol)
        self.reported.set()
        if request.refused:
            self.refused.set()
        return fleet_pb2.ReportReply(
            accepted=True, epoch=request.epoch, holder=self.address
        )


@pytest.fixture
def agent():
    """Run an agent's actor and the thread that sends its reports."""
    table = MemoryTable()
    parts = AgentParts("a", "cell", None, "a:2", "a:2", table, {}, None, None)
    pool = ChannelPool()
    actor = AgentActor(parts, pool)
    with ExitStack() as stack:
        stack.callback(pool.close)
        stack.enter_context(running(actor))
        stack.enter_context(repeating_thread("reports", actor.report_step))
        actor.ask(actor.on_heartbeat, HEARTBEAT)
        yield actor


class TestRestartedHolder:
    # Guards against reports that fail for seconds after the holder's restart, since the
    # agent's connection to its address is in backoff.
    @pytest.mark.parametrize("silent_s", [0.5, 1.3, 2.9])
    def test_it_gets_a_report_as_soon_as_it_asks_for_one(self, agent, silent_s):
        address = unused_address()
        order = fleet_pb2.OrderBatch(cell="cell", epoch=1, holder=address)
        agent.ask(agent.on_orders, order)
        time.sleep(silent_s)
        holder = ListeningHolder(address)
        service = (fleet_pb2_grpc.add_HolderServicer_to_server, holder)
        with serve(address, [service], 2):
            order.epoch = 2
            agent.ask(agent.on_orders, order)
            assert holder.reported.wait(0.5)


class SilentHolder(ListeningHolder):
    """A holder that doesn't reply to reports until the test ends."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.ended = threading.Event()
        self.reports = 0

    def Report(self, request, context):  # noqa: N802 (named by the protocol)
        self.reports += 1
        self.reported.set()
        self.ended.wait(5.0)
        return fleet_pb2.ReportReply()


class TestNewHolder:
    # Guards against takeovers in which each agent first waits for the reply of a holder
    # that has lost power.
    def test_it_gets_a_report_though_the_one_before_does_not_reply(self, agent):
        with ExitStack() as stack:
            holders = [
                SilentHolder(unused_address()),
                ListeningHolder(unused_address()),
            ]
            stack.callback(holders[0].ended.set)
            for holder in holders:
                service = (fleet_pb2_grpc.add_HolderServicer_to_server, holder)
                stack.enter_context(serve(holder.address, [service], 2))
            for epoch, holder in enumerate(holders, 1):
                order = fleet_pb2.OrderBatch(
                    cell="cell", epoch=epoch, holder=holder.address
                )
                agent.ask(agent.on_orders, order)
                assert holder.reported.wait(0.4)
                time.sleep(0.1)

    # Guards against reports that cancel each other: the end of the first cancelled one
    # interrupted the next, and so on.
    def test_a_cancelled_report_does_not_interrupt_the_next(self, agent):
        with ExitStack() as stack:
            holders = [SilentHolder(unused_address()) for _ in range(2)]
            for epoch, holder in enumerate(holders, 1):
                stack.callback(holder.ended.set)
                service = (fleet_pb2_grpc.add_HolderServicer_to_server, holder)
                stack.enter_context(serve(holder.address, [service], 20))
                order = fleet_pb2.OrderBatch(
                    cell="cell", epoch=epoch, holder=holder.address
                )
                agent.ask(agent.on_orders, order)
                assert holder.reported.wait(0.4)
            time.sleep(0.7)
            assert holders[1].reports == 1


class TestRefusals:
    # Guards against a task that waits for the next regular report of its refusal.
    def test_a_start_refused_right_before_its_call_is_reported_at_once(self, agent):
        address = unused_address()
        holder = ListeningHolder(address)
        service = (fleet_pb2_grpc.add_HolderServicer_to_server, holder)
        with serve(address, [service], 2):
            agent.ask(self.accept_start, agent, address)
            assert holder.reported.wait(2.0)
            agent.ask(self.shrink, agent)
            agent.ask(agent.on_tick)
            assert holder.refused.wait(0.5)

    def accept_start(self, agent, address):
        controller = agent.controller
        announcement = fleet_pb2.OrderBatch(cell="cell", epoch=1, holder=address)
        agent.on_orders(announcement)
        order = fleet_pb2.OrderBatch(
            cell="cell",
            epoch=1,
            holder=address,
            incarnation=controller.incarnation,
            starts=[fleet_pb2.StartRun(id=fleet_pb2.RunId(job="j"), accelerators=1)],
        )
        assert agent.on_orders(order).accepted

    def shrink(self, agent):
        controller = agent.controller
        now_s = clock_s()
        listed = Listing(HEARTBEAT.started_ms, 50.0, (), (), True)
        controller.on_listing(listed, now_s, now_s, controller.fence)
        smaller = HEARTBEAT._replace(sequence=2, capacity=Resources(0, 0, 0))
        controller.on_heartbeat(smaller, now_s)
        reply = fleet_pb2.ReportReply(
            accepted=True, epoch=1, holder=controller.holder, lease_s=8.0
        )
        controller.on_reply(reply, now_s, controller.incarnation)
