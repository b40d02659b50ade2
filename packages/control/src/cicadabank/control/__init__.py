"""Processes of the scheduler for jobs with steps.

Entries accept jobs and schedule cells; each target has an agent, which starts and stops
its runs.
"""

from __future__ import annotations

from importlib import import_module
from typing import Any

# Names are imported on first use, so that each process loads only the modules it runs:
# imports cost processor time at every start.
_MODULES = {
    "CELLS": "internal.relay",
    "OPERATOR": "internal.relay",
    "AgentParts": "internal.agent",
    "JobServiceError": "errors",
    "EntryParts": "internal.entry",
    "JobService": "internal.job_service",
    "JobRequest": "internal.job_service",
    "JobStatus": "internal.job_service",
    "Listing": "internal.target_messages",
    "OperatorView": "internal.feed",
    "PolicySettingsError": "errors",
    "RequestTiming": "internal.job_service",
    "StartOutcome": "internal.target_messages",
    "TargetHeartbeat": "internal.target_messages",
    "UnsupportedJobError": "errors",
    "load_policy": "policy_file",
    "run_agent": "internal.agent",
    "run_entry": "internal.entry",
}

__all__ = [*_MODULES]


def __getattr__(name: str) -> Any:
    """Import a public name from its module on first use."""
    if name in _MODULES:
        module = import_module(f"cicadabank.control.{_MODULES[name]}")
        return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
