"""Limits of an HTTP interface."""

from __future__ import annotations

from typing import NamedTuple


class Limits(NamedTuple):
    """Sizes, times and numbers of connections and requests that are allowed.

    Attributes
    ----------
    header_bytes : int
        Largest size of a request's header section.
    body_bytes : int
        Largest size of a request's body.
    header_time_s : float
        Time within which a request must be received completely, with its body.
    connections : int
        Largest number of open connections.
    open_requests : int
        Largest number of requests that are handled at a time, without watches.
    answer_inline_bytes : int
        Size above which an answer is stored in the object service.
    request_deadline_s : float
        Longest deadline that a request to a minion may have.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_time_s: float = 10.0
    connections: int = 1_000
    open_requests: int = 512
    answer_inline_bytes: int = 65_536
    request_deadline_s: float = 30.0
