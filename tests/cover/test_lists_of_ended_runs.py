"""Targets with more ended runs than they list at a time, on simulated time."""

from __future__ import annotations

import pytest

from tests.support.simulated_fleet import SimulatedFleet

TASKS = 16
WORK_S = 2.0


@pytest.fixture
def fleet(monkeypatch) -> SimulatedFleet:
    fleet = SimulatedFleet(("t1", "t2"), WORK_S, monkeypatch)
    fleet.max_listed_ended = 3
    fleet.run(1.5)
    return fleet


def start_all(fleet) -> list[str]:
    """Submit jobs that fill all targets; return once all of them run."""
    jobs = [f"j{number}" for number in range(TASKS)]
    for job in jobs:
        fleet.submit(job)
    fleet.run_until(lambda: len(fleet.events) == TASKS)
    return jobs


def cut_off_agents(fleet, duration_s: float) -> None:
    for agent in fleet.agents.values():
        agent.is_cut_off = True
    fleet.run(duration_s)


def reconnect_agents(fleet, restarts: bool) -> None:
    for agent in fleet.agents.values():
        if restarts:
            agent.restart()
        agent.is_cut_off = False


def assert_each_runs_once(fleet, jobs):
    fleet.run_until(lambda: all(fleet.state(job) == "completed" for job in jobs))
    fleet.check()
    assert [event.kind for event in fleet.events].count("started") == TASKS


# Guards against tasks that run again after they were done: the ends that a list has no
# room for counted as lost runs.
class TestTasksThatEndWhileNoEndIsAcknowledged:
    @pytest.mark.parametrize("restarts_agents", [False, True])
    def test_none_runs_again(self, fleet, restarts_agents):
        jobs = start_all(fleet)
        cut_off_agents(fleet, WORK_S + 1.0)
        reconnect_agents(fleet, restarts_agents)
        assert_each_runs_once(fleet, jobs)

    # A new process of its agent refuses the starts that the holder repeats.
    @pytest.mark.parametrize("restarts_agents", [False, True])
    def test_none_runs_again_because_its_target_drains(self, fleet, restarts_agents):
        jobs = start_all(fleet)
        cut_off_agents(fleet, WORK_S + 0.5)
        fleet.agents["t1"].target.draining = True
        reconnect_agents(fleet, restarts_agents)
        assert_each_runs_once(fleet, jobs)
