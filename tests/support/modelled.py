"""Targets and their agents in memory, driven against a cell's real decisions."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cicadabank.scheduling import (
    CellScheduler,
    ConfigView,
    EndedRun,
    JobRecord,
    Need,
    Place,
    QueueView,
    Report,
    RouteView,
    RunId,
    RunningRun,
    RunRow,
    StepSpec,
    WorkspaceView,
    unpack,
)

STEP_S = 0.1
REPORT_S = 0.5
STOP_S = 0.2
SAVE_S = 1.0
FAR_FACTOR = 3.0
TARGET = Need(32_000, 131_072, 8)


class Ran(NamedTuple):
    """A run as its target saw it."""

    id: RunId
    target: str
    began_s: float
    ended_s: float
    how: str


class Work:
    """What a target runs."""

    def __init__(self, run: RunId, spec: StepSpec, began_s: float, left_s: float):
        self.run = run
        self.spec = spec
        self.began_s = began_s
        self.left_s = left_s
        self.total_s = left_s
        self.saved = ""
        self.saved_left_s = left_s
        self.stops_s = float("inf")


class ModelTarget:
    """A target and its agent; it starts whatever it is told."""

    def __init__(self, name: str, domain: str, rack: str, capacity: Need = TARGET):
        self.name = name
        self.domain = domain
        self.rack = rack
        self.capacity = capacity
        self.born = 1
        self.work: dict[RunId, Work] = {}
        self.ended: list[EndedRun] = []
        self.sequence = 0
        self.number = 0
        self.closed: set[RunId] = set()
        self.refused: dict[RunId, str] = {}
        self.gone: set[RunId] = set()
        self.silent = False
        self.fails_all = False
        self.draining = False
        self.remaining_s = 0.0
        self.lease_until_s = float("inf")
        self.over_capacity = 0
        self.recorded = 0

    @property
    def agent(self) -> str:
        """Address of the agent."""
        return f"agent-{self.name}"

    @property
    def place(self) -> Place:
        """This life of the target."""
        return Place(self.name, f"{self.name}/{self.born}", self.agent)

    def end(self, work: Work, how: str) -> None:
        """List a run as ended."""
        self.work.pop(work.run, None)
        self.closed.add(work.run)
        self.sequence += 1
        self.ended.append(EndedRun(self.sequence, work.run, how, work.saved))

    def reborn(self) -> None:
        """Start a new life, in which nothing is known of before."""
        self.born += 1
        self.sequence = self.number = self.recorded = 0
        for known in (self.work, self.ended, self.closed, self.refused, self.gone):
            known.clear()

    def report(self) -> Report:
        """Return what the agent reports."""
        self.number += 1
        return Report(
            agent=self.agent,
            agent_run="1",
            number=self.number,
            place=self.place,
            domain=self.domain,
            capacity=self.capacity,
            labels=("a", self.rack),
            rack=self.rack,
            draining=self.draining,
            remaining_s=self.remaining_s,
            observed=True,
            running=tuple(RunningRun(w.run, w.saved, 100) for w in self.work.values()),
            ended=tuple(self.ended),
            refused=tuple(self.refused.items()),
            gone=tuple(self.gone),
        )


class ModelCell:
    """A cell's scheduler, its store, and modelled targets.

    Parameters
    ----------
    duration_s : callable
        Returns how long a run truly takes on a target at full speed.
    fails_at : callable
        Returns the share of its work at which a run fails by its own fault.
    """

    def __init__(
        self,
        targets: list[ModelTarget],
        queues: list[QueueView],
        workspaces: list[WorkspaceView] = (),
        duration_s: Callable[[RunId, StepSpec], float] | None = None,
        seed: int = 0,
        fails_at: Callable[[RunId], float] | None = None,
    ):
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.targets = {t.agent: t for t in targets}
        self.config = ConfigView(
            1,
            tuple(RouteView("h", f"/{q.name}/", False, q) for q in queues),
            tuple(workspaces),
        )
        self.duration_s = duration_s or (lambda run, spec: spec.estimate_s)
        self.fails_at = fails_at or (lambda run: float("inf"))
        self.records: dict[str, JobRecord] = {}
        self.cancelled: set[str] = set()
        self.rows: dict[str, tuple[RunRow, int]] = {}
        self.version = 0
        self.epoch = 0
        self.store_up = True
        self.history: list[Ran] = []
        self.log: list[tuple[str, dict]] = []
        self.wasted_core_s: Counter[str] = Counter()  # by why the runs ended
        self._reported_s: dict[str, float] = {}
        self.scheduler = self.take_over()

    def take_over(self, lapse_s: float | None = None) -> CellScheduler:
        """Have a new holder load the cell."""
        self.epoch += 1
        self.scheduler = CellScheduler(
            "cell",
            self.epoch,
            self.now_s,
            log=lambda event, **fields: self.log.append((event, fields)),
        )
        self.scheduler.on_config(self.config, self.now_s)
        rows = [
            (record, *self.rows.get(job, (None, 0)))
            for job, record in self.records.items()
        ]
        for agent in self.targets:
            self.scheduler.on_agent(agent)
        self.scheduler.load(rows, list(self.cancelled), self.now_s, lapse_s)
        self._reported_s.clear()
        return self.scheduler

    def submit(
        self, job: str, queue: str, steps: list[StepSpec], workspace: str = "w"
    ) -> None:
        """Have a job accepted."""
        record = JobRecord(job, queue, workspace, self.now_s, "spec", tuple(steps))
        self.records[job] = record
        self.scheduler.on_job(record, self.now_s)

    def cancel(self, job: str) -> None:
        """Have a job cancelled."""
        self.cancelled.add(job)
        self.scheduler.on_cancel(job, self.now_s)

    def state(self, job: str) -> str:
        """Return a job's state as it is stored."""
        return self.rows[job][0].state if job in self.rows else "pending"

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_s: float = 300.0) -> float:
        """Let time pass until something holds; return how long it took."""
        began_s = self.now_s
        while not condition():
            assert self.now_s - began_s < limit_s, "it did not come about in time"
            self.step()
        return self.now_s - began_s

    def step(self) -> None:
        """Let one step of time pass."""
        self.now_s += STEP_S
        for target in self.targets.values():
            self._work(target)
        for target in self.targets.values():
            due_s = self._reported_s.get(target.agent, 0.0) + REPORT_S
            news = target.refused or target.gone or target.sequence != target.recorded
            if not target.silent and (news or self.now_s >= due_s):
                self._report(target)
        self.scheduler.tick(self.now_s)
        self._commit()
        self._deliver()

    def _work(self, target: ModelTarget) -> None:
        if self.now_s > target.lease_until_s:
            for work in list(target.work.values()):
                target.end(work, "lapsed")
                self._note(target, work, "lapsed")
        for work in list(target.work.values()):
            if work.run not in target.work:
                continue
            if self.now_s >= work.stops_s:
                target.end(work, "stopped")
                self._note(target, work, "stopped")
                self._end_gang(work, "broken")
            elif target.fails_all and self.now_s - work.began_s > 0.5:
                target.end(work, "failed")
                self._note(target, work, "failed")
                self._end_gang(work, "broken")
            elif self._whole(work):
                work.left_s -= STEP_S / self._slowdown(target, work)
                self._save(work)
                if 1.0 - work.left_s / work.total_s >= self.fails_at(work.run):
                    target.end(work, "failed")
                    self._note(target, work, "failed")
                    self._end_gang(work, "broken")
                elif work.left_s <= 0:
                    target.end(work, "done")
                    self._note(target, work, "done")
                    self._end_gang(work, "done")

    def _slowdown(self, target: ModelTarget, work: Work) -> float:
        """Return how much longer a task takes away from its data or its gang."""
        spec = work.spec
        if spec.data_rack and target.rack != spec.data_rack:
            return FAR_FACTOR
        if spec.gang and spec.same_rack:
            racks = {target.rack for target, _ in self._gang(work)}
            return FAR_FACTOR if len(racks) > 1 else 1.0
        return 1.0

    def _save(self, work: Work) -> None:
        if work.spec.saves_progress and work.saved_left_s - work.left_s >= SAVE_S:
            work.saved_left_s = work.left_s
            work.saved = f"{work.left_s:.2f}"

    def _gang(self, work: Work) -> list[tuple[ModelTarget, Work]]:
        same = work.run._replace(index=0)
        return [
            (target, other)
            for target in self.targets.values()
            for other in target.work.values()
            if other.run._replace(index=0) == same
        ]

    def _whole(self, work: Work) -> bool:
        return not work.spec.gang or len(self._gang(work)) == work.spec.count

    def _end_gang(self, work: Work, how: str) -> None:
        if work.spec.gang:
            for target, other in self._gang(work):
                target.end(other, how)
                self._note(target, other, how)

    def _note(self, target: ModelTarget, work: Work, how: str) -> None:
        self.history.append(Ran(work.run, target.name, work.began_s, self.now_s, how))
        if how != "done":
            need = work.spec.need
            cores = need.cpu_millicores / 1000 + 8 * need.accelerators
            lost_s = work.saved_left_s - work.left_s
            if not work.spec.saves_progress:
                lost_s = self.now_s - work.began_s
            self.wasted_core_s[self._cause(work.run, how)] += cores * lost_s

    def _cause(self, run: RunId, how: str) -> str:
        """Return why a run has ended, as its scheduler has it."""
        job = self.scheduler.state.jobs.get(run.job)
        unit = job.unit_of(run.step, run.index) if job else None
        return unit.stop_reason if how == "stopped" and unit is not None else how

    def _report(self, target: ModelTarget) -> None:
        self._reported_s[target.agent] = self.now_s
        answer = self.scheduler.on_report(target.report(), self.now_s, self.store_up)
        if answer.lease_s:
            target.lease_until_s = self.now_s + answer.lease_s
        target.recorded = max(target.recorded, answer.recorded)
        target.ended = [e for e in target.ended if e.sequence > answer.recorded]
        for run in answer.settled:
            target.refused.pop(run, None)
            target.gone.discard(run)

    def _commit(self) -> None:
        while self.store_up:
            commit = self.scheduler.take_commit()
            if commit is None:
                return
            self.version += 1
            for row in commit.rows:
                job = row.key.partition("/")[2]
                assert self.rows.get(job, (None, 0))[1] == row.expected
                self.rows[job] = (unpack(row.value, RunRow), self.version)
            self.scheduler.on_committed(commit, self.version, self.now_s)

    def _deliver(self) -> None:
        for orders in self.scheduler.take_orders():
            target = self.targets[orders.agent]
            if target.silent or orders.place != target.place:
                continue
            target.recorded = max(target.recorded, orders.recorded)
            target.ended = [e for e in target.ended if e.sequence > target.recorded]
            for start in orders.starts:
                self._start(target, start)
            for run in orders.stops:
                work = target.work.get(run)
                if work is not None:
                    work.stops_s = min(work.stops_s, self.now_s + STOP_S)
                else:
                    target.closed.add(run)
                    target.gone.add(run)

    def _start(self, target: ModelTarget, start) -> None:
        run = start.id
        if run in target.closed:
            target.refused[run] = "old"
            return
        if run in target.work:
            return
        spec = self.records[run.job].steps[run.step]
        left_s = float(start.checkpoint or self.duration_s(run, spec))
        target.work[run] = Work(run, spec, self.now_s, left_s)
        for kind, limit in enumerate(target.capacity):
            used = sum(w.spec.need[kind] for w in target.work.values())
            target.over_capacity += used > limit

    def check(self) -> None:
        """Assert what must hold of everything that has run so far."""
        assert not any(t.over_capacity for t in self.targets.values())
        done: dict[tuple, list[Ran]] = {}
        for ran in self.history:
            done.setdefault(ran.id[:3], []).append(ran)
        for runs in done.values():
            runs.sort(key=lambda ran: ran.began_s)
            for before, after in itertools.pairwise(runs):
                assert after.began_s >= before.ended_s, "two runs of a task at once"
                assert before.how != "done", "a task ran again after it was done"
