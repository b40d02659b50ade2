"""Requests to minions: at most once where asked for, whole answers, true refusals."""

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
from cicadabank.entry.internal.minions import MinionTask, Route
from cicadabank.entry.internal.tally import TallyTask
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
from cicadabank.tasks import Task, clock_s, unix_s
from cicadabank.web.errors import OverloadedError
from cicadabank.wire import (
    ChannelPool,
    control_pb2,
    control_pb2_grpc,
)
from loguru import logger

FIRST_TRY_SHARE = 0.6
MAX_TRIES = 3
POLL_S = 0.2
ANSWER_STORE_TIMEOUT_S = 4.0


class RequestRow(NamedTuple):
    """The stored record of a request that is not idempotent, or has a key."""

    request: str
    workspace: str
    body_hash: str
    state: str  # sending, done, failed, refused, outcome-unknown
    idempotent: bool
    received_unix_s: float
    ended_unix_s: float = 0.0
    minion: str = ""
    answer: str = ""
    answer_object: str = ""
    reason: str = ""


class RequestCall(NamedTuple):
    """A request as a caller sends it."""

    workspace: str
    payload: str = ""
    idempotent: bool = True
    deadline_s: float = 30.0


class RequestAnswer(NamedTuple):
    """The answer to a request."""

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


class RetryTask(Task):
    """Owns the retry budgets and the rates of the workspaces."""

    def __init__(self, retry_share: float):
        super().__init__(60.0)
        self._share = retry_share
        self._budgets: dict[str, RetryBudget] = {}
        self._rates: dict[str, RateLimit] = {}

    def first_try(self, workspace: str, requests_per_s: float) -> bool:
        """Admit a request; return whether the workspace is within its rate."""
        rate = self._rates.get(workspace)
        if rate is None or rate.per_s != requests_per_s:
            rate = self._rates[workspace] = RateLimit(requests_per_s, clock_s())
        if not rate.allow(clock_s()):
            return False
        budget = self._budgets.setdefault(workspace, RetryBudget(self._share))
        budget.first_try()
        return True

    def allow_retry(self, workspace: str) -> bool:
        """Spend a retry of the workspace's budget."""
        return self._budgets[workspace].allow_retry()


class RequestService:
    """Runs requests.

    Its methods block and are called from the threads of the HTTP interface.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: TableClient,
        objects: ObjectClient,
        pool: ChannelPool,
        minions: MinionTask,
        retries: RetryTask,
        tally: TallyTask,
    ):
        self._settings = settings
        self._table = table
        self._objects = objects
        self._pool = pool
        self._minions = minions
        self._retries = retries
        self._tally = tally

    def run(self, call: RequestCall, workspace: Workspace, key: str) -> RequestAnswer:
        """Run a request and return its whole answer.

        Raises
        ------
        RateLimitError, OverloadedError, StoreUnavailableError
            If it was not run.
        RequestFailedError, OutcomeUnknownError
            If it was, or may have been.
        """
        deadline_s = clock_s() + call.deadline_s
        if not self._retries.ask(
            self._retries.first_try, call.workspace, workspace.requests_per_s
        ):
            raise RateLimitError(
                f"the workspace {call.workspace!r} sends more than "
                f"{workspace.requests_per_s:g} requests/s; this one was not run",
                "send more slowly",
            )
        with self._counted(call.workspace):
            if call.idempotent and not key:
                request = new_id("request")
                return self._reply(request, self._try(call, request, deadline_s))
            return self._run_stored(call, key or new_id("key"), deadline_s)

    @contextmanager
    def _counted(self, workspace: str) -> Iterator[None]:
        """Count a request for the burn report: answered, or by the error's code."""
        started_s = clock_s()
        outcome = ""
        try:
            yield
        except CicadabankError as error:
            outcome = error.code
            raise
        finally:
            note = self._tally.note_request
            self._tally.post(note, workspace, outcome, clock_s() - started_s)

    def _run_stored(
        self, call: RequestCall, key: str, deadline_s: float
    ) -> RequestAnswer:
        request = f"{call.workspace}.{key}"
        digest = hashlib.sha256(
            f"{call.idempotent}:{call.payload}".encode()
        ).hexdigest()
        row = RequestRow(
            request, call.workspace, digest, "sending", call.idempotent, unix_s()
        )
        row_key = Key.request(request)
        try:
            version = self._table.transact(
                put_new(new_id("request"), {row_key: encode(row)})
            )
        except RowConflictError as error:
            return self._follow(error.rows[row_key].value, digest, deadline_s)
        except PlatformError as error:
            raise StoreUnavailableError(
                "the request could not be recorded, so it was not run", "send it again"
            ) from error
        outcome = self._try(call, request, deadline_s)
        self._store_outcome(row, version, outcome)
        return self._reply(request, outcome)

    def _follow(self, value: bytes, digest: str, deadline_s: float) -> RequestAnswer:
        """Wait for the outcome of the same request, sent before."""
        row = decode_as(value, RequestRow)
        if row.body_hash != digest:
            raise KeyReusedError(
                "the idempotency key was used with another body",
                "use a new key for new work",
            )
        while row.state == "sending" and clock_s() < deadline_s:
            time.sleep(POLL_S)
            row = self._read(row.request)
        return self._answer_of(row)

    def _read(self, request: str) -> RequestRow:
        try:
            row = self._table.read_one(Key.request(request))
        except UnavailableError as error:
            raise OutcomeUnknownError(
                "the record of the request can't be read", "ask for it again by its id"
            ) from error
        if not row.exists:
            raise NotFoundError(f"the request {request!r} does not exist")
        return decode_as(row.value, RequestRow)

    def find(self, request: str, workspace: str) -> RequestAnswer:
        """Return the answer of a recorded request of a workspace.

        Raises
        ------
        NotFoundError
            If the workspace has no such request.
        """
        row = self._read(request)
        if row.workspace != workspace:
            raise NotFoundError(f"the request {request!r} does not exist")
        return self._answer_of(row)

    def _answer_of(self, row: RequestRow) -> RequestAnswer:
        answer = row.answer.encode()
        if row.answer_object:
            answer = self._objects.fetch(row.answer_object)
        if row.state == "sending":
            return self._reply(
                row.request,
                Outcome("unknown", reason="its outcome is not recorded yet"),
            )
        return self._reply(
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
            # The caller gets the answer all the same; a later question finds "unknown".
            logger.bind(request=row.request).error(
                "an outcome could not be stored: {}", error
            )

    @staticmethod
    def _reply(request: str, outcome: Outcome) -> RequestAnswer:
        if outcome.state == "done":
            text = outcome.answer.decode(errors="replace")
            return RequestAnswer(request, "done", text, outcome.minion)
        if outcome.state == "refused":
            raise OverloadedError(
                f"{outcome.reason}; it was not run", "send it again later"
            )
        if outcome.state == "failed":
            raise RequestFailedError(
                f"the request {request!r} failed: {outcome.reason}"
            )
        raise OutcomeUnknownError(
            f"the request {request!r} may have run: {outcome.reason}",
            "ask for it by its id; it never runs again",
            Ran.UNKNOWN,
        )

    def _try(self, call: RequestCall, request: str, deadline_s: float) -> Outcome:
        """Try on minions until one answers.

        Within the deadline and the retry budget.
        """
        avoid: set[str] = set()
        outcome = Outcome("refused", reason="no minion was asked")
        for number in range(1, MAX_TRIES + 1):
            left_s = deadline_s - clock_s()
            if left_s <= 0:
                break
            route = self._minions.ask(self._minions.choose, frozenset(avoid))
            if not route.name:
                return outcome if avoid else Outcome("refused", reason=route.reason)
            avoid.add(route.name)
            share = FIRST_TRY_SHARE if call.idempotent and number < MAX_TRIES else 1.0
            outcome = self._try_once(call, request, route, left_s * share)
            if not self._may_retry(call, outcome):
                break
        return outcome

    def _may_retry(self, call: RequestCall, outcome: Outcome) -> bool:
        if outcome.state == "done":
            return False
        surely_not_run = outcome.state == "refused"
        if not (surely_not_run or call.idempotent):
            return False
        return self._retries.ask(self._retries.allow_retry, call.workspace)

    def _try_once(
        self, call: RequestCall, request: str, route: Route, timeout_s: float
    ) -> Outcome:
        started_s = clock_s()
        try:
            answer = self._send(call, request, route, timeout_s)
        except grpc.RpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(route.address)
            reason = f"{route.name} did not answer: {error.code().name.lower()}"
            outcome = Outcome("unknown", reason=reason, minion=route.name)
        else:
            outcome = _outcome(answer, request, route.name)
        failed = outcome.state in ("failed", "unknown")
        latency_s = clock_s() - started_s
        self._minions.post(self._minions.finished, route.name, failed, latency_s)
        return outcome

    def _send(
        self, call: RequestCall, request: str, route: Route, timeout_s: float
    ) -> control_pb2.MemberAnswer:
        channel = self._pool.get(route.address)
        payload = call.payload.encode()
        message = control_pb2.MemberRequest(
            request=request,
            workspace=call.workspace,
            payload=payload,
            incarnation="" if call.idempotent else route.incarnation,
            idempotent=call.idempotent,
        )
        return control_pb2_grpc.AgentStub(channel).Handle(message, timeout=timeout_s)


def _outcome(answer: control_pb2.MemberAnswer, request: str, minion: str) -> Outcome:
    if answer.request != request:
        return Outcome(
            "unknown", reason="an answer to another request came", minion=minion
        )
    return Outcome(answer.outcome, answer.answer, answer.reason, minion)
