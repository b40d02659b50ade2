"""Entries take over a cell from others, on a table in memory."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from typing import NamedTuple

import pytest
from cicadabank.control.internal import cell_holder as cell_holder_module
from cicadabank.control.internal import entry as entry_module
from cicadabank.scheduling import (
    AGENT_PREFIX,
    EARLIER_LEASES_KEY,
    HOLDER_KEY,
    HOLDER_LOAD_KEY,
    LEASE_KEY,
    AgentRow,
    EarlierLeasesRow,
    HolderLoadRow,
    HolderRow,
    LeaseRow,
    pack,
    unpack,
)
from cicadabank.standin import MemoryTable
from cicadabank.tasks import clock_s
from cicadabank.wire import fleet_pb2

from tests.support.addresses import unused_address
from tests.support.cell_entries import (
    CELL,
    TARGET,
    TIMINGS,
    CellEntry,
    cell_entry_running,
    silent_address,
    write_holder,
    write_running_job,
)
from tests.support.platform import wait_for


def target_report(number: int) -> fleet_pb2.TargetReport:
    return fleet_pb2.TargetReport(
        cell=CELL,
        agent=TARGET.agent,
        agent_run="1",
        number=number,
        target=TARGET.target,
        observed=True,
        incarnation=TARGET.incarnation,
        domain="d",
    )


@pytest.fixture
def stack(monkeypatch):
    # Holders without a reply to a ping lose their cell sooner.
    monkeypatch.setattr(entry_module, "HOLDER_LEASE_S", 0.6)
    monkeypatch.setattr(entry_module, "PING_AFTER_S", 0.2)
    monkeypatch.setattr(entry_module, "UNRESPONSIVE_LEASE_S", 0.3)
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def table() -> MemoryTable:
    table = MemoryTable()
    table.clock_offset_s = 1000.0
    write_running_job(table)
    return table


def release_s(entry: CellEntry) -> float:
    """Return when an entry gives up a target that doesn't report to it."""
    state = entry.wait_for_holder().scheduler.state
    return state.unreported_lease_until_s[TARGET]


def only_take_over_from_ended_holders(monkeypatch) -> None:
    """Let no lease of a cell lapse, however slow the reply to a ping is."""
    monkeypatch.setattr(entry_module, "HOLDER_LEASE_S", 60.0)
    monkeypatch.setattr(entry_module, "UNRESPONSIVE_LEASE_S", 60.0)


def start_entry(stack: ExitStack, table: MemoryTable, name: str) -> CellEntry:
    return stack.enter_context(cell_entry_running(table, name))


# Guards against a task that runs twice: a holder that is cut off from the store goes on
# renewing the lease of a target that reaches no other entry.
class TestWaitForLeasesOfEarlierHolders:
    @pytest.mark.parametrize("end", [CellEntry.kill, CellEntry.hand_over])
    @pytest.mark.parametrize("takeovers", [1, 2, 3])
    def test_holders_that_end_do_not_shorten_the_wait(
        self, stack, table, monkeypatch, takeovers, end
    ):
        cut_off_s = write_holder(table, 1, stack.enter_context(silent_address()))
        stored_ends_s = set()
        for number in range(takeovers + 1):
            entry = start_entry(stack, table, f"e{number}")
            assert release_s(entry) >= cut_off_s + TIMINGS.outage_s
            only_take_over_from_ended_holders(monkeypatch)
            row = table.rows[(CELL, EARLIER_LEASES_KEY)]
            stored_ends_s.add(unpack(row.value, EarlierLeasesRow).until_s)
            end(entry)
        # Nor do they prolong it.
        assert len(stored_ends_s) == 1

    def test_a_takeover_with_a_lost_reply_does_not_shorten_the_wait(self, stack, table):
        cut_off_s = write_holder(table, 1, stack.enter_context(silent_address()))
        entry = CellEntry(table, "e")
        entry.table.lost_answers = 1
        stack.callback(entry.kill)
        entry.start()
        assert entry.wait_for_holder().epoch == 3
        assert release_s(entry) >= cut_off_s + TIMINGS.outage_s

    # An entry of a build that stores no ends of leases may have taken over meanwhile.
    @pytest.mark.parametrize("before", ["none", "new"])
    def test_a_takeover_by_an_older_build_does_not_shorten_the_wait(
        self, stack, table, before
    ):
        epoch = 1
        cut_off_s = write_holder(table, epoch, stack.enter_context(silent_address()))
        if before == "new":
            entry = start_entry(stack, table, "e")
            epoch = entry.wait_for_holder().epoch
            entry.kill()
        write_holder(table, epoch + 1, "")
        entry = start_entry(stack, table, "last")
        assert release_s(entry) >= cut_off_s + TIMINGS.outage_s

    # Guards against tasks that are released later than necessary.
    def test_only_the_lease_of_an_ended_holder_is_waited_for(self, stack, monkeypatch):
        only_take_over_from_ended_holders(monkeypatch)
        table = MemoryTable()
        agent = unused_address()
        table.commit(CELL, {}, {AGENT_PREFIX + agent: pack(AgentRow(agent))})
        first = start_entry(stack, table, "first")
        first.wait_for_holder()
        first.kill()
        write_running_job(table)
        second = start_entry(stack, table, "second")
        loaded_s = second.wait_for_holder().scheduler.state.loaded_s
        drift_factor = 1.0 + TIMINGS.clock_drift
        expected_s = loaded_s + TIMINGS.lease_s * drift_factor
        assert release_s(second) == pytest.approx(expected_s)


# Guards against leases that last longer than a successor waits: it counts from the time
# at which it saw the takeover, not from that of the reply.
class TestLeasesAfterATakeover:
    def test_leases_count_from_when_the_takeover_was_sent(
        self, stack, table, monkeypatch
    ):
        monkeypatch.setattr(cell_holder_module, "RENEW_INTERVAL_S", 60.0)
        write_holder(table, 1, "")
        entry = CellEntry(table, "e")
        written_s = []

        def delay_reply():
            if not written_s:
                written_s.append(clock_s())
                # The holder's own writes don't take effect.
                table.down = True
                time.sleep(0.5)

        entry.table.after_commit = delay_reply
        stack.callback(entry.kill)
        entry.start()
        wait_for(lambda: CELL in entry.actor.held_cells)
        holder = entry.actor.held_cells[CELL]
        grant_s = TIMINGS.outage_s - TIMINGS.lease_s
        assert not holder.ask(holder._may_renew_leases, written_s[0] + grant_s)


# Guards against two holders with the same epoch, the second of which doesn't wait for
# leases granted by the first.
class TestOvertakenTakeovers:
    def test_a_takeover_decided_before_another_one_fails(self, stack, table):
        write_holder(table, 1, "")
        late = CellEntry(table, "late")
        # Pings of silent holders delay the takeover's write.
        may_write = threading.Event()
        late.actor._takeover_threads.submit(may_write.wait, 10.0)
        late.actor._takeover_threads.submit(may_write.wait, 10.0)
        stack.callback(late.kill)
        late.start()
        wait_for(lambda: late.actor.epoch_of(CELL) == 2)
        rival = start_entry(stack, table, "rival")
        rival.wait_for_holder()
        replica = late.actor.replica
        wait_for(lambda: replica.cell(CELL).holder.address == rival.address)
        may_write.set()
        wait_for(lambda: CELL not in late.actor._takeover_epochs)
        holder = unpack(table.rows[(CELL, HOLDER_KEY)].value, HolderRow)
        assert holder == HolderRow(2, "rival", rival.address)


# Guards against leases that last longer than a successor waits: a takeover that is
# performed late, perhaps after its reply was lost, finds a lease that was renewed.
class TestRenewalsDuringATakeover:
    def entry_with_renewal(self, stack, table, renewed_s, takeovers) -> CellEntry:
        """Return an entry; the holder renews its lease just before the takeover.

        The times of renewals and the attempted takeovers are added to the lists.
        """
        entry = CellEntry(table, "e")

        def renew(puts):
            takeovers.extend(key for key in puts if key == HOLDER_KEY)
            if not renewed_s:
                renewed_s.append(clock_s())
                table.commit(CELL, {}, {LEASE_KEY: pack(LeaseRow(1, 0.0))})

        entry.table.before_commit = renew
        stack.callback(entry.kill)
        return entry

    @pytest.mark.parametrize("lost_answers", [0, 1])
    def test_leases_granted_after_the_renewal_are_waited_for(
        self, stack, table, monkeypatch, lost_answers
    ):
        monkeypatch.setattr(entry_module, "HOLDER_LEASE_S", 1.5)
        monkeypatch.setattr(entry_module, "UNRESPONSIVE_LEASE_S", 1.5)
        write_holder(table, 1, stack.enter_context(silent_address()))
        renewed_s, takeovers = [], []
        entry = self.entry_with_renewal(stack, table, renewed_s, takeovers)
        entry.table.lost_answers = lost_answers
        entry.start()
        assert release_s(entry) >= renewed_s[0] + TIMINGS.outage_s

    # Guards against a cell that stays without a holder longer than necessary.
    def test_a_late_write_of_an_ended_holder_does_not_prevent_the_takeover(
        self, stack, table
    ):
        write_holder(table, 1, "")
        renewed_s, takeovers = [], []
        entry = self.entry_with_renewal(stack, table, renewed_s, takeovers)
        entry.start()
        entry.wait_for_holder()
        assert renewed_s
        assert len(takeovers) == 1


# Guards against leases that last longer than a successor waits: it may have taken over
# before the reply to the hand-over arrives.
class TestHandOver:
    def test_no_lease_is_renewed_once_the_hand_over_is_written(self, stack, table):
        entry = start_entry(stack, table, "e")
        holder = entry.wait_for_holder()
        renewed = []

        def delay_reply():
            if not unpack(table.rows[(CELL, HOLDER_KEY)].value, HolderRow).address:
                reply = holder.ask(holder.on_report, target_report(2))
                renewed.append(reply.lease_s)

        reply = holder.ask(holder.on_report, target_report(1))
        assert reply.lease_s == TIMINGS.lease_s
        entry.table.after_commit = delay_reply
        entry.hand_over()
        assert renewed == [0.0]


# Guards against a busy holder that loses its cell, though it only renews late.
class TestBusyHolders:
    def taken_over_s(self, stack, table, load: HolderLoadRow) -> float:
        """Return how long after its last renewal a silent holder loses the cell."""
        written_s = write_holder(table, 1, stack.enter_context(silent_address()))
        table.commit(CELL, {}, {HOLDER_LOAD_KEY: pack(load)})
        entry = start_entry(stack, table, "e")
        entry.wait_for_holder()
        return clock_s() - written_s

    def test_a_holder_that_announced_late_renewals_is_given_more_time(
        self, stack, table
    ):
        assert self.taken_over_s(stack, table, HolderLoadRow(1, 2.0)) > 2.0

    def test_what_an_earlier_holder_announced_does_not_count(self, stack, table):
        assert self.taken_over_s(stack, table, HolderLoadRow(7, 4.0)) < 4.0

    def test_a_holder_that_has_ended_is_replaced_without_a_wait(self, stack, table):
        written_s = write_holder(table, 1, unused_address())
        table.commit(CELL, {}, {HOLDER_LOAD_KEY: pack(HolderLoadRow(1, 4.0))})
        start_entry(stack, table, "e").wait_for_holder()
        assert clock_s() - written_s < 4.0


# Guards against a slow entry that holds a large cell while faster ones are free.
class TestOrderOfTakeovers:
    def test_the_fastest_entry_takes_a_free_cell(self, stack, table):
        write_holder(table, 1, "")
        entries = []
        for speed_cores in (0.05, 4.0):
            entry = CellEntry(table, f"e{speed_cores}", speed_cores)
            stack.callback(entry.kill)
            entries.append(entry)
        for entry in entries:
            entry.start()
        assert entries[1].wait_for_holder().epoch == 2
        assert not entries[0].actor.held_cells


class HolderRowOfOlderBuilds(NamedTuple):
    epoch: int
    entry: str
    address: str


class LeaseRowOfOlderBuilds(NamedTuple):
    epoch: int
    at_s: float


# Guards against entries of older builds that don't see a takeover during a rolling
# update, since they can't decode its rows.
class TestRowsForOlderBuilds:
    def test_the_rows_of_a_takeover_can_be_decoded(self, stack, table):
        write_holder(table, 1, unused_address())
        entry = start_entry(stack, table, "e")
        entry.wait_for_holder()
        holder = unpack(table.rows[(CELL, HOLDER_KEY)].value, HolderRowOfOlderBuilds)
        assert holder == (2, "e", entry.address)
        lease = unpack(table.rows[(CELL, LEASE_KEY)].value, LeaseRowOfOlderBuilds)
        assert lease.epoch == 2
