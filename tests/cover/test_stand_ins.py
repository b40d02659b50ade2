"""Checks that the stand-ins of workers and targets keep to their interfaces."""

from __future__ import annotations

import json
import threading
import time

import grpc
import httpx
import pytest
from cicadabank.local import Ports
from cicadabank.platform import standin
from cicadabank.platform.standin import (
    TargetServer,
    fleet_running,
    serving,
    target_running,
)
from cicadabank.settings import StandInSettings
from cicadabank.standin import TargetFleet, TaskProfile, stand_in_running
from cicadabank.web.messages import ApiReply
from cicadabank.wire import targets_pb2, targets_pb2_grpc


@pytest.fixture
def worker():
    address = Ports().address()
    settings = StandInSettings("stand-in", "worker", "worker-1", address)
    with (
        stand_in_running(settings) as runner,
        grpc.insecure_channel(address) as channel,
    ):
        yield runner, targets_pb2_grpc.RunnerStub(channel)


def start(attempt="a", **fields):
    defaults = {"tasks": 4, "accelerators": 4, "epoch": 2, "lease_duration_s": 5.0}
    payload = b'{"run_s": 30}'
    return targets_pb2.TaskStart(
        attempt=attempt, payload=payload, **{**defaults, **fields}
    )


def usage(stub, attempt="a"):
    report = stub.Usage(targets_pb2.Empty())
    return next((task for task in report.tasks if task.attempt == attempt), None)


class TestRunner:
    @pytest.mark.parametrize(
        ("fields", "reason"),
        [
            ({"epoch": 1}, "epoch 1 is below 2"),
            ({"accelerators": 5}, "4 of 8 accelerators are busy"),
            ({"not_after_unix_s": 1.0}, "after its deadline"),
        ],
    )
    def test_an_invalid_start_is_refused(self, worker, fields, reason):
        _, stub = worker
        assert stub.Start(start()).accepted
        reply = stub.Start(start("b", **fields))
        assert not reply.accepted
        assert reason in reply.reason

    def test_start_is_idempotent(self, worker):
        runner, stub = worker
        assert stub.Start(start()).accepted
        assert stub.Start(start()).accepted
        assert runner.starts == ["a"]

    def test_a_task_stops_when_its_lease_expires(self, worker):
        _, stub = worker
        stub.Start(start(lease_duration_s=0.05))
        time.sleep(0.1)
        assert (usage(stub).state, usage(stub).reason) == ("stopped", "lease-lapsed")

    def test_a_renewed_lease_keeps_a_task_running(self, worker):
        _, stub = worker
        stub.Start(start(lease_duration_s=2.0))
        renewal = targets_pb2.LeaseRenewal(
            attempts=["a", "b"], lease_duration_s=5.0, epoch=2
        )
        assert list(stub.Renew(renewal).unknown) == ["b"]
        time.sleep(2.2)
        assert usage(stub).state == "running"

    def test_throttle_slows_a_task_down(self, worker):
        _, stub = worker
        stub.Start(start())
        stub.Throttle(targets_pb2.TaskThrottle(attempt="a", share=0.0))
        before = usage(stub).run_s
        time.sleep(0.1)
        assert usage(stub).run_s == before
        assert usage(stub).cores == 0.0

    def test_resumes_from_its_checkpoint(self, worker):
        _, stub = worker
        stub.Start(start())
        time.sleep(0.1)
        task_ref = targets_pb2.TaskRef(attempt="a", epoch=2)
        checkpoint = stub.Checkpoint(task_ref).checkpoint
        stub.Stop(task_ref)
        stub.Start(start("b", checkpoint=checkpoint))
        assert usage(stub, "b").run_s >= 0.1

    def test_usage_lag_delays_reports(self, worker):
        runner, stub = worker
        runner.faults.set("usage_lag_s", 60.0)
        stub.Start(start())
        assert usage(stub) is None

    def test_fail_all_fails_running_tasks(self, worker):
        runner, stub = worker
        runner.faults.set("fail_all", 1.0)
        stub.Start(start())
        assert usage(stub).state == "failed"


class TargetClient:
    """Calls a target as its agent does, and receives its heartbeats."""

    def __init__(self, target, address):
        self.target = target
        self.heartbeats = []  # as (start of the incarnation, sequence)
        self._http = httpx.Client(base_url=f"http://{address}", trust_env=False)

    def on_heartbeat(self, call):
        document = json.loads(call.body)
        self.heartbeats.append((document["born"], document["seq"]))
        return ApiReply(200, b"{}")

    def call(self, path, timeout_s=0.3, **body):
        """Return the status and the document of the reply; 0 if none came in time."""
        headers = {"X-Target-Instance": self.target.name}
        try:
            reply = self._http.post(path, json=body, headers=headers, timeout=timeout_s)
        except httpx.TimeoutException:
            return 0, {}
        return reply.status_code, reply.json()

    def start(self, task="a.0.0.0", run=1, until_ms=9_000, fence=1):
        return self.call(
            "/api/run-start",
            task=task,
            run=run,
            spec="",
            untilMs=until_ms,
            fence=fence,
        )

    def hold(self, fence=1, seen=0, **body):
        return self.call("/api/hold", fence=fence, lastSeen=seen, **body)

    def ends(self):
        return [end[1:4] for end in self.hold()[1]["ended"]]


@pytest.fixture
def late_delay_s(monkeypatch):
    """Shorten the delay of late messages to a fixed one."""
    delay_s = 0.8
    monkeypatch.setattr(standin, "LATE_MESSAGE_DELAY_S", (delay_s, delay_s))
    return delay_s


@pytest.fixture
def acknowledged():
    return []


@pytest.fixture
def expired():
    return []


@pytest.fixture
def client(acknowledged, expired):
    ports = Ports()
    address, agent = ports.address(), ports.address()
    fleet = TargetFleet(
        lambda task, spec: TaskProfile(task, 0.2, (0, 0, 0)),
        on_acknowledged=lambda *call: acknowledged.append(call),
        on_lease_expired=lambda *call: expired.append(call),
    )
    target = fleet.add("t0", (8, 8, 8))
    client = TargetClient(target, address)
    server = TargetServer(target, address, agent, "d0", "r0", seed=3)
    with (
        fleet_running(fleet),
        serving(agent, client.on_heartbeat),
        target_running(server),
    ):
        yield client


def wait_until(condition, timeout_s=5.0):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


class TestTargetFaults:
    def test_a_late_start_has_no_reply_and_is_executed_later(
        self, client, late_delay_s
    ):
        client.target.late_call_share = 1.0
        sent_s = time.monotonic()
        assert client.start() == (0, {})
        assert client.target.late_messages == 1
        client.target.heal()
        wait_until(lambda: client.target.started)
        assert time.monotonic() - sent_s >= late_delay_s
        wait_until(lambda: not client.target.late_messages)

    def test_a_late_start_is_executed_by_the_next_incarnation(
        self, client, late_delay_s
    ):
        client.target.late_call_share = 1.0
        assert client.start(until_ms=60_000)[0] == 0
        client.target.restart()
        wait_until(lambda: client.target.started)
        assert client.target.incarnation == 2

    def test_a_late_start_is_refused_once_its_lease_has_expired(
        self, client, late_delay_s
    ):
        client.target.late_call_share = 1.0
        until_ms = int((client.target.clock_s() + late_delay_s / 2) * 1000)
        assert client.start(until_ms=until_ms)[0] == 0
        wait_until(lambda: not client.target.late_messages)
        assert client.target.started == []

    def test_a_late_start_is_refused_after_a_stop(self, client, late_delay_s):
        client.target.late_call_share = 1.0
        assert client.start()[0] == 0
        client.target.heal()
        assert client.call("/api/run-stop", task="a.0.0.0", run=1, fence=1)[0] == 200
        wait_until(lambda: not client.target.late_messages)
        assert client.target.started == []

    def test_late_stops_and_holds_take_effect_later(self, client, late_delay_s):
        client.target.hangs = True
        assert client.start(until_ms=9_000)[0] == 200
        client.target.late_call_share = 1.0
        assert client.call("/api/run-stop", task="a.0.0.0", run=1, fence=1)[0] == 0
        assert client.hold(fence=5)[0] == 0
        client.target.late_call_share = 0.0
        assert len(client.hold()[1]["running"]) == 1
        wait_until(lambda: client.target.ended)
        wait_until(lambda: not client.target.late_messages)
        assert client.hold(fence=4)[0] == 409

    def test_late_calls_are_a_share_of_all_calls(self, client):
        client.target.late_call_share = 0.5
        statuses = []
        threads = [
            threading.Thread(target=lambda: statuses.append(client.hold()[0]))
            for _ in range(40)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert 8 <= statuses.count(0) <= 32

    def test_a_share_of_the_starts_is_refused_as_unhealthy(self, client):
        client.target.unhealthy_share = 0.5
        statuses = [client.start(f"a.0.0.{n}")[0] for n in range(40)]
        assert set(statuses) == {200, 503}
        assert len(client.target.started) == statuses.count(200)
        assert client.hold()[0] == 200

    def test_an_unhealthy_target_refuses_the_repetition_of_a_late_start(
        self, client, late_delay_s
    ):
        client.target.unhealthy_share = 1e-9
        client.target.late_call_share = 1.0
        assert client.start()[0] == 0
        client.target.late_call_share = 0.0
        assert client.start()[0] == 503
        assert client.start("b.0.0.0")[0] == 200
        wait_until(lambda: len(client.target.started) == 2)

    def test_a_mute_target_neither_replies_nor_executes(self, client):
        client.target.mute = True
        assert client.start()[0] == 0
        assert client.hold()[0] == 0
        before = len(client.heartbeats)
        wait_until(lambda: len(client.heartbeats) > before)
        client.target.heal()
        assert client.hold()[0] == 200
        assert client.target.started == []

    def test_a_lease_is_shortened_to_the_longest_allowed(self, client):
        client.target.hangs = True
        until_ms = int((client.target.clock_s() + 3600.0) * 1000)
        assert client.start(until_ms=until_ms)[0] == 200
        client.target.clock_rate = 20.0
        wait_until(lambda: client.ends() == [["a.0.0.0", 1, "lapsed"]])

    def test_each_end_of_a_lease_is_reported_once(self, client, expired):
        time.sleep(0.1)
        assert expired == []  # there was no lease
        for count in (1, 2):
            until_ms = int((client.target.clock_s() + 0.2) * 1000)
            assert client.hold(untilMs=until_ms)[0] == 200
            wait_until(lambda count=count: expired == [("t0", 1)] * count)
            time.sleep(0.1)

    def test_ends_to_come_are_not_acknowledged_by_an_earlier_call(
        self, client, acknowledged
    ):
        assert client.hold(seen=7)[0] == 200
        assert client.start()[0] == 200
        wait_until(lambda: client.ends() == [["a.0.0.0", 1, "done"]])
        assert {sequence for _, _, sequence in acknowledged} == {0}

    def test_late_heartbeats_are_of_an_earlier_incarnation(self, client, late_delay_s):
        client.target.late_heartbeat_share = 1.0
        wait_until(lambda: client.target.late_messages)
        earlier_ms = client.target.born_ms
        client.target.restart()
        wait_until(lambda: not client.target.late_messages)
        wait_until(lambda: len({born for born, _ in client.heartbeats}) == 2)
        assert client.heartbeats[0][0] == client.target.born_ms > earlier_ms
        assert (client.target.born_ms, 1) in client.heartbeats

    def test_the_clock_may_go_back_at_a_restart(self, client):
        earlier_ms = client.target.born_ms
        client.target.set_back_s = 100.0
        client.target.restart()
        assert client.hold()[1]["born"] < earlier_ms
        assert client.target.clock_s() >= 0.0
