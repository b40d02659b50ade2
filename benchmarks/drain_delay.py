"""How late the last start in a failure domain comes after it was taken out.

Real processes: a stream of small jobs goes to two failure
domains of one accelerator for each task, while one of them is taken out and brought
back again and again, through the cell's holder and through another entry. Counted from
the accepting answer to the stored start of the last gang placed there.
"""

from __future__ import annotations

import threading
import time

from cicadabank.client import Client

from benchmarks.deployments import deployment
from benchmarks.results import percentiles, print_results

SEED = 0
DRAINS = 8
OUT_S = 3.0
BETWEEN_S = 2.0
JOBS_PER_S = 20.0
BOUND_S = 5.0


def _stream(client: Client, ended: threading.Event, jobs: list[str]) -> None:
    spec = {"workspace": "glaze", "tasks": 1, "payload": '{"run_s": 2.0}'}
    while not ended.wait(1.0 / JOBS_PER_S):
        jobs.append(client.submit(spec)["job"])


def drains() -> dict:
    """Return the delays of the last starts, over all drains."""
    outs: list[tuple[float, float]] = []
    jobs: list[str] = []
    with deployment(entries=2, workers=6) as (running, client):
        addresses = running.layout.http
        with Client(addresses) as submitter:
            ended = threading.Event()
            arguments = (submitter, ended, jobs)
            thread = threading.Thread(target=_stream, args=arguments)
            thread.start()
            for number in range(DRAINS):
                with Client([addresses[number % 2]]) as operator:
                    time.sleep(BETWEEN_S)
                    operator.apply("failure-domain", {"name": "huron", "out": True})
                    accepted_unix_s = time.time()
                    time.sleep(OUT_S)
                    outs.append((accepted_unix_s, time.time()))
                    operator.apply("failure-domain", {"name": "huron", "out": False})
            ended.set()
            thread.join()
            targets = client.call("GET", "/v1/targets")["targets"]
            places = {t["name"]: t["domain"] for t in targets}
            starts = [
                start["at_unix_s"]
                for record in (client.wait_for_job(job, {"done"}) for job in jobs)
                for start in record["history"]
                if start["event"] == "start"
                and places[record["members"][0]["worker"]] == "huron"
            ]
    late = [
        max([s - accepted_s for s in starts if accepted_s < s < end_s], default=0.0)
        for accepted_s, end_s in outs
    ]
    return {
        "starts_in_domain": len(starts),
        "drains": len(late),
        "last_start_after_s": percentiles(late),
        "bound_s": BOUND_S,
    }


def main() -> None:
    """Print the delays."""
    print_results("drain_delay", SEED, drains())


if __name__ == "__main__":
    main()
