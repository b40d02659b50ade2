"""Sockets that listen before the server is imported."""

import os
import resource
import socket
from contextlib import ExitStack

import pytest
from cicadabank.local import Ports
from cicadabank.tasks import running
from cicadabank.web.limits import Limits
from cicadabank.web.listeners import listen
from cicadabank.web.messages import ApiReply
from cicadabank.web.server import HttpActor

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


# Above the largest descriptor that select(2) takes.
MANY_FILES = 1_100


@pytest.fixture
def many_open_files():
    """Hold so many files open that new sockets get descriptors above 1,023."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = MANY_FILES + 400
    if 0 <= limits[1] < needed:
        pytest.fail(f"the hard limit of open files is {limits[1]}, under {needed}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(limits[0], needed), limits[1]))
    with ExitStack() as stack:
        for _ in range(MANY_FILES):
            stack.callback(os.close, os.open(os.devnull, os.O_RDONLY))
        yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class TestListen:
    # Guards against a server that stops once its process has 1,024 open files.
    def test_clients_are_answered_while_many_files_are_open(self, many_open_files):
        address = Ports().address()
        host, _, port = address.rpartition(":")
        actor = HttpActor(listen(address), lambda call: ApiReply(200, b"{}"), Limits())
        with running(actor):
            for _ in range(3):
                with socket.create_connection((host, int(port)), timeout=5.0) as client:
                    assert client.fileno() > 1_023
                    client.sendall(REQUEST)
                    assert client.recv(4096).startswith(b"HTTP/1.1 200")
        actor.close_pools()

    def test_client_that_connected_before_the_server_started_is_answered(self):
        address = Ports().address()
        host, _, port = address.rpartition(":")
        listener = listen(address)
        with socket.create_connection((host, int(port)), timeout=5.0) as client:
            client.sendall(REQUEST)
            actor = HttpActor(listener, lambda call: ApiReply(200, b"{}"), Limits())
            with running(actor):
                response = client.recv(4096)
            actor.close_pools()
        assert response.startswith(b"HTTP/1.1 200")

    def test_address_can_be_reused_after_the_server_has_stopped(self):
        address = Ports().address()
        actor = HttpActor(listen(address), lambda call: ApiReply(200, b"{}"), Limits())
        with running(actor):
            pass
        listen(address).close()
