"""Targets whose capacity shrinks and grows while they run."""

from __future__ import annotations

import pytest
from cicadabank.control.internal.conversion import start_to_message
from cicadabank.scheduling import QueueConfig, Resources, RunningRun, StepSpec
from cicadabank.scheduling.internal.units import Phase

from tests.support.in_memory_cell import TARGET_CAPACITY, ModelCell, ModelTarget

BATCH = QueueConfig("batch", "cell", 2, 4, 3.0, 3.0)


def tasks(count: int, accelerators: int, estimate_s: float = 4.0, **more) -> StepSpec:
    need = Resources(1000, 1000, accelerators)
    return StepSpec(count, need, estimate_s, **more)


def capacity(accelerators: int) -> Resources:
    return TARGET_CAPACITY._replace(accelerators=accelerators)


@pytest.fixture
def cell() -> ModelCell:
    """A cell of a single target with eight accelerators."""
    model = ModelCell([ModelTarget("t", "d", "r")], [BATCH])
    model.run(1.0)
    return model


@pytest.fixture
def target(cell) -> ModelTarget:
    return cell.targets["agent-t"]


def report(cell, target, **changes) -> None:
    cell.scheduler.on_report(target.report()._replace(**changes), cell.now_s, True)


# Guards against a target over its capacity: an agent that has restarted knows neither
# the runs on its target nor what they need.
class TestStartOrders:
    def order_start(self, cell):
        """Place a task of one accelerator and return the order to start it."""
        cell.submit("k", "batch", [tasks(1, 1)])
        cell.scheduler.tick(cell.now_s)
        commit = cell.scheduler.take_commit()
        cell.scheduler.on_committed(commit, cell.version + 1, cell.now_s)
        ((start,),) = [orders.starts for orders in cell.scheduler.take_orders()]
        return start

    def test_they_tell_what_is_allocated_on_the_target(self, cell):
        cell.submit("j", "batch", [tasks(1, 4)])
        cell.run(0.2)
        message = start_to_message(self.order_start(cell))
        assert (
            message.allocated_cpu_millicores,
            message.allocated_memory_mb,
            message.allocated_accelerators,
        ) == (2000, 2000, 5)

    def test_what_is_being_stopped_counts(self, cell, target):
        cell.submit("j", "batch", [tasks(1, 4)])
        cell.run(0.2)
        cell.cancel("j")
        assert self.order_start(cell).allocated == (2000, 2000, 5)

    def test_an_unexpected_run_counts(self, cell, target):
        cell.submit("j", "batch", [tasks(1, 4)])
        cell.run(0.2)
        (run,) = target.active_runs
        cell.run_until(lambda: cell.state("j") == "completed")
        report(cell, target, running=(RunningRun(run, "", 10),))
        cell.scheduler.take_orders()
        assert self.order_start(cell).allocated == (2000, 2000, 5)

    # Guards against starts that are refused for the sake of a later one, which claims
    # the room of runs that are still being stopped.
    def test_a_claim_that_waits_for_room_does_not_count(self, cell):
        cell.submit("k", "batch", [tasks(1, 1)])
        cell.scheduler.tick(cell.now_s)
        commit = cell.scheduler.take_commit()
        cell.submit("j", "batch", [tasks(1, 8)])
        (unit,) = cell.scheduler.state.jobs["j"].units
        (incarnation,) = cell.scheduler.state.targets_by_incarnation
        cell.scheduler.state.assign_members(unit, [incarnation])
        unit.phase = Phase.CLAIMING
        cell.scheduler.on_committed(commit, 1, cell.now_s)
        ((start,),) = [orders.starts for orders in cell.scheduler.take_orders()]
        assert start.allocated == (1000, 1000, 1)
