"""Running entries and agents beside odd entries: jobs go on, and nobody stops."""

from __future__ import annotations

import json
import time
import tomllib

import httpx
import pytest
from cicadabank.scheduling import AgentRow, pack

from tests.support.platform import SmallPlatform, platform_running, wait_for

NESTED = b"[" * 3_000 + b"]" * 3_000
HEARTBEAT = {
    "service": "cell",
    "address": "10.0.0.9:8080",
    "zone": "d0",
    "state": "ready",
    "capacity": {"cpu": 32_000, "memMb": 1_000, "gpu": 8},
    "labels": ["a", "r1"],
    "seq": 4,
    "born": 10**18,
}
FIRST_JOB, SECOND_JOB = "a" * 16, "b" * 16


def completed(platform: SmallPlatform, job: str) -> bool:
    return platform.state(job) == "completed"


def lines(platform: SmallPlatform) -> list[dict]:
    """Return the lines that the processes have logged."""
    texts = [path.read_text() for path in platform.folder.glob("*.log")]
    # The last line may be incomplete.
    return [json.loads(line) for text in texts for line in text.split("\n")[:-1]]


def events(platform: SmallPlatform) -> list[str]:
    """Return the events and messages that the processes have logged."""
    return [line.get("event") or line["message"] for line in lines(platform)]


@pytest.fixture
def platform(tmp_path):
    with platform_running(tmp_path, entries=2, targets=1) as platform:
        platform.submit(FIRST_JOB, 0.1)
        wait_for(lambda: completed(platform, FIRST_JOB))
        yield platform


def check_job_runs(platform: SmallPlatform) -> None:
    """Check that a job still runs, and that no thread or process has failed."""
    assert platform.submit(SECOND_JOB, 0.1) == 200
    wait_for(lambda: completed(platform, SECOND_JOB), 15.0)
    assert all(process.poll() is None for process in platform.processes.values())
    logged = events(platform)
    assert not [line for line in logged if "unexpected error" in line]
    assert "target_lost" not in logged


class TestOddHeartbeats:
    # Guards against a target that counts as lost because its agent follows an entry
    # of another writer.
    def test_a_target_stays_in_use(self, platform):
        settings = tomllib.loads((platform.folder / "agent-0.toml").read_text())
        url = f"http://{settings['listen']['control']}/api/instances/i-odd"
        bodies = [NESTED]
        for change in (
            {"seq": 2**70},
            {"capacity": {"cpu": 2**70, "memMb": 1, "gpu": 1}},
            {"address": "10.0.0.9:99999"},
            {"address": 5},
        ):
            bodies.append(json.dumps({**HEARTBEAT, **change}).encode())
        for body in bodies:
            reply = httpx.put(url, content=body, timeout=3.0, trust_env=False)
            assert reply.status_code == 400
        check_job_runs(platform)
        assert events(platform).count("beat_unreadable") == len(bodies)


class TestOddRows:
    # Guards against a feed that stops, and a cell that only an odd row names.
    def test_the_other_rows_hold(self, platform):
        table = platform.store.tables["cells"]
        address = "10.0.0.1:99999"
        table.commit("cell", {}, {"agent/" + address: pack(AgentRow(address))})
        table.commit("cell", {}, {"agent/x": NESTED, "minion-1": NESTED})
        table.commit("minions", {}, {"i-1": b"\xc1"})
        platform.store.put("op", "config", 5)
        wait_for(lambda: events(platform).count("row_unreadable") >= 2 * 5, 10.0)
        check_job_runs(platform)
        time.sleep(0.5)  # entries look for free cells ten times a second
        logged = events(platform)
        assert logged.count("row_unreadable") == 2 * 5
        assert "order_failed" not in logged
        takeovers = [e for e in lines(platform) if e.get("event") == "cell_takeover"]
        assert {takeover["cell"] for takeover in takeovers} == {"cell"}

    # Guards against an evacuation that takes no effect beside an odd configuration.
    def test_an_evacuation_takes_effect(self, platform):
        platform.store.put("op", "config", 5)
        platform.store.put("op", "evacuate/d0", {})

        def entries_know() -> bool:
            views = [line.get("domains_out") for line in lines(platform)]
            return views.count(["d0"]) == 2

        wait_for(entries_know, 10.0)
        assert platform.submit(SECOND_JOB, 0.1) == 200
        time.sleep(1.0)
        assert platform.state(SECOND_JOB) == "pending"
        platform.store.remove("op", "evacuate/d0")
        wait_for(lambda: completed(platform, SECOND_JOB), 15.0)
