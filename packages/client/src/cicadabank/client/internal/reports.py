"""Commands that report on stored jobs and service levels."""

from __future__ import annotations

import time

from cicadabank.client.internal.context import CommonOptions, exit_on_error
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import Output, print_json
from cicadabank.report import (
    BurnInput,
    burn_document,
    burn_report,
    burn_table,
    explain_job,
    plot_burn,
)
from cyclopts import App

report_app = App(name="report", help="Reports on stored jobs and service levels.")
DEFAULT_OPTIONS = CommonOptions()
BURN_REPORT_WINDOW_S = 72 * 3600.0  # the longest window of the burn report


def explain(job: str, *, common: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Explain a job's state and each decision about it, from its stored record.

    Parameters
    ----------
    job
        Id of the job.
    """
    with exit_on_error(common.output), common.client() as client:
        record = client.job(job)
        if common.output is Output.JSON:
            print_json(
                {"job": job, "text": explain_job(record).splitlines(), "record": record}
            )
        else:
            print(explain_job(record))


@report_app.command
def burn(
    *, plot: str = "", workspace: str = "", common: CommonOptions = DEFAULT_OPTIONS
) -> None:
    """Report how fast each workspace's error budgets are used up, and by which events.

    Parameters
    ----------
    plot
        Also write a plot to this file: .png, .svg or .pdf.
    workspace
        Report only this workspace.
    """
    with exit_on_error(common.output), common.client() as client:
        reports = burn_report(fetch_burn_input(client, workspace), time.time())
        if plot:
            plot_burn(reports, plot)
        if common.output is Output.JSON:
            print_json(burn_document(reports))
        else:
            print(burn_table(reports))


def fetch_burn_input(client: Client, workspace: str = "") -> BurnInput:
    """Fetch the input of the burn report for the longest window."""
    after_unix_s = time.time() - BURN_REPORT_WINDOW_S
    resources = client.call("GET", "/v1/resources/workspace")["resources"]
    stored = client.call("GET", "/v1/record", after_unix_s=after_unix_s)
    return BurnInput(
        [
            resource["fields"]
            for resource in resources
            if workspace in ("", resource["name"])
        ],
        client.call("GET", "/v1/jobs", limit=1000, workspace=workspace or None)["jobs"],
        stored["tallies"],
        stored["in_force"],
        client.call("GET", "/v1/config/log", limit=1000)["changes"],
    )
