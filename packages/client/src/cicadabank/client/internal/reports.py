"""Commands that report from the kept record."""

from __future__ import annotations

import time

from cicadabank.client.internal.context import Common, reported
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import Output, print_json
from cicadabank.report import (
    KeptRecord,
    burn_document,
    burn_report,
    burn_table,
    explain_job,
    plot_burn,
)
from cyclopts import App

report_app = App(name="report", help="Reports from the kept record.")
DEFAULT = Common()
KEPT_S = 72 * 3600.0


def explain(job: str, *, common: Common = DEFAULT) -> None:
    """Tell in words what was decided about a job, and why, from its record alone.

    Parameters
    ----------
    job
        Id of the job.
    """
    with reported(common.output), common.client() as client:
        record = client.job(job)
        if common.output is Output.JSON:
            print_json(
                {"job": job, "text": explain_job(record).splitlines(), "record": record}
            )
        else:
            print(explain_job(record))


@report_app.command
def burn(*, plot: str = "", workspace: str = "", common: Common = DEFAULT) -> None:
    """Tell how fast each workspace's error budgets are used up, and by what.

    Parameters
    ----------
    plot
        Write a plot to this file, too: .png, .svg or .pdf.
    workspace
        Report one workspace only.
    """
    with reported(common.output), common.client() as client:
        reports = burn_report(read_record(client, workspace), time.time())
        if plot:
            plot_burn(reports, plot)
        if common.output is Output.JSON:
            print_json(burn_document(reports))
        else:
            print(burn_table(reports))


def read_record(client: Client, workspace: str = "") -> KeptRecord:
    """Return the kept record of the longest window."""
    after_unix_s = time.time() - KEPT_S
    resources = client.call("GET", "/v1/resources/workspace")["resources"]
    kept = client.call("GET", "/v1/record", after_unix_s=after_unix_s)
    return KeptRecord(
        [r["fields"] for r in resources if workspace in ("", r["name"])],
        client.call("GET", "/v1/jobs", limit=1000, workspace=workspace or None)["jobs"],
        kept["tallies"],
        kept["in_force"],
        client.call("GET", "/v1/config/log", limit=1000)["changes"],
    )
