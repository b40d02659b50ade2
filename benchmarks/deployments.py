"""Local deployments of separate processes for the benchmarks."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from cicadabank.client import Client
from cicadabank.local import DeploymentSize, Ports, deployment_running, make_layout


@contextmanager
def deployment(**size) -> Iterator:
    """Run a local deployment with one workspace; yield it and a client.

    The keyword arguments override the fields of ``DeploymentSize``.
    """
    parts = {"entries": 1, "workers": 0, "minions": 0, **size}
    layout = make_layout(DeploymentSize(("erie", "huron"), "lakes", **parts), Ports())
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment_running(layout, Path(folder)) as running,
    ):
        running.wait_ready(parts["workers"], parts["minions"])
        with Client(layout.http) as client:
            fields = {"name": "glaze", "quota_accelerators": 100_000}
            client.apply("workspace", fields)
            time.sleep(2.0)
            yield running, client
