"""Agent process of a target, and its decision logic for use without a process."""

from cicadabank.agent.errors import AgentError, OrderRefusedError
from cicadabank.agent.internal.app import agent_running, run_agent
from cicadabank.agent.internal.core import AgentCore
from cicadabank.agent.internal.views import View

__all__ = [
    "AgentCore",
    "AgentError",
    "OrderRefusedError",
    "View",
    "agent_running",
    "run_agent",
]
