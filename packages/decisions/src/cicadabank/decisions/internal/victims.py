"""Choice of the borrowers to preempt when a guarantee allocation is claimed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

# Most run time counted as lost for a gang that can be checkpointed before its stop.
CHECKPOINT_COST_S = 5.0


class Borrower(NamedTuple):
    """A whole gang on borrowed accelerators.

    Attributes
    ----------
    share : dict of str to int
        Accelerators by worker.
    unsaved_s : float
        Run time in seconds that is lost unless a checkpoint is written. The
        holder passes the time since the start of the run, or since the takeover that
        restored it; checkpoints that workers report don't reset it.
    """

    attempt: str
    share: dict[str, int]
    unsaved_s: float
    checkpointable: bool

    @property
    def lost_work_s(self) -> float:
        """Accelerator-seconds lost if the gang is preempted.

        At most `CHECKPOINT_COST_S` per accelerator if it can be checkpointed.
        """
        unsaved_s = (
            min(self.unsaved_s, CHECKPOINT_COST_S)
            if self.checkpointable
            else self.unsaved_s
        )
        return unsaved_s * sum(self.share.values())


def choose_victims(
    shortfall: Mapping[str, int], borrowers: Sequence[Borrower]
) -> list[Borrower]:
    """Choose gangs to preempt so that the shortfall is freed with little lost work.

    Gangs are chosen greedily by lost work per useful accelerator. Those that later
    choices have made unnecessary are then dropped, starting with the costliest.

    Returns
    -------
    list of Borrower
        Empty if all borrowers together don't free enough.
    """
    remaining = {worker: count for worker, count in shortfall.items() if count > 0}
    candidates = [
        b for b in borrowers if any(worker in remaining for worker in b.share)
    ]
    chosen: list[Borrower] = []
    while remaining:
        useful = [(_useful_accelerators(b, remaining), b) for b in candidates]
        useful = [(count, b) for count, b in useful if count]
        if not useful:
            return []
        _, best = min(
            useful, key=lambda item: (item[1].lost_work_s / item[0], item[1].attempt)
        )
        candidates.remove(best)
        chosen.append(best)
        remaining = _remaining_shortfall(remaining, [best])
    return _drop_unneeded(shortfall, chosen)


def _useful_accelerators(borrower: Borrower, remaining: Mapping[str, int]) -> int:
    return sum(
        min(count, remaining.get(worker, 0)) for worker, count in borrower.share.items()
    )


def _remaining_shortfall(
    remaining: Mapping[str, int], chosen: Sequence[Borrower]
) -> dict[str, int]:
    shortfall = dict(remaining)
    for borrower in chosen:
        for worker, count in borrower.share.items():
            if worker in shortfall:
                shortfall[worker] -= count
    return {worker: count for worker, count in shortfall.items() if count > 0}


def _drop_unneeded(
    shortfall: Mapping[str, int], chosen: list[Borrower]
) -> list[Borrower]:
    for borrower in sorted(chosen, key=lambda b: -b.lost_work_s):
        others = [b for b in chosen if b is not borrower]
        if not _remaining_shortfall(
            {w: c for w, c in shortfall.items() if c > 0}, others
        ):
            chosen = others
    return chosen
