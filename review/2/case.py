"""More than 500 tasks of one minion end while the platform's store is down."""

import re
import time

from deployment import Deployment, EndsTogether, run

DOWN_S = 4.2
JOBS = [f"{0xE00 + number:016x}" for number in range(8)]
TASKS = 80
SPREAD_S = 3.5
END = re.compile(r"ended (\S+) run \d+ on (\S+) as end (\d+): done")
SEEN = re.compile(r"lastSeen on (\S+): (\d+)")
START = re.compile(r"started (\S+) run \d+ on \S+")


def main(d: Deployment) -> int:
    """Play the case; return the exit code."""
    work = EndsTogether(SPREAD_S)
    for number in range(2):
        d.add_worker(f"w{number}", f"z{number}", ["a", f"r{number}"], work)
        d.add_entry(f"entry-{number}", f"z{number}")
    if not d.wait_ready():
        return 2
    work.first_end_s = time.monotonic() + 15.0
    for job in JOBS:
        fields = {"count": TASKS, "cpu": 50, "estimateMs": 11000, "requires": "r0"}
        d.submit(job, spec=work.SPEC, **fields)
    minion = d.minions["w0"]
    while time.monotonic() < work.first_end_s - 0.2:
        time.sleep(0.01)
    d.record(f"{len(minion.running)} tasks are at work on w0")
    if len(minion.running) < len(JOBS) * TASKS:
        return 2
    if d.trouble:
        d.store.down = True
        d.record("the platform's store is down")
        time.sleep(DOWN_S)
        d.store.down = False
        d.record("the platform's store is back")
    states = [d.wait_state(job, ("completed", "failed"), 30) for job in JOBS]
    time.sleep(3.0)  # until the last ends are taken note of
    return verdict(d) if set(states) == {"completed"} else 2


def verdict(d: Deployment) -> int:
    """Look for starts after an end `done` that is taken note of then or later."""
    lines = [line for _, line in d.events]
    seen = {}
    for line in lines:
        if match := SEEN.fullmatch(line):
            seen[match[1]] = int(match[2])
    lapses = sum(line.startswith("the lease lapses") for line in lines)
    done, again = set(), []
    for line in lines:
        if match := END.fullmatch(line):
            if int(match[3]) <= seen.get(match[2], 0):
                done.add(match[1])
        elif (match := START.fullmatch(line)) and match[1] in done:
            again.append(line)
    for line in again[:20]:
        d.record(f"after an end `done` of the task that was taken note of: {line}")
    d.record(f"tasks with such an end: {len(done)}; lapses of a lease: {lapses}")
    d.record(f"starts after such an end: {len(again)}")
    if len(done) < len(JOBS) * TASKS:
        return 2
    return 1 if again else 0


run(__file__, main)
