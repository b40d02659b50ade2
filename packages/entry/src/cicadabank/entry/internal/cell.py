"""The actor of one held cell: runs the actions that its `CellCore` decides on."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from functools import partial, singledispatchmethod

from cicadabank.decisions import (
    CellCore,
    CommitJob,
    LogDecision,
    ReloadJob,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.entry.internal.agent_client import (
    AgentClient,
    OrderBuilder,
    WorkerConfig,
    heartbeat_event,
)
from cicadabank.entry.internal.cell_summary import CellSummary, summarize, summary_head
from cicadabank.entry.internal.config import ConfigSnapshot
from cicadabank.entry.internal.heartbeat_timing import heartbeat_interval_s, timings_for
from cicadabank.entry.internal.job_store import CommitResult, JobStore, StoredJob
from cicadabank.entry.internal.session import HeldCell
from cicadabank.model import Key, encode, new_id
from cicadabank.settings import EntrySettings
from cicadabank.store import ObjectClient, PlatformError, TableClient, Transaction
from cicadabank.tasks import Actor, Metrics, clock_s, unix_s
from cicadabank.wire import ChannelPool, control_pb2
from loguru import logger

TICK_S = 0.1
SUMMARY_INTERVAL_S = 2.0
DIRECT_FRESHNESS_S = 3.0
TRANSITIONAL_PHASES = frozenset(
    {"claiming", "reserving", "committing", "starting", "beginning", "saving"}
)


class CellActor(Actor):
    """Owns the state of one held cell.

    Parameters
    ----------
    held : HeldCell
        The cell and the epoch under which it was acquired.
    may_renew : callable
        Returns whether workers' leases may be renewed. During an outage of the table
        they are renewed for a limited time.
    """

    def __init__(
        self,
        settings: EntrySettings,
        held: HeldCell,
        table: TableClient,
        objects: ObjectClient,
        pool: ChannelPool,
        snapshot: ConfigSnapshot,
        may_renew: Callable[[], bool],
    ):
        super().__init__(TICK_S)
        self.held = held
        self._settings = settings
        self._table = table
        self._objects = objects
        self._pool = pool
        self._may_renew = may_renew
        self._snapshot = snapshot
        self.metrics = Metrics(settings.statsd, f"cicadabank.cell.{held.cell}")
        self.core = CellCore(held.cell, held.epoch, clock_s(), settings.timings, unix_s)
        self.store = JobStore(
            table, objects, held.cell, held.version, settings.limits.answer_inline_bytes
        )
        self._order_builder = OrderBuilder(
            held.cell,
            held.epoch,
            settings.timings.lease_duration_s,
            self._worker_config,
        )
        self._agent_clients: dict[str, AgentClient] = {}
        self._heartbeat_interval_s = 0.0
        self._scan_due_s = 0.0
        self._scanning = False
        self._summary_due_s = clock_s() + SUMMARY_INTERVAL_S
        self._summary: CellSummary | None = None
        if snapshot.confirmed_s > float("-inf"):
            self.core.on_config(snapshot.view, clock_s())

    def on_tick(self) -> None:
        """Run the core's timers; when due, scan the queue and publish the summary."""
        now_s = clock_s()
        self.core.on_tick(now_s)
        self._run_actions()
        if now_s >= self._scan_due_s and not self._scanning:
            self._scan_due_s = now_s + self._settings.queue_scan_s
            self._scan_queue()
        if now_s >= self._summary_due_s:
            self._summary_due_s = now_s + SUMMARY_INTERVAL_S
            self._publish_summary()

    def _run_actions(self) -> None:
        for action in self.core.take_actions():
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_execute.register(SendReserve)
    @_execute.register(SendStart)
    @_execute.register(SendBegin)
    @_execute.register(SendStop)
    def _(self, action) -> None:
        client = self._agent_clients.get(action.worker)
        if client is not None:
            client.send(action, partial(self._on_order_reply, action))

    @_execute.register
    def _(self, action: CommitJob) -> None:
        future = self.store.threads.submit(self.store.commit, action)
        future.add_done_callback(
            lambda f: self.post(self._on_commit_done, action, f.result())
        )

    @_execute.register
    def _(self, action: ReloadJob) -> None:
        self._read_jobs([action.job])

    @_execute.register
    def _(self, action: LogDecision) -> None:
        self.metrics.count(action.event)
        job_logger = logger.bind(
            job=action.job,
            attempt=action.attempt,
            epoch=self.held.epoch,
            config_version=self.core.state.view.version,
            event=action.event,
            cell=self.held.cell,
        )
        job_logger.info(action.cause)

    def _on_order_reply(self, order, result) -> None:
        self.core.on_order_reply(order, result, clock_s())
        self._run_actions()

    def _on_commit_done(self, commit: CommitJob, result: CommitResult) -> None:
        self.core.on_commit(commit, result.status, result.version, clock_s())
        self._run_actions()

    def _read_jobs(self, jobs: list[str]) -> None:
        future = self.store.threads.submit(self.store.read, jobs)
        future.add_done_callback(lambda f: self.post(self._on_jobs_read, jobs, f))

    def _on_jobs_read(self, jobs: list[str], future: Future) -> None:
        now_s = clock_s()
        if future.exception() is not None:
            # The core schedules another read if the outcome of a write is unknown.
            for job in jobs:
                self.core.on_reload_failed(job, now_s)
            return
        for job in future.result():
            self.core.on_job(job.row, job.version, job.operation, now_s)
        self._run_actions()

    def _scan_queue(self) -> None:
        self._scanning = True
        loaded_jobs = set(self.core.state.jobs) if self.core.state.loaded else set()
        future = self.store.threads.submit(self._read_new_jobs, loaded_jobs)
        future.add_done_callback(lambda f: self.post(self._on_queue_scanned, f))

    def _read_new_jobs(self, loaded_jobs: set[str]) -> list[StoredJob]:
        return self.store.read(
            [job for job in self.store.unfinished_jobs() if job not in loaded_jobs]
        )

    def _on_queue_scanned(self, future: Future) -> None:
        self._scanning = False
        error = future.exception()
        if error is not None:
            logger.bind(cell=self.held.cell).warning(
                "the queue of the cell could not be read: {}", error
            )
            return
        now_s = clock_s()
        if self.core.state.loaded:
            for job in future.result():
                self.core.on_job(job.row, job.version, job.operation, now_s)
        else:
            self.core.load([(job.row, job.version) for job in future.result()], now_s)
            logger.bind(cell=self.held.cell).info(
                "{} jobs were loaded from the queue", len(future.result())
            )
        self._run_actions()

    def on_job_changed(self, job: str = "") -> None:
        """Read a job's row now; without an id, scan the queue at the next tick."""
        if job and self.core.state.loaded:
            self._read_jobs([job])
        else:
            self._scan_due_s = 0.0

    def on_config_confirmed(self, snapshot: ConfigSnapshot) -> None:
        """Apply the configuration as last read; it may be unchanged."""
        view_changed = snapshot.view is not self._snapshot.view
        self._snapshot = snapshot
        if view_changed:
            self.core.on_config(snapshot.view, clock_s())
            self._run_actions()

    def mark_domain_out(self, domain: str) -> None:
        """Tell all workers of the cell at once that a failure domain is out of service.

        Each agent checks whether it is in that domain.
        """
        for client in self._agent_clients.values():
            client.mark_domain_out(domain)

    def on_heartbeat(self, heartbeat: control_pb2.Beat) -> control_pb2.BeatReply:
        """Apply a worker's heartbeat and return the reply to it."""
        now_s = clock_s()
        if heartbeat.HasField("info"):
            client = self._agent_clients.get(heartbeat.target)
            if client is None or client.address != heartbeat.info.address:
                self._agent_clients[heartbeat.target] = AgentClient(
                    heartbeat.info.address, self._pool, self._order_builder, self.post
                )
        heartbeat_result = self.core.on_heartbeat(heartbeat_event(heartbeat), now_s)
        self._run_actions()
        return self._heartbeat_reply(heartbeat.target, heartbeat_result)

    def _worker_config(self, worker: str) -> WorkerConfig:
        """Return the configuration that a reservation carries to its worker."""
        fleet_worker = self.core.state.fleet.workers.get(worker)
        domain_out = fleet_worker is not None and self.core.state.domain_out(
            fleet_worker.info.domain
        )
        return WorkerConfig(
            self._snapshot.view.version, domain_out, self._snapshot.age_s()
        )

    def _heartbeat_reply(self, target: str, heartbeat_result) -> control_pb2.BeatReply:
        renew_leases = self._may_renew()
        interval_s = self._update_heartbeat_interval()
        worker = self.core.state.fleet.workers.get(target)
        domain_out = worker is not None and self.core.state.domain_out(
            worker.info.domain
        )
        return control_pb2.BeatReply(
            accepted=True,
            epoch=self.held.epoch,
            config_version=self._snapshot.view.version,
            domain_out=domain_out,
            view_age_s=min(1e9, self._snapshot.age_s()),
            lease_duration_s=self.core.state.timings.lease_duration_s
            if renew_leases
            else 0.0,
            want_full=heartbeat_result.want_full,
            acknowledged=heartbeat_result.acknowledged,
            unknown=heartbeat_result.unknown,
            interval_s=interval_s,
        )

    def _update_heartbeat_interval(self) -> float:
        """Return the heartbeat interval, and adapt the core's timings to it."""
        interval_s = heartbeat_interval_s(self._settings, len(self.core.state.workers))
        if interval_s != self._heartbeat_interval_s:
            self._heartbeat_interval_s = interval_s
            self.core.set_timings(timings_for(self._settings, interval_s))
            self._order_builder.lease_duration_s = (
                self.core.state.timings.lease_duration_s
            )
        return interval_s

    def _publish_summary(self) -> None:
        summary = summarize(self.core)
        if summary == self._summary:
            return
        previous, self._summary = self._summary, summary
        puts = {Key.summary(self.held.cell): encode(summary_head(summary))}
        if previous is None or previous.workers != summary.workers:
            puts[Key.workers(self.held.cell)] = encode(summary)
        transaction = Transaction(new_id("summary"), {}, puts)
        future = self.store.threads.submit(self._table.transact, transaction)
        future.add_done_callback(lambda f: self.post(self._on_summary_stored, f))

    def _on_summary_stored(self, future: Future) -> None:
        if isinstance(future.exception(), PlatformError):
            # The next interval stores the summary again.
            self._summary = None

    def targets(self) -> list[dict]:
        """Return the state of each of the cell's workers, by name."""
        state = self.core.state
        rows = []
        for name, worker in sorted(state.fleet.workers.items()):
            worker_state = state.workers[name]
            rows.append(
                {
                    "name": name,
                    "kind": "worker",
                    "cell": self.held.cell,
                    "domain": worker.info.domain,
                    "rack": worker.info.rack,
                    "accelerators": worker.info.accelerators,
                    "free": worker.free,
                    "silent": worker_state.silent,
                    "leaving": worker_state.leaving,
                    "probation": state.health.on_probation(name),
                    "domain_out": state.domain_out(worker.info.domain),
                }
            )
        return rows

    def status(self) -> dict:
        """Return the cell's epoch, its counts and its guarantees at risk."""
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
        """Return the state of the cell and of its workers."""
        return {"status": self.status(), "targets": self.targets()}

    def stop_placing(self) -> None:
        """Place no more jobs; starts in progress are completed."""
        self.core.state.stopping = True

    def attempts_in_transition(self) -> int:
        """Return the number of attempts that are starting or storing their outcome."""
        return sum(
            attempt.phase in TRANSITIONAL_PHASES
            for attempt in self.core.state.attempts.values()
        )
