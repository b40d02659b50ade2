"""Seeds that have failed before, each with its cause; ``--kept`` runs them.

The order of events differs from run to run, so that a seed need not fail each time.
"""

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
SHORT = {**SMALL, "faults": 4, "longest_s": 1.0, "length_s": 8.0}
CROWDED = {**SMALL, "targets": 3, "callers": 8, "longest_s": 1.0, "length_s": 2.0}

NEXT_INCARNATION = (
    "a start was executed by the target's next incarnation, whose first report made "
    "the holder start the task elsewhere"
)
LATE_START = (
    "a start without a reply was executed after its repetition had been refused as "
    "unhealthy and the task had been started elsewhere"
)

REGRESSIONS = (
    Regression(
        4,
        "a delayed hold call acknowledged ends of the target's next incarnation",
        {"series": 0},
    ),
    Regression(
        1,
        NEXT_INCARNATION,
        {**SMALL, "callers": 3, "faults": 3, "series": 0, "length_s": 5.0},
    ),
    Regression(3, NEXT_INCARNATION, {}),
    Regression(6, LATE_START, {}),
    Regression(101, LATE_START, SHORT),
    Regression(342, LATE_START, SHORT),
    Regression(1279, LATE_START, CROWDED),
    Regression(
        2112,
        "a start was executed, but its repetition was refused as unhealthy; the task "
        "was started elsewhere, and the room of the run was given to others",
        CROWDED,
    ),
    Regression(
        335,
        "a run was executed and done without a reply, its repetition was refused as "
        "old, and the task was started elsewhere",
        SHORT,
    ),
    Regression(
        126,
        "an agent ignored the next incarnation of its target, whose clock was set back",
        {**SMALL, "length_s": 4.0},
    ),
    Regression(
        3110,
        "a task was given up since its VM crashed three times under it within seconds",
        {},
    ),
    Regression(
        3101,
        "a start was carried out late on the next incarnation of a target of the same "
        "name, and done while the agent was down; its task was started elsewhere",
        {},
    ),
    Regression(
        4023,
        "a start of a refused run was carried out late on the next incarnation of a "
        "target of the same name, after its task was done elsewhere",
        {},
    ),
    Regression(
        399,
        "a gang that needs all targets was failed while one of them was away",
        SHORT,
    ),
)
