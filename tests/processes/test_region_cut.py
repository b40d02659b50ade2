"""Network partition of two regions, longer than any lease; one has the table."""

from __future__ import annotations

import time
from contextlib import ExitStack
from typing import NamedTuple

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import DeploymentSize, Ports, make_layout
from cicadabank.standin import Proxy, proxy_running

from tests.support.deployments import (
    DOMAINS,
    OVERRIDES,
    TIMINGS,
    has_config_version,
    layout_running,
)

PARTITION_S = 2.0 * TIMINGS["lease_duration_s"]


class Regions(NamedTuple):
    """Region west has erie and entry-1; east has huron, entry-2 and the table."""

    harness: object
    west: Client
    east: Client
    proxies: list[Proxy]

    def partition(self):
        for proxy in self.proxies:
            proxy.hold()

    def heal(self):
        for proxy in self.proxies:
            proxy.release()


@pytest.fixture
def regions(tmp_path):
    """Run two cells; only the entry of a cell's own region lists the cell."""
    size = DeploymentSize(DOMAINS, "west", 2, 6, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    entries = [layout.settings[f"entry-{number}"] for number in (1, 2)]
    with ExitStack() as stack:
        table = stack.enter_context(proxy_running(layout.store))
        entry_proxies = [
            stack.enter_context(proxy_running(entry["grpc_listen"]))
            for entry in entries
        ]
        entries[0].update(table=table.address, objects=table.address)
        for entry, cell, proxy in zip(
            entries, ("west", "east"), entry_proxies, strict=True
        ):
            entry.update(cells=[cell], advertise=proxy.address)
        for settings in layout.settings.values():
            if settings["kind"] == "agent":
                region = 0 if settings["domain"] == DOMAINS[0] else 1
                settings["cell"] = ("west", "east")[region]
                settings["entries"] = [entries[region]["grpc_listen"]]
        harness = stack.enter_context(layout_running(layout, tmp_path, 6, 0))
        west = stack.enter_context(harness.entry_client(0))
        east = stack.enter_context(harness.entry_client(1))
        yield Regions(harness, west, east, [table, *entry_proxies])


def submit(client, domain, tasks, run_s):
    spec = {"workspace": "glaze", "tasks": tasks, "domain": domain}
    payload = f'{{"run_s": {run_s}}}'
    return client.submit({**spec, "idempotent": False, "payload": payload})["job"]


class TestRegionPartition:
    def test_both_regions_continue_and_converge_after_the_partition(self, regions):
        harness, west, east = regions.harness, regions.west, regions.east
        west_gang = submit(west, "erie", tasks=12, run_s=PARTITION_S + 2.0)
        harness.wait_running(west_gang, west)
        regions.partition()
        partitioned_s = time.monotonic()
        east_gang = submit(east, "huron", tasks=12, run_s=0.5)
        assert harness.wait_ended(east_gang, east)["state"] == "done"
        pending_job = submit(east, "erie", tasks=12, run_s=0.5)
        east.apply("workspace", {"name": "books", "quota_accelerators": 7})
        with pytest.raises(ApiError) as caught:
            submit(west, "erie", tasks=1, run_s=0.5)
        assert caught.value.ran in ("no", "unknown")
        time.sleep(max(0.0, partitioned_s + PARTITION_S - time.monotonic()))
        regions.heal()
        records = [harness.wait_ended(job, west) for job in (west_gang, pending_job)]
        assert [record["state"] for record in records] == ["done", "done"]
        assert [record["attempts"] for record in records] == [1, 1]
        harness.wait_until(lambda: has_config_version(west, 3), "the configuration")
        books = west.call("GET", "/v1/resources/workspace/books")
        assert "7" in str(books)
