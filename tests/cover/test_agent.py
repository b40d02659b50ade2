"""Which orders an agent refuses, and what it reports about starts."""

from __future__ import annotations

import pytest
from cicadabank.agent import AgentCore, OrderRefusedError
from cicadabank.wire import control_pb2, targets_pb2

NOW_S = 1000.0


def make_core(epoch=5, out=False, view_age_s=0.0):
    core = AgentCore("run-1", 8, 3.0)
    core.check_epoch(epoch)
    core.update_view(1, out, NOW_S - view_age_s)
    return core


def reserve(**fields):
    defaults = {"attempt": "a", "epoch": 5, "incarnation": "run-1", "accelerators": 4}
    return control_pb2.Reserve(**{**defaults, "tasks": 4, "ttl_s": 6.0, **fields})


def start(**fields):
    defaults = {"attempt": "a", "epoch": 5, "incarnation": "run-1"}
    return control_pb2.Start(**{**defaults, "lease_duration_s": 10.0, **fields})


def begin(**fields):
    defaults = {"attempt": "a", "epoch": 5, "incarnation": "run-1"}
    return control_pb2.Begin(**{**defaults, "lease_duration_s": 10.0, **fields})


def stop(**fields):
    defaults = {"attempt": "a", "epoch": 5, "incarnation": "run-1"}
    return control_pb2.Stop(**{**defaults, **fields})


def usage(attempt, state):
    return targets_pb2.TaskUsage(attempt=attempt, state=state, epoch=5)


class TestReserve:
    @pytest.mark.parametrize(
        ("core", "order", "reason"),
        [
            (make_core(), reserve(epoch=4), "epoch 4 is below 5"),
            (make_core(), reserve(incarnation="run-0"), "earlier run"),
            (make_core(), reserve(accelerators=9), "accelerators are in use"),
            (make_core(out=True), reserve(), "out of service"),
            (make_core(view_age_s=3.1), reserve(), "view is older"),
        ],
        ids=["old-epoch", "old-incarnation", "full", "domain-out", "stale-view"],
    )
    def test_refuses(self, core, order, reason):
        with pytest.raises(OrderRefusedError, match=reason):
            core.reserve(order, NOW_S)
        assert not core.members

    def test_refuses_while_leaving(self):
        core = make_core()
        core.leaving = True
        with pytest.raises(OrderRefusedError, match="leaving"):
            core.reserve(reserve(), NOW_S)

    def test_repeated_order_is_idempotent(self):
        core = make_core()
        core.reserve(reserve(accelerators=8), NOW_S)
        core.reserve(reserve(accelerators=8), NOW_S)
        assert len(core.members) == 1


class TestStart:
    @pytest.mark.parametrize(
        ("order", "at_s", "reason"),
        [
            (start(epoch=4), NOW_S, "epoch 4 is below 5"),
            (start(incarnation="run-0"), NOW_S, "earlier run"),
            (start(attempt="b"), NOW_S, "reservation has expired"),
            (start(), NOW_S + 6.5, "reservation has expired"),
            (start(), NOW_S + 3.5, "view is older"),
        ],
        ids=[
            "old-epoch",
            "old-incarnation",
            "unreserved",
            "late",
            "stale-view-after-pause",
        ],
    )
    def test_refuses(self, order, at_s, reason):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        with pytest.raises(OrderRefusedError, match=reason):
            core.start(order, at_s)
        assert not any(member.started for member in core.members.values())

    def test_refuses_if_the_domain_went_out_of_service_after_the_reservation(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        core.mark_domain_out(NOW_S)
        with pytest.raises(OrderRefusedError, match="out of service"):
            core.start(start(), NOW_S)

    def test_pushed_drain_that_is_never_stored_expires(self):
        core = make_core()
        core.mark_domain_out(NOW_S)
        core.update_view(1, False, NOW_S + 301.0)
        core.reserve(reserve(), NOW_S + 301.0)
        assert core.members

    def test_repeated_order_starts_nothing(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        assert core.start(start(), NOW_S) is not None
        assert core.start(start(), NOW_S) is None


class TestBegin:
    def _held(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        core.start(start(hold_s=4.0), NOW_S)
        core.order_accepted("a", NOW_S)
        assert core.members["a"].state == "held"
        return core

    def test_held_member_has_not_started(self):
        core = self._held()
        assert not core.members["a"].started
        assert not core.may_have_started(stop())

    def test_held_member_begins_once(self):
        core = self._held()
        assert core.begin(begin(), NOW_S) is not None
        assert core.members["a"].started
        assert core.begin(begin(), NOW_S) is None

    @pytest.mark.parametrize(
        ("order", "at_s", "reason"),
        [
            (begin(epoch=4), NOW_S, "epoch 4 is below 5"),
            (begin(incarnation="run-0"), NOW_S, "earlier run"),
            (begin(attempt="b"), NOW_S, "not held here"),
            (begin(), NOW_S + 3.5, "view is older"),
        ],
        ids=["old-epoch", "old-incarnation", "unknown", "stale-view-after-pause"],
    )
    def test_refuses(self, order, at_s, reason):
        core = self._held()
        with pytest.raises(OrderRefusedError, match=reason):
            core.begin(order, at_s)
        assert not core.members["a"].started

    def test_refuses_if_the_domain_went_out_of_service_while_held(self):
        core = self._held()
        core.mark_domain_out(NOW_S)
        with pytest.raises(OrderRefusedError, match="out of service"):
            core.begin(begin(), NOW_S)

    def test_refuses_member_whose_hold_has_expired(self):
        core = self._held()
        core.apply_usage([usage("a", "stopped")], NOW_S + 4.0)
        with pytest.raises(OrderRefusedError, match="not held here"):
            core.begin(begin(), NOW_S + 1.0)
        assert not core.members["a"].report().started

    def test_is_not_reported_as_held_before_the_runner_accepts(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        core.start(start(hold_s=4.0), NOW_S)
        assert core.members["a"].report().state == "ordered"

    def test_restarted_agent_reports_adopted_member_as_started(self):
        core = make_core()
        core.apply_usage([usage("a", "held")], NOW_S)
        assert core.members["a"].state == "held"
        assert core.members["a"].report().started

    def test_restarted_agent_refuses_orders_for_its_predecessor(self):
        core = make_core()
        core.apply_usage([usage("a", "held")], NOW_S)
        with pytest.raises(OrderRefusedError, match="earlier run"):
            core.begin(begin(incarnation="run-0"), NOW_S)


class TestUsage:
    def _started(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        core.start(start(), NOW_S)
        return core

    def test_start_that_never_reached_the_runner_is_reported_as_not_started(self):
        core = self._started()
        core.order_unanswered("a", NOW_S + 3.0)
        core.apply_usage([], NOW_S + 2.9)
        assert core.members["a"].state == "ordered"
        core.apply_usage([], NOW_S + 3.1)
        report = core.members["a"].report()
        assert (report.state, report.started) == ("stopped", False)

    def test_task_unknown_to_the_runner_is_reported_as_stopped(self):
        core = self._started()
        core.order_accepted("a", NOW_S + 0.1)
        core.apply_usage([], NOW_S)
        assert core.members["a"].state == "starting"
        core.apply_usage([], NOW_S + 0.2)
        report = core.members["a"].report()
        assert (report.state, report.started) == ("stopped", True)


class TestStop:
    def test_refuses_a_replaced_holder(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        with pytest.raises(OrderRefusedError, match="epoch 4 is below 5"):
            core.stop(stop(epoch=4))
        assert core.members

    @pytest.mark.parametrize(
        ("order", "may_have_started"),
        [
            (stop(attempt="never-seen"), False),
            (stop(attempt="never-seen", incarnation="run-0"), True),
        ],
        ids=["same-run", "earlier-run"],
    )
    def test_reports_whether_it_may_have_started(self, order, may_have_started):
        assert make_core().may_have_started(order) is may_have_started


class TestView:
    def test_lower_version_is_ignored(self):
        core = make_core()
        core.update_view(7, True, NOW_S + 1.0)
        core.update_view(6, False, NOW_S + 2.0)
        assert core.view.domain_out
        assert core.view.version == 7

    def test_older_view_of_the_same_version_is_ignored(self):
        core = make_core()
        core.update_view(7, True, NOW_S + 1.0)
        core.update_view(7, False, NOW_S)
        assert core.view.domain_out


class TestLease:
    def test_members_with_expired_lease_are_returned(self):
        core = make_core()
        core.reserve(reserve(), NOW_S)
        core.start(start(), NOW_S)
        assert core.members_with_expired_lease(NOW_S + 9.0) == []
        assert [m.attempt for m in core.members_with_expired_lease(NOW_S + 10.5)] == [
            "a"
        ]

    def test_lease_counts_from_when_the_heartbeat_was_sent(self):
        core = make_core()
        heartbeat = core.next_heartbeat(control_pb2.TargetInfo(name="w"))
        reply = control_pb2.BeatReply(epoch=5, lease_duration_s=10.0)
        core.apply_heartbeat_reply(heartbeat, reply, NOW_S)
        assert core.lease_until_s == NOW_S + 10.0

    def test_reply_of_a_replaced_holder_does_not_renew(self):
        core = make_core()
        heartbeat = core.next_heartbeat(control_pb2.TargetInfo(name="w"))
        reply = control_pb2.BeatReply(epoch=4, lease_duration_s=10.0)
        core.apply_heartbeat_reply(heartbeat, reply, NOW_S)
        assert core.lease_until_s == float("-inf")


class TestViewFromReservation:
    def reserve_with_view(self, **fields):
        defaults = {"config_version": 2, "view_age_s": 0.5, "reply_within_s": 1.4}
        return reserve(**{**defaults, **fields})

    def test_permits_start_with_long_heartbeat_intervals(self):
        core = make_core(view_age_s=60.0)
        core.reserve(self.reserve_with_view(), NOW_S)
        assert core.start(start(), NOW_S + 1.0) is not None

    def test_age_includes_transit_time_of_the_order(self):
        core = make_core(view_age_s=60.0)
        core.reserve(self.reserve_with_view(), NOW_S)
        with pytest.raises(OrderRefusedError, match="view is older"):
            core.start(start(), NOW_S + 1.2)

    def test_refuses_if_the_domain_is_out_of_service(self):
        core = make_core()
        with pytest.raises(OrderRefusedError, match="out of service"):
            core.reserve(self.reserve_with_view(domain_out=True), NOW_S)

    def test_lower_version_does_not_override(self):
        core = make_core()
        core.update_view(3, True, NOW_S)
        with pytest.raises(OrderRefusedError, match="out of service"):
            core.reserve(self.reserve_with_view(), NOW_S)

    def test_does_not_apply_to_other_members(self):
        core = make_core(view_age_s=2.0)
        core.reserve(reserve(attempt="b", accelerators=1), NOW_S)
        core.reserve(self.reserve_with_view(), NOW_S)
        with pytest.raises(OrderRefusedError, match="view is older"):
            core.start(start(attempt="b"), NOW_S + 1.2)


class TestUnreportedChanges:
    def test_changed_member_is_unreported_until_the_heartbeat_is_answered(self):
        core = make_core()
        assert not core.has_unreported_changes()
        core.reserve(reserve(), NOW_S)
        assert core.has_unreported_changes()
        heartbeat = core.next_heartbeat(control_pb2.TargetInfo(name="w"))
        core.apply_heartbeat_reply(heartbeat, control_pb2.BeatReply(epoch=5), NOW_S)
        assert not core.has_unreported_changes()
