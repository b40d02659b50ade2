"""Heartbeats to the entries: finding the cell's holder, and staying with it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

import grpc
from cicadabank.tasks import clock_s
from cicadabank.wire import ChannelPool, control_pb2, control_pb2_grpc

BEAT_TIMEOUT_S = 1.5
FAILURES_BEFORE_NEXT = 2

TakeReply = Callable[[control_pb2.Beat, control_pb2.BeatReply, float], None]


class Destination:
    """One entry that is beaten to; at most one heartbeat is under way."""

    def __init__(self, address: str, pool: ChannelPool, post: Callable):
        self.address = address
        self.failures = 0
        self.busy = False
        self._pool = pool
        self._post = post

    def send(self, beat: control_pb2.Beat, take: TakeReply) -> None:
        """Send a heartbeat unless one is under way."""
        if self.busy:
            return
        self.busy = True
        stub = control_pb2_grpc.MembershipStub(self._pool.get(self.address))
        future = stub.Report.future(beat, timeout=BEAT_TIMEOUT_S)
        done = partial(self._done, beat, take, clock_s())
        future.add_done_callback(lambda f: self._post(done, f))

    def _done(self, beat, take: TakeReply, sent_s: float, future: grpc.Future) -> None:
        self.busy = False
        error = None if future.cancelled() else future.exception()
        if future.cancelled() or error is not None:
            self.failures += 1
            if error is not None and error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self.address)
            return
        self.failures = 0
        take(beat, future.result(), sent_s)


class HolderReporter:
    """Beats to the one entry that holds the worker's cell.

    A holder that doesn't answer may still be named by the others until the cell is
    taken over. So while the holder is silent, entries are asked in turn, it among them,
    and a call that waits for one of them holds up none of the others.

    Parameters
    ----------
    entries : tuple of str
        Addresses that are tried in turn while the holder is not known.
    moved : callable
        Called when the destination changes; the next report must be full.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        pool: ChannelPool,
        post: Callable,
        moved: Callable[[], None],
    ):
        self._pool = pool
        self._post = post
        self._moved = moved
        self._entries = {entry: Destination(entry, pool, post) for entry in entries}
        self._at = self._entries[entries[0]]
        self._turn = deque(entries)
        self._searching = False
        self._epoch = 0

    def send(self, beat: control_pb2.Beat, take: TakeReply) -> None:
        """Send a heartbeat to the holder, or to the next entry if it is silent."""
        if not self._searching and self._at.failures >= FAILURES_BEFORE_NEXT:
            self._search()
        destination = self._next_asked() if self._searching else self._at
        destination.send(beat, partial(self._take, take, destination))

    def _next_asked(self) -> Destination:
        for _ in range(len(self._turn)):
            self._turn.rotate(-1)
            destination = self._entries[self._turn[-1]]
            if not destination.busy:
                break
        return destination

    def _take(
        self,
        take: TakeReply,
        asked: Destination,
        beat,
        reply: control_pb2.BeatReply,
        sent_s: float,
    ) -> None:
        for entry in reply.entries:
            self._know(entry)
        if reply.accepted and reply.epoch >= self._epoch:
            self._epoch = reply.epoch
            self._at, self._searching = asked, False
            take(beat, reply, sent_s)
        elif not self._searching and asked is self._at:
            self._refused(reply.holder)
        elif self._searching and reply.holder not in ("", asked.address):
            self._ask_next(reply.holder)

    def _refused(self, holder: str) -> None:
        if holder and holder != self._at.address:
            self._at = self._know(holder)
            self._moved()
        else:
            # An entry that is cut off from the table may still take itself for the
            # holder while another has taken the cell over.
            self._search()

    def _search(self) -> None:
        self._searching = True
        self._turn.remove(self._at.address)
        self._turn.append(self._at.address)
        self._moved()

    def _ask_next(self, holder: str) -> None:
        """Ask the named holder out of turn, unless it has just been silent."""
        if self._know(holder).failures == 0:
            self._turn.remove(holder)
            self._turn.appendleft(holder)

    def _know(self, address: str) -> Destination:
        if address not in self._entries:
            self._entries[address] = Destination(address, self._pool, self._post)
            self._turn.append(address)
        return self._entries[address]


class EveryEntryReporter:
    """Beats to every live entry, since each of them routes to the minions."""

    def __init__(self, entries: tuple[str, ...], pool: ChannelPool, post: Callable):
        self._configured = set(entries)
        self._pool = pool
        self._post = post
        self._at = {entry: Destination(entry, pool, post) for entry in entries}

    def send(self, beat: control_pb2.Beat, take: TakeReply) -> None:
        """Send a heartbeat to each entry."""
        for destination in list(self._at.values()):
            destination.send(beat, partial(self._take, take))

    def _take(
        self, take: TakeReply, beat, reply: control_pb2.BeatReply, sent_s: float
    ) -> None:
        for entry in reply.entries:
            if entry not in self._at:
                self._at[entry] = Destination(entry, self._pool, self._post)
        # An entry that is gone is dropped; the configured ones are tried for ever.
        for address, destination in list(self._at.items()):
            gone = destination.failures >= 30 and address not in self._configured
            if gone and address not in reply.entries:
                del self._at[address]
        if reply.accepted:
            take(beat, reply, sent_s)
