"""Stop requests by signals."""

import signal
import threading
import time

import pytest
from cicadabank.tasks import StopSignal


class TestStopSignal:
    def test_signal_delivered_to_another_thread_is_noticed(self):
        """Such a signal doesn't wake the main thread, in which handlers run."""
        finished = threading.Event()
        other = threading.Thread(target=finished.wait, daemon=True)
        other.start()
        with StopSignal().on_signals() as stop:
            fallback = threading.Timer(20.0, stop.request)
            fallback.start()
            sender = threading.Timer(
                0.2, signal.pthread_kill, (other.ident, signal.SIGTERM)
            )
            sender.start()
            started_s = time.monotonic()
            stop.wait()
            waited_s = time.monotonic() - started_s
            fallback.cancel()
        finished.set()
        assert waited_s < 10.0

    @pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
    def test_signals_request_a_stop(self, signal_number):
        with StopSignal().on_signals() as stop:
            signal.raise_signal(signal_number)
            assert stop.wait(1.0)

    def test_sighup_does_not_stop(self):
        with StopSignal().on_signals() as stop:
            signal.raise_signal(signal.SIGHUP)
            assert not stop.wait(0.05)
