"""A TCP relay whose connections can go silent, as if lost by a middle box."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress


class Relay:
    """Passes bytes between callers and a target.

    After `silence`, the connections that are open pass nothing on in either
    direction and stay open; new ones work. Between `hold` and `release` all bytes
    wait, as if the process behind them were paused.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._silenced: set[int] = set()
        self._open = threading.Event()
        self._open.set()
        self._count = 0
        self._sockets: list[socket.socket] = []
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"

    def run(self):
        with suppress(OSError):
            while True:
                caller, _ = self._server.accept()
                self._connect(caller)

    def _connect(self, caller):
        try:
            target = socket.create_connection(self._target)
        except OSError:
            caller.close()
            return
        self._count += 1
        self._sockets += [caller, target]
        for ends in ((caller, target), (target, caller)):
            arguments = (*ends, self._count)
            threading.Thread(target=self._pass_on, args=arguments, daemon=True).start()

    def _pass_on(self, source, sink, number):
        with suppress(OSError):
            while data := source.recv(65536):
                self._open.wait()
                if number not in self._silenced:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def silence(self):
        self._silenced = set(range(1, self._count + 1))

    def hold(self):
        self._open.clear()

    def release(self):
        self._open.set()

    def close(self):
        self.release()
        for end in (self._server, *self._sockets):
            # Only a shutdown ends what another thread waits for.
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


@contextmanager
def relay_running(target) -> Iterator[Relay]:
    """Run a relay to a target until the block ends."""
    relay = Relay(target)
    threading.Thread(target=relay.run, daemon=True).start()
    try:
        yield relay
    finally:
        relay.close()
