"""Configuration resources that operators apply."""

from __future__ import annotations

from typing import Any, NamedTuple

from cicadabank.model.errors import InvalidInputError
from cicadabank.model.internal.codec import from_builtins
from cicadabank.model.internal.jobs import Adjacency


class ServiceLevel(NamedTuple):
    """A service-level objective of a workspace."""

    name: str
    measure: str  # completion, urgent-start, requests, refusals, configuration
    threshold_s: float = 0.0
    objective: float = 0.99
    max_accelerators: int = 0  # 0: jobs of any size


class Workspace(NamedTuple):
    """A tenant with its quota and its service levels."""

    name: str
    quota_accelerators: int
    requests_per_s: float = 1000.0
    service_levels: tuple[ServiceLevel, ...] = ()


class GuaranteedShape(NamedTuple):
    """Accelerators within one part of the topology, guaranteed `count` times."""

    accelerators: int
    count: int = 1
    adjacency: Adjacency = Adjacency.DOMAIN


class Guarantee(NamedTuple):
    """The shapes that a workspace can reclaim in one cell at any time, by preemption.

    Attributes
    ----------
    survive_domain_loss : bool
        Whether the shapes must also fit without any one failure domain.
    """

    workspace: str
    cell: str
    shapes: tuple[GuaranteedShape, ...]
    survive_domain_loss: bool = False

    @property
    def name(self) -> str:
        """Name of the guarantee; a workspace has at most one in each cell."""
        return f"{self.workspace}.{self.cell}"


class FailureDomain(NamedTuple):
    """Whether a failure domain accepts new work."""

    name: str
    out: bool = False
    stop_after_s: float = 0.0  # 0: running tasks are left to finish
    reason: str = ""


MEASURES = ("completion", "urgent-start", "requests", "refusals", "configuration")

KINDS: dict[str, type] = {
    "workspace": Workspace,
    "guarantee": Guarantee,
    "failure-domain": FailureDomain,
}


def parse_resource(kind: str, fields: Any) -> Any:
    """Convert the fields of a resource document to the resource and validate it.

    Parameters
    ----------
    kind : str
        Kind of the resource, a key of `KINDS`.
    fields : dict
        The fields of the resource.

    Raises
    ------
    InvalidInputError
        If the kind is unknown or a field is invalid.
    """
    if kind not in KINDS:
        raise InvalidInputError(
            f"the kind {kind!r} does not exist", f"use one of {', '.join(KINDS)}"
        )
    resource = from_builtins(fields, KINDS[kind])
    _validate(resource)
    return resource


def _validate(resource: Any) -> None:
    if not resource.name or "/" in resource.name or len(resource.name) > 128:
        raise InvalidInputError(
            "the resource needs a name of 1 to 128 characters without a slash",
            "rename it",
        )
    if isinstance(resource, Workspace):
        _validate_workspace(resource)
    if isinstance(resource, Guarantee):
        _validate_guarantee(resource)
    if isinstance(resource, FailureDomain) and resource.stop_after_s < 0:
        raise InvalidInputError(
            "stop_after_s is below 0", "use 0 to let running tasks finish"
        )


def _validate_workspace(workspace: Workspace) -> None:
    if workspace.quota_accelerators < 0:
        raise InvalidInputError(
            "quota_accelerators is below 0", "use 0 to refuse all jobs"
        )
    for level in workspace.service_levels:
        if level.measure not in MEASURES:
            raise InvalidInputError(
                f"the measure {level.measure!r} does not exist",
                f"use one of {', '.join(MEASURES)}",
            )
        if not 0 < level.objective < 1:
            raise InvalidInputError(
                f"the objective of {level.name!r} is not between 0 and 1",
                "use a fraction such as 0.99",
            )


def _validate_guarantee(guarantee: Guarantee) -> None:
    for shape in guarantee.shapes:
        if shape.accelerators < 1 or shape.count < 1:
            raise InvalidInputError(
                "a guaranteed shape needs at least one accelerator and a "
                "count of at least one",
                "remove the shape to guarantee nothing",
            )
