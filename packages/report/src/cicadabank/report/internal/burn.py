"""Service-level burn: how fast each workspace's error budget is used up, and by what.

A level's objective leaves a budget of bad events. A burn of 1 uses it up exactly over
the window; a burn of 10 ten times as fast.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

HOUR_S = 3600.0
WINDOWS_S = {"1h": HOUR_S, "6h": 6 * HOUR_S, "24h": 24 * HOUR_S, "72h": 72 * HOUR_S}
CULPRITS_NAMED = 5
OPEN_STATES = frozenset({"queued", "running"})


class Event(NamedTuple):
    """Something that a level counts.

    Attributes
    ----------
    count : int
        How many alike.
    """

    at_unix_s: float
    bad: bool
    what: str = ""
    why: str = ""
    count: int = 1


class Burn(NamedTuple):
    """The burn of one level over one window."""

    events: int
    bad: int
    burn: float


class LevelReport(NamedTuple):
    """One service level of a workspace."""

    workspace: str
    level: str
    measure: str
    objective: float
    threshold_s: float
    windows: dict[str, Burn]
    culprits: list[tuple[str, str]]

    @property
    def budget_left(self) -> float:
        """Share of the error budget of the longest window that is left."""
        return 1.0 - self.windows[next(reversed(WINDOWS_S))].burn


class KeptRecord(NamedTuple):
    """What the report is worked out from, as the HTTP interface returns it."""

    workspaces: list[dict[str, Any]]
    jobs: list[dict[str, Any]]
    tallies: list[dict[str, Any]]
    in_force: list[dict[str, Any]]
    changes: list[dict[str, Any]]


def burn_report(record: KeptRecord, now_unix_s: float) -> list[LevelReport]:
    """Return the burn of every declared level, by workspace and level.

    Raises
    ------
    KeyError
        If a level names a measure that doesn't exist.
    """
    reports = []
    for workspace in sorted(record.workspaces, key=lambda w: w["name"]):
        for level in workspace["service_levels"]:
            events = list(
                _EVENTS[level["measure"]](record, workspace, level, now_unix_s)
            )
            reports.append(_report(workspace["name"], level, events, now_unix_s))
    return reports


def _report(
    workspace: str, level: dict[str, Any], events: list[Event], now_unix_s: float
) -> LevelReport:
    windows = {
        name: _burn([e for e in events if e.at_unix_s >= now_unix_s - length_s], level)
        for name, length_s in WINDOWS_S.items()
    }
    longest_s = max(WINDOWS_S.values())
    bad = [e for e in events if e.bad and e.at_unix_s >= now_unix_s - longest_s]
    bad.sort(key=lambda e: -e.at_unix_s)
    return LevelReport(
        workspace,
        level["name"],
        level["measure"],
        level["objective"],
        level["threshold_s"],
        windows,
        [(event.what, event.why) for event in bad[:CULPRITS_NAMED]],
    )


def _burn(events: list[Event], level: dict[str, Any]) -> Burn:
    total = sum(event.count for event in events)
    bad = sum(event.count for event in events if event.bad)
    share = bad / total if total else 0.0
    return Burn(total, bad, round(share / (1 - level["objective"]), 2))


def _own_jobs(record: KeptRecord, workspace: dict, level: dict) -> Iterable[dict]:
    largest = level["max_accelerators"] or float("inf")
    for job in record.jobs:
        spec = job["spec"]
        size = spec["tasks"] * spec["accelerators_per_task"]
        if spec["workspace"] == workspace["name"] and size <= largest:
            yield job


def _completion(record, workspace, level, now_unix_s) -> Iterable[Event]:
    for job in _own_jobs(record, workspace, level):
        if job["state"] in ("cancelled", "refused"):
            continue
        is_open = job["state"] in OPEN_STATES
        end_unix_s = now_unix_s if is_open else job["ended_unix_s"]
        took_s = end_unix_s - job["submitted_unix_s"]
        late = took_s > level["threshold_s"]
        if is_open and not late:
            continue
        why = _why(job, f"took {took_s:.1f} s") if late else _why(job, job["state"])
        yield Event(end_unix_s, late or job["state"] != "done", job["job"], why)


def _why(job: dict[str, Any], what: str) -> str:
    """Return what happened to a job, with the decisions that cost it time."""
    events = [
        d for d in job["history"] if d["event"] not in ("submitted", "start", "done")
    ]
    causes = "; ".join(dict.fromkeys(f"{d['event']}: {d['cause']}" for d in events))
    return f"{what} ({causes})" if causes else what


def _urgent_start(record, workspace, level, now_unix_s) -> Iterable[Event]:
    for job in _own_jobs(record, workspace, level):
        if not job["spec"]["urgent"] or job["state"] == "refused":
            continue
        started_unix_s = job["started_unix_s"]
        if not started_unix_s and job["state"] not in OPEN_STATES:
            continue
        waited_s = (started_unix_s or now_unix_s) - job["submitted_unix_s"]
        late = waited_s > level["threshold_s"]
        if started_unix_s or late:
            at_unix_s = started_unix_s or now_unix_s
            yield Event(at_unix_s, late, job["job"], f"waited {waited_s:.1f} s")


def _refusals(record, workspace, level, _now_unix_s) -> Iterable[Event]:
    for job in _own_jobs(record, workspace, level):
        refused = job["state"] == "refused"
        yield Event(job["submitted_unix_s"], refused, job["job"], job["reason"])


def _requests(record, workspace, level, _now_unix_s) -> Iterable[Event]:
    for tally in record.tallies:
        counts = tally["workspaces"].get(workspace["name"])
        if counts is None:
            continue
        at_unix_s = tally["minute"] * 60.0
        what = f"requests at {tally['entry']}"
        bounds = [*tally["bounds_s"], float("inf")]
        for bound_s, count in zip(bounds, counts["answered"], strict=True):
            if count:
                late = bound_s > level["threshold_s"]
                why = f"{count} answered later than {level['threshold_s']:g} s"
                yield Event(at_unix_s, late, what, why, count)
        for outcome, count in sorted(counts["not_answered"].items()):
            yield Event(at_unix_s, True, what, f"{count} {outcome}", count)


def _configuration(record, _workspace, level, _now_unix_s) -> Iterable[Event]:
    accepted = {change["version"]: change for change in record.changes}
    for entry in record.in_force:
        for version, seen_unix_s in entry["seen"]:
            change = accepted.get(version)
            if change is None:
                continue
            took_s = seen_unix_s - change["at_unix_s"]
            what = f"version {version} at {entry['entry']}"
            why = f"in force after {took_s:.1f} s"
            yield Event(seen_unix_s, took_s > level["threshold_s"], what, why)


_EVENTS: dict[str, Callable[..., Iterable[Event]]] = {
    "completion": _completion,
    "urgent-start": _urgent_start,
    "refusals": _refusals,
    "requests": _requests,
    "configuration": _configuration,
}


def burn_table(reports: list[LevelReport]) -> str:
    """Return the reports as text."""
    if not reports:
        return "No service levels are declared."
    lines = []
    for report in reports:
        threshold = f" within {report.threshold_s:g} s" if report.threshold_s else ""
        lines.append(
            f"{report.workspace} {report.level}: {report.measure}{threshold}, "
            f"objective {report.objective:.2%}"
        )
        lines.append("  window    events       bad      burn")
        for name, burn in report.windows.items():
            lines.append(
                f"  {name:>6}{burn.events:>10}{burn.bad:>10}{burn.burn:>10.2f}"
            )
        lines.append(f"  error budget left: {report.budget_left:.0%}")
        lines += [f"  burned by {what}: {why}" for what, why in report.culprits]
        lines.append("")
    return "\n".join(lines).rstrip()


def burn_document(reports: list[LevelReport]) -> list[dict[str, Any]]:
    """Return the reports as JSON-like values."""
    return [
        {
            **report._asdict(),
            "windows": {name: b._asdict() for name, b in report.windows.items()},
            "culprits": [{"what": what, "why": why} for what, why in report.culprits],
            "budget_left": round(report.budget_left, 4),
        }
        for report in reports
    ]
