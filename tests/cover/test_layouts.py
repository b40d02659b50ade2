"""Settings of whole deployments."""

from __future__ import annotations

import socket

from cicadabank.local import Ports, layouts

FIRST_OUTGOING_PORT = 32_768


class TestPorts:
    def test_counts_from_a_first_port(self):
        ports = Ports(20_000)
        assert [ports.address() for _ in range(2)] == [
            "127.0.0.1:20000",
            "127.0.0.1:20001",
        ]

    def test_free_ones_are_none_that_an_outgoing_connection_may_take(self):
        ports = Ports()
        handed_out = [int(ports.address().split(":")[1]) for _ in range(200)]
        assert len(set(handed_out)) == 200
        assert max(handed_out) < FIRST_OUTGOING_PORT

    def test_passes_over_one_that_is_taken(self, monkeypatch):
        ports = Ports()
        taken = int(ports.address().split(":")[1])
        monkeypatch.setattr(layouts, "FREE_PORTS", range(taken, taken + 3))
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", taken))
            addresses = [Ports().address() for _ in range(20)]
        assert f"127.0.0.1:{taken}" not in addresses
