"""A loopback TCP proxy that delays, cuts, silences and resets connections."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

CHUNK_BYTES = 65_536
# Closing with this option resets the connection.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Passes bytes between callers and a target.

    After `silence`, the connections that are open pass nothing on in either direction
    and stay open; new ones work. Between `hold` and `release` all bytes wait, as if the
    process behind them were paused.

    Attributes
    ----------
    cut_to, cut_from : bool
        Bytes towards the target, or from it, are dropped, as in a partition; what was
        dropped doesn't come later.
    refusing : bool
        New connections are reset.
    delay_s : float
        Added to each piece of data, each way.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._silenced: set[int] = set()
        self._open = threading.Event()
        self._open.set()
        self._count = 0
        self._sockets: list[socket.socket] = []
        self.cut_to = self.cut_from = self.refusing = False
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
        self._count += 1
        self._sockets += [caller, target]
        for source, sink, towards in ((caller, target, True), (target, caller, False)):
            arguments = (source, sink, towards, self._count)
            threading.Thread(target=self._pass_on, args=arguments, daemon=True).start()

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, towards: bool, number: int
    ) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._open.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                if self.cut_to if towards else self.cut_from:
                    self._silenced.add(number)  # a stream with a gap is of no use
                if number not in self._silenced:
                    sink.sendall(data)
            # An end that a partition hides isn't seen by the other side.
            if number not in self._silenced:
                sink.shutdown(socket.SHUT_WR)

    def silence(self) -> None:
        """Have all open connections pass nothing on any more."""
        self._silenced |= set(range(1, self._count + 1))

    def reset(self) -> None:
        """Reset all open connections."""
        sockets, self._sockets = self._sockets, []
        for end in sockets:
            _reset(end)

    def hold(self) -> None:
        """Have all bytes wait."""
        self._open.clear()

    def release(self) -> None:
        """Pass on what has waited."""
        self._open.set()

    def heal(self) -> None:
        """End all faults; connections that passed nothing on are reset."""
        self.cut_to = self.cut_from = self.refusing = False
        self.delay_s = 0.0
        self.release()
        if self._silenced:
            self.reset()

    def close(self) -> None:
        """End all connections."""
        self.release()
        for end in (self._server, *self._sockets):
            # Only a shutdown ends what another thread waits for.
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


def _reset(end: socket.socket) -> None:
    with suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        end.shutdown(socket.SHUT_RDWR)
    end.close()


@contextmanager
def proxy_running(target: str) -> Iterator[Proxy]:
    """Run a proxy to a target until the block ends."""
    proxy = Proxy(target)
    threading.Thread(target=proxy.run, daemon=True).start()
    try:
        yield proxy
    finally:
        proxy.close()
