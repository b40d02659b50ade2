"""Routes of the HTTP interface, which docs/openapi.json describes."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from cicadabank.entry.internal.burn_record import BurnRecordService
from cicadabank.entry.internal.job_store import StoredJob
from cicadabank.entry.internal.jobs import JobService
from cicadabank.entry.internal.requests import RequestBody, RequestService
from cicadabank.entry.internal.resources import (
    ChangeRequest,
    ResourceService,
    VersionedResource,
    require_workspace,
)
from cicadabank.model import KINDS, NotFoundError, from_builtins, to_builtins
from cicadabank.web.errors import BadRequestError
from cicadabank.web.messages import ApiCall, ApiReply, json_reply

MAX_WAIT_S = 30.0
MAX_LIST_ITEMS = 1000
MAX_OPERATOR_LENGTH = 200
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[!-.0-~]{1,200}")


class MethodNotAllowedError(BadRequestError):
    """The path exists, but not for this HTTP method."""

    code = "method-not-allowed"
    status = 405


class Route(NamedTuple):
    """An HTTP method and path pattern, and the function that handles them."""

    method: str
    path: re.Pattern[str]
    handler: Callable[..., ApiReply]


class StateSources(NamedTuple):
    """Functions that give the status routes the state of the entry's other actors."""

    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    targets: Callable[[], list[dict[str, Any]]]


class Api:
    """Handles HTTP calls; handlers run in threads of the HTTP server and may block."""

    def __init__(
        self,
        jobs: JobService,
        requests: RequestService,
        resources: ResourceService,
        state: StateSources,
        request_deadline_s: float,
        view: Callable,
        burn_record: BurnRecordService,
    ):
        self._jobs = jobs
        self._requests = requests
        self._resources = resources
        self._state = state
        self._request_deadline_s = request_deadline_s
        self._view = view
        self._burn_record = burn_record
        self._routes = [
            Route(method, re.compile(path), handler)
            for method, path, handler in (
                ("GET", r"/healthz", self._health),
                ("GET", r"/readyz", self._ready),
                ("POST", r"/v1/jobs", self._submit),
                ("GET", r"/v1/jobs", self._list_jobs),
                ("GET", r"/v1/jobs/([^/]+)", self._read_job),
                ("GET", r"/v1/jobs/([^/]+)/answer", self._read_job_answer),
                ("DELETE", r"/v1/jobs/([^/]+)", self._cancel),
                ("POST", r"/v1/requests", self._run_request),
                ("GET", r"/v1/requests/([^/]+)", self._find_request),
                ("GET", r"/v1/resources/([^/]+)", self._list_resources),
                ("GET", r"/v1/resources/([^/]+)/([^/]+)", self._read_resource),
                ("PUT", r"/v1/resources/([^/]+)/([^/]+)", self._apply),
                ("DELETE", r"/v1/resources/([^/]+)/([^/]+)", self._delete),
                ("GET", r"/v1/config/log", self._read_config_log),
                ("GET", r"/v1/record", self._read_burn_record),
                ("GET", r"/v1/status", self._status),
                ("GET", r"/v1/targets", self._targets),
            )
        ]

    def dispatch(self, call: ApiCall) -> ApiReply:
        """Route a call to its handler and return the reply.

        Raises
        ------
        CicadabankError
            If the call fails; its code is part of the interface and stable.
        """
        allowed_methods = []
        for route in self._routes:
            match = route.path.fullmatch(call.path)
            if match is None:
                continue
            if route.method == call.method:
                return route.handler(call, *match.groups())
            allowed_methods.append(route.method)
        if allowed_methods:
            raise MethodNotAllowedError(
                f"{call.path} does not take {call.method}",
                f"use {', '.join(allowed_methods)}",
            )
        raise NotFoundError(
            f"the path {call.path!r} does not exist", "see docs/openapi.json"
        )

    def _health(self, _call: ApiCall) -> ApiReply:
        return json_reply(200, {"healthy": True})

    def _ready(self, _call: ApiCall) -> ApiReply:
        ready = self._state.ready()
        return json_reply(200 if ready else 503, {"ready": ready})

    def _status(self, _call: ApiCall) -> ApiReply:
        return json_reply(200, self._state.status())

    def _targets(self, _call: ApiCall) -> ApiReply:
        return json_reply(200, {"targets": self._state.targets()})

    def _submit(self, call: ApiCall) -> ApiReply:
        stored = self._jobs.submit(call.document(), _idempotency_key(call))
        return json_reply(202, job_document(stored))

    def _list_jobs(self, call: ApiCall) -> ApiReply:
        limit = int(call.number("limit", 100, MAX_LIST_ITEMS))
        stored = self._jobs.list(call.query.get("workspace", ""), limit)
        return json_reply(200, {"jobs": [job_document(job) for job in stored]})

    def _read_job(self, call: ApiCall, job: str) -> ApiReply:
        wait_s = call.number("wait_s", 0.0, MAX_WAIT_S)
        if not wait_s:
            return json_reply(200, job_document(self._jobs.read(job)))
        after_version = int(call.number("after_version", 0, 2**53))
        return json_reply(
            200, job_document(self._jobs.watch(job, after_version, wait_s))
        )

    def _read_job_answer(self, call: ApiCall, job: str) -> ApiReply:
        return ApiReply(200, self._jobs.answer(job, _workspace(call)))

    def _cancel(self, _call: ApiCall, job: str) -> ApiReply:
        return json_reply(202, job_document(self._jobs.cancel(job)))

    def _run_request(self, call: ApiCall) -> ApiReply:
        request = from_builtins(call.document(), RequestBody)
        if not 0 < request.deadline_s <= self._request_deadline_s:
            raise BadRequestError(
                f"deadline_s is {request.deadline_s:g}, "
                f"expected more than 0 and at most {self._request_deadline_s:g}",
                "send a deadline within these bounds",
            )
        workspace = require_workspace(self._view(), request.workspace)
        answer = self._requests.run(request, workspace, _idempotency_key(call))
        return json_reply(200, answer)

    def _find_request(self, call: ApiCall, request: str) -> ApiReply:
        return json_reply(200, self._requests.find(request, _workspace(call)))

    def _list_resources(self, _call: ApiCall, kind: str) -> ApiReply:
        _check_kind(kind)
        documents = [
            resource_document(resource) for resource in self._resources.list(kind)
        ]
        return json_reply(200, {"resources": documents})

    def _read_resource(self, _call: ApiCall, kind: str, name: str) -> ApiReply:
        _check_kind(kind)
        return json_reply(200, resource_document(self._resources.read(kind, name)))

    def _apply(self, call: ApiCall, kind: str, name: str) -> ApiReply:
        return self._change(call, kind, name, call.document())

    def _delete(self, call: ApiCall, kind: str, name: str) -> ApiReply:
        return self._change(call, kind, name, None)

    def _change(
        self, call: ApiCall, kind: str, name: str, fields: dict | None
    ) -> ApiReply:
        _check_kind(kind)
        operator = call.headers.get("operator", "unnamed")[:MAX_OPERATOR_LENGTH]
        change = ChangeRequest(kind, name, fields, operator, _if_version(call))
        return json_reply(200, resource_document(self._resources.apply(change)))

    def _read_burn_record(self, call: ApiCall) -> ApiReply:
        after_unix_s = call.number("after_unix_s", 0.0, 1e12)
        return json_reply(200, self._burn_record.read(after_unix_s))

    def _read_config_log(self, call: ApiCall) -> ApiReply:
        after_version = int(call.number("after_version", 0, 2**53))
        limit = int(call.number("limit", 100, MAX_LIST_ITEMS))
        changes = [
            to_builtins(change) for change in self._resources.log(after_version, limit)
        ]
        return json_reply(200, {"changes": changes})


def job_document(stored: StoredJob) -> dict[str, Any]:
    """Return the JSON document of a job: its row and the row's version."""
    return {**to_builtins(stored.row), "version": stored.version}


def resource_document(resource: VersionedResource) -> dict[str, Any]:
    """Return the JSON document of a resource."""
    return to_builtins(resource)


def _idempotency_key(call: ApiCall) -> str:
    key = call.headers.get("idempotency-key", "")
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise BadRequestError(
            "the Idempotency-Key is malformed",
            "use 1 to 200 visible ASCII characters without a slash",
        )
    return key


def _workspace(call: ApiCall) -> str:
    workspace = call.headers.get("workspace") or call.query.get("workspace", "")
    if not workspace:
        raise BadRequestError(
            "the Workspace header is missing", "name your workspace in it"
        )
    return workspace


def _if_version(call: ApiCall) -> int | None:
    text = call.headers.get("if-match", "").strip('"')
    if not text:
        return None
    if not text.isdigit():
        raise BadRequestError(
            "If-Match is not a version", "send the version that you have read"
        )
    return int(text)


def _check_kind(kind: str) -> None:
    if kind not in KINDS:
        raise NotFoundError(
            f"the kind {kind!r} does not exist", f"use {', '.join(KINDS)}"
        )
