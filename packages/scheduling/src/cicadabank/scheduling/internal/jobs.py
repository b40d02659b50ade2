"""Jobs, their steps and resource needs, and the configuration that applies to them."""

from __future__ import annotations

from typing import NamedTuple


class Resources(NamedTuple):
    """Amounts of resources: needed by a task, or present or free on a target."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int


def core_equivalents(resources: Resources) -> float:
    """Return the cores that resources count as; an accelerator counts as eight."""
    return resources.cpu_millicores / 1000 + 8 * resources.accelerators


class StepSpec(NamedTuple):
    """A step of a job: identical tasks that become ready once earlier steps are done.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources of each task.
    estimate_s : float
        Declared duration of a task.
    after : tuple of int
        Indices of the steps that must be done first.
    checkpointable : bool
        Whether the tasks write checkpoints.
    gang : bool
        Whether all tasks must run at the same time.
    same_rack : bool
        Whether a gang runs more slowly if it spans racks.
    label : str
        Label that a target must have; empty for any target.
    data_rack : str
        Rack that stores the input data; tasks run more slowly on other racks. Empty if
        the data is on no particular rack.
    per_target : int
        Maximum number of the step's tasks on one target; 0 for no limit.
    """

    count: int
    need: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_target: int = 0


class JobRecord(NamedTuple):
    """An accepted job; immutable.

    Attributes
    ----------
    job : str
        Id of the job.
    accepted_s : float
        Time of acceptance by the store's clock.
    payload : str
        Specification of the work, passed on to the targets.
    """

    job: str
    queue: str
    workspace: str
    accepted_s: float
    payload: str
    steps: tuple[StepSpec, ...]


class QueueConfig(NamedTuple):
    """Configuration of a queue.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    attempts : int
        Number of failed runs of a unit after which its job fails.
    stretch : float
        A job is on time if it ends, counted from its acceptance, within this multiple
        of its critical path plus `latency_s`.
    latency_s : float
        Constant part of the time in which a job is on time; see `stretch`.
    """

    name: str
    cell: str
    priority: int
    attempts: int
    stretch: float
    latency_s: float


class WorkspaceConfig(NamedTuple):
    """Configuration of a workspace.

    Attributes
    ----------
    keys : frozenset of str
        API keys of the workspace.
    guaranteed_accelerators : int
        Accelerators that its urgent jobs may claim at any time.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int


class RouteConfig(NamedTuple):
    """Configuration of a route: the host and path prefix that map to a queue."""

    host: str
    path_prefix: str
    public: bool
    queue: QueueConfig


class Configuration(NamedTuple):
    """One version of the configuration."""

    version: int = -1
    routes: tuple[RouteConfig, ...] = ()
    workspaces: tuple[WorkspaceConfig, ...] = ()

    def queues(self) -> dict[str, QueueConfig]:
        """Return the queues by name."""
        return {route.queue.name: route.queue for route in self.routes}

    def guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators by workspace name."""
        return {w.name: w.guaranteed_accelerators for w in self.workspaces}


class RunId(NamedTuple):
    """Identifies one run of one task.

    Attributes
    ----------
    job : str
        Id of the job.
    step : int
        Index of the step in its job.
    index : int
        Index of the task in its step.
    run : int
        Number of the run, counted from 1 for each unit.
    """

    job: str
    step: int
    index: int
    run: int
