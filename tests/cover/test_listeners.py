"""Sockets that listen before the server is imported."""

import socket

from cicadabank.local import Ports
from cicadabank.tasks import running
from cicadabank.web.limits import Limits
from cicadabank.web.listeners import listen
from cicadabank.web.messages import ApiReply
from cicadabank.web.server import HttpActor

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class TestListen:
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
