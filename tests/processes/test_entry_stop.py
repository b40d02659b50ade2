"""Planned stops of entries, and operators who race."""

from __future__ import annotations

import signal
import threading
import time

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.model import Key, decode
from cicadabank.store import TableClient

from tests.support.deployments import bench_running, in_force


@pytest.fixture(scope="class")
def bench(tmp_path_factory):
    with bench_running(tmp_path_factory.mktemp("bench"), workers=2) as bench:
        yield bench


class TestPlannedStop:
    def test_requests_in_flight_are_answered(self, bench):
        answers = []

        def call(number):
            plan = f'{{"run_s": 2.0, "answer": "{number}"}}'
            with bench.entry(0) as client:
                request = {"workspace": "glaze", "payload": plan, "idempotent": False}
                answers.append(client.request(request)["answer"] == str(number))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        bench.deployment.signal("entry-1", signal.SIGTERM)
        time.sleep(0.3)
        bench.deployment.signal("entry-1", signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert bench.deployment.processes["entry-1"].wait(30) == 0
        assert answers == [True] * 16

    def test_its_cells_are_handed_over_at_once(self, bench):
        bench.deployment.start("entry-1")
        bench.deployment.wait_ready(2, 2)
        holder = bench.holder()
        job = bench.submit(run_s=4.0, tasks=4, idempotent=False)
        bench.running(job)
        table = TableClient(bench.deployment.layout.store)
        before = table.read([Key.cell("lakes"), Key.entry(holder)])
        assert bench.deployment.terminate(holder) == 0
        after = table.read([Key.cell("lakes"), Key.entry(holder)])
        table.close()
        with bench.other(holder) as other:
            bench.wait(
                lambda: other.call("GET", "/v1/status")["held_cells"], "the handover"
            )
            record = bench.ended(job, other)
        bench.deployment.start(holder)
        assert (record["state"], record["attempts"]) == ("done", 1)
        # Given up by its holder, not taken after the lease: nothing of it is left.
        old = decode(before[Key.cell("lakes")].value)["session"]
        assert decode(after[Key.cell("lakes")].value)["session"] != old
        assert not after[Key.entry(holder)].exists

    def test_two_at_once_cut_nothing_off(self, bench):
        bench.deployment.wait_ready(2, 2)
        answers = []

        def call(number):
            plan = f'{{"run_s": 2.0, "answer": "{number}"}}'
            request = {"workspace": "glaze", "payload": plan, "idempotent": False}
            with bench.entry(number % 2) as client:
                answers.append(client.request(request)["answer"] == str(number))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        names = ("entry-1", "entry-2")
        for name in names:
            bench.deployment.signal(name, signal.SIGTERM)
        for thread in threads:
            thread.join()
        codes = [bench.deployment.processes[name].wait(30) for name in names]
        for name in names:
            bench.deployment.start(name)
        assert answers == [True] * 12
        assert codes == [0, 0]


class TestConfiguration:
    def test_one_of_racing_operators_wins_and_the_others_are_told_who(self, bench):
        bench.deployment.wait_ready(2, 2)
        fields = {"name": "race", "quota_accelerators": 1}
        version = bench.client.apply("workspace", fields)["version"]
        results = []

        def change(number):
            address = bench.deployment.layout.http[number % 2]
            with Client([address], f"operator-{number}") as client:
                try:
                    quota = {**fields, "quota_accelerators": number}
                    client.apply("workspace", quota, version)
                    results.append((number, ""))
                except ApiError as error:
                    results.append((number, error.winner))

        threads = [threading.Thread(target=change, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = [number for number, winner in results if not winner]
        assert len(winners) == 1
        told = {winner for _, winner in results if winner}
        assert told == {f"operator-{winners[0]}"}
        stored = bench.client.call("GET", "/v1/resources/workspace/race")
        assert stored["fields"]["quota_accelerators"] == winners[0]

    def test_woken_entry_never_goes_back(self, bench):
        bench.deployment.freeze("entry-1")
        with bench.entry(1) as other:
            fields = {"name": "race", "quota_accelerators": 77}
            version = other.apply("workspace", fields)["version"]
            time.sleep(4.0)
            bench.deployment.wake("entry-1")
        with bench.entry(0) as woken:
            bench.wait(lambda: in_force(woken, version), "the configuration")
        reported = [
            line["config_version"]
            for name in ("worker-1", "worker-2")
            for line in bench.deployment.log(f"agent-{name}")
            if "config_version" in line
        ]
        assert reported == sorted(reported) or len(set(reported)) <= 2
