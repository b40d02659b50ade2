"""Takes requests from circuits.web.

Answers them from threads, and drains at the end.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from urllib.parse import parse_qsl

from cicadabank.model import CicadabankError
from cicadabank.tasks import Task
from cicadabank.web.errors import AnsweredError, OverloadedError, StoppingError
from cicadabank.web.guard import RequestGuard
from cicadabank.web.limits import Limits
from cicadabank.web.messages import ApiCall, ApiReply, error_reply
from cicadabank.web.quiet import QuietServer
from circuits import Event, handler
from circuits.web.events import response
from loguru import logger

TICK_S = 0.5
WATCHES_AT_ONCE = 128

Dispatch = Callable[[ApiCall], ApiReply]


class answer(Event):  # noqa: N801 (circuits finds handlers by the name of the event's class)
    """Carries a finished reply back into the loop that owns the sockets."""


class HttpTask(Task):
    """Owns the HTTP sockets of an interface.

    Parameters
    ----------
    listener : socket.socket
        Listens already; see `listen`.
    dispatch : callable
        Answers a call; runs in a thread and may block.
    """

    channel = "web"

    def __init__(self, listener: socket.socket, dispatch: Dispatch, limits: Limits):
        super().__init__(TICK_S)
        self._server = QuietServer(listener)
        self._server.register(self)
        self._guard = RequestGuard(limits)
        self._guard.register(self)
        self._dispatch = dispatch
        self._limits = limits
        self._workers = ThreadPoolExecutor(limits.open_requests, "api")
        self._watchers = ThreadPoolExecutor(WATCHES_AT_ONCE, "watch")
        self.open_requests = 0
        self.open_watches = 0
        self.stopping = False
        self.closing = False  # connections end with their next answer

    @handler("request", priority=10)
    def _on_request(self, event, req, res, *_):
        # Without this the answer would be sent twice: circuits.web answers a request
        # whose event succeeded on its own.
        event.stop()
        event.success = False
        call = _read_call(req)
        is_watch = "wait_s" in call.query
        refusal = self._refusal(call, is_watch)
        if refusal is not None:
            self._send(res, error_reply(refusal))
            return
        pool = self._watchers if is_watch else self._workers
        self._count(is_watch, 1)
        future = pool.submit(self._dispatch, call)
        future.add_done_callback(
            lambda f: self.fire(answer(req, res, f, is_watch), self.channel)
        )

    def _refusal(self, call: ApiCall, is_watch: bool) -> AnsweredError | None:
        if self.stopping and not call.path.endswith("z"):
            return StoppingError(
                "the entry is stopping; nothing was run", "ask another entry"
            )
        if is_watch and self.open_watches >= WATCHES_AT_ONCE:
            return OverloadedError(
                "too many watches are open", "watch with fewer clients"
            )
        if not is_watch and self.open_requests >= self._limits.open_requests:
            return OverloadedError(
                "too many requests are open; nothing was run", "retry later"
            )
        return None

    def _count(self, is_watch: bool, by: int) -> None:
        if is_watch:
            self.open_watches += by
        else:
            self.open_requests += by

    @handler("answer")
    def _on_answer(self, req, res, future: Future, is_watch: bool):
        self._count(is_watch, -1)
        try:
            reply = future.result()
        except CicadabankError as error:
            reply = error_reply(error)
        except Exception:
            logger.exception("the call {} {} failed", req.method, req.path)
            reply = error_reply(
                CicadabankError("the entry failed to answer", "report this")
            )
        # The caller may be gone; its answer is dropped, what was stored stays.
        if self._guard.connected(req.sock):
            self._send(res, reply)

    def _send(self, res, reply: ApiReply) -> None:
        res.status = reply.status
        res.headers["Content-Type"] = reply.content_type
        if reply.close or self.stopping or self.closing:
            res.close = True
            res.headers["Connection"] = "close"
        for name, value in reply.headers:
            res.headers[name] = value
        res.body = reply.body
        self.fire(response(res), self.channel)

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self.stopping = True

    def close_pools(self) -> None:
        """End the threads; the calls they run are finished first."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._watchers.shutdown(wait=False, cancel_futures=True)


def _read_call(req) -> ApiCall:
    headers = {name.lower(): value for name, value in req.headers.items()}
    query = dict(parse_qsl(req.qs or ""))
    return ApiCall(req.method, req.path, query, headers, req.body.read())
