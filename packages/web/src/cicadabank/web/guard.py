"""Filter in front of circuits.web: enforces limits and rejects malformed requests.

circuits.web answers a wrong Content-Length with a traceback, accepts headers of any
size and loses pipelined requests. The filter therefore splits the byte stream of each
connection into complete requests and forwards one at a time.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from cicadabank.model import encode
from cicadabank.tasks import clock_s
from cicadabank.web.errors import BadRequestError, HttpError, OverloadedError
from cicadabank.web.limits import Limits
from cicadabank.web.messages import error_document
from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import close, read, write

HEADER_END = b"\r\n\r\n"
REQUEST_LINE = re.compile(rb"[A-Z]{3,10} [!-~]{1,4096} HTTP/1\.[01]")
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*")
TIMEOUT_CHECK_INTERVAL_S = 0.5
IDLE_TIMEOUT_S = 120.0
MAX_PIPELINED_BYTES = 65_536
REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class HeadersTooLargeError(HttpError):
    """The header section is larger than the limit."""

    code = "headers-too-large"
    status = 431


class BodyTooLargeError(HttpError):
    """The body is larger than the limit."""

    code = "body-too-large"
    status = 413


class LengthRequiredError(HttpError):
    """The body has no Content-Length."""

    code = "length-required"
    status = 411


class SlowSenderError(HttpError):
    """The request was not received completely in time."""

    code = "slow-sender"
    status = 408


class RequestHead(NamedTuple):
    """Sizes and flags from the head of a request."""

    head_bytes: int
    body_bytes: int
    expects_continue: bool


def parse_head(data: bytes, limits: Limits) -> RequestHead | None:
    """Parse the head of a request; return None if it is incomplete.

    Raises
    ------
    HttpError
        If the head is malformed or larger than the limits.
    """
    end = data.find(HEADER_END)
    if end > limits.header_bytes or (end < 0 and len(data) > limits.header_bytes):
        raise HeadersTooLargeError(
            f"the header section is larger than {limits.header_bytes} bytes",
            "send fewer headers",
        )
    if end < 0:
        return None
    first, *lines = data[:end].split(b"\r\n")
    if not REQUEST_LINE.fullmatch(first):
        raise BadRequestError("the request line is malformed")
    fields: dict[bytes, list[bytes]] = {}
    for line in lines:
        if not HEADER_LINE.fullmatch(line):
            raise BadRequestError("a header line is malformed")
        name, _, value = line.partition(b":")
        fields.setdefault(name.lower(), []).append(value.strip())
    if first.endswith(b"1.1") and len(fields.get(b"host", [])) != 1:
        raise BadRequestError("exactly one Host header is required")
    if b"transfer-encoding" in fields:
        raise LengthRequiredError(
            "a Transfer-Encoding is not accepted", "send a Content-Length"
        )
    length = _content_length(fields.get(b"content-length", []), limits)
    expects = b"100-continue" in [v.lower() for v in fields.get(b"expect", [])]
    return RequestHead(end + len(HEADER_END), length, expects)


def _content_length(values: list[bytes], limits: Limits) -> int:
    if not values:
        return 0
    if len(set(values)) > 1 or not values[0].isdigit() or len(values[0]) > 15:
        raise BadRequestError(
            "the Content-Length is not one valid number", "send the body's size"
        )
    length = int(values[0])
    if length > limits.body_bytes:
        raise BodyTooLargeError(
            f"the body is larger than {limits.body_bytes} bytes", "send a smaller one"
        )
    return length


class check_timeouts(Event):  # noqa: N801 (circuits finds handlers by the name of the event's class)
    """Triggers the search for slow senders and idle connections."""


class complete_request(read):  # noqa: N801
    """Bytes of one complete request, for circuits.web."""

    name = "read"


class Connection:
    """Bytes of a connection that have not been forwarded yet.

    `busy` is set while a request is being answered. `waiting_since_s` is when the
    connection became idle or the first bytes of the present request arrived.
    """

    __slots__ = ("buffer", "busy", "continue_sent", "waiting_since_s")

    def __init__(self, now_s: float):
        self.buffer = bytearray()
        self.busy = False
        self.continue_sent = False
        self.waiting_since_s = now_s


class RequestFilter(BaseComponent):
    """Filters the requests on the channel of circuits.web."""

    channel = "web"

    def __init__(self, limits: Limits):
        super().__init__()
        self._limits = limits
        self._connections: dict[object, Connection] = {}
        # When a client last connected or sent something.
        self.last_activity_s = clock_s()
        Timer(
            TIMEOUT_CHECK_INTERVAL_S, check_timeouts(), self.channel, persist=True
        ).register(self)

    def is_connected(self, sock) -> bool:
        """Return whether a connection is still open."""
        return sock in self._connections

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or answered."""
        return any(c.busy or c.buffer for c in self._connections.values())

    @handler("connect", priority=10)
    def _on_connect(self, sock, *_):
        self.last_activity_s = clock_s()
        if len(self._connections) >= self._limits.connections:
            self._reject(sock, OverloadedError("too many connections", "connect later"))
            return
        self._connections[sock] = Connection(clock_s())

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock, *_):
        self._connections.pop(sock, None)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data):
        if isinstance(event, complete_request):
            return
        event.stop()
        self.last_activity_s = clock_s()
        connection = self._connections.get(sock)
        if connection is None:
            return
        if not connection.buffer and not connection.busy:
            connection.waiting_since_s = clock_s()
        connection.buffer += data
        self._process_buffer(sock, connection)

    @handler("response", priority=-10)
    def _on_response(self, res):
        sock = res.request.sock
        connection = self._connections.get(sock)
        if connection is not None and not res.close:
            connection.busy = False
            connection.waiting_since_s = clock_s()
            self._process_buffer(sock, connection)

    def _process_buffer(self, sock, connection: Connection) -> None:
        if connection.busy:
            if len(connection.buffer) > self._limits.body_bytes + MAX_PIPELINED_BYTES:
                self._reject(
                    sock,
                    OverloadedError("too many pipelined bytes before the response"),
                )
            return
        try:
            head = parse_head(bytes(connection.buffer), self._limits)
        except HttpError as error:
            self._reject(sock, error)
            return
        if head is None:
            return
        size = head.head_bytes + head.body_bytes
        if len(connection.buffer) < size:
            if head.expects_continue and not connection.continue_sent:
                connection.continue_sent = True
                self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"))
            return
        data = bytes(connection.buffer[:size])
        del connection.buffer[:size]
        connection.busy = True
        connection.continue_sent = False
        self.fire(complete_request(sock, data), self.channel)

    @handler("check_timeouts")
    def _on_check_timeouts(self):
        now_s = clock_s()
        for sock, connection in list(self._connections.items()):
            if connection.busy:
                continue
            age_s = now_s - connection.waiting_since_s
            if connection.buffer and age_s > self._limits.header_time_s:
                self._reject(
                    sock,
                    SlowSenderError("the request was not received completely in time"),
                )
            elif not connection.buffer and age_s > IDLE_TIMEOUT_S:
                self.fire(close(sock))

    def _reject(self, sock, error: HttpError) -> None:
        """Send an error response and close the connection.

        After a malformed request, the start of the next one in the stream is unknown.
        """
        self._connections.pop(sock, None)
        body = encode(error_document(error))
        head = (
            f"HTTP/1.1 {error.status} {REASON_PHRASES[error.status]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
