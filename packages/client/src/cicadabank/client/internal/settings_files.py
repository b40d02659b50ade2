"""Commands for settings files and policy files."""

from __future__ import annotations

from cicadabank.client.internal.context import CommonOptions, exit_on_error
from cicadabank.client.internal.output import Output, print_json
from cicadabank.model import to_builtins
from cicadabank.settings import check_file
from cyclopts import App

config_app = App(name="config", help="Check settings files and policy files.")
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


@config_app.command
def check_policy(*files: str, common: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Validate policy files, which CICADABANK_POLICY names for an entry.

    Parameters
    ----------
    files
        Paths of policy files.
    """
    # The scheduler's modules would delay the other commands.
    from cicadabank.control import load_policy

    with exit_on_error(common.output):
        checked = [
            {"file": file, "policy": to_builtins(load_policy(file))} for file in files
        ]
        if common.output is Output.JSON:
            print_json(checked)
            return
        for item in checked:
            sections = item["policy"].items()
            enabled = [name for name, section in sections if section["enabled"]]
            print(f"{item['file']}: valid policy; enabled: {_list(enabled)}")


def _list(names: list[str]) -> str:
    return ", ".join(names) or "nothing"
