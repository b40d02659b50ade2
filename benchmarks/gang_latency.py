"""How long an urgent gang takes from its submission to its running, on real processes.

One gang at a time on an idle deployment, over one, two and three workers.
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


def submit_all(client: Client, tasks: int) -> dict[str, float]:
    """Run gangs of one size in turn; return when each was submitted."""
    spec = {"workspace": "glaze", "tasks": tasks, "urgent": True}
    payload = json.dumps({"run_s": 0.2})
    submitted: dict[str, float] = {}
    for _ in range(GANGS):
        now_unix_s = time.time()
        job = client.submit({**spec, "payload": payload})["job"]
        submitted[job] = now_unix_s
        client.wait_for_job(job, ENDED)
    return submitted


def running_unix_s(running: Deployment) -> dict[str, float]:
    """Return when each job's gang was running, as the entries logged it."""
    return {
        record["job"]: datetime.fromisoformat(record["at"]).timestamp()
        for name in ("entry-1", "entry-2")
        for record in running.log(name)
        if record.get("event") == "running"
    }


def main() -> None:
    """Print the latencies by the size of the gang."""
    with deployment(entries=2, workers=6) as (running, client):
        submitted = {tasks: submit_all(client, tasks) for tasks in TASKS}
        started = running_unix_s(running)
    results = {
        f"{tasks} tasks": {
            "submitted_to_running_s": percentiles(
                [started[job] - at_s for job, at_s in jobs.items()]
            ),
            "bound_s": BOUND_S,
        }
        for tasks, jobs in submitted.items()
    }
    print_results("gang_latency", SEED, results)


if __name__ == "__main__":
    main()
