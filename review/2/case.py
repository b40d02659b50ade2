"""More than 500 tasks of one minion end while the platform's store is down."""

import random
import time
from collections import Counter
from pathlib import Path

from deployment import Deployment

DOWN_S = 6.9
JOBS, TASKS = 8, 80


def work_s(task: str, spec: str) -> float:
    return random.Random(task).uniform(*map(float, spec.split("-")))


def main() -> int:
    d = deployment
    for number in range(2):
        d.add_worker(f"w{number}", f"z{number}", ["a", f"r{number}"], work_s)
    d.add_entry("entry-0", "z0")
    d.add_entry("entry-1", "z1")
    ready = [d.submit(f"{n:016x}", spec="0.05-0.1", requires=f"r{n}") for n in (0, 1)]
    if ready != [200, 200] or d.wait_state(f"{1:016x}", ("completed",), 20) == "":
        return 2
    jobs = [f"{0xE00 + n:016x}" for n in range(JOBS)]
    for job in jobs:
        d.submit(
            job, spec="9-13", count=TASKS, cpu=50, estimateMs=11000, requires="r0"
        )
    end_s = time.monotonic() + 15
    while len(d.minions["w0"].running) < JOBS * TASKS and time.monotonic() < end_s:
        time.sleep(0.1)
    d.record(f"{len(d.minions['w0'].running)} tasks are at work")
    while not d.minions["w0"].ended and time.monotonic() < end_s + 15:
        time.sleep(0.01)
    if d.trouble:
        d.store.down = True
        d.record("the platform's store is down")
        time.sleep(DOWN_S)
        d.store.down = False
        d.record("the platform's store is back")
    for job in jobs:
        d.wait_state(job, ("completed", "failed"), 30)
    return verdict(d)


def verdict(d: Deployment) -> int:
    done, again = Counter(), []
    for at_s, line in d.events:
        words = line.split()
        if words[0] == "ended" and words[-1] == "done":
            done[words[1]] += 1
        if words[0] == "started" and done[words[1]]:
            again.append((at_s, line))
    d.record(f"ends `done`: {sum(done.values())}")
    for at_s, line in again[:20]:
        d.record(f"at {at_s:.3f}, after an end `done` of the task: {line}")
    d.record(f"starts after an end `done`: {len(again)}")
    if len(done) < JOBS * TASKS + 2:
        return 2
    return 1 if again else 0


deployment = Deployment(Path(__file__).parent)
try:
    code = main()
except BaseException as error:
    deployment.record(f"could not run: {error!r}")
    code = 2
deployment.end(code)
