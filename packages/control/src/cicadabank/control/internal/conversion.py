"""Conversion between wire messages and the scheduler's types."""

from __future__ import annotations

from cicadabank.scheduling import (
    CrashedRun,
    EndedRun,
    Report,
    Resources,
    RunId,
    RunningRun,
    Start,
    TargetCrash,
    TargetIncarnation,
)
from cicadabank.wire import fleet_pb2


def run_id_from_message(message: fleet_pb2.RunId) -> RunId:
    """Return the run id that a message contains."""
    return RunId(message.job, message.step, message.index, message.run)


def run_id_to_message(run: RunId) -> fleet_pb2.RunId:
    """Return the message for a run id."""
    return fleet_pb2.RunId(job=run.job, step=run.step, index=run.index, run=run.run)


def report_from_message(message: fleet_pb2.TargetReport) -> Report:
    """Return the report that an agent's message contains."""
    return Report(
        agent=message.agent,
        agent_run=message.agent_run,
        report_number=message.number,
        target_incarnation=TargetIncarnation(
            message.target, message.incarnation, message.agent
        ),
        domain=message.domain,
        capacity=Resources(
            message.cpu_millicores, message.memory_mb, message.accelerators
        ),
        largest_capacity=Resources(
            message.largest_cpu_millicores,
            message.largest_memory_mb,
            message.largest_accelerators,
        ),
        labels=tuple(message.labels),
        rack=message.rack,
        draining=message.draining,
        remaining_s=message.remaining_s,
        observed=message.observed,
        listed_age_s=message.listed_age_s,
        unhealthy=message.unhealthy,
        leaving=message.leaving,
        running=tuple(
            RunningRun(run_id_from_message(run.id), run.checkpoint, run.percent)
            for run in message.running
        ),
        ended=tuple(
            EndedRun(end.sequence, run_id_from_message(end.id), end.how, end.checkpoint)
            for end in message.ended
        ),
        pending=tuple(run_id_from_message(run) for run in message.pending),
        refused=tuple(
            (run_id_from_message(run.id), run.reason) for run in message.refused
        ),
        not_running=tuple(run_id_from_message(run) for run in message.gone),
        stopping=tuple(run_id_from_message(run) for run in message.stopping),
        registration=(
            message.registration if message.HasField("registration") else None
        ),
        crashes=tuple(_crash_from_message(crash) for crash in message.crashes),
        late_starts=tuple(run_id_from_message(run) for run in message.late_starts),
        lease_call_age_s=(
            message.lease_call_age_s if message.HasField("lease_call_age_s") else None
        ),
    )


def _crash_from_message(message: fleet_pb2.TargetCrash) -> TargetCrash:
    runs = (
        CrashedRun(
            run_id_from_message(run.id),
            run.age_s if run.HasField("age_s") else float("inf"),
        )
        for run in message.runs
    )
    return TargetCrash(message.target, message.incarnation, tuple(runs))


def crash_to_message(crash: TargetCrash) -> fleet_pb2.TargetCrash:
    """Return the message for a crash of a target."""
    message = fleet_pb2.TargetCrash(target=crash.target, incarnation=crash.incarnation)
    for run in crash.runs:
        added = message.runs.add(id=run_id_to_message(run.id))
        if run.age_s < float("inf"):
            added.age_s = run.age_s
    return message


def add_listed_runs(
    message: fleet_pb2.TargetReport,
    running: tuple[RunningRun, ...],
    ended: tuple[EndedRun, ...],
) -> set[RunId]:
    """Add the runs that a target lists to a report; return their ids."""
    for run in running:
        message.running.add(
            id=run_id_to_message(run.id),
            checkpoint=run.checkpoint,
            percent=run.percent,
        )
    for end in ended:
        message.ended.add(
            id=run_id_to_message(end.id),
            sequence=end.sequence,
            how=end.outcome,
            checkpoint=end.checkpoint,
        )
    return {listed.id for listed in (*running, *ended)}


def start_to_message(start: Start) -> fleet_pb2.StartRun:
    """Return the message for an order to start a run."""
    cpu_millicores, memory_mb, accelerators = start.need
    allocated = Resources(*start.allocated)
    return fleet_pb2.StartRun(
        id=run_id_to_message(start.id),
        spec=start.payload,
        checkpoint=start.checkpoint,
        cpu_millicores=cpu_millicores,
        memory_mb=memory_mb,
        accelerators=accelerators,
        allocated_cpu_millicores=allocated.cpu_millicores,
        allocated_memory_mb=allocated.memory_mb,
        allocated_accelerators=allocated.accelerators,
    )
