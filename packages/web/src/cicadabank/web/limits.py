"""Limits of an HTTP interface."""

from __future__ import annotations

from typing import NamedTuple


class Limits(NamedTuple):
    """Sizes, times and numbers of connections and requests that are allowed."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_time_s: float = 10.0
    connections: int = 1_000
    open_requests: int = 512
    answer_inline_bytes: int = 65_536
    request_deadline_s: float = 30.0
