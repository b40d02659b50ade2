"""Plot of the burn report."""

from __future__ import annotations

from pathlib import Path

from cicadabank.model import InvalidInputError
from cicadabank.report.internal.burn import WINDOWS_S, LevelReport

FILE_EXTENSIONS = (".png", ".svg", ".pdf")
SUSTAINABLE_BURN = 1.0


def plot_burn(reports: list[LevelReport], file: str) -> None:
    """Write a bar chart of the burn rate of each level and window to a file.

    A dashed line marks a burn rate of 1.

    Parameters
    ----------
    file : str
        Path whose extension selects the format.

    Raises
    ------
    InvalidInputError
        If the file's extension is unsupported, or there is nothing to plot.
    """
    if Path(file).suffix not in FILE_EXTENSIONS:
        raise InvalidInputError(
            f"{file!r} has no supported file extension",
            f"use {', '.join(FILE_EXTENSIONS)}",
        )
    if not reports:
        raise InvalidInputError(
            "no service levels are declared", "apply a workspace with service_levels"
        )
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 1.5 + 0.6 * len(reports)), layout="constrained")
    axes = figure.subplots()
    bar_height = 0.8 / len(WINDOWS_S)
    for window_index, window in enumerate(WINDOWS_S):
        positions = [row + window_index * bar_height for row in range(len(reports))]
        burns = [report.windows[window].burn for report in reports]
        axes.barh(positions, burns, height=bar_height, label=window)
    center = bar_height * (len(WINDOWS_S) - 1) / 2
    axes.set_yticks(
        [row + center for row in range(len(reports))],
        [f"{report.workspace} {report.level}" for report in reports],
    )
    axes.axvline(SUSTAINABLE_BURN, color="black", linestyle="--", linewidth=1)
    axes.set_xlabel("burn rate (1 uses the error budget up exactly)")
    axes.invert_yaxis()
    axes.legend(title="window")
    figure.savefig(file)
