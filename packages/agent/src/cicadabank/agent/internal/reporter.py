"""Heartbeats to the entries, and the search for the holder of the cell."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

import grpc
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, control_pb2, control_pb2_grpc

# Exceeds the entry's own timeout for processing a heartbeat.
HEARTBEAT_TIMEOUT_S = 1.5
FAILURES_BEFORE_SEARCH = 2

ReplyHandler = Callable[[control_pb2.Beat, control_pb2.BeatReply, float], None]


class Destination:
    """One entry that heartbeats are sent to, with at most one in flight."""

    def __init__(self, address: str, pool: ChannelPool, post: Callable):
        self.address = address
        self.failures = 0
        self.in_flight = False
        self._pool = pool
        self._post = post

    def send(self, heartbeat: control_pb2.Beat, on_reply: ReplyHandler) -> None:
        """Send a heartbeat unless one is in flight."""
        if self.in_flight:
            return
        self.in_flight = True
        stub = control_pb2_grpc.MembershipStub(self._pool.get(self.address))
        future = stub.Report.future(heartbeat, timeout=HEARTBEAT_TIMEOUT_S)
        done = partial(self._done, heartbeat, on_reply, clock_s())
        future.add_done_callback(lambda f: self._post(done, f))

    def _done(
        self, heartbeat, on_reply: ReplyHandler, sent_s: float, future: grpc.Future
    ) -> None:
        self.in_flight = False
        error = None if future.cancelled() else future.exception()
        if future.cancelled() or error is not None:
            self.failures += 1
            if error is not None and error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self.address)
            return
        self.failures = 0
        on_reply(heartbeat, future.result(), sent_s)


class HolderHeartbeatSender:
    """Sends heartbeats to the entry that holds the worker's cell.

    If the holder stops replying, heartbeats go to all entries in turn until one accepts
    them. The holder stays among them, since until the cell is taken over other entries
    may still name it. Each entry has its own call, so one that does not reply delays no
    other.

    Parameters
    ----------
    entries : tuple of str
        Addresses that are tried in turn while the holder is not known.
    pool : ChannelPool
    post : callable
        Runs a callable in the owning actor.
    on_destination_change : callable
        Called when the destination changes; the next heartbeat must be a full report.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        pool: ChannelPool,
        post: Callable,
        on_destination_change: Callable[[], None],
    ):
        self._pool = pool
        self._post = post
        self._on_destination_change = on_destination_change
        self._destinations = {
            entry: Destination(entry, pool, post) for entry in entries
        }
        self._current = self._destinations[entries[0]]
        self._search_order = deque(entries)
        self._searching = False
        self._epoch = 0

    def send(self, heartbeat: control_pb2.Beat, on_reply: ReplyHandler) -> None:
        """Send a heartbeat to the holder, or during a search to the next entry."""
        if not self._searching and self._current.failures >= FAILURES_BEFORE_SEARCH:
            self._search()
        destination = self._next_candidate() if self._searching else self._current
        destination.send(heartbeat, partial(self._handle_reply, on_reply, destination))

    def _next_candidate(self) -> Destination:
        for _ in range(len(self._search_order)):
            self._search_order.rotate(-1)
            destination = self._destinations[self._search_order[-1]]
            if not destination.in_flight:
                break
        return destination

    def _handle_reply(
        self,
        on_reply: ReplyHandler,
        destination: Destination,
        heartbeat,
        reply: control_pb2.BeatReply,
        sent_s: float,
    ) -> None:
        for entry in reply.entries:
            self._destination_for(entry)
        if reply.accepted and reply.epoch >= self._epoch:
            self._epoch = reply.epoch
            self._current, self._searching = destination, False
            on_reply(heartbeat, reply, sent_s)
        elif not self._searching and destination is self._current:
            self._handle_refusal(reply.holder)
        elif self._searching and reply.holder not in ("", destination.address):
            self._ask_first(reply.holder)

    def _handle_refusal(self, holder: str) -> None:
        if holder and holder != self._current.address:
            self._current = self._destination_for(holder)
            self._on_destination_change()
        else:
            # An entry that can't reach the table may still consider itself the holder
            # after another entry has taken the cell over.
            self._search()

    def _search(self) -> None:
        self._searching = True
        self._search_order.remove(self._current.address)
        self._search_order.append(self._current.address)
        self._on_destination_change()

    def _ask_first(self, holder: str) -> None:
        """Move the named holder to the front, unless its last call failed."""
        if self._destination_for(holder).failures == 0:
            self._search_order.remove(holder)
            self._search_order.appendleft(holder)

    def _destination_for(self, address: str) -> Destination:
        if address not in self._destinations:
            self._destinations[address] = Destination(address, self._pool, self._post)
            self._search_order.append(address)
        return self._destinations[address]


class AllEntriesHeartbeatSender:
    """Sends heartbeats to all live entries, since each routes requests to minions."""

    def __init__(self, entries: tuple[str, ...], pool: ChannelPool, post: Callable):
        self._configured = set(entries)
        self._pool = pool
        self._post = post
        self._destinations = {
            entry: Destination(entry, pool, post) for entry in entries
        }

    def send(self, heartbeat: control_pb2.Beat, on_reply: ReplyHandler) -> None:
        """Send a heartbeat to each entry."""
        for destination in list(self._destinations.values()):
            destination.send(heartbeat, partial(self._handle_reply, on_reply))

    def _handle_reply(
        self,
        on_reply: ReplyHandler,
        heartbeat,
        reply: control_pb2.BeatReply,
        sent_s: float,
    ) -> None:
        for entry in reply.entries:
            if entry not in self._destinations:
                self._destinations[entry] = Destination(entry, self._pool, self._post)
        # An entry known only from replies is removed after 30 failed calls in a row;
        # configured ones are always retried.
        for address, destination in list(self._destinations.items()):
            unresponsive = (
                destination.failures >= 30 and address not in self._configured
            )
            if unresponsive and address not in reply.entries:
                del self._destinations[address]
        if reply.accepted:
            on_reply(heartbeat, reply, sent_s)
