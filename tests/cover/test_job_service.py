from __future__ import annotations

import threading
import time

import pytest
from cicadabank.control import errors
from cicadabank.control.internal import job_service as job_service_module
from cicadabank.control.internal.feed import CellsFeed, OperatorView
from cicadabank.control.internal.job_service import JobDesk, JobRequest
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    CANCEL,
    JOB,
    RUN,
    ConfigView,
    Need,
    QueueView,
    RouteView,
    RunRow,
    StepSpec,
    WorkspaceView,
    pack,
)
from cicadabank.standin import MemoryTable

QUEUE = QueueView("q", "cell", 1, 3, 3.0, 1.0)
OTHER = QueueView("other", "cell", 1, 3, 3.0, 1.0)
CONFIG = ConfigView(
    7,
    (
        RouteView("h", "/jobs/", False, QUEUE),
        RouteView("h", "/jobs/deep/", False, OTHER),
        RouteView("h", "/open/", True, QUEUE),
    ),
    (WorkspaceView("w", frozenset({"key"}), 8),),
)
ROUTE = CONFIG.routes[0]
REQUEST = JobRequest("a" * 16, "w", "spec", (StepSpec(1, Need(1, 1, 1), 1.0),))


class World:
    """A desk, its table, and a replica that is brought up to date by hand."""

    def __init__(self):
        self.table = MemoryTable()
        self.replica = Replica()
        self.config = CONFIG
        self.feed = CellsFeed(self.table, self.replica, lambda *_: None, lambda: None)
        self.feed.step()
        self.written = []
        self.desk = JobDesk(
            self.table,
            self.replica,
            lambda: OperatorView(self.config, frozenset()),
            self.written.append,
        )

    def follow(self):
        self.feed.step()

    def submit(self, deadline_s=0.6):
        self.desk.submit(ROUTE, REQUEST, deadline_s)

    def stored(self, prefix=JOB):
        return self.table.rows.get(("cell", prefix + REQUEST.job))


@pytest.fixture
def world(monkeypatch) -> World:
    monkeypatch.setattr(job_service_module, "RETRY_PAUSE_S", 0.01)
    return World()


class TestRoutes:
    def test_the_longest_prefix_wins(self, world):
        route, rest = world.desk.route("h", "/jobs/deep/abc")
        assert (route.queue.name, rest) == ("other", "abc")

    @pytest.mark.parametrize("where", [("h", "/none/x"), ("g", "/jobs/x")])
    def test_other_hosts_and_paths_have_no_queue(self, world, where):
        with pytest.raises(errors.NoRouteError):
            world.desk.route(*where)

    def test_without_a_configuration_nothing_is_accepted(self, world):
        world.config = None
        with pytest.raises(errors.NoConfigError):
            world.desk.route("h", "/jobs/x")


class TestKeys:
    def test_a_known_key_names_its_workspace(self, world):
        assert world.desk.authorize(ROUTE, "key") == "w"

    @pytest.mark.parametrize("key", ["", "other"])
    def test_an_unknown_key_is_refused(self, world, key):
        with pytest.raises(errors.UnknownKeyError):
            world.desk.authorize(ROUTE, key)

    def test_a_public_route_needs_none(self, world):
        assert world.desk.authorize(CONFIG.routes[2], "") == ""


class TestAcceptance:
    def test_an_accepted_job_is_stored(self, world):
        world.submit()
        assert world.stored() is not None

    def test_a_repeated_job_stays_one(self, world):
        world.submit()
        version = world.stored().version
        world.submit()
        world.follow()
        world.submit()
        assert world.stored().version == version

    def test_a_lost_answer_is_asked_again(self, world):
        world.table.lose_answers = True
        world.submit()
        assert world.stored() is not None

    def test_a_refusal_is_true(self, world):
        world.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            world.submit()
        world.table.down = False
        assert world.table.carry_out_lost() == 0
        assert world.stored() is None

    def test_a_store_that_is_soon_back_is_waited_for(self, world):
        world.table.down = True
        timer = threading.Timer(0.2, setattr, (world.table, "down", False))
        timer.start()
        world.submit(deadline_s=2.0)
        timer.join()
        assert world.stored() is not None

    def test_an_unknown_outcome_is_no_refusal(self, world):
        world.table.lose_writes = True
        with pytest.raises(errors.OutcomeUnknownError):
            world.submit()
        world.table.lose_writes = False
        assert world.table.carry_out_lost() == 1
        world.submit()
        assert len([k for k in world.table.rows if k[1].startswith(JOB)]) == 1

    def test_nothing_is_written_when_the_store_was_not_heard(self, world, monkeypatch):
        monkeypatch.setattr(job_service_module, "CONTACT_MAX_AGE_S", -1.0)
        world.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            world.submit()
        assert world.table.writes == 0

    def test_steps_must_come_after_earlier_ones(self, world):
        step = REQUEST.steps[0]._replace(after=(0,))
        with pytest.raises(errors.InvalidJobError):
            world.desk.submit(ROUTE, REQUEST._replace(steps=(step,)), 1.0)


class TestDeadlines:
    def test_a_caller_is_answered_in_half_of_its_time(self, world):
        world.table.lose_writes = True
        began_s = time.monotonic()
        with pytest.raises(errors.OutcomeUnknownError):
            world.submit(deadline_s=1.0)
        assert time.monotonic() - began_s < 0.5

    def test_a_caller_is_sent_away_soon_when_the_store_is_away(self, world):
        world.table.down = True
        began_s = time.monotonic()
        with pytest.raises(errors.StoreUnavailableError) as caught:
            world.submit(deadline_s=3.0)
        assert time.monotonic() - began_s < 0.5
        assert caught.value.retry_after_s == 1

    def test_a_caller_is_held_for_a_short_outage(self, world):
        world.table.down = True
        back = threading.Timer(0.15, setattr, (world.table, "down", False))
        back.start()
        world.submit(deadline_s=3.0)
        assert world.stored() is not None

    def test_no_call_outlasts_what_is_left(self, world):
        timeouts_s = []
        commit = world.table.commit

        def noted(*arguments, timeout_s=None):
            timeouts_s.append(timeout_s)
            return commit(*arguments)

        world.table.commit = noted
        world.table.lose_writes = True
        with pytest.raises(errors.OutcomeUnknownError):
            world.submit(deadline_s=1.0)
        assert max(timeouts_s) <= 0.45


class TestStates:
    def test_an_unknown_job_is_only_denied_by_the_store(self, world):
        with pytest.raises(errors.NoJobError):
            world.desk.state(ROUTE, REQUEST.job)
        world.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            world.desk.state(ROUTE, REQUEST.job)

    def test_a_job_that_another_entry_accepted_is_read_from_the_store(self, world):
        world.submit()
        assert world.desk.state(ROUTE, REQUEST.job) == "pending"

    def test_a_job_of_another_queue_is_not_shown(self, world):
        world.submit()
        with pytest.raises(errors.NoJobError):
            world.desk.state(CONFIG.routes[1], REQUEST.job)

    @pytest.mark.parametrize("state", ["running", "completed", "failed"])
    def test_the_stored_state_is_shown(self, world, state):
        world.submit()
        row = pack(RunRow(state, started=True))
        world.table.commit("cell", {}, {RUN + REQUEST.job: row})
        world.follow()
        assert world.desk.state(ROUTE, REQUEST.job) == state


class TestWritten:
    def test_an_accepted_job_is_handed_on_with_its_version(self, world):
        world.submit()
        row = world.stored()
        assert world.written == [row]

    def test_what_was_not_written_is_not_handed_on(self, world):
        world.table.down = True
        with pytest.raises(errors.StoreUnavailableError):
            world.submit()
        assert not world.written


class TestCancel:
    def test_a_cancelled_job_is_shown_so_at_once(self, world):
        world.submit()
        world.desk.cancel(ROUTE, REQUEST.job, 1.0)
        assert world.stored(CANCEL) is not None
        world.follow()
        assert world.desk.state(ROUTE, REQUEST.job) == "cancelled"

    def test_a_completed_job_stays_so(self, world):
        world.submit()
        row = pack(RunRow("completed", started=True))
        world.table.commit("cell", {}, {RUN + REQUEST.job: row})
        world.follow()
        world.desk.cancel(ROUTE, REQUEST.job, 1.0)
        assert world.desk.state(ROUTE, REQUEST.job) == "completed"


class TestWaiting:
    def test_jobs_without_a_started_task_are_counted(self, world):
        world.submit()
        world.follow()
        assert world.desk.waiting(ROUTE) == 1
        assert world.desk.waiting(CONFIG.routes[1]) == 0
        row = pack(RunRow("running", started=True))
        world.table.commit("cell", {}, {RUN + REQUEST.job: row})
        world.follow()
        assert world.desk.waiting(ROUTE) == 0


class TestReplica:
    def test_a_lost_history_is_read_again(self, world):
        world.submit()
        world.table.forget_history()
        world.follow()
        world.follow()
        assert REQUEST.job in world.replica.cell("cell").jobs

    def test_versions_never_go_back(self, world):
        world.submit()
        job = RUN + REQUEST.job
        world.table.commit("cell", {}, {job: pack(RunRow("running"))})
        old = world.table.rows[("cell", job)]
        world.table.commit("cell", {}, {job: pack(RunRow("completed"))})
        world.follow()
        world.replica.apply([old], lambda *_: None)
        assert world.desk.state(ROUTE, REQUEST.job) == "completed"

    def test_an_unreadable_row_is_passed_over(self, world):
        world.table.commit("cell", {}, {RUN + "x": b"\xc1", JOB + "y": b"no"})
        world.submit()
        world.follow()
        assert REQUEST.job in world.replica.cell("cell").jobs
