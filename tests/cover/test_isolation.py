from __future__ import annotations

import pytest
from cicadabank.scheduling import QueueConfig, Resources, StepSpec, WorkspaceConfig
from cicadabank.scheduling.internal.crashes import (
    MAX_SILENCE_ON_PROBATION_S,
    is_suspect,
    isolated_units,
    needs_isolation,
)
from cicadabank.scheduling.internal.isolation import status
from cicadabank.scheduling.internal.units import Crash

from tests.support.in_memory_cell import CRASH_DURATION_S, ModelCell, ModelTarget

QUEUES = [
    QueueConfig("urgent", "cell", 0, 4, 1.5, 0.25),
    QueueConfig("batch", "cell", 2, 4, 3.0, 3.0),
]
CORE = Resources(1_000, 2_048, 0)
ACCELERATORS = Resources(8_000, 16_384, 8)
QUARTER = Resources(8_000, 16_384, 2)
HALF = Resources(16_000, 32_768, 5)
WHOLE = Resources(32_000, 65_536, 8)
LONG_S = 300.0
# A job must not have nothing running for longer while less than half of the cell is in
# use.
MAX_IDLE_WAIT_S = 3.0
# A probation takes 2 s from the start, plus up to two report intervals.
MAX_PROBATION_S = 3.5


def cell_of(targets: int, **options) -> ModelCell:
    models = [ModelTarget(f"t{n}", f"d{n % 3}", f"r{n // 8}") for n in range(targets)]
    cell = ModelCell(models, QUEUES, **options)
    cell.run(7.0)
    return cell


def occupy(cell: ModelCell, targets: int, need: Resources = CORE) -> None:
    """Run one long task on each target, so that none is empty."""
    cell.submit(
        "long", "batch", [StepSpec(targets, need, LONG_S, per_target=1)], workspace="o"
    )
    cell.run(2.0)
    assert all(target.active_runs for target in cell.targets.values())


def running_units(cell: ModelCell, job: str) -> set[int]:
    return {
        run.index
        for target in cell.targets.values()
        for run in target.active_runs
        if run.job == job
    }


def target_of(cell: ModelCell, job: str) -> ModelTarget:
    return next(
        target
        for target in cell.targets.values()
        if any(run.job == job for run in target.active_runs)
    )


def events(cell: ModelCell, name: str) -> list[dict]:
    return [fields for event, fields in cell.log if event == name]


def crash_of(target: ModelTarget, run: int = 0) -> Crash:
    """Return a crash that is suspected, with other units on the target."""
    incarnation = f"{target.name}/before{run}"
    return Crash(run, target.name, incarnation, target.agent, False, True, True)


def set_crashes(cell: ModelCell, job: str, *targets: ModelTarget) -> None:
    """Record one crash of each target under each unit of a waiting job."""
    for unit in cell.scheduler.state.jobs[job].units:
        unit.crashes = tuple(crash_of(t, run) for run, t in enumerate(targets))
        unit.avoided_targets = {target.name for target in targets}


class TestOneCrashInABusyCell:
    """One of 57 targets crashes under eight tasks of a step and a member of a gang.

    Guards against suspects that wait until a target is empty: two steps of 49 and 70
    tasks were held back for over 50 s, and an urgent gang of 7 for 13 s.
    """

    @pytest.mark.parametrize("returns", [True, False])
    def test_the_step_and_the_gang_go_on_within_seconds(self, returns):
        cell = cell_of(57)
        occupy(cell, 57)
        gang = StepSpec(7, ACCELERATORS, 60.0, gang=True, per_target=1)
        cell.submit("gang", "urgent", [gang])
        cell.run(1.0)
        cell.submit("step", "batch", [StepSpec(8, CORE, 60.0)])
        cell.run(4.0)
        target = target_of(cell, "step")
        assert {run.job for run in target.active_runs} == {"long", "step", "gang"}
        assert len(running_units(cell, "step")) == 8
        cell.crash(target)
        target.draining = not returns
        target.remaining_s = 60.0
        cell.run_until(lambda: events(cell, "crash_counted"), CRASH_DURATION_S + 1.0)
        assert cell.run_until(lambda: len(running_units(cell, "gang")) == 7, 9.0) <= 1.0
        counted_s = cell.run_until(lambda: len(running_units(cell, "step")) == 8, 9.0)
        assert counted_s <= (MAX_PROBATION_S if returns else 1.0)
        cell.run(70.0)
        assert cell.state("step") == cell.state("gang") == "completed"
        cell.check()


class TestUnitsWithOneCrash:
    # Guards against a job with nothing running while targets have room (rule LOST).
    def test_a_unit_shares_a_target_if_none_is_empty(self):
        cell = cell_of(3)
        occupy(cell, 3)
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 5.0)])
        set_crashes(cell, "job", cell.targets["agent-t0"])
        assert cell.run_until(lambda: running_units(cell, "job"), 5.0) <= 0.5
        assert target_of(cell, "job").name != "t0"

    # Guards against a wait for another VM while the unit's own one is empty.
    def test_a_unit_prefers_the_same_vm_to_a_shared_target(self):
        cell = cell_of(2)
        cell.targets["agent-t0"].draining = True
        cell.run(1.0)
        cell.submit("other", "batch", [StepSpec(1, CORE, 60.0)])
        cell.run(1.0)
        cell.targets["agent-t0"].draining = False
        cell.targets["agent-t0"].restart()
        cell.run(2.0)
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 5.0)])
        set_crashes(cell, "job", cell.targets["agent-t0"])
        cell.run_until(lambda: running_units(cell, "job"), 5.0)
        assert target_of(cell, "job").name == "t0"
        assert events(cell, "unit_placed")[-1]["alone"]

    # Guards against a new holder that withholds a shared target from other units.
    def test_a_unit_that_shares_its_target_does_so_after_a_takeover(self):
        cell = cell_of(2)
        occupy(cell, 2)
        cell.submit("job", "batch", [StepSpec(4, QUARTER, 30.0)])
        set_crashes(cell, "job", cell.targets["agent-t0"])
        cell.run(2.0)
        cell.take_over(9.0)
        cell.run(1.0)
        cell.submit("late", "batch", [StepSpec(8, Resources(1_000, 2_048, 0), 5.0)])
        assert cell.run_until(lambda: len(running_units(cell, "late")) == 8, 5.0) <= 1.0


class TestUnitsWithTwoCrashes:
    def crash_twice(self, other_step: bool) -> tuple[ModelCell, ModelTarget]:
        """Return a cell in which a unit's target has crashed twice, and that target.

        The two other targets are full, one of them for 20 s. With `other_step`, the
        unit's own job runs on one of them.
        """
        cell = cell_of(3)
        cell.submit("long", "batch", [StepSpec(1, WHOLE, 20.0)])
        steps = [StepSpec(1, QUARTER, 40.0)]
        if other_step:
            steps.append(StepSpec(1, WHOLE, LONG_S))
        else:
            cell.submit("other", "batch", [StepSpec(1, WHOLE, LONG_S)])
        cell.run(0.5)
        cell.submit("job", "batch", steps)
        suspect = ("job", 0, 0)
        for starts in (1, 2):
            cell.run_until(lambda n=starts: cell.starts[suspect] == n, 6.0)
            cell.run(1.0)
            (target,) = (
                target
                for target in cell.targets.values()
                if suspect in {run[:3] for run in target.active_runs}
            )
            cell.crash(target)
        return cell, target

    def test_a_unit_starts_on_its_vm_if_nothing_of_its_job_runs(self):
        cell, crashed = self.crash_twice(other_step=False)
        cell.run_until(lambda: cell.starts["job", 0, 0] == 3, CRASH_DURATION_S + 1.0)
        assert crashed.active_runs

    # Guards against suspects that are tried on the same bad VM again.
    def test_a_unit_waits_for_another_vm_while_its_job_runs(self):
        cell, crashed = self.crash_twice(other_step=True)
        cell.run_until(lambda: cell.starts["job", 0, 0] == 3, 30.0)
        assert not crashed.active_runs
        (waits,) = events(cell, "suspect_waits")
        assert (waits["crashes"], waits["awaited"]) == (2, "another VM")

    # Guards against a unit that crashes one shared target after the other.
    def test_a_unit_shares_no_target_in_a_busy_cell(self):
        cell = cell_of(3)
        occupy(cell, 3, HALF)
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 5.0)])
        set_crashes(cell, "job", cell.targets["agent-t0"], cell.targets["agent-t1"])
        cell.run(20.0)
        assert not cell.starts["job", 0, 0]
        assert status(cell.scheduler.state).waiting_for_empty_target == 1

    # Guards against a step that is held back for a suspect that can't start.
    def test_the_rest_of_its_step_goes_on_while_it_waits(self):
        cell = cell_of(3)
        occupy(cell, 3)
        cell.submit("job", "batch", [StepSpec(4, QUARTER, 5.0)])
        suspect = cell.scheduler.state.jobs["job"].units[0]
        suspect.crashes = tuple(
            crash_of(cell.targets[f"agent-t{n}"], n) for n in range(2)
        )
        cell.run(2.0)
        assert running_units(cell, "job") == {1, 2, 3}


class TestSuspectsInAnIdleCell:
    """Each target runs something, and less than half of the cell is in use.

    Guards against a job with nothing running that waits for a target to be empty for as
    long as other tasks run (rule LOST).
    """

    def run_suspect(self, cell: ModelCell, crashes: int) -> float:
        """Submit a suspect; return how long it takes until it runs on another VM."""
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 5.0)])
        targets = [cell.targets[f"agent-t{n}"] for n in range(crashes)]
        set_crashes(cell, "job", *targets)
        waited_s = cell.run_until(lambda: running_units(cell, "job"), 20.0)
        assert target_of(cell, "job").name not in {target.name for target in targets}
        assert [f["job_runs"] for f in events(cell, "suspect_waits")] == [False]
        return waited_s

    def test_a_unit_with_two_crashes_shares_a_target(self):
        cell = cell_of(8)
        occupy(cell, 8)
        assert self.run_suspect(cell, 2) <= MAX_IDLE_WAIT_S
        assert not {run.outcome for run in cell.history}
        cell.run(7.0)
        assert cell.state("job") == "completed"
        cell.check()

    # It is likely to crash its target, and a sound task may start only twice more.
    def test_a_target_is_emptied_for_a_unit_with_three_crashes(self):
        cell = cell_of(8)
        occupy(cell, 8)
        assert self.run_suspect(cell, 3) <= MAX_IDLE_WAIT_S
        assert {run.job for run in target_of(cell, "job").active_runs} == {"job"}
        assert [run.outcome for run in cell.history] == ["stopped"]
        cell.run(7.0)
        assert cell.state("job") == "completed"
        assert len(running_units(cell, "long")) == 8
        cell.check()

    def test_no_guaranteed_work_is_stopped_for_it(self):
        cell = cell_of(8, workspaces=[WorkspaceConfig("w", frozenset(), 8)])
        need = Resources(1_000, 2_048, 1)
        cell.submit("long", "urgent", [StepSpec(8, need, LONG_S, per_target=1)])
        cell.run(2.0)
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 5.0)], workspace="o")
        set_crashes(cell, "job", *(cell.targets[f"agent-t{n}"] for n in range(3)))
        cell.run(20.0)
        assert len(running_units(cell, "long")) == 8
        assert not cell.history

    # Two targets crash under a job; meanwhile what ran beside it took its VM.
    def test_a_unit_starts_soon_after_its_second_crash(self):
        cell = cell_of(8)
        occupy(cell, 8)
        cell.submit("job", "batch", [StepSpec(1, QUARTER, 10.0)])
        for starts in (1, 2):
            cell.run_until(lambda n=starts: cell.starts["job", 0, 0] == n, 10.0)
            cell.run(0.5)
            crashed = target_of(cell, "job")
            cell.crash(crashed)
        crashed.draining = True
        crashed.remaining_s = 60.0
        counts = lambda: [f["job"] for f in events(cell, "crash_counted")]  # noqa: E731
        cell.run_until(lambda: counts().count("job") == 2, 9.0)
        started = lambda: running_units(cell, "job")  # noqa: E731
        assert cell.run_until(started, 30.0) <= MAX_IDLE_WAIT_S

    # Units with three crashes run alone until they end, and count towards the targets
    # that suspects may occupy.
    def test_a_unit_needs_no_room_among_the_isolated_targets(self):
        cell = cell_of(3)
        for number, job in enumerate(("first", "second")):
            cell.submit(job, "batch", [StepSpec(1, QUARTER, LONG_S)])
            unit = cell.scheduler.state.jobs[job].units[0]
            unit.crashes = tuple(
                crash_of(cell.targets["agent-t2"], run) for run in range(3 - number)
            )
            started = lambda job=job: running_units(cell, job)  # noqa: E731
            assert cell.run_until(started, 20.0) <= MAX_IDLE_WAIT_S
        assert all(len(target.active_runs) <= 1 for target in cell.targets.values())

    # Guards against a wait for a job of which a unit seems to run, on a lost VM.
    def test_a_unit_does_not_wait_for_another_on_a_lost_vm(self):
        cell = cell_of(8)
        occupy(cell, 8)
        steps = [StepSpec(1, CORE, LONG_S), StepSpec(1, QUARTER, 9.0)]
        cell.submit("job", "batch", steps)
        suspect = cell.scheduler.state.jobs["job"].units[1]
        suspect.crashes = tuple(
            crash_of(cell.targets[f"agent-t{n}"], n) for n in range(2)
        )
        cell.run(5.0)
        assert not cell.starts["job", 1, 0]
        target_of(cell, "job").silent = True
        started = lambda: cell.starts["job", 1, 0]  # noqa: E731
        limit_s = MAX_SILENCE_ON_PROBATION_S + MAX_IDLE_WAIT_S
        assert cell.run_until(started, 20.0) <= limit_s

    # Rule BUDGET: two more starts after three targets have crashed under a task.
    def test_a_deadly_task_is_given_up(self):
        cell = cell_of(8)
        occupy(cell, 8)
        cell.submit("deadly", "batch", [StepSpec(1, QUARTER, 30.0)])
        while cell.state("deadly") != "failed":
            cell.run_until(
                lambda: (
                    running_units(cell, "deadly") or cell.state("deadly") == "failed"
                )
            )
            for target in cell.targets.values():
                for run in list(target.active_runs):
                    if run.job == "deadly":
                        cell.crash(target, run)
        assert 2 <= cell.starts["deadly", 0, 0] <= 5
        cell.check()


class TestProbation:
    def cell_on_probation(self) -> ModelCell:
        """Return a cell with one of eight suspects of a step on probation."""
        cell = cell_of(12)
        cell.submit("job", "batch", [StepSpec(8, QUARTER, 30.0)])
        set_crashes(cell, "job", cell.targets["agent-t11"])
        cell.run(1.0)
        assert running_units(cell, "job") == {0}
        assert status(cell.scheduler.state).on_probation == 1
        return cell

    # Guards against suspects of a step that are tried one after the other.
    def test_a_step_is_cleared_once_one_of_its_units_has_survived(self):
        cell = self.cell_on_probation()
        everywhere = lambda: len(running_units(cell, "job")) == 8  # noqa: E731
        assert cell.run_until(everywhere, 20.0) <= MAX_PROBATION_S
        assert [f["units"] for f in events(cell, "step_cleared")] == [7]
        cell.take_over(9.0)
        cell.run(1.0)
        units = cell.scheduler.state.jobs["job"].units
        assert [is_suspect(unit) for unit in units] == [True] + 7 * [False]

    # Guards against a step that clears a unit that crashed targets again and again.
    def test_units_with_two_crashes_stay_suspects(self):
        cell = self.cell_on_probation()
        twice = cell.scheduler.state.jobs["job"].units[7]
        twice.crashes += (crash_of(cell.targets["agent-t10"], 1),)
        cell.run(MAX_PROBATION_S)
        assert needs_isolation(twice)

    # Guards against a step that is held back for up to 30 s for a unit whose VM is
    # lost: its agent, which would report a crash, is silent as well.
    def test_a_lost_vm_ends_the_wait_of_the_step(self):
        cell = self.cell_on_probation()
        target_of(cell, "job").silent = True
        others = set(range(1, 8))
        waited_s = cell.run_until(lambda: others <= running_units(cell, "job"), 30.0)
        assert waited_s <= 2 * MAX_PROBATION_S


class TestUnitsWithThreeCrashes:
    # Guards against a task whose target crashes once more after two preemptions: it
    # then had three starts after three crashes (rule BUDGET allows two).
    def test_a_unit_is_preempted_only_if_nothing_else_makes_room(self):
        cell = cell_of(2, workspaces=[WorkspaceConfig("w", frozenset(), 8)])
        cell.submit("suspect", "batch", [StepSpec(1, QUARTER, 60.0)])
        suspect = cell.scheduler.state.jobs["suspect"].units[0]
        suspect.crashes = tuple(
            crash_of(cell.targets["agent-t1"], run) for run in range(3)
        )
        cell.run(1.0)
        cell.submit("other", "batch", [StepSpec(1, WHOLE, 60.0)])
        cell.run(3.0)
        cell.submit("urgent", "urgent", [StepSpec(1, WHOLE, 2.0)])
        cell.run_until(lambda: cell.state("urgent") == "completed", 6.0)
        stopped = {run.id.job for run in cell.history if run.outcome == "stopped"}
        assert stopped == {"other"}

    # Guards against a step that waits for minutes for a unit that runs alone.
    def test_the_rest_of_its_step_goes_on_after_the_time_of_a_probation(self):
        cell = cell_of(12)
        cell.submit("job", "batch", [StepSpec(8, QUARTER, LONG_S)])
        suspect = cell.scheduler.state.jobs["job"].units[0]
        suspect.crashes = tuple(
            crash_of(cell.targets[f"agent-t{n}"], n) for n in range(3)
        )
        cell.run(1.0)
        assert running_units(cell, "job") == {0}
        everywhere = lambda: len(running_units(cell, "job")) == 8  # noqa: E731
        assert cell.run_until(everywhere, 20.0) <= MAX_PROBATION_S
        beside = [
            len(target.active_runs)
            for target in cell.targets.values()
            if ("job", 0, 0) in {run[:3] for run in target.active_runs}
        ]
        assert beside == [1]


class TestShortTasksAfterACrash:
    """A step of tasks that end before a probation does.

    Guards against tasks that run one after the other, each alone on its target.
    """

    def test_a_task_that_ends_alone_clears_its_step(self):
        cell = cell_of(8)
        cell.submit("job", "batch", [StepSpec(40, QUARTER, 1.5)])
        set_crashes(cell, "job", cell.targets["agent-t0"])
        elapsed_s = cell.run_until(lambda: cell.state("job") == "completed", 200.0)
        assert elapsed_s < 10.0


class TestWithdrawnSuspect:
    """A suspect is withdrawn before its start was sent, and placed again at once.

    Guards against a unit that counts twice against the limit of isolated targets.
    """

    def test_it_is_counted_once(self):
        cell = cell_of(8)
        cell.submit("a", "batch", [StepSpec(1, CORE, 60.0)])
        set_crashes(cell, "a", cell.targets["agent-t0"])
        cell.now_s += 0.4
        state = cell.scheduler.state
        cell.scheduler.tick(cell.now_s)
        cell._commit()
        cell.scheduler.take_orders()
        (unit,) = state.jobs["a"].units
        target = state.targets_by_incarnation[unit.members[0].target_incarnation]
        cell.scheduler.on_domains_out(frozenset({target.domain}), cell.now_s)
        cell.now_s += 0.05
        cell.scheduler.tick(cell.now_s)
        cell.run(1.0)
        assert isolated_units(state).count(unit) == 1
