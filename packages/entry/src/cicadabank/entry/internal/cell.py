"""The task that holds one cell: carries out what the decisions ask for."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from functools import partial, singledispatchmethod

from cicadabank.decisions import (
    CellCore,
    CommitJob,
    Record,
    ReloadJob,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.entry.internal.config import Seen
from cicadabank.entry.internal.heartbeat_timing import heartbeat_interval_s, timings_for
from cicadabank.entry.internal.links import (
    AgentLink,
    OrderContext,
    WorkerView,
    beat_event,
)
from cicadabank.entry.internal.session import HeldCell
from cicadabank.entry.internal.store import CommitResult, JobStore, StoredJob
from cicadabank.entry.internal.summary import CellSummary, head_of, summary_of
from cicadabank.model import Key, encode, new_id
from cicadabank.settings import EntrySettings
from cicadabank.store import ObjectClient, PlatformError, TableClient, Transaction
from cicadabank.tasks import Metrics, Task, clock_s, unix_s
from cicadabank.wire import ChannelPool, control_pb2
from loguru import logger

TICK_S = 0.1
SUMMARY_INTERVAL_S = 2.0
DIRECT_FRESHNESS_S = 3.0
UNSETTLED_PHASES = frozenset(
    {"claiming", "reserving", "committing", "starting", "beginning", "saving"}
)


class CellTask(Task):
    """Owns the state of one held cell.

    Parameters
    ----------
    held : HeldCell
        The cell and the epoch under which it was taken.
    may_renew : callable
        Whether leases may still be renewed; they outlast an outage of the table.
    """

    def __init__(
        self,
        settings: EntrySettings,
        held: HeldCell,
        table: TableClient,
        objects: ObjectClient,
        pool: ChannelPool,
        seen: Seen,
        may_renew: Callable[[], bool],
    ):
        super().__init__(TICK_S)
        self.held = held
        self._settings = settings
        self._table = table
        self._objects = objects
        self._pool = pool
        self._may_renew = may_renew
        self._seen = seen
        self.metrics = Metrics(settings.statsd, f"cicadabank.cell.{held.cell}")
        self.core = CellCore(held.cell, held.epoch, clock_s(), settings.timings, unix_s)
        self.store = JobStore(
            table, objects, held.cell, held.version, settings.limits.answer_inline_bytes
        )
        self._context = OrderContext(
            held.cell, held.epoch, settings.timings.lease_duration_s, self._view_of
        )
        self._links: dict[str, AgentLink] = {}
        self._interval_s = 0.0
        self._scan_due_s = 0.0
        self._scanning = False
        self._summary_due_s = clock_s() + SUMMARY_INTERVAL_S
        self._summary: CellSummary | None = None
        if seen.seen_s > float("-inf"):
            self.core.on_config(seen.view, clock_s())

    def on_tick(self) -> None:
        """Let the decisions act, and scan the queue when due."""
        now_s = clock_s()
        self.core.on_tick(now_s)
        self._carry_out()
        if now_s >= self._scan_due_s and not self._scanning:
            self._scan_due_s = now_s + self._settings.queue_scan_s
            self._scan()
        if now_s >= self._summary_due_s:
            self._summary_due_s = now_s + SUMMARY_INTERVAL_S
            self._publish_summary()

    def _carry_out(self) -> None:
        for action in self.core.take_actions():
            self._do(action)

    @singledispatchmethod
    def _do(self, action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_do.register(SendReserve)
    @_do.register(SendStart)
    @_do.register(SendBegin)
    @_do.register(SendStop)
    def _(self, action) -> None:
        link = self._links.get(action.worker)
        if link is not None:
            link.send(action, partial(self._replied, action))

    @_do.register
    def _(self, action: CommitJob) -> None:
        future = self.store.threads.submit(self.store.commit, action)
        future.add_done_callback(
            lambda f: self.post(self._committed, action, f.result())
        )

    @_do.register
    def _(self, action: ReloadJob) -> None:
        self._read_jobs([action.job])

    @_do.register
    def _(self, action: Record) -> None:
        self.metrics.count(action.event)
        bound = logger.bind(
            job=action.job,
            attempt=action.attempt,
            epoch=self.held.epoch,
            config_version=self.core.state.view.version,
            event=action.event,
            cell=self.held.cell,
        )
        bound.info(action.cause)

    def _replied(self, order, result) -> None:
        self.core.on_order_reply(order, result, clock_s())
        self._carry_out()

    def _committed(self, commit: CommitJob, result: CommitResult) -> None:
        self.core.on_commit(commit, result.status, result.version, clock_s())
        self._carry_out()

    def _read_jobs(self, jobs: list[str]) -> None:
        future = self.store.threads.submit(self.store.read, jobs)
        future.add_done_callback(lambda f: self.post(self._jobs_read, jobs, f))

    def _jobs_read(self, jobs: list[str], future: Future) -> None:
        now_s = clock_s()
        if future.exception() is not None:
            for job in jobs:
                self.core.on_reload_failed(job, now_s)
            return
        for job in future.result():
            self.core.on_job(job.row, job.version, job.operation, now_s)
        self._carry_out()

    def _scan(self) -> None:
        self._scanning = True
        known = set(self.core.state.jobs) if self.core.state.loaded else set()
        future = self.store.threads.submit(self._read_unknown, known)
        future.add_done_callback(lambda f: self.post(self._scanned, f))

    def _read_unknown(self, known: set[str]) -> list[StoredJob]:
        return self.store.read([job for job in self.store.queued() if job not in known])

    def _scanned(self, future: Future) -> None:
        self._scanning = False
        error = future.exception()
        if error is not None:
            logger.bind(cell=self.held.cell).warning(
                "the queue could not be read: {}", error
            )
            return
        now_s = clock_s()
        if self.core.state.loaded:
            for job in future.result():
                self.core.on_job(job.row, job.version, job.operation, now_s)
        else:
            self.core.load([(job.row, job.version) for job in future.result()], now_s)
            logger.bind(cell=self.held.cell).info(
                "{} jobs were loaded", len(future.result())
            )
        self._carry_out()

    def wake(self, job: str = "") -> None:
        """Look at a job's row now, or at the whole queue."""
        if job and self.core.state.loaded:
            self._read_jobs([job])
        else:
            self._scan_due_s = 0.0

    def config_changed(self, seen: Seen) -> None:
        """Take in a view of the configuration."""
        newer = seen.view is not self._seen.view
        self._seen = seen
        if newer:
            self.core.on_config(seen.view, clock_s())
            self._carry_out()

    def push_out(self, domain: str) -> None:
        """Tell all workers of a failure domain at once that it is out."""
        for link in self._links.values():
            link.push_out(domain)

    def on_beat(self, beat: control_pb2.Beat) -> control_pb2.BeatReply:
        """Take in a worker's heartbeat."""
        now_s = clock_s()
        if beat.HasField("info"):
            known = self._links.get(beat.target)
            if known is None or known.address != beat.info.address:
                self._links[beat.target] = AgentLink(
                    beat.info.address, self._pool, self._context, self.post
                )
        answer = self.core.on_beat(beat_event(beat), now_s)
        self._carry_out()
        return self._beat_reply(beat.target, answer)

    def _view_of(self, worker: str) -> WorkerView:
        """Return the view that a reservation carries to its worker."""
        known = self.core.state.fleet.workers.get(worker)
        out = known is not None and self.core.state.domain_out(known.info.domain)
        return WorkerView(self._seen.view.version, out, self._seen.age_s())

    def _beat_reply(self, target: str, answer) -> control_pb2.BeatReply:
        renew = self._may_renew()
        interval_s = self._pace()
        worker = self.core.state.fleet.workers.get(target)
        domain_out = worker is not None and self.core.state.domain_out(
            worker.info.domain
        )
        return control_pb2.BeatReply(
            accepted=True,
            epoch=self.held.epoch,
            config_version=self._seen.view.version,
            domain_out=domain_out,
            view_age_s=min(1e9, self._seen.age_s()),
            lease_duration_s=self.core.state.timings.lease_duration_s if renew else 0.0,
            want_full=answer.want_full,
            acknowledged=answer.acknowledged,
            unknown=answer.unknown,
            interval_s=interval_s,
        )

    def _pace(self) -> float:
        """Return the interval of heartbeats; leases and silences follow it."""
        interval_s = heartbeat_interval_s(self._settings, len(self.core.state.workers))
        if interval_s != self._interval_s:
            self._interval_s = interval_s
            self.core.set_timings(timings_for(self._settings, interval_s))
            self._context.lease_duration_s = self.core.state.timings.lease_duration_s
        return interval_s

    def _publish_summary(self) -> None:
        summary = summary_of(self.core)
        if summary == self._summary:
            return
        before, self._summary = self._summary, summary
        puts = {Key.summary(self.held.cell): encode(head_of(summary))}
        if before is None or before.workers != summary.workers:
            puts[Key.workers(self.held.cell)] = encode(summary)
        transaction = Transaction(new_id("summary"), {}, puts)
        future = self.store.threads.submit(self._table.transact, transaction)
        future.add_done_callback(lambda f: self.post(self._summary_stored, f))

    def _summary_stored(self, future: Future) -> None:
        if isinstance(future.exception(), PlatformError):
            self._summary = None

    def targets(self) -> list[dict]:
        """Return what is known of the cell's workers."""
        state = self.core.state
        rows = []
        for name, worker in sorted(state.fleet.workers.items()):
            known = state.workers[name]
            rows.append(
                {
                    "name": name,
                    "kind": "worker",
                    "cell": self.held.cell,
                    "domain": worker.info.domain,
                    "rack": worker.info.rack,
                    "accelerators": worker.info.accelerators,
                    "free": worker.free,
                    "silent": known.silent,
                    "leaving": known.leaving,
                    "probation": state.health.on_probation(name),
                    "domain_out": state.domain_out(worker.info.domain),
                }
            )
        return rows

    def status(self) -> dict:
        """Return the numbers of the cell."""
        state = self.core.state
        return {
            "cell": self.held.cell,
            "epoch": self.held.epoch,
            "workers": len(state.workers),
            "queued": len(state.queue),
            "attempts": len(state.attempts),
            "guarantees_at_risk": [
                {"workspace": workspace, "accelerators": shape.accelerators}
                for workspace, shape in state.layout.missing
            ],
        }

    def describe(self) -> dict:
        """Return the numbers of the cell and its workers."""
        return {"status": self.status(), "targets": self.targets()}

    def stop_placing(self) -> None:
        """Start no more jobs; what is under way is finished."""
        self.core.state.stopping = True

    def unsettled(self) -> int:
        """Return how many attempts are between their placement and their start."""
        return sum(
            attempt.phase in UNSETTLED_PHASES
            for attempt in self.core.state.attempts.values()
        )
