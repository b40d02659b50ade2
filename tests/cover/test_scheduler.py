from __future__ import annotations

import pytest
from cicadabank.scheduling import Need, QueueView, RunId, StepSpec, WorkspaceView

from tests.support.modelled import ModelCell, ModelTarget

URGENT = QueueView("urgent", "cell", 0, 3, 1.5, 0.25)
NORMAL = QueueView("normal", "cell", 1, 3, 3.0, 1.0)
BATCH = QueueView("batch", "cell", 2, 4, 3.0, 3.0)
# Its work has no time to wait, so it takes all that is free.
TIGHT = QueueView("tight", "cell", 2, 4, 1.0, 0.5)
QUEUES = [URGENT, NORMAL, BATCH, TIGHT]


def need(accelerators: int, cpu_millicores: int = 1000) -> Need:
    return Need(cpu_millicores, 1000, accelerators)


def gang(count: int, accelerators: int, estimate_s: float = 4.0, **more) -> StepSpec:
    return StepSpec(count, need(accelerators), estimate_s, gang=True, **more)


def tasks(count: int, accelerators: int = 1, estimate_s: float = 4.0, **more):
    return StepSpec(count, need(accelerators), estimate_s, **more)


def fleet(racks: int = 2, per_rack: int = 3) -> list[ModelTarget]:
    return [
        ModelTarget(f"t{rack}{slot}", f"d{rack}", f"r{rack}")
        for rack in range(racks)
        for slot in range(per_rack)
    ]


@pytest.fixture
def cell() -> ModelCell:
    made = ModelCell(fleet(), QUEUES, [WorkspaceView("w", frozenset(), 24)])
    made.run(1.0)
    return made


class TestSteps:
    def test_a_job_is_completed_once_all_tasks_are_done(self, cell):
        cell.submit("j", "batch", [tasks(5)])
        cell.run_until(lambda: cell.state("j") == "completed")
        assert sorted(r.id.index for r in cell.history) == [0, 1, 2, 3, 4]
        cell.check()

    def test_a_step_waits_for_all_tasks_of_those_before_it(self, cell):
        cell.submit("j", "batch", [tasks(3), tasks(2, after=(0,))])
        cell.run_until(lambda: cell.state("j") == "completed")
        first = [r for r in cell.history if r.id.step == 0]
        second = [r for r in cell.history if r.id.step == 1]
        assert min(r.began_s for r in second) >= max(r.ended_s for r in first)

    def test_a_limit_per_target_holds(self, cell):
        cell.submit("j", "batch", [tasks(6, per_target=1)])
        cell.run_until(lambda: cell.state("j") == "completed")
        assert len({r.target for r in cell.history}) == 6

    def test_a_label_binds(self):
        targets = fleet()
        cell = ModelCell(targets, QUEUES)
        cell.run(1.0)
        cell.submit("j", "batch", [tasks(4, label="r1")])
        cell.run_until(lambda: cell.state("j") == "completed")
        assert {r.target[:2] for r in cell.history} == {"t1"}

    @pytest.mark.parametrize(
        ("step", "why"),
        [
            (tasks(1, accelerators=9), "needs more"),
            (tasks(1, label="nowhere"), "label"),
            (gang(7, 8), "fits 6 times"),
            (gang(7, 1, per_target=1), "fits 6 times"),
        ],
    )
    def test_a_job_that_can_never_run_fails_at_once(self, cell, step, why):
        cell.run(7.0)
        cell.submit("j", "batch", [step])
        took_s = cell.run_until(lambda: cell.state("j") == "failed")
        assert took_s < 0.5
        assert why in cell.rows["j"][0].reason


class TestGangs:
    def test_all_members_start_within_a_moment_of_each_other(self, cell):
        cell.submit("j", "normal", [gang(3, 8, same_rack=True)])
        cell.run_until(lambda: cell.state("j") == "completed")
        assert len({r.began_s for r in cell.history}) == 1
        assert len({r.target[:2] for r in cell.history}) == 1

    def test_one_wider_than_any_rack_runs_over_several(self, cell):
        cell.submit("j", "normal", [gang(5, 8, same_rack=True)], "other")
        cell.run_until(lambda: cell.state("j") == "completed")

    def test_one_failed_member_costs_one_attempt(self, cell):
        cell.targets["agent-t00"].fails_all = True
        cell.submit("j", "normal", [gang(6, 8)])
        cell.run_until(lambda: cell.state("j") == "failed")
        runs = {r.id.run for r in cell.history}
        assert len(runs) == NORMAL.attempts
        cell.check()

    def test_a_lost_member_takes_the_others_along(self, cell):
        cell.submit("j", "normal", [gang(3, 8, estimate_s=30.0)])
        cell.run(3.0)
        lost = next(t for t in cell.targets.values() if t.work)
        cell.targets[lost.agent].reborn()
        cell.run_until(lambda: cell.state("j") == "completed")
        cell.check()


class TestGuarantees:
    def test_a_covered_job_takes_the_room_of_others_at_once(self, cell):
        for number in range(6):
            cell.submit(f"b{number}", "batch", [tasks(8, estimate_s=60.0)], "other")
        cell.run(2.0)
        cell.submit("u", "urgent", [gang(3, 8, same_rack=True)])
        took_s = cell.run_until(lambda: cell.state("u") == "running")
        assert took_s < 1.0
        cell.run_until(lambda: cell.state("u") == "completed")
        cell.check()

    def test_the_least_unsaved_work_is_stopped(self, cell):
        cell.submit("old", "tight", [gang(3, 8, 60.0, same_rack=True)], "other")
        cell.run(20.0)
        cell.submit("new", "tight", [gang(3, 8, 60.0, same_rack=True)], "other")
        cell.run(2.0)
        cell.submit("u", "urgent", [gang(3, 8, same_rack=True)])
        cell.run(3.0)
        assert {r.id.job for r in cell.history if r.how == "stopped"} == {"new"}

    def test_nothing_is_stopped_beyond_the_guarantee(self, cell):
        cell.submit("b", "batch", [gang(6, 8, 20.0)], "other")
        cell.run(2.0)
        cell.submit("u", "urgent", [gang(4, 8)])
        cell.run(5.0)
        assert not any(r.how == "stopped" for r in cell.history)


class TestTargets:
    def test_a_silent_target_s_tasks_run_again_only_after_its_lease(self, cell):
        cell.submit("j", "normal", [tasks(1, 8, 30.0)])
        cell.run(2.0)
        lost = next(t for t in cell.targets.values() if t.work)
        lost.silent = True
        took_s = cell.run_until(
            lambda: any(t.work for t in cell.targets.values() if t is not lost)
        )
        assert 7.0 < took_s < 9.5
        cell.run_until(lambda: cell.state("j") == "completed")
        cell.check()

    def test_a_short_silence_costs_nothing(self, cell):
        cell.submit("j", "normal", [tasks(1, 8, 12.0)])
        cell.run(2.0)
        silent = next(t for t in cell.targets.values() if t.work)
        silent.silent = True
        cell.run(5.5)
        silent.silent = False
        cell.run_until(lambda: cell.state("j") == "completed")
        assert [r.how for r in cell.history] == ["done"]

    def test_a_draining_target_gets_nothing_new(self, cell):
        drained = cell.targets["agent-t00"]
        drained.draining = True
        cell.run(1.0)
        cell.submit("j", "batch", [tasks(40)])
        cell.run(3.0)
        assert not drained.work

    def test_a_target_that_fails_all_is_left_alone(self, cell):
        cell.targets["agent-t00"].fails_all = True
        for number in range(12):
            cell.submit(f"j{number}", "batch", [tasks(4)])
        cell.run_until(
            lambda: all(cell.state(f"j{n}") == "completed" for n in range(12))
        )
        failed = [r for r in cell.history if r.how == "failed"]
        assert len(failed) <= 16
        cell.check()


class TestTakeover:
    def test_a_new_holder_lets_running_tasks_be(self, cell):
        cell.submit("j", "normal", [gang(3, 8, 10.0)])
        cell.run(3.0)
        cell.take_over()
        cell.run_until(lambda: cell.state("j") == "completed")
        assert {r.how for r in cell.history} == {"done"}
        cell.check()

    def test_after_a_loss_of_all_power_jobs_run_again_at_once(self, cell):
        cell.submit("j", "normal", [gang(3, 8, 10.0)])
        cell.run(3.0)
        for target in cell.targets.values():
            target.reborn()
        cell.take_over()
        cell.run(1.5)
        assert sum(len(t.work) for t in cell.targets.values()) == 3
        cell.run_until(lambda: cell.state("j") == "completed")

    @pytest.mark.parametrize("step", [tasks(3, 8, 20.0), gang(3, 8, 20.0)])
    def test_after_a_loss_of_all_power_checkpoints_are_known(self, cell, step):
        cell.submit("j", "normal", [step._replace(saves_progress=True)])
        cell.run(12.0)
        for target in cell.targets.values():
            target.reborn()
        cell.take_over()
        cell.run(1.5)
        left_s = [w.total_s for t in cell.targets.values() for w in t.work.values()]
        assert len(left_s) == 3
        assert max(left_s) < 20.0 - 12.0 + 4.0
        cell.run_until(lambda: cell.state("j") == "completed")

    def test_nothing_is_placed_before_most_targets_have_reported(self, cell):
        for target in cell.targets.values():
            target.silent = True
        cell.take_over()
        cell.submit("j", "normal", [tasks(12, 1)])
        heard = next(iter(cell.targets.values()))
        heard.silent = False
        cell.run(0.3)
        assert not heard.work
        cell.run(0.5)
        assert heard.work, "it waits for agents that may be gone"

    def test_an_agent_that_has_started_is_told_at_once_who_holds(self, cell):
        scheduler, agent = cell.scheduler, next(iter(cell.targets))
        scheduler.silent_agents(cell.now_s)
        assert agent not in scheduler.silent_agents(cell.now_s)
        scheduler.on_agent_started(agent)
        assert scheduler.silent_agents(cell.now_s) == [agent]

    def test_a_failure_that_was_stored_is_not_counted_again(self):
        """The failed end is listed until it is acknowledged, to the next holder too."""
        queue = QueueView("twice", "cell", 1, 2, 3.0, 1.0)
        failing = RunId("j", 0, 0, 1)
        cell = ModelCell(
            fleet(), [queue], fails_at=lambda run: 0.2 if run == failing else 9.0
        )
        cell.run(1.0)
        cell.submit("j", "twice", [gang(3, 8)])
        cell.run_until(lambda: cell.state("j") == "running")
        others = [
            target
            for target in cell.targets.values()
            if failing not in target.work and target.work
        ]
        for target in others:
            target.silent = True
        deliver, cell._deliver = cell._deliver, cell.scheduler.take_orders
        cell.run_until(
            lambda: any(e == "run_ended" and f["how"] == "failed" for e, f in cell.log)
        )
        cell._deliver = deliver
        for target in others:
            target.silent = False
        cell.take_over()
        cell.run_until(lambda: cell.scheduler.state.jobs["j"].ended)
        assert cell.state("j") == "completed"
        cell.check()

    def test_ends_that_the_last_holder_did_not_store_count(self, cell):
        cell.submit("j", "normal", [tasks(1, 8, 3.0)])
        cell.run(1.0)
        cell.store_up = False
        cell.run(5.0)
        cell.store_up = True
        cell.take_over()
        cell.run(2.0)
        assert cell.state("j") == "completed"
        assert len(cell.history) == 1


class TestCancel:
    def test_a_cancelled_job_s_tasks_are_stopped(self, cell):
        cell.submit("j", "normal", [gang(3, 8, 60.0)])
        cell.run(3.0)
        cell.cancel("j")
        took_s = cell.run_until(lambda: not any(t.work for t in cell.targets.values()))
        assert took_s < 1.0
        cell.run(1.0)
        assert cell.state("j") == "cancelled"

    def test_one_whose_last_task_ends_done_meanwhile_is_closed(self, cell):
        cell.submit("b", "batch", [gang(6, 7, 20.0)])
        cell.run(1.0)
        cell.submit("j", "normal", [tasks(7, 1, 4.0)])
        cell.run_until(lambda: cell.state("j") == "running")
        for target in cell.targets.values():
            target.silent = True
        cell.run(4.2)
        cell.cancel("j")
        for target in cell.targets.values():
            target.silent = False
        cell.run_until(lambda: cell.state("j") == "cancelled", 60.0)

    def test_a_waiting_job_never_starts(self, cell):
        cell.submit("b", "batch", [gang(6, 8, 20.0)])
        cell.run(5.0)  # by now it has done more than a stop would gain
        cell.submit("j", "normal", [gang(6, 8)])
        cell.run(1.0)
        cell.cancel("j")
        cell.run_until(lambda: cell.state("b") == "completed")
        cell.run(3.0)
        assert cell.state("j") == "cancelled"
        assert not any(r.id.job == "j" for r in cell.history)
