"""Delay between the drain of a failure domain and the last start of a job there.

Runs separate processes. A stream of jobs of one accelerator goes to two failure
domains while one of them is repeatedly drained and returned, through the cell's holder
and through another entry in turn. The delay is counted from the response that accepts
the drain to the committed start of the last job placed in the domain.
"""

from __future__ import annotations

import threading
import time

from cicadabank.client import Client

from benchmarks.deployments import deployment
from benchmarks.results import percentiles, print_results

SEED = 0
DRAINS = 8
DRAIN_S = 3.0
PAUSE_S = 2.0
JOBS_PER_S = 20.0
BOUND_S = 5.0


def _submit_jobs(client: Client, stopping: threading.Event, jobs: list[str]) -> None:
    spec = {"workspace": "glaze", "tasks": 1, "payload": '{"run_s": 2.0}'}
    while not stopping.wait(1.0 / JOBS_PER_S):
        jobs.append(client.submit(spec)["job"])


def measure_delays() -> dict:
    """Return the percentiles of the delay over all drains, in seconds."""
    drain_periods: list[tuple[float, float]] = []
    jobs: list[str] = []
    with deployment(entries=2, workers=6) as (running, client):
        addresses = running.layout.http
        with Client(addresses) as submitter:
            stopping = threading.Event()
            arguments = (submitter, stopping, jobs)
            thread = threading.Thread(target=_submit_jobs, args=arguments)
            thread.start()
            for number in range(DRAINS):
                with Client([addresses[number % 2]]) as operator:
                    time.sleep(PAUSE_S)
                    operator.apply("failure-domain", {"name": "huron", "out": True})
                    accepted_unix_s = time.time()
                    time.sleep(DRAIN_S)
                    drain_periods.append((accepted_unix_s, time.time()))
                    operator.apply("failure-domain", {"name": "huron", "out": False})
            stopping.set()
            thread.join()
            targets = client.call("GET", "/v1/targets")["targets"]
            domains = {target["name"]: target["domain"] for target in targets}
            starts = [
                start["at_unix_s"]
                for record in (client.wait_for_job(job, {"done"}) for job in jobs)
                for start in record["history"]
                if start["event"] == "start"
                and domains[record["members"][0]["worker"]] == "huron"
            ]
    delays_s = [
        max(
            [
                start_s - accepted_s
                for start_s in starts
                if accepted_s < start_s < end_s
            ],
            default=0.0,
        )
        for accepted_s, end_s in drain_periods
    ]
    return {
        "starts_in_domain": len(starts),
        "drains": len(delays_s),
        "last_start_after_s": percentiles(delays_s),
        "bound_s": BOUND_S,
    }


def main() -> None:
    """Print the delays of the last starts."""
    print_results("drain_delay", SEED, measure_delays())


if __name__ == "__main__":
    main()
