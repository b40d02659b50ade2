"""A stopping entry serves what clients have sent before it closes its connections."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import httpx
import pytest
from cicadabank.control.internal import entry as entry_module
from cicadabank.control.internal.entry import _wait_until_quiet
from cicadabank.tasks import clock_s, running
from cicadabank.web.limits import Limits
from cicadabank.web.listeners import listen
from cicadabank.web.messages import ApiReply
from cicadabank.web.server import HttpActor

from tests.support.addresses import unused_address


@contextmanager
def server_running(work_s: float = 0.0) -> Iterator[tuple[HttpActor, str]]:
    """Run a server whose requests take some time; yield it and its address."""
    address = unused_address()

    def dispatch(call) -> ApiReply:
        time.sleep(work_s)
        return ApiReply(200, b"{}")

    with listen(address) as listener:
        actor = HttpActor(listener, dispatch, Limits())
        with running(actor):
            yield actor, address


class Request(threading.Thread):
    """A request on a connection of its own, sent by a thread."""

    def __init__(self, address: str):
        super().__init__()
        self._address = address
        self.status = 0

    def run(self):
        reply = httpx.get(f"http://{self._address}/jobs/x", trust_env=False, timeout=9)
        self.status = reply.status_code


# Guards against requests whose connections a stopping entry closed without a response:
# its loop had not read them yet when it found that no request was open.
class TestWaitUntilQuiet:
    @pytest.mark.parametrize("work_s", [0.0, 0.6])
    def test_it_waits_for_a_request_that_a_busy_loop_has_not_read(self, work_s):
        with server_running(work_s) as (server, address):
            time.sleep(entry_module.DRAIN_QUIET_S + 0.1)
            server.post(time.sleep, 0.7)
            request = Request(address)
            request.start()
            time.sleep(0.2)
            _wait_until_quiet(server, clock_s() + 5.0)
            assert server.is_quiet(0.0)
            request.join(0.2)
            assert request.status == 200

    def test_it_ends_soon_without_requests(self):
        with server_running() as (server, _):
            started_s = clock_s()
            _wait_until_quiet(server, started_s + 5.0)
            assert clock_s() - started_s < entry_module.DRAIN_QUIET_S + 1.0

    def test_it_ends_at_the_latest_time_though_a_request_is_open(self):
        with server_running(work_s=3.0) as (server, address):
            request = Request(address)
            request.start()
            time.sleep(0.2)
            started_s = clock_s()
            _wait_until_quiet(server, started_s + 0.8)
            assert 0.7 < clock_s() - started_s < 1.5
            request.join()
