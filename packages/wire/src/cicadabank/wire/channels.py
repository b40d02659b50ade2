"""gRPC channels and servers with keep-alive pings that detect dead connections."""

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
# After this time the next `drop` closes the old channel and so cancels its calls that
# are still in flight.
DROPPED_CHANNEL_CLOSE_DELAY_S = 120.0

# If a device on the network path loses the state of a connection, the kernel keeps the
# connection open for many minutes. HTTP/2 keep-alive pings detect this while a call is
# pending; the deadline of each call limits how long the caller waits.
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
    """Caches one channel for each address; a dropped channel is replaced."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.Channel] = {}
        self._dropped: deque[tuple[float, grpc.Channel]] = deque()
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
        """Replace the channel to `address` by a new one at the next `get`.

        For callers whose call exceeded its deadline, since the connection may be dead.
        Calls in flight on the old channel continue: one call that exceeded its deadline
        doesn't imply that the others will. The old channel is closed later.
        """
        now_s = time.monotonic()
        expired = []
        with self._lock:
            channel = self._channels.pop(address, None)
            if channel is not None:
                self._dropped.append((now_s + DROPPED_CHANNEL_CLOSE_DELAY_S, channel))
            while self._dropped and self._dropped[0][0] <= now_s:
                expired.append(self._dropped.popleft()[1])
        for expired_channel in expired:
            expired_channel.close()

    def close(self) -> None:
        """Close all channels, including those dropped."""
        with self._lock:
            channels = [
                *self._channels.values(),
                *(channel for _, channel in self._dropped),
            ]
            self._channels = {}
            self._dropped.clear()
        for channel in channels:
            channel.close()


@contextmanager
def serve(address: str, services: list, threads: int = 32) -> Iterator[grpc.Server]:
    """Serve gRPC services on `address` until the context ends.

    Parameters
    ----------
    address : str
        ``IP:port``.
    services : list of (add_function, servicer)
        Servicers with their generated add functions, such as
        ``add_AgentServicer_to_server``.
    threads : int, default=32
        Maximum number of concurrent calls.
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
        # Rejects new calls; calls in flight may finish within the grace period.
        server.stop(grace=10.0).wait()
