"""Sockets that listen before the rest of a process is imported.

Imports take most of a start. Callers that connect meanwhile wait in the queue of the
socket instead of being turned away.
"""

from __future__ import annotations

import socket

# Callers that connect while the process starts; each holds a descriptor once accepted.
BACKLOG = 2_000


def listen(address: str) -> socket.socket:
    """Return a socket that listens on an address.

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
    listener.listen(BACKLOG)
    return listener
