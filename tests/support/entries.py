"""Entries with a table, targets and agents, all run in the test's own process."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from cicadabank.agent import agent_running
from cicadabank.entry import entry_running
from cicadabank.local import DeploymentSize, Ports, make_layout, wait_until
from cicadabank.model import from_builtins
from cicadabank.settings import AgentSettings, EntrySettings, StandInSettings
from cicadabank.standin import stand_in_running

from tests.support.deployments import OVERRIDES

SETTINGS_TYPE_AND_CONTEXT_BY_KIND = {
    "agent": (AgentSettings, agent_running),
    "entry": (EntrySettings, entry_running),
    "stand-in": (StandInSettings, stand_in_running),
}


class LocalDeployment:
    """The layout of a deployment, and its running parts by process name."""

    def __init__(self, layout, parts):
        self.layout = layout
        self.parts = parts
        self.http_address = layout.http[0].removeprefix("http://")


@contextmanager
def local_deployment_running(
    workers=2, minions=1, limits=None, entries=1
) -> Iterator[LocalDeployment]:
    """Run entries with targets and agents; yield once workers are known."""
    size = DeploymentSize(("erie", "huron"), "lakes", entries, workers, minions)
    overrides = {**OVERRIDES, **({"limits": limits} if limits else {})}
    layout = make_layout(size, Ports(), overrides)
    with ExitStack() as stack:
        parts = {}
        for name, settings in layout.settings.items():
            settings_type, run = SETTINGS_TYPE_AND_CONTEXT_BY_KIND[settings["kind"]]
            parts[name] = stack.enter_context(
                run(from_builtins(settings, settings_type))
            )
        entry = parts["entry-1"]
        wait_until(entry.ready, 20.0, "the entry")
        if workers:
            wait_until(
                lambda: entry.status()["known_workers"] == workers, 20.0, "workers"
            )
        time.sleep(0.1)
        yield LocalDeployment(layout, parts)
