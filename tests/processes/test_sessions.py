"""Snapshots of a client's requests and responses; identifiers and times replaced."""

from __future__ import annotations

import json
import re

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import wait_until
from cicadabank.report import explain_job

from tests.support.entries import local_deployment_running

ENDED = {"done", "failed", "refused", "cancelled", "outcome-unknown"}
ID_PATTERN = re.compile(r"\b(job|attempt|request|key|submit|run)-[0-9a-z-]{8,}")
TIME_PATTERN = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d")


@pytest.fixture(scope="module")
def local():
    with (
        local_deployment_running() as local,
        Client(local.layout.http, "ana") as client,
    ):
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 100})
        entry = local.parts["entry-1"]
        wait_until(lambda: entry.config.snapshot.view.workspaces, 5.0, "the workspace")
        yield local


class RecordingClient:
    """Client that records the requests it sends and the responses it receives."""

    def __init__(self, local, operator="ana"):
        self.client = Client(local.layout.http, operator)
        self.lines: list[str] = []

    def call(self, method, path, document=None, headers=None):
        self.lines.append(f"> {method} {path} {json.dumps(document, sort_keys=True)}")
        try:
            response = self.client.call(method, path, document, headers)
        except ApiError as error:
            response = {
                "status": error.status,
                "code": error.code,
                "message": error.message,
                "action": error.action,
                "ran": error.ran,
                "winner": error.winner,
                "job": error.job,
            }
        self.lines.append("< " + json.dumps(response, sort_keys=True, indent=1))
        return response

    def transcript(self):
        placeholders: dict[str, str] = {}

        def placeholder(match):
            kind = match.group(1)
            return placeholders.setdefault(
                match.group(0), f"<{kind}-{len(placeholders) + 1}>"
            )

        transcript = TIME_PATTERN.sub(
            "<time>", ID_PATTERN.sub(placeholder, "\n".join(self.lines))
        )
        transcript = re.sub(r'"(\w+_unix_s)": [0-9.e+]+', r'"\1": "<time>"', transcript)
        return re.sub(r'"version": \d+', '"version": "<version>"', transcript)


class TestSessions:
    def test_job(self, local, snapshot):
        recorder = RecordingClient(local)
        spec = {"workspace": "glaze", "tasks": 16}
        spec["payload"] = '{"run_s": 0.3, "answer": "faded"}'
        job = recorder.call("POST", "/v1/jobs", spec)["job"]
        record = recorder.client.wait_for_job(job, ENDED)
        recorder.call("GET", f"/v1/jobs/{job}/answer", headers={"Workspace": "glaze"})
        recorder.lines.append(explain_job(record))
        assert recorder.transcript() == snapshot

    def test_refusal(self, local, snapshot):
        recorder = RecordingClient(local)
        spec = {"workspace": "glaze", "tasks": 4, "accelerators_per_task": 12}
        refused = recorder.call("POST", "/v1/jobs", spec)
        recorder.lines.append(explain_job(recorder.client.job(refused["job"])))
        assert recorder.transcript() == snapshot

    def test_request(self, local, snapshot):
        recorder = RecordingClient(local)
        request = {"workspace": "glaze", "payload": "cobalt", "idempotent": False}
        key = {"Idempotency-Key": "preview-1"}
        recorder.call("POST", "/v1/requests", request, key)
        recorder.call("POST", "/v1/requests", request, key)
        changed = {**request, "payload": "umber"}
        recorder.call("POST", "/v1/requests", changed, key)
        workspace_header = {"Workspace": "glaze"}
        recorder.call("GET", "/v1/requests/glaze.preview-1", headers=workspace_header)
        assert recorder.transcript() == snapshot

    def test_operators_race(self, local, snapshot):
        recorder = RecordingClient(local)
        path = "/v1/resources/failure-domain/erie"
        drained = {"name": "erie", "out": True, "reason": "transformer"}
        version = recorder.call("PUT", path, drained, {"If-Match": "0"})["version"]
        winner = {"name": "erie", "out": True, "stop_after_s": 30.0}
        if_match = {"If-Match": str(version), "Operator": "ana"}
        recorder.call("PUT", path, winner, if_match)
        loser = {"name": "erie", "out": False}
        recorder.call("PUT", path, loser, {**if_match, "Operator": "iker"})
        recorder.call("GET", path)
        recorder.call("DELETE", path)
        assert recorder.transcript() == snapshot
