"""Counters and histograms of an entry, fed from its structured log events."""

from __future__ import annotations

import math
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, NamedTuple

from cicadabank.scheduling import JobRecord
from loguru import logger
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

PREFIX = "cicadabank"
# Upper bounds of the histograms' classes.
WAIT_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 20, 30, 60, 120, 300, 600, 1800)
AGE_BUCKETS_S = (1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200)
ERROR_BUCKETS = (1.05, 1.1, 1.2, 1.35, 1.5, 1.75, 2, 2.5, 3, 5)
# Values of a label beyond this number count together as `OTHER`, since each takes
# memory for as long as the process runs: 10 kB for a queue with its histograms.
MAX_QUEUES = 50
MAX_EVENTS = 150
MAX_CODES = 50
OTHER = "other"
MAX_LABEL_LENGTH = 60
# Jobs whose first placement or latest stop is remembered; the oldest are forgotten.
MAX_JOBS = 2_000
# Weight of the latest measurement in the mean forecast error of a queue.
ERROR_WEIGHT = 0.1

CONTENT_TYPE = CONTENT_TYPE_LATEST
# The time at which each counter was created would be a third of the text.
disable_created_metrics()


class LastStop(NamedTuple):
    """The latest stop of a job's unit, before which it was running or about to."""

    step: int
    first: int
    run: int
    reason: str


class ForecastError(NamedTuple):
    """How far the forecasts of a queue's steps were off.

    Attributes
    ----------
    steps : int
        Number of steps that were measured.
    factor : float
        Exponentially weighted geometric mean of the factor between a step's forecast
        and its first measurement; 1 if all forecasts were exact.
    """

    steps: int
    factor: float


class BoundedLabels:
    """Limits the number of different values of a label.

    Parameters
    ----------
    limit : int
        Number of values that are kept; further ones become `OTHER`.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._known: set[str] = set()

    def label(self, value: object) -> str:
        """Return the value for use as a label."""
        text = str(value)[:MAX_LABEL_LENGTH]
        if text not in self._known:
            if len(self._known) >= self._limit:
                return OTHER
            self._known.add(text)
        return text


class EntryMetrics:
    """Counts the events of an entry's process.

    Events arrive from several threads. Each update takes a lock for the time of an
    addition, so that it delays no decision.

    Parameters
    ----------
    record_of : callable
        Returns the record of a job by its id, or None if it is not known.
    """

    def __init__(self, record_of: Callable[[str], JobRecord | None]):
        self.registry = CollectorRegistry()
        self._record_of = record_of
        self._lock = threading.Lock()
        self._queues = BoundedLabels(MAX_QUEUES)
        self._causes = BoundedLabels(MAX_CODES)
        self._codes = BoundedLabels(MAX_CODES)
        self._event_names = BoundedLabels(MAX_EVENTS)
        # Jobs that have been placed and have not ended.
        self._placed_jobs: OrderedDict[str, None] = OrderedDict()
        self._last_stops: OrderedDict[str, LastStop] = OrderedDict()
        self._forecast_errors: dict[str, ForecastError] = {}
        self._handlers: dict[str, Callable[[Mapping[str, Any]], None]] = {
            "unit_placed": self._on_unit_placed,
            "unit_held_back": self._on_unit_held_back,
            "unit_waits": self._on_unit_waits,
            "request_refused": self._on_request_refused,
            "step_measured": self._on_step_measured,
            "job_ended": self._on_job_ended,
        }
        self._create_metrics()
        ProcessCollector(registry=self.registry)

    def _create_metrics(self) -> None:
        self._events = self._counter(
            "events", "Structured log events by name.", "event"
        )
        self._placed = self._counter(
            "units_placed", "Units that claimed targets.", "guaranteed"
        )
        self._held_back = self._counter(
            "units_held_back", "Steps that began to wait for headroom.", "queue"
        )
        self._preempted = self._counter(
            "units_preempted", "Units stopped to make room for others."
        )
        self._stops = self._counter(
            "unit_stops", "Placed units that wait again or were given up.", "cause"
        )
        self._lost = self._counter(
            "stopped_core_seconds",
            "Core-seconds since the start or latest checkpoint of stopped runs; "
            "an accelerator counts as eight cores.",
            "cause",
        )
        self._refused = self._counter(
            "requests_refused", "Refused requests by error code.", "code"
        )
        self._jobs_ended = self._counter(
            "jobs_ended", "Jobs that reached a final state.", "queue", "state"
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds",
            "Time from a job's acceptance to its first placement.",
            WAIT_BUCKETS_S,
        )
        self._job_age = self._histogram(
            "job_age_seconds", "Time from a job's acceptance to its end.", AGE_BUCKETS_S
        )
        self._error = self._histogram(
            "forecast_error_ratio",
            "Factor between a step's forecast and its first measurement.",
            ERROR_BUCKETS,
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"{PREFIX}_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, buckets: tuple) -> Histogram:
        return Histogram(
            f"{PREFIX}_{name}",
            text,
            ("queue",),
            registry=self.registry,
            buckets=buckets,
        )

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each request for the metrics."""
        gauge = Gauge(f"{PREFIX}_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def observe(self, event: str, fields: Mapping[str, Any]) -> None:
        """Count an event."""
        self._events.labels(self._event_names.label(event)).inc()
        handle = self._handlers.get(event)
        if handle is not None:
            handle(fields)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus exposition format."""
        return generate_latest(self.registry)

    def last_stop(self, job: str) -> LastStop | None:
        """Return the latest stop of a job's unit; None if none is remembered."""
        return self._last_stops.get(job)

    def forecast_error(self, queue: str) -> ForecastError | None:
        """Return how far a queue's forecasts were off; None if none was measured."""
        return self._forecast_errors.get(queue)

    def _queue_of(self, job: str) -> str:
        record = self._record_of(job)
        return self._queues.label(record.queue) if record else OTHER

    def _on_unit_placed(self, fields: Mapping[str, Any]) -> None:
        self._placed.labels("yes" if fields["entitled"] else "no").inc()
        self._preempted.inc(len(fields["victims"]))
        # A later run or step was placed by an earlier holder, or after the first one.
        if fields["run"] != 1 or fields["step"] != 0:
            return
        job = fields["job"]
        with self._lock:
            is_first = job not in self._placed_jobs
            _remember(self._placed_jobs, job, None)
        if is_first:
            self._queue_wait.labels(self._queue_of(job)).observe(fields["waited_s"])

    def _on_unit_held_back(self, fields: Mapping[str, Any]) -> None:
        self._held_back.labels(self._queue_of(fields["job"])).inc()

    def _on_unit_waits(self, fields: Mapping[str, Any]) -> None:
        cause = self._causes.label(fields["reason"] or "unknown")
        self._stops.labels(cause).inc()
        if fields.get("lost_core_s") is not None:
            self._lost.labels(cause).inc(fields["lost_core_s"])
        stop = LastStop(fields["step"], fields["first"], fields["run"], cause)
        with self._lock:
            _remember(self._last_stops, fields["job"], stop)

    def _on_request_refused(self, fields: Mapping[str, Any]) -> None:
        self._refused.labels(self._codes.label(fields["code"])).inc()

    def _on_step_measured(self, fields: Mapping[str, Any]) -> None:
        expected_s, measured_s = fields["expected_s"], fields["measured_s"]
        if expected_s <= 0 or measured_s <= 0:
            return
        error = abs(math.log(measured_s / expected_s))
        queue = self._queue_of(fields["job"])
        self._error.labels(queue).observe(math.exp(error))
        with self._lock:
            steps, factor = self._forecast_errors.get(queue, ForecastError(0, 1.0))
            weight = max(ERROR_WEIGHT, 1 / (steps + 1))
            mean = math.log(factor) + weight * (error - math.log(factor))
            self._forecast_errors[queue] = ForecastError(steps + 1, math.exp(mean))

    def _on_job_ended(self, fields: Mapping[str, Any]) -> None:
        queue = self._queues.label(fields["queue"])
        self._jobs_ended.labels(queue, fields["state"]).inc()
        self._job_age.labels(queue).observe(fields["age_s"])
        with self._lock:
            self._placed_jobs.pop(fields["job"], None)


def _remember(known: OrderedDict, key: str, value: Any) -> None:
    """Store a value as the latest one; forget the oldest beyond `MAX_JOBS`."""
    known.pop(key, None)
    known[key] = value
    if len(known) > MAX_JOBS:
        known.popitem(last=False)


@contextmanager
def counting_events(metrics: EntryMetrics) -> Iterator[None]:
    """Feed the structured log events of this process to metrics until the block ends.

    An error in the metrics is printed by the logger and doesn't reach its caller.
    """

    def count(message) -> None:
        extra = message.record["extra"]
        metrics.observe(extra["event"], extra)

    handler = logger.add(
        count,
        level="INFO",
        format=lambda record: "",
        filter=lambda record: "event" in record["extra"],
    )
    try:
        yield
    finally:
        logger.remove(handler)
