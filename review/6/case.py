"""A job runs although its cancelling was answered with 410, "no such job"."""

import socket
import time

from world import HOST, KEY, PREFIX, Deployment, has_trouble, main

JOB = "0000000000000061"
WORK_S = 20.0
# `platform_down`, how "nodes": one of three machines gets no answer from the store.
SILENT_S = 4.5
LEAVES_S = 0.3  # the client leaves before its deadline of 3 s
CANCEL_S = 3.0  # `cancel_ms`
STOP_S = 0.2  # `stopMs`
CONTACT_S = 3.0  # `contactMs`
WATCH_S = 14.0


def _submit_and_leave(deployment: Deployment, entry: str) -> None:
    """Send a whole job, and close the connection after a while."""
    body = (
        f'{{"spec":"{WORK_S}","steps":[{{"count":1,"cpu":2800,"memMb":8200,"gpu":1,'
        f'"estimateMs":{int(WORK_S * 1000)}}}]}}'
    )
    head = (
        f"POST {PREFIX}{JOB} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "X-Deadline-Ms: 3000\r\n\r\n"
    )
    host, _, port = deployment.fronts[entry].rpartition(":")
    with socket.create_connection((host, int(port)), 3.0) as client:
        client.sendall((head + body).encode())
        deployment.record.line(f"client: POST {PREFIX}{JOB} sent to {entry}")
        client.settimeout(LEAVES_S)
        try:
            answer = client.recv(4096).split(b"\r\n")[0].decode()
        except TimeoutError:
            answer = "no answer"
        deployment.record.line(f"client: {answer}; it leaves")


def case(folder):
    """Return whether the rule held; None if the case could not run."""
    deployment = Deployment(folder, entries=3, minions=3)
    record = deployment.record
    try:
        if not deployment.start_all():
            return None
        time.sleep(4.0)
        holder = deployment.store.holder()
        first, second = (name for name in deployment.fronts if name != holder)
        silent_s = time.monotonic()
        if has_trouble():
            record.line(f"the store gives {first} no answer")
            deployment.store.silent_for.add(first)
        _submit_and_leave(deployment, first)
        status = deployment.call(second, "DELETE", JOB)[0]
        acknowledged_s = time.monotonic()
        if status // 100 != 2 and status != 410:
            return None
        time.sleep(max(0.0, silent_s + SILENT_S - time.monotonic()))
        if has_trouble():
            record.line(f"the store answers {first} again")
            deployment.store.silent_for.clear()
        time.sleep(max(0.0, acknowledged_s + WATCH_S - time.monotonic()))
        held = True
        for minion in deployment.minions:
            for at_s, task, run, _ in minion.starts:
                after_s = at_s - acknowledged_s
                record.line(
                    f"{task} run {run} started {after_s:.2f} s after the {status}"
                )
                held = held and after_s <= CANCEL_S
        # The store answers again since over `contactMs` + `cancel_ms` + `stopMs`.
        for minion, run in deployment.running_tasks(JOB):
            record.line(
                f"{minion.machine}: {run.task} runs {WATCH_S:.0f} s after the {status}"
            )
            held = False
        deployment.call(second, "GET", JOB)
        print("cancelled with", status, "and", "gone" if held else "it runs")
        return held
    finally:
        deployment.close()


main(case)
