"""A start that gets no reply is carried out by the target's next incarnation."""

from __future__ import annotations

import pytest

from tests.support.simulated_fleet import SimulatedFleet

WORK_S = 3.0
# Late calls are carried out after 2 to 12 s, here without the last step.
DELAYS_S = (3.0, 7.0, 9.5, 11.8)
# The latest that a run which a call has started may end after the call.
LATE_RUN_S = 22.2


@pytest.fixture
def fleet(monkeypatch):
    fleet = SimulatedFleet(("t0", "t1", "t2"), WORK_S, monkeypatch)
    fleet.run(3.0)
    return fleet


def hang(fleet) -> None:
    """Have runs make no progress, except on incarnations to come."""
    for target in fleet.targets.targets.values():
        target.hangs = True


def start_late(fleet, delay_s: float):
    """Have a task's start call left without a reply; return the agent."""
    for agent in fleet.agents.values():
        agent.late_s = delay_s
    fleet.submit("j")
    fleet.run_until(lambda: fleet._late_calls)
    ((_, method, _),) = fleet._late_calls
    for agent in fleet.agents.values():
        agent.late_s = None
    return fleet.agents[method.__self__.name]


# Guards against two runs of a task, and against one after its end: the run that the
# next incarnation starts isn't known before its agent reports.
class TestAgentsThatAreDown:
    @pytest.mark.parametrize("delay_s", DELAYS_S)
    @pytest.mark.parametrize("down_s", [1.0, 6.0, 12.0, 17.0])
    def test_an_agent_that_comes_back_finds_the_run(self, fleet, delay_s, down_s):
        agent = start_late(fleet, delay_s)
        agent.is_up = False
        fleet.run(1.0)
        agent.target.restart()
        fleet.run(down_s)
        agent.restart()
        fleet.run_until(lambda: fleet.state("j") == "completed")
        fleet.run(WORK_S)
        fleet.check()

    @pytest.mark.parametrize("delay_s", DELAYS_S)
    def test_the_task_starts_elsewhere_once_the_run_has_ended(self, fleet, delay_s):
        hang(fleet)
        agent = start_late(fleet, delay_s)
        agent.is_up = False
        fleet.run(1.0)
        agent.target.restart()
        agent.target.hangs = True  # its run lasts until its lease has expired
        fleet.run_until(lambda: len(fleet.events) == 3)
        fleet.check()
        assert [event.kind for event in fleet.events] == [
            "started",
            "lapsed",
            "started",
        ]

    def test_a_task_whose_start_was_answered_does_not_wait(self, fleet):
        hang(fleet)
        fleet.submit("j")
        fleet.run(2.0)
        (started,) = fleet.events
        agent = fleet.agents[started.target]
        agent.is_up = False
        agent.target.restart()
        elapsed_s = fleet.run_until(lambda: len(fleet.events) == 3)
        assert 7.0 < elapsed_s < 9.5


# Guards against two runs of a task: the agent reports its silent target as ended, and
# the next incarnation carries the call out before it has a higher fencing token.
class TestTargetsThatAreDown:
    @pytest.mark.parametrize("cut_off", [False, True])
    @pytest.mark.parametrize("delay_s", [10.5, 11.8])
    @pytest.mark.parametrize("up_s", [0.0, 0.2])  # before the call is carried out
    def test_the_task_waits_for_the_next_incarnation(
        self, fleet, delay_s, up_s, cut_off
    ):
        agent = start_late(fleet, delay_s)
        called_s = fleet.now_s
        agent.target.down_s = delay_s - up_s
        agent.target.crash()
        agent.is_cut_off = cut_off
        fleet.run_until(lambda: fleet.state("j") == "completed")
        fleet.run(called_s + 20.0 - fleet.now_s)
        fleet.check()

    def test_only_the_late_start_waits(self, fleet):
        others = [fleet.agents["t1"], fleet.agents["t2"]]
        for other in others:
            other.is_up = False
        fleet.run(12.0)
        fleet.submit("known")
        fleet.run(1.0)
        agent = start_late(fleet, 11.8)
        assert [event.target for event in fleet.events] == ["t0"]
        for other in others:
            other.restart()
        agent.target.down_s = float("inf")
        agent.target.crash()
        crashed_s = fleet.now_s
        known_s = self.run_until_started_elsewhere(fleet, "known")
        late_s = self.run_until_started_elsewhere(fleet, "j")
        assert known_s - crashed_s < 11.0
        assert LATE_RUN_S < late_s - crashed_s < LATE_RUN_S + 4.0

    def run_until_started_elsewhere(self, fleet, job: str) -> float:
        """Advance time until a job's task starts on another target; return the time."""

        def is_started() -> bool:
            return any(
                event.kind == "started"
                and event.target != "t0"
                and event.task.startswith(f"{job}.")
                for event in fleet.events
            )

        fleet.run_until(is_started)
        return fleet.now_s


# Guards against a task that runs again after it is done: a hold call to the incarnation
# before acknowledges the end on the next one, of which nobody has heard yet.
class TestLateAcknowledgements:
    def test_an_end_is_listed_until_it_is_known(self, fleet):
        for number in range(6):
            fleet.submit(f"earlier{number}")
        fleet.run(6.0)
        agent = start_late(fleet, 3.0)
        assert agent.controller.recorded
        agent.late_hold_s = 7.0
        fleet.run(0.5)
        agent.is_up = False
        agent.target.restart()
        fleet.run(8.0)
        agent.late_hold_s = None
        agent.restart()
        fleet.run_until(lambda: fleet.state("j") == "completed")
        fleet.check()
        (started,) = [
            event
            for event in fleet.events
            if event.kind == "started" and event.task.startswith("j.")
        ]
        assert started.incarnation == 2
