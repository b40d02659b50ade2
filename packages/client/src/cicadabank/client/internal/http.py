"""HTTP client that retries at another entry if one does not respond."""

from __future__ import annotations

from typing import Any

import httpx
from cicadabank.client.errors import ApiError, UnreachableError
from cicadabank.model import new_id
from tenacity import (
    Retrying,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

CONNECT_TIMEOUT_S = 3.0
RESPONSE_TIMEOUT_S = 40.0
ATTEMPTS_PER_ENTRY = 2


class Client:
    """Client of the entries' HTTP API.

    After a transport error a call is retried at the next entry. Calls that change state
    are safe to retry if they carry an Idempotency-Key or a version, also if only the
    response was lost. A retried apply without a version may overwrite a concurrent
    change. A call that is not retryable is sent once.

    Parameters
    ----------
    entries : list of str
        Base URLs, such as ``http://10.0.0.1:8080``.
    operator : str, default=""
        Operator name stored with each change.
    """

    def __init__(self, entries: list[str], operator: str = ""):
        if not entries:
            raise UnreachableError(
                "no entry address is given", "set --entry or CICADABANK_ENTRY"
            )
        self._entries = [entry.rstrip("/") for entry in entries]
        headers = {"Operator": operator} if operator else {}
        timeout = httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._http = httpx.Client(headers=headers, timeout=timeout, trust_env=False)

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self._http.close()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        retryable: bool = True,
        **query: Any,
    ) -> Any:
        """Send a request and return the decoded JSON of the response.

        Parameters
        ----------
        retryable : bool, default=True
            Whether to retry, at the next entry, after a transport error.
        **query
            Query parameters; those that are None are left out.

        Raises
        ------
        ApiError
            If an entry responded with an error.
        UnreachableError
            If no entry responded.
        """
        max_attempts = ATTEMPTS_PER_ENTRY * len(self._entries) if retryable else 1
        retrying = Retrying(
            retry=retry_if_exception_type(httpx.TransportError),
            stop=stop_after_attempt(max_attempts),
            wait=wait_random_exponential(0.05, 1.0),
            reraise=True,
        )
        try:
            for attempt in retrying:
                with attempt:
                    response = self._http.request(
                        method,
                        self._entries[0] + path,
                        json=body,
                        headers=headers,
                        params={k: v for k, v in query.items() if v is not None},
                    )
                if attempt.retry_state.outcome and attempt.retry_state.outcome.failed:
                    self._entries = [*self._entries[1:], self._entries[0]]
        except httpx.TransportError as error:
            raise UnreachableError(
                f"no entry responded: {error}", "check the addresses given with --entry"
            ) from error
        return _parse_response(response)

    def submit(self, spec: dict[str, Any], key: str = "") -> dict[str, Any]:
        """Submit a job; without `key`, a new idempotency key is generated."""
        headers = {"Idempotency-Key": key or new_id("key")}
        return self.call("POST", "/v1/jobs", spec, headers)

    def job(self, job: str) -> dict[str, Any]:
        """Return a job's record."""
        return self.call("GET", f"/v1/jobs/{job}")

    def watch_job(
        self, job: str, after_version: int, wait_s: float = 10.0
    ) -> dict[str, Any]:
        """Return a job's record once it is newer than `after_version`.

        After `wait_s`, the current record is returned even if it is not newer.
        """
        return self.call(
            "GET", f"/v1/jobs/{job}", after_version=after_version, wait_s=wait_s
        )

    def wait_for_job(self, job: str, states: set[str]) -> dict[str, Any]:
        """Wait until a job is in one of `states` and return its record.

        There is no time limit.
        """
        version = 0
        while True:
            record = self.watch_job(job, version)
            if record["state"] in states:
                return record
            version = record["version"]

    def answer(self, job: str, workspace: str) -> dict[str, Any]:
        """Return the answers of all members of a job."""
        return self.call(
            "GET", f"/v1/jobs/{job}/answer", headers={"Workspace": workspace}
        )

    def request(self, body: dict[str, Any], key: str = "") -> dict[str, Any]:
        """Send a request to a minion.

        It is retried only if it is idempotent or `key` is given.
        """
        headers = {"Idempotency-Key": key} if key else {}
        retryable = bool(key) or body.get("idempotent", True)
        return self.call("POST", "/v1/requests", body, headers, retryable)

    def apply(
        self, kind: str, fields: dict[str, Any], if_version: int | None = None
    ) -> dict[str, Any]:
        """Create or replace a resource, if its version is still `if_version`."""
        name = resource_name(kind, fields)
        headers = {"If-Match": str(if_version)} if if_version is not None else {}
        return self.call("PUT", f"/v1/resources/{kind}/{name}", fields, headers)


def resource_name(kind: str, fields: dict[str, Any]) -> str:
    """Return the name under which a resource is stored."""
    if kind == "guarantee":
        return f"{fields.get('workspace', '')}.{fields.get('cell', '')}"
    return str(fields.get("name", ""))


def _parse_response(response: httpx.Response) -> Any:
    try:
        document = response.json()
    except ValueError:
        document = {"error": {"code": "not-json", "message": response.text[:200]}}
    if response.status_code >= 400:
        raise ApiError(response.status_code, document.get("error", {}))
    return document
