"""circuits.web's server without its banner, which is no JSON line."""

from __future__ import annotations

from circuits import handler
from circuits.web.servers import BaseServer


class QuietServer(BaseServer):
    """Serves HTTP and prints nothing."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Replace the handler that prints the address."""
