"""A cell's scheduler in the entry that holds the cell, on a table in memory."""

from __future__ import annotations

import random
import threading
import time
from contextlib import ExitStack

import pytest
from cicadabank.control.internal import cell_holder as cell_holder_module
from cicadabank.control.internal.cell_holder import CellActor
from cicadabank.control.internal.feed import CellsFeed, OperatorView
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    AGENT_PREFIX,
    CANCEL_PREFIX,
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    JOB_PREFIX,
    LEASE_KEY,
    MAX_COMMIT_ENTRIES,
    QUEUE_PREFIX,
    RUN_PREFIX,
    TARGET_SHAPE_PREFIX,
    TARGET_SPEEDS_KEY,
    AgentRow,
    CancelRow,
    Configuration,
    HolderLoadRow,
    HolderRow,
    JobProgressRow,
    JobRecord,
    QueueConfig,
    Resources,
    RouteConfig,
    StepSpec,
    TargetIncarnation,
    TargetShapeRow,
    Timings,
    pack,
    unpack,
)
from cicadabank.scheduling.internal import contacts as contacts_module
from cicadabank.scheduling.internal import notes as notes_module
from cicadabank.scheduling.internal.planner import MAX_RUNNING_TASKS_OF_JOB
from cicadabank.scheduling.internal.units import Job, Member, Phase
from cicadabank.standin import MemoryTable
from cicadabank.store import StoredRow
from cicadabank.tasks import clock_s, running
from cicadabank.wire import ChannelPool, fleet_pb2, fleet_pb2_grpc, serve

from tests.support.addresses import unused_address
from tests.support.platform import wait_for

RECORD = JobRecord("j", "q", "w", 0.0, "spec", (StepSpec(1, Resources(1, 1, 1), 1.0),))
TIMINGS = Timings()
OPERATOR = OperatorView(Configuration(), frozenset())


class Holder:
    """A holder of a cell with one waiting job."""

    def __init__(self, table: MemoryTable, epoch: int, stack: ExitStack):
        self.table = table
        self.replica = Replica()
        self.feed = CellsFeed(table, self.replica, lambda *_: None, lambda: None)
        self.fenced: list[str] = []
        stored = table.rows.get(("cell", HOLDER_KEY))
        version = table.commit(
            "cell",
            {HOLDER_KEY: stored.version if stored else 0},
            {HOLDER_KEY: pack(HolderRow(epoch, "e", "1.2.3.4:5"))},
        )
        self.feed.step()
        self.actor = CellActor(
            "cell",
            epoch,
            version,
            clock_s(),
            "1.2.3.4:5",
            table,
            self.replica,
            ChannelPool(),
            self.fenced.append,
            TIMINGS,
        )
        stack.callback(self.actor.close)
        stack.enter_context(running(self.actor))
        self.actor.ask(self.actor.load, OPERATOR, 8.0)

    def apply(self, *rows: StoredRow):
        """Apply rows as the feed does, or another entry that forwards them."""
        self.replica.apply(
            rows, lambda _, kind, name: self.actor.post(self.actor.on_row, kind, name)
        )

    def cancel_job(self):
        row = pack(CancelRow(0.0, (RECORD.queue,)))
        version = self.table.version + 1000
        self.apply(StoredRow("cell", CANCEL_PREFIX + RECORD.job, row, version))

    def wait_for_job_state(self, state: str):
        key = ("cell", RUN_PREFIX + RECORD.job)
        until_s = time.monotonic() + 10.0
        while time.monotonic() < until_s:
            row = self.table.rows.get(key)
            if row is not None and unpack(row.value, JobProgressRow).state == state:
                return
            time.sleep(0.02)
        pytest.fail(f"the job's stored state is not {state!r}")

    def wait_until_stored(self):
        """Wait until the holder knows that its writes took effect."""
        state = self.actor.scheduler.state
        until_s = time.monotonic() + 5.0
        while state.in_flight and time.monotonic() < until_s:
            time.sleep(0.02)
        assert state.in_flight is None

    def wait_for_first_renewal(self):
        """Wait until the lease row is written and the reply to it processed."""

        def renewed() -> bool:
            is_writing = self.actor.ask(getattr, self.actor, "_writing")
            return ("cell", LEASE_KEY) in self.table.rows and not is_writing

        wait_for(renewed, 5.0)

    def may_renew_leases(self, now_s: float) -> bool:
        return self.actor.ask(self.actor._may_renew_leases, now_s)


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def table() -> MemoryTable:
    table = MemoryTable()
    table.commit("cell", {}, {JOB_PREFIX + RECORD.job: pack(RECORD)})
    return table


class TestLostReplies:
    # Guards against a holder that takes its own earlier write for that of another.
    def test_a_write_with_a_lost_reply_does_not_fence(self, table, stack, monkeypatch):
        monkeypatch.setattr(cell_holder_module, "WRITE_RETRY_PAUSE_S", 0.01)
        holder = Holder(table, 1, stack)
        table.lose_answers = True
        holder.cancel_job()
        holder.wait_for_job_state("cancelled")
        table.lose_answers = False
        holder.wait_until_stored()
        assert not holder.fenced

    # Guards against leases that last longer than a successor waits: it counts from the
    # time at which it saw the write, not from that of the conflict.
    def test_a_write_found_to_have_taken_effect_counts_from_when_it_was_sent(
        self, table, stack, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 60.0)
        monkeypatch.setattr(cell_holder_module, "WRITE_RETRY_PAUSE_S", 1.0)
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        table.lose_answers = True
        holder.cancel_job()
        holder.wait_for_job_state("cancelled")
        written_s = clock_s()
        table.lose_answers = False
        holder.wait_until_stored()
        grant_s = TIMINGS.outage_s - TIMINGS.lease_s
        assert not holder.may_renew_leases(written_s + grant_s)
        assert not holder.fenced


class TestCancelledJobs:
    """Jobs that were cancelled before they were stored."""

    OTHER = RECORD._replace(job="k")

    def rows(self, queues):
        cancel, job = CANCEL_PREFIX + self.OTHER.job, JOB_PREFIX + self.OTHER.job
        return [
            StoredRow("cell", cancel, pack(CancelRow(0.0, queues)), 1000),
            StoredRow("cell", job, pack(self.OTHER), 1001),
        ]

    def is_cancelled(self, holder):
        holder.actor.ask(lambda: None)
        return holder.actor.scheduler.state.jobs[self.OTHER.job].cancelled

    # Guards against a job that its holder starts before it learns that it is cancelled.
    @pytest.mark.parametrize("queues", [(), ("q",), ("p", "q")])
    def test_a_holder_never_has_the_job_open(self, table, stack, queues):
        holder = Holder(table, 1, stack)
        opened = []
        plan = holder.actor._plan_and_send

        def plan_after(*arguments):
            job = holder.actor.scheduler.state.jobs.get(self.OTHER.job)
            opened.append(job is not None and not job.cancelled)
            plan()

        holder.actor._plan_and_send = plan_after
        holder.apply(*self.rows(queues))
        wait_for(lambda: self.OTHER.job in holder.actor.scheduler.state.jobs, 5.0)
        assert self.is_cancelled(holder)
        assert not any(opened)

    def test_a_holder_reads_them_when_it_takes_over(self, table, stack):
        for row in self.rows(("q",)):
            table.commit("cell", {}, {row.key: row.value})
        holder = Holder(table, 1, stack)
        assert self.is_cancelled(holder)

    def test_a_cancellation_in_another_queue_is_of_another_job(self, table, stack):
        holder = Holder(table, 1, stack)
        holder.apply(*self.rows(("p",)))
        wait_for(lambda: self.OTHER.job in holder.actor.scheduler.state.jobs, 5.0)
        assert not self.is_cancelled(holder)

    # Guards against a job that its holder cancels as the row of an earlier one goes.
    def test_a_cancellation_that_is_removed_cancels_nothing(self, table, stack):
        holder = Holder(table, 1, stack)
        cancel, job = self.rows(("q",))
        holder.apply(cancel, cancel._replace(value=None, version=1001))
        holder.apply(job._replace(version=1002))
        wait_for(lambda: self.OTHER.job in holder.actor.scheduler.state.jobs, 5.0)
        assert not self.is_cancelled(holder)


# Guards against a holder that is taken for dead while it plans, or while many agents
# report to it: the next one had all of them to take in, and was busier still.
class TestRenewalsOfABusyHolder:
    def renewals(self, table, seconds: float) -> int:
        """Return how often the lease is renewed in this time."""
        versions = set()
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            row = table.rows.get(("cell", LEASE_KEY))
            if row is not None:
                versions.add(row.version)
            time.sleep(0.01)
        return len(versions)

    def test_the_lease_is_renewed_while_the_loop_is_busy(
        self, table, stack, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 0.1)
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        holder.actor.post(time.sleep, 2.0)
        assert self.renewals(table, 1.5) >= 5

    def test_it_is_not_renewed_while_the_loop_stands_still(
        self, table, stack, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 0.1)
        monkeypatch.setattr(cell_holder_module, "MAX_TICK_AGE_S", 0.3)
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        holder.actor.post(time.sleep, 4.0)
        time.sleep(1.5)
        assert self.renewals(table, 1.0) == 1

    def test_late_renewals_are_announced(self, table, stack, monkeypatch):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 0.1)
        monkeypatch.setattr(cell_holder_module, "MAX_TAKE_IN_S", 0.0)
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        holder.actor._lateness.on_renewal(0.0, 0.6)

        def announced() -> bool:
            row = table.rows.get(("cell", HOLDER_LOAD_KEY))
            return row is not None and unpack(row.value, HolderLoadRow).lateness_s > 1.0

        wait_for(announced, 5.0)


class TestSpeedsOfTargets:
    ADDRESS = "1.2.3.4:9"

    def learn(self, holder: Holder) -> float:
        """Have a holder learn that a target is slow; return its slowness."""

        def observe() -> float:
            speeds = holder.actor.scheduler.state.speeds
            for step in range(5):
                speeds.observe(("j", step), 0, "1.2.3.4:8", 10.0)
                speeds.observe(("j", step), 1, self.ADDRESS, 12.0)
            return speeds.slowness(self.ADDRESS)

        return holder.actor.ask(observe)

    # Guards against a new holder that takes all targets for equally fast, just when
    # most work has to run again.
    def test_a_new_holder_knows_what_the_last_one_has_learned(
        self, table, stack, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "SPEEDS_INTERVAL_S", 0.1)
        slowness = self.learn(Holder(table, 1, stack))
        wait_for(lambda: ("cell", TARGET_SPEEDS_KEY) in table.rows, 5.0)
        restored = Holder(table, 2, stack).actor.scheduler.state.speeds
        assert slowness > 1.05
        assert restored.slowness(self.ADDRESS) == pytest.approx(slowness)

    # Guards against speeds that a busy holder never stores: commits renew the lease.
    def test_they_are_stored_while_commits_take_the_place_of_renewals(
        self, table, stack, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 60.0)
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        self.learn(holder)
        holder.actor.ask(holder.actor._read_speeds, float("inf"))
        assert ("cell", TARGET_SPEEDS_KEY) not in table.rows
        holder.cancel_job()
        wait_for(lambda: ("cell", TARGET_SPEEDS_KEY) in table.rows, 5.0)

    def test_what_has_not_changed_is_not_stored_again(self, table, stack):
        holder = Holder(table, 1, stack)
        self.learn(holder)
        stored = pack(holder.actor.scheduler.target_speeds())
        table.commit("cell", {}, {TARGET_SPEEDS_KEY: stored})
        holder.feed.step()
        version = table.rows[("cell", TARGET_SPEEDS_KEY)].version
        holder.actor.ask(holder.actor._read_speeds, float("inf"))
        holder.cancel_job()
        holder.wait_for_job_state("cancelled")
        assert table.rows[("cell", TARGET_SPEEDS_KEY)].version == version


# Guards against a cell that stands still for ever, under each next holder too: the
# store refuses a write that is too large, and the holder repeats it.
class TestLargeCommits:
    def wait_for_states(self, table, state: str, jobs: list[str]):
        def all_stored() -> bool:
            rows = [table.rows.get(("cell", RUN_PREFIX + job)) for job in jobs]
            return None not in rows and all(
                unpack(row.value, JobProgressRow).state == state for row in rows
            )

        wait_for(all_stored, 10.0)

    @pytest.mark.parametrize("count", [48, 49, 60, 130])
    def test_many_jobs_that_change_at_once_are_stored(self, table, stack, count):
        jobs = [f"j{number}" for number in range(count)]
        holder = Holder(table, 1, stack)

        def submit_and_cancel():
            scheduler = holder.actor.scheduler
            for job in jobs:
                scheduler.on_job(RECORD._replace(job=job), clock_s())
                scheduler.on_cancel(job, clock_s())
            holder.actor._plan_and_send()

        holder.actor.ask(submit_and_cancel)
        self.wait_for_states(table, "cancelled", jobs)
        assert not holder.fenced

    # The entries of the job's tasks alone are larger than a row.
    @pytest.mark.parametrize("checkpoint_characters", [0, 16, 300])
    def test_a_job_with_many_running_tasks_is_stored(
        self, table, stack, checkpoint_characters
    ):
        source = random.Random(1)
        tasks = MAX_RUNNING_TASKS_OF_JOB
        step = StepSpec(tasks, Resources(1, 1, 0), 1.0)
        holder = Holder(table, 1, stack)

        def start_all():
            job = holder.actor.scheduler.state.jobs[RECORD.job]
            job.record = RECORD._replace(steps=(step,))
            job.units = Job(job.record).units
            job.state = "running"
            for unit in job.units:
                name = f"i-{source.randrange(16**10):010x}"
                address = (
                    f"10.0.{unit.first_index // 250}.{unit.first_index % 250}:7000"
                )
                target = TargetIncarnation(name, f"{name}/1783571724642", address)
                unit.phase, unit.run, unit.members = Phase.RUNNING, 1, [Member(target)]
                digits = source.choices("0123456789abcdef", k=checkpoint_characters)
                unit.checkpoint = "".join(digits)
            holder.actor.scheduler.state.mark_dirty(job)
            holder.actor._plan_and_send()

        holder.actor.ask(start_all)
        self.wait_for_states(table, "running", [RECORD.job])
        row = table.rows[("cell", RUN_PREFIX + RECORD.job)]
        units = unpack(row.value, JobProgressRow).units
        assert len({unit.target_incarnations for unit in units}) == tasks
        holder.feed.step()
        assert holder.replica.cells["cell"].runs[RECORD.job].row.units == units

    # The rows are of more than 1 MB in all, each below the limit of a row.
    def test_many_large_rows_are_stored(self, table, stack):
        target = TargetIncarnation("i-0123456789", "i-0123456789/1783571724642", "a:1")
        step = StepSpec(600, Resources(1, 1, 0), 1.0)
        jobs = [f"j{number}" for number in range(30)]
        holder = Holder(table, 1, stack)

        def change_all():
            state = holder.actor.scheduler.state
            for name in jobs:
                holder.actor.scheduler.on_job(
                    RECORD._replace(job=name, steps=(step,)), clock_s()
                )
                job = state.jobs[name]
                job.state = "running"
                for unit in job.units:
                    unit.phase, unit.run = Phase.RUNNING, 1
                    unit.members = [Member(target)]
                state.mark_dirty(job)
            holder.actor._plan_and_send()

        holder.actor.ask(change_all)
        self.wait_for_states(table, "running", jobs)
        sizes = [len(table.rows[("cell", RUN_PREFIX + job)].value) for job in jobs]
        assert sum(sizes) > 1_000_000


# Guards against a new holder that doesn't know a queue which was removed while its jobs
# were at work.
class TestNotesOnQueues:
    QUEUE = QueueConfig("q", "cell", 1, 5, 2.0, 1.0)
    KEY = ("cell", QUEUE_PREFIX + "q")

    def configure(self, holder: Holder, version: int, *queues: QueueConfig):
        routes = tuple(RouteConfig("h", f"/{q.name}/", False, q) for q in queues)
        view = OperatorView(Configuration(version, routes), frozenset())
        holder.actor.ask(holder.actor.on_operator_view, view)

    def test_a_new_holder_knows_a_removed_queue(self, table, stack):
        first = Holder(table, 1, stack)
        unused = self.QUEUE._replace(name="unused")
        self.configure(first, 1, self.QUEUE, unused)
        wait_for(lambda: self.KEY in table.rows, 5.0)
        second = Holder(table, 2, stack)
        self.configure(second, 2)
        assert second.actor.scheduler.state.queues == {"q": self.QUEUE}

    # Guards against a cell whose lease can't be renewed any more, since the store
    # refuses each write.
    def test_a_name_that_outgrows_a_key_is_not_stored(self, table, stack):
        holder = Holder(table, 1, stack)
        long = "q" * 300
        record = RECORD._replace(job="long", queue=long)
        holder.actor.ask(holder.actor.scheduler.on_job, record, clock_s())
        self.configure(holder, 1, self.QUEUE, self.QUEUE._replace(name=long))
        wait_for(lambda: self.KEY in table.rows, 5.0)
        assert ("cell", QUEUE_PREFIX + long) not in table.rows


# Guards against a new holder that fails a job as infeasible, since it knows nothing of
# the only target that could run it.
class TestShapesOfTargets:
    ADDRESS = "127.0.0.1:9"
    KEY = ("cell", TARGET_SHAPE_PREFIX + ADDRESS)

    @pytest.fixture
    def table(self, table) -> MemoryTable:
        row = pack(AgentRow(self.ADDRESS))
        table.commit("cell", {}, {AGENT_PREFIX + self.ADDRESS: row})
        return table

    def report(self, holder: Holder, labels: tuple[str, ...], agent: str = ADDRESS):
        """Have an agent register, and report a target with these labels."""
        message = fleet_pb2.TargetReport(
            cell="cell",
            agent=agent,
            agent_run="1",
            target="t",
            incarnation="t/1",
            observed=True,
            labels=labels,
            cpu_millicores=500,
            accelerators=2,
            epoch=holder.actor.epoch,
        )
        for number in (1, 2):
            message.number = number
            reply = holder.actor.ask(holder.actor.on_report, message)
            message.registration = reply.registration

    def stored(self, table) -> TargetShapeRow | None:
        row = table.rows.get(self.KEY)
        return unpack(row.value, TargetShapeRow) if row else None

    def test_a_new_holder_knows_a_target_that_has_not_reported_to_it(
        self, table, stack
    ):
        self.report(Holder(table, 1, stack), ("b", "r1"))
        wait_for(lambda: self.stored(table) is not None, 5.0)
        loaded_s = clock_s()
        state = Holder(table, 2, stack).actor.scheduler.state
        shape, since_s = state.absent_targets[self.ADDRESS]
        assert shape == (frozenset({"b", "r1"}), Resources(500, 0, 2))
        assert since_s >= loaded_s + table.clock_offset_s

    def test_a_failed_write_is_made_up_for(self, table, stack):
        holder = Holder(table, 1, stack)
        holder.wait_for_first_renewal()
        table.down = True
        self.report(holder, ("b",))
        time.sleep(1.2)
        assert self.stored(table) is None
        table.down = False
        wait_for(lambda: self.stored(table) is not None, 5.0)

    def test_an_absence_is_stored_once(self, table, stack, monkeypatch):
        monkeypatch.setattr(cell_holder_module, "ABSENCE_INTERVAL_S", 0.1)
        monkeypatch.setattr(notes_module, "STORED_ABSENCE_S", 0.3)
        holder = Holder(table, 1, stack)
        self.report(holder, ("b",))
        holder.actor.ask(holder.actor.on_target_terminated, self.ADDRESS)

        def absence_s() -> float | None:
            row = self.stored(table)
            return row and row.absent_since_s

        wait_for(lambda: absence_s() is not None, 5.0)
        holder.feed.step()
        version = table.rows[self.KEY].version
        time.sleep(1.2)
        assert table.rows[self.KEY].version == version
        restored = Holder(table, 2, stack).actor.scheduler.state
        assert restored.absent_targets[self.ADDRESS].since_store_s == absence_s()

    # Guards against a cell whose lease can't be renewed any more, since the store
    # refuses each write.
    def test_many_shapes_leave_room_for_what_a_write_needs(self, table, stack):
        holder = Holder(table, 1, stack)
        sizes = []

        def commit(partition, expected, puts, *arguments):
            sizes.append(len(expected) + len(puts))
            return MemoryTable.commit(table, partition, expected, puts, *arguments)

        table.commit = commit
        agents = [f"127.0.0.1:{port}" for port in range(1000, 1250)]
        for agent in agents:
            self.report(holder, ("b",), agent)
        keys = {("cell", TARGET_SHAPE_PREFIX + agent) for agent in agents}
        wait_for(lambda: keys <= table.rows.keys(), 10.0)
        assert max(sizes) <= MAX_COMMIT_ENTRIES

    def test_a_shape_that_outgrows_its_row_is_not_stored(self, table, stack):
        holder = Holder(table, 1, stack)
        self.report(holder, tuple(f"{number}".zfill(200) for number in range(100)))
        other = "127.0.0.1:10"
        self.report(holder, ("b",), other)
        wait_for(lambda: ("cell", TARGET_SHAPE_PREFIX + other) in table.rows, 5.0)
        assert self.stored(table) is None


class ListeningAgent:
    """An agent that only records that it was told who holds its cell."""

    def __init__(self) -> None:
        self.told = threading.Event()

    def Order(self, request, context):  # noqa: N802 (named by the protocol)
        self.told.set()
        return fleet_pb2.OrderReply(epoch=request.epoch, accepted=True)


class TestStartedAgents:
    # Guards against an agent that learns a second after its start who holds its cell,
    # since the holder's connection to its address is in backoff.
    @pytest.mark.parametrize("silent_s", [0.3, 1.2, 2.4])
    def test_an_agent_that_did_not_listen_before_is_told_at_once(
        self, table, stack, silent_s
    ):
        address = unused_address()
        table.commit("cell", {}, {AGENT_PREFIX + address: pack(AgentRow(address))})
        holder = Holder(table, 1, stack)
        time.sleep(silent_s)
        agent = ListeningAgent()
        service = (fleet_pb2_grpc.add_StewardServicer_to_server, agent)
        stack.enter_context(serve(address, [service], 2))
        holder.actor.ask(holder.actor.on_row, "agent", address)
        assert agent.told.wait(0.3)


# Guards against two runs of a task: each holder numbers registrations from 1, and a
# list that was requested under an earlier epoch says nothing about this one's fence.
class TestRegistrationsOfEarlierHolders:
    def test_a_number_counts_only_under_the_epoch_in_which_it_was_given(self, stack):
        actor = Holder(MemoryTable(), 2, stack).actor
        message = fleet_pb2.TargetReport(
            cell="cell",
            agent="a:2",
            agent_run="1",
            target="t",
            incarnation="t/1",
            observed=True,
        )
        for number in (1, 2):
            message.number, message.epoch, message.registration = number, 1, 1
            reply = actor.ask(actor.on_report, message)
            assert (reply.registration, reply.lease_s) == (1, 0.0)
        message.number, message.epoch = 3, 2
        message.registration = reply.registration
        reply = actor.ask(actor.on_report, message)
        assert (reply.registration, reply.lease_s) == (0, TIMINGS.lease_s)


# As the greatest age of a contact: only replies count that arrive after the commit.
NO_REPORT_COUNTS_S = -1e-6


class RecordingAgent:
    """An agent that records how many starts each batch of orders has."""

    def __init__(self, accepts: bool = True) -> None:
        self.accepts = accepts
        self.starts: list[int] = []

    def Order(self, request, context):  # noqa: N802 (named by the protocol)
        if request.incarnation:
            self.starts.append(len(request.starts))
        return fleet_pb2.OrderReply(
            epoch=request.epoch,
            accepted=self.accepts,
            incarnation=request.incarnation,
            started=[start.id for start in request.starts],
        )


# Guards against a start that is sent to an agent which may be gone.
class TestContactBeforeAStart:
    def place(self, table, stack, address: str) -> Holder:
        """Report a target, and have the job placed there."""
        holder = Holder(table, 1, stack)
        message = fleet_pb2.TargetReport(
            cell="cell",
            epoch=1,
            agent=address,
            agent_run="1",
            target="t",
            incarnation="t/1",
            cpu_millicores=10,
            memory_mb=10,
            accelerators=1,
            observed=True,
        )
        for number in (1, 2):
            message.number = number
            message.registration = number - 1
            holder.actor.ask(holder.actor.on_report, message)
        return holder

    def test_the_start_follows_the_reply_to_a_request(self, table, stack, monkeypatch):
        monkeypatch.setattr(contacts_module, "CONTACT_AGE_S", NO_REPORT_COUNTS_S)
        agent, address = RecordingAgent(), unused_address()
        service = (fleet_pb2_grpc.add_StewardServicer_to_server, agent)
        stack.enter_context(serve(address, [service], 2))
        holder = self.place(table, stack, address)
        wait_for(lambda: 1 in agent.starts, 5.0)
        assert agent.starts[0] == 0
        (unit,) = holder.actor.scheduler.state.jobs["j"].units
        wait_for(lambda: unit.members and unit.members[0].running, 1.0)

    @pytest.mark.parametrize("listens", [True, False])
    def test_nothing_is_sent_to_an_agent_that_does_not_take_orders(
        self, table, stack, monkeypatch, listens
    ):
        monkeypatch.setattr(contacts_module, "CONTACT_AGE_S", NO_REPORT_COUNTS_S)
        agent, address = RecordingAgent(accepts=False), unused_address()
        service = (fleet_pb2_grpc.add_StewardServicer_to_server, agent)
        if listens:
            stack.enter_context(serve(address, [service], 2))
        state = self.place(table, stack, address).actor.scheduler.state
        wait_for(lambda: state.starts_not_sent == 1, 1.5)
        wait_for(lambda: state.lost_contacts == {address}, 0.5)
        (unit,) = state.jobs["j"].units
        assert (unit.phase, unit.run) == (Phase.WAITING, 1)
        time.sleep(0.5)
        assert agent.starts == ([0] if listens else [])
        assert state.starts_sent == 0
