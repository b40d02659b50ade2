"""Options that all operators' commands share."""

from __future__ import annotations

import getpass
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Annotated

from cicadabank.client.internal.exits import exit_of
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import Output, print_error
from cicadabank.model import CicadabankError
from cyclopts import Parameter

DEFAULT_ENTRY = "http://127.0.0.1:8080"


@Parameter(name="*")
@dataclass
class Common:
    """Where to ask, and how to print.

    Parameters
    ----------
    entry
        Base address of an entry; may be repeated. CICADABANK_ENTRY holds several,
        separated by commas.
    output
        Form of the output.
    operator
        Named in the record of each change.
    """

    entry: Annotated[tuple[str, ...], Parameter(name=["--entry", "-e"])] = ()
    output: Annotated[Output, Parameter(name=["--output", "-o"])] = Output.TEXT
    operator: str = ""

    def client(self) -> Client:
        """Return a client of the named entries."""
        entries = self.entry or tuple(
            os.environ.get("CICADABANK_ENTRY", DEFAULT_ENTRY).split(",")
        )
        return Client(list(entries), self.operator or _user())


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"


@contextmanager
def reported(output: Output) -> Iterator[None]:
    """Print an error as the output asks, and end with its exit code."""
    try:
        yield
    except CicadabankError as error:
        print_error(error, output)
        sys.exit(exit_of(error))
