"""The example settings are valid and run unchanged."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from cicadabank.client import Client
from cicadabank.local import DeploymentLayout, deployment_running, wait_until
from cicadabank.settings import check_file

from tests.support.deployments import has_config_version

EXAMPLES = Path(__file__).parents[2] / "examples"
DEPLOYMENTS = ("lakeshore", "arrieta")


def read_layout(name):
    files = sorted((EXAMPLES / name).glob("*.json"))
    settings = {file.stem: json.loads(file.read_text()) for file in files}
    entries = [
        process_settings
        for process_settings in settings.values()
        if process_settings["kind"] == "entry"
    ]
    http = [f"http://{process_settings['http_listen']}" for process_settings in entries]
    return DeploymentLayout(settings, http, settings["store"]["listen"])


class TestExamples:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_settings_are_valid(self, name):
        files = list((EXAMPLES / name).glob("*.json"))
        assert len(files) > 20
        for file in files:
            check_file(str(file))

    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_deployment_runs_a_gang_and_a_request(self, name, tmp_path):
        layout = read_layout(name)
        with deployment_running(layout, tmp_path) as deployment:
            deployment.wait_ready(10, 10, 60.0)
            with Client(layout.http) as client:
                client.apply("workspace", {"name": "w", "quota_accelerators": 80})
                for address in layout.http:
                    with Client([address]) as entry_client:
                        wait_until(
                            lambda entry_client=entry_client: has_config_version(
                                entry_client, 1
                            ),
                            10.0,
                            "the configuration",
                        )
                spec = {"workspace": "w", "tasks": 24, "adjacency": "rack"}
                spec["payload"] = '{"run_s": 0.5}'
                job = client.submit(spec)["job"]
                record = client.wait_for_job(job, {"done", "failed", "refused"})
                request = {"workspace": "w", "payload": "spread 12"}
                answer = client.request(request)["answer"]
        assert record["state"] == "done"
        assert answer == "spread 12"
