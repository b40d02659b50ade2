"""Commands for settings files."""

from __future__ import annotations

from cicadabank.client.internal.context import CommonOptions, exit_on_error
from cicadabank.client.internal.output import Output, print_json
from cicadabank.settings import check_file
from cyclopts import App

config_app = App(name="config", help="Check settings files.")
DEFAULT_OPTIONS = CommonOptions()


@config_app.command
def check(*files: str, common: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Validate settings files without starting a process.

    Parameters
    ----------
    files
        Paths of settings files, of any kind of process.
    """
    with exit_on_error(common.output):
        checked = [{"file": file, "kind": check_file(file).kind} for file in files]
        if common.output is Output.JSON:
            print_json(checked)
        else:
            for item in checked:
                print(f"{item['file']}: valid settings of the kind {item['kind']}")
