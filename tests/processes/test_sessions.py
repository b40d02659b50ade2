"""Golden files of whole sessions, with identifiers and times replaced."""

from __future__ import annotations

import json
import re

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import wait_until
from cicadabank.report import explain_job

from tests.support.entries import local_entry

ENDED = {"done", "failed", "refused", "cancelled", "outcome-unknown"}
IDS = re.compile(r"\b(job|attempt|request|key|submit|run)-[0-9a-z-]{8,}")
TIMES = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d")


@pytest.fixture(scope="module")
def local():
    with local_entry() as local, Client(local.layout.http, "ana") as client:
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 100})
        entry = local.parts["entry-1"]
        wait_until(lambda: entry.config.seen.view.workspaces, 5.0, "the workspace")
        yield local


class Session:
    """Records what a caller sends and receives."""

    def __init__(self, local, operator="ana"):
        self.client = Client(local.layout.http, operator)
        self.lines: list[str] = []

    def call(self, method, path, document=None, headers=None):
        self.lines.append(f"> {method} {path} {json.dumps(document, sort_keys=True)}")
        try:
            answer = self.client.call(method, path, document, headers)
        except ApiError as error:
            answer = {
                "status": error.status,
                "code": error.code,
                "message": error.message,
                "action": error.action,
                "ran": error.ran,
                "winner": error.winner,
                "job": error.job,
            }
        self.lines.append("< " + json.dumps(answer, sort_keys=True, indent=1))
        return answer

    def text(self):
        names: dict[str, str] = {}

        def name(match):
            kind = match.group(1)
            return names.setdefault(match.group(0), f"<{kind}-{len(names) + 1}>")

        text = TIMES.sub("<time>", IDS.sub(name, "\n".join(self.lines)))
        text = re.sub(r'"(\w+_unix_s)": [0-9.e+]+', r'"\1": "<time>"', text)
        return re.sub(r'"version": \d+', '"version": "<version>"', text)


class TestSessions:
    def test_job(self, local, snapshot):
        session = Session(local)
        spec = {"workspace": "glaze", "tasks": 16}
        spec["payload"] = '{"run_s": 0.3, "answer": "faded"}'
        job = session.call("POST", "/v1/jobs", spec)["job"]
        record = session.client.wait_for_job(job, ENDED)
        session.call("GET", f"/v1/jobs/{job}/answer", headers={"Workspace": "glaze"})
        session.lines.append(explain_job(record))
        assert session.text() == snapshot

    def test_refusal(self, local, snapshot):
        session = Session(local)
        spec = {"workspace": "glaze", "tasks": 4, "accelerators_per_task": 12}
        refused = session.call("POST", "/v1/jobs", spec)
        session.lines.append(explain_job(session.client.job(refused["job"])))
        assert session.text() == snapshot

    def test_request(self, local, snapshot):
        session = Session(local)
        request = {"workspace": "glaze", "payload": "cobalt", "idempotent": False}
        key = {"Idempotency-Key": "preview-1"}
        session.call("POST", "/v1/requests", request, key)
        session.call("POST", "/v1/requests", request, key)
        changed = {**request, "payload": "umber"}
        session.call("POST", "/v1/requests", changed, key)
        own = {"Workspace": "glaze"}
        session.call("GET", "/v1/requests/glaze.preview-1", headers=own)
        assert session.text() == snapshot

    def test_operators_race(self, local, snapshot):
        session = Session(local)
        path = "/v1/resources/failure-domain/erie"
        out = {"name": "erie", "out": True, "reason": "transformer"}
        version = session.call("PUT", path, out, {"If-Match": "0"})["version"]
        winner = {"name": "erie", "out": True, "stop_after_s": 30.0}
        match = {"If-Match": str(version), "Operator": "ana"}
        session.call("PUT", path, winner, match)
        loser = {"name": "erie", "out": False}
        session.call("PUT", path, loser, {**match, "Operator": "iker"})
        session.call("GET", path)
        session.call("DELETE", path)
        assert session.text() == snapshot
