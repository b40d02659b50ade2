"""A start carried out late by the next incarnation, while its agent is down."""

from __future__ import annotations

import json
import time

import pytest
from cicadabank.platform import standin

from tests.support.platform import SmallPlatform, platform_running, wait_for

JOB = "a" * 16
# Later than a silent agent's lease ends, earlier than the longest delay of calls.
DELAY_S = 10.0
DOWN_S = 12.0
# The lease of the start ends on the clock of an incarnation that has run for this long,
# so that the next one, whose clock starts anew, lets the run finish.
LEAST_CLOCK_S = 6.0
WORK_S = 2.0


@pytest.fixture
def platform(tmp_path, monkeypatch):
    monkeypatch.setattr(standin, "LATE_MESSAGE_DELAY_S", (DELAY_S, DELAY_S))
    with platform_running(tmp_path, entries=1, targets=2) as running:
        yield running


def events(platform: SmallPlatform, name: str) -> list[dict]:
    """Return the events of a name that the entry has logged."""
    lines = (platform.folder / "entry-0.log").read_text().splitlines()
    return [json.loads(line) for line in lines if f'"event": "{name}"' in line]


def placed_on(platform: SmallPlatform) -> str:
    """Wait until a unit has been placed, and return its target."""
    wait_for(lambda: bool(events(platform, "unit_placed")))
    return events(platform, "unit_placed")[0]["targets"][0]


class TestAgentThatIsDown:
    # Guards against two runs of a task, and against one after its end: the run that
    # the next incarnation starts isn't known before its agent reports.
    def test_the_task_runs_once(self, platform):
        wait_for(lambda: len(events(platform, "target_found")) == 2)
        wait_for(lambda: min(t.clock_s() for t in platform.targets) > LEAST_CLOCK_S)
        for target in platform.targets:
            target.late_call_share = 1.0
        assert platform.submit(JOB, WORK_S) == 200
        name = placed_on(platform)
        time.sleep(1.0)  # the start is called, and gets no reply
        number = int(name.removeprefix("t"))
        platform.kill(f"agent-{number}")
        for target in platform.targets:
            target.heal()
        platform.targets[number].restart()
        time.sleep(DOWN_S)
        platform.start(f"agent-{number}")
        wait_for(lambda: platform.state(JOB) == "completed", 60.0)
        found = [(e.kind, e.target, e.incarnation, e.run) for e in platform.events]
        assert found == [("started", name, 2, 1), ("done", name, 2, 1)]
