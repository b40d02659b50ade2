"""Job rows in the table, as the holder of a cell reads and writes them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from cicadabank.decisions import CommitJob, CommitStatus
from cicadabank.model import JobRow, Key, decode_as, encode
from cicadabank.store import (
    ObjectClient,
    PlatformError,
    Row,
    RowConflictError,
    TableClient,
    Transaction,
)

COMMIT_THREADS = 8
COMMIT_TIMEOUT_S = 2.0
ROWS_READ_AT_ONCE = 200


class CommitResult(NamedTuple):
    """How a commit ended, and the version of the row if it took effect."""

    status: CommitStatus
    version: int = 0


class StoredJob(NamedTuple):
    """A job's row with its version and the operation that wrote it."""

    row: JobRow
    version: int
    operation: str


class JobStore:
    """Commits job rows under the condition that the cell is still held.

    Parameters
    ----------
    cell, cell_version : str, int
        The cell, and the version of its row under which it is held.
    """

    def __init__(
        self,
        table: TableClient,
        objects: ObjectClient,
        cell: str,
        cell_version: int,
        inline_bytes: int,
    ):
        self._table = table
        self._objects = objects
        self._cell = cell
        self._cell_version = cell_version
        self._inline_bytes = inline_bytes
        self.threads = ThreadPoolExecutor(COMMIT_THREADS, f"store-{cell}")

    def commit(self, commit: CommitJob) -> CommitResult:
        """Store a job's row, with its answer if it has one."""
        job_key, cell_key = Key.job(commit.job), Key.cell(self._cell)
        row = commit.row
        puts: dict[str, bytes] = {}
        try:
            if commit.answer is not None:
                row = self._keep_answer(row, commit.answer, puts)
            puts[job_key] = encode(row)
            deletes = (Key.queue(self._cell, commit.job),) if row.terminal else ()
            conditions = {job_key: commit.version, cell_key: self._cell_version}
            transaction = Transaction(commit.operation, conditions, puts, deletes)
            version = self._table.transact(transaction, COMMIT_TIMEOUT_S)
        except RowConflictError as error:
            if cell_key in error.rows:
                return CommitResult(CommitStatus.FENCED)
            return CommitResult(CommitStatus.CONFLICT)
        except PlatformError:
            return CommitResult(CommitStatus.UNKNOWN)
        return CommitResult(CommitStatus.COMMITTED, version)

    def _keep_answer(
        self, row: JobRow, answer: bytes, puts: dict[str, bytes]
    ) -> JobRow:
        if len(answer) <= self._inline_bytes:
            puts[Key.answer(row.job)] = answer
            return row
        key = f"job-answer/{row.job}"
        self._objects.store(key, answer)
        return row._replace(answer_object=key)

    def read(self, jobs: list[str]) -> list[StoredJob]:
        """Read job rows; those that don't exist are left out."""
        found: list[StoredJob] = []
        for first in range(0, len(jobs), ROWS_READ_AT_ONCE):
            keys = [Key.job(job) for job in jobs[first : first + ROWS_READ_AT_ONCE]]
            rows = self._table.read(keys, COMMIT_TIMEOUT_S)
            found += [stored_job(rows[key]) for key in keys if rows[key].exists]
        return found

    def queued(self) -> list[str]:
        """Return the jobs of the cell that are not ended."""
        rows = self._table.scan(Key.queue(self._cell), COMMIT_TIMEOUT_S)
        return [row.key.rpartition("/")[2] for row in rows]

    def close(self) -> None:
        """End the threads."""
        self.threads.shutdown(wait=False)


def stored_job(row: Row) -> StoredJob:
    """Return the job that a table row holds."""
    return StoredJob(decode_as(row.value, JobRow), row.version, row.operation)
