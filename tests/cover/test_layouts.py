"""Settings and ports of local deployments."""

from __future__ import annotations

import socket

from cicadabank.local import Ports, layouts

FIRST_EPHEMERAL_PORT = 32_768


class TestPorts:
    def test_ports_are_consecutive_from_the_first(self):
        ports = Ports(20_000)
        assert [ports.address() for _ in range(2)] == [
            "127.0.0.1:20000",
            "127.0.0.1:20001",
        ]

    def test_free_ports_are_below_the_ephemeral_range(self):
        ports = Ports()
        allocated = [int(ports.address().split(":")[1]) for _ in range(200)]
        assert len(set(allocated)) == 200
        assert max(allocated) < FIRST_EPHEMERAL_PORT

    def test_skips_port_in_use(self, monkeypatch):
        ports = Ports()
        used_port = int(ports.address().split(":")[1])
        # Other programs may take some of these ports meanwhile, but not all of them.
        monkeypatch.setattr(layouts, "FREE_PORTS", range(used_port, used_port + 100))
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", used_port))
            allocated = list(layouts._free_ports())
        assert allocated
        assert used_port not in allocated
