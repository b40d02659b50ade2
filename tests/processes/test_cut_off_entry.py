"""The holder of a cell alone loses its way to the table."""

from __future__ import annotations

from contextlib import ExitStack

import pytest
from cicadabank.local import Ports, Size, make_layout
from cicadabank.standin import proxy_running

from tests.support.deployments import DOMAINS, OVERRIDES, layout_running


@pytest.fixture
def cut_off(tmp_path):
    """Run a deployment in which each entry reaches the table through its own relay."""
    size = Size(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with ExitStack() as stack:
        relays = {}
        for name in ("entry-1", "entry-2"):
            relays[name] = stack.enter_context(proxy_running(layout.store))
            layout.settings[name]["table"] = relays[name].address
        bench = stack.enter_context(layout_running(layout, tmp_path, 4, 0))
        yield bench, relays


class TestCutOffEntry:
    def test_its_gang_goes_on_under_the_next_holder(self, cut_off):
        bench, relays = cut_off
        job = bench.submit(run_s=20.0, tasks=8, idempotent=False)
        bench.running(job)
        holder = bench.holder()
        relays[holder].refusing = True
        relays[holder].reset()
        with bench.other(holder) as other:
            bench.wait(
                lambda: other.call("GET", "/v1/status")["held_cells"], "the takeover"
            )
            late = other.submit({"workspace": "glaze", "payload": '{"run_s": 0.2}'})
            records = [bench.ended(name, other) for name in (job, late["job"])]
        assert [record["state"] for record in records] == ["done", "done"]
        assert records[0]["attempts"] == 1
        relays[holder].heal()  # or its stop waits for the table
