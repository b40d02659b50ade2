"""Jobs of callers: submission, reads, answers and cancellation."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from cicadabank.decisions import ConfigView, Fleet, GangShape, nearest_possible, place
from cicadabank.entry.errors import (
    ImpossibleShapeError,
    KeyReusedError,
    NoWorkersError,
    OutcomeUnknownError,
    QuotaError,
)
from cicadabank.entry.internal.cell_summary import CellSummary
from cicadabank.entry.internal.job_store import StoredJob, stored_job
from cicadabank.entry.internal.resources import require_workspace
from cicadabank.model import (
    Adjacency,
    ConflictError,
    Decision,
    InvalidInputError,
    JobRow,
    JobSpec,
    JobState,
    Key,
    NotFoundError,
    Ran,
    decode,
    decode_as,
    describe_shape,
    encode,
    from_builtins,
    new_id,
)
from cicadabank.store import (
    ObjectClient,
    PlatformError,
    RowConflictError,
    TableClient,
    Transaction,
    UnavailableError,
    UnknownOutcomeError,
    put_new,
)
from cicadabank.tasks import clock_s, unix_s
from loguru import logger

MAX_TASKS = 4096
MAX_PAYLOAD_BYTES = 262_144
MAX_CANCEL_TRIES = 8
WATCH_POLL_S = 0.5


class IdempotencyRow(NamedTuple):
    """The job that was created with an idempotency key."""

    job: str
    body_hash: str


def parse_job_spec(document: dict[str, Any]) -> JobSpec:
    """Convert a job request to a `JobSpec` and validate it.

    Raises
    ------
    InvalidInputError
        For the first invalid field; the message holds its path.
    """
    spec = from_builtins(document, JobSpec)
    for name, low, high in (
        ("tasks", 1, MAX_TASKS),
        ("accelerators_per_task", 1, 1024),
        ("cores_per_task", 0, 100_000),
        ("memory_mb_per_task", 0, 100_000_000),
        ("estimate_s", 0.0, 1e9),
    ):
        value = getattr(spec, name)
        if not low <= value <= high:
            raise InvalidInputError(
                f"expected {low} to {high}, got {value} at $.{name}",
                "correct the field",
            )
    if not spec.workspace:
        raise InvalidInputError(
            "the workspace is empty at $.workspace", "name a workspace"
        )
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInputError(
            f"the payload is larger than {MAX_PAYLOAD_BYTES} bytes at $.payload",
            "keep it in the object service and send its key",
        )
    return spec._replace(adjacency=Adjacency(spec.adjacency))


class JobService:
    """Blocking operations on jobs, called from the threads of the HTTP interface.

    Parameters
    ----------
    view : callable
        Returns the current configuration.
    summaries : callable
        Returns the summaries of the known cells.
    notify_holder : callable
        Tells the holder of a cell that a job's row has changed.
    """

    def __init__(
        self,
        table: TableClient,
        objects: ObjectClient,
        view: Callable[[], ConfigView],
        summaries: Callable[[], list[CellSummary]],
        notify_holder: Callable[[str, str], None],
    ):
        self._table = table
        self._objects = objects
        self._view = view
        self._summaries = summaries
        self._notify_holder = notify_holder

    def submit(self, document: dict[str, Any], key: str) -> StoredJob:
        """Store a new job; the same key and body return the same job.

        Raises
        ------
        OutcomeUnknownError
            If it is not known whether the job was stored.
        CicadabankError
            If the job is refused; it was not run.
        """
        spec = parse_job_spec(document)
        try:
            self._check_quota(spec)
            cell = self._choose_cell(spec)
        except (QuotaError, ImpossibleShapeError) as refusal:
            refusal.job = self._record_refusal(spec, refusal.message)
            raise
        row = self._new_row(spec, cell)
        puts = {
            Key.job(row.job): encode(row),
            Key.queue(cell, row.job): b"{}",
            Key.workspace_index(spec.workspace, row.job): b"{}",
        }
        digest = hashlib.sha256(encode(spec)).hexdigest()
        if key:
            record = IdempotencyRow(row.job, digest)
            puts[Key.idempotency(spec.workspace, key)] = encode(record)
        try:
            version = self._table.transact(put_new(row.operation, puts))
        except RowConflictError as error:
            found = error.rows.get(Key.idempotency(spec.workspace, key))
            if found is None:
                raise ConflictError(
                    "the generated job id is already in use; the job was not stored",
                    "send it again",
                ) from error
            return self._existing_job(found.value, digest)
        except UnknownOutcomeError as error:
            version = self._resolve_unknown_write(row, error)
        self._notify_holder(cell, row.job)
        return StoredJob(row, version, row.operation)

    def _record_refusal(self, spec: JobSpec, reason: str) -> str:
        """Store the row of a refused job and return its id, or "" if that failed."""
        row = self._new_row(spec, "")
        decision = row.history[0]._replace(event="refused", cause=reason)
        row = row._replace(
            state=JobState.REFUSED,
            reason=reason,
            ended_unix_s=row.submitted_unix_s,
            history=(decision,),
        )
        puts = {
            Key.job(row.job): encode(row),
            Key.workspace_index(spec.workspace, row.job): b"{}",
        }
        try:
            self._table.transact(put_new(row.operation, puts))
        except PlatformError as error:
            logger.bind(job=row.job).warning(
                "the refusal of a job could not be stored: {}", error
            )
            return ""
        return row.job

    def _check_quota(self, spec: JobSpec) -> None:
        workspace = require_workspace(self._view(), spec.workspace)
        if spec.accelerators > workspace.quota_accelerators:
            raise QuotaError(
                f"the job needs {spec.accelerators} accelerators and the quota of "
                f"{spec.workspace!r} is {workspace.quota_accelerators}; it was not run",
                "ask for fewer accelerators, or have the quota raised",
            )

    def _choose_cell(self, spec: JobSpec) -> str:
        """Choose a cell that can hold the job.

        Cells in which the workspace has a guarantee come first, then the one with the
        shortest queue.
        """
        shape = GangShape.of(spec)
        summaries = [s for s in self._summaries() if s.workers]
        if not summaries:
            raise NoWorkersError(
                "no cell has announced its workers yet; the job was not run",
                "send it again",
            )
        eligible = [s for s in summaries if place(Fleet(s.workers), shape)]
        if not eligible:
            raise ImpossibleShapeError(
                _impossible_shape_message(shape, summaries), "ask for a shape that fits"
            )
        guarantees = self._view().guarantees.values()
        guaranteed_cells = {g.cell for g in guarantees if g.workspace == spec.workspace}
        return min(
            eligible, key=lambda s: (s.cell not in guaranteed_cells, s.queued, s.cell)
        ).cell

    def _new_row(self, spec: JobSpec, cell: str) -> JobRow:
        now_unix_s = unix_s()
        decision = Decision(
            now_unix_s,
            "submitted",
            f"accepted for cell {cell}",
            0,
            self._view().version,
        )
        return JobRow(
            job=new_id("job"),
            spec=spec,
            state=JobState.QUEUED,
            cell=cell,
            submitted_unix_s=now_unix_s,
            operation=new_id("submit"),
            history=(decision,),
        )

    def _existing_job(self, value: bytes, digest: str) -> StoredJob:
        record = decode_as(value, IdempotencyRow)
        if record.body_hash != digest:
            raise KeyReusedError(
                "the idempotency key was used with another body",
                "use a new key for new work",
            )
        return self.read(record.job)

    def _resolve_unknown_write(self, row: JobRow, error: UnknownOutcomeError) -> int:
        """Read back a job whose write has an unknown outcome; return its version."""
        unknown = OutcomeUnknownError(
            f"it is not known whether the job {row.job!r} was accepted",
            f"read the job {row.job!r} later, or send it again with "
            "the same Idempotency-Key",
        )
        try:
            found = self._table.read_one(Key.job(row.job))
        except UnavailableError:
            raise unknown from error
        if not found.exists:
            # The write may still arrive.
            raise unknown from error
        return found.version

    def read(self, job: str) -> StoredJob:
        """Return a job's row.

        Raises
        ------
        NotFoundError
            If there is no such job.
        """
        row = self._table.read_one(Key.job(job))
        if not row.exists:
            raise NotFoundError(f"the job {job!r} does not exist", "check the id")
        return stored_job(row)

    def watch(self, job: str, after_version: int, wait_s: float) -> StoredJob:
        """Return a job's row once it is newer than a version, has ended, or time is up.

        Parameters
        ----------
        wait_s : float
            Longest time to wait for a newer row.
        """
        deadline_s = clock_s() + wait_s
        while True:
            stored = self.read(job)
            if stored.version > after_version or clock_s() >= deadline_s:
                return stored
            if stored.row.terminal:
                return stored
            time.sleep(min(WATCH_POLL_S, max(0.01, deadline_s - clock_s())))

    def list(self, workspace: str, limit: int) -> list[StoredJob]:
        """Return the newest jobs of a workspace, or of all if its name is empty."""
        prefix = Key.workspace_index(workspace) if workspace else "workspace-job/"
        jobs = [row.key.rpartition("/")[2] for row in self._table.scan(prefix)]
        rows = self._table.read([Key.job(job) for job in jobs]) if jobs else {}
        stored = [stored_job(row) for row in rows.values() if row.exists]
        stored.sort(key=lambda job: -job.row.submitted_unix_s)
        return stored[:limit]

    def answer(self, job: str, workspace: str) -> bytes:
        """Return the answers of all members of a job of a workspace, as JSON.

        Raises
        ------
        NotFoundError
            If the workspace has no such job, or it has no answer yet.
        """
        stored = self.read(job)
        if stored.row.spec.workspace != workspace:
            raise NotFoundError(f"the job {job!r} does not exist", "check the id")
        if stored.row.state is not JobState.DONE:
            raise NotFoundError(
                f"the job {job!r} is {stored.row.state} and has no answer",
                "watch the job",
            )
        if stored.row.answer_object:
            data = self._objects.fetch(stored.row.answer_object)
        else:
            data = self._table.read_one(Key.answer(job)).value
        return self._inline_answer_objects(data)

    def _inline_answer_objects(self, data: bytes) -> bytes:
        """Replace references to answers in the object service by the answers."""
        document = decode(data)
        for member in document["members"]:
            key = member.pop("answer_object")
            if key:
                member["answer"] = self._objects.fetch(key).decode(errors="replace")
        return encode(document)

    def cancel(self, job: str) -> StoredJob:
        """Cancel a queued job at once, any other through its cell's holder.

        A job that has ended or is being cancelled is returned as it is.

        Raises
        ------
        ConflictError
            If other writers changed the job's row at each try.
        """
        for _ in range(MAX_CANCEL_TRIES):
            stored = self.read(job)
            if stored.row.terminal or stored.row.cancel_requested:
                return stored
            row, deletes = _cancelled_row(stored.row, self._view().version)
            key = Key.job(job)
            transaction = Transaction(
                new_id("cancel"), {key: stored.version}, {key: encode(row)}, deletes
            )
            try:
                version = self._table.transact(transaction)
            except RowConflictError:
                continue
            self._notify_holder(row.cell, job)
            return StoredJob(row, version, transaction.operation)
        raise ConflictError(
            f"cancelling the job {job!r} conflicted with other changes at each try",
            "cancel it again",
        )


def _cancelled_row(row: JobRow, config_version: int) -> tuple[JobRow, tuple[str, ...]]:
    now_unix_s = unix_s()
    decision = Decision(
        now_unix_s, "cancel", "cancelled by a caller", 0, config_version
    )
    row = row._replace(cancel_requested=True, history=(*row.history, decision))
    if row.state is not JobState.QUEUED:
        return row, ()
    reason = (
        "cancelled before it ran"
        if row.ran is Ran.NO
        else "cancelled while queued again"
    )
    row = row._replace(state=JobState.CANCELLED, reason=reason, ended_unix_s=now_unix_s)
    return row, (Key.queue(row.cell, row.job),)


def _impossible_shape_message(shape: GangShape, summaries: list[CellSummary]) -> str:
    wanted = describe_shape(shape.tasks, shape.need.accelerators, shape.adjacency)
    # The message names the largest of the nearest shapes of all cells.
    nearest = [nearest_possible(Fleet(s.workers), shape) for s in summaries]
    nearest = [shape for shape in nearest if shape is not None]
    if not nearest:
        return f"no cell can ever hold {wanted}, nor a smaller one; it was not run"
    largest = max(nearest, key=lambda s: s.accelerators)
    largest_fitting = describe_shape(
        largest.tasks, largest.need.accelerators, largest.adjacency
    )
    return (
        f"no cell can ever hold {wanted}; the nearest shape that "
        f"fits: {largest_fitting}; it was not run"
    )
