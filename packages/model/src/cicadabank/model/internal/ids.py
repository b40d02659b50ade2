"""Identifiers of jobs, operations and incarnations."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable


def new_id(prefix: str) -> str:
    """Return an identifier that no other process will make, such as ``job-5f…``."""
    return f"{prefix}-{uuid.uuid4().hex[:20]}"


def seeded_ids(seed: int) -> Callable[[str], str]:
    """Return a replacement for `new_id` whose identifiers repeat for one seed."""
    source = random.Random(seed)

    def make(prefix: str) -> str:
        return f"{prefix}-{source.getrandbits(80):020x}"

    return make
