"""Options shared by the operators' commands."""

from __future__ import annotations

import getpass
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Annotated

from cicadabank.client.internal.exit_codes import exit_code_for
from cicadabank.client.internal.http import Client
from cicadabank.client.internal.output import Output, print_error
from cicadabank.model import CicadabankError
from cyclopts import Parameter

DEFAULT_ENTRY = "http://127.0.0.1:8080"


@Parameter(name="*")
@dataclass
class CommonOptions:
    """Entries to contact, form of the output, and name of the operator.

    Parameters
    ----------
    entry
        Base URL of an entry; may be repeated. Without it, CICADABANK_ENTRY is used,
        which holds base URLs separated by commas.
    output
        Output format.
    operator
        Operator name stored with each change; the user's name by default.
    """

    entry: Annotated[tuple[str, ...], Parameter(name=["--entry", "-e"])] = ()
    output: Annotated[Output, Parameter(name=["--output", "-o"])] = Output.TEXT
    operator: str = ""

    def client(self) -> Client:
        """Return a client of the entries given by option or environment."""
        entries = self.entry or tuple(
            os.environ.get("CICADABANK_ENTRY", DEFAULT_ENTRY).split(",")
        )
        return Client(list(entries), self.operator or _user_name())


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"


@contextmanager
def exit_on_error(output: Output) -> Iterator[None]:
    """Print a `CicadabankError` in the output format and exit with its code."""
    try:
        yield
    except CicadabankError as error:
        print_error(error, output)
        sys.exit(exit_code_for(error))
