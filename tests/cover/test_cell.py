"""A cell's life without faults and with one fault at a time."""

from __future__ import annotations

import pytest
from cicadabank.model import Guarantee, GuaranteedShape, JobState, Workspace

from tests.support.cells import WORKSPACES, make_world, spec


class TestGang:
    def test_runs_on_all_its_workers(self):
        world = make_world()
        job = world.submit(spec())
        world.advance(6.0)
        assert world.row(job).state is JobState.DONE
        assert sum(member.tasks for member in world.row(job).members) == 8

    def test_running_one_is_not_said_not_to_have_run(self):
        world = make_world()
        job = world.submit(spec(), run_s=20.0)
        world.advance(3.0)
        row = world.row(job)
        assert (row.state, row.ran) == (JobState.RUNNING, "unknown")

    def test_waits_until_it_fits_whole(self):
        world = make_world()
        first = world.submit(spec(tasks=6), run_s=10.0)
        other = world.submit(spec(tasks=6), run_s=10.0)
        world.advance(2.0)
        late = world.submit(spec(tasks=8), run_s=1.0)
        world.advance(4.0)
        assert world.row(late).state is JobState.QUEUED
        world.advance(14.0)
        assert world.row(late).state is JobState.DONE
        assert world.row(first).state is world.row(other).state is JobState.DONE

    def test_impossible_one_is_refused_with_the_nearest_shape(self):
        world = make_world()
        job = world.submit(spec(tasks=9))
        world.advance(2.0)
        row = world.row(job)
        assert (row.state, row.ran) == (JobState.REFUSED, "no")
        assert "8 accelerators as 8 x 1 within one domain" in row.reason

    def test_failing_job_is_given_up_after_three_failures(self):
        world = make_world()
        job = world.submit(spec(tasks=1), run_s=0.5, fails=True)
        world.advance(15.0)
        assert world.row(job).state is JobState.FAILED
        assert world.run_jobs[job] == 3


class TestLostWorker:
    @pytest.mark.parametrize("fault", ["frozen", "cut"])
    def test_idempotent_gang_runs_again_elsewhere(self, fault):
        world = make_world()
        job = world.submit(spec(tasks=4), run_s=20.0)
        world.advance(2.0)
        worker = world.row(job).members[0].worker
        setattr(world.agents[worker], fault, True)
        world.advance(45.0)
        assert world.row(job).state is JobState.DONE
        assert world.row(job).members[0].worker != worker

    def test_non_idempotent_gang_ends_with_unknown_outcome(self):
        world = make_world()
        job = world.submit(spec(tasks=4, idempotent=False), run_s=20.0)
        world.advance(2.0)
        world.agents[world.row(job).members[0].worker].cut = True
        world.advance(45.0)
        assert world.row(job).state is JobState.UNKNOWN
        assert world.run_jobs[job] == 1

    @pytest.mark.parametrize(
        ("idempotent", "end"), [(True, JobState.DONE), (False, JobState.UNKNOWN)]
    )
    def test_runner_that_lost_its_tasks_ends_the_attempt(self, idempotent, end):
        world = make_world()
        job = world.submit(spec(tasks=4, idempotent=idempotent), run_s=8.0)
        world.advance(2.0)
        world.agents[world.row(job).members[0].worker].lose_tasks()
        world.advance(14.0)
        assert world.row(job).state is end

    def test_agent_restart_loses_nothing(self):
        world = make_world()
        job = world.submit(spec(tasks=4, idempotent=False), run_s=8.0)
        world.advance(2.0)
        world.agents[world.row(job).members[0].worker].restart()
        world.advance(12.0)
        assert world.row(job).state is JobState.DONE


class TestReclaim:
    GUARANTEE = Guarantee("glaze", "lakes", (GuaranteedShape(8),))

    def test_borrowers_leave_within_two_seconds(self):
        world = make_world(guarantees=[self.GUARANTEE])
        borrowers = [
            world.submit(spec("books", tasks=2, checkpointable=True), run_s=500.0)
            for _ in range(8)
        ]
        world.advance(3.0)
        assert all(world.row(b).state is JobState.RUNNING for b in borrowers)
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING
        world.advance(12.0)
        assert world.row(job).state is JobState.DONE
        assert all(not world.row(b).terminal for b in borrowers)

    def test_frozen_borrower_does_not_hold_it_up(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(8):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        world.agents["w00"].frozen = True
        world.advance(4.0)
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_backlog_of_others_does_not_hide_it(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(400):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        job = world.submit(spec(tasks=8), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_backlog_over_its_quota_holds_nobody_up(self):
        world = make_world()
        small = {**WORKSPACES, "books": Workspace("books", 2)}
        world.configure(workspaces=small)
        for _ in range(400):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        job = world.submit(spec(tasks=4), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_slow_table_adds_its_delay_only(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(8):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        world.table_delay_s = 2.0
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5 + world.table_delay_s)
        assert world.row(job).state is JobState.RUNNING

    def test_two_workspaces_reclaim_at_once(self):
        both = [self.GUARANTEE._replace(workspace=w) for w in ("glaze", "books")]
        world = make_world(guarantees=both)
        world.configure(workspaces={**WORKSPACES, "guest": Workspace("guest", 100)})
        world.advance(1.0)
        for _ in range(8):
            world.submit(spec("guest", tasks=2), run_s=500.0)
        world.advance(3.0)
        jobs = [
            world.submit(spec(w, tasks=8, urgent=True), run_s=5.0)
            for w in ("glaze", "books")
        ]
        world.advance(2.5)
        assert [world.row(job).state for job in jobs] == [JobState.RUNNING] * 2

    def test_job_that_can_not_be_stopped_never_borrows_a_home(self):
        world = make_world(guarantees=[self.GUARANTEE])
        pinned = [
            world.submit(spec("books", tasks=4, idempotent=False), run_s=500.0)
            for _ in range(4)
        ]
        world.advance(3.0)
        states = [world.row(job).state for job in pinned]
        assert states.count(JobState.RUNNING) == 2
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING


class TestDrain:
    def test_nothing_starts_in_a_domain_that_is_out(self):
        world = make_world()
        world.set_domain("erie", True)
        world.advance(1.0)
        jobs = [world.submit(spec(tasks=4), run_s=1.0) for _ in range(6)]
        world.advance(20.0)
        assert all(world.row(job).state is JobState.DONE for job in jobs)
        assert {world.row(j).members[0].worker[:2] for j in jobs} == {"w1"}

    def test_checkpointable_gang_moves_before_the_deadline(self):
        world = make_world()
        job = world.submit(spec(tasks=4, checkpointable=True), run_s=30.0)
        world.advance(2.0)
        first = world.row(job).members[0].worker
        domain = world.agents[first].info.domain
        world.set_domain(domain, True, stop_after_s=10.0)
        world.advance(4.0)
        second = world.row(job).members[0].worker
        assert world.agents[second].info.domain != domain
        assert any(d.event == "checkpointed" for d in world.row(job).history)

    def test_gang_without_checkpoint_works_on_until_the_deadline(self):
        world = make_world()
        job = world.submit(spec(tasks=4), run_s=8.0)
        world.advance(2.0)
        domain = world.agents[world.row(job).members[0].worker].info.domain
        world.set_domain(domain, True, stop_after_s=10.0)
        world.advance(10.0)
        assert world.row(job).state is JobState.DONE
        assert world.run_jobs[job] == 1


class TestTableOutage:
    def test_running_gangs_outlast_it(self):
        world = make_world()
        job = world.submit(spec(idempotent=False), run_s=14.0)
        world.advance(2.0)
        world.table.down = True
        world.advance(18.0)
        assert world.row(job).state is JobState.RUNNING
        world.table.down = False
        world.advance(3.0)
        assert world.row(job).state is JobState.DONE
        assert world.run_jobs[job] == 1

    def test_nothing_starts_during_it(self):
        world = make_world()
        world.table.down = True
        world.advance(1.0)
        job = world.submit(spec())
        world.advance(10.0)
        assert world.row(job).state is JobState.QUEUED
        assert not world.run_jobs[job]


class TestCancel:
    def test_queued_job_is_cancelled_without_a_run(self):
        world = make_world()
        world.table.down = True
        job = world.submit(spec())
        world.cancel(job)
        world.table.down = False
        world.advance(5.0)
        assert world.row(job).state is JobState.CANCELLED
        assert not world.run_jobs[job]

    def test_running_gang_is_stopped(self):
        world = make_world()
        job = world.submit(spec(), run_s=100.0)
        world.advance(2.0)
        world.cancel(job)
        world.advance(3.0)
        assert world.row(job).state is JobState.CANCELLED
        assert world.row(job).ran == "yes"

    @pytest.mark.parametrize("after_s", [0.1, 0.3, 0.5, 0.7, 0.9, 1.1])
    def test_racing_a_start_leaves_a_true_record(self, after_s):
        world = make_world()
        world.longest_delay_s = 0.2
        job = world.submit(spec(), run_s=100.0)
        world.advance(after_s)
        world.cancel(job)
        world.advance(12.0)
        assert world.row(job).state is JobState.CANCELLED
        assert not world.broken


class TestFailedEverywhere:
    def test_gang_that_failed_on_every_worker_is_still_tried(self):
        world = make_world()
        job = world.submit(spec(tasks=6), run_s=0.5, fails=True)
        world.advance(30.0)
        assert world.row(job).state is JobState.FAILED


class TestProbation:
    GUARANTEE = Guarantee("glaze", "lakes", (GuaranteedShape(4),))

    def _with_a_worker_on_probation(self):
        """Put a worker on probation in the domain that has no home."""
        world = make_world(guarantees=[self.GUARANTEE])
        state = world.holder.core.state
        allocation = state.layout.allocations[0]
        guaranteed_domains = {
            state.fleet.workers[name].info.domain
            for name in allocation.accelerators_by_worker
        }
        suspect = min(
            name
            for name, worker in state.fleet.workers.items()
            if worker.info.domain not in guaranteed_domains
        )
        for number in range(3):
            state.health.failed(f"job-{number}", suspect, world.now_s)
        world.advance(40.0)
        assert state.health.on_probation(suspect)
        return world, suspect

    def test_job_that_must_run_once_avoids_its_worker(self):
        world, suspect = self._with_a_worker_on_probation()
        job = world.submit(spec("books", tasks=4, idempotent=False))
        world.advance(6.0)
        assert world.row(job).state is JobState.DONE
        assert suspect not in {member.worker for member in world.row(job).members}

    def test_job_that_fits_nowhere_else_does_not_wait_without_end(self):
        world, suspect = self._with_a_worker_on_probation()
        job = world.submit(spec("books", tasks=8, idempotent=False))
        world.advance(6.0)
        assert world.row(job).state is JobState.DONE
        assert suspect in {member.worker for member in world.row(job).members}


class TestGoneWorker:
    def test_is_forgotten_and_its_shape_no_longer_counts(self):
        world = make_world()
        for name in ("w00", "w01"):
            world.agents[name].cut = True
        world.advance(910.0)
        assert set(world.holder.core.state.workers) == {"w10", "w11"}
        job = world.submit(spec(tasks=4, domain="erie"))
        world.advance(3.0)
        assert world.row(job).state is JobState.REFUSED


class TestSilentWorker:
    def test_one_that_does_not_answer_is_left_out_at_once(self):
        world = make_world()
        first = world.submit(spec(tasks=4, domain="erie"), run_s=0.5)
        world.advance(3.0)
        worker = world.row(first).members[0].worker
        world.agents[worker].frozen = True
        second = world.submit(spec(tasks=4, domain="erie"), run_s=0.5)
        world.advance(2.2)
        assert world.holder.core.state.workers[worker].silent
        world.advance(3.0)
        assert world.row(second).state is JobState.DONE
        assert world.row(second).members[0].worker != worker
