"""Fake entries behind an agent's channels, in a time that is a number."""

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

    def future(self, beat, timeout):
        return self._entries.ask(self._address, beat, timeout)


class FakeEntries:
    """Stands for the channels to all entries.

    Parameters
    ----------
    answers : dict of str to callable
        By address; called with the time, returns a reply or None for silence.
    """

    REPLY_S = 0.01

    def __init__(self, answers):
        self.answers = answers
        self.now_s = 0.0
        self.asked = []
        self._due = []
        self._order = itertools.count()

    def get(self, address):
        entries = self

        class Channel:
            def unary_unary(self, *_args, **_kwargs):
                return _FakeCall(entries, address)

        return Channel()

    def drop(self, address):
        pass

    def ask(self, address, beat, timeout_s):
        self.asked.append((self.now_s, address, beat))
        future = _FakeFuture()
        reply = self.answers[address](self.now_s)
        if reply is None:
            error = _DeadlineExceededError()
            self._after(timeout_s, lambda: future.finish(error=error))
        else:
            self._after(self.REPLY_S, lambda: future.finish(reply))
        return future

    def _after(self, delay_s, call):
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._order), call))

    def advance(self, until_s):
        """Let the time pass, and answers arrive."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._due)
            call()
        self.now_s = until_s


def holding(epoch=1):
    """Return the reply of a cell's holder."""
    return control_pb2.BeatReply(accepted=True, epoch=epoch)


def naming(holder):
    """Return the reply of an entry that names another one as the holder."""
    return control_pb2.BeatReply(accepted=False, holder=holder)
