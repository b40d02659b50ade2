"""After the crash of one minion, a job waits for another minion to be empty."""

import time

from stall import stands_still
from world import Deployment, has_trouble, main, wait_for

LONG = "00000000000000f0"
JOB = "00000000000000f1"
NEED = (2800, 8200, 1)
# `srv_crash`: a share of 0.14 for 4.5 s; here one of eight minions.
MINIONS = 8
DOWN_S = 4.5
LONG_S = 22.0  # a task of the sites' heaviest kind of request
WORK_S = 6.0


def case(folder):
    """Return whether the rule held; None if the case could not run."""
    deployment = Deployment(folder, entries=2, minions=MINIONS)
    try:
        if not deployment.start_all():
            return None
        time.sleep(2.0)
        spread = {"count": MINIONS, "antiAffinity": 1}
        if deployment.submit("edge-0", LONG, LONG_S, **spread) != 200:
            return None
        if not wait_for(lambda: len(deployment.running_tasks(LONG)) == MINIONS, 15.0):
            return None
        if deployment.submit("edge-0", JOB, WORK_S) != 200:
            return None
        traffic_end_s = time.monotonic()
        if not wait_for(lambda: deployment.running_tasks(JOB), 10.0):
            return None
        if has_trouble():
            time.sleep(0.5)
            minion = deployment.running_tasks(JOB)[0][0]
            minion.crash()
            time.sleep(DOWN_S)
            minion.boot()
        return not stands_still(deployment, JOB, NEED, traffic_end_s, "edge-1")
    finally:
        deployment.close()


main(case)
