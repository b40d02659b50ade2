"""The part of the rule LOST on jobs that stand still after the end of the traffic."""

import time

FINISH_S = 14.0  # `finish_s`
STALL_S = 3.0
WATCH_S = 8.0
CORES, ACCELERATORS = 32_000, 8
MEMORY_MB = 131_072


def stands_still(deployment, job, need, traffic_end_s, entry) -> bool:
    """Return whether a job stands still for 3 s, `finish_s` after the traffic's end.

    It has nothing running, a task's turn has come, there is capacity for it twice over,
    and under half of the service's capacity is in use.

    Parameters
    ----------
    need : tuple of int
        Thousandths of a core, megabytes and accelerators of one task of the job.
    traffic_end_s : float
        Monotonic time of the last submission.
    """
    record = deployment.record
    time.sleep(max(0.0, traffic_end_s + FINISH_S - time.monotonic()))
    record.line(f"{FINISH_S} s after the end of the traffic: the jobs are asked for")
    state = deployment.call(entry, "GET", job)[1].get("state", "")
    since_s = None
    end_s = time.monotonic() + WATCH_S
    while time.monotonic() < end_s and state not in ("completed", "cancelled"):
        idle = not deployment.running_tasks(job)
        if idle and _has_room_twice(deployment, need) and _is_under_half(deployment):
            since_s = since_s or time.monotonic()
            if time.monotonic() - since_s >= STALL_S:
                record.line(f"for {STALL_S} s, {job} has nothing running")
                _log_use(deployment)
                return True
        else:
            since_s = None
        time.sleep(0.05)
        if int(time.monotonic() * 20) % 20 == 0:
            state = deployment.call(entry, "GET", job)[1].get("state", "")
    record.line(f"{job} is {state}, or does not stand still")
    return False


def _live(deployment):
    return [m for m in deployment.minions if m.is_up and m.draining_ms is None]


def _free(deployment, minion):
    used = [
        deployment.needs[run.task.split(".")[0]]
        for run in list(minion.running.values())
    ]
    total = (CORES, MEMORY_MB, ACCELERATORS)
    return [total[k] - sum(u[k] for u in used) for k in range(3)]


def _has_room_twice(deployment, need) -> bool:
    fits = 0
    for minion in _live(deployment):
        free = _free(deployment, minion)
        fits += min(free[k] // need[k] for k in range(3) if need[k])
    return fits >= 2


def _is_under_half(deployment) -> bool:
    live = _live(deployment)
    total = (CORES, MEMORY_MB, ACCELERATORS)
    return all(
        sum(total[k] - _free(deployment, m)[k] for m in live)
        < 0.5 * total[k] * len(live)
        for k in range(3)
    )


def _log_use(deployment) -> None:
    for minion in _live(deployment):
        cpu, memory_mb, gpu = _free(deployment, minion)
        deployment.record.line(
            f"{minion.machine}: free are {cpu} of {CORES} cpu, {memory_mb} of "
            f"{MEMORY_MB} memMb, {gpu} of {ACCELERATORS} gpu"
        )
