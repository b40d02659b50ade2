"""Reports from the kept record: explanations of jobs and service-level burn."""

from cicadabank.report.internal.explain import explain_job

__all__ = ["explain_job"]
