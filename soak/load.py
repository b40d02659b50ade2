"""Simulated callers, an operator that changes the configuration, and a prober."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import httpx
from cicadabank.standin import TaskProfile

from soak.checker import MAX_ATTEMPTS, InvariantChecker, Job, Step
from soak.deployment import CAPACITY, DOMAINS, Deployment

HOST = "h.example"
KEY = "key-1"
DEADLINE_S = 3.0
SUBMIT_ATTEMPTS = 5
# If a connection ends this soon after a request was sent, the loss of the reply is no
# violation.
RESET_GRACE_S = 0.2
POLL_INTERVAL_S = 0.4
CHANGE_INTERVAL_S = (0.4, 3.0)
CANCEL_SHARE = 0.15
# Pause between the jobs of a caller that leaves, and its wait before it cancels one.
LEAVING_INTERVAL_S = (0.1, 0.6)
MAX_STAY_S = 0.6
# Share of the jobs that were cancelled before they were stored and are submitted again,
# and the longest time after which they are.
REPEAT_SHARE = 0.7
MAX_REPEAT_AFTER_S = 2.0
QUEUES = {"fast": (0, 1.5), "slow": (1, 3.0), "batch": (2, 3.0)}


def configuration(version: int, extra_route_count: int, keys: list[str]) -> dict:
    """Return a version of the configuration, with additional unused routes."""
    names = [*QUEUES, *(f"extra{n}" for n in range(extra_route_count))]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "priority": QUEUES.get(name, (2, 3.0))[0],
                "service": "cell",
                "attempts": MAX_ATTEMPTS,
                "stretch": QUEUES.get(name, (2, 3.0))[1],
                "targetLatencyMs": 1000,
            }
            for name in names
        ],
        "services": [{"name": "cell"}],
        "tenants": [{"name": "w", "apiKeys": keys, "guaranteed": {"gpu": 8}}],
    }


def draw_job(rng: random.Random, number: int, targets: int, longest_s: float) -> Job:
    """Draw a job of one to three steps at random."""
    name = f"{number:016x}"
    steps = []
    for step in range(rng.choice((1, 1, 2, 3))):
        gang = rng.random() < 0.3
        accelerators = rng.choice((1, 1, 2, 4, 8))
        count = rng.randint(2, min(4, targets)) if gang else rng.randint(1, 6)
        need = (rng.choice((500, 3_000, 13_000)), 1_000, accelerators)
        work_s = rng.uniform(0.2, longest_s)
        checkpointable = rng.random() < 0.4
        fails = rng.random() < 0.03
        document = {
            "count": count,
            "cpu": need[0],
            "memMb": need[1],
            "gpu": need[2],
            "estimateMs": int(work_s * rng.uniform(0.5, 2.0) * 1000),
            "after": [step - 1] if step else [],
            "gang": gang,
            "checkpointable": checkpointable,
        }
        profile = TaskProfile(
            f"{name}.0.{step}",
            work_s,
            need,
            count if gang else 1,
            checkpointable,
            work_s / 2 if fails else float("inf"),
        )
        steps.append(
            Step({field: value for field, value in document.items() if value}, profile)
        )
    return Job(name, f"spec-{number}", steps)


def draw_deadly_job(
    rng: random.Random, number: int, targets: int, longest_s: float
) -> Job:
    """Draw a job of one step whose tasks crash each target that starts them."""
    name = f"{number:016x}"
    gang = rng.random() < 0.3
    count = min(2, targets) if gang else rng.randint(1, 3)
    need = (500, 1_000, 1)
    document = {
        "count": count,
        "cpu": need[0],
        "memMb": need[1],
        "gpu": need[2],
        "estimateMs": int(longest_s * 1000),
    }
    if gang:
        document["gang"] = True
    profile = TaskProfile(
        f"{name}.0.0",
        longest_s,
        need,
        count if gang else 1,
        crashes_after_s=rng.choice((0.0, rng.uniform(0.05, longest_s / 2))),
    )
    return Job(name, f"spec-{number}", [Step(document, profile)])


def whole_fleet_job(targets: int) -> Job:
    """Return a job that needs all targets at once, each of them whole."""
    name, need = f"{0:016x}", (1_000, 1_000, CAPACITY[2])
    document = {
        "count": targets,
        "cpu": need[0],
        "memMb": need[1],
        "gpu": need[2],
        "estimateMs": 500,
        "gang": True,
    }
    profile = TaskProfile(f"{name}.0.0", 0.5, need, targets)
    return Job(name, "spec-0", [Step(document, profile)])


class Caller:
    """Submits one job after the other, over persistent connections.

    Parameters
    ----------
    draw : callable
        Draws a job; see `draw_job`.
    """

    def __init__(
        self,
        deployment: Deployment,
        checker: InvariantChecker,
        rng: random.Random,
        first_number: int,
        longest_s: float,
        draw: Callable[[random.Random, int, int, float], Job] = draw_job,
    ):
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._number = first_number
        self._longest_s = longest_s
        self._draw = draw
        self._client = httpx.Client(trust_env=False, timeout=DEADLINE_S)

    def run(self, stopping: threading.Event) -> None:
        """Submit jobs one by one, and poll each, until told to stop."""
        while not stopping.is_set():
            self._number += 1
            targets = len(self._deployment.domains)
            job = self._draw(self._rng, self._number, targets, self._longest_s)
            queue = self._rng.choice(sorted(QUEUES))
            self._checker.record_submission(job)
            self.submit(job, queue)
            if job.accepted_s is not None:
                self._poll(job, queue, stopping)

    def submit(self, job: Job, queue: str) -> None:
        """Submit a job, with retries; record whether it was accepted or refused."""
        body = job.body()
        deadline_s = time.monotonic() + DEADLINE_S
        unknown = False
        for _ in range(SUBMIT_ATTEMPTS):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            status = self.request_status(
                "POST", f"/{queue}/{job.job}", body, remaining_s
            )
            if status == 200:
                job.accepted_s = time.monotonic()
                return
            unknown = unknown or status not in (503, 429)
            time.sleep(min(1.0, max(0.0, deadline_s - time.monotonic())))
        job.refused = not unknown

    def request_status(
        self, method: str, path: str, body: dict | None, timeout_s: float
    ) -> int:
        """Send a request to an entry; return the status, or 0 if no reply came."""
        return self.request(method, path, body, timeout_s)[0]

    def request(
        self, method: str, path: str, body: dict | None, timeout_s: float
    ) -> tuple[int, str]:
        """Send a request to an entry; return the status and the job's state.

        Without a reply, they are 0 and an empty string.
        """
        entry = self._rng.choice(sorted(self._deployment.fronts))
        process = self._deployment.processes[entry]
        starts, sent_s = process.starts, time.monotonic()
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        url = f"http://{self._deployment.fronts[entry]}{path}"
        try:
            reply = self._client.request(
                method, url, json=body, headers=headers, timeout=timeout_s
            )
        except (httpx.ReadError, httpx.RemoteProtocolError) as error:
            waited_s = time.monotonic() - sent_s
            undisturbed = not process.disturbed and process.starts == starts
            if waited_s > RESET_GRACE_S and undisturbed:
                self._checker.report_violation(
                    "a planned stop drops no request", f"{url} {error!r}"
                )
            return 0, ""
        except httpx.HTTPError:
            return 0, ""
        state = reply.json().get("state", "") if reply.status_code == 200 else ""
        return reply.status_code, state

    def _poll(self, job: Job, queue: str, stopping: threading.Event) -> None:
        path = f"/{queue}/{job.job}"
        will_cancel = self._rng.random() < CANCEL_SHARE
        while not stopping.is_set():
            status, state = self.request("GET", path, None, DEADLINE_S)
            self._checker.on_state_shown(job, status, state)
            if state in ("completed", "failed", "cancelled"):
                return
            if will_cancel and job.cancelled_s is None:
                if self.request_status("DELETE", path, None, DEADLINE_S) in (200, 410):
                    job.cancelled_s = time.monotonic()
            stopping.wait(POLL_INTERVAL_S)
            if self._rng.random() < 0.1:
                return  # its state is queried again after the faults have ended

    def refresh(self, job: Job) -> None:
        """Query a job's state in each queue until one knows it."""
        for queue in sorted(QUEUES):
            status, state = self.request("GET", f"/{queue}/{job.job}", None, DEADLINE_S)
            if status == 200:
                self._checker.on_state_shown(job, status, state)
                return


class LeavingCaller(Caller):
    """Submits jobs and cancels each at an entry without waiting for the response.

    It closes the connection of the submission before or after the cancellation. Copies
    of submissions may arrive again after the cancellation was acknowledged.
    """

    def run(self, stopping: threading.Event) -> None:
        """Submit and cancel jobs one by one until told to stop."""
        while not stopping.wait(self._rng.uniform(*LEAVING_INTERVAL_S)):
            self._number += 1
            targets = len(self._deployment.domains)
            job = self._draw(self._rng, self._number, targets, self._longest_s)
            path = f"/{self._rng.choice(sorted(QUEUES))}/{job.job}"
            self._checker.record_submission(job)
            with suppress(OSError), self._sent(job, path) as connection:
                stopping.wait(self._rng.uniform(0.0, MAX_STAY_S))
                if self._rng.random() < 0.5:
                    connection.close()
                self._cancel(job, path)
            if job.is_void and self._rng.random() < REPEAT_SHARE:
                stopping.wait(self._rng.uniform(0.0, MAX_REPEAT_AFTER_S))
                status, state = self.request("POST", path, job.body(), DEADLINE_S)
                self._checker.on_repeated(job, status, state)

    def _sent(self, job: Job, path: str) -> socket.socket:
        """Send a submission on a connection of its own; return the connection."""
        content = json.dumps(job.body())
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        entry = self._rng.choice(sorted(self._deployment.fronts))
        host, _, port = self._deployment.fronts[entry].rpartition(":")
        connection = socket.create_connection((host, int(port)), DEADLINE_S)
        connection.sendall((head + content).encode())
        return connection

    def _cancel(self, job: Job, path: str) -> None:
        for _ in range(SUBMIT_ATTEMPTS):
            status = self.request_status("DELETE", path, None, DEADLINE_S)
            if status in (200, 410):
                job.cancelled_s = time.monotonic()
                job.is_void = status == 410
                return


class Operator:
    """Changes the configuration and evacuates failure domains repeatedly."""

    def __init__(
        self, deployment: Deployment, checker: InvariantChecker, rng: random.Random
    ):
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self.version = 1
        self.extra_route_count = 0

    def change(self) -> None:
        """Write a new version of the configuration, with one more route."""
        self.version += self._rng.randint(1, 3)
        self.extra_route_count += 1
        document = configuration(self.version, self.extra_route_count, [KEY])
        self._deployment.store.put("op", "config", document)

    def run(self, stopping: threading.Event) -> None:
        """Make changes until told to stop; end the current evacuation then."""
        while not stopping.wait(self._rng.uniform(*CHANGE_INTERVAL_S)):
            if self._rng.random() < 0.8:
                self.change()
            else:
                self._evacuate(stopping)

    def _evacuate(self, stopping: threading.Event) -> None:
        domain = self._rng.choice(DOMAINS)
        self._deployment.store.put("op", f"evacuate/{domain}", {})
        self._checker.drain_started_s[domain] = time.monotonic()
        stopping.wait(self._rng.uniform(1.0, 8.0))
        del self._checker.drain_started_s[domain]
        self._deployment.store.remove("op", f"evacuate/{domain}")


class Prober:
    """Checks that no entry loses a route that it has already served."""

    def __init__(
        self, deployment: Deployment, checker: InvariantChecker, operator: Operator
    ):
        self._deployment = deployment
        self._checker = checker
        self._operator = operator
        self._newest_routes: dict[tuple[str, int], int] = {}
        self._client = httpx.Client(trust_env=False, timeout=1.0)

    def run(self, stopping: threading.Event) -> None:
        """Probe all entries until told to stop."""
        while not stopping.wait(0.3):
            for entry, front in self._deployment.fronts.items():
                self._probe(entry, front)

    def _probe(self, entry: str, front: str) -> None:
        process = self._deployment.processes[entry]
        incarnation = (entry, process.starts)
        newest = self._newest_routes.get(incarnation, 0)
        for route in (newest, self._operator.extra_route_count):
            if not route:
                continue
            found = self._has_route(front, route)
            if found:
                self._newest_routes[incarnation] = max(
                    self._newest_routes.get(incarnation, 0), route
                )
            elif (
                found is False and route <= newest and process.starts == incarnation[1]
            ):
                self._checker.report_violation(
                    "an entry never returns to an older configuration",
                    f"{entry} route {route}",
                )

    def _has_route(self, front: str, route: int) -> bool | None:
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        url = f"http://{front}/extra{route - 1}/"  # routes are counted from 1
        try:
            reply = self._client.get(url, headers=headers)
        except httpx.HTTPError:
            return None
        return {200: True, 404: False}.get(reply.status_code)


@contextmanager
def load_running(
    deployment: Deployment,
    checker: InvariantChecker,
    rng: random.Random,
    callers: int,
    deadly: int,
    leaving: int,
    longest_s: float,
) -> Iterator[Caller]:
    """Run callers, an operator and a prober until the block ends; yield a caller.

    The work of a run takes at most `longest_s`. The jobs of `deadly` further callers
    crash their targets, and `leaving` more cancel theirs before they are accepted.
    """
    stopping = threading.Event()
    operator = Operator(deployment, checker, random.Random(rng.random()))
    clients = [operator, Prober(deployment, checker, operator)]
    clients += [
        Caller(
            deployment, checker, random.Random(rng.random()), (n + 1) << 32, longest_s
        )
        for n in range(callers)
    ]
    clients += [
        Caller(
            deployment,
            checker,
            random.Random(rng.random()),
            (callers + n + 1) << 32,
            longest_s,
            draw_deadly_job,
        )
        for n in range(deadly)
    ]
    clients += [
        LeavingCaller(
            deployment,
            checker,
            random.Random(rng.random()),
            (callers + deadly + n + 1) << 32,
            longest_s,
        )
        for n in range(leaving)
    ]
    threads = [
        threading.Thread(target=client.run, args=(stopping,)) for client in clients
    ]
    for thread in threads:
        thread.start()
    try:
        yield Caller(deployment, checker, random.Random(rng.random()), 0, longest_s)
    finally:
        stopping.set()
        for thread in threads:
            thread.join()
