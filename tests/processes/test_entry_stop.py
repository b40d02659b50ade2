"""Graceful stops of entries, and concurrent changes by operators."""

from __future__ import annotations

import signal
import threading
import time

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.model import Key, decode
from cicadabank.store import TableClient

from tests.support.deployments import harness_running, has_config_version


@pytest.fixture(scope="class")
def harness(tmp_path_factory):
    with harness_running(tmp_path_factory.mktemp("deployment"), workers=2) as harness:
        yield harness


class TestGracefulStop:
    def test_requests_in_flight_are_completed(self, harness):
        replies_match = []

        def call(number):
            behaviour = f'{{"run_s": 2.0, "answer": "{number}"}}'
            with harness.entry_client(0) as client:
                request = {
                    "workspace": "glaze",
                    "payload": behaviour,
                    "idempotent": False,
                }
                replies_match.append(client.request(request)["answer"] == str(number))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        harness.deployment.signal("entry-1", signal.SIGTERM)
        time.sleep(0.3)
        harness.deployment.signal("entry-1", signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert harness.deployment.processes["entry-1"].wait(30) == 0
        assert replies_match == [True] * 16

    def test_held_cells_are_released_at_once(self, harness):
        harness.deployment.start("entry-1")
        harness.deployment.wait_ready(2, 2)
        holder = harness.holder()
        job = harness.submit(run_s=4.0, tasks=4, idempotent=False)
        harness.wait_running(job)
        table = TableClient(harness.deployment.layout.store)
        before = table.read([Key.cell("lakes"), Key.entry(holder)])
        assert harness.deployment.terminate(holder) == 0
        after = table.read([Key.cell("lakes"), Key.entry(holder)])
        table.close()
        with harness.other_entry_client(holder) as other_entry:
            harness.wait_until(
                lambda: other_entry.call("GET", "/v1/status")["held_cells"],
                "the new holder of the cell",
            )
            record = harness.wait_ended(job, other_entry)
        harness.deployment.start(holder)
        assert (record["state"], record["attempts"]) == ("done", 1)
        # The holder released the cell and deleted its own row, instead of leaving the
        # cell to a takeover after the lease expires.
        old_session = decode(before[Key.cell("lakes")].value)["session"]
        assert decode(after[Key.cell("lakes")].value)["session"] != old_session
        assert not after[Key.entry(holder)].exists

    def test_stop_of_both_entries_completes_all_requests(self, harness):
        harness.deployment.wait_ready(2, 2)
        replies_match = []

        def call(number):
            behaviour = f'{{"run_s": 2.0, "answer": "{number}"}}'
            request = {"workspace": "glaze", "payload": behaviour, "idempotent": False}
            with harness.entry_client(number % 2) as client:
                replies_match.append(client.request(request)["answer"] == str(number))

        threads = [threading.Thread(target=call, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        names = ("entry-1", "entry-2")
        for name in names:
            harness.deployment.signal(name, signal.SIGTERM)
        for thread in threads:
            thread.join()
        codes = [harness.deployment.processes[name].wait(30) for name in names]
        for name in names:
            harness.deployment.start(name)
        assert replies_match == [True] * 12
        assert codes == [0, 0]


class TestConcurrentChanges:
    def test_one_concurrent_change_wins_and_the_others_learn_its_operator(
        self, harness
    ):
        harness.deployment.wait_ready(2, 2)
        fields = {"name": "race", "quota_accelerators": 1}
        version = harness.client.apply("workspace", fields)["version"]
        results = []

        def change(number):
            address = harness.deployment.layout.http[number % 2]
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
        reported_winners = {winner for _, winner in results if winner}
        assert reported_winners == {f"operator-{winners[0]}"}
        stored = harness.client.call("GET", "/v1/resources/workspace/race")
        assert stored["fields"]["quota_accelerators"] == winners[0]

    def test_resumed_entry_never_reports_an_older_version(self, harness):
        harness.deployment.suspend("entry-1")
        with harness.entry_client(1) as other_entry:
            fields = {"name": "race", "quota_accelerators": 77}
            version = other_entry.apply("workspace", fields)["version"]
            time.sleep(4.0)
            harness.deployment.resume("entry-1")
        with harness.entry_client(0) as resumed:
            harness.wait_until(
                lambda: has_config_version(resumed, version), "the configuration"
            )
        config_versions = [
            line["config_version"]
            for name in ("worker-1", "worker-2")
            for line in harness.deployment.log(f"agent-{name}")
            if "config_version" in line
        ]
        assert (
            config_versions == sorted(config_versions) or len(set(config_versions)) <= 2
        )
