"""Requests and responses of the HTTP interface."""

from __future__ import annotations

from typing import Any, NamedTuple

from cicadabank.model import CicadabankError, ConflictError, decode, encode
from cicadabank.web.errors import BadRequestError, ran_of, status_of


class ApiCall(NamedTuple):
    """One complete HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]  # with names in lower case
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON object in the body.

        Raises
        ------
        BadRequestError
            If the body is not a JSON object.
        """
        try:
            document = decode(self.body)
        except CicadabankError as error:
            raise BadRequestError(error.message, "send a JSON object") from error
        if not isinstance(document, dict):
            raise BadRequestError("the body is not a JSON object", "send a JSON object")
        return document

    def number(self, name: str, default: float, maximum: float) -> float:
        """Return a non-negative number from the query, capped at `maximum`.

        Raises
        ------
        BadRequestError
            If the value is not a number, is negative or not finite.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise BadRequestError(f"{name} is not a number: {text!r}") from error
        if not 0 <= value < float("inf"):
            raise BadRequestError(f"{name} is out of range: {text!r}")
        return min(value, maximum)


class ApiReply(NamedTuple):
    """One HTTP response."""

    status: int
    body: bytes
    content_type: str = "application/json"
    close: bool = False
    headers: tuple[tuple[str, str], ...] = ()


def json_reply(status: int, document: Any) -> ApiReply:
    """Return a reply with a JSON body."""
    return ApiReply(status, encode(document))


def error_document(error: CicadabankError) -> dict[str, Any]:
    """Return the JSON document that describes an error."""
    fields = {
        "code": error.code,
        "message": error.message,
        "action": error.action,
        "ran": str(ran_of(error)),
    }
    if getattr(error, "job", ""):
        fields["job"] = error.job
    if isinstance(error, ConflictError) and error.winner:
        fields["winner"] = error.winner
    return {"error": fields}


def error_reply(error: CicadabankError) -> ApiReply:
    """Return the reply for an error, with its status."""
    return json_reply(status_of(error), error_document(error))
