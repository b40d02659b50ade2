"""Seeds that have failed before, each with its cause; ``--kept`` runs them."""

from __future__ import annotations

from typing import NamedTuple


class Regression(NamedTuple):
    """A seed that has failed.

    Attributes
    ----------
    options : dict of str to int or float
        The options of the run that failed, where they differ from the defaults.
    """

    seed: int
    cause: str
    options: dict[str, float]


SMALL = {"entries": 2, "targets": 4, "callers": 4, "faults": 0, "series": 1}

REGRESSIONS = (
    Regression(
        4, "a delayed hold call acknowledged ends of the target's next incarnation", {}
    ),
    Regression(
        144,
        "a start without a reply was executed after a repeated one was refused",
        {**SMALL, "length_s": 4.0},
    ),
)
