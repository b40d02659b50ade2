"""Checks that the worker's stand-in conforms to the runner's interface, with faults."""

from __future__ import annotations

import time

import grpc
import pytest
from cicadabank.local import Ports
from cicadabank.settings import StandInSettings
from cicadabank.standin import stand_in_running
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
