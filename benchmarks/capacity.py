"""Costs per unit of load, measured on running processes, for docs/CAPACITY.md."""

from __future__ import annotations

import json
import os
import time
from contextlib import ExitStack

import grpc
from cicadabank.client import Client
from cicadabank.entry import entry_running
from cicadabank.local import DeploymentSize, Ports, make_layout, wait_until
from cicadabank.model import JobRow, JobSpec, JobState, Member, encode, from_builtins
from cicadabank.settings import EntrySettings
from cicadabank.standin import serve_store
from cicadabank.wire import control_pb2, control_pb2_grpc

from benchmarks.decision_cost import (
    heartbeat_cost,
    placement_cost,
    takeover_cost,
    tick_cost,
)
from benchmarks.deployments import deployment
from benchmarks.processes import LoadGenerator, measure_usage, read_usage
from benchmarks.results import percentiles, print_results
from tests.support.entries import local_deployment_running

SEED = 0
MEASURE_S = 5.0
HEARTBEATS_PER_S = (50, 150, 300)
TASKS_PER_AGENT = (0, 4, 8)
CONFIG_CHANGES = 20
WATCHERS = (0, 10, 20)
ENTRIES = (1, 2, 4)
HTTP2_OVERHEAD_BYTES = 120  # frames, headers, TCP/IP of a unary call and its reply


def full_heartbeat(index: int) -> control_pb2.Beat:
    """Return the first heartbeat of a worker, which describes the worker in full."""
    info = control_pb2.TargetInfo(
        name=f"load-{index:05d}",
        kind="worker",
        address="127.0.0.1:1",
        cell="lakes",
        domain="erie",
        rack=f"rack-{index // 3}",
        accelerators=8,
        cores=30,
        memory_mb=130_000,
    )
    return control_pb2.Beat(
        target=info.name, incarnation="run-1", info=info, full=True, cell="lakes"
    )


def holder_costs() -> dict:
    """Return the cost of a heartbeat and of a worker to the holder of the cell."""
    points = []
    with deployment() as (running, _):
        pid = running.processes["entry-1"].pid
        idle_core_share, idle_memory_mb = measure_usage(pid, MEASURE_S)
        address = running.layout.settings["entry-1"]["grpc_listen"]
        with grpc.insecure_channel(address) as channel:
            report = control_pb2_grpc.MembershipStub(channel).Report
            for per_s in HEARTBEATS_PER_S:
                points.append(_measure_heartbeats(report, per_s, pid))
    first, last = points[0], points[-1]
    rate = last["heartbeats_per_s"] - first["heartbeats_per_s"]
    return {
        "idle_core_share": round(idle_core_share, 4),
        "idle_memory_mb": round(idle_memory_mb, 1),
        "points": points,
        "cpu_ms_per_heartbeat": round(
            (last["core_share"] - first["core_share"]) * 1000 / rate, 3
        ),
        "memory_kb_per_worker": round(
            (last["memory_mb"] - idle_memory_mb) * 1024 / last["workers"], 2
        ),
    }


def _measure_heartbeats(report, per_s: int, pid: int) -> dict:
    calls = []
    for index in range(per_s):
        first = full_heartbeat(index)
        report(first, timeout=5.0)
        unchanged = control_pb2.Beat(
            target=first.target, incarnation="run-1", cell="lakes", digest=0
        )
        calls.append(lambda unchanged=unchanged: report(unchanged, timeout=5.0))
    reply = report(unchanged, timeout=5.0)
    with LoadGenerator(calls, per_s) as generator:
        time.sleep(1.0)
        count = generator.count
        share, memory_mb = measure_usage(pid, MEASURE_S)
        sent = (generator.count - count) / MEASURE_S
    return {
        "workers": per_s,
        "heartbeats_per_s": round(sent, 1),
        "core_share": round(share, 4),
        "memory_mb": round(memory_mb, 1),
        "bytes": unchanged.ByteSize() + reply.ByteSize() + HTTP2_OVERHEAD_BYTES,
    }


def agent_costs() -> dict:
    """Return the CPU share and memory of agents, by the number of running tasks."""
    points = []
    with deployment(workers=1, minions=1) as (running, client):
        pid = running.processes["agent-worker-1"].pid
        for tasks in TASKS_PER_AGENT:
            while len(client.call("GET", "/v1/jobs", limit=100)["jobs"]) < tasks:
                payload = json.dumps({"run_s": 600})
                client.submit({"workspace": "glaze", "payload": payload})
            time.sleep(2.0)
            share, memory_mb = measure_usage(pid, MEASURE_S)
            points.append(
                {
                    "tasks": tasks,
                    "core_share": round(share, 4),
                    "memory_mb": round(memory_mb, 1),
                }
            )
        share, memory_mb = measure_usage(
            running.processes["agent-minion-1"].pid, MEASURE_S
        )
    return {
        "worker": points,
        "minion": {"core_share": round(share, 4), "memory_mb": round(memory_mb, 1)},
    }


def table_costs() -> dict:
    """Return the table's load by idle entries, per second, and by a job."""
    idle = []
    for entries in ENTRIES:
        ports = Ports()
        layout = make_layout(DeploymentSize(("erie",), "lakes", entries, 0, 0), ports)
        with serve_store(layout.store) as table:
            idle.append(_idle_load(layout, entries, table))
    return {"idle": idle, "job": _job_load()}


def _idle_load(layout, entries: int, table) -> dict:
    with ExitStack() as stack:
        for index in range(entries):
            settings = from_builtins(
                layout.settings[f"entry-{index + 1}"], EntrySettings
            )
            entry = stack.enter_context(entry_running(settings))
            wait_until(entry.ready, 20.0, "the entry")
        time.sleep(2.0)
        before = dict(table.counts)
        time.sleep(MEASURE_S * 2)
        after = dict(table.counts)
    return {
        "entries": entries,
        **{
            name: round((after[name] - before[name]) / (MEASURE_S * 2), 2)
            for name in ("rows_read", "rows_written", "transact", "read")
        },
    }


def _job_load() -> dict:
    """Return the transactions and rows written for a job, the mean of twenty jobs.

    The load that the idle entry makes is subtracted.
    """
    job_count = 20
    with (
        local_deployment_running(workers=2, minions=0) as local,
        Client(local.layout.http) as client,
    ):
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 1000})
        time.sleep(4.0)
        table = local.parts["store"]
        start_s = time.monotonic()
        before = dict(table.counts)
        time.sleep(3.0)
        idle = {k: (table.counts[k] - before[k]) / 3.0 for k in before}
        before, start_s = dict(table.counts), time.monotonic()
        payload = json.dumps({"run_s": 0.1})
        job_ids = [
            client.submit({"workspace": "glaze", "payload": payload})["job"]
            for _ in range(job_count)
        ]
        entry = local.parts["entry-1"]
        wait_until(
            lambda: all(entry.jobs.read(job).row.terminal for job in job_ids),
            60.0,
            "jobs",
        )
        elapsed_s = time.monotonic() - start_s
        increase = {
            k: max(0.0, table.counts[k] - before[k] - idle[k] * elapsed_s)
            for k in ("transact", "rows_written")
        }
    return {k: round(total / job_count, 2) for k, total in increase.items()}


def config_delay() -> dict:
    """Return the seconds from an accepted change until every entry applies it."""
    with deployment(entries=2) as (running, _):
        clients = [Client([address]) for address in running.layout.http]
        delays_s = []
        for number in range(CONFIG_CHANGES):
            fields = {"name": "glaze", "quota_accelerators": 1000 + number}
            version = clients[0].apply("workspace", fields)["version"]
            accepted_s = time.monotonic()
            while not all(_version(c) >= version for c in clients):
                time.sleep(0.02)
            delays_s.append(time.monotonic() - accepted_s)
        for client in clients:
            client.__exit__()
    return {"in_force_s": percentiles(delays_s), "rows_written_each": 3}


def _version(client: Client) -> int:
    return client.call("GET", "/v1/status")["config_version"]


def watcher_costs() -> dict:
    """Return the CPU share of an entry by the number of clients that watch a job."""
    points = []
    with deployment(workers=1) as (running, client):
        payload = json.dumps({"run_s": 600})
        job = client.submit({"workspace": "glaze", "payload": payload})["job"]
        time.sleep(2.0)
        version = client.job(job)["version"]
        pid = running.processes["entry-1"].pid
        for watchers in WATCHERS:
            clients = [Client(running.layout.http) for _ in range(watchers)]
            calls = [
                lambda c=c: c.watch_job(job, version, MEASURE_S * 3) for c in clients
            ]
            if calls:
                with LoadGenerator(calls, 1000.0, watchers):
                    time.sleep(1.0)
                    share, _ = measure_usage(pid, MEASURE_S)
            else:
                share, _ = measure_usage(pid, MEASURE_S)
            points.append({"watchers": watchers, "core_share": round(share, 4)})
            for watcher in clients:
                watcher.__exit__()
    slope = (points[-1]["core_share"] - points[0]["core_share"]) / WATCHERS[-1]
    return {"points": points, "cpu_ms_per_s_each": round(slope * 1000, 2)}


def row_sizes() -> dict:
    """Return the encoded bytes of a job's row by the number of workers of its gang."""
    sizes = {}
    for workers in (1, 8, 128):
        members = tuple(
            Member(f"worker-{i:05d}", 8, "run-" + "0" * 20) for i in range(workers)
        )
        row = JobRow(
            "job-" + "0" * 20,
            JobSpec("glaze", tasks=8 * workers),
            JobState.RUNNING,
            "lakes",
            1e9,
            "submit",
            members=members,
        )
        sizes[str(workers)] = len(encode(row))
    return sizes


def client_cost() -> dict:
    """Return the CPU time of a call and the memory of a client, this process."""
    with deployment() as (_, client):
        before = read_usage(os.getpid())
        calls = 200
        for _ in range(calls):
            client.call("GET", "/v1/status")
        after = read_usage(os.getpid())
    return {
        "cpu_ms_per_call": round((after.cpu_s - before.cpu_s) * 1000 / calls, 2),
        "memory_mb": round(after.memory_mb, 1),
    }


def main() -> None:
    """Print the costs of all roles."""
    results = {
        "client": client_cost(),
        "holder": holder_costs(),
        "agent": agent_costs(),
        "table": table_costs(),
        "config": config_delay(),
        "watchers": watcher_costs(),
        "job_row_bytes": row_sizes(),
        "placement_ms": placement_cost(1_000, 1),
        "decision_ms_per_heartbeat": round(heartbeat_cost(1_000), 4),
        "tick": tick_cost(1_000),
        "takeover": takeover_cost(1_000),
    }
    print_results("capacity", SEED, results)


if __name__ == "__main__":
    main()
