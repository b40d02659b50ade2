"""A job, a request and a rejected job, through separate processes."""

from __future__ import annotations

import json

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import (
    DeploymentSize,
    Ports,
    deployment_running,
    make_layout,
    wait_until,
)

ENDED = {"done", "failed", "refused", "cancelled", "outcome-unknown"}


@pytest.fixture(scope="class")
def client(tmp_path_factory):
    size = DeploymentSize(("erie", "huron"), "lakes", 2, workers=3, minions=1)
    layout = make_layout(size, Ports())
    folder = tmp_path_factory.mktemp("deployment")
    with deployment_running(layout, folder) as deployment:
        deployment.wait_ready(size.workers, size.minions)
        with Client(layout.http, "test") as client:
            client.apply("workspace", {"name": "glaze", "quota_accelerators": 24})
            wait_until(lambda: _has_workspace(client), 10.0, "the configuration")
            yield client


def _has_workspace(client):
    try:
        client.submit({"workspace": "glaze", "tasks": 1000})
    except ApiError as error:
        return error.code == "quota"


class TestEndToEnd:
    def test_answer_of_a_gang_has_all_members(self, client):
        payload = json.dumps({"run_s": 0.5, "answer": "proof"})
        job = client.submit({"workspace": "glaze", "tasks": 16, "payload": payload})
        record = client.wait_for_job(job["job"], ENDED)
        assert record["state"] == "done"
        answer = client.answer(job["job"], "glaze")
        assert sum(member["tasks"] for member in answer["members"]) == 16
        assert {member["answer"] for member in answer["members"]} == {"proof"}

    def test_request_gets_its_answer(self, client):
        answer = client.request({"workspace": "glaze", "payload": "cobalt"})
        assert answer["answer"] == "cobalt"

    def test_impossible_job_is_rejected_and_recorded(self, client):
        with pytest.raises(ApiError) as caught:
            client.submit(
                {"workspace": "glaze", "tasks": 1, "accelerators_per_task": 9}
            )
        assert caught.value.code == "impossible-shape"
        record = client.job(caught.value.job)
        assert (record["state"], record["ran"]) == ("refused", "no")
        assert "1 x 8" in record["reason"]
