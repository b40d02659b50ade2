"""Health and readiness endpoints over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from cicadabank.model import encode
from cicadabank.web.http_server import HttpServer
from cicadabank.web.listeners import listen
from circuits.web import Controller
from circuits.web.dispatchers import Dispatcher


class HealthController(Controller):
    """Serves ``/healthz`` and ``/readyz``."""

    def __init__(self, ready: Callable[[], bool]):
        super().__init__()
        self._ready = ready

    def healthz(self, *_args, **_kwargs):
        """Respond that the event loop is running."""
        return encode({"healthy": True}).decode()

    def readyz(self, *_args, **_kwargs):
        """Respond whether the process is ready, with status 503 if it is not."""
        ready = self._ready()
        if not ready:
            self.response.status = 503
        return encode({"ready": ready}).decode()


def health_server(address: str, ready: Callable[[], bool]) -> HttpServer:
    """Return a server for the health endpoints, to be registered with an actor."""
    server = HttpServer(listen(address))
    Dispatcher(channel=server.channel).register(server)
    HealthController(ready).register(server)
    return server
