"""Server of circuits.web on an already listening socket, without its banner."""

from __future__ import annotations

import socket

from circuits import handler
from circuits.core.pollers import Poll
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer


class HttpServer(BaseServer):
    """Serves HTTP on a given socket, without printing its address.

    Parameters
    ----------
    listener : socket.socket
        A non-blocking socket that already listens.
    """

    def __init__(self, listener: socket.socket):
        # BaseServer.__init__ opens its own socket, so it is skipped.
        super(BaseServer, self).__init__(channel=self.channel)
        # The default poller uses select(2), which takes no descriptor above 1,023.
        Poll().register(self)
        self.server = TCPServer(listener, channel=self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Replace the handler that prints the address."""
