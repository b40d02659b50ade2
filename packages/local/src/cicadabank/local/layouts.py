"""Settings of all processes of a deployment, and their addresses."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

WORKERS_PER_RACK = 3
# Candidates; `Ports` checks that one is free before it returns it.
FREE_PORTS = range(24_000, 32_000)


class Ports:
    """Allocates local addresses with distinct ports.

    The ports are consecutive from `first`, or free ones if it is 0. Free ports are
    taken from below the range of the system's ephemeral ports: otherwise an outgoing
    connection could take a port after it was found free and before the process listens
    on it.
    """

    def __init__(self, first: int = 0):
        self._next_port = first
        self._free_ports = _free_ports()

    def address(self) -> str:
        """Return ``IP:port`` with a port not returned before."""
        if self._next_port:
            self._next_port += 1
            return f"127.0.0.1:{self._next_port - 1}"
        return f"127.0.0.1:{next(self._free_ports)}"


def _free_ports() -> Iterator[int]:
    """Yield unused ports, each once, starting at a random one."""
    first = random.randrange(len(FREE_PORTS))
    for port in (*FREE_PORTS[first:], *FREE_PORTS[:first]):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


class DeploymentSize(NamedTuple):
    """Names, numbers of processes, and resources of each target of a deployment."""

    domains: tuple[str, ...]
    cell: str
    entries: int = 2
    workers: int = 10
    minions: int = 10
    accelerators: int = 8
    slots: int = 8


class DeploymentLayout(NamedTuple):
    """Settings by process name, and the addresses that clients need.

    Attributes
    ----------
    settings : dict
        In starting order.
    http : list of str
        URLs of the entries.
    store : str
        ``IP:port`` of the store.
    """

    settings: dict[str, dict[str, Any]]
    http: list[str]
    store: str


def make_layout(
    size: DeploymentSize, ports: Ports, entry_overrides: dict[str, Any] | None = None
) -> DeploymentLayout:
    """Return the settings of all processes of a deployment."""
    store = ports.address()
    grpc = [ports.address() for _ in range(size.entries)]
    http = [ports.address() for _ in range(size.entries)]
    settings = {
        "store": {"kind": "stand-in", "role": "store", "name": "store", "listen": store}
    }
    for index in range(size.entries):
        settings[f"entry-{index + 1}"] = {
            "kind": "entry",
            "name": f"entry-{index + 1}",
            "domain": size.domains[index % len(size.domains)],
            "http_listen": http[index],
            "grpc_listen": grpc[index],
            "table": store,
            "objects": store,
            "cells": [size.cell],
            **(entry_overrides or {}),
        }
    for target in _targets(size):
        _add_target(settings, size, target, ports, grpc, store)
    return DeploymentLayout(settings, [f"http://{address}" for address in http], store)


class _TargetPlacement(NamedTuple):
    role: str
    name: str
    domain: str
    rack: str


def _targets(size: DeploymentSize) -> Iterator[_TargetPlacement]:
    for role, count in (("worker", size.workers), ("minion", size.minions)):
        for index in range(count):
            rack_index = index // WORKERS_PER_RACK
            domain = size.domains[rack_index % len(size.domains)]
            yield _TargetPlacement(
                role, f"{role}-{index + 1}", domain, f"rack-{rack_index + 1}"
            )


def _add_target(
    settings: dict,
    size: DeploymentSize,
    target: _TargetPlacement,
    ports: Ports,
    grpc: list[str],
    store: str,
) -> None:
    address = ports.address()
    location = {"cell": size.cell, "domain": target.domain, "rack": target.rack}
    stand_in = {
        "kind": "stand-in",
        "role": target.role,
        "name": target.name,
        "listen": address,
        "accelerators": size.accelerators,
        "slots": size.slots,
    }
    settings[target.name] = stand_in
    is_worker = target.role == "worker"
    settings[f"agent-{target.name}"] = {
        "kind": "agent",
        "name": target.name,
        "target": target.role,
        "target_address": address,
        "listen": ports.address(),
        "entries": grpc,
        "objects": store,
        "accelerators": size.accelerators if is_worker else 0,
        "cores": 30,
        "memory_mb": 130_000,
        "slots": 0 if is_worker else size.slots,
        **location,
    }


def write_layout(layout: DeploymentLayout, folder: Path) -> list[Path]:
    """Write a settings file for each process; return the paths in starting order."""
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for name, settings in layout.settings.items():
        file = folder / f"{name}.json"
        file.write_text(json.dumps(settings, indent=2) + "\n")
        files.append(file)
    return files
