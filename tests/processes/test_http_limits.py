"""Invalid and concurrent requests to an entry's HTTP interface.

Invalid input gets a specific 4xx response; valid requests still get complete answers.
"""

from __future__ import annotations

import json
import socket
import threading
import time

import httpx
import pytest
from cicadabank.client import ApiError, Client
from cicadabank.local import wait_until

from tests.support.entries import local_deployment_running

LIMITS = {"header_time_s": 2.0, "body_bytes": 100_000, "connections": 120}


@pytest.fixture(scope="module")
def local():
    with (
        local_deployment_running(limits=LIMITS) as local,
        Client(local.layout.http) as client,
    ):
        client.apply("workspace", {"name": "glaze", "quota_accelerators": 16})
        entry = local.parts["entry-1"]
        wait_until(lambda: entry.config.snapshot.view.workspaces, 5.0, "the workspace")
        yield local


def send_raw(local, data, second_part=b"", pause_s=0.0):
    """Send raw bytes; return all that is received until the entry closes."""
    host, port = local.http_address.split(":")
    with socket.create_connection((host, int(port)), timeout=8.0) as sock:
        sock.sendall(data)
        if second_part:
            time.sleep(pause_s)
            sock.sendall(second_part)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
        return received


def status_and_code(response):
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]["code"]


class TestMalformed:
    @pytest.mark.parametrize(
        ("data", "status", "code"),
        [
            (b"GARBAGE\r\n\r\n", 400, "bad-request"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", 400, "bad-request"),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
                400,
                "bad-request",
            ),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                411,
                "length-required",
            ),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n",
                413,
                "body-too-large",
            ),
            (
                b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 200_000,
                431,
                "headers-too-large",
            ),
        ],
        ids=[
            "no-request-line",
            "no-host",
            "no-colon",
            "length-not-a-number",
            "length-negative",
            "two-lengths",
            "chunked",
            "large-body",
            "large-headers",
        ],
    )
    def test_gets_an_error_response_and_the_connection_is_closed(
        self, local, data, status, code
    ):
        assert status_and_code(send_raw(local, data)) == (status, code)

    def test_slow_sender_gets_a_timeout_response(self, local):
        response = send_raw(local, b"GET /healthz HTTP/1.1\r\nHo")
        assert status_and_code(response) == (408, "slow-sender")

    @pytest.mark.parametrize("body", [b"{", b"[1]", b"\xff", b'"text"', b""])
    def test_body_that_is_not_a_json_object_is_rejected(self, local, body):
        response = httpx.post(f"http://{local.http_address}/v1/jobs", content=body)
        assert response.status_code == 400
        assert response.json()["error"]["ran"] == "no"
        assert "Traceback" not in response.text


class TestPipelined:
    def test_responses_come_in_the_order_of_the_requests(self, local):
        request = b"GET /v1/jobs/%d HTTP/1.1\r\nHost: a\r\n\r\n"
        closing_request = (
            b"GET /v1/jobs/9 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        response = send_raw(
            local, b"".join(request % number for number in range(3)) + closing_request
        )
        ids_found = [b"'%d'" % number in response for number in (0, 1, 2, 9)]
        assert all(ids_found)
        assert response.count(b"HTTP/1.1 404") == 4
        assert response.index(b"'0'") < response.index(b"'1'") < response.index(b"'9'")

    def test_request_sent_in_two_parts_is_accepted(self, local):
        head = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        assert b"200 OK" in send_raw(local, head, b"\r\n", pause_s=0.3)


class TestBadFields:
    @pytest.mark.parametrize(
        ("fields", "status", "code", "text"),
        [
            ({"tasks": "x"}, 400, "invalid-input", "at $.tasks"),
            ({"tasks": 0}, 400, "invalid-input", "at $.tasks"),
            ({"colour": 1}, 400, "invalid-input", "unknown field 'colour'"),
            ({"adjacency": "shed"}, 400, "invalid-input", "at $.adjacency"),
            ({"workspace": "nobody"}, 422, "unknown-workspace", "nobody"),
            ({"tasks": 17}, 422, "quota", "quota of 'glaze' is 16"),
            ({"accelerators_per_task": 9}, 422, "impossible-shape", "1 x 8"),
        ],
    )
    def test_error_message_names_the_field(self, local, fields, status, code, text):
        with Client(local.layout.http) as client, pytest.raises(ApiError) as caught:
            client.submit({"workspace": "glaze", **fields})
        assert (caught.value.status, caught.value.code) == (status, code)
        assert text in caught.value.message
        assert caught.value.ran == "no"

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/nowhere", 404),
            ("PUT", "/v1/jobs", 405),
            ("GET", "/v1/resources/planet", 404),
            ("GET", "/v1/jobs/x?wait_s=abc", 400),
            ("GET", "/v1/jobs/x/answer", 400),
        ],
    )
    def test_invalid_path_or_method_is_rejected(self, local, method, path, status):
        response = httpx.request(method, f"http://{local.http_address}{path}")
        assert response.status_code == status
        assert response.json()["error"]["code"]


class TestIdempotencyKey:
    def test_same_key_and_body_create_one_job(self, local):
        with Client(local.layout.http) as client:
            spec = {"workspace": "glaze", "payload": '{"run_s": 0.1}'}
            jobs = {client.submit(spec, "same")["job"] for _ in range(3)}
            assert len(jobs) == 1

    def test_same_key_with_another_body_is_rejected(self, local):
        with Client(local.layout.http) as client:
            client.submit({"workspace": "glaze"}, "other")
            with pytest.raises(ApiError) as caught:
                client.submit({"workspace": "glaze", "tasks": 2}, "other")
            assert caught.value.code == "idempotency-key-reused"

    def test_request_with_a_key_runs_once(self, local):
        minion = local.parts["minion-1"]
        request = {"workspace": "glaze", "payload": "fade", "idempotent": False}
        with Client(local.layout.http) as client:
            answers = {client.request(request, "print-1")["answer"] for _ in range(3)}
            assert answers == {"fade"}
            with pytest.raises(ApiError) as caught:
                client.request({**request, "payload": "other"}, "print-1")
        assert minion.runs["glaze.print-1"] == 1
        assert caught.value.code == "idempotency-key-reused"


class TestAnswers:
    def test_each_caller_gets_its_own_answer(self, local):
        mismatched_callers = []

        def call(number):
            behaviour = {"run_s": 0.05 * (number % 5), "answer": f"{number}-"}
            behaviour["answer_repeat"] = 3000
            request = {"workspace": "glaze", "payload": json.dumps(behaviour)}
            with Client(local.layout.http) as client:
                try:
                    answer = client.request(request)["answer"]
                except ApiError as error:
                    assert error.code == "overloaded"
                    return
                if answer != f"{number}-" * 3000:
                    mismatched_callers.append(number)

        threads = [
            threading.Thread(target=call, args=(number,)) for number in range(40)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert not mismatched_callers

    def test_large_answer_is_returned_through_the_object_service(self, local):
        behaviour = {"run_s": 0.1, "answer": "spread ", "answer_repeat": 20_000}
        with Client(local.layout.http) as client:
            spec = {"workspace": "glaze", "tasks": 10, "payload": json.dumps(behaviour)}
            record = client.wait_for_job(client.submit(spec)["job"], {"done"})
            answer = client.answer(record["job"], "glaze")
            assert len(answer["members"]) == 2
            assert {member["answer"] for member in answer["members"]} == {
                "spread " * 20_000
            }

    def test_other_workspace_cannot_read_an_answer(self, local):
        with Client(local.layout.http) as client:
            spec = {"workspace": "glaze", "payload": '{"run_s": 0.1}'}
            job = client.wait_for_job(client.submit(spec)["job"], {"done"})["job"]
            request = {"workspace": "glaze", "payload": "mine", "idempotent": False}
            client.request(request, "mine-1")
            for path in (f"/v1/jobs/{job}/answer", "/v1/requests/glaze.mine-1"):
                with pytest.raises(ApiError) as caught:
                    client.call("GET", path, headers={"Workspace": "books"})
                assert caught.value.status == 404

    def test_disconnected_callers_do_not_affect_other_requests(self, local):
        host, port = local.http_address.split(":")
        body = json.dumps({"workspace": "glaze", "payload": '{"run_s": 0.3}'}).encode()
        head = f"POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        for _ in range(5):
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(head.encode() + b"\r\n\r\n" + body)
        with Client(local.layout.http) as client:
            request = {"workspace": "glaze", "payload": "still here"}
            assert client.request(request)["answer"] == "still here"
