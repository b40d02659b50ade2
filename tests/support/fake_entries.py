"""Fake entries behind an agent's channels, on a simulated clock."""

from __future__ import annotations

import heapq
import itertools

import grpc
from cicadabank.wire import control_pb2


class _DeadlineExceededError(grpc.RpcError):
    def code(self):
        return grpc.StatusCode.DEADLINE_EXCEEDED


class _FakeFuture:
    def __init__(self):
        self._callbacks = []
        self._reply = self._error = None

    def add_done_callback(self, callback):
        self._callbacks.append(callback)

    def finish(self, reply=None, error=None):
        self._reply, self._error = reply, error
        for callback in self._callbacks:
            callback(self)

    def cancelled(self):
        return False

    def exception(self):
        return self._error

    def result(self):
        return self._reply


class _FakeCall:
    def __init__(self, entries, address):
        self._entries = entries
        self._address = address

    def future(self, heartbeat, timeout):
        return self._entries.call(self._address, heartbeat, timeout)


class FakeEntries:
    """Replaces the channels to all entries.

    Parameters
    ----------
    answers : dict of str to callable
        By address; called with the time, returns a reply, or None for no reply.
    """

    REPLY_S = 0.01

    def __init__(self, answers):
        self.answers = answers
        self.now_s = 0.0
        self.calls = []
        self._scheduled = []
        self._sequence = itertools.count()

    def get(self, address):
        entries = self

        class Channel:
            def unary_unary(self, *_args, **_kwargs):
                return _FakeCall(entries, address)

        return Channel()

    def drop(self, address):
        pass

    def call(self, address, heartbeat, timeout_s):
        self.calls.append((self.now_s, address, heartbeat))
        future = _FakeFuture()
        reply = self.answers[address](self.now_s)
        if reply is None:
            error = _DeadlineExceededError()
            self._schedule(timeout_s, lambda: future.finish(error=error))
        else:
            self._schedule(self.REPLY_S, lambda: future.finish(reply))
        return future

    def _schedule(self, delay_s, action):
        heapq.heappush(
            self._scheduled, (self.now_s + delay_s, next(self._sequence), action)
        )

    def advance(self, until_s):
        """Advance the clock and deliver the replies due until then."""
        while self._scheduled and self._scheduled[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._scheduled)
            action()
        self.now_s = until_s


def holder_reply(epoch=1):
    """Return the reply of the holder of the cell."""
    return control_pb2.BeatReply(accepted=True, epoch=epoch)


def redirect_reply(holder):
    """Return the reply of an entry that names another entry as the holder."""
    return control_pb2.BeatReply(accepted=False, holder=holder)
