"""A write is done late; meanwhile the client cancels the job."""

import time

from deployment import Deployment, run, work_in_spec

LATE_S = 6.0
CANCEL_S = 3.0
JOB = "00000000000000d1"


def main(d: Deployment) -> int:
    """Play the case; return the exit code."""
    for number in range(2):
        d.add_worker(f"w{number}", f"z{number}", ["a", f"r{number}"], work_in_spec)
        d.add_entry(f"entry-{number}", f"z{number}")
    if not d.wait_ready():
        return 2
    d.store.late_s = LATE_S
    d.store.late_writes = d.trouble
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 5000}
    d.request("POST", JOB, "entry-0", {"spec": "5", "steps": [step]})
    d.store.late_writes = False
    status, _ = d.request("DELETE", JOB, "entry-1")
    acknowledged_s = d.now_s()
    time.sleep(12.0)
    d.state(JOB, quiet=False)
    starts = [at_s for at_s, line in d.events if line.startswith(f"started {JOB}")]
    late = [at_s for at_s in starts if at_s > acknowledged_s + CANCEL_S]
    d.record(f"cancelling acknowledged with {status} at {acknowledged_s:.3f}")
    d.record(f"starts later than {CANCEL_S} s after that: {late}")
    if status not in (200, 410):
        return 2
    return 1 if late else 0


run(__file__, main)
