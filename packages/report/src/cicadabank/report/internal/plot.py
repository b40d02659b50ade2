"""A plot of the burn as a file."""

from __future__ import annotations

from pathlib import Path

from cicadabank.model import InvalidInputError
from cicadabank.report.internal.burn import WINDOWS_S, LevelReport

FORMATS = (".png", ".svg", ".pdf")
SUSTAINABLE_BURN = 1.0


def plot_burn(reports: list[LevelReport], file: str) -> None:
    """Write a bar for each level and window; the line marks a burn of 1.

    Raises
    ------
    InvalidInputError
        If the file's ending is no known format, or there is nothing to plot.
    """
    if Path(file).suffix not in FORMATS:
        raise InvalidInputError(
            f"{file!r} has no ending that can be plotted", f"use {', '.join(FORMATS)}"
        )
    if not reports:
        raise InvalidInputError(
            "no service levels are declared", "apply a workspace with service_levels"
        )
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 1.5 + 0.6 * len(reports)), layout="constrained")
    axes = figure.subplots()
    height = 0.8 / len(WINDOWS_S)
    for offset, window in enumerate(WINDOWS_S):
        places = [i + offset * height for i in range(len(reports))]
        burns = [report.windows[window].burn for report in reports]
        axes.barh(places, burns, height=height, label=window)
    middle = height * (len(WINDOWS_S) - 1) / 2
    axes.set_yticks(
        [i + middle for i in range(len(reports))],
        [f"{report.workspace} {report.level}" for report in reports],
    )
    axes.axvline(SUSTAINABLE_BURN, color="black", linestyle="--", linewidth=1)
    axes.set_xlabel("burn (1 uses the error budget up exactly)")
    axes.invert_yaxis()
    axes.legend(title="window")
    figure.savefig(file)
