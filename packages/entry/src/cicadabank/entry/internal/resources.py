"""Operators' resources: accepted by one conditional write, in force everywhere soon."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cicadabank.decisions import ConfigView, refusal_of
from cicadabank.entry.errors import (
    ActingNotStoredError,
    GuaranteeError,
    UnknownWorkspaceError,
)
from cicadabank.entry.internal.cell_summary import CellSummary
from cicadabank.entry.internal.config import ConfigChange, ConfigHead, StoredResource
from cicadabank.model import (
    ConflictError,
    FailureDomain,
    Guarantee,
    InvalidInputError,
    Key,
    NotFoundError,
    Workspace,
    decode_as,
    encode,
    new_id,
    parse_resource,
    to_builtins,
)
from cicadabank.store import (
    PlatformError,
    Row,
    RowConflictError,
    TableClient,
    Transaction,
    UnavailableError,
    UnknownOutcomeError,
)
from cicadabank.tasks import unix_s
from loguru import logger

APPLY_TRIES = 12


class Change(NamedTuple):
    """A change that an operator asks for.

    Attributes
    ----------
    if_version : int or None
        Version that the resource must have: 0 for one that must not exist, None for
        whatever stands there when the change is read.
    """

    kind: str
    name: str
    fields: dict[str, Any] | None  # None deletes
    operator: str
    if_version: int | None = None


class Accepted(NamedTuple):
    """An accepted change."""

    kind: str
    name: str
    version: int
    operator: str
    fields: dict[str, Any]


def known_workspace(view: ConfigView, name: str) -> Workspace:
    """Return a configured workspace.

    Raises
    ------
    UnknownWorkspaceError
        If there is none of this name.
    """
    workspace = view.workspaces.get(name)
    if workspace is None:
        raise UnknownWorkspaceError(
            f"the workspace {name!r} does not exist; nothing was run",
            "check the name, or have an operator apply the workspace",
        )
    return workspace


class ResourceService:
    """Blocking operations on resources, called from the threads of the HTTP interface.

    Parameters
    ----------
    summaries : callable
        Returns the summaries of the known cells.
    changed : callable
        Called after an accepted change, so that it is in force at once here.
    out_at_once : callable
        Takes a failure domain out everywhere this entry reaches.
    """

    def __init__(
        self,
        table: TableClient,
        summaries: Callable[[], list[CellSummary]],
        changed: Callable[[], None],
        out_at_once: Callable[[str], None],
    ):
        self._table = table
        self._summaries = summaries
        self._changed = changed
        self._out_at_once = out_at_once

    def apply(self, change: Change) -> Accepted:
        """Accept a change, or refuse it because of another operator's.

        Raises
        ------
        ConflictError
            If the resource was changed since; names who did.
        GuaranteeError
            If the guarantees could not hold together any more.
        ActingNotStoredError
            If a failure domain was taken out at once but could not be stored.
        """
        resource = self._parse(change)
        takes_out = isinstance(resource, FailureDomain) and resource.out
        if takes_out:
            self._out_at_once(resource.name)
        try:
            accepted = self._store(change, resource)
        except (UnavailableError, UnknownOutcomeError) as error:
            if takes_out:
                raise ActingNotStoredError(
                    f"the failure domain {resource.name!r} takes no new work "
                    "where this entry "
                    "reaches, but that could not be stored",
                    "send it again until it is accepted",
                ) from error
            raise
        logger.bind(config_version=accepted.version, operator=change.operator).info(
            "{} {} was {}",
            change.kind,
            change.name,
            "set" if change.fields else "deleted",
        )
        self._changed()
        return accepted

    @staticmethod
    def _parse(change: Change) -> Any:
        if change.fields is None:
            return None
        resource = parse_resource(change.kind, change.fields)
        if resource.name != change.name:
            raise InvalidInputError(
                f"the resource is named {resource.name!r}, not {change.name!r}",
                "use the same name in the path and in the resource",
            )
        return resource

    def _store(self, change: Change, resource: Any) -> Accepted:
        key = Key.resource(change.kind, change.name)
        operation = new_id("apply")
        expected = change.if_version
        for _ in range(APPLY_TRIES):
            rows = self._table.read([Key.CONFIG_HEAD, key])
            head, current = rows[Key.CONFIG_HEAD], rows[key]
            stored = (
                decode_as(current.value, StoredResource) if current.exists else None
            )
            if stored is not None and current.operation == operation:
                return _accepted(stored)
            version = stored.version if stored else 0
            if expected is None:
                expected = version
            if version != expected:
                raise _conflict(change, stored, expected)
            if change.fields is None and stored is None:
                raise NotFoundError(f"the {change.kind} {change.name!r} does not exist")
            if isinstance(resource, Guarantee):
                self._check_guarantee(resource)
            try:
                return self._write(change, resource, head, current, operation)
            except RowConflictError:
                continue
            except UnknownOutcomeError:
                found = self._find_own(change, head, operation)
                if found is not None:
                    return found
                raise
        raise ConflictError("the configuration kept changing", "apply the change again")

    def _write(
        self, change: Change, resource: Any, head: Row, current: Row, operation: str
    ) -> Accepted:
        version = (decode_as(head.value, ConfigHead).version if head.exists else 0) + 1
        fields = to_builtins(resource) if resource is not None else {}
        stored = StoredResource(
            change.kind, change.name, version, change.operator, fields
        )
        entry = ConfigChange(
            version,
            change.kind,
            change.name,
            resource is None,
            fields,
            change.operator,
            unix_s(),
        )
        log_key = Key.config_log(version)
        puts = {Key.CONFIG_HEAD: encode(ConfigHead(version)), log_key: encode(entry)}
        deletes = (current.key,) if resource is None else ()
        if resource is not None:
            puts[current.key] = encode(stored)
        conditions = {
            Key.CONFIG_HEAD: head.version,
            log_key: 0,
            current.key: current.version,
        }
        self._table.transact(Transaction(operation, conditions, puts, deletes))
        return _accepted(stored)

    def _find_own(self, change: Change, head: Row, operation: str) -> Accepted | None:
        """Look in the log for a change whose accepting write lost its answer."""
        version = (decode_as(head.value, ConfigHead).version if head.exists else 0) + 1
        try:
            row = self._table.read_one(Key.config_log(version))
        except PlatformError:
            return None
        if not row.exists or row.operation != operation:
            return None
        entry = decode_as(row.value, ConfigChange)
        return Accepted(
            change.kind, change.name, version, change.operator, entry.fields
        )

    def _check_guarantee(self, guarantee: Guarantee) -> None:
        summary = next((s for s in self._summaries() if s.cell == guarantee.cell), None)
        if summary is None or not summary.workers:
            raise GuaranteeError(
                f"the cell {guarantee.cell!r} has no workers, so nothing can "
                "be guaranteed there",
                "name a cell that has workers",
            )
        others = [
            resource
            for resource in self._stored_guarantees()
            if resource.cell == guarantee.cell and resource.name != guarantee.name
        ]
        reason = refusal_of([*others, guarantee], summary.workers)
        if reason:
            raise GuaranteeError(reason, "guarantee smaller or fewer shapes")

    def _stored_guarantees(self) -> list[Guarantee]:
        rows = self._table.scan(f"{Key.CONFIG_RESOURCES}guarantee/")
        stored = [decode_as(row.value, StoredResource) for row in rows]
        return [parse_resource("guarantee", resource.fields) for resource in stored]

    def read(self, kind: str, name: str) -> Accepted:
        """Return a resource.

        Raises
        ------
        NotFoundError
            If there is none of this kind and name.
        """
        row = self._table.read_one(Key.resource(kind, name))
        if not row.exists:
            raise NotFoundError(f"the {kind} {name!r} does not exist", "list the kind")
        return _accepted(decode_as(row.value, StoredResource))

    def list(self, kind: str) -> list[Accepted]:
        """Return all resources of a kind, by name."""
        rows = self._table.scan(f"{Key.CONFIG_RESOURCES}{kind}/")
        return [_accepted(decode_as(row.value, StoredResource)) for row in rows]

    def log(self, after_version: int, limit: int) -> list[ConfigChange]:
        """Return accepted changes in their order."""
        rows = self._table.scan(Key.config_log(0).rpartition("/")[0] + "/")
        changes = [decode_as(row.value, ConfigChange) for row in rows]
        return [change for change in changes if change.version > after_version][:limit]


def _accepted(stored: StoredResource) -> Accepted:
    return Accepted(
        stored.kind, stored.name, stored.version, stored.operator, stored.fields
    )


def _conflict(
    change: Change, stored: StoredResource | None, expected: int
) -> ConflictError:
    if stored is None:
        return ConflictError(
            f"the {change.kind} {change.name!r} was deleted",
            "read it again and decide anew",
        )
    return ConflictError(
        f"the {change.kind} {change.name!r} has version "
        f"{stored.version}, not {expected}: "
        f"{stored.operator!r} changed it",
        "read it again and decide anew",
        winner=stored.operator,
    )
