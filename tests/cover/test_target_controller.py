from __future__ import annotations

import pytest
from cicadabank.control.internal.conversion import (
    report_from_message,
    run_id_to_message,
)
from cicadabank.control.internal.target_controller import (
    MAX_CLOCK_DRIFT,
    UNRESPONSIVE_AFTER_S,
    TargetController,
)
from cicadabank.control.internal.target_messages import (
    Listing,
    StartOutcome,
    TargetHeartbeat,
)
from cicadabank.scheduling import CellScheduler, EndedRun, Resources, RunId, RunningRun
from cicadabank.wire import fleet_pb2

RUN = RunId("j", 0, 0, 1)
OTHER_RUN = RunId("j", 0, 1, 1)
# How far the slowest clock advances during the lease of 8 s.
SHORTEST_LEASE_ON_TARGET_S = 8.0 * (1 - MAX_CLOCK_DRIFT)


def heartbeat(started_ms=1, sequence=1, draining=False, **overrides) -> TargetHeartbeat:
    fields = {
        "target": "t",
        "started_ms": started_ms,
        "sequence": sequence,
        "cell": "cell",
        "domain": "d",
        "address": "a:1",
        "capacity": Resources(32_000, 1000, 8),
        "labels": ("a", "r1"),
        "rack": "r1",
        "draining": draining,
        "remaining_s": 2.0 if draining else 0.0,
    }
    return TargetHeartbeat(**{**fields, **overrides})


def start(run=RUN, accelerators=4) -> fleet_pb2.StartRun:
    return fleet_pb2.StartRun(
        id=run_id_to_message(run), spec="s", cpu_millicores=1, accelerators=accelerators
    )


def batch(controller, epoch=1, starts=(), stops=(), incarnation=None):
    return fleet_pb2.OrderBatch(
        cell="cell",
        epoch=epoch,
        holder="h:1",
        incarnation=controller.incarnation if incarnation is None else incarnation,
        starts=starts,
        stops=[run_id_to_message(run) for run in stops],
    )


def listing(running=(), ended=(), started_ms=1, target_s=50.0) -> Listing:
    running_runs = tuple(RunningRun(run, "", 100) for run in running)
    ended_runs = tuple(EndedRun(n, run, "done", "") for n, run in ended)
    return Listing(started_ms, target_s, running_runs, ended_runs)


@pytest.fixture
def controller() -> TargetController:
    created = TargetController("a:2", "agent-1", "cell")
    created.on_heartbeat(heartbeat(), 10.0)
    created.on_orders(batch(created, incarnation=""), 10.0)
    created.on_listing(listing(), 10.0, 10.0)
    reply = fleet_pb2.ReportReply(accepted=True, epoch=1, holder="h:1", lease_s=8.0)
    created.on_reply(reply, 10.0, created.incarnation)
    return created


def refused(controller, now_s=11.0) -> dict[str, str]:
    report = controller.report(now_s)
    return {(r.id.job, r.id.index): r.reason for r in report.refused}


class TestEpochs:
    def test_orders_of_a_replaced_holder_are_refused(self, controller):
        assert controller.on_orders(batch(controller, epoch=3), 11.0)
        assert not controller.on_orders(
            batch(controller, epoch=2, starts=[start()]), 11.0
        )
        assert controller.take_due_calls(11.0) == []

    def test_orders_for_an_earlier_incarnation_are_refused(self, controller):
        stale_batch = batch(controller, starts=[start()])
        controller.on_heartbeat(heartbeat(started_ms=2), 11.0)
        assert not controller.on_orders(stale_batch, 11.0)
        assert controller.take_due_calls(11.0) == []

    def test_a_late_heartbeat_of_an_earlier_incarnation_is_ignored(self, controller):
        controller.on_heartbeat(heartbeat(started_ms=2), 11.0)
        assert not controller.on_heartbeat(heartbeat(started_ms=1, sequence=99), 11.5)
        assert controller.incarnation == "t/2"

    def test_a_late_heartbeat_does_not_end_a_drain(self, controller):
        controller.on_heartbeat(heartbeat(sequence=5, draining=True), 11.0)
        controller.on_heartbeat(heartbeat(sequence=4), 11.2)
        assert controller.heartbeat.draining


class TestStarts:
    def test_a_start_without_a_reply_is_retried(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        assert [c.kind for c in controller.take_due_calls(11.0)] == ["start"]
        assert controller.take_due_calls(11.1) == []
        controller.on_started(RUN, StartOutcome(False), 11.5)
        assert [c.kind for c in controller.take_due_calls(11.6)] == ["start"]

    def test_a_started_run_is_reported_before_it_is_listed(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        controller.take_due_calls(11.0)
        controller.on_started(RUN, StartOutcome(True), 11.1)
        assert [r.id.job for r in controller.report(11.2).running] == ["j"]

    def test_a_list_requested_before_a_start_does_not_end_the_run(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        controller.take_due_calls(11.0)
        controller.on_started(RUN, StartOutcome(True), 11.1)
        controller.on_listing(listing(), 10.9, 11.2)
        assert [r.id.job for r in controller.report(11.2).running] == ["j"]

    def test_a_start_beyond_the_capacity_is_refused(self, controller):
        orders = [start(RUN, 8), start(OTHER_RUN, 1)]
        controller.on_orders(batch(controller, starts=orders), 11.0)
        assert refused(controller) == {("j", 1): "room"}

    def test_a_draining_target_refuses_starts(self, controller):
        controller.on_heartbeat(heartbeat(sequence=2, draining=True), 11.0)
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        assert refused(controller) == {("j", 0): "draining"}

    def test_without_a_lease_nothing_starts(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 30.0)
        assert controller.take_due_calls(30.0) == []

    def test_a_refused_run_stays_refused(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        controller.take_due_calls(11.0)
        controller.on_started(RUN, StartOutcome(True, "old"), 11.1)
        settled = fleet_pb2.ReportReply(
            accepted=True, epoch=1, holder="h", settled=[run_id_to_message(RUN)]
        )
        controller.on_reply(settled, 11.2, controller.incarnation)
        controller.on_orders(batch(controller, starts=[start()]), 11.3)
        assert controller.take_due_calls(12.0) == []
        assert refused(controller) == {("j", 0): "old"}


class TestStops:
    def test_a_stopped_run_is_gone_once_a_later_list_omits_it(self, controller):
        controller.on_orders(batch(controller, stops=[RUN]), 11.0)
        assert [c.kind for c in controller.take_due_calls(11.0)] == ["stop"]
        controller.on_stopped(RUN, True, 11.1)
        controller.on_listing(listing(), 11.05, 11.2)
        assert not controller.report(11.2).gone
        controller.on_listing(listing(), 11.15, 11.3)
        assert [r.job for r in controller.report(11.3).gone] == ["j"]

    def test_a_stop_without_a_reply_is_retried(self, controller):
        controller.on_orders(batch(controller, stops=[RUN]), 11.0)
        controller.take_due_calls(11.0)
        controller.on_stopped(RUN, False, 11.5)
        assert [c.kind for c in controller.take_due_calls(11.6)] == ["stop"]

    def test_a_pending_start_does_not_delay_a_stop(self, controller):
        controller.on_orders(batch(controller, starts=[start()]), 11.0)
        controller.take_due_calls(11.0)
        controller.on_orders(batch(controller, stops=[RUN]), 11.1)
        assert [c.kind for c in controller.take_due_calls(11.1)] == ["stop"]


class TestIncarnations:
    """A target may restart under the same name."""

    def test_calls_to_an_earlier_incarnation_have_a_lower_fence(self, controller):
        before = controller.fence
        controller.on_heartbeat(heartbeat(started_ms=1_800_000_000_000), 11.0)
        assert controller.fence > before

    def test_a_higher_epoch_outranks_any_incarnation(self, controller):
        controller.on_heartbeat(heartbeat(started_ms=1_800_000_000_000), 11.0)
        before = controller.fence
        controller.on_orders(batch(controller, epoch=2, incarnation=""), 11.0)
        controller.on_heartbeat(heartbeat(started_ms=1_800_000_009_000), 11.0)
        assert controller.fence > before
        assert controller.fence < 2**53

    def test_a_reply_about_an_earlier_incarnation_is_ignored(self, controller):
        earlier_incarnation = controller.incarnation
        controller.on_heartbeat(heartbeat(started_ms=2), 11.0)
        reply = fleet_pb2.ReportReply(
            accepted=True, epoch=1, holder="h:1", lease_s=8.0, recorded=6
        )
        controller.on_reply(reply, 11.0, earlier_incarnation)
        assert controller.recorded == 0
        assert controller.take_lease_end_on_target_s(18.5) is None


class TestLeases:
    def test_a_lease_ends_no_later_on_the_target_s_clock(self, controller):
        # The target's clock read 50 s no later than at 10.0 s, and the lease ends at
        # 18.0 s, so at least 8 s later. A slow clock advances by less in that time.
        end_s = controller.take_lease_end_on_target_s(11.0)
        assert end_s == pytest.approx(50.0 + SHORTEST_LEASE_ON_TARGET_S)

    # Guards against a task that runs twice: its lease ends on the target's clock, while
    # the holder and the agent count its end on theirs.
    @pytest.mark.parametrize("drift", [0.0, MAX_CLOCK_DRIFT])
    @pytest.mark.parametrize("sample_age_s", [0.0, UNRESPONSIVE_AFTER_S - 0.01])
    def test_a_lease_has_expired_when_the_target_is_given_up(
        self, controller, drift, sample_age_s
    ):
        scheduler = CellScheduler("cell", 1, 10.0)
        scheduler.load([], [], 10.0)
        # The target's clock is read at 10 s. The report arrives as soon as it is sent.
        sent_s = 10.0 + sample_age_s
        report = report_from_message(controller.report(sent_s))
        lease_s = scheduler.on_report(report, sent_s, may_renew=True).lease_s
        reply = fleet_pb2.ReportReply(accepted=True, epoch=1, lease_s=lease_s)
        controller.on_reply(reply, sent_s, controller.incarnation)
        on_target_s = controller.take_lease_end_on_target_s(sent_s)
        end_s = 10.0 + (on_target_s - 50.0) / (1.0 - drift)
        now_s = sent_s
        while scheduler.state.targets and not controller.is_target_lost(now_s):
            now_s += 0.001
            scheduler.tick(now_s)
        assert end_s <= now_s
        assert end_s <= sent_s + lease_s + 1e-6

    def test_an_expired_lease_is_not_renewed(self, controller):
        assert controller.take_lease_end_on_target_s(18.5) is None

    def test_a_target_silent_beyond_its_lease_is_reported_as_ended(self, controller):
        controller.on_heartbeat(heartbeat(started_ms=2), 10.0)
        controller.on_listing(listing(started_ms=2), 10.0, 10.0)
        controller.take_lease_end_on_target_s(11.0)
        assert not controller.is_target_lost(17.0)
        assert controller.is_target_lost(18.5)
        assert controller.report(18.5).incarnation.endswith("/ended")

    # Guards against tasks that never run again because the lease of a target that has
    # crashed was extended with each failed attempt to renew it.
    def test_a_lease_is_not_extended_while_the_target_does_not_reply(self, controller):
        controller.on_heartbeat(heartbeat(started_ms=2), 10.0)
        controller.on_listing(listing(started_ms=2), 10.0, 10.0)
        now_s, lease_s = 10.0, 8.0
        while not controller.is_target_lost(now_s) and now_s < 40.0:
            now_s += 0.3
            controller.take_lease_end_on_target_s(now_s)
            reply = fleet_pb2.ReportReply(accepted=True, epoch=1, lease_s=lease_s)
            controller.on_reply(reply, now_s, controller.incarnation)
        passed_on_s = 10.0 + UNRESPONSIVE_AFTER_S + lease_s
        assert now_s - 10.0 < (passed_on_s - 10.0) * (1 + MAX_CLOCK_DRIFT) + 0.3

    def test_a_lease_is_extended_once_the_target_replies_again(self, controller):
        controller.on_heartbeat(heartbeat(started_ms=2), 10.0)
        controller.on_listing(listing(started_ms=2), 10.0, 10.0)
        first_end = pytest.approx(50.0 + SHORTEST_LEASE_ON_TARGET_S)
        assert controller.take_lease_end_on_target_s(10.5) == first_end
        reply = fleet_pb2.ReportReply(accepted=True, epoch=1, lease_s=8.0)
        controller.on_reply(reply, 13.0, controller.incarnation)
        assert controller.take_lease_end_on_target_s(13.0) == first_end
        controller.on_listing(listing(started_ms=2, target_s=53.0), 13.0, 13.0)
        second_end = pytest.approx(53.0 + SHORTEST_LEASE_ON_TARGET_S)
        assert controller.take_lease_end_on_target_s(13.0) == second_end

    def test_a_new_agent_assumes_the_longest_lease_of_its_predecessor(self):
        controller = TargetController("a:2", "agent-2", "cell")
        controller.on_heartbeat(heartbeat(), 10.0)
        assert not controller.is_target_lost(19.0)
        assert controller.is_target_lost(21.0)

    def test_a_target_that_does_not_reply_is_unhealthy(self, controller):
        assert not controller.report(10.5).unhealthy
        assert controller.report(12.0).unhealthy


class TestReports:
    def test_a_report_tells_how_old_its_lists_are(self, controller):
        controller.on_listing(listing(running=[RUN]), 10.0, 11.0)
        report = report_from_message(controller.report(11.75))
        assert report.listed_age_s == pytest.approx(0.75)
        assert [run.percent for run in report.running] == [100]


class TestEndedRuns:
    def test_ended_runs_are_reported_until_they_are_stored(self, controller):
        controller.on_listing(listing(ended=[(1, RUN)]), 11.0, 11.0)
        assert [e.sequence for e in controller.report(11.0).ended] == [1]
        assert controller.has_unstored_ended_runs
        orders = batch(controller)
        orders.recorded = 1
        controller.on_orders(orders, 11.5)
        assert not controller.has_unstored_ended_runs
        assert controller.recorded == 1

    def test_a_list_of_another_incarnation_is_ignored(self, controller):
        assert not controller.on_listing(listing([RUN], started_ms=2), 11.0, 11.0)
        assert not controller.report(11.0).running
