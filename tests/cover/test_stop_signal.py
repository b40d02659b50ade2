"""Signals that ask a process to stop."""

import signal
import threading
import time

import pytest
from cicadabank.tasks import StopSignal


class TestStopSignal:
    def test_signal_that_another_thread_takes_is_noticed(self):
        """The kernel may deliver to any thread; the main one isn't woken by that."""
        over = threading.Event()
        other = threading.Thread(target=over.wait, daemon=True)
        other.start()
        with StopSignal().on_signals() as stop:
            rescue = threading.Timer(20.0, stop.request)
            rescue.start()
            sender = threading.Timer(
                0.2, signal.pthread_kill, (other.ident, signal.SIGTERM)
            )
            sender.start()
            began_s = time.monotonic()
            stop.wait()
            waited_s = time.monotonic() - began_s
            rescue.cancel()
        over.set()
        assert waited_s < 10.0

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    def test_signals_request_a_stop(self, number):
        with StopSignal().on_signals() as stop:
            signal.raise_signal(number)
            assert stop.wait(1.0)

    def test_hangup_doesn_t_stop(self):
        with StopSignal().on_signals() as stop:
            signal.raise_signal(signal.SIGHUP)
            assert not stop.wait(0.05)
