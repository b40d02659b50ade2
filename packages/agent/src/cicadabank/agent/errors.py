"""Errors of the agent."""

from __future__ import annotations

from cicadabank.model import CicadabankError


class AgentError(CicadabankError):
    """Base of the agent's faults."""

    code = "agent"


class OrderRefusedError(AgentError):
    """An order may not be carried out; nothing was started by it."""

    code = "order-refused"
