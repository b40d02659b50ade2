"""BurnRate rates of the workspaces' error budgets, and the bad events behind them.

The objective of a service level allows a share of bad events, its error budget. At a
burn rate of 1 the budget is used up exactly at the end of the window; at a burn rate of
10, ten times as fast.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

HOUR_S = 3600.0
WINDOWS_S = {"1h": HOUR_S, "6h": 6 * HOUR_S, "24h": 24 * HOUR_S, "72h": 72 * HOUR_S}
MAX_LISTED_EVENTS = 5
UNFINISHED_STATES = frozenset({"queued", "running"})


class Event(NamedTuple):
    """An event that counts towards a service level, good or bad.

    Attributes
    ----------
    subject : str
        Job, entry or version that the event is about.
    reason : str
        Why the event is bad.
    count : int
        Number of equal events that this one stands for.
    """

    at_unix_s: float
    bad: bool
    subject: str = ""
    reason: str = ""
    count: int = 1


class BurnRate(NamedTuple):
    """The burn rate of a service level over one window, with its event counts."""

    events: int
    bad: int
    burn: float


class LevelReport(NamedTuple):
    """The burn rates of a service level of a workspace.

    Attributes
    ----------
    windows : dict
        BurnRate rate by the name of the window, from the shortest to the longest.
    culprits : list of (str, str)
        Subject and reason of the latest bad events, newest first.
    """

    workspace: str
    level: str
    measure: str
    objective: float
    threshold_s: float
    windows: dict[str, BurnRate]
    culprits: list[tuple[str, str]]

    @property
    def budget_left(self) -> float:
        """Share of the longest window's error budget that is left; can be negative."""
        return 1.0 - self.windows[next(reversed(WINDOWS_S))].burn


class BurnInput(NamedTuple):
    """Input of the burn report, as the HTTP API returns it.

    Attributes
    ----------
    tallies : list of dict
        Request counts of each entry and minute.
    in_force : list of dict
        Times at which each entry has put configuration versions in force.
    changes : list of dict
        Accepted configuration changes.
    """

    workspaces: list[dict[str, Any]]
    jobs: list[dict[str, Any]]
    tallies: list[dict[str, Any]]
    in_force: list[dict[str, Any]]
    changes: list[dict[str, Any]]


def burn_report(burn_input: BurnInput, now_unix_s: float) -> list[LevelReport]:
    """Return the burn rates of every declared service level, ordered by workspace.

    Raises
    ------
    KeyError
        If a level has an unknown measure.
    """
    reports = []
    for workspace in sorted(
        burn_input.workspaces, key=lambda workspace: workspace["name"]
    ):
        for level in workspace["service_levels"]:
            events = list(
                _EVENT_SOURCES[level["measure"]](
                    burn_input, workspace, level, now_unix_s
                )
            )
            reports.append(_level_report(workspace["name"], level, events, now_unix_s))
    return reports


def _level_report(
    workspace: str, level: dict[str, Any], events: list[Event], now_unix_s: float
) -> LevelReport:
    windows = {
        name: _window_burn(
            [event for event in events if event.at_unix_s >= now_unix_s - length_s],
            level,
        )
        for name, length_s in WINDOWS_S.items()
    }
    longest_s = max(WINDOWS_S.values())
    bad = [
        event
        for event in events
        if event.bad and event.at_unix_s >= now_unix_s - longest_s
    ]
    bad.sort(key=lambda event: -event.at_unix_s)
    return LevelReport(
        workspace,
        level["name"],
        level["measure"],
        level["objective"],
        level["threshold_s"],
        windows,
        [(event.subject, event.reason) for event in bad[:MAX_LISTED_EVENTS]],
    )


def _window_burn(events: list[Event], level: dict[str, Any]) -> BurnRate:
    total = sum(event.count for event in events)
    bad = sum(event.count for event in events if event.bad)
    bad_share = bad / total if total else 0.0
    return BurnRate(total, bad, round(bad_share / (1 - level["objective"]), 2))


def _covered_jobs(
    burn_input: BurnInput, workspace: dict, level: dict
) -> Iterable[dict]:
    max_accelerators = level["max_accelerators"] or float("inf")
    for job in burn_input.jobs:
        spec = job["spec"]
        accelerators = spec["tasks"] * spec["accelerators_per_task"]
        if spec["workspace"] == workspace["name"] and accelerators <= max_accelerators:
            yield job


def _completion_events(burn_input, workspace, level, now_unix_s) -> Iterable[Event]:
    for job in _covered_jobs(burn_input, workspace, level):
        if job["state"] in ("cancelled", "refused"):
            continue
        unfinished = job["state"] in UNFINISHED_STATES
        end_unix_s = now_unix_s if unfinished else job["ended_unix_s"]
        elapsed_s = end_unix_s - job["submitted_unix_s"]
        late = elapsed_s > level["threshold_s"]
        if unfinished and not late:
            continue
        reason = (
            _describe_outcome(job, f"took {elapsed_s:.1f} s")
            if late
            else _describe_outcome(job, job["state"])
        )
        yield Event(end_unix_s, late or job["state"] != "done", job["job"], reason)


def _describe_outcome(job: dict[str, Any], outcome: str) -> str:
    """Return a job's outcome, with the decisions that delayed or ended it."""
    decisions = [
        decision
        for decision in job["history"]
        if decision["event"] not in ("submitted", "start", "done")
    ]
    causes = "; ".join(
        dict.fromkeys(
            f"{decision['event']}: {decision['cause']}" for decision in decisions
        )
    )
    return f"{outcome} ({causes})" if causes else outcome


def _urgent_start_events(burn_input, workspace, level, now_unix_s) -> Iterable[Event]:
    for job in _covered_jobs(burn_input, workspace, level):
        if not job["spec"]["urgent"] or job["state"] == "refused":
            continue
        started_unix_s = job["started_unix_s"]
        if not started_unix_s and job["state"] not in UNFINISHED_STATES:
            continue
        waited_s = (started_unix_s or now_unix_s) - job["submitted_unix_s"]
        late = waited_s > level["threshold_s"]
        if started_unix_s or late:
            at_unix_s = started_unix_s or now_unix_s
            yield Event(at_unix_s, late, job["job"], f"waited {waited_s:.1f} s")


def _refusal_events(burn_input, workspace, level, _now_unix_s) -> Iterable[Event]:
    for job in _covered_jobs(burn_input, workspace, level):
        refused = job["state"] == "refused"
        yield Event(job["submitted_unix_s"], refused, job["job"], job["reason"])


def _request_events(burn_input, workspace, level, _now_unix_s) -> Iterable[Event]:
    for tally in burn_input.tallies:
        counts = tally["workspaces"].get(workspace["name"])
        if counts is None:
            continue
        at_unix_s = tally["minute"] * 60.0
        subject = f"requests at {tally['entry']}"
        bounds = [*tally["bounds_s"], float("inf")]
        for bound_s, count in zip(bounds, counts["answered"], strict=True):
            if count:
                # The counts are by latency bucket; one that ends above the threshold
                # counts as late as a whole.
                late = bound_s > level["threshold_s"]
                reason = f"{count} answered later than {level['threshold_s']:g} s"
                yield Event(at_unix_s, late, subject, reason, count)
        for outcome, count in sorted(counts["not_answered"].items()):
            yield Event(at_unix_s, True, subject, f"{count} {outcome}", count)


def _configuration_events(
    burn_input, _workspace, level, _now_unix_s
) -> Iterable[Event]:
    changes_by_version = {change["version"]: change for change in burn_input.changes}
    for entry in burn_input.in_force:
        for version, seen_unix_s in entry["seen"]:
            change = changes_by_version.get(version)
            if change is None:
                continue
            delay_s = seen_unix_s - change["at_unix_s"]
            subject = f"version {version} at {entry['entry']}"
            reason = f"in force after {delay_s:.1f} s"
            yield Event(seen_unix_s, delay_s > level["threshold_s"], subject, reason)


_EVENT_SOURCES: dict[str, Callable[..., Iterable[Event]]] = {
    "completion": _completion_events,
    "urgent-start": _urgent_start_events,
    "refusals": _refusal_events,
    "requests": _request_events,
    "configuration": _configuration_events,
}


def burn_table(reports: list[LevelReport]) -> str:
    """Return the reports as text, with a table of the windows for each level."""
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
        lines += [
            f"  burned by {subject}: {reason}" for subject, reason in report.culprits
        ]
        lines.append("")
    return "\n".join(lines).rstrip()


def burn_document(reports: list[LevelReport]) -> list[dict[str, Any]]:
    """Return the reports as values that can be encoded as JSON."""
    return [
        {
            **report._asdict(),
            "windows": {name: burn._asdict() for name, burn in report.windows.items()},
            "culprits": [
                {"what": subject, "why": reason} for subject, reason in report.culprits
            ],
            "budget_left": round(report.budget_left, 4),
        }
        for report in reports
    ]
