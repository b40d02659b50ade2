"""Views for operators on the readiness address: cells, jobs and metrics."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, NamedTuple
from urllib.parse import unquote

from cicadabank.control.internal.cell_holder import CellActor
from cicadabank.control.internal.metrics import CONTENT_TYPE, EntryMetrics
from cicadabank.control.internal.replica import Replica
from cicadabank.model import to_builtins
from cicadabank.scheduling import CellView, JobView, cell_view, job_view
from cicadabank.tasks import clock_s
from cicadabank.web.messages import ApiCall, ApiReply, json_reply

# A cell's view is read again only after this time.
VIEW_MAX_AGE_S = 1.0
# Share of the time of the cells' loops that views may take; a read of a large cell
# takes a tenth of a second. The next read waits for it, for a limited time.
MAX_READ_SHARE = 0.05
MAX_READ_PAUSE_S = 2.0
# Time for the cell's loop to come to a view.
VIEW_TIMEOUT_S = 1.5
METRICS_PATH = "/metrics"
CELLS_PATH = "/cells/"


class _CachedView(NamedTuple):
    actor: CellActor
    read_s: float
    reply: ApiReply


class OperatorApi:
    """Answers the requests of operators for views and metrics.

    One request for a view and one for the metrics are answered at a time and others
    are refused, which bounds the processor time and the memory that they take.

    Parameters
    ----------
    held_cells : dict of str to CellActor
        The cells that this entry holds; changes with time.
    replica : Replica
        Names the holders of the other cells.
    metrics : EntryMetrics
    """

    def __init__(
        self,
        held_cells: dict[str, CellActor],
        replica: Replica,
        metrics: EntryMetrics,
    ):
        self._held_cells = held_cells
        self._replica = replica
        self._metrics = metrics
        self._open_view = threading.Lock()
        self._open_metrics = threading.Lock()
        self._cached: _CachedView | None = None
        self._read_due_s = float("-inf")
        # The read that the loop of a cell has not come to in time.
        self._late: tuple[CellActor, Future] | None = None

    def serves(self, call: ApiCall) -> bool:
        """Return whether a request is for a view or the metrics."""
        return call.path == METRICS_PATH or call.path.startswith(CELLS_PATH)

    def dispatch(self, call: ApiCall) -> ApiReply:
        """Answer a request for a view or the metrics."""
        # A client that pipelines requests without reading would have many replies kept.
        return self._answer(call)._replace(close=True)

    def _answer(self, call: ApiCall) -> ApiReply:
        if call.method not in ("GET", "HEAD"):
            return _error(405, "bad-request", f"method {call.method} is not supported")
        is_metrics = call.path == METRICS_PATH
        lock = self._open_metrics if is_metrics else self._open_view
        if not lock.acquire(blocking=False):
            return _busy("another such request is being answered")
        try:
            if is_metrics:
                return ApiReply(200, self._metrics.text(), CONTENT_TYPE)
            return self._view(call.path)
        finally:
            lock.release()

    def _view(self, path: str) -> ApiReply:
        cell, *rest = path.removeprefix(CELLS_PATH).split("/")
        cell = unquote(cell)
        is_job = len(rest) == 2 and rest[0] == "jobs"
        if not cell or (rest and not is_job):
            return _error(404, "no-route", f"there is no view {path}")
        actor = self._held_cells.get(cell)
        if actor is None:
            return self._not_held(cell)
        if is_job:
            return self._job(actor, unquote(rest[1]))
        return self._cell(actor)

    def _not_held(self, cell: str) -> ApiReply:
        rows = self._replica.cells.get(cell)
        holder = rows.holder if rows else None
        if holder is None:
            return _error(404, "no-cell", f"no entry is known to have held {cell!r}")
        if not holder.address:
            return _error(404, "not-holder", f"no entry holds the cell {cell!r} now")
        host = holder.address.rpartition(":")[0]
        document = {
            "code": "not-holder",
            "message": f"the cell {cell!r} is held by {holder.entry} on {host}",
            "action": f"ask the readiness address of {holder.entry}",
            "ran": "no",
        }
        return json_reply(404, {"error": document, "holder": holder.entry})

    def _cell(self, actor: CellActor) -> ApiReply:
        cached = self._cached
        if cached is not None and cached.actor is actor:
            if clock_s() - cached.read_s < VIEW_MAX_AGE_S:
                return cached.reply
        try:
            view = self._read(actor, cell_view)
        except FutureTimeoutError:
            return _busy("the cell's loop is busy")
        reply = json_reply(200, self._cell_document(view))
        self._cached = _CachedView(actor, clock_s(), reply)
        return reply

    def _job(self, actor: CellActor, job: str) -> ApiReply:
        try:
            view = self._read(actor, job_view, job)
        except FutureTimeoutError:
            return _busy("the cell's loop is busy")
        if view is None:
            return _error(404, "no-job", f"the cell has no job {job!r}")
        return json_reply(200, self._job_document(view))

    def _read(self, actor: CellActor, function: Callable, *arguments: Any) -> Any:
        """Run a function of the cell's state in the cell's loop.

        Waits first until reads take no more than their share. No read is added while
        the loop has not come to the one before.

        Raises
        ------
        concurrent.futures.TimeoutError
            If the loop does not come to it within `VIEW_TIMEOUT_S`.
        """
        if self._late is not None:
            late_actor, late = self._late
            if late_actor is actor and not late.done():
                raise FutureTimeoutError
        time.sleep(max(0.0, self._read_due_s - clock_s()))
        future: Future = Future()

        def read() -> None:
            start_s = clock_s()
            try:
                result = function(actor.scheduler.state, *arguments)
            except Exception as error:
                self._pace_reads(start_s)
                future.set_exception(error)
            else:
                self._pace_reads(start_s)
                future.set_result(result)

        actor.post(read)
        self._late = (actor, future)
        result = future.result(timeout=VIEW_TIMEOUT_S)
        self._late = None
        return result

    def _pace_reads(self, start_s: float) -> None:
        now_s = clock_s()
        pause_s = (now_s - start_s) / MAX_READ_SHARE
        self._read_due_s = now_s + min(pause_s, MAX_READ_PAUSE_S)

    def _cell_document(self, view: CellView) -> dict[str, Any]:
        document = to_builtins(view)
        for queue in document["queues"]:
            error = self._metrics.forecast_error(queue["queue"])
            queue["forecast_error"] = round(error.factor, 3) if error else None
            queue["measured_steps"] = error.steps if error else 0
        return document

    def _job_document(self, view: JobView) -> dict[str, Any]:
        document = to_builtins(view)
        stop = self._metrics.last_stop(view.job)
        document["last_stop"] = to_builtins(stop) if stop else None
        return document


def _busy(message: str) -> ApiReply:
    reply = _error(503, "overloaded", message, "retry in a second")
    return reply._replace(headers=(("Retry-After", "1"),))


def _error(status: int, code: str, message: str, action: str = "") -> ApiReply:
    document = {"code": code, "message": message, "action": action, "ran": "no"}
    return json_reply(status, {"error": document})
