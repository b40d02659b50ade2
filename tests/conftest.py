"""Hypothesis profile and port ranges for all tests."""

import os

from cicadabank.local import layouts
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

# Each worker of pytest-xdist takes its ports from a range of its own. Otherwise, two
# workers could pick the same free port before either of them listens on it.
WORKER_INDEX = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
WORKER_COUNT = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
PORTS_PER_WORKER = len(layouts.FREE_PORTS) // WORKER_COUNT
layouts.FREE_PORTS = layouts.FREE_PORTS[
    WORKER_INDEX * PORTS_PER_WORKER : (WORKER_INDEX + 1) * PORTS_PER_WORKER
]
