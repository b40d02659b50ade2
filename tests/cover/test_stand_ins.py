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
        self.paths = []  # of the heartbeats and other notices
        self._http = httpx.Client(base_url=f"http://{address}", trust_env=False)

    def on_heartbeat(self, call):
        self.paths.append((call.method, call.path))
        document = json.loads(call.body)
        self.heartbeats.append((document["born"], document["seq"]))
        return ApiReply(200, b"{}")

    def call(self, path, timeout_s=0.3, target="", **body):
        """Return the status and the document of the reply; 0 if none came in time."""
        headers = {"X-Target-Instance": target or self.target.id}
        try:
            reply = self._http.post(path, json=body, headers=headers, timeout=timeout_s)
        except httpx.TimeoutException:
            return 0, {}
        return reply.status_code, reply.json()

    def start(self, task="a.0.0.0", run=1, until_ms=9_000, fence=1, timeout_s=0.3):
        return self.call(
            "/api/run-start",
            timeout_s,
            task=task,
            run=run,
            spec="",
            untilMs=until_ms,
            fence=fence,
        )

    def hold(self, fence=1, seen=0, **body):
        return self.call("/api/hold", fence=fence, lastSeen=seen, **body)

    def ends(self):
        # The reply counts here, not when it comes.
        _, listed = self.call("/api/hold", timeout_s=10.0, fence=1, lastSeen=0)
        return [end[1:4] for end in listed["ended"]]


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
def events():
    return []


CRASH_DELAYS_S = {"deadly": 0.2, "deadly-at-once": 0.0}


def profile_of(task, spec):
    crashes_after_s = CRASH_DELAYS_S.get(task.partition(".")[0], float("inf"))
    return TaskProfile(task, 0.2, (0, 0, 0), crashes_after_s=crashes_after_s)


@pytest.fixture
def client(acknowledged, expired, events):
    ports = Ports()
    address, agent = ports.address(), ports.address()
    fleet = TargetFleet(
        profile_of,
        on_event=events.append,
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

    # Guards against tests that never see a list which lacks some of the ended runs.
    def test_ended_runs_are_listed_in_turn(self, client):
        with client.target.fleet.changed:
            client.target.ended += [
                (number, f"a.0.0.{number}", 1, "done", "") for number in range(1, 601)
            ]
        assert [end[0] for end in client.hold()[1]["ended"]] == list(range(1, 501))
        listed = client.hold(seen=500)[1]["ended"]
        assert [end[0] for end in listed] == list(range(501, 601))

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


class TestTargetCrashes:
    SOUND, DEADLY, AT_ONCE = "sound.0.0.0", "deadly.0.0.0", "deadly-at-once.0.0.0"

    @pytest.fixture(autouse=True)
    def _target_down_until_restart(self, client):
        client.target.down_s = float("inf")
        client.target.hangs = True

    def start(self, client, task):
        assert client.start(task, timeout_s=10.0)[0] == 200

    def refuses_connections(self, client):
        try:
            client.hold()
        except httpx.ConnectError:
            return True
        except httpx.TransportError:
            return False
        return False

    def wait_until_back(self, client):
        wait_until(lambda: not self.refuses_connections(client))

    # Guards against deadly tasks that leave some of their target's runs alone.
    def test_a_crash_loses_all_runs(self, client, events):
        self.start(client, self.SOUND)
        self.start(client, self.DEADLY)
        wait_until(lambda: self.refuses_connections(client))
        kinds = {(event.kind, event.task) for event in events}
        assert kinds == {
            (kind, task)
            for kind in ("started", "crashed")
            for task in (self.SOUND, self.DEADLY)
        }
        client.target.restart()
        self.wait_until_back(client)
        assert client.hold()[1]["running"] == client.hold()[1]["ended"] == []

    # Guards against a crash that the agent learns of by a reply or a notice.
    def test_a_crash_drops_connections_without_notice(self, client):
        wait_until(lambda: client.heartbeats)
        self.start(client, self.DEADLY)
        with pytest.raises(httpx.TransportError):
            client.hold(waitMs=2_000, timeout_s=10.0)
        wait_until(lambda: self.refuses_connections(client))
        time.sleep(2 * standin.HEARTBEAT_INTERVAL_S)  # for one that was on its way
        paths = list(client.paths)
        time.sleep(2 * standin.HEARTBEAT_INTERVAL_S)
        assert client.paths == paths
        assert {method for method, _ in paths} == {"PUT"}

    # Guards against a reply to a start that has crashed its target at once.
    def test_a_crash_may_take_the_reply_to_the_start_away(self, client):
        with pytest.raises(httpx.TransportError):
            client.start(self.AT_ONCE, timeout_s=10.0)
        assert client.target.started == [(self.AT_ONCE, 1)]
        assert client.target.crash_count == 1

    # Guards against a target that stays down, or returns as the incarnation before.
    @pytest.mark.parametrize("renamed", [False, True])
    def test_a_target_returns_as_a_new_incarnation(self, client, renamed):
        earlier_id, earlier_ms = client.target.id, client.target.born_ms
        client.target.renamed_by_crash = renamed
        client.target.down_s = 1.0
        started_s = time.monotonic()
        self.start(client, self.DEADLY)
        wait_until(lambda: client.target.incarnation == 2)
        assert time.monotonic() - started_s >= 1.0
        self.wait_until_back(client)
        assert client.hold()[1]["born"] == client.target.born_ms > earlier_ms
        path = f"/api/instances/{client.target.id}"
        wait_until(lambda: (client.target.born_ms, 1) in client.heartbeats)
        assert client.paths[-1] == ("PUT", path)
        assert (client.target.id != earlier_id) is renamed

    # Guards against calls that are carried out by an incarnation with another id.
    def test_a_renamed_target_refuses_calls_to_its_earlier_id(
        self, client, late_delay_s
    ):
        client.target.renamed_by_crash = True
        client.target.late_call_share = 1.0
        assert client.start(self.SOUND, until_ms=60_000)[0] == 0
        client.target.crash()
        client.target.restart()
        wait_until(lambda: not client.target.late_messages)
        assert client.target.started == []
        self.wait_until_back(client)
        assert client.hold()[0] == 200
        assert client.hold(target=client.target.name)[0] == 421

    # Guards against a late call that is executed while its target is down.
    def test_a_target_that_is_down_executes_no_late_calls(self, client, late_delay_s):
        client.target.late_call_share = 1.0
        assert client.start(self.SOUND, until_ms=60_000)[0] == 0
        client.target.crash()
        wait_until(lambda: not client.target.late_messages)
        assert client.target.started == []
