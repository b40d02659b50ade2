"""Requests to minions, run at most once unless they are idempotent."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import grpc
from cicadabank.decisions import RateLimit, RetryBudget
from cicadabank.entry.errors import (
    KeyReusedError,
    OutcomeUnknownError,
    RateLimitError,
    RequestFailedError,
    StoreUnavailableError,
)
from cicadabank.entry.internal.minions import MinionActor, MinionChoice
from cicadabank.entry.internal.tally import TallyActor
from cicadabank.model import (
    CicadabankError,
    Key,
    NotFoundError,
    Ran,
    Workspace,
    decode_as,
    encode,
    new_id,
)
from cicadabank.settings import EntrySettings
from cicadabank.store import (
    ObjectClient,
    PlatformError,
    RowConflictError,
    TableClient,
    Transaction,
    UnavailableError,
    put_new,
)
from cicadabank.tasks import Actor, clock_s, unix_s
from cicadabank.web.errors import OverloadedError
from cicadabank.wire import (
    ChannelPool,
    control_pb2,
    control_pb2_grpc,
)
from loguru import logger

# For an idempotent request, share of the remaining time that a try may take, so that
# time is left for another one; the last try may take all of it.
TRY_TIMEOUT_SHARE = 0.6
MAX_TRIES = 3
OUTCOME_POLL_S = 0.2
ANSWER_STORE_TIMEOUT_S = 4.0


class RequestRow(NamedTuple):
    """The stored record of a request that has a key or is not idempotent."""

    request: str
    workspace: str
    body_hash: str
    state: str  # sending, done, failed, refused or unknown
    idempotent: bool
    received_unix_s: float
    ended_unix_s: float = 0.0
    minion: str = ""
    answer: str = ""
    answer_object: str = ""
    reason: str = ""


class RequestBody(NamedTuple):
    """The body of a caller's request to a minion."""

    workspace: str
    payload: str = ""
    idempotent: bool = True
    deadline_s: float = 30.0


class RequestAnswer(NamedTuple):
    """The answer to a request that was run, and the minion that ran it."""

    request: str
    outcome: str
    answer: str
    minion: str


class Outcome(NamedTuple):
    """How the last try of a request ended."""

    state: str
    answer: bytes = b""
    reason: str = ""
    minion: str = ""


class AdmissionActor(Actor):
    """Applies the rate limits and the retry budgets of the workspaces."""

    def __init__(self, retry_share: float):
        super().__init__(60.0)  # it has no periodic work
        self._retry_share = retry_share
        self._budgets: dict[str, RetryBudget] = {}
        self._rate_limits: dict[str, RateLimit] = {}

    def admit(self, workspace: str, requests_per_s: float) -> bool:
        """Count a request; return whether the workspace is within its rate limit."""
        rate_limit = self._rate_limits.get(workspace)
        if rate_limit is None or rate_limit.per_s != requests_per_s:
            rate_limit = self._rate_limits[workspace] = RateLimit(
                requests_per_s, clock_s()
            )
        if not rate_limit.allow(clock_s()):
            return False
        budget = self._budgets.setdefault(workspace, RetryBudget(self._retry_share))
        budget.first_try()
        return True

    def allow_retry(self, workspace: str) -> bool:
        """Take a retry from the workspace's budget; return False if it is used up."""
        return self._budgets[workspace].allow_retry()


class RequestService:
    """Runs requests on minions.

    Its methods block; the HTTP interface calls them from its threads.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: TableClient,
        objects: ObjectClient,
        pool: ChannelPool,
        minions: MinionActor,
        admission: AdmissionActor,
        tally: TallyActor,
    ):
        self._settings = settings
        self._table = table
        self._objects = objects
        self._pool = pool
        self._minions = minions
        self._admission = admission
        self._tally = tally

    def run(self, body: RequestBody, workspace: Workspace, key: str) -> RequestAnswer:
        """Run a request and return its whole answer.

        Raises
        ------
        RateLimitError, OverloadedError, StoreUnavailableError
            If it was not run.
        RequestFailedError, OutcomeUnknownError
            If it was run and failed, or may have been run.
        """
        deadline_s = clock_s() + body.deadline_s
        if not self._admission.ask(
            self._admission.admit, body.workspace, workspace.requests_per_s
        ):
            raise RateLimitError(
                f"the workspace {body.workspace!r} sends more than "
                f"{workspace.requests_per_s:g} requests/s; this one was not run",
                "send more slowly",
            )
        with self._count_outcome(body.workspace):
            if body.idempotent and not key:
                request_id = new_id("request")
                return self._answer_or_raise(
                    request_id, self._run_with_retries(body, request_id, deadline_s)
                )
            return self._run_stored(body, key or new_id("key"), deadline_s)

    @contextmanager
    def _count_outcome(self, workspace: str) -> Iterator[None]:
        """Count a request for the burn report, as answered or by its error code."""
        started_s = clock_s()
        error_code = ""
        try:
            yield
        except CicadabankError as error:
            error_code = error.code
            raise
        finally:
            count_request = self._tally.count_request
            self._tally.post(
                count_request, workspace, error_code, clock_s() - started_s
            )

    def _run_stored(
        self, body: RequestBody, key: str, deadline_s: float
    ) -> RequestAnswer:
        request_id = f"{body.workspace}.{key}"
        digest = hashlib.sha256(
            f"{body.idempotent}:{body.payload}".encode()
        ).hexdigest()
        row = RequestRow(
            request_id, body.workspace, digest, "sending", body.idempotent, unix_s()
        )
        row_key = Key.request(request_id)
        try:
            version = self._table.transact(
                put_new(new_id("request"), {row_key: encode(row)})
            )
        except RowConflictError as error:
            return self._await_outcome(error.rows[row_key].value, digest, deadline_s)
        except PlatformError as error:
            raise StoreUnavailableError(
                "the request could not be recorded, so it was not run", "send it again"
            ) from error
        outcome = self._run_with_retries(body, request_id, deadline_s)
        self._store_outcome(row, version, outcome)
        return self._answer_or_raise(request_id, outcome)

    def _await_outcome(
        self, value: bytes, digest: str, deadline_s: float
    ) -> RequestAnswer:
        """Wait for the outcome of an earlier request with the same key."""
        row = decode_as(value, RequestRow)
        if row.body_hash != digest:
            raise KeyReusedError(
                "the idempotency key was used with another body",
                "use a new key for new work",
            )
        while row.state == "sending" and clock_s() < deadline_s:
            time.sleep(OUTCOME_POLL_S)
            row = self._read_row(row.request)
        return self._stored_answer(row)

    def _read_row(self, request_id: str) -> RequestRow:
        try:
            row = self._table.read_one(Key.request(request_id))
        except UnavailableError as error:
            raise OutcomeUnknownError(
                "the record of the request could not be read",
                "read it again later by its id",
            ) from error
        if not row.exists:
            raise NotFoundError(f"the request {request_id!r} does not exist")
        return decode_as(row.value, RequestRow)

    def find(self, request_id: str, workspace: str) -> RequestAnswer:
        """Return the answer of a recorded request of a workspace.

        Raises
        ------
        NotFoundError
            If the workspace has no such request.
        OverloadedError, RequestFailedError, OutcomeUnknownError
            If it was refused, failed, or has no known outcome.
        """
        row = self._read_row(request_id)
        if row.workspace != workspace:
            raise NotFoundError(f"the request {request_id!r} does not exist")
        return self._stored_answer(row)

    def _stored_answer(self, row: RequestRow) -> RequestAnswer:
        answer = row.answer.encode()
        if row.answer_object:
            answer = self._objects.fetch(row.answer_object)
        if row.state == "sending":
            return self._answer_or_raise(
                row.request,
                Outcome("unknown", reason="its outcome is not recorded yet"),
            )
        return self._answer_or_raise(
            row.request, Outcome(row.state, answer, row.reason, row.minion)
        )

    def _store_outcome(self, row: RequestRow, version: int, outcome: Outcome) -> None:
        answer, answer_object = outcome.answer, ""
        try:
            if len(answer) > self._settings.limits.answer_inline_bytes:
                answer_object = f"request-answer/{row.request}"
                self._objects.store(answer_object, answer)
                answer = b""
            ended = row._replace(
                state=outcome.state,
                ended_unix_s=unix_s(),
                minion=outcome.minion,
                answer=answer.decode(errors="replace"),
                answer_object=answer_object,
                reason=outcome.reason,
            )
            key = Key.request(row.request)
            self._table.transact(
                Transaction(new_id("answer"), {key: version}, {key: encode(ended)}),
                ANSWER_STORE_TIMEOUT_S,
            )
        except PlatformError as error:
            # This caller still gets the answer; later reads of the request report an
            # unknown outcome.
            logger.bind(request=row.request).error(
                "the outcome of a request could not be stored: {}", error
            )

    @staticmethod
    def _answer_or_raise(request_id: str, outcome: Outcome) -> RequestAnswer:
        if outcome.state == "done":
            text = outcome.answer.decode(errors="replace")
            return RequestAnswer(request_id, "done", text, outcome.minion)
        if outcome.state == "refused":
            raise OverloadedError(
                f"{outcome.reason}; it was not run", "send it again later"
            )
        if outcome.state == "failed":
            raise RequestFailedError(
                f"the request {request_id!r} failed: {outcome.reason}"
            )
        raise OutcomeUnknownError(
            f"the request {request_id!r} may have run: {outcome.reason}",
            "if it had a key or is not idempotent, read its outcome later by its id; "
            "otherwise send it again",
            Ran.UNKNOWN,
        )

    def _run_with_retries(
        self, body: RequestBody, request_id: str, deadline_s: float
    ) -> Outcome:
        """Send a request to one minion after another until one succeeds.

        Ends at the deadline, after `MAX_TRIES`, or when the retry budget is used up. A
        request that is not idempotent is retried only if it was definitely not run.
        """
        avoid: set[str] = set()
        outcome = Outcome("refused", reason="no minion was asked")
        for try_number in range(1, MAX_TRIES + 1):
            remaining_s = deadline_s - clock_s()
            if remaining_s <= 0:
                break
            choice = self._minions.ask(self._minions.choose, frozenset(avoid))
            if not choice.name:
                return outcome if avoid else Outcome("refused", reason=choice.reason)
            avoid.add(choice.name)
            timeout_share = (
                TRY_TIMEOUT_SHARE if body.idempotent and try_number < MAX_TRIES else 1.0
            )
            outcome = self._send_once(
                body, request_id, choice, remaining_s * timeout_share
            )
            if not self._may_retry(body, outcome):
                break
        return outcome

    def _may_retry(self, body: RequestBody, outcome: Outcome) -> bool:
        if outcome.state == "done":
            return False
        definitely_not_run = outcome.state == "refused"
        if not (definitely_not_run or body.idempotent):
            return False
        return self._admission.ask(self._admission.allow_retry, body.workspace)

    def _send_once(
        self, body: RequestBody, request_id: str, choice: MinionChoice, timeout_s: float
    ) -> Outcome:
        started_s = clock_s()
        try:
            answer = self._send(body, request_id, choice, timeout_s)
        except grpc.RpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may be dead while it still looks open, so the next call
                # opens a new one.
                self._pool.drop(choice.address)
            reason = f"{choice.name} did not answer: {error.code().name.lower()}"
            outcome = Outcome("unknown", reason=reason, minion=choice.name)
        else:
            outcome = _checked_outcome(answer, request_id, choice.name)
        failed = outcome.state in ("failed", "unknown")
        latency_s = clock_s() - started_s
        self._minions.post(self._minions.finished, choice.name, failed, latency_s)
        return outcome

    def _send(
        self, body: RequestBody, request_id: str, choice: MinionChoice, timeout_s: float
    ) -> control_pb2.MemberAnswer:
        channel = self._pool.get(choice.address)
        payload = body.payload.encode()
        message = control_pb2.MemberRequest(
            request=request_id,
            workspace=body.workspace,
            payload=payload,
            incarnation="" if body.idempotent else choice.incarnation,
            idempotent=body.idempotent,
        )
        return control_pb2_grpc.AgentStub(channel).Handle(message, timeout=timeout_s)


def _checked_outcome(
    answer: control_pb2.MemberAnswer, request_id: str, minion: str
) -> Outcome:
    if answer.request != request_id:
        return Outcome(
            "unknown",
            reason="an answer to another request came",
            minion=minion,
        )
    return Outcome(answer.outcome, answer.answer, answer.reason, minion)
