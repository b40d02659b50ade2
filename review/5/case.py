"""The one minion with a label is cut off while the cell's holder is killed."""

import time

from deployment import Deployment, run, work_in_spec

CUT_S, DARK_S = 12.0, 3.5
JOB = "00000000000000c1"


def main(d: Deployment) -> int:
    """Play the case; return the exit code."""
    for number, kind in enumerate(("a", "a", "b")):
        labels = [kind, f"r{number}"]
        d.add_worker(f"w{number}", f"z{number}", labels, work_in_spec, proxied=True)
    for number in range(3):
        d.add_entry(f"entry-{number}", f"z{number}", proxied=True)
    if not d.wait_ready():
        return 2
    holder = d.holder()
    cut_s = time.monotonic()
    if d.trouble:
        d.cut_worker("w2")
        time.sleep(0.5)
        d.kill(holder)
    d.submit(JOB, spec="2", requires="b", estimateMs=2000)
    if d.trouble:
        time.sleep(DARK_S)
        d.start(holder)
        time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
        d.heal()
    state = d.wait_state(JOB, ("completed", "failed"), 40.0)
    d.request("GET", JOB)
    starts = sum(line.startswith(f"started {JOB}") for _, line in d.events)
    d.record(f"at last the job is {state}; starts of its task: {starts}")
    if state == "completed":
        return 0
    return 1 if state == "failed" and not starts else 2


run(__file__, main)
