"""The command-line interface `cicadabank`."""

from __future__ import annotations

import sys

from cicadabank.client.internal import daemons, operators
from cicadabank.client.internal.cells import cell_app
from cicadabank.client.internal.exit_codes import ExitCode
from cicadabank.client.internal.reports import explain, report_app
from cicadabank.client.internal.settings_files import config_app
from cyclopts import App, CycloptsError

app = App(
    name="cicadabank",
    help="Scheduler for multi-accelerator jobs with workspace guarantees.",
    version="0.1.0",
)
for command in (
    daemons.entry,
    daemons.agent,
    operators.apply,
    operators.get,
    operators.watch,
    operators.delete,
    operators.drain,
    operators.restore,
    operators.cancel,
    operators.answer,
    operators.request,
    explain,
):
    app.command(command)
for group in (daemons.stand_in_app, cell_app, config_app, report_app):
    app.command(group)
app.register_install_completion_command()


def main() -> None:
    """Run a command; usage errors exit with `ExitCode.INVALID_INPUT`."""
    try:
        app(sys.argv[1:], exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(ExitCode.INVALID_INPUT)


if __name__ == "__main__":
    main()
