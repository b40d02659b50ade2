"""Starts, stops and signals the processes of a local deployment."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
from cicadabank.local.layouts import DeploymentLayout, write_layout

READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
COMMAND_BY_KIND = {
    "entry": ["entry"],
    "agent": ["agent"],
    "stand-in": ["stand-in", "run"],
}


class Deployment:
    """Separate processes, each started from its settings file.

    Parameters
    ----------
    layout : DeploymentLayout
    folder : Path
        Receives settings files and logs.
    """

    def __init__(self, layout: DeploymentLayout, folder: Path):
        self.layout = layout
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self._files = {file.stem: file for file in write_layout(layout, folder)}

    def start(self, name: str) -> None:
        """Start one process."""
        kind = self.layout.settings[name]["kind"]
        command = [
            sys.executable,
            "-m",
            "cicadabank.client.cli",
            *COMMAND_BY_KIND[kind],
        ]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, "--settings", str(self._files[name])],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def start_all(self) -> None:
        """Start every process."""
        for name in self.layout.settings:
            self.start(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for it to exit."""
        self.processes[name].kill()
        self.processes[name].wait(STOP_TIMEOUT_S)

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process; return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(STOP_TIMEOUT_S)

    def log(self, name: str) -> list[dict]:
        """Return the parsed JSON log lines of a process."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def stop_all(self) -> None:
        """Stop all started processes: targets, then each entry, then the store."""
        # A suspended process does not handle SIGTERM.
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for name in reversed(self.layout.settings):
            process = self.processes.get(name)
            if process is not None and process.poll() is None:
                process.terminate()
                if name.startswith("entry"):
                    _wait(process)
        for process in self.processes.values():
            _wait(process)

    def wait_ready(
        self, workers: int, minions: int, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the entries are ready and know the given number of targets.

        Raises
        ------
        TimeoutError
            If they do not within `timeout_s`.
        """
        wait_until(lambda: self._ready(workers, minions), timeout_s, "the deployment")

    def _ready(self, workers: int, minions: int) -> bool:
        try:
            return all(
                _entry_ready(address, workers, minions) for address in self.layout.http
            )
        except (httpx.TransportError, ValueError, KeyError):
            return False


def _entry_ready(address: str, workers: int, minions: int) -> bool:
    if httpx.get(f"{address}/readyz", timeout=2.0).status_code != 200:
        return False
    status = httpx.get(f"{address}/v1/status", timeout=2.0).json()
    targets = httpx.get(f"{address}/v1/targets", timeout=2.0).json()["targets"]
    known_minions = sum(target["kind"] == "minion" for target in targets)
    return status["known_workers"] >= workers and known_minions >= minions


def _wait(process: subprocess.Popen) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it doesn't hold within `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"{description}: condition not met within {timeout_s:g} s"
            )
        time.sleep(POLL_INTERVAL_S)


@contextmanager
def deployment_running(layout: DeploymentLayout, folder: Path) -> Iterator[Deployment]:
    """Run all processes of a layout until the block ends."""
    deployment = Deployment(layout, folder)
    try:
        deployment.start_all()
        yield deployment
    finally:
        deployment.stop_all()
