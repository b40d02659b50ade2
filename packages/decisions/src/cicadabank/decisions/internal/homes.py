"""Homes: the accelerators on which a workspace's guarantee rests.

Each guaranteed shape gets a home, a concrete and disjoint set of accelerators on
adjacent workers. Anyone may borrow a home that its workspace doesn't use, and
whoever borrows may be stopped. A guarantee can then always be reclaimed by
stopping borrowers in one home, and whether guarantees can hold together is the
question whether their homes can be laid out.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cicadabank.decisions.internal.fleet import Fleet, Need, WorkerInfo
from cicadabank.decisions.internal.placement import GangShape, place
from cicadabank.model import Adjacency, Guarantee, GuaranteedShape, describe_shape


class Home(NamedTuple):
    """Accelerators on workers that back one guaranteed shape."""

    workspace: str
    index: int
    accelerators: int
    share: dict[str, int]  # worker -> accelerators

    @property
    def name(self) -> str:
        """Identifies the home within its cell."""
        return f"{self.workspace}#{self.index}"


class Layout(NamedTuple):
    """All homes of a cell, and the shapes that found none."""

    homes: list[Home]
    missing: list[tuple[str, GuaranteedShape]]

    def homed(self) -> dict[str, int]:
        """Return the accelerators of each worker that belong to homes."""
        total: dict[str, int] = {}
        for home in self.homes:
            for worker, count in home.share.items():
                total[worker] = total.get(worker, 0) + count
        return total


class _Wish(NamedTuple):
    workspace: str
    index: int
    shape: GuaranteedShape


def _wishes(guarantees: Iterable[Guarantee]) -> list[_Wish]:
    wishes = []
    for guarantee in sorted(guarantees, key=lambda g: g.name):
        shapes = [s for shape in guarantee.shapes for s in [shape] * shape.count]
        wishes += [
            _Wish(guarantee.workspace, i, shape) for i, shape in enumerate(shapes)
        ]
    return sorted(wishes, key=lambda w: (-w.shape.accelerators, w.workspace, w.index))


def lay_out(
    guarantees: Iterable[Guarantee],
    workers: Iterable[WorkerInfo],
    previous: Iterable[Home] = (),
    pinned: dict[str, int] | None = None,
) -> Layout:
    """Give each guaranteed shape a home, keeping the previous ones that still stand.

    Parameters
    ----------
    pinned : dict of str to int, default=None
        Accelerators of each worker that hold work which can't be stopped.
    """
    fleet = Fleet(workers)
    for worker, count in (pinned or {}).items():
        if worker in fleet.workers and count:
            fleet.book(worker, "pinned", count, Need(1))
    old = {home.name: home for home in previous}
    homes: list[Home] = []
    open_wishes: list[_Wish] = []
    for wish in _wishes(guarantees):
        home = old.get(f"{wish.workspace}#{wish.index}")
        if (
            home
            and home.accelerators == wish.shape.accelerators
            and _stands(fleet, home)
        ):
            _take(fleet, home)
            homes.append(home)
        else:
            open_wishes.append(wish)
    missing = []
    for wish in open_wishes:
        shape = GangShape(
            wish.shape.accelerators, Need(1), Adjacency(wish.shape.adjacency)
        )
        members = place(fleet, shape)
        if not members:
            missing.append((wish.workspace, wish.shape))
            continue
        share = {member.worker: member.tasks for member in members}
        home = Home(wish.workspace, wish.index, wish.shape.accelerators, share)
        _take(fleet, home)
        homes.append(home)
    return Layout(homes, missing)


def _stands(fleet: Fleet, home: Home) -> bool:
    return all(
        w in fleet.workers and fleet.workers[w].free >= n for w, n in home.share.items()
    )


def _take(fleet: Fleet, home: Home) -> None:
    for worker, count in home.share.items():
        fleet.book(worker, home.name, count, Need(1))


def refusal_of(guarantees: Iterable[Guarantee], workers: Iterable[WorkerInfo]) -> str:
    """Return why guarantees can't hold together, or an empty string if they can.

    Those with `survive_domain_loss` must also fit with any one failure domain gone.
    """
    guarantees, workers = list(guarantees), list(workers)
    layout = lay_out(guarantees, workers)
    if layout.missing:
        return _explain(layout, "")
    lasting = [g for g in guarantees if g.survive_domain_loss]
    for domain in sorted({w.domain for w in workers}) if lasting else ():
        layout = lay_out(lasting, [w for w in workers if w.domain != domain])
        if layout.missing:
            return _explain(layout, f" without the failure domain {domain!r}")
    return ""


def _explain(layout: Layout, where: str) -> str:
    workspace, shape = layout.missing[0]
    wanted = describe_shape(shape.accelerators, 1, shape.adjacency)
    return (
        f"the guarantees can't hold together{where}: no home for "
        f"{wanted} of {workspace!r}"
    )
