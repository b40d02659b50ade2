"""Serves clients' requests for jobs from the replica and the store."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence, Set
from contextlib import contextmanager, suppress
from typing import NamedTuple

from cicadabank.control.bounds import check_steps
from cicadabank.control.errors import (
    InvalidJobError,
    JobServiceError,
    NoConfigError,
    NoJobError,
    NoRouteError,
    OutcomeUnknownError,
    StoreUnavailableError,
    UnknownKeyError,
)
from cicadabank.control.internal.feed import UNREAD_VIEW, OperatorView
from cicadabank.control.internal.replica import Replica
from cicadabank.scheduling import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    RUN_PREFIX,
    CancelRow,
    JobProgressRow,
    JobRecord,
    QueueConfig,
    RouteConfig,
    StepSpec,
    pack,
    unpack,
    voided_at_s,
)
from cicadabank.store import (
    PartitionedTable,
    PlatformError,
    RowConflictError,
    StoredRow,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import clock_s
from loguru import logger

# Share of a client's deadline after which it gets a reply, also if the store is still
# unavailable or an outcome unknown. Leaves it time for a retry at another entry.
REPLY_DEADLINE_SHARE = 0.45
# Longest wait of a request, whatever its deadline.
MAX_WAIT_S = 10.0
# A store without contact for this long, half of the usual deadline, may stay away for
# seconds. A request then does better to come back than to use up its time waiting.
KNOWN_OUTAGE_AGE_S = 1.5
# Longest wait of a request that arrives during a known outage: it may just be ending.
OUTAGE_WAIT_S = 0.2
# With less time than this, a client that comes back in a second may come too late.
MIN_TIME_TO_COME_BACK_S = 1.5
# Requests that may wait at a time: half of those that an entry handles, so that
# requests that need no store are still answered.
MAX_WAITING_REQUESTS = 12
# The store typically answers in 4 ms; its slowest replies take 0.3 s.
STORE_CALL_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.05
# Pause between attempts at a store that is unavailable; outages may be short.
RETRY_PAUSE_S = 0.1
# Pause between checks for an entry's first read of the store, which takes milliseconds.
FIRST_READ_PAUSE_S = 0.01
# If the store replied more recently than this, it is assumed to be reachable.
CONTACT_MAX_AGE_S = 0.25
ENDED_JOB_STATES = ("completed", "failed", "cancelled")


class JobRequest(NamedTuple):
    """A job as submitted by a client."""

    job: str
    workspace: str
    payload: str
    steps: tuple[StepSpec, ...]


class JobStatus(NamedTuple):
    """What clients are told of a job.

    Attributes
    ----------
    state : str
        ``"pending"``, ``"running"``, ``"completed"``, ``"failed"`` or ``"cancelled"``.
    reason : str
        Why the job has failed; empty in all other states.
    """

    state: str
    reason: str = ""


class RequestTiming(NamedTuple):
    """When a request was received, and how long its client waits for the response.

    Attributes
    ----------
    received_s : float
        On this process's clock.
    deadline_s : float
        From the receipt.
    """

    received_s: float
    deadline_s: float

    def held_s(self) -> float:
        """Return the time since the receipt of the request."""
        return clock_s() - self.received_s

    def reply_by_s(self) -> float:
        """Return the time, on this process's clock, at which waiting ends."""
        wait_s = min(MAX_WAIT_S, self.deadline_s * REPLY_DEADLINE_SHARE)
        return self.received_s + wait_s


class RequestWait:
    """The wait of one request for the store or for a first read of it.

    Parameters
    ----------
    slots : threading.Semaphore
        Limits how many requests wait at a time.
    until_s : float
        When the wait ends, on this process's clock.
    in_outage : bool, default=False
        Whether the store was known to be away when the request arrived, and its client
        has time to come back.
    """

    def __init__(
        self, slots: threading.Semaphore, until_s: float, in_outage: bool = False
    ):
        self._slots = slots
        self.until_s = until_s
        self.in_outage = in_outage
        self.holds_slot = False
        self.is_logged = False

    def call_timeout_s(self) -> float:
        """Return the timeout of a call to the store that begins now."""
        remaining_s = max(MIN_TIMEOUT_S, self.until_s - clock_s())
        return min(STORE_CALL_TIMEOUT_S, remaining_s)

    def pause(
        self, pause_s: float, sleep: Callable[[float], object] = time.sleep
    ) -> bool:
        """Wait before the next attempt.

        Parameters
        ----------
        pause_s : float
        sleep : callable, default=time.sleep
            Waits for up to some seconds.

        Returns
        -------
        bool
            False, without a wait, if the time for it is over or too many requests wait
            already.
        """
        if not self.holds_slot:
            self.holds_slot = self._slots.acquire(blocking=False)
        remaining_s = self.until_s - clock_s()
        if not self.holds_slot or remaining_s <= 0:
            return False
        sleep(min(pause_s, remaining_s))
        return True


class JobService:
    """Accepts, shows and cancels jobs.

    Parameters
    ----------
    operator_view : callable
        Returns the current settings of the operators.
    on_written : callable
        Called with a cell and rows of it that were written, so that they can be applied
        before the feed delivers them.
    sleep_until_reachable : callable, default=time.sleep
        Waits for up to some seconds; returns early if the store can be reached again.
    """

    def __init__(
        self,
        table: PartitionedTable,
        replica: Replica,
        operator_view: Callable[[], OperatorView],
        on_written: Callable[[str, list[StoredRow]], None],
        sleep_until_reachable: Callable[[float], object] = time.sleep,
    ):
        self._table = table
        self._replica = replica
        self._operator_view = operator_view
        self._on_written = on_written
        self._sleep_until_reachable = sleep_until_reachable
        self._wait_slots = threading.Semaphore(MAX_WAITING_REQUESTS)

    @contextmanager
    def _waiting(self, timing: RequestTiming) -> Iterator[RequestWait]:
        """Let a request wait; its slot is free again at the end."""
        until_s = timing.reply_by_s()
        in_outage = self._is_store_away() and (
            timing.deadline_s >= MIN_TIME_TO_COME_BACK_S
        )
        if in_outage:
            until_s = min(until_s, timing.received_s + OUTAGE_WAIT_S)
        wait = RequestWait(self._wait_slots, until_s, in_outage)
        try:
            yield wait
        finally:
            if wait.holds_slot:
                self._wait_slots.release()

    def _is_store_away(self) -> bool:
        """Return whether the store has been away for a while."""
        contact_age_s = self._replica.contact_age_s()
        return self._replica.loaded and contact_age_s > KNOWN_OUTAGE_AGE_S

    def route(
        self, host: str, path: str, timing: RequestTiming
    ) -> tuple[RouteConfig, str]:
        """Return the route with the longest matching prefix, and the rest of the path.

        A request to an entry that has just started waits for the entry's first read of
        the configuration.

        Raises
        ------
        NoConfigError
            If no configuration is known yet.
        NoRouteError
            If no route matches.
        """
        with self._waiting(timing) as wait:
            while self._operator_view() is UNREAD_VIEW:
                if not wait.pause(FIRST_READ_PAUSE_S):
                    break
        config = self._operator_view().config
        if config is None:
            raise NoConfigError(
                "no configuration is known yet", "retry at another entry"
            )
        best: RouteConfig | None = None
        for route in config.routes:
            if route.host in ("", host) and path.startswith(route.path_prefix):
                if best is None or len(route.path_prefix) > len(best.path_prefix):
                    best = route
        if best is None:
            raise NoRouteError("no route matches this host and path")
        return best, path[len(best.path_prefix) :]

    def authorize(self, route: RouteConfig, key: str) -> str:
        """Return the workspace that a key belongs to; empty on a public route.

        Raises
        ------
        UnknownKeyError
            If the key is not in the configuration.
        """
        config = self._operator_view().config
        for workspace in config.workspaces if config else ():
            if key and key in workspace.keys:
                return workspace.name
        if route.public:
            return ""
        raise UnknownKeyError("the key belongs to no workspace of the configuration")

    def log_refusal(
        self, method: str, path: str, error: JobServiceError, timing: RequestTiming
    ) -> None:
        """Log why a request was refused, and the state that the decision used."""
        config = self._operator_view().config
        logger.bind(
            event="request_refused",
            method=method,
            job=path.rpartition("/")[2],
            code=error.code,
            held_s=round(timing.held_s(), 3),
            deadline_s=timing.deadline_s,
            retry_after_s=error.retry_after_s,
            store_age_s=round(min(1e6, self._replica.contact_age_s()), 3),
            config_version=config.version if config else None,
        ).info("{}", error.message)

    def submit(
        self, route: RouteConfig, request: JobRequest, timing: RequestTiming
    ) -> JobStatus:
        """Accept a job; it is stored when this returns.

        An id stands for one job. If the job of this id has been cancelled, it stays so,
        also if it wasn't stored then.

        Returns
        -------
        JobStatus
            As far as it is known here: a job that was stored before may have gone on.

        Raises
        ------
        InvalidJobError
            If a number in a step is out of range, or another queue has a job of this
            id.
        StoreUnavailableError
            If it is certain that the job was not stored and will not be: the store did
            not take it, or has a row of this id that can't be read.
        OutcomeUnknownError
            If the job may have been stored.
        """
        _check_steps(request.steps)
        queue = route.queue
        if self._is_in_replica(request.job, queue.name):
            self._log_known(request.job, queue.name, timing)
            return self._replica_status(request.job)
        key = JOB_PREFIX + request.job
        try:
            with self._waiting(timing) as wait:
                self._wait_for_store(queue.cell, key, wait)
                # An entry that has just started knows the store's clock only now.
                received_s = self._replica.store_now_s() - timing.held_s()
                record = JobRecord(
                    request.job,
                    queue.name,
                    request.workspace,
                    received_s,
                    request.payload,
                    request.steps,
                )
                is_cancelled = self._store_job(queue.cell, record, wait)
        except RowConflictError as error:
            if not _version(error.rows, key):
                raise _unreadable_row(request.job) from error
            if unpack(error.rows[key].value, JobRecord).queue != queue.name:
                raise InvalidJobError(
                    "another queue already has a job of this id"
                ) from error
            self._log_known(request.job, queue.name, timing)
            is_cancelled = _is_cancelled(error.rows, request.job, queue.name)
            return _visible_status(None, is_cancelled)
        logger.bind(
            event="job_accepted",
            job=request.job,
            queue=queue.name,
            workspace=request.workspace,
            held_s=round(timing.held_s(), 3),
            config_version=self._operator_view().config.version,
            cancelled_before=is_cancelled,
            steps=[
                [s.count, *s.need, s.estimate_s, s.gang, s.same_rack]
                for s in request.steps
            ],
        ).info("job accepted")
        return _visible_status(None, is_cancelled)

    def _store_job(self, cell: str, record: JobRecord, wait: RequestWait) -> bool:
        """Write the row of a job that has none.

        A submission that arrives after its job was cancelled may be a repeated one, and
        can't be told from a new one. The write depends on the job's cancellation, so
        that it is known whether there was one, and holders learn of it before the job.

        Returns
        -------
        bool
            Whether the job was cancelled before.

        Raises
        ------
        RowConflictError
            If the job has a row.
        """
        job_key, cancel_key = JOB_PREFIX + record.job, CANCEL_PREFIX + record.job
        puts = {job_key: pack(record)}
        found: Mapping[str, StoredRow] = {}
        expected = {job_key: 0, cancel_key: 0}
        while True:
            earlier = [found[cancel_key]] if expected[cancel_key] else []
            try:
                self._write(cell, expected, puts, wait, earlier)
                return _is_cancelled(found, record.job, record.queue)
            except RowConflictError as error:
                found, previous = error.rows, expected
                expected = {key: _version(found, key) for key in previous}
                if expected == previous or _has_job(found, job_key):
                    raise
            if expected[job_key] and not expected[cancel_key]:
                # An entry of an earlier build has cancelled the job.
                with suppress(RowConflictError):
                    self._put_cancel(cell, record.job, {record.queue}, wait, expected)

    def _log_known(self, job: str, queue: str, timing: RequestTiming) -> None:
        """Log that a submitted job is stored already, as after a lost response."""
        logger.bind(
            event="job_known",
            job=job,
            queue=queue,
            held_s=round(timing.held_s(), 3),
            store_age_s=round(min(1e6, self._replica.contact_age_s()), 3),
        ).info("job is stored already")

    def _wait_for_store(self, cell: str, key: str, wait: RequestWait) -> None:
        """Wait until the store replies to a read, unless it was in contact recently.

        A lost write leaves the outcome unknown. Clients are then asked to retry, but
        may not resubmit the job. A lost read is harmless.
        """
        while self._replica.contact_age_s() > CONTACT_MAX_AGE_S:
            try:
                self._read(cell, key, wait.call_timeout_s())
                return
            except PlatformError as error:
                self._log_wait(key, wait, error)
                if not wait.pause(RETRY_PAUSE_S, self._sleep_until_reachable):
                    raise _store_unavailable(error, wait) from error

    def _log_wait(self, key: str, wait: RequestWait, error: PlatformError) -> None:
        """Log once that a request is held because the store did not serve it.

        If this entry loses power meanwhile, it is the only line about the request.
        """
        if wait.is_logged:
            return
        wait.is_logged = True
        logger.bind(
            event="request_waits",
            key=key,
            code=error.code,
            until_s=round(wait.until_s - clock_s(), 3),
            store_age_s=round(min(1e6, self._replica.contact_age_s()), 3),
        ).info("{}", error.message)

    def _is_in_replica(self, job: str, queue: str) -> bool:
        cell = self._replica.cell_by_job.get(job)
        record = self._replica.cells[cell].jobs.get(job) if cell else None
        return record is not None and record.queue == queue

    def _write(
        self,
        cell: str,
        expected: dict[str, int],
        puts: dict[str, bytes],
        wait: RequestWait,
        earlier: Sequence[StoredRow] = (),
    ) -> None:
        """Retry a write with the same conditions until its outcome is certain.

        Parameters
        ----------
        earlier : sequence of StoredRow, optional
            Stored rows that have to be known wherever the written ones are applied.
        """
        uncertain = False
        while True:
            try:
                timeout_s = wait.call_timeout_s()
                version = self._table.commit(cell, expected, puts, timeout_s=timeout_s)
                written = [StoredRow(cell, *put, version) for put in puts.items()]
                self._on_written(cell, [*earlier, *written])
                return
            except RowConflictError:
                raise
            except UnavailableError as error:
                self._log_wait(next(iter(puts)), wait, error)
                if not uncertain:
                    if not wait.pause(RETRY_PAUSE_S, self._sleep_until_reachable):
                        raise _store_unavailable(error, wait) from error
                    continue
            except UnknownOutcomeError as error:
                self._log_wait(next(iter(puts)), wait, error)
                uncertain = True
            if clock_s() >= wait.until_s:
                raise OutcomeUnknownError(
                    "the store did not confirm the write", "retry the request"
                )
            self._sleep_until_reachable(RETRY_PAUSE_S)

    def status(self, route: RouteConfig, job: str) -> JobStatus:
        """Return the state of a job, and why it has failed.

        Raises
        ------
        NoJobError
            If the store has no such job in this queue.
        StoreUnavailableError
            If the store was needed and did not reply.
        """
        try:
            return self._find_status(route, job, STORE_CALL_TIMEOUT_S)
        except PlatformError as error:
            raise StoreUnavailableError(
                f"the store is unavailable: {error.message}"
            ) from error

    def _find_status(self, route: RouteConfig, job: str, timeout_s: float) -> JobStatus:
        """Return the status of a job from the replica, or else from the store."""
        queue = route.queue
        if self._is_in_replica(job, queue.name):
            return self._replica_status(job)
        found = self._read(queue.cell, JOB_PREFIX + job, timeout_s)
        if found is None or voided_at_s(found.value) is not None:
            raise NoJobError("the job does not exist in this queue")
        if unpack(found.value, JobRecord).queue != queue.name:
            raise NoJobError("the job does not exist in this queue")
        run = self._read(queue.cell, RUN_PREFIX + job, timeout_s)
        cancel = self._read(queue.cell, CANCEL_PREFIX + job, timeout_s)
        return _visible_status(
            None if run is None else unpack(run.value, JobProgressRow),
            cancel is not None and unpack(cancel.value, CancelRow).covers(queue.name),
        )

    def _replica_status(self, job: str) -> JobStatus:
        """Return the status of a job in the replica."""
        rows = self._replica.cells[self._replica.cell_by_job[job]]
        stored = rows.runs.get(job)
        return _visible_status(
            stored.row if stored else None, rows.is_cancelled(rows.jobs[job])
        )

    def _read(self, cell: str, key: str, timeout_s: float) -> StoredRow | None:
        page = self._table.read(cell, key, key + "\x00", timeout_s)
        self._replica.set_store_clock(page.store_s)
        return page.rows[0] if page.rows else None

    def cancel(self, route: RouteConfig, job: str, timing: RequestTiming) -> None:
        """Cancel a job; the cell's holder then stops its running tasks.

        A job that has ended stays as it is. One that is not stored is cancelled as soon
        as a submission stores it.

        Raises
        ------
        NoJobError
            If the store has no such job in this queue.
        StoreUnavailableError
            If the store was needed and did not reply, or has a row that can't be read.
        """
        queue = route.queue
        with self._waiting(timing) as wait:
            while True:
                try:
                    status = self._wait_for_status(route, job, wait)
                    break
                except NoJobError:
                    if self._cancel_in_advance(queue, job, wait):
                        raise
            if status.state in ENDED_JOB_STATES:
                return
            cell = self._replica.cell_by_job.get(job, queue.cell)
            self._put_cancel(cell, job, {queue.name}, wait, {})
        logger.bind(event="cancel_accepted", job=job).info("cancellation accepted")

    def _cancel_in_advance(
        self, queue: QueueConfig, job: str, wait: RequestWait
    ) -> bool:
        """Cancel a job that isn't stored; return False if it has been stored meanwhile.

        Its submission may still be on its way. A job of another queue stays as it is.
        """
        job_key, cancel_key = JOB_PREFIX + job, CANCEL_PREFIX + job
        expected = {job_key: 0, cancel_key: 0}
        queues = {queue.name}
        while True:
            try:
                self._put_cancel(queue.cell, job, queues, wait, expected)
                break
            except RowConflictError as error:
                found, previous = error.rows, expected
                expected = {key: _version(found, key) for key in previous}
                if expected == previous:
                    raise _unreadable_row(job) from error
            if _has_job(found, job_key):
                record = unpack(found[job_key].value, JobRecord)
                return record.queue != queue.name
            if expected[cancel_key]:
                earlier = unpack(found[cancel_key].value, CancelRow)
                queues = queues.union(earlier.queues) if earlier.queues else set()
        logger.bind(event="cancelled_in_advance", job=job, queue=queue.name).info(
            "the job is not stored; a submission that still arrives won't run"
        )
        return True

    def _put_cancel(
        self,
        cell: str,
        job: str,
        queues: Set[str],
        wait: RequestWait,
        expected: dict[str, int],
    ) -> None:
        """Write the cancellation of the job of this id in these queues."""
        row = CancelRow(self._replica.store_now_s(), tuple(sorted(queues)))
        self._write(cell, expected, {CANCEL_PREFIX + job: pack(row)}, wait)

    def _wait_for_status(
        self, route: RouteConfig, job: str, wait: RequestWait
    ) -> JobStatus:
        """Return the status of a job; wait for the store if it has to be asked."""
        while True:
            try:
                return self._find_status(route, job, wait.call_timeout_s())
            except PlatformError as error:
                if not wait.pause(RETRY_PAUSE_S, self._sleep_until_reachable):
                    raise _store_unavailable(error, wait) from error

    def pending_count(self, route: RouteConfig, timing: RequestTiming) -> int:
        """Return how many jobs of a queue wait for their first task to start.

        Raises
        ------
        StoreUnavailableError
            If this entry has just started and can't read the jobs.
        """
        with self._waiting(timing) as wait:
            while not self._replica.loaded:
                if not wait.pause(FIRST_READ_PAUSE_S):
                    raise StoreUnavailableError(
                        "the jobs have not been read from the store yet",
                        retry_at_once=wait.holds_slot,
                    )
        rows = self._replica.cells.get(route.queue.cell)
        if rows is None:
            return 0
        count = 0
        for job, record in list(rows.jobs.items()):
            run = rows.runs.get(job)
            has_started = run is not None and (run.row.started or run.row.ended_s)
            if record.queue == route.queue.name and not has_started:
                count += not rows.is_cancelled(record)
        return count


def _store_unavailable(
    error: PlatformError, wait: RequestWait
) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"the store is unavailable: {error.message}",
        retry_at_once=wait.holds_slot and not wait.in_outage,
    )


def _version(rows: Mapping[str, StoredRow], key: str) -> int:
    """Return the version of a row; 0 if it doesn't exist."""
    row = rows.get(key)
    return 0 if row is None or row.value is None else row.version


def _has_job(rows: Mapping[str, StoredRow], key: str) -> bool:
    """Return whether the row of a job exists, and not of a void one."""
    return bool(_version(rows, key)) and voided_at_s(rows[key].value) is None


def _is_cancelled(rows: Mapping[str, StoredRow], job: str, queue: str) -> bool:
    """Return whether one of these rows cancels a job."""
    key = CANCEL_PREFIX + job
    return bool(_version(rows, key)) and unpack(rows[key].value, CancelRow).covers(
        queue
    )


def _unreadable_row(job: str) -> StoreUnavailableError:
    """Return the error for a conflict with a row that the store's reply leaves out."""
    return StoreUnavailableError(f"the store has an unreadable row of the job {job!r}")


def _visible_status(run: JobProgressRow | None, cancelled: bool) -> JobStatus:
    state = run.state if run else "pending"
    if cancelled and state not in ENDED_JOB_STATES:
        return JobStatus("cancelled")
    # A job that is about to fail has a reason before its last run has ended.
    return JobStatus(state, run.reason if run and state == "failed" else "")


def _check_steps(steps: tuple[StepSpec, ...]) -> None:
    """Raise InvalidJobError if a number is out of range."""
    try:
        check_steps(steps)
    except ValueError as error:
        raise InvalidJobError(str(error)) from error
