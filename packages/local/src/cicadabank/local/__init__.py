"""Local deployments: separate processes on one machine, for trials and tests only."""

from cicadabank.local.layouts import (
    DeploymentLayout,
    DeploymentSize,
    Ports,
    make_layout,
    write_layout,
)
from cicadabank.local.processes import Deployment, deployment_running, wait_until

__all__ = [
    "Deployment",
    "DeploymentLayout",
    "DeploymentSize",
    "Ports",
    "deployment_running",
    "make_layout",
    "wait_until",
    "write_layout",
]
