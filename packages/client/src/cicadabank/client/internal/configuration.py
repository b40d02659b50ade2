"""Commands on settings files."""

from __future__ import annotations

from cicadabank.client.internal.context import Common, reported
from cicadabank.client.internal.output import Output, print_json
from cicadabank.settings import check_file
from cyclopts import App

config_app = App(name="config", help="Check settings files.")
DEFAULT = Common()


@config_app.command
def check(*files: str, common: Common = DEFAULT) -> None:
    """Check settings files without starting anything.

    Parameters
    ----------
    files
        Settings files of any kind.
    """
    with reported(common.output):
        checked = [{"file": file, "kind": check_file(file).kind} for file in files]
        if common.output is Output.JSON:
            print_json(checked)
        else:
            for item in checked:
                print(f"{item['file']}: valid settings of the kind {item['kind']}")
