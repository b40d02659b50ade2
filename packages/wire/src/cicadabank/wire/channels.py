"""gRPC channels and servers with the keep-alive that silent connections need."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import grpc

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
KEEPALIVE_INTERVAL_MS = 5_000
KEEPALIVE_TIMEOUT_MS = 3_000
RETIRED_TIME_S = 120.0

# A connection whose middle has lost track of it stays open for the kernel for
# many minutes. HTTP/2 pings find that out while a call waits; the deadline of
# each call bounds what the caller sees.
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),  # a paused peer sends its pings in a burst
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.so_reuseport", 0),
)


class ChannelPool:
    """Keeps one channel for each address and replaces a silent one."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.Channel] = {}
        self._retired: deque[tuple[float, grpc.Channel]] = deque()
        self._lock = threading.Lock()

    def get(self, address: str) -> grpc.Channel:
        """Return the channel to `address`, opening it if there is none."""
        with self._lock:
            channel = self._channels.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
                self._channels[address] = channel
            return channel

    def drop(self, address: str) -> None:
        """Use a new connection to `address` from now on.

        Calls in flight on the old one go on: that one call met its deadline doesn't say
        that the others will.
        """
        now_s = time.monotonic()
        closing = []
        with self._lock:
            channel = self._channels.pop(address, None)
            if channel is not None:
                self._retired.append((now_s + RETIRED_TIME_S, channel))
            while self._retired and self._retired[0][0] <= now_s:
                closing.append(self._retired.popleft()[1])
        for old in closing:
            old.close()

    def close(self) -> None:
        """Close every channel."""
        with self._lock:
            channels = [
                *self._channels.values(),
                *(channel for _, channel in self._retired),
            ]
            self._channels = {}
            self._retired.clear()
        for channel in channels:
            channel.close()


@contextmanager
def serve(address: str, services: list, threads: int = 32) -> Iterator[grpc.Server]:
    """Serve gRPC services on `address` until the block ends.

    Parameters
    ----------
    address : str
        ``IP:port``.
    services : list of (add_function, servicer)
        As in ``add_AgentServicer_to_server``.
    threads : int, default=32
        Calls that are served at once.
    """
    server = grpc.server(
        ThreadPoolExecutor(max_workers=threads), options=SERVER_OPTIONS
    )
    for add, servicer in services:
        add(servicer, server)
    server.add_insecure_port(address)
    server.start()
    try:
        yield server
    finally:
        # Calls in flight are answered; new ones are refused from here on.
        server.stop(grace=10.0).wait()
