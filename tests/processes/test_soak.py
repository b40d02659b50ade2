"""A short run of the fault soak; ``python -m soak`` runs longer ones."""

from __future__ import annotations

import pytest
from cicadabank.standin import TargetEvent, TaskProfile

from soak.__main__ import Options, run_seed
from soak.checker import (
    CRASHES_BEFORE_LIMIT,
    CRASHES_TO_FAIL,
    MAX_STARTS_AFTER_LIMIT,
    InvariantChecker,
    Job,
    Step,
)

SHORT_RUN = Options(
    entries=2, targets=4, callers=4, faults=4, series=1, longest_s=1.0, length_s=8.0
)


class TestShortSoak:
    @pytest.mark.parametrize(("seed", "leaving"), [(101, 0), (102, 2)])
    def test_no_invariant_is_violated(self, seed, leaving, tmp_path):
        result = run_seed(seed, SHORT_RUN._replace(leaving=leaving), tmp_path)
        assert not result.violations
        assert not result.error_lines
        assert result.accepted > 0


class CheckerTests:
    """A checker that knows one job, and the events of its tasks."""

    TASK = "a.0.0.0"
    PROFILE = TaskProfile("a.0.0", 1.0, (5, 1, 1))

    @pytest.fixture
    def checker(self):
        checker = InvariantChecker({"t0": "d0", "t1": "d1"}, (8, 8, 8))
        checker.record_submission(Job("a", "", [Step({"count": 3}, self.PROFILE)]))
        checker.mark_disturbance()
        return checker

    def play(self, checker, kind, target="t0", run=1, sequence=0, task=TASK):
        checker.on_event(TargetEvent(kind, target, 1, task, run, sequence, 0.0))

    def found(self, checker):
        return [violation.invariant for violation in checker.violations]


class TestChecker(CheckerTests):
    @pytest.mark.parametrize("acknowledged_first", [False, True])
    def test_a_task_that_is_done_may_not_run_again(self, checker, acknowledged_first):
        self.play(checker, "started")
        self.play(checker, "done", sequence=1)
        if acknowledged_first:
            checker.on_acknowledged("t0", 1, 1)
            checker.on_ends_void("t0", 1)
        self.play(checker, "started", "t1", run=2)
        checker.on_ends_void("t0", 1)
        checker.on_acknowledged("t0", 1, 1)
        assert self.found(checker) == ["a task that is done never runs again"]

    def test_an_end_is_void_once_the_lease_has_expired(self, checker):
        self.play(checker, "started")
        self.play(checker, "done", sequence=1)
        checker.on_ends_void("t0", 1)
        self.play(checker, "started", "t1", run=2)
        checker.on_acknowledged("t0", 1, 1)
        assert self.found(checker) == []

    def test_two_active_runs_of_a_task_are_found(self, checker):
        self.play(checker, "started")
        self.play(checker, "started", "t1", run=2)
        assert self.found(checker) == ["a task has at most one active run"]

    def test_the_needs_of_two_runs_of_a_task_add_up(self, checker):
        self.play(checker, "started")
        self.play(checker, "started", run=2)
        assert "a target never exceeds its capacity" in self.found(checker)

    @pytest.mark.parametrize("is_void", [False, True])
    def test_a_job_that_was_never_stored_may_not_run(self, checker, is_void):
        checker.jobs["a"].is_void = is_void
        self.play(checker, "started")
        expected = ["a job that was cancelled before it was stored never runs"]
        assert self.found(checker) == expected * is_void

    @pytest.mark.parametrize("status", [0, 200, 503, 504])
    @pytest.mark.parametrize("state", ["pending", "running", "cancelled"])
    def test_a_repeated_job_stays_cancelled(self, checker, status, state):
        checker.on_repeated(checker.jobs["a"], status, state)
        expected = ["a cancelled job that is submitted again stays cancelled"]
        is_broken = status == 200 and state != "cancelled"
        assert self.found(checker) == expected * is_broken


class TestDeadlyJobs(CheckerTests):
    PROFILE = CheckerTests.PROFILE._replace(crashes_after_s=0.1)

    def crash(self, checker, times):
        for run in range(1, times + 1):
            self.play(checker, "started", run=run)
            self.play(checker, "crashed", run=run)

    def show(self, checker, state):
        checker.on_state_shown(checker.jobs["a"], 200, state)

    # Guards against a checker that misses a task started beyond the users' rule.
    @pytest.mark.parametrize("excess", [0, 1])
    def test_starts_are_bounded(self, checker, excess):
        checker.last_disturbance_s = float("-inf")
        self.crash(checker, CRASHES_BEFORE_LIMIT + MAX_STARTS_AFTER_LIMIT + excess)
        assert self.found(checker) == ["a deadly task is given up"] * excess

    # Guards against a rule for machines in touch that is applied to others.
    def test_starts_during_a_fault_are_not_bounded(self, checker):
        self.crash(checker, 2 * (CRASHES_BEFORE_LIMIT + MAX_STARTS_AFTER_LIMIT))
        assert self.found(checker) == []

    # Guards against jobs that are given up before enough targets have crashed.
    @pytest.mark.parametrize(
        ("crashes", "violations"),
        [
            (CRASHES_TO_FAIL, []),
            (CRASHES_TO_FAIL - 1, ["a job fails only after all its attempts"]),
        ],
    )
    def test_a_job_may_fail_after_crashes(self, checker, crashes, violations):
        self.crash(checker, crashes)
        self.show(checker, "failed")
        assert self.found(checker) == violations

    def test_a_deadly_job_does_not_complete(self, checker):
        self.crash(checker, CRASHES_TO_FAIL)
        self.show(checker, "completed")
        assert self.found(checker) == ["all tasks of a completed job are done"]

    # Guards against a task that counts as run again after an end made void by a crash.
    def test_the_ends_of_a_crashed_target_are_void(self, checker):
        other = "a.0.0.1"
        self.play(checker, "started", task=other)
        self.play(checker, "done", sequence=1, task=other)
        self.crash(checker, 1)
        self.play(checker, "started", "t1", run=2, task=other)
        checker.on_acknowledged("t0", 1, 1)
        assert self.found(checker) == []


class TestSoundJobs(CheckerTests):
    # Guards against sound jobs that fail because others crashed their targets.
    def test_a_sound_job_does_not_fail_after_crashes(self, checker):
        for run in range(1, 2 * CRASHES_BEFORE_LIMIT):
            self.play(checker, "started", run=run)
            self.play(checker, "crashed", run=run)
        checker.on_state_shown(checker.jobs["a"], 200, "failed")
        assert self.found(checker) == ["a job fails only after all its attempts"]
