"""Local addresses for tests of connections."""

from __future__ import annotations

import socket


def unused_address() -> str:
    """Return an ``IP:port`` at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"
