"""The agent's view of the configuration."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.wire import control_pb2


class View(NamedTuple):
    """Snapshot of the part of the configuration that a target needs.

    Attributes
    ----------
    version : int
        Version of the configuration.
    domain_out : bool
        Whether the target's failure domain is out of service.
    confirmed_s : float
        Latest time at which the snapshot is known to have been current, on the agent's
        own clock.
    """

    version: int = 0
    domain_out: bool = False
    confirmed_s: float = float("-inf")


def view_from_reservation(order: control_pb2.Reserve, now_s: float) -> View:
    """Return the view contained in a reservation.

    The agent can't measure how long the order was in transit. But the holder sends the
    start only if it received the reply to the reservation within `reply_within_s` of
    sending it, which bounds the time in transit. The bound holds for the start of this
    gang only.
    """
    if not order.reply_within_s:
        return View()
    confirmed_s = now_s - order.reply_within_s - order.view_age_s
    return View(order.config_version, order.domain_out, confirmed_s)
