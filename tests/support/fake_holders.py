"""A fake table, and a holder of a cell that runs the real decision logic on it."""

from __future__ import annotations

import itertools

from cicadabank.decisions import (
    CellCore,
    CellTimings,
    CommitJob,
    CommitStatus,
    OrderResult,
    ReloadJob,
    SendBegin,
    SendReserve,
    SendStart,
    SendStop,
)
from cicadabank.model import JobRow

CONFIG_POLL_INTERVAL_S = 0.5
RESERVE_TIMEOUT_S = 1.4
ORDER_TIMEOUT_S = 2.4
LEASE_S = 10.0
OUTAGE_LEASE_S = 20.0


class FakeTable:
    """Versioned job rows, and the epoch of the cell."""

    def __init__(self):
        self.rows: dict[str, tuple[JobRow, int, str]] = {}
        self.epoch = 0
        self.down = False
        self._versions = itertools.count(1)

    def put(self, row, version, operation):
        """Write a row if its version matches; return the new version, or None."""
        if self.rows.get(row.job, (None, 0, ""))[1] != version:
            return None
        new_version = next(self._versions)
        self.rows[row.job] = (row, new_version, operation)
        return new_version

    def open_jobs(self):
        rows = [(row, v) for row, v, _ in self.rows.values() if not row.terminal]
        return sorted(rows)


class FakeHolder:
    """Holder of a cell: the real decision logic with simulated input and output.

    It is not `alive` once it was killed or fenced. It is `loading` from the start of
    its first read of the jobs, and `loaded` once that is complete. `view_seen_s` is the
    time of the last successful poll of the configuration.
    """

    def __init__(self, world):
        self.world = world
        world.table.epoch += 1
        self.epoch = world.table.epoch
        self.alive = True
        self.frozen = False
        self.view_seen_s = world.now_s
        self.poll_due_s = 0.0
        self.core = CellCore(
            "lakes",
            self.epoch,
            world.now_s,
            CellTimings(lease_duration_s=LEASE_S, outage_lease_s=OUTAGE_LEASE_S),
            lambda: world.now_s,
            world.make_id,
        )
        self.loading = False
        self.loaded = False

    def tick(self):
        if not self.alive or self.frozen:
            return
        world = self.world
        if not world.table.down and world.now_s >= self.poll_due_s:
            self.poll_due_s = world.now_s + CONFIG_POLL_INTERVAL_S
            self._poll()
        self.core.on_tick(world.now_s)
        self.execute_actions()

    def _poll(self):
        world = self.world
        if world.table.epoch != self.epoch:
            self.alive = False
            return
        self.view_seen_s = world.now_s
        if world.view is not self.core.state.view:
            self.core.on_config(world.view, world.now_s)
        rows = world.table.open_jobs()
        if not self.loaded:
            self._load(rows)
            return
        for row, version in rows:
            if row.job not in self.core.state.jobs or row.cancel_requested:
                operation = world.table.rows[row.job][2]
                self.core.on_job(row, version, operation, world.now_s)

    def _load(self, rows):
        """Load the jobs after the read delay; heartbeats may arrive before that."""
        if self.loading:
            return
        self.loading = True

        def load():
            self.loaded = True
            if self.alive:
                self.core.load(rows, self.world.now_s)

        delay_s = self.world.load_delay_s
        if delay_s:
            self.world.after(delay_s, lambda: self.world.call_when_resumed(self, load))
        else:
            load()

    def execute_actions(self):
        for action in self.core.take_actions():
            self._execute(action)

    def _execute(self, action):
        world = self.world
        if isinstance(action, (SendReserve, SendStart, SendBegin, SendStop)):
            if action.attempt in self.core.state.attempts:
                job = self.core.state.attempts[action.attempt].job
                world.job_by_attempt[action.attempt] = job
            self._send(action)
        elif isinstance(action, CommitJob):
            world.after(
                world.delay() + world.table_delay_s, lambda: self._commit(action)
            )
        elif isinstance(action, ReloadJob):
            world.after(world.delay(), lambda: self._reload(action.job))

    def _send(self, order):
        world = self.world
        reserve = isinstance(order, SendReserve)
        timeout_s = RESERVE_TIMEOUT_S if reserve else ORDER_TIMEOUT_S
        sent_s = world.now_s

        def reply(result):
            if self.alive:
                world.call_when_resumed(self, lambda: self._on_reply(order, result))

        def deliver():
            agent = world.agents[order.worker]
            world.before_order(order)
            if agent.disconnected or agent.frozen or world.message_lost():
                remaining_timeout_s = max(0.0, sent_s + timeout_s - world.now_s)
                world.after(remaining_timeout_s, lambda: reply(OrderResult(False)))
                return
            result = agent.order(order, self.epoch)
            world.after_order(order)
            if agent.disconnected or agent.frozen or world.message_lost():
                remaining_timeout_s = max(0.0, sent_s + timeout_s - world.now_s)
                world.after(remaining_timeout_s, lambda: reply(OrderResult(False)))
            else:
                world.after(world.delay(), lambda: reply(result))

        world.after(world.delay(), deliver)

    def _on_reply(self, order, result):
        self.core.on_order_reply(order, result, self.world.now_s)
        self.execute_actions()

    def _commit(self, commit):
        status, version = self._try_commit(commit)

        def apply_result():
            if self.alive:
                self.core.on_commit(commit, status, version or 0, self.world.now_s)
                self.execute_actions()
                if self.core.state.fenced:
                    self.alive = False

        self.world.call_when_resumed(self, apply_result)

    def _try_commit(self, commit):
        table = self.world.table
        if table.down:
            return CommitStatus.UNKNOWN, 0
        if table.epoch != self.epoch:
            return CommitStatus.FENCED, 0
        version = table.put(commit.row, commit.version, commit.operation)
        self.world.record_row(commit.row, version)
        if self.world.message_lost():
            return CommitStatus.UNKNOWN, 0
        if version is None:
            _row, version, operation = table.rows[commit.job]
            if operation == commit.operation:
                return CommitStatus.COMMITTED, version
            return CommitStatus.CONFLICT, 0
        return CommitStatus.COMMITTED, version

    def _reload(self, job):
        if not self.alive:
            return
        if self.world.table.down:
            self.core.on_reload_failed(job, self.world.now_s)
        else:
            row, version, operation = self.world.table.rows[job]
            self.core.on_job(row, version, operation, self.world.now_s)
        self.execute_actions()
