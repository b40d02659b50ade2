"""Another entry takes over a cell while its jobs are starting or running."""

from __future__ import annotations

import pytest
from cicadabank.model import JobState

from tests.support.cells import make_world, spec


class TestTakeover:
    def test_running_gang_survives_takeover(self):
        world = make_world()
        job = world.submit(spec(idempotent=False), run_s=20.0)
        world.advance(2.0)
        world.replace_holder()
        world.advance(20.0)
        assert world.row(job).state is JobState.DONE
        assert world.runs_by_job[job] == 1

    @pytest.mark.parametrize("load_delay_s", [0.0, 0.5, 1.5, 3.5])
    @pytest.mark.parametrize("run_s", [5.0, 20.0], ids=["ends", "runs"])
    def test_reports_before_the_jobs_are_loaded_are_not_lost(self, load_delay_s, run_s):
        world = make_world()
        world.load_delay_s = load_delay_s
        job = world.submit(spec(idempotent=False), run_s=run_s)
        world.advance(2.0)
        world.replace_holder()
        world.advance(22.0)
        assert world.row(job).state is JobState.DONE
        assert world.runs_by_job[job] == 1

    def test_resumed_former_holder_is_fenced(self):
        world = make_world()
        old = world.replace_holder(kill=False)
        job = world.submit(spec(idempotent=False))
        old.frozen = False
        world.advance(10.0)
        assert not old.alive
        assert world.row(job).state is JobState.DONE
        assert world.runs_by_job[job] == 1

    @pytest.mark.parametrize("after_s", [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8])
    def test_holder_failure_during_start_runs_job_at_most_once(self, after_s):
        world = make_world()
        world.max_delay_s = 0.1
        job = world.submit(spec(idempotent=False), run_s=2.0)
        world.advance(0.5 + after_s)
        world.replace_holder()
        world.advance(30.0)
        assert world.row(job).terminal
        assert world.runs_by_job[job] <= 1
        assert not world.violations
