"""Choice of the borrowers that are stopped when a guarantee is reclaimed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

CHECKPOINT_COST_S = 5.0


class Borrower(NamedTuple):
    """A whole gang on borrowed accelerators.

    Attributes
    ----------
    share : dict of str to int
        Accelerators by worker.
    unsaved_s : float
        Run time since the start or the last checkpoint.
    """

    attempt: str
    share: dict[str, int]
    unsaved_s: float
    checkpointable: bool

    @property
    def lost_work_s(self) -> float:
        """Accelerator-seconds lost when it is stopped."""
        unsaved_s = (
            min(self.unsaved_s, CHECKPOINT_COST_S)
            if self.checkpointable
            else self.unsaved_s
        )
        return unsaved_s * sum(self.share.values())


def choose_victims(
    shortfall: Mapping[str, int], borrowers: Sequence[Borrower]
) -> list[Borrower]:
    """Choose gangs that free the shortfall of each worker with little lost work.

    Gangs are taken by lost work for each accelerator that helps; those that the
    later choices made superfluous are then spared, the costliest first.

    Returns
    -------
    list of Borrower
        Empty if all borrowers together don't free enough.
    """
    left = {worker: count for worker, count in shortfall.items() if count > 0}
    pool = [b for b in borrowers if any(worker in left for worker in b.share)]
    chosen: list[Borrower] = []
    while left:
        useful = [(_help(b, left), b) for b in pool]
        useful = [(count, b) for count, b in useful if count]
        if not useful:
            return []
        _, best = min(
            useful, key=lambda item: (item[1].lost_work_s / item[0], item[1].attempt)
        )
        pool.remove(best)
        chosen.append(best)
        left = _after(left, [best])
    return _spare(shortfall, chosen)


def _help(borrower: Borrower, left: Mapping[str, int]) -> int:
    return sum(
        min(count, left.get(worker, 0)) for worker, count in borrower.share.items()
    )


def _after(left: Mapping[str, int], chosen: Sequence[Borrower]) -> dict[str, int]:
    rest = dict(left)
    for borrower in chosen:
        for worker, count in borrower.share.items():
            if worker in rest:
                rest[worker] -= count
    return {worker: count for worker, count in rest.items() if count > 0}


def _spare(shortfall: Mapping[str, int], chosen: list[Borrower]) -> list[Borrower]:
    for borrower in sorted(chosen, key=lambda b: -b.lost_work_s):
        others = [b for b in chosen if b is not borrower]
        if not _after({w: c for w, c in shortfall.items() if c > 0}, others):
            chosen = others
    return chosen
