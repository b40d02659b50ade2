"""Commands that show the cells that entries hold, and their jobs."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from cicadabank.client.errors import UnreachableError
from cicadabank.client.internal.context import CommonOptions, exit_on_error
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import Output, print_json, print_table
from cyclopts import App

cell_app = App(name="cell", help="Show the cells that entries hold, and their jobs.")
DEFAULT_OPTIONS = CommonOptions()
WORKSPACE_COLUMNS = ("workspace", "guaranteed_accelerators", "entitlement", "use")
QUEUE_COLUMNS = ("queue", "priority", "waiting", "running", "forecast_error")
TARGET_COLUMNS = ("target", "domain", "slowness", "comparisons", "incidents", "usable")
JOB_COLUMNS = ("job", "queue", "workspace", "state", "age_s")
STEP_COLUMNS = ("step", "count", "gang", "expected_s")
UNIT_COLUMNS = ("step", "first", "size", "phase", "run", "failed_runs", "remaining_s")


@cell_app.command
def status(address: str, cell: str, *, common: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Show a cell's workspaces, queues, targets and open jobs.

    Parameters
    ----------
    address
        Readiness address of the entry that holds the cell, as IP:port or base URL.
    cell
        Name of the cell.
    """
    with exit_on_error(common.output):
        view = _fetch(address, f"/cells/{quote(cell, safe='')}")
        if common.output is Output.JSON:
            print_json(view)
        else:
            _print_cell(view)


@cell_app.command
def explain(
    address: str, cell: str, job: str, *, common: CommonOptions = DEFAULT_OPTIONS
) -> None:
    """Explain why a job waits, runs or was stopped, with its slack and forecast end.

    Parameters
    ----------
    address
        Readiness address of the entry that holds the cell, as IP:port or base URL.
    cell
        Name of the cell.
    job
        Id of the job.
    """
    with exit_on_error(common.output):
        path = f"/cells/{quote(cell, safe='')}/jobs/{quote(job, safe='')}"
        view = _fetch(address, path)
        if common.output is Output.JSON:
            print_json(view)
        else:
            _print_job(view)


def _fetch(address: str, path: str) -> dict[str, Any]:
    url = address if address.startswith("http") else f"http://{address}"
    try:
        with Client([url]) as client:
            return client.call("GET", path)
    except UnreachableError as error:
        raise UnreachableError(
            error.message, "check the entry's readiness address"
        ) from error


def _print_cell(view: dict[str, Any]) -> None:
    print(
        f"cell {view['cell']}, epoch {view['epoch']}, held for {view['held_s']:.0f} s, "
        f"{'loaded' if view['loaded'] else 'not loaded yet'}, "
        f"configuration {view['config_version']}"
    )
    print(
        f"{view['usable_count']} of {view['target_count']} targets usable, "
        f"{view['job_count']} open jobs"
    )
    if view["absent_count"]:
        agents = ", ".join(absent["agent"] for absent in view["absent_targets"])
        print(f"{view['absent_count']} targets absent, of the agents {agents}")
    if view["domains_out"]:
        print(f"failure domains out of service: {', '.join(view['domains_out'])}")
    for name, part in view["parts"].items():
        print(f"{name}: {_part_text(part)}")
    _print_rows("Workspaces", WORKSPACE_COLUMNS, view["workspaces"])
    _print_rows("Queues", QUEUE_COLUMNS, view["queues"])
    targets = [
        {**target, "usable": "yes" if target["usable"] else f"no: {target['reason']}"}
        for target in view["targets"]
    ]
    _print_rows("Targets", TARGET_COLUMNS, targets)
    _print_rows("Jobs", JOB_COLUMNS, view["jobs"])
    _print_cut("targets", len(targets), view["target_count"])
    _print_cut("jobs", len(view["jobs"]), view["job_count"])


def _part_text(part: Any) -> str:
    if not isinstance(part, dict):
        return json.dumps(part)
    text = "active" if part.get("active") else "not active"
    reason = part.get("reason")
    rest = {
        name: value
        for name, value in part.items()
        if name not in ("active", "reason", "enabled")
    }
    text = f"{text}: {reason}" if reason else text
    return f"{text} {json.dumps(rest, sort_keys=True)}" if rest else text


def _print_rows(
    title: str, columns: tuple[str, ...], rows: list[dict[str, Any]]
) -> None:
    if rows:
        print(f"\n{title}:")
        texts = [[_text(row.get(name)) for name in columns] for row in rows]
        print_table(columns, texts)


def _text(value: Any) -> str:
    return "-" if value is None else str(value)


def _print_cut(kind: str, shown: int, count: int) -> None:
    if shown < count:
        print(f"\nonly {shown} of {count} {kind} are shown")


def _print_job(view: dict[str, Any]) -> None:
    reason = f": {view['reason']}" if view["reason"] else ""
    print(f"job {view['job']} is {view['state']}{reason}")
    print(
        f"queue {view['queue']} with priority {view['priority']}, "
        f"workspace {view['workspace'] or '-'}"
    )
    on_time_text = f"on time within {view['on_time_s']:.1f} s"
    if view["slack_s"] is None:
        print(f"ended {view['age_s']:.1f} s after its acceptance, {on_time_text}")
    else:
        print(
            f"accepted {view['age_s']:.1f} s ago, {on_time_text}, slack "
            f"{view['slack_s']:.1f} s, expected to end in "
            f"{view['forecast_end_s']:.1f} s at the earliest"
        )
    if view["last_stop"]:
        stop = view["last_stop"]
        print(
            f"last stop: step {stop['step']}, task {stop['first']}, run {stop['run']}: "
            f"{stop['reason']}"
        )
    steps = [
        {**step, "units": _counts(step["units"]), "after": _list(step)}
        for step in view["steps"]
    ]
    _print_rows("Steps", (*STEP_COLUMNS, "after", "units"), steps)
    units = [
        {**unit, "why": unit["why"] + _targets(unit["targets"])}
        for unit in view["units"]
    ]
    _print_rows("Units", (*UNIT_COLUMNS, "why"), units)
    _print_cut("open units", len(units), view["open_units"])


def _list(step: dict[str, Any]) -> str | None:
    return ", ".join(map(str, step["waits_for_steps"])) or None


def _counts(units: dict[str, int]) -> str:
    return ", ".join(f"{count} {phase}" for phase, count in sorted(units.items()))


def _targets(targets: list[str]) -> str:
    return f" on {', '.join(targets)}" if targets else ""
