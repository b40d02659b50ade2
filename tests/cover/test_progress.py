"""Durations of tasks, measured by the progress that their targets report."""

from __future__ import annotations

import pytest
from cicadabank.scheduling.internal.progress import RunProgress


class TestRunProgress:
    def test_duration_is_unknown_until_enough_work_is_done(self):
        progress = RunProgress(100.0, 0)
        progress.update(100.5, 5)
        assert progress.duration_s is None
        assert progress.remaining_s(100.5) is None

    def test_duration_follows_from_the_work_done_in_a_time(self):
        progress = RunProgress(100.0, 0)
        progress.update(102.0, 25)
        assert progress.duration_s == pytest.approx(8.0)
        assert progress.remaining_s(102.0) == pytest.approx(6.0)
        assert progress.remaining_s(105.0) == pytest.approx(3.0)
        assert progress.remaining_s(200.0) == 0.0

    def test_work_of_an_earlier_run_is_not_counted_as_done_in_this_one(self):
        progress = RunProgress(100.0, 60)
        progress.update(101.0, 80)
        assert progress.duration_s == pytest.approx(5.0)
        assert progress.remaining_s(101.0) == pytest.approx(1.0)

    def test_time_before_the_run_begins_to_work_is_not_counted(self):
        progress = RunProgress(100.0, 0)
        progress.update(103.0, 0)
        progress.update(104.0, 20)
        assert progress.duration_s == pytest.approx(5.0)

    def test_a_run_that_stands_still_takes_longer(self):
        progress = RunProgress(100.0, 0)
        progress.update(102.0, 50)
        progress.update(104.0, 50)
        assert progress.remaining_s(104.0) == pytest.approx(4.0)

    def test_a_repeated_or_older_list_changes_nothing(self):
        progress = RunProgress(100.0, 0)
        progress.update(102.0, 50)
        progress.update(102.0, 50)
        progress.update(101.0, 20)
        assert (progress.percent, progress.duration_s) == (50, pytest.approx(4.0))

    def test_a_complete_run_says_nothing_about_its_end(self):
        progress = RunProgress(100.0, 0)
        progress.update(102.0, 50)
        progress.update(109.0, 100)
        assert progress.duration_s == pytest.approx(4.0)
