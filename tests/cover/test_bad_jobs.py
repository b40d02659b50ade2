from __future__ import annotations

from tests.support.cells import make_world, spec

HEALING_S = 400.0  # as for everything else that must come to its end


class TestTwoBadJobs:
    """Two jobs that fail wherever they run, on four workers and nothing else to do."""

    def test_both_end_and_workers_are_not_blamed_for_long(self):
        world = make_world(781)
        jobs = [
            world.submit(spec(tasks=6), 3.0, True),
            world.submit(spec(tasks=6), 20.0, True),
        ]
        world.advance(HEALING_S)
        assert all(world.row(job).terminal for job in jobs)
