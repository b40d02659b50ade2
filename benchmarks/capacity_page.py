"""Writes the tables of docs/CAPACITY.md from the JSON of the capacity benchmark.

``python -m benchmarks.capacity > docs/capacity.json`` and then
``python -m benchmarks.capacity_page`` update the measurements and the page.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from cicadabank.settings import EntrySettings

DOCS = Path(__file__).parent.parent / "docs"
TABLES_BEGIN, TABLES_END = "<!-- tables: begin -->", "<!-- tables: end -->"

# The planned size.
WORKERS = 19_000
TASKS = 71_000
JOBS_PER_DAY = 10_000
CONFIG_CHANGES_PER_DAY = 40_000
# All restarts of a day; the table row assumes that they happen within one hour.
WORKER_RESTARTS_PER_DAY = 2_200
CELLS = 22
DAY_S = 86_400.0
# Intervals and rates of the entries.
SESSION_RENEW_S = 1.5
SUMMARY_READ_S = 2.0
HEARTBEATS_PER_S = EntrySettings._field_defaults["beats_per_s"]
# Bounds that the estimates are compared with.
CORE_SHARE_BOUND = 0.036
MEMORY_BOUND_MB = 256.0
BYTES_BOUND_PER_S = 8_192.0
WRITES_BOUND_PER_S = 300.0
READS_BOUND_PER_S = 2_000.0
CONFIG_BOUND_S = 5.0
URGENT_BOUND_S = 2.5
WORKERS_PER_CELL = WORKERS / CELLS


class CapacityRow(NamedTuple):
    """A row of the capacity table: an estimate for a role, and its bound."""

    role: str
    quantity: str
    value: str
    bound: str
    within_bound: bool
    mechanism: str


def capacity_rows(measured: dict[str, Any]) -> list[CapacityRow]:
    """Return the table rows of all roles, extrapolated to the planned size."""
    return [
        *_agent_rows(measured),
        *_entry_rows(measured),
        *_table_rows(measured),
        *_time_rows(measured),
    ]


def _agent_rows(measured: dict[str, Any]) -> list[CapacityRow]:
    points = measured["agent"]["worker"]
    tasks = TASKS / WORKERS
    share_per_task, share_without_tasks = np.polyfit(
        [p["tasks"] for p in points], [p["core_share"] for p in points], 1
    )
    share = share_without_tasks + share_per_task * tasks
    memory_mb = max(p["memory_mb"] for p in points)
    interval_s = WORKERS_PER_CELL / HEARTBEATS_PER_S
    bytes_per_s = measured["holder"]["points"][-1]["bytes"] / interval_s
    role = "agent of a worker"
    return [
        CapacityRow(
            role,
            f"core, {tasks:.1f} attempts",
            f"{share:.2%}",
            f"{CORE_SHARE_BOUND:.1%}",
            share <= CORE_SHARE_BOUND,
            "ticks of 0.1 s, usage read each 0.25 s",
        ),
        CapacityRow(
            role,
            "memory",
            f"{memory_mb:.0f} MB",
            f"{MEMORY_BOUND_MB:.0f} MB",
            memory_mb <= MEMORY_BOUND_MB,
            "members only",
        ),
        CapacityRow(
            role,
            f"traffic, a heartbeat each {interval_s:.1f} s",
            f"{bytes_per_s:.0f} B/s",
            f"{BYTES_BOUND_PER_S:.0f} B/s",
            bytes_per_s <= BYTES_BOUND_PER_S,
            "digest; changes only",
        ),
    ]


def _entry_rows(measured: dict[str, Any]) -> list[CapacityRow]:
    holder = measured["holder"]
    heartbeat_share = HEARTBEATS_PER_S * holder["cpu_ms_per_heartbeat"] / 1000
    share = holder["idle_core_share"] + heartbeat_share
    memory_mb = (
        holder["idle_memory_mb"]
        + WORKERS_PER_CELL * holder["memory_kb_per_worker"] / 1024
        + TASKS / CELLS * 4 / 1024
    )
    bytes_per_heartbeat = holder["points"][-1]["bytes"]
    return [
        CapacityRow(
            "entry without cells",
            "core",
            f"{holder['idle_core_share']:.2%}",
            f"{CORE_SHARE_BOUND:.1%}",
            holder["idle_core_share"] <= CORE_SHARE_BOUND,
            "polls and ticks",
        ),
        CapacityRow(
            "holder of a cell of 864",
            f"core, {HEARTBEATS_PER_S:.0f} heartbeats/s",
            f"{share:.1%}",
            f"{CORE_SHARE_BOUND:.1%}",
            share <= CORE_SHARE_BOUND,
            "interval grows with the cell",
        ),
        CapacityRow(
            "holder of a cell of 864",
            "memory",
            f"{memory_mb:.0f} MB",
            f"{MEMORY_BOUND_MB:.0f} MB",
            memory_mb <= MEMORY_BOUND_MB,
            "a cell's state only",
        ),
        CapacityRow(
            "holder of a cell of 864",
            "traffic of heartbeats",
            f"{bytes_per_heartbeat * HEARTBEATS_PER_S / 1024:.1f} KB/s",
            "8 KB/s",
            bytes_per_heartbeat * HEARTBEATS_PER_S <= BYTES_BOUND_PER_S,
            "digest; changes only",
        ),
        CapacityRow(
            "operator's client",
            "core time of a call, memory",
            f"{measured['client']['cpu_ms_per_call']:.1f} ms, "
            f"{measured['client']['memory_mb']:.0f} MB",
            "-",
            True,
            "runs for one command",
        ),
        CapacityRow(
            "entry",
            "core of each open watch",
            f"{measured['watchers']['cpu_ms_per_s_each'] / 1000:.3%}",
            "-",
            True,
            "a read each 0.5 s; 128 at most",
        ),
    ]


def idle_load(measured: dict[str, Any], name: str, entries: int) -> float:
    """Return the rows per second of idle entries, extrapolated from the measurements.

    Each entry scans the rows of all entries, so the reads grow quadratically.
    """
    points = measured["table"]["idle"]
    fit = np.polyfit([p["entries"] for p in points], [p[name] for p in points], 2)
    return float(np.polyval(fit, entries))


def _table_rows(measured: dict[str, Any]) -> list[CapacityRow]:
    entries = CELLS
    job_writes = measured["table"]["job"]["transact"] * JOBS_PER_DAY / DAY_S
    config_changes = CONFIG_CHANGES_PER_DAY / DAY_S
    writes_per_s = (
        idle_load(measured, "transact", entries) + job_writes + config_changes
    )
    reads_per_s = idle_load(measured, "rows_read", entries) + entries * config_changes
    reads_per_s += (
        CELLS - 1
    ) * entries / SESSION_RENEW_S + CELLS * entries / SUMMARY_READ_S
    restart_writes = WORKER_RESTARTS_PER_DAY / 3600 * TASKS / WORKERS * 2
    writes_with_restarts = writes_per_s + restart_writes
    domain_loss_s = TASKS / CELLS * 3 / (WRITES_BOUND_PER_S - writes_per_s)
    sizes = measured["job_row_bytes"]
    return [
        CapacityRow(
            "table service",
            f"writes, {entries} entries, ordinary day",
            f"{writes_per_s:.1f}/s",
            f"{WRITES_BOUND_PER_S:.0f}/s",
            writes_per_s <= WRITES_BOUND_PER_S,
            "one session row for each entry; no leases of tasks",
        ),
        CapacityRow(
            "table service",
            f"rows read, {entries} entries, {CELLS} cells",
            f"{reads_per_s:.0f}/s",
            f"{READS_BOUND_PER_S:.0f}/s",
            reads_per_s <= READS_BOUND_PER_S,
            "head of the log; small summaries",
        ),
        CapacityRow(
            "table service",
            "writes, 2,200 restarts in an hour",
            f"{writes_with_restarts:.1f}/s",
            f"{WRITES_BOUND_PER_S:.0f}/s",
            writes_with_restarts <= WRITES_BOUND_PER_S,
            "two writes for each gang that runs again",
        ),
        CapacityRow(
            "table service",
            "a failure domain falls: time to store all its gangs",
            f"{domain_loss_s:.0f} s",
            "-",
            True,
            "eight commits at once for each cell",
        ),
        CapacityRow(
            "object service",
            "answers over 64 KB, members' over 32 KB",
            "1 each, by size",
            "-",
            True,
            "uploaded by the agent or the holder",
        ),
        CapacityRow(
            "table service",
            "bytes of a running job's row, 1/8/128 workers",
            f"{sizes['1']}/{sizes['8']}/{sizes['128']}",
            "-",
            True,
            "history kept to 60 decisions",
        ),
    ]


def _time_rows(measured: dict[str, Any]) -> list[CapacityRow]:
    in_force = measured["config"]["in_force_s"]["p99"]
    takeover = measured["takeover"]
    tick_s = measured["tick"]["first_plan_of_a_waiting_job_ms"] / 1000
    placement_s = measured["placement_ms"]["1024"]["ms"]["p99"] / 1000
    return [
        CapacityRow(
            "configuration",
            "in force at every entry, p99",
            f"{in_force:.2f} s",
            f"{CONFIG_BOUND_S:.0f} s",
            in_force <= CONFIG_BOUND_S,
            "head read each 0.5 s; reservations carry the view",
        ),
        CapacityRow(
            "takeover of a cell of 1,000 jobs",
            "reads, core time",
            f"{takeover['reads']}, "
            f"{takeover['load_s'] + takeover['first_beats_s']:.2f} s",
            "seconds",
            True,
            "index of open jobs, rows by the hundred",
        ),
        CapacityRow(
            "decisions, cell of 1,000",
            "core time of a plan, of a gang of 1024",
            f"{tick_s * 1000:.1f} ms, {placement_s * 1000:.1f} ms",
            f"{URGENT_BOUND_S:.1f} s",
            tick_s + placement_s <= URGENT_BOUND_S,
            "sorted index of free accelerators",
        ),
    ]


def capacity_table(capacity: list[CapacityRow]) -> str:
    """Return the table rows in Markdown."""
    lines = ["| role | what | at the target | bound | fits | mechanism |"]
    lines.append("|---|---|---|---|---|---|")
    for row in capacity:
        fits = "-" if row.bound == "-" else "yes" if row.within_bound else "**no**"
        lines.append(
            f"| {row.role} | {row.quantity} | {row.value} | {row.bound} | {fits} "
            f"| {row.mechanism} |"
        )
    return "\n".join(lines)


def measurements_table(measured: dict[str, Any]) -> str:
    """Return the measurements as a Markdown table."""
    lines = ["| measured | size | figures |", "|---|---|---|"]
    for point in measured["holder"]["points"]:
        lines.append(
            f"| holder | {point['heartbeats_per_s']:.0f} heartbeats/s "
            f"| {point['core_share']:.1%} of a core, {point['memory_mb']:.0f} MB |"
        )
    for point in measured["agent"]["worker"]:
        lines.append(
            f"| agent | {point['tasks']} attempts | {point['core_share']:.2%} "
            f"of a core, {point['memory_mb']:.0f} MB |"
        )
    for point in measured["table"]["idle"]:
        lines.append(
            f"| table, idle | {point['entries']} entries | {point['transact']:.1f} "
            f"writes/s, {point['rows_read']:.1f} rows read/s |"
        )
    job = measured["table"]["job"]
    lines.append(f"| table | one job | {job['transact']:.1f} transactions |")
    for point in measured["watchers"]["points"]:
        lines.append(
            f"| entry | {point['watchers']} watchers | {point['core_share']:.1%} "
            "of a core |"
        )
    in_force = measured["config"]["in_force_s"]
    lines.append(
        f"| configuration | {in_force['count']} changes, 2 entries | in force after "
        f"{in_force['p50']:.2f} s (p50), {in_force['p99']:.2f} s (p99) |"
    )
    return "\n".join(lines)


def main() -> None:
    """Replace the tables between the page's markers."""
    measured = json.loads((DOCS / "capacity.json").read_text())["results"]
    page = DOCS / "CAPACITY.md"
    page_text = page.read_text()
    head, _, rest = page_text.partition(TABLES_BEGIN)
    _, _, tail = rest.partition(TABLES_END)
    tables = (
        f"{capacity_table(capacity_rows(measured))}\n\n"
        f"## Slopes\n\n{measurements_table(measured)}"
    )
    page.write_text(f"{head}{TABLES_BEGIN}\n\n{tables}\n\n{TABLES_END}{tail}")


if __name__ == "__main__":
    main()
