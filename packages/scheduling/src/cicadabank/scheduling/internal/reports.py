"""Processing of agents' reports, and of targets that stop reporting."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cicadabank.scheduling.internal import crashes, drains, lifecycle, reliability
from cicadabank.scheduling.internal.jobs import RunId
from cicadabank.scheduling.internal.placement import is_local
from cicadabank.scheduling.internal.progress import RunProgress
from cicadabank.scheduling.internal.registrations import (
    is_registered,
    register,
    void_registration,
)
from cicadabank.scheduling.internal.state import CellState, Start
from cicadabank.scheduling.internal.targets import (
    AbsentTarget,
    Report,
    RunningRun,
    Target,
)
from cicadabank.scheduling.internal.units import Phase, TargetIncarnation, Unit

# Time for which the members of a done gang may go on before they are stopped. Normally,
# all of them are listed as ended within one or two reports.
GANG_END_GRACE_S = 1.5
# Why the units on a crashed target are requeued.
CRASHED = "target crashed"


class ReportReply(NamedTuple):
    """Reply to a report.

    Attributes
    ----------
    lease_s : float
        Lease granted to the target's tasks, in seconds from the sending of the
        report; 0 if the lease is not renewed.
    recorded : int
        Sequence number up to which all ended runs are stored; ended runs of jobs that
        are no longer kept count as stored.
    settled : tuple of RunId
        Refusals and stops that the agent need not report again.
    registration : int
        If not 0, the report had no effect: the agent is to repeat it under this number.
    """

    lease_s: float
    recorded: int
    settled: tuple[RunId, ...]
    registration: int = 0


def process_report(state: CellState, report: Report, may_renew: bool) -> ReportReply:
    """Reconcile the state with an agent's report and return the reply."""
    known = state.targets.get(report.agent)
    if known is not None and _is_stale(known, report):
        state.log(
            "report_ignored",
            agent=report.agent,
            agent_run=report.agent_run,
            number=report.report_number,
            newest=known.report_number,
        )
        return ReportReply(0.0, 0, ())
    if not is_registered(state, known, report):
        registers = report.registration is not None
        return ReportReply(0.0, 0, (), register(state, report) if registers else 0)
    if state.loaded:
        crashes.record_crashes(state, report.crashes, report.target_incarnation)
    target = _find_target(state, known, report)
    was_draining, capacity = target.draining, target.capacity
    shape = target.shape
    target.update(report, state.now_s)
    if target.shape != shape and any(target.largest_capacity):
        state.absent_targets.pop(report.agent, None)
        state.changed_shapes.add(report.agent)
    if target.capacity != capacity:
        state.on_capacity_changed()
    if target.draining and not was_draining:
        state.log(
            "target_drains",
            target=target.target_incarnation.target,
            remaining_s=report.remaining_s,
        )
    settled: list[RunId] = []
    if report.observed and state.loaded:
        settled = _reconcile(state, target, report)
    renews = may_renew and not _holds_withdrawn_start(state, report)
    lease_s = state.timings.lease_s if renews else 0.0
    if lease_s:
        target.lease_until_s = max(target.lease_until_s, state.now_s + lease_s)
    # Ended runs are acknowledged only once every row that they have changed is stored.
    if not state.dirty and state.in_flight is None:
        target.stored_sequence = target.processed_sequence
    return ReportReply(lease_s, target.stored_sequence, tuple(settled))


def _find_target(state: CellState, known: Target | None, report: Report) -> Target:
    """Return the target that a report is about; it may replace the known one."""
    if known is not None and known.target_incarnation == report.target_incarnation:
        if known.agent_run != report.agent_run:
            _note_calls_of_former_process(state, known)
        return known
    if report.lease_call_age_s is not None:
        _note_late_runs(state, known, report)
    if known is not None:
        loss_reason = _loss_reason(report, known.target_incarnation)
        reliability.on_incarnation_lost(state, known, loss_reason == CRASHED)
        remove_target(
            state,
            known,
            "a new incarnation of the target has reported",
            loss_reason,
            reported_by=report.agent_run,
            reported=report.target_incarnation.incarnation,
        )
    return _add_target(state, report)


def _holds_withdrawn_start(state: CellState, report: Report) -> bool:
    """Return whether an agent may hold back a start that is no longer wanted.

    It would carry out the start with the next lease, so it must drop the start first.
    """
    held_back = set(report.pending).difference(report.stopping)
    if not state.loaded:
        return bool(held_back)
    return any(
        state.find_member(run, report.target_incarnation) is None for run in held_back
    )


def _unconfirmed_runs(state: CellState, target: Target) -> set[RunId]:
    """Return the runs whose start was ordered and that no report has shown yet."""
    members = state.members_by_incarnation.get(target.target_incarnation, {})
    return {
        unit.run_id(index - unit.first_index)
        for (_, _, index), unit in members.items()
        if unit.phase in (Phase.RUNNING, Phase.STOPPING)
        and not unit.members[index - unit.first_index].running
    }


def _note_calls_of_former_process(state: CellState, target: Target) -> None:
    """Note the start calls that the former process of an agent may have left open.

    Nobody knows which calls it made after its last report.
    """
    until_s = state.now_s + state.timings.max_call_delay_s
    for run in target.late_starts | _unconfirmed_runs(state, target):
        target.former_late_starts[run] = until_s


def _note_late_runs(state: CellState, known: Target | None, report: Report) -> None:
    """Note until when the late starts of a target that counts as ended may run.

    A holder that has just taken over may not know the target itself.
    """
    called_s = state.now_s - report.lease_call_age_s
    latest_calls_s = dict.fromkeys(report.late_starts, called_s)
    if known is not None:
        for run, until_s in known.former_late_starts.items():
            former_call_s = until_s - state.timings.max_call_delay_s
            latest_calls_s[run] = max(called_s, former_call_s)
    for target_incarnation in state.members_by_incarnation:
        if target_incarnation.agent == report.agent:
            for run, latest_call_s in latest_calls_s.items():
                _note_late_run(state, target_incarnation, run, latest_call_s)


def _note_late_runs_of_silent_agent(state: CellState, target: Target) -> None:
    """Note until when the late starts of a target may run whose agent is silent.

    The agent may have made calls after its last report, and prolonged what the next
    incarnation runs, until the lease that it was granted had expired.
    """
    runs = {
        *target.late_starts,
        *target.former_late_starts,
        *_unconfirmed_runs(state, target),
    }
    for run in runs:
        _note_late_run(state, target.target_incarnation, run, target.lease_until_s)


def _note_late_run(
    state: CellState,
    target_incarnation: TargetIncarnation,
    run: RunId,
    latest_call_s: float,
) -> None:
    """Note that a run may exist for some time after a call, on the next incarnation."""
    found = state.find_member(run, target_incarnation)
    if found is not None:
        unit, member_index = found
        member = unit.members[member_index]
        until_s = latest_call_s + state.timings.late_run_s
        member.may_run_until_s = max(member.may_run_until_s, until_s)


def _is_stale(known: Target, report: Report) -> bool:
    return (
        known.agent_run == report.agent_run
        and report.report_number <= known.report_number
    )


def _add_target(state: CellState, report: Report) -> Target:
    target = Target(report.target_incarnation, report.agent)
    _forget_speed_of_former_kind(state, report)
    state.targets[report.agent] = target
    state.targets_by_incarnation[report.target_incarnation] = target
    # Leases granted by earlier holders end sooner, but a call meant for the incarnation
    # before may have set the longest one.
    state.unreported_lease_until_s.pop(report.target_incarnation, None)
    target.lease_until_s = state.now_s + state.timings.max_lease_s
    replaces = report.lease_call_age_s is None
    for target_incarnation in list(state.members_by_incarnation):
        if (
            target_incarnation.agent == report.agent
            and target_incarnation != report.target_incarnation
        ):
            release_incarnation(
                state,
                target_incarnation,
                _loss_reason(report, target_incarnation),
                late_runs_ended=replaces,
            )
    for (job, step, index), unit in state.members_by_incarnation.get(
        report.target_incarnation, {}
    ).items():
        target.allocate((job, step, index), unit.spec.need, unit.isolated)
    state.log(
        "target_found",
        target=report.target_incarnation.target,
        incarnation=report.target_incarnation.incarnation,
        agent=report.agent,
        agent_run=report.agent_run,
        number=report.report_number,
        registration=report.registration,
        domain=report.domain,
        capacity=list(report.capacity),
        labels=list(report.labels),
        rack=report.rack,
    )
    return target


def _forget_speed_of_former_kind(state: CellState, report: Report) -> None:
    """Forget the speed of an agent's target if the new one has other labels."""
    absent = state.absent_targets.get(report.agent)
    # A target that has ended is reported without labels.
    if absent is None or absent.shape is None or not any(report.labels):
        return
    if absent.shape.labels != frozenset(report.labels):
        state.speeds.forget(report.agent)
        reliability.forget(state, report.agent)


def _loss_reason(report: Report, lost: TargetIncarnation) -> str:
    """Return why the units on an incarnation are requeued that another one replaces."""
    has_crashed = any(crash.incarnation == lost.incarnation for crash in report.crashes)
    return CRASHED if has_crashed else "target lost"


def remove_target(
    state: CellState,
    target: Target,
    reason: str,
    loss_reason: str = "target lost",
    **evidence: object,
) -> None:
    """Remove an incarnation of a target, on which nothing runs any more.

    Members that a late start may have running on the next one are not released yet.
    `evidence` is logged beside the reason; `loss_reason` for each of its units.
    """
    state.log(
        "target_lost",
        target=target.target_incarnation.target,
        incarnation=target.target_incarnation.incarnation,
        agent_run=target.agent_run,
        number=target.report_number,
        reason=reason,
        **evidence,
        members=len(state.members_by_incarnation.get(target.target_incarnation, {})),
    )
    if state.targets.get(target.agent) is target:
        del state.targets[target.agent]
        state.on_capacity_changed()
    if any(target.largest_capacity):
        state.absent_targets[target.agent] = AbsentTarget(
            target.shape, state.store_now_s
        )
    state.targets_by_incarnation.pop(target.target_incarnation, None)
    state.orders.pop(target.agent, None)
    void_registration(state, target.agent)
    release_incarnation(state, target.target_incarnation, loss_reason)


def release_incarnation(
    state: CellState,
    target_incarnation: TargetIncarnation,
    reason: str = "target lost",
    late_runs_ended: bool = False,
) -> None:
    """Release the members on an incarnation, and stop or requeue their units.

    Parameters
    ----------
    late_runs_ended : bool
        Whether no late start can have a member running any more: the next incarnation
        has listed its runs, and rejects earlier calls. Otherwise, members that may be
        running are released later, by `expire_leases`.
    """
    state.unreported_lease_until_s.pop(target_incarnation, None)
    for (_, _, index), unit in list(
        state.members_by_incarnation.get(target_incarnation, {}).items()
    ):
        member_index = index - unit.first_index
        if not late_runs_ended and _may_run_late(state, unit, member_index):
            _await_late_run(state, unit, member_index, reason)
            continue
        state.release_member(unit, member_index)
        job = state.jobs[unit.job]
        if unit.phase is Phase.CLAIMING:
            lifecycle.release_claim(state, unit)
        else:
            lifecycle.stop_unit(state, unit, reason)
        lifecycle.requeue_if_idle(state, job, unit)


def _may_run_late(state: CellState, unit: Unit, member_index: int) -> bool:
    """Return whether a late start may have a member running, or may start it yet.

    Claims are released as a whole, so that their members may be gone already.
    """
    members = unit.members[member_index : member_index + 1]
    return any(member.may_run_until_s >= state.now_s for member in members)


def _await_late_run(
    state: CellState, unit: Unit, member_index: int, reason: str
) -> None:
    """Stop a unit, and have `expire_leases` release a member once it can't run."""
    member = unit.members[member_index]
    lifecycle.stop_unit(state, unit, reason)
    earliest_s = state.unreported_lease_until_s.get(
        member.target_incarnation, float("inf")
    )
    state.unreported_lease_until_s[member.target_incarnation] = min(
        earliest_s, member.may_run_until_s
    )
    state.log(
        "late_start_awaited",
        **unit.run_id(member_index)._asdict(),
        incarnation=member.target_incarnation.incarnation,
        left_s=round(member.may_run_until_s - state.now_s, 3),
    )


def _reconcile(state: CellState, target: Target, report: Report) -> list[RunId]:
    """Reconcile the members expected on a target with those it reports."""
    target_incarnation = target.target_incarnation
    for end in report.ended:
        if end.sequence > target.processed_sequence:
            lifecycle.on_run_ended(state, target, end)
            target.processed_sequence = end.sequence
    reported = _handle_present_runs(state, target, report)
    awaited = _awaited_late_starts(state, target)
    not_running = [run for run in report.not_running if run not in awaited]
    refused = [(run, reason) for run, reason in report.refused if run not in awaited]
    settled = [*not_running, *(run for run, _ in refused)]
    for run in not_running:
        _handle_not_running(state, target_incarnation, run, "stopped")
    for run, reason in refused:
        state.log(
            "start_refused",
            job=run.job,
            run=run.run,
            target=target_incarnation.target,
            why=reason,
        )
        _handle_not_running(state, target_incarnation, run, f"refused: {reason}")
    for (_, _, index), unit in list(
        state.members_by_incarnation.get(target_incarnation, {}).items()
    ):
        member_index = index - unit.first_index
        if (unit.job, unit.step, index) not in reported:
            _resend_order(state, target, unit, member_index)
        elif _must_stop(state, unit):
            lifecycle.send_stop(state, unit, member_index)
    return settled


def _awaited_late_starts(state: CellState, target: Target) -> set[RunId]:
    """Return the late starts whose members aren't released, even if they are stopped.

    A target that accepts no starts is likely to end soon, and its next incarnation of
    the same name doesn't know which runs were stopped: it may carry out the late call.
    The task therefore waits until the call is void, at most `Timings.max_call_delay_s`
    while the target lives.
    """
    if drains.accepts_starts(state, target):
        return set()
    return target.late_starts | target.former_late_starts.keys()


def _handle_present_runs(
    state: CellState, target: Target, report: Report
) -> set[tuple[str, int, int]]:
    """Process the runs that a target has or may start; return their tasks."""
    target.unexpected.clear()
    state.agents_with_unexpected_runs.discard(target.agent)
    for run in report.running:
        _handle_running(state, target, run, state.now_s - report.listed_age_s)
    for run in report.pending:
        if state.find_member(run, target.target_incarnation) is None:
            _stop_unexpected(state, target, run)
    return {run[:3] for run in [*(r.id for r in report.running), *report.pending]}


def _must_stop(state: CellState, unit: Unit) -> bool:
    """Return whether a unit's runs that a target still lists must be stopped.

    The members of a finished gang end by themselves, but not at the same moment.
    """
    if unit.phase is Phase.DONE:
        return state.now_s - unit.done_s > GANG_END_GRACE_S
    return unit.phase is Phase.STOPPING


def _handle_running(
    state: CellState, target: Target, run: RunningRun, listed_s: float
) -> None:
    found = state.find_member(run.id, target.target_incarnation)
    if found is None:
        _stop_unexpected(state, target, run.id)
        return
    unit, member_index = found
    _confirm(state, unit, member_index)
    if member_index == 0:
        _update_progress(state, unit, run, listed_s)
    if run.checkpoint and run.checkpoint != unit.checkpoint:
        unit.checkpoint = run.checkpoint
        unit.checkpointed_s = state.now_s
        unit.saved_percent = run.percent
        if (
            state.now_s - unit.checkpoint_stored_s
            >= state.timings.checkpoint_write_interval_s
        ):
            unit.checkpoint_stored_s = state.now_s
            state.mark_dirty(state.jobs[unit.job])


def _confirm(state: CellState, unit: Unit, member_index: int) -> None:
    """Record that a target has a member's run."""
    member = unit.members[member_index]
    if member.running:
        return
    member.running = True
    lifecycle.on_begun(state, state.jobs[unit.job])
    if unit.phase is Phase.RUNNING and all(m.running for m in unit.members):
        unit.started_s = unit.checkpointed_s = state.now_s


def confirm_starts(
    state: CellState, target_incarnation: TargetIncarnation, runs: Iterable[RunId]
) -> list[RunId]:
    """Record the runs that the reply to an order confirms; return those expected.

    As in a report, a run counts only if it is expected on this incarnation.
    """
    confirmed = []
    for run in runs:
        found = state.find_member(run, target_incarnation)
        if found is not None:
            _confirm(state, *found)
            confirmed.append(run)
    return confirmed


def _stop_unexpected(state: CellState, target: Target, run: RunId) -> None:
    """Order a run to stop that the holder does not expect on its target."""
    job = state.jobs.get(run.job)
    unit = job.unit_of(run.step, run.index) if job else None
    # A run of an unknown job may use all of the target, also of one that has shrunk.
    target.unexpected[run] = unit.spec.need if unit else target.largest_capacity
    state.agents_with_unexpected_runs.add(target.agent)
    orders = state.orders_for(target)
    if run in orders.stops:
        return
    orders.stops.append(run)
    state.log(
        "run_unexpected",
        **run._asdict(),
        target=target.target_incarnation.target,
        incarnation=target.target_incarnation.incarnation,
        agent_run=target.agent_run,
        current_run=unit.run if unit else None,
        phase=unit.phase.value if unit else None,
    )


def _update_progress(
    state: CellState, unit: Unit, run: RunningRun, listed_s: float
) -> None:
    """Update a unit's progress, and learn the duration of its tasks from it."""
    if unit.phase is not Phase.RUNNING or not run.percent:
        # Its agent has started the run, but its target has not listed it yet.
        return
    if unit.progress is None:
        unit.progress = RunProgress(listed_s, run.percent)
        return
    unit.progress.update(listed_s, run.percent)
    duration_s = unit.progress.duration_s
    if duration_s is not None and is_local(unit, state.targets_by_incarnation):
        lifecycle.record_duration(state, unit, duration_s)


def _handle_not_running(
    state: CellState, target_incarnation: TargetIncarnation, run: RunId, reason: str
) -> None:
    """Release the member of a run that was stopped or refused; stop its unit."""
    found = state.find_member(run, target_incarnation)
    if found is None:
        return
    unit, member_index = found
    if unit.phase in (Phase.CLAIMING, Phase.COMMITTING):
        return
    state.release_member(unit, member_index)
    job = state.jobs[unit.job]
    if unit.phase is Phase.RUNNING:
        lifecycle.stop_unit(state, unit, reason)
    lifecycle.requeue_if_idle(state, job, unit)


def _resend_order(
    state: CellState, target: Target, unit: Unit, member_index: int
) -> None:
    """Send an order again that has had no effect yet.

    Starts are idempotent: a target that already has the run reports it, and one on
    which it has ended refuses it. On a target that accepts no starts any more, the run
    is stopped instead.
    """
    if unit.phase is Phase.RUNNING and not drains.accepts_starts(state, target):
        drains.withdraw_start(state, target, unit, member_index)
    elif unit.phase is Phase.RUNNING:
        send_start(state, target, unit, member_index)
    elif _must_stop(state, unit):
        lifecycle.send_stop(state, unit, member_index)


def send_start(state: CellState, target: Target, unit: Unit, member_index: int) -> None:
    """Order a member to start, unless an order was sent within the retry interval."""
    member = unit.members[member_index]
    if state.fenced or state.now_s - member.start_sent_s < state.timings.order_retry_s:
        return
    member.start_sent_s = state.now_s
    record = state.jobs[unit.job].record
    start = Start(
        unit.run_id(member_index),
        record.payload,
        unit.checkpoint,
        tuple(unit.spec.need),
        tuple(state.resources_in_use(target)),
    )
    state.orders_for(target).starts.append(start)


def expire_leases(state: CellState) -> None:
    """Remove silent targets whose leases have certainly expired.

    Members on targets that have not reported since the takeover are released once the
    leases that earlier holders granted to them have expired, and members of late starts
    once what these may have started has ended.
    """
    drift_factor = 1.0 + state.timings.clock_drift
    for target in list(state.targets.values()):
        silent_s = state.now_s - target.last_report_s
        if silent_s <= state.timings.silent_after_s:
            continue
        granted_s = target.lease_until_s - target.last_report_s
        if silent_s > max(granted_s, state.timings.lease_s) * drift_factor:
            _note_late_runs_of_silent_agent(state, target)
            reliability.on_incarnation_lost(state, target, has_crashed=False)
            remove_target(
                state, target, f"no report for {silent_s:.1f} s, its lease has expired"
            )
    for target_incarnation, lease_until_s in list(
        state.unreported_lease_until_s.items()
    ):
        if (
            state.now_s > lease_until_s
            and target_incarnation not in state.targets_by_incarnation
        ):
            release_incarnation(state, target_incarnation)
