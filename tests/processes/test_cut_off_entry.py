"""The holder of a cell alone loses its way to the table."""

from __future__ import annotations

from contextlib import ExitStack

import pytest
from cicadabank.client import Client
from cicadabank.local import Ports, Size, deployment_running, make_layout

from tests.support.deployments import DOMAINS, OVERRIDES, Bench, in_force
from tests.support.relay import relay_running


@pytest.fixture
def cut_off(tmp_path):
    """Run a deployment in which each entry reaches the table through its own relay."""
    size = Size(DOMAINS, "lakes", 2, 4, 0, accelerators=4)
    layout = make_layout(size, Ports(), OVERRIDES)
    with ExitStack() as stack:
        relays = {}
        for name in ("entry-1", "entry-2"):
            relays[name] = stack.enter_context(relay_running(layout.store))
            layout.settings[name]["table"] = relays[name].address
        deployment = stack.enter_context(deployment_running(layout, tmp_path))
        deployment.wait_ready(4, 0)
        client = stack.enter_context(Client(layout.http, "test"))
        bench = Bench(deployment, client)
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 32})
        for address in layout.http:
            with Client([address]) as one:
                bench.wait(lambda one=one: in_force(one, 1), "the configuration")
        yield bench, relays


class TestCutOffEntry:
    def test_its_gang_goes_on_under_the_next_holder(self, cut_off):
        bench, relays = cut_off
        job = bench.submit(run_s=20.0, tasks=8, idempotent=False)
        bench.running(job)
        holder = bench.holder()
        relays[holder].close()
        with bench.other(holder) as other:
            bench.wait(
                lambda: other.call("GET", "/v1/status")["held_cells"], "the takeover"
            )
            late = other.submit({"workspace": "glaze", "payload": '{"run_s": 0.2}'})
            records = [bench.ended(name, other) for name in (job, late["job"])]
        assert [record["state"] for record in records] == ["done", "done"]
        assert records[0]["attempts"] == 1
