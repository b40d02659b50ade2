"""Writes the tables of docs/CAPACITY.md from the JSON of the capacity benchmark.

``python -m benchmarks.capacity > docs/capacity.json`` and then
``python -m benchmarks.capacity_page`` keep page and figures together.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from cicadabank.settings import EntrySettings

DOCS = Path(__file__).parent.parent / "docs"
BEGIN, END = "<!-- tables: begin -->", "<!-- tables: end -->"

WORKERS = 19_000
TASKS = 71_000
JOBS_PER_DAY = 10_000
CHANGES_PER_DAY = 40_000
RESTARTS_PER_DAY = 2_200
CELLS = 22
DAY_S = 86_400.0
SESSION_RENEW_S = 1.5
SUMMARY_READ_S = 2.0
BEATS_PER_S = EntrySettings._field_defaults["beats_per_s"]
CORE_BOUND = 0.036
MEMORY_BOUND_MB = 256.0
BYTES_BOUND_PER_S = 8_192.0
WRITES_BOUND_PER_S = 300.0
READS_BOUND_PER_S = 2_000.0
CONFIG_BOUND_S = 5.0
URGENT_BOUND_S = 2.5
DOMAIN_WORKERS = WORKERS / CELLS


class Line(NamedTuple):
    """One line of the page."""

    role: str
    what: str
    value: str
    bound: str
    fits: bool
    mechanism: str


def role_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return the lines of every role at the target size."""
    return [
        *_agent_lines(slopes),
        *_entry_lines(slopes),
        *_table_lines(slopes),
        *_time_lines(slopes),
    ]


def _agent_lines(slopes: dict[str, Any]) -> list[Line]:
    points = slopes["agent"]["worker"]
    tasks = TASKS / WORKERS
    slope, base = np.polyfit(
        [p["tasks"] for p in points], [p["core_share"] for p in points], 1
    )
    share = base + slope * tasks
    memory_mb = max(p["memory_mb"] for p in points)
    interval_s = DOMAIN_WORKERS / BEATS_PER_S
    rate = slopes["holder"]["points"][-1]["bytes"] / interval_s
    role = "agent of a worker"
    return [
        Line(
            role,
            f"core, {tasks:.1f} attempts",
            f"{share:.2%}",
            f"{CORE_BOUND:.1%}",
            share <= CORE_BOUND,
            "ticks of 0.1 s, usage read each 0.25 s",
        ),
        Line(
            role,
            "memory",
            f"{memory_mb:.0f} MB",
            f"{MEMORY_BOUND_MB:.0f} MB",
            memory_mb <= MEMORY_BOUND_MB,
            "members only",
        ),
        Line(
            role,
            f"traffic, a heartbeat each {interval_s:.1f} s",
            f"{rate:.0f} B/s",
            f"{BYTES_BOUND_PER_S:.0f} B/s",
            rate <= BYTES_BOUND_PER_S,
            "digest; changes only",
        ),
    ]


def _entry_lines(slopes: dict[str, Any]) -> list[Line]:
    holder = slopes["holder"]
    beat_share = BEATS_PER_S * holder["cpu_ms_per_heartbeat"] / 1000
    share = holder["idle_core_share"] + beat_share
    memory_mb = (
        holder["idle_memory_mb"]
        + DOMAIN_WORKERS * holder["memory_kb_per_worker"] / 1024
        + TASKS / CELLS * 4 / 1024
    )
    per_beat = holder["points"][-1]["bytes"]
    return [
        Line(
            "entry without cells",
            "core",
            f"{holder['idle_core_share']:.2%}",
            f"{CORE_BOUND:.1%}",
            holder["idle_core_share"] <= CORE_BOUND,
            "polls and ticks",
        ),
        Line(
            "holder of a cell of 864",
            f"core, {BEATS_PER_S:.0f} heartbeats/s",
            f"{share:.1%}",
            f"{CORE_BOUND:.1%}",
            share <= CORE_BOUND,
            "interval grows with the cell",
        ),
        Line(
            "holder of a cell of 864",
            "memory",
            f"{memory_mb:.0f} MB",
            f"{MEMORY_BOUND_MB:.0f} MB",
            memory_mb <= MEMORY_BOUND_MB,
            "a cell's state only",
        ),
        Line(
            "holder of a cell of 864",
            "traffic of heartbeats",
            f"{per_beat * BEATS_PER_S / 1024:.1f} KB/s",
            "8 KB/s",
            per_beat * BEATS_PER_S <= BYTES_BOUND_PER_S,
            "digest; changes only",
        ),
        Line(
            "operator's client",
            "core time of a call, memory",
            f"{slopes['client']['cpu_ms_per_call']:.1f} ms, "
            f"{slopes['client']['memory_mb']:.0f} MB",
            "-",
            True,
            "runs for one command",
        ),
        Line(
            "entry",
            "core of each open watch",
            f"{slopes['watchers']['cpu_ms_per_s_each'] / 1000:.3%}",
            "-",
            True,
            "a read each 0.5 s; 128 at most",
        ),
    ]


def idle_rows(slopes: dict[str, Any], name: str, entries: int) -> float:
    """Return the rows each second of idle entries, extrapolated from the points.

    Each entry scans the rows of all entries, so reads have a quadratic part.
    """
    points = slopes["table"]["idle"]
    fit = np.polyfit([p["entries"] for p in points], [p[name] for p in points], 2)
    return float(np.polyval(fit, entries))


def _table_lines(slopes: dict[str, Any]) -> list[Line]:
    entries = CELLS
    job_transactions = slopes["table"]["job"]["transact"] * JOBS_PER_DAY / DAY_S
    changes = CHANGES_PER_DAY / DAY_S
    writes = idle_rows(slopes, "transact", entries) + job_transactions + changes
    reads = idle_rows(slopes, "rows_read", entries) + entries * changes
    reads += (CELLS - 1) * entries / SESSION_RENEW_S + CELLS * entries / SUMMARY_READ_S
    storm = RESTARTS_PER_DAY / 3600 * TASKS / WORKERS * 2
    storm_writes = writes + storm
    fall = TASKS / CELLS * 3 / (WRITES_BOUND_PER_S - writes)
    sizes = slopes["job_row_bytes"]
    return [
        Line(
            "table service",
            f"writes, {entries} entries, ordinary day",
            f"{writes:.1f}/s",
            f"{WRITES_BOUND_PER_S:.0f}/s",
            writes <= WRITES_BOUND_PER_S,
            "one session row for each entry; no leases of tasks",
        ),
        Line(
            "table service",
            f"rows read, {entries} entries, {CELLS} cells",
            f"{reads:.0f}/s",
            f"{READS_BOUND_PER_S:.0f}/s",
            reads <= READS_BOUND_PER_S,
            "head of the log; small summaries",
        ),
        Line(
            "table service",
            "writes, 2,200 restarts in an hour",
            f"{storm_writes:.1f}/s",
            f"{WRITES_BOUND_PER_S:.0f}/s",
            storm_writes <= WRITES_BOUND_PER_S,
            "two writes for each gang that runs again",
        ),
        Line(
            "table service",
            "a failure domain falls: time to store all its gangs",
            f"{fall:.0f} s",
            "-",
            True,
            "eight commits at once for each cell",
        ),
        Line(
            "object service",
            "answers over 64 KB, members' over 32 KB",
            "1 each, by size",
            "-",
            True,
            "uploaded by the agent or the holder",
        ),
        Line(
            "table service",
            "bytes of a running job's row, 1/8/128 workers",
            f"{sizes['1']}/{sizes['8']}/{sizes['128']}",
            "-",
            True,
            "history kept to 60 decisions",
        ),
    ]


def _time_lines(slopes: dict[str, Any]) -> list[Line]:
    in_force = slopes["config"]["in_force_s"]["p99"]
    takeover = slopes["takeover"]
    tick_s = slopes["tick"]["first_plan_of_a_waiting_job_ms"] / 1000
    placement_s = slopes["placement_ms"]["1024"]["ms"]["p99"] / 1000
    return [
        Line(
            "configuration",
            "in force at every entry, p99",
            f"{in_force:.2f} s",
            f"{CONFIG_BOUND_S:.0f} s",
            in_force <= CONFIG_BOUND_S,
            "head read each 0.5 s; reservations carry the view",
        ),
        Line(
            "takeover of a cell of 1,000 jobs",
            "reads, core time",
            f"{takeover['reads']}, "
            f"{takeover['load_s'] + takeover['first_beats_s']:.2f} s",
            "seconds",
            True,
            "index of open jobs, rows by the hundred",
        ),
        Line(
            "decisions, cell of 1,000",
            "core time of a plan, of a gang of 1024",
            f"{tick_s * 1000:.1f} ms, {placement_s * 1000:.1f} ms",
            f"{URGENT_BOUND_S:.1f} s",
            tick_s + placement_s <= URGENT_BOUND_S,
            "sorted index of free accelerators",
        ),
    ]


def table(lines: list[Line]) -> str:
    """Return the lines as a Markdown table."""
    rows = ["| role | what | at the target | bound | fits | mechanism |"]
    rows.append("|---|---|---|---|---|---|")
    for line in lines:
        fits = "-" if line.bound == "-" else "yes" if line.fits else "**no**"
        rows.append(
            f"| {line.role} | {line.what} | {line.value} | {line.bound} | {fits} "
            f"| {line.mechanism} |"
        )
    return "\n".join(rows)


def slope_table(slopes: dict[str, Any]) -> str:
    """Return the measured points as Markdown."""
    rows = ["| measured | size | figures |", "|---|---|---|"]
    for point in slopes["holder"]["points"]:
        rows.append(
            f"| holder | {point['heartbeats_per_s']:.0f} heartbeats/s "
            f"| {point['core_share']:.1%} of a core, {point['memory_mb']:.0f} MB |"
        )
    for point in slopes["agent"]["worker"]:
        rows.append(
            f"| agent | {point['tasks']} attempts | {point['core_share']:.2%} "
            f"of a core, {point['memory_mb']:.0f} MB |"
        )
    for point in slopes["table"]["idle"]:
        rows.append(
            f"| table, idle | {point['entries']} entries | {point['transact']:.1f} "
            f"writes/s, {point['rows_read']:.1f} rows read/s |"
        )
    job = slopes["table"]["job"]
    rows.append(f"| table | one job | {job['transact']:.1f} transactions |")
    for point in slopes["watchers"]["points"]:
        rows.append(
            f"| entry | {point['watchers']} watchers | {point['core_share']:.1%} "
            "of a core |"
        )
    in_force = slopes["config"]["in_force_s"]
    rows.append(
        f"| configuration | {in_force['count']} changes, 2 entries | in force after "
        f"{in_force['p50']:.2f} s (p50), {in_force['p99']:.2f} s (p99) |"
    )
    return "\n".join(rows)


def main() -> None:
    """Put the tables between the page's marks."""
    slopes = json.loads((DOCS / "capacity.json").read_text())["results"]
    page = DOCS / "CAPACITY.md"
    text = page.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    tables = f"{table(role_lines(slopes))}\n\n## Slopes\n\n{slope_table(slopes)}"
    page.write_text(f"{head}{BEGIN}\n\n{tables}\n\n{END}{tail}")


if __name__ == "__main__":
    main()
