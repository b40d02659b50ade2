"""circuits.web's server on a socket that listens already, without its banner."""

from __future__ import annotations

import socket

from circuits import handler
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer


class QuietServer(BaseServer):
    """Serves HTTP and prints nothing.

    Parameters
    ----------
    listener : socket.socket
        Listens already; not blocking.
    """

    def __init__(self, listener: socket.socket):
        # The base class opens a socket of its own, so its initializer is passed over.
        super(BaseServer, self).__init__(channel=self.channel)
        self.server = TCPServer(listener, channel=self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Replace the handler that prints the address."""
