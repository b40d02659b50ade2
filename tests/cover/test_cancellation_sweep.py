"""Removal of old cancellations of jobs that were never stored."""

from __future__ import annotations

import msgspec
import pytest
from cicadabank.control.errors import NoJobError
from cicadabank.control.internal import cancellation_sweep as sweep_module
from cicadabank.control.internal import replica as replica_module
from cicadabank.control.internal.cancellation_sweep import (
    KEPT_S,
    MAX_KEPT,
    MIN_KEPT_S,
    CancellationSweep,
    expired,
)
from cicadabank.control.internal.job_service import JobStatus
from cicadabank.control.internal.replica import StoredCancel
from cicadabank.scheduling import (
    CANCEL_PREFIX,
    HOLDER_KEY,
    JOB_PREFIX,
    CancelRow,
    HolderRow,
    JobRecord,
    pack,
)
from cicadabank.store import StoredRow, UnavailableError

from tests.cover.test_job_service import REQUEST, ROUTE, Harness, timing

CANCEL_KEY, JOB_KEY = CANCEL_PREFIX + REQUEST.job, JOB_PREFIX + REQUEST.job
OLD_S = -(KEPT_S + 10.0)  # relative to the store's clock


class SweptCell(Harness):
    """An entry that holds a cell and sweeps it."""

    def __init__(self):
        super().__init__()
        self.put({HOLDER_KEY: pack(HolderRow(1, "e", "1.2.3.4:5"))})
        self.sweeper = CancellationSweep(
            self.table, self.replica, lambda: ["cell"], self.apply
        )

    def apply(self, cell, rows):
        self.replica.apply(rows, lambda *_: None)

    def put(self, rows):
        self.table.commit("cell", {}, rows)
        self.update_replica()

    def put_cancel(self, age_s, job=REQUEST.job):
        at_s = self.replica.store_now_s() - age_s
        self.put({CANCEL_PREFIX + job: pack(CancelRow(at_s, ("q",)))})

    def record(self):
        return pack(JobRecord(REQUEST.job, "q", "w", 0.0, "spec", REQUEST.steps))

    def stored_keys(self):
        return {key for _, key in self.table.rows}

    def sweep(self):
        self.sweeper.sweep("cell")


@pytest.fixture
def cell() -> SweptCell:
    return SweptCell()


class TestSweep:
    # Guards against rows that stay for ever, one for each job that is cancelled before
    # it is submitted.
    def test_an_old_cancellation_is_removed(self, cell):
        cell.put_cancel(-OLD_S)
        cell.sweep()
        assert CANCEL_KEY not in cell.stored_keys()
        assert not cell.replica.cells["cell"].cancelled

    # Guards against a late submission that runs since its cancellation is forgotten.
    @pytest.mark.parametrize("age_s", [0.0, 130.0, KEPT_S - 60.0])
    def test_a_younger_one_stays(self, cell, age_s):
        cell.put_cancel(age_s)
        cell.sweep()
        assert CANCEL_KEY in cell.stored_keys()
        assert cell.submit() == JobStatus("cancelled")

    def test_that_of_a_stored_job_stays(self, cell):
        cell.submit()
        cell.put_cancel(-OLD_S)
        cell.sweep()
        assert {CANCEL_KEY, JOB_KEY} <= cell.stored_keys()
        assert cell.service.status(ROUTE, REQUEST.job) == JobStatus("cancelled")

    def test_the_id_is_that_of_a_new_job_afterwards(self, cell):
        cell.put_cancel(-OLD_S)
        cell.sweep()
        assert cell.submit() == JobStatus("pending")
        cell.update_replica()
        assert cell.service.status(ROUTE, REQUEST.job) == JobStatus("pending")

    @pytest.mark.parametrize("void", [b"\xc0", msgspec.msgpack.encode(OLD_S)])
    def test_voids_of_earlier_builds_are_removed(self, cell, void):
        cell.put({JOB_KEY: void})
        cell.put_cancel(-OLD_S)
        cell.sweep()
        cell.sweep()
        assert not {JOB_KEY, CANCEL_KEY} & cell.stored_keys()
        assert not cell.replica.cells["cell"].voids

    def test_a_young_void_stays(self, cell):
        void = msgspec.msgpack.encode(cell.replica.store_now_s())
        cell.put({JOB_KEY: void})
        cell.sweep()
        assert cell.submit() == JobStatus("cancelled")

    def test_a_job_that_is_stored_meanwhile_stays_cancelled(self, cell):
        cell.put_cancel(-OLD_S)
        cell.table.commit("cell", {}, {JOB_KEY: cell.record()})
        for _ in range(2):
            cell.sweep()
            assert {CANCEL_KEY, JOB_KEY} <= cell.stored_keys()
        assert cell.service.status(ROUTE, REQUEST.job) == JobStatus("cancelled")

    def test_a_cancellation_that_is_renewed_meanwhile_stays(self, cell):
        cell.put_cancel(-OLD_S)
        row = pack(CancelRow(cell.replica.store_now_s(), ("q",)))
        cell.table.commit("cell", {}, {CANCEL_KEY: row})
        for _ in range(2):
            cell.sweep()
            assert CANCEL_KEY in cell.stored_keys()

    def test_one_that_changes_keeps_the_others_only_until_the_next_sweep(self, cell):
        for number in range(10):
            cell.put_cancel(-OLD_S, f"{number:016x}")
        cell.put_cancel(-OLD_S)
        cell.table.commit("cell", {}, {JOB_KEY: cell.record()})
        cell.sweep()
        cell.sweep()
        left = {key for key in cell.stored_keys() if key.startswith(CANCEL_PREFIX)}
        assert left == {CANCEL_KEY}

    # Guards against a job that its holder takes for cancelled: an entry that held the
    # cell before removes the cancellation, and the holder doesn't know of it yet.
    def test_an_earlier_holder_removes_nothing(self, cell):
        cell.put_cancel(-OLD_S)
        row = pack(HolderRow(2, "f", "1.2.3.4:6"))
        cell.table.commit("cell", {}, {HOLDER_KEY: row})
        cell.sweep()
        assert CANCEL_KEY in cell.stored_keys()

    def test_many_are_removed_within_the_limits_of_a_write(self, cell):
        for number in range(250):
            cell.put_cancel(-OLD_S, f"{number:016x}")
        writes = cell.table.writes
        cell.sweep()
        assert cell.stored_keys() == {HOLDER_KEY}
        assert cell.table.writes - writes == 8

    def test_a_store_that_is_away_is_tried_again(self, cell):
        cell.put_cancel(-OLD_S)
        cell.table.down = True
        with pytest.raises(UnavailableError):
            cell.sweep()
        cell.table.down = False
        cell.sweep()
        assert CANCEL_KEY not in cell.stored_keys()

    def test_each_step_sweeps_the_cells_that_are_held(self, cell, monkeypatch):
        monkeypatch.setattr(sweep_module, "SWEEP_INTERVAL_S", 0.0)
        cell.put_cancel(-OLD_S)
        cell.sweeper.step()
        assert CANCEL_KEY not in cell.stored_keys()


class TestExpiry:
    def stored(self, *ages_s):
        return {
            f"{CANCEL_PREFIX}{number}": StoredCancel(CancelRow(-age_s), 1)
            for number, age_s in enumerate(ages_s)
        }

    def test_the_oldest_come_first(self):
        rows = self.stored(KEPT_S + 1, KEPT_S - 1, KEPT_S + 2)
        assert expired(rows, 0.0) == [f"{CANCEL_PREFIX}2", f"{CANCEL_PREFIX}0"]

    def test_a_surplus_goes_earlier_but_not_at_once(self, monkeypatch):
        monkeypatch.setattr(sweep_module, "MAX_KEPT", 2)
        rows = self.stored(1.0, MIN_KEPT_S + 1, MIN_KEPT_S + 2, MIN_KEPT_S + 3, 0.0)
        expected = [f"{CANCEL_PREFIX}{number}" for number in (3, 2, 1)]
        assert expired(rows, 0.0) == expected

    # Guards against a client that cancels random ids as fast as the store writes them.
    def test_a_flood_is_bounded(self):
        per_step, step_s = 800, 10.0
        rows, most = {}, 0
        for step in range(360):
            now_s = step * step_s
            for number in range(per_step):
                cancel = StoredCancel(CancelRow(now_s), 1)
                rows[f"{CANCEL_PREFIX}{step}.{number}"] = cancel
            most = max(most, len(rows))
            for key in expired(rows, now_s):
                del rows[key]
        assert most <= max(MAX_KEPT, per_step * MIN_KEPT_S / step_s) + 2 * per_step


class TestReplicas:
    """What other processes know of removed cancellations."""

    @pytest.fixture
    def other(self, cell) -> Harness:
        cell.put_cancel(-OLD_S)
        other = Harness(cell.table)
        other.update_replica()
        assert other.replica.cells["cell"].cancelled
        return other

    def check_forgotten(self, cell, other):
        cell.submit()
        other.update_replica()
        assert other.service.status(ROUTE, REQUEST.job) == JobStatus("pending")

    def test_the_feed_tells_of_a_removal(self, cell, other):
        cell.sweep()
        other.update_replica()
        assert not other.replica.cells["cell"].cancelled
        self.check_forgotten(cell, other)

    # Guards against an entry that shows a new job as cancelled, since it has not heard
    # of a removal before the history of changes was lost.
    def test_a_removal_is_noticed_after_lost_history(self, cell, other):
        cell.put_cancel(1.0, "b" * 16)
        void = msgspec.msgpack.encode(OLD_S)
        cell.put({JOB_PREFIX + "c" * 16: void})
        other.update_replica()
        cell.sweep()
        cell.table.forget_history()
        other.update_replica()  # finds that the history is lost
        other.update_replica()
        rows = other.replica.cells["cell"]
        assert (set(rows.cancelled), set(rows.voids)) == ({"b" * 16}, set())
        self.check_forgotten(cell, other)

    def test_what_changes_after_the_read_began_stays(self, cell, other):
        rows = other.replica.cells["cell"]
        version = rows.cancelled[REQUEST.job].version
        other.replica.remove_missing("cell", set(), version, lambda *_: None)
        assert rows.cancelled
        other.replica.remove_missing("other", set(), 999, lambda *_: None)
        assert set(other.replica.cells) == {"cell"}
        other.replica.remove_missing("cell", set(), version + 1, lambda *_: None)
        assert not rows.cancelled

    def test_a_row_that_arrives_after_its_removal_is_ignored(self, cell, other):
        late = cell.table.rows[("cell", CANCEL_KEY)]
        cell.sweep()
        other.update_replica()
        other.replica.apply([late], lambda *_: None)
        assert not other.replica.cells["cell"].cancelled

    # Guards against processes that grow with each row that was ever removed.
    def test_removed_rows_take_no_memory(self, cell, monkeypatch):
        monkeypatch.setattr(replica_module, "REMOVAL_MEMORY_S", 0.0)
        known = len(cell.replica._versions)
        for number in range(200):
            row = StoredRow("cell", f"{CANCEL_PREFIX}{number}", None, 1000 + number)
            cell.replica.apply([row], lambda *_: None)
        assert len(cell.replica._versions) <= known + 1
        assert len(cell.replica._removed) == 1


class TestUnknownJobs:
    def test_a_job_is_unknown_before_and_after_the_removal(self, cell):
        cell.cancel_in_advance()
        with pytest.raises(NoJobError):
            cell.service.status(ROUTE, REQUEST.job)
        cell.put_cancel(-OLD_S)
        cell.sweep()
        with pytest.raises(NoJobError):
            cell.service.cancel(ROUTE, REQUEST.job, timing(1.0))
