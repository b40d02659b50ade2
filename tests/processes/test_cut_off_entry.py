"""The holder of a cell, and no other entry, loses its connection to the table."""

from __future__ import annotations

from contextlib import ExitStack

import pytest
from cicadabank.local import DeploymentSize, Ports, make_layout
from cicadabank.standin import proxy_running

from tests.support.deployments import DOMAINS, OVERRIDES, layout_running


@pytest.fixture
def entries_behind_proxies(tmp_path):
    """Run a deployment in which each entry reaches the table through its own proxy."""
    size = DeploymentSize(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with ExitStack() as stack:
        proxies = {}
        for name in ("entry-1", "entry-2"):
            proxies[name] = stack.enter_context(proxy_running(layout.store))
            layout.settings[name]["table"] = proxies[name].address
        harness = stack.enter_context(layout_running(layout, tmp_path, 4, 0))
        yield harness, proxies


class TestDisconnectedHolder:
    def test_gang_continues_under_the_next_holder(self, entries_behind_proxies):
        harness, proxies = entries_behind_proxies
        job = harness.submit(run_s=20.0, tasks=8, idempotent=False)
        harness.wait_running(job)
        holder = harness.holder()
        proxies[holder].refusing = True
        proxies[holder].reset()
        with harness.other_entry_client(holder) as other:
            harness.wait_until(
                lambda: other.call("GET", "/v1/status")["held_cells"], "the takeover"
            )
            new_job = other.submit({"workspace": "glaze", "payload": '{"run_s": 0.2}'})
            records = [
                harness.wait_ended(name, other) for name in (job, new_job["job"])
            ]
        assert [record["state"] for record in records] == ["done", "done"]
        assert records[0]["attempts"] == 1
        proxies[holder].heal()  # otherwise its shutdown waits for the table
