"""Resource files: one resource, or a list of them, as JSON."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NamedTuple

from cicadabank.model import KINDS, InvalidInputError, decode, parse_resource

JOB_KIND = "job"


class Document(NamedTuple):
    """A resource of a file: its kind and its fields."""

    kind: str
    fields: dict[str, Any]
    key: str = ""


def read_documents(file: str) -> list[Document]:
    """Read and check all resources of a file before anything is sent.

    Raises
    ------
    InvalidInputError
        With the place of the first fault.
    """
    try:
        data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise InvalidInputError(f"{file} can't be read: {error.strerror}") from error
    content = decode(data)
    items = content if isinstance(content, list) else [content]
    return [_document(file, index, item) for index, item in enumerate(items)]


def _document(file: str, index: int, item: Any) -> Document:
    where = f"{file}, resource {index + 1}"
    if not isinstance(item, dict):
        raise InvalidInputError(f"{where}: expected an object", "see docs/operators")
    fields = dict(item)
    kind = fields.pop("kind", "")
    if kind not in (*KINDS, JOB_KIND):
        raise InvalidInputError(
            f"{where}: the kind {kind!r} does not exist",
            f"use one of {', '.join((*KINDS, JOB_KIND))}",
        )
    if kind == JOB_KIND:
        return Document(kind, fields, str(fields.pop("idempotency_key", "")))
    try:
        parse_resource(kind, fields)
    except InvalidInputError as error:
        raise InvalidInputError(f"{where}: {error.message}", error.action) from error
    return Document(kind, fields)
