"""Tasks that crash their targets, and losses of power, beside sound jobs."""

from __future__ import annotations

import pytest

from tests.support.platform import SmallPlatform, platform_running, wait_for

DEADLY_JOB = "d" * 16
SOUND_JOBS = [f"{number:016x}" for number in range(1, 5)]
LATER_SOUND_JOBS = [f"{number:016x}" for number in range(5, 9)]
TASKS_PER_SOUND_JOB = 3
CRASHES_BEFORE_LIMIT = 3
STARTS_AFTER_LIMIT = 2
MAX_STARTS = CRASHES_BEFORE_LIMIT + STARTS_AFTER_LIMIT
POWER_LOSSES = 3
DOWN_S = 3.0
END_TIMEOUT_S = 90.0


@pytest.fixture
def platform(tmp_path):
    with platform_running(tmp_path, entries=2, targets=4) as running:
        yield running


def submit_sound(platform: SmallPlatform, jobs: list[str]) -> None:
    for job in jobs:
        wait_for(
            lambda job=job: platform.submit(job, 2.0, count=TASKS_PER_SOUND_JOB) == 200,
            END_TIMEOUT_S,
        )


def submit_deadly(platform: SmallPlatform, crashes_after_s: float) -> None:
    wait_for(
        lambda: platform.submit_deadly(DEADLY_JOB, crashes_after_s) == 200,
        END_TIMEOUT_S,
    )


def end_state(platform: SmallPlatform, job: str) -> str:
    """Wait until a job has ended, and return its state."""
    states = [""]

    def has_ended() -> bool:
        states.append(platform.state(job))
        return states[-1] in ("completed", "failed")

    wait_for(has_ended, END_TIMEOUT_S)
    return states[-1]


def check_sound(platform: SmallPlatform, jobs: list[str]) -> None:
    """Check that sound jobs complete, and that no task has run twice at once."""
    states = {job: end_state(platform, job) for job in jobs}
    assert states == dict.fromkeys(jobs, "completed")
    assert platform.overlapping_runs() == []


class TestDeadlyTasks:
    # Guards against a task that crashes target after target without an end.
    @pytest.mark.parametrize(
        ("crashes_after_s", "renamed"),
        [(0.3, True), (0.3, False), (0.0, True), (0.0, False)],
        ids=["new-id", "same-id", "no-reply-new-id", "no-reply-same-id"],
    )
    def test_a_deadly_task_is_given_up(self, platform, crashes_after_s, renamed):
        for target in platform.targets:
            target.down_s, target.renamed_by_crash = DOWN_S, renamed
        submit_sound(platform, SOUND_JOBS)
        submit_deadly(platform, crashes_after_s)
        wait_for(
            lambda: any(target.crash_count for target in platform.targets),
            END_TIMEOUT_S,
        )
        holder = platform.holder()
        platform.kill(holder)
        platform.start(holder)
        submit_sound(platform, LATER_SOUND_JOBS)

        def given_up_or_started_too_often() -> bool:
            if platform.start_count(DEADLY_JOB) > MAX_STARTS:
                return True
            return platform.state(DEADLY_JOB) == "failed"

        wait_for(given_up_or_started_too_often, END_TIMEOUT_S)
        assert platform.start_count(DEADLY_JOB) <= MAX_STARTS
        check_sound(platform, SOUND_JOBS + LATER_SOUND_JOBS)
        assert end_state(platform, DEADLY_JOB) == "failed"
        assert "crash" in platform.call("GET", f"/q/{DEADLY_JOB}").json()["reason"]
        assert platform.start_count(DEADLY_JOB) <= MAX_STARTS

    # Guards against sound jobs that fail, run twice or never end beside a deadly task,
    # also if an agent was away while its target crashed and returned.
    @pytest.mark.parametrize("renamed", [True, False], ids=["new-id", "same-id"])
    def test_sound_jobs_complete_when_an_agent_misses_a_crash(self, platform, renamed):
        for target in platform.targets:
            target.down_s, target.renamed_by_crash = float("inf"), renamed
        submit_sound(platform, SOUND_JOBS)
        submit_deadly(platform, 0.3)
        wait_for(
            lambda: any(target.is_down for target in platform.targets), END_TIMEOUT_S
        )
        for number, target in enumerate(platform.targets):
            if target.is_down:
                platform.kill(f"agent-{number}")
                platform.start(f"agent-{number}")
        for target in platform.targets:
            target.down_s = DOWN_S
            if target.is_down:
                target.restart()
        submit_sound(platform, LATER_SOUND_JOBS)
        check_sound(platform, SOUND_JOBS + LATER_SOUND_JOBS)


class TestPowerLoss:
    # Guards against a sound job that is taken for deadly because all power was lost
    # while it ran, more often than targets may crash under a deadly task.
    def test_a_sound_job_completes_after_losses_of_all_power(self, platform):
        job = SOUND_JOBS[0]
        wait_for(lambda: platform.submit(job, 6.0) == 200, END_TIMEOUT_S)
        lost_runs = 0
        while lost_runs < POWER_LOSSES:
            wait_for(
                lambda: any(target.active_runs for target in platform.targets),
                END_TIMEOUT_S,
            )
            platform.lose_power()
            lost_runs = [event.kind for event in platform.events].count("crashed")
        check_sound(platform, [job])
