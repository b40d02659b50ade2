"""What a server knows of the time at which a request has arrived."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from cicadabank.local import Ports
from cicadabank.tasks import clock_s, running
from cicadabank.web.limits import Limits
from cicadabank.web.listeners import listen
from cicadabank.web.messages import ApiCall, ApiReply
from cicadabank.web.server import HttpActor

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
BUSY_S = 0.6
# An idle loop looks at its sockets every half second; the bound is two looks old.
MAX_IDLE_S = 2.0


class Server:
    """A server that keeps the calls that it has received, by their paths."""

    def __init__(self) -> None:
        self.address = Ports().address()
        self.calls: dict[str, ApiCall] = {}
        self.actor = HttpActor(listen(self.address), self._dispatch, Limits())

    def _dispatch(self, call: ApiCall) -> ApiReply:
        self.calls[call.path] = call
        return ApiReply(200, b"{}")

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=5.0)

    def arrived_after_s(self, number: int) -> float:
        return self.calls[f"/{number}"].arrived_after_s


@contextmanager
def server_running() -> Iterator[Server]:
    server = Server()
    with running(server.actor):
        yield server
    server.actor.close_pools()


def receive(client: socket.socket, responses: int = 1) -> None:
    received = b""
    while received.count(b"{}") < responses:
        received += client.recv(4096)


def exchange(client: socket.socket, number: int) -> None:
    client.sendall(REQUEST % number)
    receive(client)


# Guards against a submission that is taken for a later one than a cancellation that
# was answered while the submission waited at a frozen or busy entry.
class TestRequestsThatWaitForABusyLoop:
    @pytest.fixture
    def server(self) -> Iterator[Server]:
        with server_running() as server:
            time.sleep(0.1)
            yield server

    @pytest.mark.parametrize("clients", [1, 12])
    def test_on_new_connections(self, server, clients):
        server.actor.post(time.sleep, BUSY_S)
        time.sleep(0.1)
        connections = [server.connect() for _ in range(clients)]
        for number, client in enumerate(connections):
            client.sendall(REQUEST % number)
        sent_s = clock_s()
        for client in connections:
            receive(client)
            client.close()
        assert clock_s() - sent_s > BUSY_S / 2
        for number in range(clients):
            assert server.arrived_after_s(number) < sent_s

    def test_on_open_connections(self, server):
        connections = [server.connect() for _ in range(12)]
        for number, client in enumerate(connections):
            exchange(client, number)
        server.actor.post(time.sleep, BUSY_S)
        time.sleep(0.1)
        for number, client in enumerate(connections, 100):
            client.sendall(REQUEST % number)
        sent_s = clock_s()
        for number, client in enumerate(connections, 100):
            receive(client)
            client.close()
            assert server.arrived_after_s(number) < sent_s

    def test_behind_another_request(self, server):
        with server.connect() as client:
            server.actor.post(time.sleep, BUSY_S)
            time.sleep(0.1)
            client.sendall(REQUEST % 0 + REQUEST % 1)
            sent_s = clock_s()
            receive(client, 2)
        assert server.arrived_after_s(1) < sent_s

    def test_before_the_server_has_started(self):
        server = Server()
        with server.connect() as client:
            client.sendall(REQUEST % 0)
            sent_s = clock_s()
            with running(server.actor):
                receive(client)
            server.actor.close_pools()
        assert server.arrived_after_s(0) < sent_s


class TestRequestsAtAnIdleServer:
    # Guards against clients that are refused although they come long after.
    def test_the_time_is_known_closely(self):
        with server_running() as server, server.connect() as client:
            for number in range(2):
                time.sleep(MAX_IDLE_S + 0.3)
                sent_s = clock_s()
                exchange(client, number)
                after_s = server.arrived_after_s(number)
                assert sent_s - MAX_IDLE_S < after_s < clock_s()
            time.sleep(MAX_IDLE_S + 0.3)
            sent_s = clock_s()
            with server.connect() as other:
                exchange(other, 9)
            assert sent_s - MAX_IDLE_S < server.arrived_after_s(9) < clock_s()
