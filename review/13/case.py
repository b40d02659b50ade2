"""A job that its client has cancelled runs, since a late request hands it in again."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from standins import (
    CANCEL_S,
    Deployment,
    has_trouble,
    run_case,
    start_small,
    step,
    wait_for,
)

JOB = "c0ffee0000000013"
# Nobody cancels these: one job of four is cancelled.
OTHER_JOBS = [f"c0ffee00000013{number:02d}" for number in range(1, 4)]
WORK_S = 4.0
# Between the answer to the cancellation and the arrival of the repeated request.
LATE_S = 4.0
WATCH_S = 6.0


def play(deployment: Deployment) -> str:
    """Break the connection of a job's first request, and have its client cancel it."""
    first, second = start_small(deployment, entries=2, sides=3)
    proxy = deployment.start_proxy(first)
    steps = [step(1, 1, WORK_S)]
    for other in OTHER_JOBS:
        deployment.submit(other, WORK_S, steps, first)
    proxy.breaks = has_trouble()
    answer = deployment.call(
        "POST", JOB, first, {"spec": f'{{"work_s": {WORK_S}}}', "steps": steps}
    )
    if not has_trouble():
        wait_for(lambda: answer is not None and answer[0] == 200, 1.0, "the job is in")
    proxy.breaks = False
    status = deployment.cancel(JOB, second)
    cancelled_s = deployment.record.now_s()
    time.sleep(LATE_S)
    deployment.submit(JOB, WORK_S, steps, first)
    time.sleep(WATCH_S)
    deployment.state(JOB, second)
    late = [
        event
        for event in deployment.fleet.events
        if event.kind == "started"
        and event.job == JOB
        and event.at_s > cancelled_s + CANCEL_S
    ]
    if not late:
        return ""
    return (
        f"UNASKED: {late[0].task} started {late[0].at_s - cancelled_s:.1f} s after "
        f"the cancellation was acknowledged with {status}"
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
