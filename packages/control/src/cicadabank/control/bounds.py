"""Ranges of values that other processes write; a value outside names nothing to use."""

from __future__ import annotations

import ipaddress

from cicadabank.scheduling import Resources

# Of one target or one task; the internal messages carry up to 2 ** 32 - 1 of each.
MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_ACCELERATORS = 10_000


def is_address(text: str) -> bool:
    """Return whether a text is ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return digits and 0 < int(port) < 65_536


def check_resources(resources: Resources) -> None:
    """Check amounts that a target has or a task needs.

    Raises
    ------
    ValueError
        If an amount is negative or too large.
    """
    limits = Resources(MAX_CPU_MILLICORES, MAX_MEMORY_MB, MAX_ACCELERATORS)
    for amount, limit, field in zip(resources, limits, limits._fields, strict=True):
        if not 0 <= amount <= limit:
            raise ValueError(f"{field} is {amount}; expected 0 to {limit}")
