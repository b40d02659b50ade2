"""Commands for operators and for callers that submit jobs."""

from __future__ import annotations

import json
import time
from typing import Annotated, Any

from cicadabank.client.internal.context import CommonOptions, exit_on_error
from cicadabank.client.internal.documents import JOB_KIND, read_documents
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import (
    Output,
    format_time,
    print_json,
    print_table,
)
from cicadabank.model import KINDS, InvalidInputError
from cyclopts import Parameter

DEFAULT_OPTIONS = CommonOptions()
TARGET_COLUMNS = (
    "name",
    "kind",
    "domain",
    "free",
    "silent",
    "leaving",
    "probation",
    "domain_out",
)
WATCH_INTERVAL_S = 1.0


def apply(
    *,
    file: Annotated[str, Parameter(name=["--file", "-f"], allow_leading_hyphen=True)],
    if_version: int | None = None,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Create or replace resources and submit jobs from a file.

    Parameters
    ----------
    file
        JSON file with one workspace, guarantee, failure domain or job request, or a
        list of them; - reads standard input.
    if_version
        Apply only if the resource still has this version; 0 if it must not exist.
    """
    with exit_on_error(common.output), common.client() as client:
        documents = read_documents(file)
        results = []
        for document in documents:
            if document.kind == JOB_KIND:
                results.append(client.submit(document.fields, document.idempotency_key))
            else:
                results.append(client.apply(document.kind, document.fields, if_version))
        _print_applied(results, common.output)


def _print_applied(results: list[dict[str, Any]], output: Output) -> None:
    if output is Output.JSON:
        print_json(results)
        return
    for result in results:
        if "job" in result:
            print(f"job {result['job']} is {result['state']}")
        else:
            print(f"{result['kind']} {result['name']} has version {result['version']}")


def get(
    kind: str,
    name: str = "",
    *,
    workspace: str = "",
    common: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Print resources, jobs, targets, or the status of an entry.

    Parameters
    ----------
    kind
        workspace, guarantee, failure-domain, job, target, status or config-log.
    name
        Print only the resource, job or target of this name.
    workspace
        Print only the jobs of this workspace.
    """
    with exit_on_error(common.output), common.client() as client:
        _print_by_kind(client, kind, name, workspace, common.output)


def _print_by_kind(
    client: Client, kind: str, name: str, workspace: str, output: Output
) -> None:
    if kind == "job":
        _print_jobs(client, name, workspace, output)
    elif kind == "target":
        _print_targets(client, name, output)
    elif kind == "status":
        print_json(client.call("GET", "/v1/status"))
    elif kind == "config-log":
        _print_config_log(client, output)
    elif kind in KINDS:
        _print_resources(client, kind, name, output)
    else:
        valid_kinds = ", ".join((*KINDS, "job", "target", "status", "config-log"))
        raise InvalidInputError(
            f"the kind {kind!r} does not exist", f"use one of {valid_kinds}"
        )


def _print_jobs(client: Client, name: str, workspace: str, output: Output) -> None:
    if name:
        print_json(client.job(name))
        return
    jobs = client.call("GET", "/v1/jobs", workspace=workspace or None)["jobs"]
    if output is Output.JSON:
        print_json(jobs)
        return
    rows = [
        (
            job["job"],
            job["spec"]["workspace"],
            job["state"],
            job["ran"],
            format_time(job["submitted_unix_s"]),
        )
        for job in jobs
    ]
    print_table(("JOB", "WORKSPACE", "STATE", "RAN", "SUBMITTED"), rows)


def _print_targets(client: Client, name: str, output: Output) -> None:
    targets = client.call("GET", "/v1/targets")["targets"]
    if name:
        targets = [target for target in targets if target["name"] == name]
    if output is Output.JSON:
        print_json(targets)
        return
    rows = [
        [target.get(column, "-") for column in TARGET_COLUMNS] for target in targets
    ]
    print_table([column.upper() for column in TARGET_COLUMNS], rows)


def _print_config_log(client: Client, output: Output) -> None:
    changes = client.call("GET", "/v1/config/log", limit=1000)["changes"]
    if output is Output.JSON:
        print_json(changes)
        return
    rows = [
        (
            change["version"],
            format_time(change["at_unix_s"]),
            change["operator"],
            change["kind"],
            change["name"],
        )
        for change in changes
    ]
    print_table(("VERSION", "AT", "OPERATOR", "KIND", "NAME"), rows)


def _print_resources(client: Client, kind: str, name: str, output: Output) -> None:
    if name:
        resources = [client.call("GET", f"/v1/resources/{kind}/{name}")]
    else:
        resources = client.call("GET", f"/v1/resources/{kind}")["resources"]
    if output is Output.JSON:
        print_json(resources)
        return
    rows = [
        (
            resource["name"],
            resource["version"],
            resource["operator"],
            json.dumps(resource["fields"]),
        )
        for resource in resources
    ]
    print_table(("NAME", "VERSION", "OPERATOR", "FIELDS"), rows)


def watch(
    kind: str,
    name: str = "",
    *,
    for_s: float = 0.0,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Print each new version of a job or of resources, one JSON line each.

    Parameters
    ----------
    kind
        job, or the kind of a resource.
    name
        A job's id, or a resource's name; without it, all resources of the kind.
    for_s
        Stop after this many seconds; 0: no limit. Watching a job also ends with it.
    """
    deadline_s = time.monotonic() + for_s if for_s else float("inf")
    with exit_on_error(common.output), common.client() as client:
        if kind == "job":
            _watch_job(client, name, deadline_s)
        else:
            _watch_resources(client, kind, name, deadline_s)


def _watch_job(client: Client, job: str, deadline_s: float) -> None:
    version = 0
    while time.monotonic() < deadline_s:
        record = client.watch_job(job, version)
        if record["version"] != version:
            version = record["version"]
            last_decision = record["history"][-1]
            line = {
                "job": job,
                "state": record["state"],
                "version": version,
                "decision": last_decision,
            }
            print(json.dumps(line, sort_keys=True), flush=True)
        if record["state"] not in ("queued", "running"):
            return


def _watch_resources(client: Client, kind: str, name: str, deadline_s: float) -> None:
    if kind not in KINDS:
        raise InvalidInputError(
            f"the kind {kind!r} can't be watched",
            f"use one of {', '.join((*KINDS, 'job'))}",
        )
    printed_versions: dict[str, int] = {}
    while time.monotonic() < deadline_s:
        resources = client.call("GET", f"/v1/resources/{kind}")["resources"]
        for resource in resources:
            if name and resource["name"] != name:
                continue
            if printed_versions.get(resource["name"]) != resource["version"]:
                printed_versions[resource["name"]] = resource["version"]
                print(json.dumps(resource, sort_keys=True), flush=True)
        time.sleep(WATCH_INTERVAL_S)


def delete(
    kind: str,
    name: str,
    *,
    if_version: int | None = None,
    common: CommonOptions = DEFAULT_OPTIONS,
):
    """Delete a resource.

    Parameters
    ----------
    kind
        workspace, guarantee or failure-domain.
    name
        Name of the resource.
    if_version
        Delete only if the resource still has this version.
    """
    with exit_on_error(common.output), common.client() as client:
        headers = {"If-Match": str(if_version)} if if_version is not None else None
        result = client.call("DELETE", f"/v1/resources/{kind}/{name}", headers=headers)
        _print_applied([result], common.output)


def drain(
    domain: str,
    *,
    stop_after_s: float = 0.0,
    reason: str = "",
    common: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Take a failure domain out of service: no new work starts there.

    Parameters
    ----------
    domain
        Name of the failure domain.
    stop_after_s
        Stop tasks still running there after this many seconds; 0 lets them finish.
    reason
        Reason, stored with the change.
    """
    _apply_failure_domain(domain, True, stop_after_s, reason, common)


def restore(
    domain: str, *, reason: str = "", common: CommonOptions = DEFAULT_OPTIONS
) -> None:
    """Return a failure domain to service.

    Parameters
    ----------
    domain
        Name of the failure domain.
    reason
        Reason, stored with the change.
    """
    _apply_failure_domain(domain, False, 0.0, reason, common)


def _apply_failure_domain(
    domain: str, out: bool, stop_after_s: float, reason: str, common: CommonOptions
) -> None:
    fields = {
        "name": domain,
        "out": out,
        "stop_after_s": stop_after_s,
        "reason": reason,
    }
    with exit_on_error(common.output), common.client() as client:
        _print_applied([client.apply("failure-domain", fields)], common.output)


def cancel(job: str, *, common: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Cancel a job.

    Parameters
    ----------
    job
        Id of the job.
    """
    with exit_on_error(common.output), common.client() as client:
        record = client.call("DELETE", f"/v1/jobs/{job}")
        _print_applied([record], common.output)


def answer(
    job: str, *, workspace: str, common: CommonOptions = DEFAULT_OPTIONS
) -> None:
    """Print the answers of all members of a job.

    Parameters
    ----------
    job
        Id of the job.
    workspace
        The job's workspace.
    """
    with exit_on_error(common.output), common.client() as client:
        print_json(client.answer(job, workspace))


def request(
    payload: str,
    *,
    workspace: str,
    once: bool = False,
    key: str = "",
    deadline_s: float = 30.0,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Send a request to a minion and print its answer.

    Parameters
    ----------
    payload
        Payload, passed to the minion unchanged.
    workspace
        Workspace that the request belongs to.
    once
        The request is not idempotent: run it at most once.
    key
        Idempotency key.
    deadline_s
        Time limit for the answer, in seconds.
    """
    body = {
        "workspace": workspace,
        "payload": payload,
        "idempotent": not once,
        "deadline_s": deadline_s,
    }
    with exit_on_error(common.output), common.client() as client:
        result = client.request(body, key)
        if common.output is Output.JSON:
            print_json(result)
        else:
            print(result["answer"])
