"""The only minion with a label is cut off while the cell's holder is killed."""

import time
from pathlib import Path

from deployment import Deployment

CUT_S = 12.0
JOB = "00000000000000c1"


def work_s(_: str, spec: str) -> float:
    return float(spec)


def main() -> int:
    d = deployment
    for number, kind in enumerate(("a", "a", "b")):
        labels = [kind, f"r{number}"]
        d.add_worker(f"w{number}", f"z{number}", labels, work_s, proxied=True)
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
        time.sleep(max(0.0, cut_s + 3.5 - time.monotonic()))
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


deployment = Deployment(Path(__file__).parent)
try:
    code = main()
except BaseException as error:
    deployment.record(f"could not run: {error!r}")
    code = 2
deployment.end(code)
