"""Jobs that fail on every worker end in time."""

from __future__ import annotations

from tests.support.cells import make_world, spec

MAX_COMPLETION_S = 400.0  # same limit as in the state machine test of the cell


class TestTwoBadJobs:
    """Two jobs that fail on every worker, in a cell without other jobs.

    They put all workers on probation. If backoffs kept doubling then, the jobs would
    not end in time.
    """

    def test_both_jobs_end_in_time(self):
        world = make_world(781)
        jobs = [
            world.submit(spec(tasks=6), 3.0, True),
            world.submit(spec(tasks=6), 20.0, True),
        ]
        world.advance(MAX_COMPLETION_S)
        assert all(world.row(job).terminal for job in jobs)
