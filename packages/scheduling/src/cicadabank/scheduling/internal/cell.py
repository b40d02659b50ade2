"""Event handlers of the scheduler of one cell."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from cicadabank.scheduling.internal import (
    contacts,
    crashes,
    drains,
    lifecycle,
    notes,
    planner,
    reliability,
    reports,
    valuation,
)
from cicadabank.scheduling.internal.jobs import (
    Configuration,
    JobRecord,
    QueueConfig,
    RunId,
)
from cicadabank.scheduling.internal.notes import Note
from cicadabank.scheduling.internal.policy import SchedulingPolicy
from cicadabank.scheduling.internal.reports import ReportReply
from cicadabank.scheduling.internal.rows import (
    RUN_PREFIX,
    JobProgressRow,
    TargetSpeedsRow,
    pack_progress,
    restore_job,
)
from cicadabank.scheduling.internal.state import (
    AgentOrders,
    CellState,
    Commit,
    Log,
    RowChange,
    Timings,
    no_log,
)
from cicadabank.scheduling.internal.targets import Report
from cicadabank.scheduling.internal.units import (
    Job,
    Phase,
    TargetIncarnation,
)

# Conditions, writes and removals that the store takes in one transaction.
MAX_COMMIT_ENTRIES = 100
# Entries left to the holder, which adds its own condition and rows to each commit.
RESERVED_COMMIT_ENTRIES = 10
# A job's row takes an entry as a condition and one as a write.
MAX_ROWS_PER_COMMIT = (MAX_COMMIT_ENTRIES - RESERVED_COMMIT_ENTRIES) // 2
# Size of the jobs' rows in a commit. The store takes 1 MB, and a third of it is lost to
# the encoding of the rows.
MAX_COMMIT_BYTES = 600_000
# Agents that are contacted at a time and have not reported yet. Each registers with two
# reports and a connection in both directions, so that a new holder that contacted all
# at once would reply to none in time.
MAX_OPEN_CONTACTS = 8
NO_NOTES: Mapping[str, Note] = MappingProxyType({})


class CellScheduler:
    """Schedules the jobs of one cell.

    Performs no I/O and reads no clock: the caller passes in events and the current
    time, and collects the commits and orders that result. Once another entry holds the
    cell, this holder is fenced: it issues no more commits and orders.

    Parameters
    ----------
    cell : str
    epoch : int
        Epoch under which this holder acquired the cell. Targets reject orders of lower
        epochs.
    now_s : float
        Time of the takeover.
    timings : Timings, optional
    log : callable, default=no_log
        Called with the name of an event and its fields.
    policy : SchedulingPolicy, optional
        Optional decisions that operators have switched on.
    """

    def __init__(
        self,
        cell: str,
        epoch: int,
        now_s: float,
        timings: Timings | None = None,
        log: Log = no_log,
        policy: SchedulingPolicy | None = None,
    ):
        self.state = CellState(cell, epoch, now_s, timings or Timings(), log, policy)

    def load(
        self,
        jobs: Iterable[tuple[JobRecord, JobProgressRow | None, int]],
        cancelled: Iterable[str],
        now_s: float,
        lease_expiry_s: float | None = None,
        speeds: TargetSpeedsRow | None = None,
        known: Mapping[str, Note] = NO_NOTES,
    ) -> None:
        """Restore the cell's state from the store after a takeover.

        Parameters
        ----------
        jobs : iterable of (JobRecord, JobProgressRow or None, int)
            Each job with its progress row, if it has one, and the version of that row.
        cancelled : iterable of str
            Ids of the jobs whose clients have requested cancellation.
        now_s : float
        lease_expiry_s : float, default=None
            Time in seconds after which every lease granted by an earlier holder has
            expired, by the targets' clocks. Defaults to ``Timings.outage_s``, which
            also covers an earlier holder that still runs but is cut off from the store.
        speeds : TargetSpeedsRow, default=None
            What an earlier holder has learned of the speeds of targets.
        known : mapping of str to TargetShapeRow or QueueConfig, optional
            What earlier holders have noted, by the keys of the rows.
        """
        state = self.state
        state.now_s = now_s
        # Before the load, the store's clock may not have been known.
        state.absent_targets = {
            agent: absent._replace(since_store_s=state.store_now_s)
            for agent, absent in state.absent_targets.items()
        }
        notes.restore_notes(state, known)
        if speeds is not None:
            state.speeds.restore(speeds.estimates)
        for record, row, version in jobs:
            job = restore_job(record, row, version, now_s)
            self._add_job(job)
            lifecycle.await_begin_after_takeover(state, job)
            for unit in job.units:
                # Others may share their targets; the rows don't tell.
                if unit.members and crashes.needs_isolation(unit):
                    unit.isolated = True
                    state.isolated_units.append(unit)
                for member_index, member in enumerate(unit.members):
                    state.allocate(unit, member_index, member)
        lease_expiry_s = (
            state.timings.outage_s if lease_expiry_s is None else lease_expiry_s
        )
        lease_expiry_s *= 1.0 + state.timings.clock_drift
        for target_incarnation in state.members_by_incarnation:
            if target_incarnation not in state.targets_by_incarnation:
                state.unreported_lease_until_s[target_incarnation] = (
                    now_s + lease_expiry_s
                )
        state.loaded = True
        state.loaded_s = now_s
        for job_id in cancelled:
            self.on_cancel(job_id, now_s)

    def _add_job(self, job: Job) -> None:
        state, record = self.state, job.record
        state.jobs[record.job] = job
        for step in record.steps:
            state.forecast.add_declared(record.queue, step.estimate_s)
        count, mean = state.mean_work.get(record.queue, (0, 0.0))
        mean += (valuation.work_core_s(state, job) - mean) / (count + 1)
        state.mean_work[record.queue] = (count + 1, mean)
        if state.queue_of(record).priority == 0:
            first_step_sizes = (
                unit.accelerators for unit in job.units if not unit.spec.after
            )
            state.urgent_sizes.append(sum(first_step_sizes))
        if not job.ended:
            state.open_jobs[record.job] = job
            state.changed_queues.add(record.queue)

    def on_config(self, config: Configuration, now_s: float) -> None:
        """Apply a configuration unless it is older than the current one."""
        self.state.now_s = now_s
        if config.version >= self.state.config.version:
            self.state.config = config
            for name, queue in config.queues().items():
                if self.state.queues.get(name) != queue:
                    self._on_queue_changed(queue)
            self.state.guarantees = config.guarantees()

    def _on_queue_changed(self, queue: QueueConfig) -> None:
        state = self.state
        state.queues[queue.name] = queue
        if any(job.record.queue == queue.name for job in state.open_jobs.values()):
            state.changed_queues.add(queue.name)

    def on_domains_out(self, domains: frozenset[str], now_s: float) -> None:
        """Replace the set of failure domains that receive no new tasks."""
        self.state.now_s = now_s
        self.state.domains_out = domains

    def on_job(self, record: JobRecord, now_s: float) -> None:
        """Add an accepted job; does nothing if the job is already known."""
        self.state.now_s = now_s
        if record.job not in self.state.jobs:
            self._add_job(Job(record))

    def on_cancel(self, job: str, now_s: float) -> None:
        """Cancel a job at its client's request; unknown jobs are ignored."""
        self.state.now_s = now_s
        known = self.state.jobs.get(job)
        if known is not None:
            lifecycle.cancel_job(self.state, known)

    def on_report(self, report: Report, now_s: float, may_renew: bool) -> ReportReply:
        """Process an agent's report and return the reply.

        Parameters
        ----------
        report : Report
        now_s : float
        may_renew : bool
            Whether the reply may renew the target's lease.
        """
        self.state.now_s = now_s
        if report.agent not in self.state.last_contact_attempt_s:
            self.state.add_agent(report.agent)
            self.state.last_contact_attempt_s[report.agent] = now_s
        reply = reports.process_report(self.state, report, may_renew)
        target = self.state.targets.get(report.agent)
        if target is not None and not target.out_of_contact:
            contacts.on_heard(self.state, target)
        return reply

    def on_order_reply(
        self,
        target_incarnation: TargetIncarnation,
        started: Iterable[RunId],
        heard_s: float,
        now_s: float,
    ) -> list[RunId]:
        """Process a reply to accepted orders; return the starts that it confirms.

        Parameters
        ----------
        started : iterable of RunId
            The ordered starts that the target has confirmed.
        heard_s : float
            When the reply arrived.
        """
        self.state.now_s = now_s
        contacts.on_reply(self.state, target_incarnation, heard_s)
        return reports.confirm_starts(self.state, target_incarnation, started)

    def on_order_failed(
        self, target_incarnation: TargetIncarnation, sent_s: float, now_s: float
    ) -> None:
        """Record that orders sent at a time were refused or got no reply."""
        self.state.now_s = now_s
        contacts.on_no_reply(self.state, target_incarnation, sent_s)

    def on_target_terminated(self, agent: str, now_s: float) -> None:
        """Remove a target that has terminated."""
        self.state.now_s = now_s
        target = self.state.targets.get(agent)
        if target is not None:
            reports.remove_target(self.state, target, "the target has terminated")

    def on_agent(self, agent: str) -> None:
        """Register an agent, to be contacted if it does not report."""
        self.state.add_agent(agent)

    def on_agent_started(self, agent: str) -> None:
        """Register a newly started agent, which does not know the holder yet."""
        state = self.state
        state.add_agent(agent)
        state.started_agents.add(agent)
        # Its VM is up, so its target is likely to come back now.
        absent = state.absent_targets.get(agent)
        if absent is not None:
            state.absent_targets[agent] = absent._replace(
                since_store_s=state.store_now_s
            )

    def on_agent_removed(self, agent: str) -> None:
        """Stop contacting an agent that was removed."""
        self.state.last_contact_attempt_s.pop(agent, None)
        self.state.absent_targets.pop(agent, None)
        self.state.speeds.forget(agent)
        reliability.forget(self.state, agent)
        self.state.lost_contacts.discard(agent)

    def tick(self, now_s: float) -> None:
        """Expire leases and probations, move work off draining targets, and plan."""
        self.state.now_s = now_s
        reports.expire_leases(self.state)
        lifecycle.note_unbegun_jobs(self.state)
        crashes.end_probations(self.state)
        drains.withdraw_unconfirmed_starts(self.state)
        drains.stop_work_on_draining_targets(self.state)
        contacts.advance_all(self.state)
        planner.plan(self.state)

    def agents_to_contact(self, now_s: float) -> list[str]:
        """Return the agents to tell now which entry holds the cell.

        These are newly started agents and those that have not reported for
        ``Timings.contact_after_s``, nor been contacted for ``contact_retry_s``. Of the
        latter, only as many are returned as report; the ones contacted longest ago come
        first. They are marked as contacted now.
        """
        state, timings = self.state, self.state.timings
        silent, open_contacts = [], 0
        for agent, last_attempt_s in state.last_contact_attempt_s.items():
            if agent in state.started_agents:
                continue
            target = state.targets.get(agent)
            last_report_s = target.last_report_s if target else float("-inf")
            since_attempt_s = now_s - last_attempt_s
            if since_attempt_s < timings.contact_retry_s:
                is_open = last_report_s < last_attempt_s
                open_contacts += is_open and since_attempt_s < timings.contact_reply_s
            elif now_s - last_report_s >= timings.contact_after_s:
                silent.append((last_attempt_s, agent))
        silent.sort()
        room = max(0, MAX_OPEN_CONTACTS - open_contacts)
        started = state.started_agents & state.last_contact_attempt_s.keys()
        due = [*started, *(agent for _, agent in silent[:room])]
        for agent in due:
            state.last_contact_attempt_s[agent] = now_s
        state.started_agents.clear()
        return due

    def take_orders(self) -> list[AgentOrders]:
        """Return and clear the pending orders; empty if this holder is fenced."""
        batches = [
            batch
            for batch in self.state.orders.values()
            if batch.starts or batch.stops or batch.recorded or batch.asks_for_reply
        ]
        self.state.orders = {}
        return [] if self.state.fenced else batches

    def take_commit(self) -> Commit | None:
        """Return the next rows to write.

        Returns
        -------
        Commit or None
            None if a commit is in flight, nothing has changed, or the holder is fenced.
        """
        state = self.state
        if state.fenced or state.in_flight is not None or not state.dirty:
            return None
        jobs, rows = self._take_dirty_rows()
        starting = tuple(
            (unit, unit.run)
            for job in jobs
            for unit in job.units
            if unit.phase is Phase.COMMITTING
        )
        recorded = ()
        # A target may forget an ended run once it is acknowledged. Runs are therefore
        # acknowledged only by a commit that leaves no changed row unwritten.
        if not state.dirty:
            recorded = tuple(
                (t.target_incarnation, t.processed_sequence)
                for t in state.targets.values()
            )
        job_ids = tuple(job.record.job for job in jobs)
        state.in_flight = Commit(tuple(rows), job_ids, starting, recorded)
        return state.in_flight

    def _take_dirty_rows(self) -> tuple[list[Job], list[RowChange]]:
        """Return as many changed jobs as one commit can take, with their rows."""
        dirty = self.state.dirty
        jobs, rows, size_bytes = [], [], 0
        for job in list(dirty.values())[:MAX_ROWS_PER_COMMIT]:
            value = pack_progress(job)
            size_bytes += len(value)
            if rows and size_bytes > MAX_COMMIT_BYTES:
                break
            del dirty[job.record.job]
            jobs.append(job)
            rows.append(RowChange(RUN_PREFIX + job.record.job, job.version, value))
        return jobs, rows

    def target_speeds(self) -> TargetSpeedsRow:
        """Return what has been learned of the speeds of targets, to be stored."""
        return TargetSpeedsRow(self.state.speeds.estimates())

    def take_changed_notes(self) -> dict[str, Note]:
        """Return and clear what the next holder should know, by the keys of rows."""
        return notes.take_changed_notes(self.state)

    def notes_on_absent_targets(self) -> dict[str, Note]:
        """Return what the next holder should know of targets that are absent."""
        return notes.notes_on_absent_targets(self.state)

    def on_committed(self, commit: Commit, version: int, now_s: float) -> None:
        """Process a successful commit and order the starts that depended on it."""
        state = self.state
        state.now_s = now_s
        state.in_flight = None
        for job_id in commit.jobs:
            state.jobs[job_id].version = version
        for target_incarnation, sequence in commit.recorded:
            target = state.targets_by_incarnation.get(target_incarnation)
            if target is not None and sequence > target.stored_sequence:
                target.stored_sequence = sequence
                state.orders_for(target).recorded = sequence
        contacts.on_committed(state, commit.starting)

    def on_fenced(self) -> None:
        """Stop issuing commits and orders: another entry holds the cell."""
        self.state.fenced = True
        self.state.in_flight = None
