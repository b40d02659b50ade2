"""The platform's table service is unavailable or loses replies."""

from __future__ import annotations

import time

import pytest
from cicadabank.client import ApiError

from tests.support.deployments import harness_running


@pytest.fixture(scope="class")
def harness(tmp_path_factory):
    with harness_running(tmp_path_factory.mktemp("deployment")) as harness:
        yield harness


class TestTableFaults:
    def test_lost_replies_neither_lose_nor_duplicate_a_job(self, harness):
        harness.set_fault("store", "lose_answers", 0.3)
        jobs = []
        for number in range(10):
            key = f"order-{number}"
            while True:
                try:
                    job = harness.submit(key, run_s=0.3, tasks=4, idempotent=False)
                except ApiError as error:
                    assert error.ran in ("no", "unknown")
                    continue
                break
            jobs.append(job)
        harness.set_fault("store", "lose_answers", 0.0)
        records = [harness.wait_ended(job) for job in jobs]
        assert len(set(jobs)) == 10
        assert {record["state"] for record in records} == {"done"}
        assert {record["attempts"] for record in records} == {1}

    def test_running_gang_survives_an_outage(self, harness):
        job = harness.submit(run_s=8.0, tasks=8, idempotent=False)
        harness.wait_running(job)
        harness.set_fault("store", "down", 1)
        time.sleep(7.0)
        with pytest.raises(ApiError) as caught:
            harness.submit(tasks=1)
        harness.set_fault("store", "down", 0)
        assert caught.value.code in ("platform-outcome-unknown", "outcome-unknown")
        record = harness.wait_ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)

    def test_idempotent_requests_are_served_during_an_outage(self, harness):
        harness.set_fault("store", "down", 1)
        answer = harness.client.request({"workspace": "glaze", "payload": "cobalt"})
        with pytest.raises(ApiError) as caught:
            harness.client.request(
                {"workspace": "glaze", "payload": "fade", "idempotent": False}
            )
        harness.set_fault("store", "down", 0)
        assert answer["answer"] == "cobalt"
        assert (caught.value.code, caught.value.ran) == ("store-unavailable", "no")

    def test_drain_during_an_outage_takes_effect_at_once(self, harness):
        harness.wait_until(lambda: harness.holder(), "the holder")
        domain = {"name": "erie", "out": True}
        harness.set_fault("store", "down", 1)
        with pytest.raises(ApiError) as caught:
            harness.client.apply("failure-domain", domain)
        targets = harness.client.call("GET", "/v1/targets")["targets"]
        harness.set_fault("store", "down", 0)
        assert caught.value.code == "acting-not-stored"
        drained = {
            t["name"] for t in targets if t["kind"] == "minion" and t["domain_out"]
        }
        assert (
            drained == {t["name"] for t in targets if t["domain"] == "erie"} & drained
        )
        harness.client.apply("failure-domain", domain)
        job = harness.submit(run_s=0.2, tasks=4)
        worker = harness.wait_ended(job)["members"][0]["worker"]
        domains = {t["name"]: t["domain"] for t in targets}
        assert domains[worker] == "huron"
        harness.client.apply("failure-domain", {"name": "erie", "out": False})
