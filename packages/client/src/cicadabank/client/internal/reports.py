"""Commands that report from the kept record."""

from __future__ import annotations

from cicadabank.client.internal.context import Common, reported
from cicadabank.client.internal.output import Output, print_json
from cicadabank.report import explain_job
from cyclopts import App

report_app = App(name="report", help="Reports from the kept record.")
DEFAULT = Common()


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
