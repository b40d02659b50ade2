"""A short run of the fault soak; ``python -m soak`` runs longer ones."""

from __future__ import annotations

import pytest
from cicadabank.standin import TargetEvent, TaskProfile

from soak.__main__ import Options, run_seed
from soak.checker import InvariantChecker, Job, Step

SHORT_RUN = Options(
    entries=2, targets=4, callers=4, faults=4, series=1, longest_s=1.0, length_s=8.0
)


class TestShortSoak:
    @pytest.mark.parametrize("seed", [101])
    def test_no_invariant_is_violated(self, seed, tmp_path):
        result = run_seed(seed, SHORT_RUN, tmp_path)
        assert not result.violations
        assert not result.error_lines
        assert result.accepted > 0


class TestChecker:
    TASK = "a.0.0.0"

    @pytest.fixture
    def checker(self):
        checker = InvariantChecker({"t0": "d0", "t1": "d1"}, (8, 8, 8))
        profile = TaskProfile("a.0.0", 1.0, (5, 1, 1))
        checker.record_submission(Job("a", "", [Step({"count": 3}, profile)]))
        checker.mark_disturbance()
        return checker

    def play(self, checker, kind, target="t0", run=1, sequence=0, task=TASK):
        checker.on_event(TargetEvent(kind, target, 1, task, run, sequence, 0.0))

    def found(self, checker):
        return [violation.invariant for violation in checker.violations]

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
