"""Actors on circuits event loops, with their clocks, logs and metrics."""

from cicadabank.tasks.internal.clocks import clock_s, unix_s
from cicadabank.tasks.internal.loop import ASK_TIMEOUT_S, Actor, running
from cicadabank.tasks.internal.observability import (
    FLUSH_TIMEOUT_S,
    Metrics,
    configure_logs,
)
from cicadabank.tasks.internal.stop import StopSignal

__all__ = [
    "ASK_TIMEOUT_S",
    "FLUSH_TIMEOUT_S",
    "Actor",
    "Metrics",
    "StopSignal",
    "clock_s",
    "configure_logs",
    "running",
    "unix_s",
]
