"""The platform's table service is out, slow, or loses answers."""

from __future__ import annotations

import time

import pytest
from cicadabank.client import ApiError

from tests.support.deployments import bench_running


@pytest.fixture(scope="class")
def bench(tmp_path_factory):
    with bench_running(tmp_path_factory.mktemp("bench")) as bench:
        yield bench


class TestTableFaults:
    def test_lost_answers_neither_lose_nor_double_a_job(self, bench):
        bench.fault("store", "lose_answers", 0.3)
        jobs = []
        for number in range(10):
            key = f"order-{number}"
            while True:
                try:
                    job = bench.submit(key, run_s=0.3, tasks=4, idempotent=False)
                except ApiError as error:
                    assert error.ran in ("no", "unknown")
                    continue
                break
            jobs.append(job)
        bench.fault("store", "lose_answers", 0.0)
        records = [bench.ended(job) for job in jobs]
        assert len(set(jobs)) == 10
        assert {record["state"] for record in records} == {"done"}
        assert {record["attempts"] for record in records} == {1}

    def test_running_gang_outlasts_an_outage(self, bench):
        job = bench.submit(run_s=8.0, tasks=8, idempotent=False)
        bench.running(job)
        bench.fault("store", "down", 1)
        time.sleep(7.0)
        with pytest.raises(ApiError) as caught:
            bench.submit(tasks=1)
        bench.fault("store", "down", 0)
        assert caught.value.code in ("platform-outcome-unknown", "outcome-unknown")
        record = bench.ended(job)
        assert (record["state"], record["attempts"]) == ("done", 1)

    def test_requests_are_answered_during_an_outage(self, bench):
        bench.fault("store", "down", 1)
        answer = bench.client.request({"workspace": "glaze", "payload": "cobalt"})
        with pytest.raises(ApiError) as caught:
            bench.client.request(
                {"workspace": "glaze", "payload": "fade", "idempotent": False}
            )
        bench.fault("store", "down", 0)
        assert answer["answer"] == "cobalt"
        assert (caught.value.code, caught.value.ran) == ("store-unavailable", "no")

    def test_drain_during_an_outage_acts_at_once(self, bench):
        bench.wait(lambda: bench.holder(), "the holder")
        domain = {"name": "erie", "out": True}
        bench.fault("store", "down", 1)
        with pytest.raises(ApiError) as caught:
            bench.client.apply("failure-domain", domain)
        targets = bench.client.call("GET", "/v1/targets")["targets"]
        bench.fault("store", "down", 0)
        assert caught.value.code == "acting-not-stored"
        out = {t["name"] for t in targets if t["kind"] == "minion" and t["domain_out"]}
        assert out == {t["name"] for t in targets if t["domain"] == "erie"} & out
        bench.client.apply("failure-domain", domain)
        job = bench.submit(run_s=0.2, tasks=4)
        worker = bench.ended(job)["members"][0]["worker"]
        places = {t["name"]: t["domain"] for t in targets}
        assert places[worker] == "huron"
        bench.client.apply("failure-domain", {"name": "erie", "out": False})
