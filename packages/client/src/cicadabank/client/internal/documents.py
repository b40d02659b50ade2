"""Resource files: JSON documents with one resource or a list of resources."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NamedTuple

from cicadabank.model import KINDS, InvalidInputError, decode, parse_resource

JOB_KIND = "job"


class Document(NamedTuple):
    """A resource or job request read from a file.

    Attributes
    ----------
    idempotency_key : str
        Idempotency key of a job request; empty if none is given.
    """

    kind: str
    fields: dict[str, Any]
    idempotency_key: str = ""


def read_documents(file: str) -> list[Document]:
    """Read and validate all resources of a file.

    An error in one resource keeps the whole file from being sent.

    Raises
    ------
    InvalidInputError
        If the file can't be read or a resource is invalid; names the first one.
    """
    try:
        data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise InvalidInputError(f"{file} can't be read: {error.strerror}") from error
    content = decode(data)
    items = content if isinstance(content, list) else [content]
    return [_parse_document(file, index, item) for index, item in enumerate(items)]


def _parse_document(file: str, index: int, item: Any) -> Document:
    location = f"{file}, resource {index + 1}"
    if not isinstance(item, dict):
        raise InvalidInputError(f"{location}: expected an object", "see docs/operators")
    fields = dict(item)
    kind = fields.pop("kind", "")
    if kind not in (*KINDS, JOB_KIND):
        raise InvalidInputError(
            f"{location}: the kind {kind!r} does not exist",
            f"use one of {', '.join((*KINDS, JOB_KIND))}",
        )
    if kind == JOB_KIND:
        return Document(kind, fields, str(fields.pop("idempotency_key", "")))
    try:
        parse_resource(kind, fields)
    except InvalidInputError as error:
        raise InvalidInputError(f"{location}: {error.message}", error.action) from error
    return Document(kind, fields)
