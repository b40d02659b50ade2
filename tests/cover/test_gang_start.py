"""A gang begins on all of its workers or on none, if workers or the holder fail."""

from __future__ import annotations

import pytest
from cicadabank.decisions import OrderResult, SendBegin, SendStart
from cicadabank.model import JobState

from tests.support.cells import make_world, spec

LOST_START_MAX_PARTIAL_RUN_S = 0.0
LOST_BEGIN_MAX_PARTIAL_RUN_S = 5.0
LOST_HOLDER_MAX_PARTIAL_RUN_S = 15.0


def submit(world, **fields):
    return world.submit(spec(**fields), run_s=20.0)


class WorkerFault:
    """Disconnects or freezes the worker that gets the first order of a type."""

    def __init__(self, world, order_type, fault):
        self.world, self.order_type, self.fault = world, order_type, fault
        self.worker = ""

    def __call__(self, order):
        if isinstance(order, self.order_type) and not self.worker:
            self.worker = order.worker
            setattr(self.world.agents[order.worker], self.fault, True)


class TestLostStart:
    @pytest.mark.parametrize("when", ["before_order", "after_order"])
    @pytest.mark.parametrize("fault", ["disconnected", "frozen"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_no_member_begins(self, when, fault, seed):
        world = make_world(seed)
        fault = WorkerFault(world, SendStart, fault)
        setattr(world, when, fault)
        job = submit(world, idempotent=False)
        world.advance(12.0)
        assert fault.worker
        assert world.partial_run_s.total() == LOST_START_MAX_PARTIAL_RUN_S
        assert world.runs_by_job[job] == 0


class TestLostBegin:
    @pytest.mark.parametrize("when", ["before_order", "after_order"])
    @pytest.mark.parametrize("fault", ["disconnected", "frozen"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_other_members_are_stopped_in_time(self, when, fault, seed):
        world = make_world(seed)
        fault = WorkerFault(world, SendBegin, fault)
        setattr(world, when, fault)
        job = submit(world, idempotent=False)
        world.advance(40.0)
        assert fault.worker
        assert world.partial_run_s.total() <= LOST_BEGIN_MAX_PARTIAL_RUN_S
        assert world.runs_by_job[job] == 1
        assert world.row(job).state is JobState.UNKNOWN

    @pytest.mark.parametrize("order_type", [SendStart, SendBegin])
    def test_holder_failure_leaves_no_partial_gang(self, order_type):
        world = make_world()
        killed = []

        def kill_holder(order):
            if isinstance(order, order_type) and not killed:
                killed.append(world.holder)
                world.holder.alive = False
                world.after(6.0, lambda: world.replace_holder())

        world.after_order = kill_holder
        job = submit(world, idempotent=False)
        world.advance(40.0)
        assert killed
        assert world.partial_run_s.total() <= LOST_HOLDER_MAX_PARTIAL_RUN_S
        assert world.row(job).terminal
        assert world.runs_by_job[job] <= 1


class AgentRestart:
    """Restarts the agent that has carried out the first order of a type.

    The connection is reset, so the holder learns at once that there is no reply, and
    long before the agent's first heartbeat.
    """

    def __init__(self, world, order_type):
        self.world, self.order_type = world, order_type
        self.worker = ""

    def __call__(self, order):
        if not isinstance(order, self.order_type) or self.worker:
            return
        self.worker = order.worker
        agent = self.world.agents[order.worker]
        agent.disconnected = True
        agent.restart()
        self.world.holder.core.on_order_reply(
            order, OrderResult(answered=False), self.world.now_s
        )
        self.world.after(1.0, lambda: setattr(agent, "disconnected", False))


class TestAgentRestart:
    @pytest.mark.parametrize(
        "order_type, tasks", [(SendStart, 4), (SendStart, 8), (SendBegin, 8)]
    )
    def test_gang_continues_on_the_report_of_the_restarted_agent(
        self, order_type, tasks
    ):
        world = make_world()
        restart = AgentRestart(world, order_type)
        world.after_order = restart
        job = submit(world, tasks=tasks, idempotent=False)
        world.advance(30.0)
        assert restart.worker
        assert world.row(job).state is JobState.DONE
        assert (world.row(job).attempts, world.runs_by_job[job]) == (1, 1)


class TestGangBegin:
    def test_gang_begins_once_all_members_are_held(self):
        world = make_world()
        job = submit(world)
        world.advance(1.0)
        assert world.row(job).state is JobState.RUNNING
        assert world.runs_by_job[job] == 1

    def test_drain_before_begin_prevents_the_run(self):
        world = make_world()

        def drain(order):
            if isinstance(order, SendBegin):
                for domain in ("erie", "huron"):
                    world.set_domain(domain, True)
                    for agent in world.agents.values():
                        agent.core.mark_domain_out(world.now_s)

        world.before_order = drain
        job = submit(world, idempotent=False)
        world.advance(10.0)
        assert world.runs_by_job[job] == 0
        assert world.row(job).state is JobState.QUEUED
        assert world.row(job).ran == "no"
