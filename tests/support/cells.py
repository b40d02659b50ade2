"""A simulated cell with two workspaces, for the tests of the scheduler."""

from __future__ import annotations

from cicadabank.model import JobSpec, Workspace

from tests.support.world import World

WORKSPACES = {
    "glaze": Workspace("glaze", 100),
    "books": Workspace("books", 100),
}


def make_world(seed=1, guarantees=(), **kwargs):
    world = World(seed, **kwargs)
    world.configure(workspaces=WORKSPACES, guarantees={g.name: g for g in guarantees})
    world.advance(4.0)
    return world


def spec(workspace="glaze", tasks=8, **fields):
    return JobSpec(workspace, tasks=tasks, **fields)
