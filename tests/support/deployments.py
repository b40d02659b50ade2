"""Local deployments of separate processes with short leases, for the failure tests."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

from cicadabank.client import ApiError, Client
from cicadabank.local import (
    DeploymentSize,
    Ports,
    deployment_running,
    make_layout,
    wait_until,
)
from cicadabank.standin import StandInUnreachableError, set_fault
from cicadabank.wire import ChannelPool, targets_pb2, targets_pb2_grpc

ENDED = {"done", "failed", "refused", "cancelled", "outcome-unknown"}
DOMAINS = ("erie", "huron")
TIMINGS = {
    "lease_duration_s": 7.0,
    "silent_after_s": 2.0,
    "outage_lease_s": 60.0,
    "recovery_s": 3.0,
    "settle_s": 1.5,
}
OVERRIDES = {
    "session_lease_s": 3.0,
    "session_renew_s": 0.8,
    "beat_interval_s": 0.5,
    "timings": TIMINGS,
}
WAIT_TIMEOUT_S = 40.0


class DeploymentHarness:
    """A running deployment, a client of all its entries, and helpers of the tests."""

    def __init__(self, deployment, client):
        self.deployment = deployment
        self.client = client

    def entry_client(self, index):
        """Return a client of a single entry."""
        return Client([self.deployment.layout.http[index]], "test")

    def holder(self):
        """Return the name of the entry that currently holds the cell."""
        for index, address in enumerate(self.deployment.layout.http):
            with Client([address]) as client:
                if client.call("GET", "/v1/status")["held_cells"]:
                    return f"entry-{index + 1}"
        raise AssertionError("no entry reports that it holds the cell")

    def other_entry_client(self, entry):
        """Return a client of whichever of the two entries is not this one."""
        return self.entry_client(1 if entry == "entry-1" else 0)

    def submit(self, key="", run_s=1.0, **fields):
        payload = json.dumps({"run_s": run_s, **fields.pop("behaviour", {})})
        spec = {"workspace": "glaze", "payload": payload, **fields}
        return self.client.submit(spec, key)["job"]

    def tasks(self, worker):
        """Return a worker's tasks, queried from its runner directly."""
        pool = ChannelPool()
        address = self.deployment.layout.settings[worker]["listen"]
        stub = targets_pb2_grpc.RunnerStub(pool.get(address))
        tasks = list(stub.Usage(targets_pb2.Empty()).tasks)
        pool.close()
        return tasks

    def task_states(self, worker):
        """Return the states of a worker's tasks, queried from its runner directly."""
        return [task.state for task in self.tasks(worker)]

    def running_attempts(self):
        """Return how many attempts run, counted on each worker that runs a part."""
        workers = [
            n for n in self.deployment.layout.settings if n.startswith("worker-")
        ]
        return sum(self.task_states(name).count("running") for name in workers)

    def wait_ended(self, job, client=None):
        return (client or self.client).wait_for_job(job, ENDED)

    def wait_running(self, job, client=None):
        """Wait until each member of a job runs on its worker; return the job's record.

        The record alone says "running" as soon as the start is committed, before any
        worker has been told to start.
        """
        states = ENDED | {"running"}
        record = (client or self.client).wait_for_job(job, states)
        assert record["state"] == "running", record["reason"]
        workers = [member["worker"] for member in record["members"]]
        self.wait_until(
            lambda: all(self._runs(record["attempt"], worker) for worker in workers),
            "the start of the gang's members",
        )
        return record

    def _runs(self, attempt, worker):
        return any(
            task.attempt == attempt and task.state == "running"
            for task in self.tasks(worker)
        )

    def set_fault(self, process, name, value):
        """Set a fault of a stand-in; retry while the stand-in is unreachable."""
        address = self.deployment.layout.settings[process]["listen"]

        def fault_is_set():
            try:
                set_fault(address, name, value)
            except StandInUnreachableError:
                return False
            return True

        self.wait_until(fault_is_set, process)

    def wait_until(self, condition, what, timeout_s=WAIT_TIMEOUT_S):
        wait_until(condition, timeout_s, what)


@contextmanager
def harness_running(folder, workers=4, minions=2) -> Iterator[DeploymentHarness]:
    """Run a deployment of two entries, with the workspaces that the tests use."""
    size = DeploymentSize(DOMAINS, "lakes", 2, workers, minions, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with layout_running(layout, folder, workers, minions) as harness:
        yield harness


@contextmanager
def layout_running(layout, folder, workers, minions) -> Iterator[DeploymentHarness]:
    """Run the processes of a layout, with the workspaces that the tests use."""
    with deployment_running(layout, folder) as deployment:
        deployment.wait_ready(workers, minions)
        with Client(layout.http, "test") as client:
            harness = DeploymentHarness(deployment, client)
            for name in ("glaze", "books"):
                client.apply("workspace", {"name": name, "quota_accelerators": 32})
            for address in layout.http:
                with Client([address]) as entry:
                    harness.wait_until(
                        lambda entry=entry: has_config_version(entry, 2),
                        "the configuration",
                    )
            yield harness


def has_config_version(client, version):
    """Return whether an entry applies at least this version of the configuration."""
    try:
        return client.call("GET", "/v1/status")["config_version"] >= version
    except ApiError:
        return False
