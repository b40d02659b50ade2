"""Statistics and JSON output shared by the benchmarks."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

import numpy as np


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Return the count, the median and the 99th percentile of the values."""
    if not values:
        return {"count": 0, "p50": 0.0, "p99": 0.0}
    p50, p99 = np.percentile(np.asarray(values), [50, 99])
    return {
        "count": len(values),
        "p50": round(float(p50), 4),
        "p99": round(float(p99), 4),
    }


def print_results(name: str, seed: int, results: Any) -> None:
    """Print the results of a benchmark, with its name and seed, as JSON."""
    json.dump(
        {"benchmark": name, "seed": seed, "results": results}, sys.stdout, indent=1
    )
    print()
