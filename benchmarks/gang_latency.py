"""Latency of an urgent gang from its submission until all its tasks run.

Runs separate processes: one gang at a time on an idle deployment, on one, two and three
workers.
"""

from __future__ import annotations

import json
import time
from datetime import datetime

from cicadabank.client import Client
from cicadabank.local import Deployment

from benchmarks.deployments import deployment
from benchmarks.results import percentiles, print_results

SEED = 0
GANGS = 30
TASKS = (8, 16, 24)
BOUND_S = 2.5
ENDED = {"done", "failed", "refused", "outcome-unknown"}


def run_gangs(client: Client, tasks: int) -> dict[str, float]:
    """Run gangs of one size in turn; return the time of submission of each job."""
    spec = {"workspace": "glaze", "tasks": tasks, "urgent": True}
    payload = json.dumps({"run_s": 0.2})
    submitted_unix_s: dict[str, float] = {}
    for _ in range(GANGS):
        now_unix_s = time.time()
        job = client.submit({**spec, "payload": payload})["job"]
        submitted_unix_s[job] = now_unix_s
        client.wait_for_job(job, ENDED)
    return submitted_unix_s


def running_unix_s(deployed: Deployment) -> dict[str, float]:
    """Return the time at which each job's gang was running, from the entries' logs."""
    return {
        record["job"]: datetime.fromisoformat(record["at"]).timestamp()
        for name in ("entry-1", "entry-2")
        for record in deployed.log(name)
        if record.get("event") == "running"
    }


def main() -> None:
    """Print the latencies by the number of tasks of the gang."""
    with deployment(entries=2, workers=6) as (deployed, client):
        submitted_unix_s = {tasks: run_gangs(client, tasks) for tasks in TASKS}
        started_unix_s = running_unix_s(deployed)
    results = {
        f"{tasks} tasks": {
            "submitted_to_running_s": percentiles(
                [started_unix_s[job] - submitted_s for job, submitted_s in jobs.items()]
            ),
            "bound_s": BOUND_S,
        }
        for tasks, jobs in submitted_unix_s.items()
    }
    print_results("gang_latency", SEED, results)


if __name__ == "__main__":
    main()
