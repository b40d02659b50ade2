"""A loopback TCP proxy that delays, drops, holds and resets traffic."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

CHUNK_BYTES = 65_536
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards bytes between callers and a target.

    After `silence`, the connections open at that time stay open and forward nothing in
    either direction; new ones work. Between `hold` and `release` all bytes are delayed,
    as if the process behind the proxy were paused.

    Attributes
    ----------
    drop_to, drop_from : bool
        Bytes towards the target, or from it, are dropped, as in a network partition;
        they are not delivered later.
    refusing : bool
        New connections are reset.
    delay_s : float
        Delay of each received chunk, in both directions.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._silenced: set[int] = set()
        self._released = threading.Event()
        self._released.set()
        self._connection_count = 0
        self._sockets: list[socket.socket] = []
        self.drop_to = self.drop_from = self.refusing = False
        self.delay_s = 0.0
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"

    def run(self) -> None:
        """Accept connections until the proxy is closed."""
        with suppress(OSError):
            while True:
                caller, _ = self._server.accept()
                self._connect(caller)

    def _connect(self, caller: socket.socket) -> None:
        if self.refusing:
            _reset(caller)
            return
        try:
            target = socket.create_connection(self._target)
        except OSError:
            _reset(caller)
            return
        self._connection_count += 1
        self._sockets += [caller, target]
        for source, sink, to_target in (
            (caller, target, True),
            (target, caller, False),
        ):
            arguments = (source, sink, to_target, self._connection_count)
            threading.Thread(target=self._forward, args=arguments, daemon=True).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        to_target: bool,
        connection: int,
    ) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._released.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                if self.drop_to if to_target else self.drop_from:
                    self._silenced.add(connection)  # the stream has a gap from here on
                if connection not in self._silenced:
                    sink.sendall(data)
            # A partition also hides the end of the connection from the other side.
            if connection not in self._silenced:
                sink.shutdown(socket.SHUT_WR)

    def silence(self) -> None:
        """Stop forwarding on all open connections, and keep them open."""
        self._silenced |= set(range(1, self._connection_count + 1))

    def reset(self) -> None:
        """Reset all open connections."""
        sockets, self._sockets = self._sockets, []
        for endpoint in sockets:
            _reset(endpoint)

    def hold(self) -> None:
        """Delay all bytes until `release`."""
        self._released.clear()

    def release(self) -> None:
        """Forward the bytes delayed by `hold`."""
        self._released.set()

    def heal(self) -> None:
        """End all faults; reset the open connections if any was ever silenced.

        Connections count as silenced after `silence`, and after bytes were dropped.
        """
        self.drop_to = self.drop_from = self.refusing = False
        self.delay_s = 0.0
        self.release()
        if self._silenced:
            self.reset()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.release()
        for endpoint in (self._server, *self._sockets):
            # Closing alone does not wake a thread that is blocked on the socket.
            with suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)
            endpoint.close()


def _reset(endpoint: socket.socket) -> None:
    with suppress(OSError):
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        endpoint.shutdown(socket.SHUT_RDWR)
    endpoint.close()


@contextmanager
def proxy_running(target: str) -> Iterator[Proxy]:
    """Run a proxy to a target until the block ends."""
    proxy = Proxy(target)
    threading.Thread(target=proxy.run, daemon=True).start()
    try:
        yield proxy
    finally:
        proxy.close()
