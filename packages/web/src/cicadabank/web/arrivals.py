"""When the bytes of a request may have arrived at the earliest.

A process that was frozen, or whose event loop was busy, reads bytes that have waited in
the kernel. Another client's change may have taken effect between their arrival and the
moment at which they are read.
"""

from __future__ import annotations

import select
import socket

from cicadabank.tasks import clock_s
from circuits import Event
from circuits.core.pollers import Poll
from circuits.core.values import Value
from circuits.net.events import connect, read
from circuits.net.sockets import TCPServer

NEVER_S = float("-inf")


class ArrivalPoll(Poll):
    """Poller that knows since when a socket may have had something to read."""

    def __init__(self) -> None:
        super().__init__()
        self._began_s = self._previous_began_s = NEVER_S
        # By file descriptor: sockets that the latest poll, and the one before, have
        # found readable, with the time after which they became so.
        self._readable: dict[int, float] = {}
        self._previous_readable: dict[int, float] = {}

    def readable_after_s(self, sock: socket.socket) -> float:
        """Return a time after which what can be read from a socket has arrived.

        It was not there when the last poll that didn't find the socket readable began.
        """
        return self._readable.get(sock.fileno(), self._previous_began_s)

    def watch_new(self, sock: socket.socket, listener: socket.socket) -> None:
        """Note that a new connection may have been readable as soon as it was made."""
        self._readable[sock.fileno()] = self.readable_after_s(listener)

    def _generate_events(self, event) -> None:
        self._previous_began_s, self._began_s = self._began_s, clock_s()
        self._previous_readable, self._readable = self._readable, {}
        super()._generate_events(event)

    def _process(self, fileno: int, event: int) -> None:
        if event & select.POLLIN:
            self._readable[fileno] = self._previous_readable.get(
                fileno, self._previous_began_s
            )
        super()._process(fileno, event)


class ArrivalServer(TCPServer):
    """TCP server whose ``read`` events tell when their bytes may have arrived.

    Their attribute `arrived_after_s` is a time after which they have.
    """

    def fire(self, event: Event, *channels: str) -> Value:
        """Fire an event; called right after a connection was accepted or read."""
        if isinstance(event, connect):
            self._poller.watch_new(event.args[0], self._sock)
        elif isinstance(event, read):
            event.arrived_after_s = self._poller.readable_after_s(event.args[0])
        return super().fire(event, *channels)
