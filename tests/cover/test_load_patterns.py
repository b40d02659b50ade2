"""Patterns of load, played on modelled targets without a network."""

from __future__ import annotations

import pytest
from cicadabank.scheduling import Need, QueueView, StepSpec
from cicadabank.scheduling.internal.planner import waste_cost_per_core_s

from tests.support.modelled import ModelCell, ModelTarget

URGENT = QueueView("urgent", "cell", 0, 3, 1.5, 0.25)
BATCH = QueueView("batch", "cell", 2, 4, 3.0, 3.0)
TIGHT = QueueView("tight", "cell", 2, 4, 1.0, 0.5)  # no time to wait


@pytest.fixture
def cell() -> ModelCell:
    targets = [ModelTarget(f"t{n}", "d", f"r{n // 3}") for n in range(6)]
    made = ModelCell(targets, [URGENT, BATCH, TIGHT])
    made.run(1.0)
    return made


class TestSmallTasksFillEveryTarget:
    """A wide batch of one-accelerator tasks holds all targets; large urgent ones come.

    Without a guarantee they used to wait until a whole target happened to be empty.
    """

    def test_a_large_urgent_task_is_on_time(self, cell):
        step = StepSpec(55, Need(2800, 8200, 1), 12.0)
        cell.submit("wide", "batch", [step])
        cell.run(2.0)
        cell.submit("large", "urgent", [StepSpec(1, Need(3700, 11_000, 8), 4.0)])
        took_s = cell.run_until(lambda: cell.state("large") == "completed")
        assert took_s <= 1.5 * 4.0 + 0.25
        cell.check()

    def test_work_is_not_thrown_away_for_less_than_it_cost(self, cell):
        step = StepSpec(6, Need(13_000, 68_000, 8), 60.0)
        cell.submit("long", "batch", [step])
        cell.run(50.0)
        cell.submit("large", "urgent", [StepSpec(1, Need(3700, 11_000, 8), 4.0)])
        cell.run(2.0)
        assert not any(ran.how == "stopped" for ran in cell.history)


class TestPatientWorkComesBeforeABurst:
    """Work that can wait arrives on an idle cell, and urgent gangs soon after it.

    It used to take all that was free, and was stopped for them seconds later.
    """

    GANG = StepSpec(2, Need(3700, 11_000, 8), 4.0, gang=True, same_rack=True)

    def warm(self, cell):
        """Let the cell see how large urgent jobs are."""
        for number in range(8):
            cell.submit(f"seen{number}", "urgent", [self.GANG])
            cell.run(6.0)

    def test_urgent_gangs_start_and_nothing_is_stopped(self, cell):
        self.warm(cell)
        cell.submit("wide", "batch", [StepSpec(48, Need(2800, 8200, 1), 12.0)])
        cell.run(2.0)
        cell.submit("burst", "urgent", [self.GANG])
        took_s = cell.run_until(lambda: cell.state("burst") == "completed")
        assert took_s <= 1.5 * 4.0 + 0.25
        assert not any(ran.how == "stopped" for ran in cell.history)
        cell.run_until(lambda: cell.state("wide") == "completed")
        cell.check()

    def test_work_without_slack_takes_all_that_is_free(self, cell):
        self.warm(cell)
        cell.submit("wide", "tight", [StepSpec(48, Need(2800, 8200, 1), 12.0)])
        cell.run(1.0)
        assert all(t.free.accelerators == 0 for t in usable_targets(cell))

    def test_cell_without_urgent_work_keeps_nothing_free(self, cell):
        cell.submit("wide", "batch", [StepSpec(48, Need(2800, 8200, 1), 12.0)])
        cell.run(1.0)
        assert all(t.free.accelerators == 0 for t in usable_targets(cell))

    def test_gang_as_large_as_the_cell_starts_when_all_is_free(self, cell):
        self.warm(cell)
        cell.submit("all", "batch", [StepSpec(6, Need(1000, 1000, 8), 30.0, gang=True)])
        assert cell.run_until(lambda: cell.state("all") == "running") < 1.0


def usable_targets(cell):
    """Return the targets as the cell's scheduler knows them."""
    return list(cell.scheduler.state.targets.values())


class TestSmallTasksKeepComing:
    """Small tasks arrive all the time; a gang needs three whole targets of a rack."""

    def test_a_gang_starts_within_a_few_task_times(self, cell):
        gang = StepSpec(3, Need(1000, 1000, 8), 4.0, gang=True, same_rack=True)
        small = StepSpec(6, Need(1000, 1000, 1), 3.0)
        number = 0
        for _ in range(8):
            cell.submit(f"s{number}", "batch", [small])
            number += 1
            cell.run(0.5)
        cell.submit("gang", "batch", [gang])
        while cell.state("gang") == "pending":
            assert number < 60, "the gang starved"
            cell.submit(f"s{number}", "batch", [small])
            number += 1
            cell.run(0.5)
        cell.check()


class TestDeclaredTimesAreOff:
    """Declared times are off by a factor; the queue's ends correct them."""

    def test_forecasts_come_near_what_was_seen(self, cell):
        cell.duration_s = lambda run, spec: 4.0
        for number in range(12):
            declared_s = 0.4 if number % 2 else 40.0
            step = StepSpec(1, Need(1000, 1000, 1), declared_s)
            cell.submit(f"j{number}", "urgent", [step])
            cell.run(5.0)
        forecast = cell.scheduler.state.forecast
        assert 2.0 < forecast.expected_s("urgent", 0.4) < 8.0
        assert 2.0 < forecast.expected_s("urgent", 40.0) < 8.0


class TestJobsAreLarge:
    """Jobs are worth as much as elsewhere, and ten times as large.

    What is thrown away was priced by the core-second, so that nothing was ever stopped.
    """

    def price(self, cell, size, count):
        for number in range(count):
            step = StepSpec(size, Need(3700, 11_000, 1), 10.0)
            cell.submit(f"j{number}", "urgent", [step])
        return waste_cost_per_core_s(cell.scheduler.state)

    def test_wasted_work_is_priced_by_what_work_is_worth(self, cell):
        small = self.price(cell, 13, 100)
        large = self.price(ModelCell([], [URGENT, BATCH]), 130, 100)
        assert 6.0 < small / large < 10.0

    def test_few_jobs_say_little(self, cell):
        before = waste_cost_per_core_s(cell.scheduler.state)
        assert self.price(cell, 13, 2) == pytest.approx(before, rel=0.25)
