from __future__ import annotations

import io
import json
import os
import time

import pytest
from cicadabank.tasks import configure_logs
from cicadabank.tasks.internal import observe
from loguru import logger


def lines(stream) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


@pytest.fixture(autouse=True)
def restore():
    yield
    logger.remove()


class TestVolume:
    def test_a_flood_of_one_event_is_cut_and_counted(self, monkeypatch):
        monkeypatch.setattr(observe, "LINES_PER_EVENT_AND_S", 10)
        stream = io.StringIO()
        writer = configure_logs("p", stream=stream)
        writer.admit("settled", 0.0)
        for number in range(500):
            logger.bind(event="flood", number=number).info("flood")
        time.sleep(1.1)
        logger.bind(event="after").info("after")
        assert writer.flush(2.0)
        found = lines(stream)
        assert len(found) <= 21
        assert sum(line.get("dropped_lines", 0) for line in found) >= 480

    def test_each_line_names_process_and_event(self):
        stream = io.StringIO()
        writer = configure_logs("p", stream=stream)
        logger.bind(event="decided", job="j", age_s=1.5).info("decided")
        assert writer.flush(2.0)
        (line,) = lines(stream)
        assert (line["process"], line["event"], line["job"]) == ("p", "decided", "j")


class TestFullPipe:
    def test_a_reader_that_stops_costs_lines_not_time(self, monkeypatch):
        monkeypatch.setattr(observe, "LINES_PER_EVENT_AND_S", 10**6)
        monkeypatch.setattr(observe, "LINES_WAITING", 100)
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "w")
        writer = configure_logs("p", stream=stream)
        began_s = time.monotonic()
        for number in range(5_000):
            logger.bind(event="line", number=number, text="x" * 200).info("line")
        assert time.monotonic() - began_s < 5.0
        assert writer.dropped > 0
        os.close(reading)
        writer.flush(2.0)
