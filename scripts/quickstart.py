"""Runs a small deployment on stand-ins: a gang job, a request and a refused job.

The entries, agents and stand-ins are separate processes that communicate over TCP.
Exits with 0 only if all three parts end as expected.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from cicadabank.client import ApiError, Client
from cicadabank.local import (
    DeploymentLayout,
    DeploymentSize,
    Ports,
    deployment_running,
    make_layout,
    wait_until,
)
from cicadabank.report import explain_job

SIZE = DeploymentSize(
    ("erie-shed", "huron-shed"), "lakes", entries=2, workers=3, minions=2
)
TERMINAL_STATES = {"done", "failed", "refused", "cancelled", "outcome-unknown"}
GANG_JOB = {
    "workspace": "glaze",
    "name": "kiln-fade series",
    "tasks": 16,
    "payload": json.dumps({"run_s": 1.0, "answer": "faded"}),
}
INFEASIBLE_JOB = {"workspace": "glaze", "name": "too large", "tasks": 200}


def run_gang(client: Client) -> bool:
    """Run a gang job on several workers; return whether it was done as expected."""
    record = client.submit(GANG_JOB)
    record = client.wait_for_job(record["job"], TERMINAL_STATES)
    print(explain_job(record))
    if record["state"] != "done":
        return False
    answer = client.answer(record["job"], "glaze")
    for member in answer["members"]:
        print(f"Answer of {member['worker']}: {member['answer']}")
    return len(answer["members"]) > 1


def run_request(client: Client) -> bool:
    """Send a request to a minion; return whether it was answered as expected."""
    request = {"workspace": "glaze", "payload": "preview of cobalt blue"}
    answer = client.request(request)
    print(f"Request {answer['request']} was answered by {answer['minion']}:")
    print(f"  {answer['answer']}")
    return answer["answer"] == request["payload"]


def run_infeasible_job(client: Client) -> bool:
    """Submit a job that no cell can run; return whether it was refused as expected."""
    try:
        client.submit(INFEASIBLE_JOB)
    except ApiError as error:
        print(explain_job(client.job(error.job)))
        return error.code == "impossible-shape" and error.ran == "no"
    return False


def run_all(layout: DeploymentLayout) -> bool:
    """Run the three parts; return whether all ended as expected."""
    with Client(layout.http, "quickstart") as client:
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 1000})
        wait_until(lambda: _configuration_in_force(client), 10.0, "the configuration")
        results = []
        for title, run_part in (
            ("A gang of 16 accelerators over several workers", run_gang),
            ("A request to a minion", run_request),
            ("A job that can never run", run_infeasible_job),
        ):
            print(f"\n== {title}")
            results.append(run_part(client))
    return all(results)


def _configuration_in_force(client: Client) -> bool:
    # Until the workspace is in force, the entry refuses the job with another error.
    try:
        client.submit(INFEASIBLE_JOB)
    except ApiError as error:
        return error.code == "impossible-shape"
    return False


def main() -> int:
    """Run the deployment and its three parts; return the exit code."""
    layout = make_layout(SIZE, Ports())
    with tempfile.TemporaryDirectory(prefix="cicadabank-") as folder:
        print(f"Starting {len(layout.settings)} processes; their logs are in {folder}")
        with deployment_running(layout, Path(folder)) as deployment:
            deployment.wait_ready(SIZE.workers, SIZE.minions)
            passed = run_all(layout)
    print(
        "\nAll three parts ended as expected."
        if passed
        else "\nAt least one part did not end as expected."
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
