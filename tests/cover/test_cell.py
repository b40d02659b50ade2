"""Scheduling in a simulated cell, without faults and with single faults."""

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

    def test_running_job_is_recorded_as_possibly_run(self):
        world = make_world()
        job = world.submit(spec(), run_s=20.0)
        world.advance(3.0)
        row = world.row(job)
        assert (row.state, row.ran) == (JobState.RUNNING, "unknown")

    def test_waits_until_whole_gang_fits(self):
        world = make_world()
        first = world.submit(spec(tasks=6), run_s=10.0)
        other = world.submit(spec(tasks=6), run_s=10.0)
        world.advance(2.0)
        waiting = world.submit(spec(tasks=8), run_s=1.0)
        world.advance(4.0)
        assert world.row(waiting).state is JobState.QUEUED
        world.advance(14.0)
        assert world.row(waiting).state is JobState.DONE
        assert world.row(first).state is world.row(other).state is JobState.DONE

    def test_infeasible_job_is_refused_with_the_nearest_shape(self):
        world = make_world()
        job = world.submit(spec(tasks=9))
        world.advance(2.0)
        row = world.row(job)
        assert (row.state, row.ran) == (JobState.REFUSED, "no")
        assert "8 accelerators as 8 x 1 within one domain" in row.reason

    def test_failing_job_ends_after_three_failures(self):
        world = make_world()
        job = world.submit(spec(tasks=1), run_s=0.5, fails=True)
        world.advance(15.0)
        assert world.row(job).state is JobState.FAILED
        assert world.runs_by_job[job] == 3


class TestLostWorker:
    @pytest.mark.parametrize("fault", ["frozen", "disconnected"])
    def test_idempotent_gang_is_retried_on_another_worker(self, fault):
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
        world.agents[world.row(job).members[0].worker].disconnected = True
        world.advance(45.0)
        assert world.row(job).state is JobState.UNKNOWN
        assert world.runs_by_job[job] == 1

    @pytest.mark.parametrize(
        ("idempotent", "end"), [(True, JobState.DONE), (False, JobState.UNKNOWN)]
    )
    def test_lost_runner_state_ends_the_attempt(self, idempotent, end):
        world = make_world()
        job = world.submit(spec(tasks=4, idempotent=idempotent), run_s=8.0)
        world.advance(2.0)
        world.agents[world.row(job).members[0].worker].lose_tasks()
        world.advance(14.0)
        assert world.row(job).state is end

    def test_gang_survives_agent_restart(self):
        world = make_world()
        job = world.submit(spec(tasks=4, idempotent=False), run_s=8.0)
        world.advance(2.0)
        world.agents[world.row(job).members[0].worker].restart()
        world.advance(12.0)
        assert world.row(job).state is JobState.DONE


class TestReclaim:
    GUARANTEE = Guarantee("glaze", "lakes", (GuaranteedShape(8),))

    def test_guarantee_is_reclaimed_within_two_and_a_half_seconds(self):
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

    def test_frozen_borrower_does_not_delay_reclaim(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(8):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        world.agents["w00"].frozen = True
        world.advance(4.0)
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_backlog_of_another_workspace_does_not_delay_reclaim(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(400):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        job = world.submit(spec(tasks=8), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_backlog_over_quota_does_not_delay_other_workspaces(self):
        world = make_world()
        small = {**WORKSPACES, "books": Workspace("books", 2)}
        world.configure(workspaces=small)
        for _ in range(400):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        job = world.submit(spec(tasks=4), run_s=5.0)
        world.advance(2.5)
        assert world.row(job).state is JobState.RUNNING

    def test_slow_table_delays_reclaim_by_its_latency_only(self):
        world = make_world(guarantees=[self.GUARANTEE])
        for _ in range(8):
            world.submit(spec("books", tasks=2), run_s=500.0)
        world.advance(3.0)
        world.table_delay_s = 2.0
        job = world.submit(spec(tasks=8, urgent=True), run_s=5.0)
        world.advance(2.5 + world.table_delay_s)
        assert world.row(job).state is JobState.RUNNING

    def test_two_workspaces_reclaim_concurrently(self):
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

    def test_non_preemptible_job_never_borrows_an_allocation(self):
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

    def test_gang_without_checkpoint_runs_until_the_deadline(self):
        world = make_world()
        job = world.submit(spec(tasks=4), run_s=8.0)
        world.advance(2.0)
        domain = world.agents[world.row(job).members[0].worker].info.domain
        world.set_domain(domain, True, stop_after_s=10.0)
        world.advance(10.0)
        assert world.row(job).state is JobState.DONE
        assert world.runs_by_job[job] == 1


class TestTableOutage:
    def test_running_gang_survives_outage(self):
        world = make_world()
        job = world.submit(spec(idempotent=False), run_s=14.0)
        world.advance(2.0)
        world.table.down = True
        world.advance(18.0)
        assert world.row(job).state is JobState.RUNNING
        world.table.down = False
        world.advance(3.0)
        assert world.row(job).state is JobState.DONE
        assert world.runs_by_job[job] == 1

    def test_nothing_starts_during_outage(self):
        world = make_world()
        world.table.down = True
        world.advance(1.0)
        job = world.submit(spec())
        world.advance(10.0)
        assert world.row(job).state is JobState.QUEUED
        assert not world.runs_by_job[job]


class TestCancel:
    def test_queued_job_is_cancelled_without_a_run(self):
        world = make_world()
        world.table.down = True
        job = world.submit(spec())
        world.cancel(job)
        world.table.down = False
        world.advance(5.0)
        assert world.row(job).state is JobState.CANCELLED
        assert not world.runs_by_job[job]

    def test_running_gang_is_stopped(self):
        world = make_world()
        job = world.submit(spec(), run_s=100.0)
        world.advance(2.0)
        world.cancel(job)
        world.advance(3.0)
        assert world.row(job).state is JobState.CANCELLED
        assert world.row(job).ran == "yes"

    @pytest.mark.parametrize("after_s", [0.1, 0.3, 0.5, 0.7, 0.9, 1.1])
    def test_cancel_racing_a_start_is_recorded_correctly(self, after_s):
        world = make_world()
        world.max_delay_s = 0.2
        job = world.submit(spec(), run_s=100.0)
        world.advance(after_s)
        world.cancel(job)
        world.advance(12.0)
        assert world.row(job).state is JobState.CANCELLED
        assert not world.violations


class TestFailedOnAllWorkers:
    def test_gang_is_retried_on_workers_where_it_failed(self):
        world = make_world()
        job = world.submit(spec(tasks=6), run_s=0.5, fails=True)
        world.advance(30.0)
        assert world.row(job).state is JobState.FAILED


class TestProbation:
    GUARANTEE = Guarantee("glaze", "lakes", (GuaranteedShape(4),))

    def _world_with_worker_on_probation(self):
        """Return a world, and a worker on probation in a domain without allocations."""
        world = make_world(guarantees=[self.GUARANTEE])
        state = world.holder.core.state
        allocation = state.layout.allocations[0]
        guaranteed_domains = {
            state.fleet.workers[name].info.domain
            for name in allocation.accelerators_by_worker
        }
        faulty_worker = min(
            name
            for name, worker in state.fleet.workers.items()
            if worker.info.domain not in guaranteed_domains
        )
        for number in range(3):
            state.health.failed(f"job-{number}", faulty_worker, world.now_s)
        world.advance(40.0)
        assert state.health.on_probation(faulty_worker)
        return world, faulty_worker

    def test_non_idempotent_job_avoids_worker_on_probation(self):
        world, faulty_worker = self._world_with_worker_on_probation()
        job = world.submit(spec("books", tasks=4, idempotent=False))
        world.advance(6.0)
        assert world.row(job).state is JobState.DONE
        assert faulty_worker not in {member.worker for member in world.row(job).members}

    def test_job_that_needs_worker_on_probation_uses_it(self):
        world, faulty_worker = self._world_with_worker_on_probation()
        job = world.submit(spec("books", tasks=8, idempotent=False))
        world.advance(6.0)
        assert world.row(job).state is JobState.DONE
        assert faulty_worker in {member.worker for member in world.row(job).members}


class TestRemovedWorker:
    def test_lost_worker_is_removed_from_capacity(self):
        world = make_world()
        for name in ("w00", "w01"):
            world.agents[name].disconnected = True
        world.advance(910.0)
        assert set(world.holder.core.state.workers) == {"w10", "w11"}
        job = world.submit(spec(tasks=4, domain="erie"))
        world.advance(3.0)
        assert world.row(job).state is JobState.REFUSED


class TestUnresponsiveWorker:
    def test_worker_without_reply_is_excluded_at_once(self):
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
