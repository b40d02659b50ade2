"""Reports from the kept record: explanations of jobs and service-level burn."""

from cicadabank.report.internal.burn import (
    KeptRecord,
    LevelReport,
    burn_document,
    burn_report,
    burn_table,
)
from cicadabank.report.internal.explain import explain_job
from cicadabank.report.internal.plot import plot_burn

__all__ = [
    "KeptRecord",
    "LevelReport",
    "burn_document",
    "burn_report",
    "burn_table",
    "explain_job",
    "plot_burn",
]
