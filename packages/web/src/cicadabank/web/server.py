"""HTTP actor: receives requests from circuits.web and handles them in threads."""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from urllib.parse import parse_qsl

from cicadabank.model import CicadabankError
from cicadabank.tasks import Actor, clock_s
from cicadabank.web.errors import HttpError, OverloadedError, StoppingError
from cicadabank.web.guard import RequestFilter
from cicadabank.web.http_server import HttpServer
from cicadabank.web.limits import Limits
from cicadabank.web.messages import ApiCall, ApiReply, error_reply
from circuits import Event, handler
from circuits.web.events import response
from loguru import logger

TICK_S = 0.5
# A watch is a long-polling request, one with `wait_s`.
MAX_OPEN_WATCHES = 128

Dispatch = Callable[[ApiCall], ApiReply]


class call_finished(Event):  # noqa: N801 (circuits finds handlers by the name of the event's class)
    """Returns the result of a call to the event loop that owns the sockets."""


class HttpActor(Actor):
    """Serves one HTTP interface; calls are handled in threads.

    Parameters
    ----------
    listener : socket.socket
        A listening socket, as `listen` returns it.
    dispatch : callable
        Handles a call and returns the reply; runs in a thread and may block.
    limits : Limits
    dispatch_at_once : callable, optional
        Handles a call in the loop that owns the sockets, so it must not block; returns
        None for a call that `dispatch` is to handle. Such calls don't count as open
        requests, so that no number of others has them refused.
    """

    channel = "web"

    def __init__(
        self,
        listener: socket.socket,
        dispatch: Dispatch,
        limits: Limits,
        dispatch_at_once: Callable[[ApiCall], ApiReply | None] = lambda call: None,
    ):
        super().__init__(TICK_S)
        self._server = HttpServer(listener)
        self._server.register(self)
        self._filter = RequestFilter(limits)
        self._filter.register(self)
        self._dispatch = dispatch
        self._dispatch_at_once = dispatch_at_once
        self._limits = limits
        self._call_pool = ThreadPoolExecutor(limits.open_requests, "api")
        self._watch_pool = ThreadPoolExecutor(MAX_OPEN_WATCHES, "watch")
        self.open_requests = 0
        self.open_watches = 0
        self.stopping = False
        self.closing = False  # each connection is closed after its next response

    @handler("request", priority=10)
    def _on_request(self, event, req, res, *_):
        # circuits.web itself responds to a request whose event succeeded; without this
        # the response would be sent twice.
        event.stop()
        event.success = False
        call = _read_call(req)
        try:
            reply = self._dispatch_at_once(call)
        except Exception:
            reply = _internal_error_reply(req)
        if reply is not None:
            self._send(res, reply)
            return
        is_watch = "wait_s" in call.query
        refusal = self._refusal(call, is_watch)
        if refusal is not None:
            logger.bind(
                event="request_refused",
                method=call.method,
                job=call.path.rpartition("/")[2],
                code=refusal.code,
                open_requests=self.open_requests,
            ).info("{}", refusal.message)
            self._send(res, error_reply(refusal))
            return
        pool = self._watch_pool if is_watch else self._call_pool
        self._adjust_open_count(is_watch, 1)
        future = pool.submit(self._dispatch, call)
        future.add_done_callback(
            lambda f: self.fire(call_finished(req, res, f, is_watch), self.channel)
        )

    def _refusal(self, call: ApiCall, is_watch: bool) -> HttpError | None:
        # /healthz and /readyz are answered until the process ends.
        if self.stopping and not call.path.endswith("z"):
            return StoppingError(
                "the entry is stopping; nothing was run", "ask another entry"
            )
        if is_watch and self.open_watches >= MAX_OPEN_WATCHES:
            return OverloadedError(
                "too many watches are open", "watch with fewer clients"
            )
        if not is_watch and self.open_requests >= self._limits.open_requests:
            return OverloadedError(
                "too many requests are open; nothing was run", "retry later"
            )
        return None

    def _adjust_open_count(self, is_watch: bool, delta: int) -> None:
        if is_watch:
            self.open_watches += delta
        else:
            self.open_requests += delta

    @handler("call_finished")
    def _on_call_finished(self, req, res, future: Future, is_watch: bool):
        self._adjust_open_count(is_watch, -1)
        try:
            reply = future.result()
        except CicadabankError as error:
            reply = error_reply(error)
        except Exception:
            reply = _internal_error_reply(req)
        # If the client has disconnected, the reply is discarded; stored changes remain.
        if self._filter.is_connected(req.sock):
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

    def is_quiet(self, for_s: float) -> bool:
        """Return whether no request is open and none has arrived for some time.

        Called in the actor's thread. What arrived since the thread last looked at its
        sockets is only seen by the next call.
        """
        if self.open_requests or self._filter.is_busy:
            return False
        return clock_s() - self._filter.last_activity_s >= for_s

    def drain(self) -> None:
        """Reject new requests from now on."""
        self.stopping = True

    def close_pools(self) -> None:
        """Cancel queued calls and end the threads once running calls have finished."""
        self._call_pool.shutdown(wait=False, cancel_futures=True)
        self._watch_pool.shutdown(wait=False, cancel_futures=True)


def _internal_error_reply(req) -> ApiReply:
    """Log the exception that is being handled, and return the reply for it."""
    logger.exception("call {} {} failed", req.method, req.path)
    return error_reply(
        CicadabankError("internal error while handling the request", "report this")
    )


def _read_call(req) -> ApiCall:
    headers = {name.lower(): value for name, value in req.headers.items()}
    query = dict(parse_qsl(req.qs or ""))
    return ApiCall(req.method, req.path, query, headers, req.body.read())
