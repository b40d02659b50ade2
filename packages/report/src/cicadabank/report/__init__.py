"""Reports on stored jobs and on the burn of the error budgets."""

from cicadabank.report.internal.burn import (
    BurnInput,
    LevelReport,
    burn_document,
    burn_report,
    burn_table,
)
from cicadabank.report.internal.explain import explain_job
from cicadabank.report.internal.plot import plot_burn

__all__ = [
    "BurnInput",
    "LevelReport",
    "burn_document",
    "burn_report",
    "burn_table",
    "explain_job",
    "plot_burn",
]
