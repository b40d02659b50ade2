"""Runs the main job on embedded stand-ins: a gang, a request, a refusal.

Every process is separate and talks over TCP. Ends with 0 only if all three ended as
they should.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from cicadabank.client import ApiError, Client
from cicadabank.local import (
    Layout,
    Ports,
    Size,
    deployment_running,
    make_layout,
    wait_until,
)
from cicadabank.report import explain_job

SIZE = Size(("erie-shed", "huron-shed"), "lakes", entries=2, workers=3, minions=2)
ENDED = {"done", "failed", "refused", "cancelled", "outcome-unknown"}
GANG = {
    "workspace": "glaze",
    "name": "kiln-fade series",
    "tasks": 16,
    "payload": json.dumps({"run_s": 1.0, "answer": "faded"}),
}
IMPOSSIBLE = {"workspace": "glaze", "name": "too large", "tasks": 200}


def run_gang(client: Client) -> bool:
    """Run one gang job over several workers and print its record."""
    record = client.submit(GANG)
    record = client.wait_for_job(record["job"], ENDED)
    print(explain_job(record))
    if record["state"] != "done":
        return False
    answer = client.answer(record["job"], "glaze")
    for member in answer["members"]:
        print(f"Answer of {member['worker']}: {member['answer']}")
    return len(answer["members"]) > 1


def run_request(client: Client) -> bool:
    """Send one request to a minion and print its answer."""
    request = {"workspace": "glaze", "payload": "preview of cobalt blue"}
    answer = client.request(request)
    print(f"Request {answer['request']} was answered by {answer['minion']}:")
    print(f"  {answer['answer']}")
    return answer["answer"] == request["payload"]


def run_impossible(client: Client) -> bool:
    """Send a job that can never run and print its refusal."""
    try:
        client.submit(IMPOSSIBLE)
    except ApiError as error:
        print(explain_job(client.job(error.job)))
        return error.code == "impossible-shape" and error.ran == "no"
    return False


def run_all(layout: Layout) -> bool:
    """Run the three parts; return whether all ended as they should."""
    with Client(layout.http, "quickstart") as client:
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 1000})
        wait_until(lambda: _in_force(client), 10.0, "the configuration")
        results = []
        for title, run in (
            ("A gang of 16 accelerators over several workers", run_gang),
            ("A request to a minion", run_request),
            ("A job that can never run", run_impossible),
        ):
            print(f"\n== {title}")
            results.append(run(client))
    return all(results)


def _in_force(client: Client) -> bool:
    try:
        client.submit(IMPOSSIBLE)
    except ApiError as error:
        return error.code == "impossible-shape"
    return False


def main() -> int:
    """Run the deployment; return the exit code."""
    layout = make_layout(SIZE, Ports())
    with tempfile.TemporaryDirectory(prefix="cicadabank-") as folder:
        print(f"Starting {len(layout.settings)} processes; their logs are in {folder}")
        with deployment_running(layout, Path(folder)) as deployment:
            deployment.wait_ready(SIZE.workers, SIZE.minions)
            passed = run_all(layout)
    print("\nAll three ended as they should." if passed else "\nNot all ended well.")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
