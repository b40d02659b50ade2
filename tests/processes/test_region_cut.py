"""Two regions lose each other for longer than any lease; one of them has the table."""

from __future__ import annotations

import time
from contextlib import ExitStack
from typing import NamedTuple

import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import Ports, Size, make_layout
from cicadabank.standin import Proxy, proxy_running

from tests.support.deployments import (
    DOMAINS,
    OVERRIDES,
    TIMINGS,
    in_force,
    layout_running,
)

CUT_S = 2.0 * TIMINGS["lease_duration_s"]


class Regions(NamedTuple):
    """West, with erie and entry-1, and east, with huron, entry-2 and the table."""

    bench: object
    west: Client
    east: Client
    relays: list[Proxy]

    def cut(self):
        for relay in self.relays:
            relay.hold()

    def heal(self):
        for relay in self.relays:
            relay.release()


@pytest.fixture
def regions(tmp_path):
    """Run two cells, each listed by the entry of its own region only."""
    size = Size(DOMAINS, "west", 2, 6, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    entries = [layout.settings[f"entry-{number}"] for number in (1, 2)]
    with ExitStack() as stack:
        table = stack.enter_context(proxy_running(layout.store))
        between = [
            stack.enter_context(proxy_running(entry["grpc_listen"]))
            for entry in entries
        ]
        entries[0].update(table=table.address, objects=table.address)
        for entry, cell, relay in zip(entries, ("west", "east"), between, strict=True):
            entry.update(cells=[cell], advertise=relay.address)
        for settings in layout.settings.values():
            if settings["kind"] == "agent":
                here = 0 if settings["domain"] == DOMAINS[0] else 1
                settings["cell"] = ("west", "east")[here]
                settings["entries"] = [entries[here]["grpc_listen"]]
        bench = stack.enter_context(layout_running(layout, tmp_path, 6, 0))
        west = stack.enter_context(bench.entry(0))
        east = stack.enter_context(bench.entry(1))
        yield Regions(bench, west, east, [table, *between])


def submit(client, domain, tasks, run_s):
    spec = {"workspace": "glaze", "tasks": tasks, "domain": domain}
    payload = f'{{"run_s": {run_s}}}'
    return client.submit({**spec, "idempotent": False, "payload": payload})["job"]


class TestRegionCut:
    def test_both_sides_go_on_and_agree_afterwards(self, regions):
        bench, west, east = regions.bench, regions.west, regions.east
        gang = submit(west, "erie", tasks=12, run_s=CUT_S + 2.0)
        bench.running(gang, west)
        regions.cut()
        cut_s = time.monotonic()
        here = submit(east, "huron", tasks=12, run_s=0.5)
        assert bench.ended(here, east)["state"] == "done"
        waiting = submit(east, "erie", tasks=12, run_s=0.5)
        east.apply("workspace", {"name": "books", "quota_accelerators": 7})
        with pytest.raises(ApiError) as caught:
            submit(west, "erie", tasks=1, run_s=0.5)
        assert caught.value.ran in ("no", "unknown")
        time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
        regions.heal()
        records = [bench.ended(job, west) for job in (gang, waiting)]
        assert [record["state"] for record in records] == ["done", "done"]
        assert [record["attempts"] for record in records] == [1, 1]
        bench.wait(lambda: in_force(west, 3), "the configuration")
        books = west.call("GET", "/v1/resources/workspace/books")
        assert "7" in str(books)
