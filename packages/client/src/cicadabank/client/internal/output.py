"""Output of commands as text or JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

from cicadabank.model import CicadabankError


class Output(StrEnum):
    """Output format of a command."""

    TEXT = "text"
    JSON = "json"


def print_json(document: Any) -> None:
    """Print a document as indented JSON with sorted keys."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as aligned columns under a header line."""
    text_rows = [
        [str(column) for column in columns],
        *([str(value) for value in row] for row in rows),
    ]
    widths = [max(len(row[i]) for row in text_rows) for i in range(len(columns))]
    for row in text_rows:
        print(
            "  ".join(
                text.ljust(width) for text, width in zip(row, widths, strict=True)
            ).rstrip()
        )


def print_error(error: CicadabankError, output: Output) -> None:
    """Print an error and its suggested action to standard error."""
    if output is Output.JSON:
        document = {
            "code": error.code,
            "message": error.message,
            "action": error.action,
        }
        for name in ("ran", "winner"):
            if getattr(error, name, ""):
                document[name] = str(getattr(error, name))
        print(json.dumps({"error": document}, sort_keys=True), file=sys.stderr)
    else:
        print(f"error {error}", file=sys.stderr)


def format_time(at_unix_s: float) -> str:
    """Return a time as text in UTC, or a dash if it is 0."""
    if not at_unix_s:
        return "-"
    return datetime.fromtimestamp(at_unix_s, UTC).strftime("%Y-%m-%d %H:%M:%S")
