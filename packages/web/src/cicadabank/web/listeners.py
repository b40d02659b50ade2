"""Listening sockets of HTTP interfaces.

The platform's processes open them before they import the rest: imports take most of the
start-up time, and clients that connect meanwhile wait in the socket's accept queue
instead of being refused.
"""

from __future__ import annotations

import signal
import socket

# Clients that connect during start-up; each takes a file descriptor once accepted.
MAX_PENDING_CONNECTIONS = 2_000


def hold_signals() -> None:
    """Hold back signals until the process handles them; called before it listens.

    One that arrived during start-up would end the process, and reset the connections of
    clients that wait. `StopSignal.on_signals` lets them through.
    """
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )


def listen(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on an address.

    Parameters
    ----------
    address : str
        ``IP:port``.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(MAX_PENDING_CONNECTIONS)
    return listener
