"""Callers that hand jobs in, ask for them and cancel some; an operator; a prober."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import httpx
from cicadabank.standin import TaskFacts

from soak.book import ATTEMPTS, Book, Job, Step
from soak.deployment import DOMAINS, Deployment

HOST = "h.example"
KEY = "key-1"
DEADLINE_S = 3.0
TRIES = 5
# An answer may be lost with a connection that ends this soon after its request.
LOSS_SLACK_S = 0.2
POLL_S = 0.4
CHANGE_PAUSE_S = (0.4, 3.0)
CANCEL_SHARE = 0.15
QUEUES = {"fast": (0, 1.5), "slow": (1, 3.0), "batch": (2, 3.0)}


def configuration(version: int, routes: int, keys: list[str]) -> dict:
    """Return a version of the configuration, with some routes that nobody uses."""
    names = [*QUEUES, *(f"extra{n}" for n in range(routes))]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "priority": QUEUES.get(name, (2, 3.0))[0],
                "service": "cell",
                "attempts": ATTEMPTS,
                "stretch": QUEUES.get(name, (2, 3.0))[1],
                "targetLatencyMs": 1000,
            }
            for name in names
        ],
        "services": [{"name": "cell"}],
        "tenants": [{"name": "w", "apiKeys": keys, "guaranteed": {"gpu": 8}}],
    }


def draw_job(rng: random.Random, number: int, targets: int) -> Job:
    """Draw a job of one to three steps."""
    name = f"{number:016x}"
    steps = []
    for step in range(rng.choice((1, 1, 2, 3))):
        gang = rng.random() < 0.3
        accelerators = rng.choice((1, 1, 2, 4, 8))
        count = rng.randint(2, min(4, targets)) if gang else rng.randint(1, 6)
        need = (rng.choice((500, 3_000, 13_000)), 1_000, accelerators)
        work_s = rng.uniform(0.2, 4.0)
        saves = rng.random() < 0.4
        fails = rng.random() < 0.03
        document = {
            "count": count,
            "cpu": need[0],
            "memMb": need[1],
            "gpu": need[2],
            "estimateMs": int(work_s * rng.uniform(0.5, 2.0) * 1000),
            "after": [step - 1] if step else [],
            "gang": gang,
            "checkpointable": saves,
        }
        facts = TaskFacts(
            f"{name}.0.{step}",
            work_s,
            need,
            count if gang else 1,
            saves,
            work_s / 2 if fails else float("inf"),
        )
        steps.append(Step({k: v for k, v in document.items() if v}, facts))
    return Job(name, f"spec-{number}", steps)


class Caller:
    """Hands one job after the other in, on connections that it keeps."""

    def __init__(self, made: Deployment, book: Book, rng: random.Random, first: int):
        self._made = made
        self._book = book
        self._rng = rng
        self._number = first
        self._client = httpx.Client(trust_env=False, timeout=DEADLINE_S)

    def run(self, ended: threading.Event) -> None:
        """Call until told to end, and until the last job has its final state."""
        while not ended.is_set():
            self._number += 1
            job = draw_job(self._rng, self._number, len(self._made.domains))
            queue = self._rng.choice(sorted(QUEUES))
            self._book.submitted(job)
            self._hand_in(job, queue)
            if job.accepted_s is not None:
                self._follow(job, queue, ended)

    def _hand_in(self, job: Job, queue: str) -> None:
        body = {"spec": job.spec, "steps": [step.document for step in job.steps]}
        until_s = time.monotonic() + DEADLINE_S
        unknown = False
        for _ in range(TRIES):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            status = self.call("POST", f"/{queue}/{job.job}", body, left_s)
            if status == 200:
                job.accepted_s = time.monotonic()
                return
            unknown = unknown or status not in (503, 429)
            time.sleep(min(1.0, max(0.0, until_s - time.monotonic())))
        job.refused = not unknown

    def call(self, method: str, path: str, body: dict | None, timeout_s: float) -> int:
        """Make a call at some entry; the status is 0 if no answer came."""
        return self.ask(method, path, body, timeout_s)[0]

    def ask(
        self, method: str, path: str, body: dict | None, timeout_s: float
    ) -> tuple[int, str]:
        """Make a call; return the status and the state that was told."""
        entry = self._rng.choice(sorted(self._made.fronts))
        process = self._made.processes[entry]
        starts, sent_s = process.starts, time.monotonic()
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        url = f"http://{self._made.fronts[entry]}{path}"
        try:
            reply = self._client.request(
                method, url, json=body, headers=headers, timeout=timeout_s
            )
        except (httpx.ReadError, httpx.RemoteProtocolError) as error:
            waited_s = time.monotonic() - sent_s
            undisturbed = not process.disturbed and process.starts == starts
            if waited_s > LOSS_SLACK_S and undisturbed:
                self._book.breaks("a planned stop cuts nothing off", f"{url} {error!r}")
            return 0, ""
        except httpx.HTTPError:
            return 0, ""
        state = reply.json().get("state", "") if reply.status_code == 200 else ""
        return reply.status_code, state

    def _follow(self, job: Job, queue: str, ended: threading.Event) -> None:
        path = f"/{queue}/{job.job}"
        cancels = self._rng.random() < CANCEL_SHARE
        while not ended.is_set():
            status, state = self.ask("GET", path, None, DEADLINE_S)
            self._book.shown(job, status, state)
            if state in ("completed", "failed", "cancelled"):
                return
            if cancels and job.cancelled_s is None:
                if self.call("DELETE", path, None, DEADLINE_S) in (200, 410):
                    job.cancelled_s = time.monotonic()
            ended.wait(POLL_S)
            if self._rng.random() < 0.1:
                return  # looked at again once the faults have ended

    def look_again(self, job: Job) -> None:
        """Ask for a job's state in any of the queues."""
        for queue in sorted(QUEUES):
            status, state = self.ask("GET", f"/{queue}/{job.job}", None, DEADLINE_S)
            if status == 200:
                self._book.shown(job, status, state)
                return


class Operator:
    """Changes the configuration and takes failure domains out, again and again."""

    def __init__(self, made: Deployment, book: Book, rng: random.Random):
        self._made = made
        self._book = book
        self._rng = rng
        self.version = 1
        self.routes = 0

    def change(self) -> None:
        """Write a new version of the configuration."""
        self.version += self._rng.randint(1, 3)
        self.routes += 1
        document = configuration(self.version, self.routes, [KEY])
        self._made.store.put("op", "config", document)

    def run(self, ended: threading.Event) -> None:
        """Make changes until told to end; then take all domains back."""
        while not ended.wait(self._rng.uniform(*CHANGE_PAUSE_S)):
            if self._rng.random() < 0.8:
                self.change()
            else:
                self._evacuate(ended)

    def _evacuate(self, ended: threading.Event) -> None:
        domain = self._rng.choice(DOMAINS)
        self._made.store.put("op", f"evacuate/{domain}", {})
        self._book.evacuated_s[domain] = time.monotonic()
        ended.wait(self._rng.uniform(1.0, 8.0))
        del self._book.evacuated_s[domain]
        self._made.store.remove("op", f"evacuate/{domain}")


class Prober:
    """Asks each entry for routes that were added, and notes what goes back."""

    def __init__(self, made: Deployment, book: Book, operator: Operator):
        self._made = made
        self._book = book
        self._operator = operator
        self._newest: dict[tuple[str, int], int] = {}
        self._client = httpx.Client(trust_env=False, timeout=1.0)

    def run(self, ended: threading.Event) -> None:
        """Probe until told to end."""
        while not ended.wait(0.3):
            for entry, front in self._made.fronts.items():
                self._probe(entry, front)

    def _probe(self, entry: str, front: str) -> None:
        process = self._made.processes[entry]
        life = (entry, process.starts)
        newest = self._newest.get(life, 0)
        for route in (newest, self._operator.routes):
            if not route:
                continue
            found = self._knows(front, route)
            if found:
                self._newest[life] = max(self._newest.get(life, 0), route)
            elif found is False and route <= newest and process.starts == life[1]:
                self._book.breaks(
                    "the configuration never goes back", f"{entry} route {route}"
                )

    def _knows(self, front: str, route: int) -> bool | None:
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        url = f"http://{front}/extra{route - 1}/"
        try:
            reply = self._client.get(url, headers=headers)
        except httpx.HTTPError:
            return None
        return {200: True, 404: False}.get(reply.status_code)


@contextmanager
def load_running(
    made: Deployment, book: Book, rng: random.Random, callers: int
) -> Iterator[Caller]:
    """Have callers, an operator and a prober at work until the block ends."""
    ended = threading.Event()
    operator = Operator(made, book, random.Random(rng.random()))
    workers = [operator, Prober(made, book, operator)]
    workers += [
        Caller(made, book, random.Random(rng.random()), (n + 1) << 32)
        for n in range(callers)
    ]
    threads = [threading.Thread(target=w.run, args=(ended,)) for w in workers]
    for thread in threads:
        thread.start()
    try:
        yield Caller(made, book, random.Random(rng.random()), 0)
    finally:
        ended.set()
        for thread in threads:
            thread.join()
