"""Structured log lines: limits of their rate, and a reader that stops."""

from __future__ import annotations

import io
import json
import os
import time

import pytest
from cicadabank.tasks import configure_logs
from cicadabank.tasks.internal import observability
from loguru import logger


def parsed_lines(stream) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


@pytest.fixture(autouse=True)
def remove_log_handlers():
    yield
    logger.remove()


class TestRateLimit:
    def test_excess_lines_of_one_event_are_dropped_and_counted(self, monkeypatch):
        monkeypatch.setattr(observability, "MAX_LINES_PER_EVENT_PER_S", 10)
        stream = io.StringIO()
        writer = configure_logs("p", stream=stream)
        writer.admit("settled", 0.0)
        for number in range(500):
            logger.bind(event="flood", number=number).info("flood")
        time.sleep(1.1)
        logger.bind(event="after").info("after")
        assert writer.flush(2.0)
        written = parsed_lines(stream)
        assert len(written) <= 21
        assert sum(line.get("dropped_lines", 0) for line in written) >= 480

    def test_each_line_contains_process_and_event(self):
        stream = io.StringIO()
        writer = configure_logs("p", stream=stream)
        logger.bind(event="decided", job="j", age_s=1.5).info("decided")
        assert writer.flush(2.0)
        (line,) = parsed_lines(stream)
        assert (line["process"], line["event"], line["job"]) == ("p", "decided", "j")


class TestFullPipe:
    def test_stopped_reader_loses_lines_without_blocking_the_caller(self, monkeypatch):
        monkeypatch.setattr(observability, "MAX_LINES_PER_EVENT_PER_S", 10**6)
        monkeypatch.setattr(observability, "MAX_QUEUED_LINES", 100)
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        writer = configure_logs("p", stream=stream)
        started_s = time.monotonic()
        for number in range(5_000):
            logger.bind(event="line", number=number, text="x" * 200).info("line")
        assert time.monotonic() - started_s < 5.0
        assert writer.dropped > 0
        os.close(read_end)
        writer.flush(2.0)
