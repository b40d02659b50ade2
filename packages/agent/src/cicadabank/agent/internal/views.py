"""The configuration as far as a target needs it, and how old that sight is."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.wire import control_pb2


class View(NamedTuple):
    """The configuration as far as a target needs it.

    Attributes
    ----------
    seen_s : float
        When this was surely so, on the agent's own clock.
    """

    version: int = 0
    domain_out: bool = False
    seen_s: float = float("-inf")


def carried_view(order: control_pb2.Reserve, now_s: float) -> View:
    """Return the view that a reservation carries.

    How long the order was on its way isn't known here. But the holder sends the start
    only if it had the reply to the reservation within `reply_within_s` of sending it,
    so for this gang's start, and for no other, it was no longer on its way than that.
    """
    if not order.reply_within_s:
        return View()
    seen_s = now_s - order.reply_within_s - order.view_age_s
    return View(order.config_version, order.domain_out, seen_s)
