"""Errors of the agent."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class AgentError(CicadabankError):
    """Base class of the agent's errors."""

    code = "agent"


class OrderRefusedError(AgentError):
    """The agent refused an order; the order has started nothing."""

    code = "order-refused"
