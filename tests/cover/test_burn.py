"""The burn report of a workspace with failed and late jobs and requests."""

from __future__ import annotations

import pytest
from cicadabank.model import InvalidInputError
from cicadabank.report import BurnInput, burn_report, burn_table, plot_burn

NOW_UNIX_S = 1_000_000.0
LEVELS = [
    {"name": "proofs", "measure": "completion", "threshold_s": 60.0},
    {"name": "urgent", "measure": "urgent-start", "threshold_s": 2.5},
    {"name": "answers", "measure": "requests", "threshold_s": 1.0},
    {"name": "refusals", "measure": "refusals"},
    {"name": "changes", "measure": "configuration", "threshold_s": 5.0},
]


def level(fields):
    return {"threshold_s": 0.0, "objective": 0.9, "max_accelerators": 0, **fields}


def job(name, state="done", ago_s=600.0, wait_s=1.0, elapsed_s=30.0, **fields):
    submitted = NOW_UNIX_S - ago_s
    spec = {"workspace": "glaze", "tasks": 4, "accelerators_per_task": 1}
    return {
        "job": name,
        "state": state,
        "reason": "",
        "submitted_unix_s": submitted,
        "started_unix_s": submitted + wait_s,
        "ended_unix_s": submitted + elapsed_s,
        "history": [],
        "spec": {**spec, "urgent": False},
        **fields,
    }


def make_burn_input():
    stopped = {"event": "stopped", "cause": "lost"}
    urgent = {"workspace": "glaze", "tasks": 1, "accelerators_per_task": 1}
    jobs = [
        *(job(f"job-good-{n}") for n in range(8)),
        job("job-late", elapsed_s=90.0, history=[stopped]),
        job("job-failed", "failed", ago_s=7000.0),
        job("job-refused", "refused", reason="no such shape"),
        job("job-urgent", wait_s=4.0, spec={**urgent, "urgent": True}),
        job("job-open", "running", ago_s=500.0),
        job("job-cancelled", "cancelled"),
    ]
    counts = {"answered": [90, 0, 4, 0, 2, 0, 0, 0, 0], "not_answered": {}}
    counts["not_answered"] = {"overloaded": 4}
    bounds = [0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0]
    tally = {
        "entry": "entry-1",
        "minute": int(NOW_UNIX_S // 60) - 5,
        "bounds_s": bounds,
    }
    return BurnInput(
        [{"name": "glaze", "service_levels": [level(fields) for fields in LEVELS]}],
        jobs,
        [{**tally, "workspaces": {"glaze": counts}}],
        [
            {
                "entry": "entry-1",
                "seen": [[1, NOW_UNIX_S - 99.5], [2, NOW_UNIX_S - 80.0]],
            }
        ],
        [
            {"version": 1, "at_unix_s": NOW_UNIX_S - 100.0},
            {"version": 2, "at_unix_s": NOW_UNIX_S - 90.0},
        ],
    )


class TestBurn:
    def test_table(self, snapshot):
        assert burn_table(burn_report(make_burn_input(), NOW_UNIX_S)) == snapshot

    def test_burn_of_one_uses_up_the_error_budget(self):
        burn_input = make_burn_input()._replace(
            jobs=[job(f"job-{n}") for n in range(9)]
        )
        burn_input.jobs.append(job("late", elapsed_s=100.0))
        report = burn_report(burn_input, NOW_UNIX_S)[0]
        assert report.windows["72h"].burn == pytest.approx(1.0)
        assert report.budget_left == pytest.approx(0.0)

    def test_table_without_service_levels(self):
        assert "No service levels" in burn_table([])


class TestPlot:
    @pytest.mark.parametrize("name", ["burn.png", "burn.svg"])
    def test_file_is_written(self, tmp_path, name):
        plot_burn(burn_report(make_burn_input(), NOW_UNIX_S), str(tmp_path / name))
        assert (tmp_path / name).stat().st_size > 1000

    def test_unsupported_file_extension_is_rejected(self, tmp_path):
        with pytest.raises(InvalidInputError, match="no supported file extension"):
            plot_burn(
                burn_report(make_burn_input(), NOW_UNIX_S), str(tmp_path / "burn.txt")
            )
