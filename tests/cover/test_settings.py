"""Validation of settings files: each error names the path of its field."""

from __future__ import annotations

import json

import pytest
from cicadabank.local import DeploymentSize, Ports, make_layout
from cicadabank.settings import SettingsError, check_file

LAYOUT = make_layout(DeploymentSize(("erie",), "lakes", 1, 1, 1), Ports(20000))


def check(tmp_path, process, **changes):
    settings = {**LAYOUT.settings[process], **changes}
    file = tmp_path / "settings.json"
    file.write_text(json.dumps({k: v for k, v in settings.items() if v is not None}))
    return check_file(str(file))


class TestCheckFile:
    @pytest.mark.parametrize("process", sorted(LAYOUT.settings))
    def test_accepts_valid_settings(self, tmp_path, process):
        assert check(tmp_path, process).kind == LAYOUT.settings[process]["kind"]

    @pytest.mark.parametrize(
        ("process", "changes", "text"),
        [
            ("entry-1", {"session_lease_s": "x"}, "got `str` at $.session_lease_s"),
            ("entry-1", {"colour": 1}, "unknown field 'colour' at $"),
            ("entry-1", {"name": None}, "the field 'name' is missing at $"),
            ("entry-1", {"http_listen": "localhost:1"}, "at $.http_listen"),
            ("entry-1", {"http_listen": "127.0.0.1:0"}, "at $.http_listen"),
            ("entry-1", {"cells": []}, "at least one cell at $.cells"),
            ("entry-1", {"config_poll_s": 9}, "at $.config_poll_s"),
            ("entry-1", {"timings": {"lease": 1}}, "unknown field 'lease'"),
            (
                "entry-1",
                {"timings": {"lease_duration_s": 5.0}},
                "at $.timings.lease_duration_s",
            ),
            (
                "entry-1",
                {"timings": {"gang_hold_s": 4.0}},
                "at $.timings.gang_hold_s",
            ),
            ("entry-1", {"kind": "oven"}, "expected one of entry, agent, stand-in"),
            ("agent-worker-1", {"entries": []}, "at $.entries"),
            ("agent-worker-1", {"accelerators": 0}, "at $.accelerators"),
            ("agent-worker-1", {"freshness_s": 60.0}, "at $.freshness_s"),
            ("store", {"role": "oven"}, "at $.role"),
        ],
    )
    def test_error_names_the_invalid_field(self, tmp_path, process, changes, text):
        with pytest.raises(SettingsError) as exc_info:
            check(tmp_path, process, **changes)
        assert text in str(exc_info.value)

    def test_error_lists_all_invalid_fields(self, tmp_path):
        changes = {"colour": 1, "session_lease_s": "x", "beat_interval_s": []}
        with pytest.raises(SettingsError) as exc_info:
            check(tmp_path, "entry-1", **changes)
        assert len(exc_info.value.errors) == 3

    @pytest.mark.parametrize("content", ["", "{", "[]", "{}"])
    def test_rejects_content_that_is_no_settings_object(self, tmp_path, content):
        file = tmp_path / "settings.json"
        file.write_text(content)
        with pytest.raises(SettingsError):
            check_file(str(file))
