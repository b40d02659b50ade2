"""Identifiers of jobs, operations and incarnations."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable


def new_id(prefix: str) -> str:
    """Return a globally unique identifier, such as ``job-5f…``."""
    return f"{prefix}-{uuid.uuid4().hex[:20]}"


def seeded_ids(seed: int) -> Callable[[str], str]:
    """Return a replacement for `new_id` whose identifiers depend only on `seed`."""
    rng = random.Random(seed)

    def next_id(prefix: str) -> str:
        return f"{prefix}-{rng.getrandbits(80):020x}"

    return next_id
