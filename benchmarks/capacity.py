"""Slopes from which docs/CAPACITY.md is worked out, measured on running processes."""

from __future__ import annotations

import json
import os
import time
from contextlib import ExitStack

import grpc
from cicadabank.client import Client
from cicadabank.entry import entry_running
from cicadabank.local import Ports, Size, make_layout, wait_until
from cicadabank.model import JobRow, JobSpec, JobState, Member, encode, from_builtins
from cicadabank.settings import EntrySettings
from cicadabank.standin import serve_store
from cicadabank.wire import control_pb2, control_pb2_grpc

from benchmarks.decision_cost import beat_cost, placement_cost, takeover_cost, tick_cost
from benchmarks.deployments import deployment
from benchmarks.processes import Pacer, core_share, usage_of
from benchmarks.results import percentiles, print_results
from tests.support.entries import local_entry

SEED = 0
MEASURE_S = 5.0
HEARTBEATS_PER_S = (50, 150, 300)
TASKS_PER_AGENT = (0, 4, 8)
CONFIG_CHANGES = 20
WATCHERS = (0, 10, 20)
ENTRIES = (1, 2, 4)
HTTP2_OVERHEAD_BYTES = 120  # frames, headers and TCP/IP of a unary call, both ways


def heartbeat(index: int) -> control_pb2.Beat:
    """Return a heartbeat with the worker's info, as sent first."""
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


def holder_slopes() -> dict:
    """Return what heartbeats and workers cost the entry that holds their cell."""
    points = []
    with deployment() as (running, _):
        pid = running.processes["entry-1"].pid
        idle, idle_mb = core_share(pid, MEASURE_S)
        address = running.layout.settings["entry-1"]["grpc_listen"]
        with grpc.insecure_channel(address) as channel:
            report = control_pb2_grpc.MembershipStub(channel).Report
            for per_s in HEARTBEATS_PER_S:
                points.append(_heartbeats(report, per_s, pid))
    first, last = points[0], points[-1]
    rate = last["heartbeats_per_s"] - first["heartbeats_per_s"]
    return {
        "idle_core_share": round(idle, 4),
        "idle_memory_mb": round(idle_mb, 1),
        "points": points,
        "cpu_ms_per_heartbeat": round(
            (last["core_share"] - first["core_share"]) * 1000 / rate, 3
        ),
        "memory_kb_per_worker": round(
            (last["memory_mb"] - idle_mb) * 1024 / last["workers"], 2
        ),
    }


def _heartbeats(report, per_s: int, pid: int) -> dict:
    calls = []
    for index in range(per_s):
        first = heartbeat(index)
        report(first, timeout=5.0)
        quiet = control_pb2.Beat(
            target=first.target, incarnation="run-1", cell="lakes", digest=0
        )
        calls.append(lambda beat=quiet: report(beat, timeout=5.0))
    reply = report(quiet, timeout=5.0)
    with Pacer(calls, per_s) as pacer:
        time.sleep(1.0)
        count = pacer.count
        share, memory_mb = core_share(pid, MEASURE_S)
        sent = (pacer.count - count) / MEASURE_S
    return {
        "workers": per_s,
        "heartbeats_per_s": round(sent, 1),
        "core_share": round(share, 4),
        "memory_mb": round(memory_mb, 1),
        "bytes": quiet.ByteSize() + reply.ByteSize() + HTTP2_OVERHEAD_BYTES,
    }


def agent_slopes() -> dict:
    """Return what an agent costs its node, by the tasks that run there."""
    points = []
    with deployment(workers=1, minions=1) as (running, client):
        pid = running.processes["agent-worker-1"].pid
        for tasks in TASKS_PER_AGENT:
            while len(client.call("GET", "/v1/jobs", limit=100)["jobs"]) < tasks:
                payload = json.dumps({"run_s": 600})
                client.submit({"workspace": "glaze", "payload": payload})
            time.sleep(2.0)
            share, memory_mb = core_share(pid, MEASURE_S)
            points.append(
                {
                    "tasks": tasks,
                    "core_share": round(share, 4),
                    "memory_mb": round(memory_mb, 1),
                }
            )
        share, memory_mb = core_share(
            running.processes["agent-minion-1"].pid, MEASURE_S
        )
    return {
        "worker": points,
        "minion": {"core_share": round(share, 4), "memory_mb": round(memory_mb, 1)},
    }


def table_slopes() -> dict:
    """Return the rows that idle entries read and write each second, and jobs write."""
    idle = []
    for entries in ENTRIES:
        ports = Ports()
        layout = make_layout(Size(("erie",), "lakes", entries, 0, 0), ports)
        with serve_store(layout.store) as table:
            idle.append(_idle_rows(layout, entries, table))
    return {"idle": idle, "job": _job_rows()}


def _idle_rows(layout, entries: int, table) -> dict:
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


def _job_rows() -> dict:
    """Return the transactions and rows of one job's life, over twenty jobs."""
    jobs = 20
    with local_entry(workers=2, minions=0) as local, Client(local.layout.http) as one:
        one.apply("workspace", {"name": "glaze", "quota_accelerators": 1000})
        time.sleep(4.0)
        table = local.parts["store"]
        start_s = time.monotonic()
        before = dict(table.counts)
        time.sleep(3.0)
        idle = {k: (table.counts[k] - before[k]) / 3.0 for k in before}
        before, start_s = dict(table.counts), time.monotonic()
        payload = json.dumps({"run_s": 0.1})
        names = [
            one.submit({"workspace": "glaze", "payload": payload})["job"]
            for _ in range(jobs)
        ]
        entry = local.parts["entry-1"]
        wait_until(
            lambda: all(entry.jobs.read(n).row.terminal for n in names), 60.0, "jobs"
        )
        elapsed_s = time.monotonic() - start_s
        extra = {
            k: max(0.0, table.counts[k] - before[k] - idle[k] * elapsed_s)
            for k in ("transact", "rows_written")
        }
    return {k: round(v / jobs, 2) for k, v in extra.items()}


def config_slopes() -> dict:
    """Return how long accepted changes take to be in force at every entry."""
    with deployment(entries=2) as (running, _):
        clients = [Client([address]) for address in running.layout.http]
        times = []
        for number in range(CONFIG_CHANGES):
            fields = {"name": "glaze", "quota_accelerators": 1000 + number}
            version = clients[0].apply("workspace", fields)["version"]
            accepted_s = time.monotonic()
            while not all(_version(c) >= version for c in clients):
                time.sleep(0.02)
            times.append(time.monotonic() - accepted_s)
        for client in clients:
            client.__exit__()
    return {"in_force_s": percentiles(times), "rows_written_each": 3}


def _version(client: Client) -> int:
    return client.call("GET", "/v1/status")["config_version"]


def watcher_slopes() -> dict:
    """Return what operators' watches cost an entry."""
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
                with Pacer(calls, 1000.0, watchers):
                    time.sleep(1.0)
                    share, _ = core_share(pid, MEASURE_S)
            else:
                share, _ = core_share(pid, MEASURE_S)
            points.append({"watchers": watchers, "core_share": round(share, 4)})
            for one in clients:
                one.__exit__()
    slope = (points[-1]["core_share"] - points[0]["core_share"]) / WATCHERS[-1]
    return {"points": points, "cpu_ms_per_s_each": round(slope * 1000, 2)}


def row_sizes() -> dict:
    """Return the bytes of a job's row by the workers of its gang."""
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
    """Return the processor time and memory of this process, a client, for its calls."""
    with deployment() as (_, client):
        before = usage_of(os.getpid())
        calls = 200
        for _ in range(calls):
            client.call("GET", "/v1/status")
        after = usage_of(os.getpid())
    return {
        "cpu_ms_per_call": round((after.cpu_s - before.cpu_s) * 1000 / calls, 2),
        "memory_mb": round(after.memory_mb, 1),
    }


def main() -> None:
    """Print all slopes."""
    results = {
        "client": client_cost(),
        "holder": holder_slopes(),
        "agent": agent_slopes(),
        "table": table_slopes(),
        "config": config_slopes(),
        "watchers": watcher_slopes(),
        "job_row_bytes": row_sizes(),
        "placement_ms": placement_cost(1_000, 1),
        "decision_ms_per_heartbeat": round(beat_cost(1_000), 4),
        "tick": tick_cost(1_000),
        "takeover": takeover_cost(1_000),
    }
    print_results("capacity", SEED, results)


if __name__ == "__main__":
    main()
