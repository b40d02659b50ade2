"""Commands that run an entry, an agent or a stand-in."""

from __future__ import annotations

from cicadabank.client.internal.context import exit_on_error
from cicadabank.client.internal.output import Output
from cyclopts import App

stand_in_app = App(name="stand-in", help="Run a stand-in, or set its faults.")


def entry(*, settings: str) -> None:
    """Run an entry.

    Parameters
    ----------
    settings
        Path of a settings file of the kind "entry".
    """
    from cicadabank.entry import run_entry
    from cicadabank.settings import load

    with exit_on_error(Output.TEXT):
        run_entry(load(settings, "entry"))


def agent(*, settings: str) -> None:
    """Run the agent of a target.

    Parameters
    ----------
    settings
        Path of a settings file of the kind "agent".
    """
    from cicadabank.agent import run_agent
    from cicadabank.settings import load

    with exit_on_error(Output.TEXT):
        run_agent(load(settings, "agent"))


@stand_in_app.command
def run(*, settings: str) -> None:
    """Run a stand-in, which simulates the platform's store or a target.

    Parameters
    ----------
    settings
        Path of a settings file of the kind "stand-in".
    """
    from cicadabank.settings import load
    from cicadabank.standin import run_stand_in

    with exit_on_error(Output.TEXT):
        run_stand_in(load(settings, "stand-in"))


@stand_in_app.command
def fault(address: str, name: str, value: float) -> None:
    """Set a fault of a running stand-in.

    Parameters
    ----------
    address
        IP:port of the stand-in.
    name
        down, slow_s, lose_answers, fail_all, usage_lag_s, silent or freeze_clock_s.
    value
        Value of the fault; 0 clears it.
    """
    from cicadabank.standin import set_fault

    with exit_on_error(Output.TEXT):
        set_fault(address, name, value)
