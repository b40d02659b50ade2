"""Settings shared by all tests."""

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

# Each of pytest-xdist's workers takes its ports from a part of its own: two could
# otherwise find the same port free before either listens on it.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
SHARE = len(layouts.FREE_PORTS) // WORKERS
layouts.FREE_PORTS = layouts.FREE_PORTS[WORKER * SHARE : (WORKER + 1) * SHARE]
