"""Submissions that wait in the sockets of an entry while their jobs are cancelled."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from cicadabank.control.errors import NoJobError
from cicadabank.control.internal.job_service import JobService
from cicadabank.local import Ports
from cicadabank.platform.job_api import JobApi
from cicadabank.tasks import clock_s, running
from cicadabank.web.limits import Limits
from cicadabank.web.listeners import listen
from cicadabank.web.server import HttpActor

from tests.cover.test_job_service import ROUTE, Harness, timing

BUSY_S = 0.6
BODY = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 1}]}).encode()


def job_id(number: int) -> str:
    return f"{number:016x}"


def submission(number: int) -> bytes:
    head = (
        f"POST /jobs/{job_id(number)} HTTP/1.1\r\nHost: h\r\n"
        f"Authorization: Bearer key\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


class Entry(Harness):
    """An entry with a server, and another entry at which jobs are cancelled."""

    def __init__(self) -> None:
        super().__init__()
        self.other = Harness(self.table)
        self.address = Ports().address()
        dispatch = JobApi(self.service).dispatch
        self.actor = HttpActor(listen(self.address), dispatch, Limits())

    def new_service(self) -> JobService:
        return JobService(
            self.table,
            self.replica,
            lambda: self.operator_view,
            lambda cell, rows: self.replica.apply(rows, lambda *_: None),
        )

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=5.0)

    def cancel_elsewhere(self, *numbers: int) -> None:
        """Cancel jobs at the other entry; this one knows of it when it returns."""
        for number in numbers:
            with pytest.raises(NoJobError):
                self.other.service.cancel(ROUTE, job_id(number), timing(1.0))
        self.update_replica()

    def states(self) -> list[str]:
        """Return the states of all stored jobs."""
        self.update_replica()
        jobs = sorted(self.replica.cell("cell").jobs)
        return [self.service.status(ROUTE, job).state for job in jobs]


@contextmanager
def entry_running() -> Iterator[Entry]:
    entry = Entry()
    with running(entry.actor):
        yield entry
    entry.actor.close_pools()


def receive(client: socket.socket, responses: int = 1) -> list[str]:
    """Return the states in the responses."""
    received = b""
    while received.count(b'"}') < responses:
        received += client.recv(4096)
    assert received.count(b"200 OK") == responses
    return [part.partition(b'"')[0].decode() for part in received.split(b'state":"')][
        1:
    ]


# Guards against a submission that is taken for a later one than a cancellation that
# was answered while the submission waited at a frozen or busy entry.
class TestSubmissionsThatWaitForABusyLoop:
    @pytest.fixture
    def entry(self) -> Iterator[Entry]:
        with entry_running() as entry:
            time.sleep(0.1)
            yield entry

    @pytest.mark.parametrize("clients", [1, 12])
    def test_on_new_connections(self, entry, clients):
        entry.actor.post(time.sleep, BUSY_S)
        time.sleep(0.1)
        connections = [entry.connect() for _ in range(clients)]
        for number, client in enumerate(connections):
            client.sendall(submission(number))
        sent_s = clock_s()
        entry.cancel_elsewhere(*range(clients))
        for client in connections:
            assert receive(client) == ["cancelled"]
            client.close()
        assert clock_s() - sent_s > BUSY_S / 2
        assert entry.states() == ["cancelled"] * clients

    def test_on_open_connections(self, entry):
        connections = [entry.connect() for _ in range(12)]
        for number, client in enumerate(connections):
            client.sendall(submission(number))
            assert receive(client) == ["pending"]
        entry.actor.post(time.sleep, BUSY_S)
        time.sleep(0.1)
        for number, client in enumerate(connections, 100):
            client.sendall(submission(number))
        entry.cancel_elsewhere(*range(100, 112))
        for client in connections:
            assert receive(client) == ["cancelled"]
            client.close()
        assert entry.states() == ["pending"] * 12 + ["cancelled"] * 12

    def test_behind_another_request(self, entry):
        with entry.connect() as client:
            entry.actor.post(time.sleep, BUSY_S)
            time.sleep(0.1)
            client.sendall(submission(0) + submission(1))
            entry.cancel_elsewhere(1)
            assert receive(client, 2) == ["pending", "cancelled"]
        assert entry.states() == ["pending", "cancelled"]

    def test_before_the_server_has_started(self):
        entry = Entry()
        with entry.connect() as client:
            client.sendall(submission(0))
            entry.cancel_elsewhere(0)
            with running(entry.actor):
                assert receive(client) == ["cancelled"]
            entry.actor.close_pools()
        assert entry.states() == ["cancelled"]


class TestSubmissionsAtAnIdleServer:
    # Guards against clients that are refused although they come long after.
    @pytest.mark.parametrize("idle_s", [0.0, 2.3])
    def test_they_are_answered_at_once(self, idle_s):
        with entry_running() as entry, entry.connect() as client:
            entry.cancel_elsewhere(1)
            time.sleep(idle_s)
            for connection in (client, entry.connect()):
                with connection:
                    sent_s = clock_s()
                    number = int(connection is not client) * 2
                    connection.sendall(submission(number))
                    assert receive(connection) == ["pending"]
                    connection.sendall(submission(1))
                    assert receive(connection) == ["cancelled"]
                    assert clock_s() - sent_s < 1.0
            assert entry.states() == ["pending", "cancelled", "pending"]
