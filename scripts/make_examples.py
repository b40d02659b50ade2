"""Writes the settings files of both example deployments to examples/."""

from __future__ import annotations

from pathlib import Path

from cicadabank.local import DeploymentSize, Ports, make_layout, write_layout

EXAMPLES_DIR = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = {
    "lakeshore": (
        DeploymentSize(("erie-shed", "huron-shed", "superior-shed"), "lakes", 3),
        23000,
    ),
    "arrieta": (
        DeploymentSize(("pamplona", "estella", "tafalla"), "navarra", 3),
        23200,
    ),
}


def main() -> None:
    """Write a settings file for each process of each deployment."""
    for name, (size, first_port) in DEPLOYMENTS.items():
        write_layout(make_layout(size, Ports(first_port)), EXAMPLES_DIR / name)


if __name__ == "__main__":
    main()
