"""Checks the platform adapter's decoding of messages, and its error handling."""

from __future__ import annotations

import json
import threading

import msgspec
import pytest
from cicadabank.control import JobStatus, StartOutcome
from cicadabank.control.errors import (
    NoRouteError,
    StoreUnavailableError,
    UnsupportedJobError,
)
from cicadabank.local import Ports
from cicadabank.platform import operator, settings, store
from cicadabank.platform import target as target_module
from cicadabank.platform.http import MalformedDataError
from cicadabank.platform.job_api import DEFAULT_DEADLINE_S, JobApi
from cicadabank.platform.standin import StoreStandIn, serving
from cicadabank.platform.target import HttpTarget, decode_heartbeat
from cicadabank.scheduling import QueueConfig, Resources, RouteConfig, RunId
from cicadabank.store import (
    HistoryLostError,
    RowConflictError,
    StoredRow,
    UnavailableError,
)
from cicadabank.web.messages import ApiCall, ApiReply

QUEUE = QueueConfig("q", "cell", 1, 3, 3.0, 1.0)
ROUTE = RouteConfig("h", "/q/", False, QUEUE)
STEP = {"count": 2, "cpu": 1500, "memMb": 64, "gpu": 4, "estimateMs": 2500}


class FakeJobService:
    """Records the calls of the job API."""

    def __init__(self):
        self.submitted = []
        self.error = None
        self.job_status = JobStatus("running")
        self.submitted_status = JobStatus("pending")
        self.refused = []

    def route(self, host, path, timing):
        if not path.startswith("/q/"):
            raise NoRouteError("no queue")
        return ROUTE, path[3:]

    def authorize(self, route, key):
        self.key = key
        return "w"

    def log_refusal(self, method, path, error, timing):
        self.refused.append(error)

    def submit(self, route, request, timing):
        self.submitted.append((request, timing.deadline_s))
        return self.submitted_status

    def status(self, route, job):
        if self.error is not None:
            raise self.error
        return self.job_status

    def pending_count(self, route, timing):
        return 12


def call(method, path, document=None, **headers) -> ApiCall:
    body = b"" if document is None else json.dumps(document).encode()
    return ApiCall(method, path, {}, {"host": "h:80", **headers}, body)


class TestJobApi:
    def test_decodes_a_job(self):
        service = FakeJobService()
        step = {**STEP, "after": [0], "gang": True, "sameRack": True}
        step.update(requires="a", dataRack="r1", antiAffinity=2, checkpointable=True)
        body = {"spec": "text", "steps": [STEP, step]}
        headers = {"authorization": "Bearer k", "x-deadline-ms": "1500"}
        reply = JobApi(service).dispatch(
            call("POST", "/q/" + "a" * 16, body, **headers)
        )
        (request, deadline_s), *_ = service.submitted
        assert (reply.status, deadline_s, service.key) == (200, 1.5, "k")
        assert (request.payload, request.workspace) == ("text", "w")
        second = request.steps[1]
        assert second.need == Resources(1500, 64, 4)
        assert (second.estimate_s, second.after, second.gang) == (2.5, (0,), True)
        assert (second.same_rack, second.label, second.data_rack) == (True, "a", "r1")
        assert (second.per_target, second.checkpointable) == (2, True)

    @pytest.mark.parametrize(
        "body",
        [
            None,
            [],
            {},
            {"spec": 1, "steps": [STEP]},
            {"spec": "s", "steps": []},
            {"spec": "s", "steps": [{"count": 0}]},
            {"spec": "s", "steps": [{"count": "x"}]},
            {"spec": "s", "steps": [{**STEP, "gpu": -1}]},
        ],
    )
    def test_a_malformed_job_is_refused_with_a_code(self, body):
        service = FakeJobService()
        reply = JobApi(service).dispatch(call("POST", "/q/" + "a" * 16, body))
        assert (reply.status, json.loads(reply.body)["code"]) == (400, "bad-job")
        assert not service.submitted

    @pytest.mark.parametrize("field", ["longRunning", "fills", "targetMs", "mayMiss"])
    def test_a_job_with_an_unsupported_field_is_refused_as_a_whole(self, field):
        service = FakeJobService()
        body = {"spec": "s", "steps": [STEP, {**STEP, field: 1}]}
        reply = JobApi(service).dispatch(call("POST", "/q/" + "a" * 16, body))
        assert reply.status == 501
        assert isinstance(service.refused[0], UnsupportedJobError)

    # Guards against requests that wait without end because of such a header.
    @pytest.mark.parametrize("deadline_ms", ["nan", "inf", "-inf", "-1", "soon", ""])
    def test_an_unusable_deadline_is_replaced_by_the_default(self, deadline_ms):
        service = FakeJobService()
        headers = {"x-deadline-ms": deadline_ms}
        body = {"spec": "s", "steps": [STEP]}
        JobApi(service).dispatch(call("POST", "/q/" + "a" * 16, body, **headers))
        ((_, deadline_s),) = service.submitted
        assert deadline_s == DEFAULT_DEADLINE_S

    @pytest.mark.parametrize(("waited", "retry_after"), [(False, "1"), (True, "0")])
    def test_a_refusal_tells_when_to_come_back(self, waited, retry_after):
        service = FakeJobService()
        service.error = StoreUnavailableError("the store is unavailable", waited)
        reply = JobApi(service).dispatch(call("GET", "/q/" + "a" * 16))
        assert reply.status == 503
        assert dict(reply.headers)["Retry-After"] == retry_after

    def test_returns_states_and_queue_lengths(self):
        api = JobApi(FakeJobService())
        reply = api.dispatch(call("GET", "/q/" + "a" * 16))
        assert json.loads(reply.body) == {"state": "running"}
        assert json.loads(api.dispatch(call("GET", "/q/")).body) == {"waiting": 12}
        assert api.dispatch(call("GET", "/q/short")).status == 404
        assert api.dispatch(call("GET", "/other/")).status == 404

    # Guards against a caller who is told that a cancelled job is pending.
    @pytest.mark.parametrize("state", ["pending", "cancelled", "completed"])
    def test_a_submitted_job_is_shown_as_it_is(self, state):
        service = FakeJobService()
        service.submitted_status = JobStatus(state)
        body = {"spec": "s", "steps": [STEP]}
        reply = JobApi(service).dispatch(call("POST", "/q/" + "a" * 16, body))
        assert (reply.status, json.loads(reply.body)) == (200, {"state": state})

    # Guards against a caller who can't learn why a job has failed.
    def test_a_failed_job_has_a_reason(self):
        service = FakeJobService()
        service.job_status = JobStatus("failed", "step 0 failed 3 times")
        reply = JobApi(service).dispatch(call("GET", "/q/" + "a" * 16))
        assert reply.status == 200
        assert json.loads(reply.body) == {
            "state": "failed",
            "reason": "step 0 failed 3 times",
        }


class TestHeartbeats:
    HEARTBEAT = {
        "service": "cell",
        "address": "10.0.0.1:8080",
        "zone": "d",
        "state": "draining",
        "remainingMs": 2500,
        "capacity": {"cpu": 32000, "memMb": 1000, "gpu": 8},
        "labels": ["a", "r1-2"],
        "seq": 4,
        "born": 17,
    }

    def test_decodes_a_heartbeat(self):
        heartbeat = decode_heartbeat("t", json.dumps(self.HEARTBEAT).encode())
        assert (heartbeat.target, heartbeat.started_ms, heartbeat.sequence) == (
            "t",
            17,
            4,
        )
        assert (heartbeat.rack, heartbeat.draining, heartbeat.remaining_s) == (
            "r1-2",
            True,
            2.5,
        )
        assert heartbeat.capacity == Resources(32000, 1000, 8)

    @pytest.mark.parametrize(
        "change",
        [{"state": "odd"}, {"capacity": None}, {"seq": None}, {"labels": 5}],
    )
    def test_a_malformed_heartbeat_raises(self, change):
        body = json.dumps({**self.HEARTBEAT, **change}).encode()
        with pytest.raises((ValueError, TypeError, KeyError)):
            decode_heartbeat("t", body)

    def test_a_heartbeat_that_is_not_json_raises(self):
        with pytest.raises(msgspec.DecodeError):
            decode_heartbeat("t", b"\xff{")


class TestOperatorRows:
    def rows(self, document, *keys):
        rows = {"config": StoredRow("", "config", json.dumps(document).encode(), 1)}
        return rows | {key: StoredRow("", key, b"{}", 2) for key in keys}

    def test_decodes_configuration_and_evacuations(self):
        route = {"name": "q", "pathPrefix": "/q/", "service": "s", "host": "H"}
        tenant = {"name": "w", "apiKeys": ["k"], "guaranteed": {"gpu": 16}}
        document = {"version": 5, "routes": [route], "tenants": [tenant]}
        # The row with another prefix is ignored.
        view = operator.read_operator(self.rows(document, "evacuate/z", "wave/1"))
        assert view.domains_out == {"z"}
        assert view.config.version == 5
        assert view.config.guarantees() == {"w": 16}
        assert view.config.routes[0].host == "h"

    def test_a_malformed_configuration_raises(self):
        with pytest.raises(MalformedDataError):
            operator.read_operator(self.rows({"routes": [{}]}))


class TestSettings:
    def test_error_names_a_missing_field(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text('node = "n"\n[listen]\n[bounds]\n')
        with pytest.raises(settings.PlatformSettingsError, match="zone"):
            settings.load(str(path))

    def test_a_missing_file_raises_a_settings_error(self, tmp_path):
        with pytest.raises(settings.PlatformSettingsError):
            settings.load(str(tmp_path / "none"))


@pytest.fixture(scope="class")
def served():
    address = Ports().address()
    stand_in = StoreStandIn()
    with serving(address, stand_in.dispatch):
        yield stand_in, store.HttpTable(address, "cells")


class TestHttpTable:
    def test_commits_reads_and_follows_rows(self, served):
        _, table = served
        version = table.commit("p", {"a": 0}, {"a": b"\x00one", "b": b"two"})
        assert [row.value for row in table.read("p").rows] == [b"\x00one", b"two"]
        assert [row.key for row in table.read("p", "b", "b\x00").rows] == ["b"]
        assert [row.partition for row in table.partitions().rows] == ["p"]
        page = table.changes(version - 1, 0.1)
        assert {row.key for row in page.rows} == {"a", "b"}
        table.commit("p", {}, {}, ("b",))
        assert table.changes(version, 0.1).rows[0].value is None

    def test_a_conflict_carries_the_current_rows(self, served):
        _, table = served
        table.commit("q", {}, {"a": b"one"})
        with pytest.raises(RowConflictError) as raised:
            table.commit("q", {"a": 0}, {"a": b"two"})
        assert raised.value.rows["a"].value == b"one"

    def test_a_lost_history_raises(self, served):
        stand_in, table = served
        table.commit("r", {}, {"a": b"one"})
        stand_in.tables["cells"].forget_history()
        with pytest.raises(HistoryLostError):
            table.changes(0, 0.1)

    def test_a_refused_commit_raises_unavailable(self, served):
        stand_in, table = served
        stand_in.unavailable = True
        try:
            with pytest.raises(UnavailableError):
                table.commit("p", {}, {"c": b"three"})
        finally:
            stand_in.unavailable = False

    def test_a_refused_connection_raises_unavailable(self):
        table = store.HttpTable(Ports().address(), "cells")
        with pytest.raises(UnavailableError):
            table.commit("p", {}, {"a": b"one"})


class TestHttpTarget:
    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (200, {}, (True, "", True)),
            (409, {"reason": "old"}, (True, "old", True)),
            (503, {}, (True, "unhealthy", True)),
            (429, {}, (True, "unhealthy", True)),
            (400, {}, (True, "malformed", True)),
            (421, {}, (False, "", False)),
            (500, {}, (False, "", True)),
        ],
    )
    def test_start_maps_each_status_to_an_outcome(
        self, status, body, outcome, monkeypatch
    ):
        monkeypatch.setattr(target_module, "CALL_TIMEOUT_S", 10.0)
        address, requests = Ports().address(), []

        def dispatch(request):
            requests.append(json.loads(request.body))
            return ApiReply(status, json.dumps(body).encode())

        with serving(address, dispatch):
            run = RunId("a" * 16, 1, 2, 3)
            result = HttpTarget(address).start(run, "spec", "", 12.5, 4, "t")
        assert tuple(result) == outcome
        assert requests[0]["task"] == "a" * 16 + ".0.1.2"
        assert (requests[0]["untilMs"], requests[0]["fence"]) == (12500, 4)

    def test_start_without_a_reply_in_time_has_an_unknown_outcome(self):
        address, returned = Ports().address(), threading.Event()

        def dispatch(request):
            returned.wait()
            return ApiReply(200, b"{}")

        with serving(address, dispatch):
            run = RunId("a" * 16, 1, 2, 3)
            result = HttpTarget(address).start(run, "spec", "", 12.5, 4, "t")
            returned.set()
        assert result == StartOutcome(False, received=True)

    def test_start_without_a_connection_has_an_unknown_outcome(self):
        run = RunId("a" * 16, 1, 2, 3)
        result = HttpTarget(Ports().address()).start(run, "spec", "", 12.5, 4, "t")
        assert result == StartOutcome(False, received=False)
