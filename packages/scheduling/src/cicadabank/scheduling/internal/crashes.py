"""Crashes of targets under a unit, and the isolation of suspected units.

A task may crash each target that starts it. If several units were on the target, it is
unknown which one crashed it. A suspect therefore runs alone on its target: there a
crash is evidence against it and harms no other unit, and a start without a crash is
evidence for it. After a single crash, it does so only if a target is empty; see
`isolation`.
"""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.scheduling.internal import lifecycle
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import CrashedRun, TargetCrash
from cicadabank.scheduling.internal.units import (
    Crash,
    Job,
    Phase,
    TargetIncarnation,
    Unit,
)

# A run that began within this time before a crash is a suspect. Its age is counted up
# to the target's last reply, which may be one second older than the crash.
RECENT_START_S = 2.0
# A suspect that its target has listed for this long shares the target again.
PROBATION_S = 2.0
# An agent goes on reporting when its target crashes, so one that has been silent for
# longer has lost its VM or its path to the holder, and its silence doesn't tell whether
# its target has crashed. Longer than simulated targets are away after a crash (3.5 s).
MAX_SILENCE_ON_PROBATION_S = 4.0
# After this many crashes that no other unit explains, a unit starts only on an empty
# target. A single crash is weak evidence: all units on the target have one.
UNEXPLAINED_CRASHES_TO_ISOLATE = 2
# A unit is given up after this many crashes soon after its start with no other unit on
# the target ("clear" ones). Targets that crash for other causes seldom do so at such a
# moment, but a bad VM may do so again.
MAX_CLEAR_CRASHES = 2
# A unit is also given up after this many crashes soon after its start, of which one is
# clear, and no other unit explains the others. On a single VM, two have to be clear,
# and `MAX_CLEAR_CRASHES` alone does not suffice. A unit that shares a target after its
# first crash is so given up as early as one that is isolated at once.
MAX_RECENT_CRASHES = 3
# A unit is given up after this many crashes of any kind, one of them without another
# unit on the target.
MAX_CRASHES = 4
# Phases of units that run, or are about to.
STARTED_PHASES = (Phase.CLAIMING, Phase.COMMITTING, Phase.RUNNING)
# After this many crashes of any kind, a unit runs alone until it ends, since it may
# crash its targets late. Crashes that another unit explains count too.
CRASHES_TO_ISOLATE = 3


def is_suspect(unit: Unit) -> bool:
    """Return whether a unit should start on a target that runs nothing else."""
    return stays_alone(unit) or _unexplained_crashes(unit) > 0


def needs_isolation(unit: Unit) -> bool:
    """Return whether a unit may start only on a target that runs nothing else."""
    if stays_alone(unit):
        return True
    return _unexplained_crashes(unit) >= UNEXPLAINED_CRASHES_TO_ISOLATE


def _unexplained_crashes(unit: Unit) -> int:
    return sum(crash.suspected and not crash.explained for crash in unit.crashes)


def stays_alone(unit: Unit) -> bool:
    """Return whether a unit runs alone until it ends."""
    return len(unit.crashes) >= CRASHES_TO_ISOLATE


def is_given_up(unit: Unit) -> bool:
    """Return whether enough targets have crashed under a unit to start it no more.

    Crashes that another unit explains count too: both may crash their targets.
    """
    clear = sum(crash.alone and crash.recent for crash in unit.crashes)
    recent = sum(
        crash.recent and (crash.alone or not crash.explained) for crash in unit.crashes
    )
    is_one_vm = len({crash.agent for crash in unit.crashes}) == 1
    if not is_one_vm and clear >= MAX_CLEAR_CRASHES:
        return True
    min_clear = MAX_CLEAR_CRASHES if is_one_vm else 1
    if recent >= MAX_RECENT_CRASHES and clear >= min_clear:
        return True
    is_any_alone = any(crash.alone for crash in unit.crashes)
    return len(unit.crashes) >= MAX_CRASHES and is_any_alone


class _UnitRun(NamedTuple):
    """A run on a target that crashed, with its unit; None if its job is unknown."""

    unit: Unit | None
    run: CrashedRun


def record_crashes(
    state: CellState, crashes: tuple[TargetCrash, ...], successor: TargetIncarnation
) -> None:
    """Count crashes of targets under the units that were on them.

    Agents repeat their reports of crashes, and report them to a new holder too; each
    run counts once. Fails the job of a unit that is given up.

    Parameters
    ----------
    state : CellState
    crashes : tuple of TargetCrash
        Crashes on one VM.
    successor : TargetIncarnation
        The one that runs there now.
    """
    for crash in crashes:
        if crash.incarnation in state.counted_crashes:
            continue
        state.counted_crashes.add(crash.incarnation)
        unit_runs = [_UnitRun(_unit_of(state, run), run) for run in crash.runs]
        alone = len({_unit_key(unit_run) for unit_run in unit_runs}) == 1
        any_recent = any(run.age_s <= RECENT_START_S for run in crash.runs)
        for unit, run in unit_runs:
            if unit is None:
                continue
            unit.avoided_targets |= {crash.target, successor.target}
            if _is_counted(state, unit, run):
                continue
            recent = run.age_s <= RECENT_START_S
            _record(
                state,
                unit,
                Crash(
                    run.id.run,
                    crash.target,
                    crash.incarnation,
                    successor.agent,
                    alone,
                    recent,
                    recent or not any_recent,
                ),
            )


def _unit_key(unit_run: _UnitRun) -> tuple[str, int, int]:
    """Return the job, step and first index of a unit, also of one of an unknown job."""
    unit, run = unit_run
    first_index = run.id.index if unit is None else unit.first_index
    return run.id.job, run.id.step, first_index


def _unit_of(state: CellState, run: CrashedRun) -> Unit | None:
    job = state.jobs.get(run.id.job)
    return job.unit_of(run.id.step, run.id.index) if job else None


def _is_counted(state: CellState, unit: Unit, run: CrashedRun) -> bool:
    """Return whether a crash under a run counts no more, or has been counted."""
    if state.jobs[unit.job].ended or unit.phase is Phase.DONE:
        return True
    if any(known.run == run.id.run for known in unit.crashes):
        return True
    return run.id.run > unit.run


def _record(state: CellState, unit: Unit, crash: Crash) -> None:
    job = state.jobs[unit.job]
    unit.crashes += (crash,)
    state.mark_dirty(job)
    state.log(
        "crash_counted",
        job=unit.job,
        step=unit.step,
        first=unit.first_index,
        run=crash.run,
        target=crash.target,
        incarnation=crash.incarnation,
        alone=crash.alone,
        recent=crash.recent,
        suspected=crash.suspected,
        crashes=len(unit.crashes),
        unexplained=_unexplained_crashes(unit),
    )
    if crash.alone and crash.recent:
        _explain_crashes(state, unit)
    if is_given_up(unit) and not job.reason:
        targets = ", ".join(known.target for known in unit.crashes)
        lifecycle.fail_job(
            state,
            job,
            f"step {unit.step}: task {unit.first_index} crashed the targets {targets}",
        )


def _explain_crashes(state: CellState, culprit: Unit) -> None:
    """Mark the crashes that other units share with a unit as explained by it."""
    incarnations = {crash.incarnation for crash in culprit.crashes}
    for job in state.open_jobs.values():
        for unit in job.units:
            if unit is culprit or not unit.crashes:
                continue
            marked = tuple(
                crash._replace(explained=True)
                if crash.incarnation in incarnations
                else crash
                for crash in unit.crashes
            )
            if marked != unit.crashes:
                unit.crashes = marked
                state.mark_dirty(job)
                state.log(
                    "crash_explained",
                    job=unit.job,
                    step=unit.step,
                    first=unit.first_index,
                    by=f"{culprit.job}/{culprit.step}/{culprit.first_index}",
                )


def end_probations(state: CellState) -> None:
    """Let units that have run alone for long enough share their targets again.

    One that has ended alone without a crash clears its step as well.
    """
    for unit in state.isolated_units:
        if unit.isolated and unit.phase is Phase.DONE:
            _clear_step(state, unit)
    state.isolated_units = isolated_units(state)
    for unit in state.isolated_units:
        if stays_alone(unit) or not _has_survived(state, unit):
            continue
        unit.isolated = False
        for member_index, member in enumerate(unit.members):
            target = state.targets_by_incarnation.get(member.target_incarnation)
            if target is not None:
                target.share(unit.run_id(member_index)[:3])
        state.log(
            "probation_ended",
            job=unit.job,
            step=unit.step,
            first=unit.first_index,
            run=unit.run,
        )
        _clear_step(state, unit)


def _clear_step(state: CellState, survivor: Unit) -> None:
    """Clear the other units of a survivor's step that have one crash.

    The tasks of a step run the same program. Units with more crashes stay suspects.
    """
    job = state.jobs[survivor.job]
    cleared = 0
    for unit in job.units:
        if unit is survivor or unit.step != survivor.step or len(unit.crashes) != 1:
            continue
        (crash,) = unit.crashes
        if crash.suspected and not crash.explained:
            unit.crashes = (crash._replace(explained=True),)
            cleared += 1
    if cleared:
        state.mark_dirty(job)
        state.log(
            "step_cleared",
            job=survivor.job,
            step=survivor.step,
            by=survivor.first_index,
            units=cleared,
        )


def _has_survived(state: CellState, unit: Unit) -> bool:
    """Return whether a unit's targets have listed its run for `PROBATION_S`.

    The agent of a target that has crashed goes on reporting the run as running until
    another incarnation replaces the target.
    """
    if unit.phase is not Phase.RUNNING:
        return False
    for member in unit.members:
        target = state.targets_by_incarnation.get(member.target_incarnation)
        if target is None or not member.running or member.released:
            return False
        if target.listed_s - unit.started_s < PROBATION_S:
            return False
    return True


def is_on_probation(state: CellState, unit: Unit) -> bool:
    """Return whether a unit runs in isolation, so that its outcome will be evidence.

    It is not if its agent is silent: then it may take up to 30 s until the unit is
    known not to run, and other units must not wait for it. Nor is a unit that runs
    alone until it ends, once it has run for as long as a probation takes.
    """
    if not unit.isolated or unit.phase not in STARTED_PHASES:
        return False
    return not _has_survived(state, unit) and _is_heard_from(state, unit)


def is_running(state: CellState, job: Job) -> bool:
    """Return whether a unit of a job runs, or is about to, as far as is known.

    One whose agent is silent may have been lost.
    """
    return any(
        unit.phase in STARTED_PHASES and _is_heard_from(state, unit)
        for unit in job.units
    )


def _is_heard_from(state: CellState, unit: Unit) -> bool:
    """Return whether the agents of a unit's targets have reported lately."""
    oldest_s = state.now_s - MAX_SILENCE_ON_PROBATION_S
    targets = [
        state.targets_by_incarnation.get(member.target_incarnation)
        for member in unit.members
    ]
    return all(target and target.last_report_s >= oldest_s for target in targets)


def isolated_units(state: CellState) -> list[Unit]:
    """Return the units that run, or are about to run, alone on their targets."""
    return [
        unit
        for unit in state.isolated_units
        if unit.isolated and unit.phase not in (Phase.WAITING, Phase.DONE)
    ]
