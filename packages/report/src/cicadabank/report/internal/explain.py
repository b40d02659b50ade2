"""Explanation of a job's record as text."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

RAN_TEXT = {
    "no": "No task of it was ever started.",
    "yes": "Its tasks were run.",
    "unknown": "Its tasks may have been started; whether they completed is not known.",
}
RUNNING_TEXT = "Its start is stored; its tasks are running or about to start."
EVENT_TEXT = {
    "submitted": "the job was accepted",
    "start": "the start of the whole gang was stored",
    "requeued": "the job was requeued",
    "checkpointed": "the gang was checkpointed and the job was requeued",
    "stopped": "the gang was stopped and the job was requeued",
    "failed": "a task failed",
    "cancel": "cancellation was requested",
    "cancelled": "the job was cancelled",
    "refused": "the job was refused",
    "done": "the job was done",
    "outcome-unknown": "the job ended with an unknown outcome",
}


def explain_job(record: dict[str, Any]) -> str:
    """Return a text with a job's state and each decision about it with its cause.

    Parameters
    ----------
    record : dict
        The job as the HTTP API returns it.
    """
    lines = [*_summary_lines(record), "", "Decisions:"]
    for decision in record["history"]:
        lines += _decision_lines(decision)
    if record["members"] and record["state"] == "running":
        placement = ", ".join(
            f"{member['tasks']} on {member['worker']}" for member in record["members"]
        )
        lines += ["", f"Current placement: {placement}."]
    return "\n".join(lines)


def _summary_lines(record: dict[str, Any]) -> list[str]:
    spec = record["spec"]
    total = spec["tasks"] * spec["accelerators_per_task"]
    traits = [name for name in ("urgent", "idempotent", "checkpointable") if spec[name]]
    if not spec["idempotent"]:
        traits.append("at most once")
    lines = [
        f"Job {record['job']} of workspace {spec['workspace']} is {record['state']}.",
        f"It asks for {spec['tasks']} tasks with "
        f"{spec['accelerators_per_task']} accelerators "
        f"each ({total} together) within one {spec['adjacency']}"
        + (f"; {', '.join(traits)}." if traits else "."),
        RUNNING_TEXT if record["state"] == "running" else RAN_TEXT[record["ran"]],
    ]
    if record["reason"]:
        lines.append(f"Reason: {record['reason']}.")
    return lines


def _decision_lines(decision: dict[str, Any]) -> list[str]:
    decided_at = datetime.fromtimestamp(decision["at_unix_s"], UTC)
    text = EVENT_TEXT.get(decision["event"], decision["event"])
    context = [f"configuration {decision['config_version']}"]
    if decision["epoch"]:
        context.insert(0, f"epoch {decision['epoch']}")
    if decision["attempt"]:
        context.append(decision["attempt"])
    line = (
        f"  {decided_at:%Y-%m-%d %H:%M:%S} UTC  {text}: {decision['cause']} "
        f"({', '.join(context)})"
    )
    return [line]
