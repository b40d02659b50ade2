"""Submission, cancellation and state queries of jobs, on a table in memory."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from cicadabank.control import errors
from cicadabank.control.internal import job_service as job_service_module
from cicadabank.control.internal.feed import UNREAD_VIEW, CellsFeed, OperatorView
from cicadabank.control.internal.job_service import (
    JobRequest,
    JobService,
    JobStatus,
    RequestTiming,
)
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    RUN_PREFIX,
    CancelRow,
    Configuration,
    JobProgressRow,
    JobRecord,
    QueueConfig,
    Resources,
    RouteConfig,
    StepSpec,
    WorkspaceConfig,
    pack,
    unpack,
)
from cicadabank.standin import MemoryTable
from cicadabank.store import RowConflictError, UnavailableError, UnknownOutcomeError
from cicadabank.tasks import clock_s
from loguru import logger

QUEUE = QueueConfig("q", "cell", 1, 3, 3.0, 1.0)
OTHER_QUEUE = QueueConfig("other", "cell", 1, 3, 3.0, 1.0)
CONFIG = Configuration(
    7,
    (
        RouteConfig("h", "/jobs/", False, QUEUE),
        RouteConfig("h", "/jobs/deep/", False, OTHER_QUEUE),
        RouteConfig("h", "/open/", True, QUEUE),
    ),
    (WorkspaceConfig("w", frozenset({"key"}), 8),),
)
ROUTE, OTHER_ROUTE = CONFIG.routes[:2]
REQUEST = JobRequest("a" * 16, "w", "spec", (StepSpec(1, Resources(1, 1, 1), 1.0),))


def pack_float(value: float) -> bytes:
    """Encode a number as MessagePack; earlier builds stored it in place of a job."""
    return msgspec.msgpack.encode(value)


def timing(deadline_s: float) -> RequestTiming:
    """Return the timing of a request that is received now."""
    return RequestTiming(clock_s(), deadline_s)


class Harness:
    """A job service with a table in memory and a replica that the test updates.

    Parameters
    ----------
    table : MemoryTable, optional
        A table that another entry uses too.
    """

    def __init__(self, table: MemoryTable | None = None):
        self.table = table or MemoryTable()
        self.replica = Replica()
        self.operator_view = OperatorView(CONFIG, frozenset())
        self.feed = CellsFeed(self.table, self.replica, lambda *_: None, lambda: None)
        self.feed.step()
        self.written = []  # lists of rows, as they are forwarded
        self.service = self.new_service()

    def new_service(self):
        return JobService(
            self.table,
            self.replica,
            lambda: self.operator_view,
            lambda cell, rows: self.written.append(rows),
        )

    def update_replica(self):
        self.feed.step()

    def submit(self, deadline_s=0.6, route=ROUTE):
        return self.service.submit(route, REQUEST, timing(deadline_s))

    def cancel_in_advance(self, route=ROUTE):
        """Cancel the job, which is not stored in the queue of this route."""
        with pytest.raises(errors.NoJobError):
            self.service.cancel(route, REQUEST.job, timing(1.0))

    def check_cancelled(self):
        """Check that the job is stored, and that all who know it know it cancelled."""
        record = unpack(self.stored_row().value, JobRecord)
        assert record.job == REQUEST.job
        self.update_replica()
        assert self.service.status(ROUTE, REQUEST.job) == JobStatus("cancelled")
        assert self.service.pending_count(ROUTE, timing(1.0)) == 0
        cell = self.replica.cells["cell"]
        assert cell.is_cancelled(cell.jobs[REQUEST.job])
        # A process that no feed reaches knows only the rows that are forwarded to it.
        unfed = Replica()
        for rows in self.written:
            unfed.apply(rows, lambda *_: None)
            for job in unfed.cells["cell"].jobs.values():
                assert unfed.cells["cell"].is_cancelled(job)
        # Nor does one that has yet to read the job from the store.
        service = JobService(
            self.table, Replica(), lambda: self.operator_view, lambda *_: None
        )
        assert service.status(ROUTE, REQUEST.job) == JobStatus("cancelled")

    def submit_job(self, job, deadline_s):
        request = REQUEST._replace(job=job)
        self.service.submit(ROUTE, request, timing(deadline_s))

    def stored_row(self, prefix=JOB_PREFIX):
        return self.table.rows.get(("cell", prefix + REQUEST.job))


@pytest.fixture
def harness(monkeypatch) -> Harness:
    monkeypatch.setattr(job_service_module, "RETRY_PAUSE_S", 0.01)
    return Harness()


class TestRoutes:
    def test_the_longest_prefix_wins(self, harness):
        route, rest = harness.service.route("h", "/jobs/deep/abc", timing(1.0))
        assert (route.queue.name, rest) == ("other", "abc")

    @pytest.mark.parametrize("where", [("h", "/none/x"), ("g", "/jobs/x")])
    def test_other_hosts_and_paths_have_no_queue(self, harness, where):
        with pytest.raises(errors.NoRouteError):
            harness.service.route(*where, timing(1.0))

    def test_without_a_configuration_nothing_is_accepted(self, harness):
        harness.operator_view = OperatorView(None, frozenset())
        start_s = time.monotonic()
        with pytest.raises(errors.NoConfigError):
            harness.service.route("h", "/jobs/x", timing(3.0))
        assert time.monotonic() - start_s < 0.1

    # Guards against the refusal of requests that wait in the accept queue while an
    # entry starts, and are received milliseconds before its configuration.
    def test_a_request_waits_for_the_first_read_of_the_configuration(self, harness):
        view = harness.operator_view
        harness.operator_view = UNREAD_VIEW
        threading.Timer(0.3, setattr, (harness, "operator_view", view)).start()
        route, _ = harness.service.route("h", "/jobs/x", timing(3.0))
        assert route == ROUTE

    def test_a_client_has_time_left_when_no_configuration_is_read(self, harness):
        harness.operator_view = UNREAD_VIEW
        start_s = time.monotonic()
        with pytest.raises(errors.NoConfigError) as caught:
            harness.service.route("h", "/jobs/x", timing(3.0))
        assert time.monotonic() - start_s < 1.5
        assert caught.value.retry_after_s == 1


class TestKeys:
    def test_a_known_key_selects_its_workspace(self, harness):
        assert harness.service.authorize(ROUTE, "key") == "w"

    @pytest.mark.parametrize("key", ["", "other"])
    def test_an_unknown_key_is_refused(self, harness, key):
        with pytest.raises(errors.UnknownKeyError):
            harness.service.authorize(ROUTE, key)

    def test_a_public_route_needs_no_key(self, harness):
        assert harness.service.authorize(CONFIG.routes[2], "") == ""


class TestAcceptance:
    def test_an_accepted_job_is_stored(self, harness):
        harness.submit()
        assert harness.stored_row() is not None

    # Guards against jobs of an entry that had just started and took its own clock for
    # the store's: their age was wrong by hours, and they waited behind all others.
    def test_the_acceptance_is_timed_by_the_stores_clock(self, harness):
        harness.table.clock_offset_s = 50_000.0
        harness.replica = Replica()
        harness.service = harness.new_service()
        harness.submit()
        record = unpack(harness.stored_row().value, JobRecord)
        assert record.accepted_s == pytest.approx(clock_s() + 50_000.0, abs=1.0)

    def test_the_acceptance_is_timed_from_the_receipt(self, harness):
        harness.table.down = True
        timer = threading.Timer(0.4, setattr, (harness.table, "down", False))
        received_s = clock_s()
        timer.start()
        harness.submit(deadline_s=2.0)
        timer.join()
        record = unpack(harness.stored_row().value, JobRecord)
        assert record.accepted_s == pytest.approx(received_s, abs=0.1)

    def test_a_resubmitted_job_is_stored_once(self, harness):
        harness.submit()
        version = harness.stored_row().version
        harness.submit()
        harness.update_replica()
        harness.submit()
        assert harness.stored_row().version == version

    def test_a_write_with_a_lost_reply_is_retried(self, harness):
        harness.table.lose_answers = True
        harness.submit()
        assert harness.stored_row() is not None

    def test_a_refused_job_is_never_stored(self, harness):
        harness.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit()
        harness.table.down = False
        assert harness.table.apply_delayed_writes() == 0
        assert harness.stored_row() is None

    def test_a_short_store_outage_is_waited_out(self, harness):
        harness.table.down = True
        timer = threading.Timer(0.2, setattr, (harness.table, "down", False))
        timer.start()
        harness.submit(deadline_s=2.0)
        timer.join()
        assert harness.stored_row() is not None

    def test_an_unknown_outcome_is_not_a_refusal(self, harness):
        harness.table.delay_writes = True
        with pytest.raises(errors.OutcomeUnknownError):
            harness.submit()
        harness.table.delay_writes = False
        assert harness.table.apply_delayed_writes() == 1
        harness.submit()
        assert len([k for k in harness.table.rows if k[1].startswith(JOB_PREFIX)]) == 1

    def test_nothing_is_written_without_store_contact(self, harness, monkeypatch):
        monkeypatch.setattr(job_service_module, "CONTACT_MAX_AGE_S", -1.0)
        harness.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit()
        assert harness.table.writes == 0

    def test_a_step_must_depend_on_earlier_steps_only(self, harness):
        step = REQUEST.steps[0]._replace(after=(0,))
        with pytest.raises(errors.InvalidJobError):
            harness.service.submit(ROUTE, REQUEST._replace(steps=(step,)), timing(1.0))


class TestDeadlines:
    def test_a_client_gets_a_reply_within_half_of_its_deadline(self, harness):
        harness.table.delay_writes = True
        start_s = time.monotonic()
        with pytest.raises(errors.OutcomeUnknownError):
            harness.submit(deadline_s=1.0)
        assert time.monotonic() - start_s < 0.5

    def test_a_client_is_refused_with_time_left_when_the_store_is_down(self, harness):
        harness.table.down = True
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError) as caught:
            harness.submit(deadline_s=1.0)
        assert time.monotonic() - start_s < 0.5
        assert caught.value.retry_after_s == 0

    # Guards against the loss of a job whose client was told to wait for a second after
    # the entry had waited, so that the store's return fell into that second.
    def test_a_client_that_retries_misses_no_return_of_the_store(self, harness):
        harness.table.down = True
        threading.Timer(1.7, setattr, (harness.table, "down", False)).start()
        end_s = clock_s() + 3.0
        tries = 0
        while harness.stored_row() is None:
            tries += 1
            try:
                harness.submit(deadline_s=end_s - clock_s())
            except errors.StoreUnavailableError as error:
                time.sleep(error.retry_after_s)
        assert tries == 2
        assert clock_s() < end_s - 0.9

    # Guards against the loss of a job whose client was refused, although the store
    # returned within its deadline, and whose retries then found no running entry.
    def test_a_job_is_accepted_when_the_store_returns_in_time(self, harness):
        harness.table.down = True
        timer = threading.Timer(1.0, setattr, (harness.table, "down", False))
        timer.start()
        harness.submit(deadline_s=3.0)
        assert harness.stored_row() is not None

    # Guards against requests that use up their clients' time, and the entry's slots,
    # while nobody knows when the store is back.
    def test_a_client_is_told_to_come_back_during_a_known_outage(self, harness):
        harness.table.down = True
        harness.replica.last_contact_s -= 2.0
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError) as caught:
            harness.submit(deadline_s=3.0)
        assert time.monotonic() - start_s < 0.4
        assert caught.value.retry_after_s == 1

    @pytest.mark.parametrize("returns_after_s", [0.1, 0.9, 1.9, 2.6])
    def test_a_client_that_comes_back_misses_no_end_of_a_known_outage(
        self, harness, returns_after_s
    ):
        harness.table.down = True
        harness.replica.last_contact_s -= 2.0
        timer = threading.Timer(
            returns_after_s, setattr, (harness.table, "down", False)
        )
        timer.start()
        end_s = clock_s() + 3.0
        for _ in range(5):
            try:
                harness.submit(deadline_s=end_s - clock_s())
                break
            except errors.StoreUnavailableError as error:
                time.sleep(error.retry_after_s)
        assert harness.stored_row() is not None
        assert clock_s() < end_s

    def test_requests_over_the_limit_of_waiting_ones_are_refused_at_once(self, harness):
        harness.submit()
        harness.update_replica()
        harness.table.down = True
        with ThreadPoolExecutor(job_service_module.MAX_WAITING_REQUESTS) as pool:
            waiting = [
                pool.submit(harness.submit_job, f"{number:016x}", 3.0)
                for number in range(job_service_module.MAX_WAITING_REQUESTS)
            ]
            time.sleep(0.1)
            start_s = time.monotonic()
            with pytest.raises(errors.StoreUnavailableError) as caught:
                harness.submit_job("f" * 16, 3.0)
            assert caught.value.retry_after_s == 1
            assert harness.service.status(ROUTE, REQUEST.job).state == "pending"
            assert time.monotonic() - start_s < 0.1
            harness.table.down = False
            for future in waiting:
                future.result()

    # Guards against slots that one client's requests take for hours.
    def test_a_wait_is_bounded_whatever_the_deadline(self, harness, monkeypatch):
        monkeypatch.setattr(job_service_module, "MAX_WAIT_S", 0.2)
        harness.table.down = True
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit(deadline_s=10.0)
        assert time.monotonic() - start_s < 0.4

    # Guards against a refusal or an acceptance after the client's deadline.
    def test_no_pause_outlasts_the_remaining_time(self, harness, monkeypatch):
        monkeypatch.setattr(job_service_module, "RETRY_PAUSE_S", 1.0)
        harness.table.down = True
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit(deadline_s=0.4)
        assert time.monotonic() - start_s < 0.3

    def test_no_read_outlasts_the_remaining_time(self, harness):
        timeouts_s = []

        def unanswered_read(partition, first="", end="", timeout_s=None):
            timeouts_s.append(timeout_s)
            time.sleep(timeout_s)
            raise UnavailableError("no reply")

        harness.table.read = unanswered_read
        harness.replica.last_contact_s = float("-inf")
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit(deadline_s=1.0)
        assert time.monotonic() - start_s < 0.6
        assert max(timeouts_s) <= 0.45

    def test_a_request_waits_during_a_short_outage(self, harness):
        harness.table.down = True
        timer = threading.Timer(0.15, setattr, (harness.table, "down", False))
        timer.start()
        harness.submit(deadline_s=3.0)
        assert harness.stored_row() is not None

    def test_no_store_call_outlasts_the_remaining_time(self, harness):
        timeouts_s = []
        commit = harness.table.commit

        def recording_commit(*arguments, timeout_s=None):
            timeouts_s.append(timeout_s)
            return commit(*arguments)

        harness.table.commit = recording_commit
        harness.table.delay_writes = True
        with pytest.raises(errors.OutcomeUnknownError):
            harness.submit(deadline_s=1.0)
        assert max(timeouts_s) <= 0.45


class TestStates:
    def test_only_the_store_can_deny_that_a_job_exists(self, harness):
        with pytest.raises(errors.NoJobError):
            harness.service.status(ROUTE, REQUEST.job)
        harness.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            harness.service.status(ROUTE, REQUEST.job)

    def test_a_job_that_another_entry_accepted_is_read_from_the_store(self, harness):
        harness.submit()
        assert harness.service.status(ROUTE, REQUEST.job).state == "pending"

    def test_a_job_of_another_queue_is_not_shown(self, harness):
        harness.submit()
        with pytest.raises(errors.NoJobError):
            harness.service.status(CONFIG.routes[1], REQUEST.job)

    @pytest.mark.parametrize("state", ["running", "completed", "failed"])
    def test_the_stored_state_is_shown(self, harness, state):
        harness.submit()
        row = pack(JobProgressRow(state, started=True))
        harness.table.commit("cell", {}, {RUN_PREFIX + REQUEST.job: row})
        harness.update_replica()
        assert harness.service.status(ROUTE, REQUEST.job).state == state

    # Guards against a reason that only one way of reading a job returns.
    @pytest.mark.parametrize("read_by_entry", [True, False])
    def test_the_reason_of_a_failed_job_is_shown(self, harness, read_by_entry):
        harness.submit()
        row = pack(JobProgressRow("failed", "step 0 failed 3 times", started=True))
        harness.table.commit("cell", {}, {RUN_PREFIX + REQUEST.job: row})
        if read_by_entry:
            harness.update_replica()
        status = harness.service.status(ROUTE, REQUEST.job)
        assert status == JobStatus("failed", "step 0 failed 3 times")

    # Guards against a reason for a failure that has not come, or never will.
    @pytest.mark.parametrize(
        ("stored", "cancelled", "shown"),
        [
            ("running", False, "running"),
            ("running", True, "cancelled"),
            ("completed", False, "completed"),
            ("cancelled", True, "cancelled"),
        ],
    )
    def test_only_a_failed_job_has_a_reason(self, harness, stored, cancelled, shown):
        harness.submit()
        row = pack(JobProgressRow(stored, "step 0 failed 3 times", started=True))
        harness.table.commit("cell", {}, {RUN_PREFIX + REQUEST.job: row})
        if cancelled:
            cancel_row = pack(CancelRow(0.0))
            key = CANCEL_PREFIX + REQUEST.job
            harness.table.commit("cell", {}, {key: cancel_row})
        harness.update_replica()
        status = harness.service.status(ROUTE, REQUEST.job)
        assert status == JobStatus(shown)


class TestWrittenRows:
    def test_an_accepted_job_is_passed_on_with_its_version(self, harness):
        harness.submit()
        row = harness.stored_row()
        assert harness.written == [[row]]

    def test_a_failed_write_is_not_passed_on(self, harness):
        harness.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit()
        assert not harness.written


class TestCancel:
    def test_a_cancelled_job_is_shown_as_cancelled_at_once(self, harness):
        harness.submit()
        harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        assert harness.stored_row(CANCEL_PREFIX) is not None
        harness.update_replica()
        assert harness.service.status(ROUTE, REQUEST.job).state == "cancelled"

    def test_a_completed_job_is_not_cancelled(self, harness):
        harness.submit()
        row = pack(JobProgressRow("completed", started=True))
        harness.table.commit("cell", {}, {RUN_PREFIX + REQUEST.job: row})
        harness.update_replica()
        harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        assert harness.service.status(ROUTE, REQUEST.job).state == "completed"

    # Guards against a cancellation that is refused, although the store returns within
    # its client's deadline, by an entry that has not read the job yet.
    def test_a_cancellation_waits_for_the_read_of_its_job(self, harness):
        harness.submit()
        harness.table.down = True
        threading.Timer(0.3, setattr, (harness.table, "down", False)).start()
        harness.service.cancel(ROUTE, REQUEST.job, timing(2.0))
        assert harness.stored_row(CANCEL_PREFIX) is not None

    def test_a_client_has_time_left_when_its_job_can_not_be_read(self, harness):
        harness.submit()
        harness.table.down = True
        start_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError) as caught:
            harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        assert time.monotonic() - start_s < 0.5
        assert caught.value.retry_after_s == 0

    def test_a_job_that_does_not_exist_is_not_waited_for(self, harness):
        start_s = time.monotonic()
        with pytest.raises(errors.NoJobError):
            harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        assert time.monotonic() - start_s < 0.1


# Guards against a job that runs although its client has cancelled it: the write of its
# submission, which got no reply, was carried out after the cancellation.
class TestCancelOfAJobThatMayBeStoredLate:
    @pytest.fixture
    def harness(self, harness) -> Harness:
        harness.table.delay_writes = True
        with pytest.raises(errors.OutcomeUnknownError):
            harness.submit(deadline_s=0.2)
        harness.table.delay_writes = False
        return harness

    def cancel(self, harness, route=ROUTE):
        harness.cancel_in_advance(route)

    def test_the_late_write_has_no_effect(self, harness):
        self.cancel(harness)
        assert harness.table.apply_delayed_writes() == 0
        harness.update_replica()
        assert harness.replica.cells["cell"].jobs == {}
        with pytest.raises(errors.NoJobError):
            harness.service.status(ROUTE, REQUEST.job)

    def test_the_cancellation_may_be_repeated(self, harness):
        for _ in range(3):
            self.cancel(harness)
            harness.update_replica()
        assert harness.table.apply_delayed_writes() == 0

    def test_a_job_that_was_stored_meanwhile_is_cancelled(self, harness, monkeypatch):
        cancel_in_advance = harness.service._cancel_in_advance

        def store_first(*arguments):
            harness.table.apply_delayed_writes()
            return cancel_in_advance(*arguments)

        monkeypatch.setattr(harness.service, "_cancel_in_advance", store_first)
        harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        assert harness.stored_row(CANCEL_PREFIX) is not None
        assert harness.service.status(ROUTE, REQUEST.job).state == "cancelled"

    # Guards against a job that runs although its client has cancelled it: a late copy
    # of its submission was taken for a new job, since its entry knew of the
    # cancellation.
    def test_a_later_submission_is_stored_as_cancelled(self, harness):
        self.cancel(harness)
        harness.update_replica()
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()
        version = harness.stored_row().version
        assert harness.submit() == JobStatus("cancelled")
        assert harness.table.apply_delayed_writes() == 0
        assert harness.stored_row().version == version

    # Guards against a submission that its entry still holds, since a write got no
    # answer, and that takes a later cancellation for an earlier one.
    def test_a_submission_that_waits_does_not_outlive_the_cancellation(self, harness):
        commit = harness.table.commit

        def cancel_first(*arguments, **options):
            harness.table.commit = commit
            self.cancel(harness)
            raise UnknownOutcomeError("no reply")

        harness.table.commit = cancel_first
        assert harness.submit(deadline_s=2.0) == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against a job that is submitted between two cancellations and runs after
    # the second one.
    def test_a_second_cancellation_covers_a_submission_between_the_two(self, harness):
        self.cancel(harness)
        harness.update_replica()
        commit = harness.table.commit

        def cancel_first(*arguments, **options):
            harness.table.commit = commit
            self.cancel(harness)
            raise UnknownOutcomeError("no reply")

        harness.table.commit = cancel_first
        assert harness.submit(deadline_s=2.0) == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against a late write of such a submission.
    def test_a_second_cancellation_covers_a_late_write_between_the_two(self, harness):
        self.cancel(harness)
        harness.update_replica()
        commit = harness.table.commit

        def delay_later_writes(*arguments, **options):
            harness.table.commit = commit
            harness.table.delay_writes = True
            return commit(*arguments, **options)

        def meet_the_cancellation(*arguments, **options):
            harness.table.commit = delay_later_writes
            return commit(*arguments, **options)

        harness.table.commit = meet_the_cancellation
        with pytest.raises(errors.OutcomeUnknownError):
            harness.submit(deadline_s=0.2)
        harness.table.delay_writes = False
        self.cancel(harness)
        assert harness.table.apply_delayed_writes() == 0
        harness.update_replica()
        assert harness.replica.cells["cell"].jobs == {}

    # Such rows are written during a rolling update, and stay after it.
    @pytest.mark.parametrize("void", [b"\xc0", pack_float(12.5)])
    @pytest.mark.parametrize("is_known", [False, True])
    def test_a_void_of_an_earlier_build_cancels_the_job(self, harness, void, is_known):
        harness.table.commit("cell", {}, {f"job/{REQUEST.job}": void})
        if is_known:
            harness.update_replica()
        with pytest.raises(errors.NoJobError):
            harness.service.status(ROUTE, REQUEST.job)
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()

    def test_a_void_of_an_earlier_build_is_cancelled_again(self, harness):
        harness.table.commit("cell", {}, {f"job/{REQUEST.job}": pack_float(12.5)})
        self.cancel(harness)
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()

    # An entry of an earlier build stores a job without regard to cancellations.
    def test_a_job_that_an_earlier_build_stores_late_is_cancelled(self, harness):
        self.cancel(harness)
        record = JobRecord(REQUEST.job, "q", "w", 0.0, "spec", REQUEST.steps)
        harness.table.commit(
            "cell", {f"job/{REQUEST.job}": 0}, {f"job/{REQUEST.job}": pack(record)}
        )
        harness.written.clear()
        harness.check_cancelled()

    # Guards against an acknowledgement of what was not stored.
    @pytest.mark.parametrize("key", [JOB_PREFIX, CANCEL_PREFIX])
    def test_nothing_is_acknowledged_beside_an_unreadable_row(self, harness, key):
        commit = harness.table.commit

        def leave_out_rows(*arguments, **options):
            try:
                return commit(*arguments, **options)
            except RowConflictError as error:
                raise RowConflictError("a row is left out", {}) from error

        harness.table.commit("cell", {}, {key + REQUEST.job: b"\xc1"})
        harness.table.commit = leave_out_rows
        harness.service._find_status = self.find_no_job
        with pytest.raises(errors.StoreUnavailableError):
            harness.service.cancel(ROUTE, REQUEST.job, timing(1.0))
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit()

    def find_no_job(self, *arguments):
        raise errors.NoJobError("no such job")

    def test_a_job_of_another_queue_is_not_cancelled(self, harness):
        harness.table.apply_delayed_writes()
        self.cancel(harness, OTHER_ROUTE)
        assert harness.service.status(ROUTE, REQUEST.job).state == "pending"

    # The job that one queue has not got is another one in another queue.
    def test_a_later_job_of_another_queue_is_not_cancelled(self, harness):
        self.cancel(harness, OTHER_ROUTE)
        assert harness.submit() == JobStatus("pending")
        harness.update_replica()
        assert harness.service.status(ROUTE, REQUEST.job) == JobStatus("pending")
        assert harness.service.pending_count(ROUTE, timing(1.0)) == 1
        with pytest.raises(errors.InvalidJobError):
            harness.submit(route=OTHER_ROUTE)

    @pytest.mark.parametrize("routes", [(0, 1), (1, 0)])
    def test_the_job_may_be_cancelled_in_two_queues(self, harness, routes):
        for number in routes:
            self.cancel(harness, CONFIG.routes[number])
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()

    def test_a_client_is_told_of_a_store_that_is_away(self, harness):
        reads = harness.table.read

        def read_then_fail(*arguments):
            page = reads(*arguments)
            harness.table.down = True
            return page

        harness.table.read = read_then_fail
        with pytest.raises(errors.StoreUnavailableError):
            harness.service.cancel(ROUTE, REQUEST.job, timing(0.5))


class TestCancelAtAnotherEntry:
    """A submission at one entry and the cancellation of its job at another one.

    Guards against a job that runs although its client has cancelled it: the submission,
    which waited or arrived again, was taken for a later one.
    """

    @pytest.fixture
    def other(self, harness) -> Harness:
        other = Harness(harness.table)
        other.update_replica()
        return other

    def submit_with_lost_write(self, harness, meanwhile):
        """Submit a job; its first write fails, and `meanwhile` is called before."""
        commit = harness.table.commit

        def fail_once(*arguments, **options):
            harness.table.commit = commit
            meanwhile()
            raise UnknownOutcomeError("no reply")

        harness.table.commit = fail_once
        return harness.submit(deadline_s=2.0)

    # Each entry estimates the store's clock by its latest reply, which may be late.
    @pytest.mark.parametrize("late_s", [-0.5, 0.5, 5.0])
    def test_the_entries_clocks_differ(self, harness, other, monkeypatch, late_s):
        monkeypatch.setattr(other.replica, "set_store_clock", lambda store_s: None)
        other.replica._offset_s = -late_s
        status = self.submit_with_lost_write(harness, other.cancel_in_advance)
        assert status == JobStatus("cancelled")
        harness.check_cancelled()

    # A cancellation counts from its write, which may take seconds.
    def test_the_write_of_the_cancellation_is_slow(self, harness, other):
        commit = harness.table.commit
        submissions = []

        def submit_first(*arguments, **options):
            harness.table.commit = commit
            time.sleep(0.05)
            submissions.append(timing(2.0))
            return commit(*arguments, **options)

        harness.table.commit = submit_first
        other.cancel_in_advance()
        status = harness.service.submit(ROUTE, REQUEST, submissions[0])
        assert status == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against an entry that takes a late copy of the submission for a new job,
    # since it knew of the cancellation before the copy arrived.
    @pytest.mark.parametrize("is_known", [False, True])
    def test_a_repeated_submission_stays_cancelled(self, harness, other, is_known):
        with pytest.raises(errors.OutcomeUnknownError):
            harness.table.delay_writes = True
            harness.submit(deadline_s=0.2)
        harness.table.delay_writes = False
        other.cancel_in_advance()
        if is_known:
            harness.update_replica()
        for entry in (harness, other):
            with pytest.raises(errors.NoJobError):
                entry.service.status(ROUTE, REQUEST.job)
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()
        other.update_replica()
        assert other.submit() == JobStatus("cancelled")
        assert other.service.status(ROUTE, REQUEST.job) == JobStatus("cancelled")
        other.service.cancel(ROUTE, REQUEST.job, timing(1.0))

    def test_a_lost_write_of_a_repeated_submission(self, harness, other):
        other.cancel_in_advance()
        harness.update_replica()
        status = self.submit_with_lost_write(harness, lambda: None)
        assert status == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against a request that a frozen entry reads only after it has heard of a
    # cancellation that was answered meanwhile.
    def test_a_submission_that_was_received_before_its_entry_knew(self, harness, other):
        received = timing(2.0)
        time.sleep(0.01)
        other.cancel_in_advance()
        harness.update_replica()
        status = harness.service.submit(ROUTE, REQUEST, received)
        assert status == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against a client that never gets an answer, since the feed of its entry is
    # silent.
    def test_an_entry_without_a_feed_answers_at_once(self, harness, other):
        other.cancel_in_advance()
        assert harness.submit() == JobStatus("cancelled")
        harness.check_cancelled()

    # Guards against a write whose reply is lost and that a cancellation follows.
    def test_a_job_that_was_stored_and_then_cancelled(self, harness, other):
        commit = harness.table.commit

        def lose_reply(*arguments, **options):
            harness.table.commit = commit
            commit(*arguments, **options)
            other.update_replica()
            other.service.cancel(ROUTE, REQUEST.job, timing(1.0))
            raise UnknownOutcomeError("no reply")

        harness.table.commit = lose_reply
        assert harness.submit(deadline_s=2.0) == JobStatus("cancelled")
        harness.written.clear()
        harness.check_cancelled()


class TestWaitingJobs:
    def test_jobs_without_a_started_task_are_counted(self, harness):
        harness.submit()
        harness.update_replica()
        assert harness.service.pending_count(ROUTE, timing(1.0)) == 1
        assert harness.service.pending_count(CONFIG.routes[1], timing(1.0)) == 0
        row = pack(JobProgressRow("running", started=True))
        harness.table.commit("cell", {}, {RUN_PREFIX + REQUEST.job: row})
        harness.update_replica()
        assert harness.service.pending_count(ROUTE, timing(1.0)) == 0

    # Guards against a count that leaves out all jobs that an entry has not read yet.
    def test_an_entry_counts_only_after_its_first_read(self, harness):
        harness.submit()
        harness.replica = Replica()
        feed = CellsFeed(harness.table, harness.replica, lambda *_: None, lambda: None)
        service = harness.new_service()
        threading.Timer(0.2, feed.step).start()
        assert service.pending_count(ROUTE, timing(2.0)) == 1

    def test_an_entry_that_has_read_nothing_counts_nothing(self, harness):
        harness.replica = Replica()
        with pytest.raises(errors.StoreUnavailableError):
            harness.new_service().pending_count(ROUTE, timing(0.4))


@pytest.fixture
def log_lines():
    """Collect the fields of all logged events."""
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    yield lines
    logger.remove(sink)


class TestLogs:
    # Guards against a request that leaves no line if its entry loses power meanwhile.
    def test_a_held_request_is_logged_once_while_it_waits(self, harness, log_lines):
        harness.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            harness.submit(deadline_s=1.0)
        events = [line["event"] for line in log_lines if "event" in line]
        assert events[0] == "request_waits"
        assert events.count("request_waits") == 1
        assert log_lines[0]["key"] == f"job/{REQUEST.job}"
        assert 0 < log_lines[0]["until_s"] < 0.5

    def test_a_refusal_shows_the_time_held_and_the_time_left(self, harness, log_lines):
        harness.table.down = True
        timing_of_request = timing(2.0)
        with pytest.raises(errors.StoreUnavailableError) as caught:
            harness.service.submit(ROUTE, REQUEST, timing_of_request)
        harness.service.log_refusal("POST", "/x", caught.value, timing_of_request)
        (line,) = [line for line in log_lines if line.get("event") == "request_refused"]
        assert (line["deadline_s"], line["retry_after_s"]) == (2.0, 0)
        assert 0.2 < line["held_s"] < 2.0

    # Guards against a job that runs although no line says that it was accepted.
    @pytest.mark.parametrize("read_by_entry", [True, False])
    def test_a_job_that_is_already_stored_is_logged(
        self, harness, log_lines, read_by_entry
    ):
        harness.submit()
        if read_by_entry:
            harness.update_replica()
        log_lines.clear()
        harness.submit()
        (line,) = [line for line in log_lines if line.get("event") == "job_known"]
        assert line["job"] == REQUEST.job
        assert line["held_s"] < 0.5


class TestReplica:
    def test_all_rows_are_read_again_after_lost_history(self, harness):
        harness.submit()
        harness.table.forget_history()
        harness.update_replica()
        harness.update_replica()
        assert REQUEST.job in harness.replica.cell("cell").jobs

    def test_an_older_version_of_a_row_is_ignored(self, harness):
        harness.submit()
        job = RUN_PREFIX + REQUEST.job
        harness.table.commit("cell", {}, {job: pack(JobProgressRow("running"))})
        old = harness.table.rows[("cell", job)]
        harness.table.commit("cell", {}, {job: pack(JobProgressRow("completed"))})
        harness.update_replica()
        harness.replica.apply([old], lambda *_: None)
        assert harness.service.status(ROUTE, REQUEST.job).state == "completed"

    def test_an_undecodable_row_is_skipped(self, harness):
        harness.table.commit(
            "cell", {}, {RUN_PREFIX + "x": b"\xc1", JOB_PREFIX + "y": b"no"}
        )
        harness.submit()
        harness.update_replica()
        assert REQUEST.job in harness.replica.cell("cell").jobs
