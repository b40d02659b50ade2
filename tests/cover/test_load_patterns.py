"""Patterns of load, played on modelled targets without a network."""

from __future__ import annotations

import pytest
from cicadabank.scheduling import Need, QueueView, StepSpec

from tests.support.modelled import ModelCell, ModelTarget

URGENT = QueueView("urgent", "cell", 0, 3, 1.5, 0.25)
BATCH = QueueView("batch", "cell", 2, 4, 3.0, 3.0)


@pytest.fixture
def cell() -> ModelCell:
    targets = [ModelTarget(f"t{n}", "d", f"r{n // 3}") for n in range(6)]
    made = ModelCell(targets, [URGENT, BATCH])
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
