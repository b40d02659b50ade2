"""Tasks on circuits' event loops, their clocks, logs and metrics."""

from cicadabank.tasks.internal.loop import Task, running
from cicadabank.tasks.internal.observe import FLUSH_S, Metrics, configure_logs
from cicadabank.tasks.internal.stop import StopSignal
from cicadabank.tasks.internal.time import clock_s, unix_s

__all__ = [
    "FLUSH_S",
    "Metrics",
    "StopSignal",
    "Task",
    "clock_s",
    "configure_logs",
    "running",
    "unix_s",
]
