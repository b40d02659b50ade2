"""A gang begins on all its workers or on none, whatever is lost between them."""

from __future__ import annotations

import pytest
from cicadabank.decisions import SendBegin, SendStart
from cicadabank.model import JobState

from tests.support.cells import make_world, spec

LOST_START_BOUND_S = 0.0
LOST_BEGIN_BOUND_S = 5.0
LOST_HOLDER_BOUND_S = 15.0


def submit(world, **fields):
    return world.submit(spec(**fields), run_s=20.0)


class Fault:
    """Cuts or freezes the worker of the first order of a kind, once."""

    def __init__(self, world, kind, name):
        self.world, self.kind, self.name = world, kind, name
        self.worker = ""

    def __call__(self, order):
        if isinstance(order, self.kind) and not self.worker:
            self.worker = order.worker
            setattr(self.world.agents[order.worker], self.name, True)


class TestLostStart:
    @pytest.mark.parametrize("when", ["before_order", "after_order"])
    @pytest.mark.parametrize("fault", ["cut", "frozen"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_no_member_begins(self, when, fault, seed):
        world = make_world(seed)
        fault = Fault(world, SendStart, fault)
        setattr(world, when, fault)
        job = submit(world, idempotent=False)
        world.advance(12.0)
        assert fault.worker
        assert world.partly_s.total() == LOST_START_BOUND_S
        assert world.run_jobs[job] == 0


class TestLostBegin:
    @pytest.mark.parametrize("when", ["before_order", "after_order"])
    @pytest.mark.parametrize("fault", ["cut", "frozen"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_the_others_are_stopped_within_seconds(self, when, fault, seed):
        world = make_world(seed)
        fault = Fault(world, SendBegin, fault)
        setattr(world, when, fault)
        job = submit(world, idempotent=False)
        world.advance(40.0)
        assert fault.worker
        assert world.partly_s.total() <= LOST_BEGIN_BOUND_S
        assert world.run_jobs[job] == 1
        assert world.row(job).state is JobState.UNKNOWN

    @pytest.mark.parametrize("order", [SendStart, SendBegin])
    def test_holder_that_dies_there_leaves_no_part_running(self, order):
        world = make_world()
        killed = []

        def kill(carried_out):
            if isinstance(carried_out, order) and not killed:
                killed.append(world.holder)
                world.holder.alive = False
                world.after(6.0, lambda: world.replace_holder())

        world.after_order = kill
        job = submit(world, idempotent=False)
        world.advance(40.0)
        assert killed
        assert world.partly_s.total() <= LOST_HOLDER_BOUND_S
        assert world.row(job).terminal
        assert world.run_jobs[job] <= 1


class TestHeldGang:
    def test_begins_at_once_when_all_are_held(self):
        world = make_world()
        job = submit(world)
        world.advance(1.0)
        assert world.row(job).state is JobState.RUNNING
        assert world.run_jobs[job] == 1

    def test_drain_before_it_begins_keeps_it_from_running(self):
        world = make_world()

        def drain(order):
            if isinstance(order, SendBegin):
                for domain in ("erie", "huron"):
                    world.set_domain(domain, True)
                    for agent in world.agents.values():
                        agent.core.push_out(world.now_s)

        world.before_order = drain
        job = submit(world, idempotent=False)
        world.advance(10.0)
        assert world.run_jobs[job] == 0
        assert world.row(job).state is JobState.QUEUED
        assert world.row(job).ran == "no"
