"""Jobs of steps, the configuration they run under, and what a task needs."""

from __future__ import annotations

from typing import NamedTuple


class Need(NamedTuple):
    """What one task takes of a target."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int


class StepSpec(NamedTuple):
    """A step of a job: equal tasks that may start once earlier steps are done.

    Attributes
    ----------
    after : tuple of int
        Numbers of the steps that must be done first.
    saves_progress : bool
        Whether the tasks write checkpoints.
    same_rack : bool
        Whether a gang slows down when it spans racks.
    data_rack : str
        Rack that holds the data; tasks slow down on any other. Empty if there is none.
    per_target : int
        Largest number of the step's tasks on one target; 0 for no limit.
    """

    count: int
    need: Need
    estimate_s: float
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_target: int = 0


class JobRecord(NamedTuple):
    """A job as it was accepted; never changes.

    Attributes
    ----------
    accepted_s : float
        Time of acceptance on the store's clock.
    payload : str
        What the targets are told to run.
    """

    job: str
    queue: str
    workspace: str
    accepted_s: float
    payload: str
    steps: tuple[StepSpec, ...]


class QueueView(NamedTuple):
    """A queue as the configuration has it.

    Attributes
    ----------
    attempts : int
        Failed runs of a task after which its job fails.
    stretch : float
        A job is on time within this multiple of its longest chain of work.
    """

    name: str
    cell: str
    priority: int
    attempts: int
    stretch: float
    latency_s: float


class WorkspaceView(NamedTuple):
    """A workspace as the configuration has it."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int


class RouteView(NamedTuple):
    """Which requests belong to a queue."""

    host: str
    path_prefix: str
    public: bool
    queue: QueueView


class ConfigView(NamedTuple):
    """One version of the configuration."""

    version: int = -1
    routes: tuple[RouteView, ...] = ()
    workspaces: tuple[WorkspaceView, ...] = ()

    def queues(self) -> dict[str, QueueView]:
        """Return the queues by name."""
        return {route.queue.name: route.queue for route in self.routes}

    def guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators of each workspace."""
        return {w.name: w.guaranteed_accelerators for w in self.workspaces}


class RunId(NamedTuple):
    """One run of one task."""

    job: str
    step: int
    index: int
    run: int
