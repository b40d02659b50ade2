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
TABLE_TIMEOUT_S = 2.0
MAX_ROWS_PER_READ = 200


class CommitResult(NamedTuple):
    """Outcome of a commit, and the row's new version if it was committed."""

    status: CommitStatus
    version: int = 0


class StoredJob(NamedTuple):
    """A job's row, its version, and the id of the operation that wrote it."""

    row: JobRow
    version: int
    operation: str


class JobStore:
    """Commits job rows, fenced by the version of the cell's row.

    Parameters
    ----------
    cell : str
        Name of the cell.
    cell_version : int
        Version of the cell's row when it was acquired. A commit after a takeover
        fails, because the new holder has changed the row.
    max_inline_answer_bytes : int
        Larger answers are kept in the object service.
    """

    def __init__(
        self,
        table: TableClient,
        objects: ObjectClient,
        cell: str,
        cell_version: int,
        max_inline_answer_bytes: int,
    ):
        self._table = table
        self._objects = objects
        self._cell = cell
        self._cell_version = cell_version
        self._max_inline_answer_bytes = max_inline_answer_bytes
        self.threads = ThreadPoolExecutor(COMMIT_THREADS, f"store-{cell}")

    def commit(self, commit: CommitJob) -> CommitResult:
        """Store a job's row, with its answer if it has one.

        A job in a terminal state is also removed from the cell's queue.
        """
        job_key, cell_key = Key.job(commit.job), Key.cell(self._cell)
        row = commit.row
        puts: dict[str, bytes] = {}
        try:
            if commit.answer is not None:
                row = self._store_answer(row, commit.answer, puts)
            puts[job_key] = encode(row)
            deletes = (Key.queue(self._cell, commit.job),) if row.terminal else ()
            conditions = {job_key: commit.version, cell_key: self._cell_version}
            transaction = Transaction(commit.operation, conditions, puts, deletes)
            version = self._table.transact(transaction, TABLE_TIMEOUT_S)
        except RowConflictError as error:
            if cell_key in error.rows:
                return CommitResult(CommitStatus.FENCED)
            return CommitResult(CommitStatus.CONFLICT)
        except PlatformError:
            return CommitResult(CommitStatus.UNKNOWN)
        return CommitResult(CommitStatus.COMMITTED, version)

    def _store_answer(
        self, row: JobRow, answer: bytes, puts: dict[str, bytes]
    ) -> JobRow:
        if len(answer) <= self._max_inline_answer_bytes:
            puts[Key.answer(row.job)] = answer
            return row
        key = f"job-answer/{row.job}"
        self._objects.store(key, answer)
        return row._replace(answer_object=key)

    def read(self, jobs: list[str]) -> list[StoredJob]:
        """Return the rows of the given jobs; jobs that don't exist are left out."""
        stored: list[StoredJob] = []
        for first in range(0, len(jobs), MAX_ROWS_PER_READ):
            keys = [Key.job(job) for job in jobs[first : first + MAX_ROWS_PER_READ]]
            rows = self._table.read(keys, TABLE_TIMEOUT_S)
            stored += [stored_job(rows[key]) for key in keys if rows[key].exists]
        return stored

    def unfinished_jobs(self) -> list[str]:
        """Return the ids of the cell's jobs that have not ended."""
        rows = self._table.scan(Key.queue(self._cell), TABLE_TIMEOUT_S)
        return [row.key.rpartition("/")[2] for row in rows]

    def close(self) -> None:
        """Stop the threads without waiting for commits in progress."""
        self.threads.shutdown(wait=False)


def stored_job(row: Row) -> StoredJob:
    """Return the job that a table row holds."""
    return StoredJob(decode_as(row.value, JobRow), row.version, row.operation)
