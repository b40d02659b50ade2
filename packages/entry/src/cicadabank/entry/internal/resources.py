"""Configuration resources. Each change is one conditional transaction."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cicadabank.decisions import ConfigView, guarantee_conflict
from cicadabank.entry.errors import (
    DomainOutNotStoredError,
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

MAX_APPLY_TRIES = 12


class ChangeRequest(NamedTuple):
    """A change to a resource that an operator requests.

    Attributes
    ----------
    if_version : int or None
        Version that the resource must have for the change to be accepted: 0 if it must
        not exist, None for whichever version is read first.
    """

    kind: str
    name: str
    fields: dict[str, Any] | None  # None deletes
    operator: str
    if_version: int | None = None


class VersionedResource(NamedTuple):
    """A resource as the API returns it.

    Attributes
    ----------
    version : int
        Configuration version that set it.
    operator : str
        Operator who set it.
    """

    kind: str
    name: str
    version: int
    operator: str
    fields: dict[str, Any]


def require_workspace(view: ConfigView, name: str) -> Workspace:
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
    on_accepted : callable
        Called after a change is accepted, so that it is in force here at once.
    take_domain_out : callable
        Takes a failure domain out of service at all entries that this one can reach.
    """

    def __init__(
        self,
        table: TableClient,
        summaries: Callable[[], list[CellSummary]],
        on_accepted: Callable[[], None],
        take_domain_out: Callable[[str], None],
    ):
        self._table = table
        self._summaries = summaries
        self._on_accepted = on_accepted
        self._take_domain_out = take_domain_out

    def apply(self, change: ChangeRequest) -> VersionedResource:
        """Store a change and return the resulting resource, without fields if deleted.

        A change that takes a failure domain out of service takes effect before it is
        stored, so that it also works while the table is unavailable.

        Raises
        ------
        ConflictError
            If the resource has another version than the expected one; names the
            operator who changed it.
        GuaranteeError
            If the cell's workers could not satisfy all its guarantees any more.
        DomainOutNotStoredError
            If a failure domain was taken out of service but the change could not be
            stored.
        """
        resource = self._parse(change)
        takes_domain_out = isinstance(resource, FailureDomain) and resource.out
        if takes_domain_out:
            self._take_domain_out(resource.name)
        try:
            accepted = self._store(change, resource)
        except (UnavailableError, UnknownOutcomeError) as error:
            if takes_domain_out:
                raise DomainOutNotStoredError(
                    f"the failure domain {resource.name!r} gets no new work from "
                    "the entries that this one reaches, but the change could not be "
                    "stored",
                    "send it again until it is accepted",
                ) from error
            raise
        logger.bind(config_version=accepted.version, operator=change.operator).info(
            "{} {} was {}",
            change.kind,
            change.name,
            "set" if change.fields else "deleted",
        )
        self._on_accepted()
        return accepted

    @staticmethod
    def _parse(change: ChangeRequest) -> Any:
        if change.fields is None:
            return None
        resource = parse_resource(change.kind, change.fields)
        if resource.name != change.name:
            raise InvalidInputError(
                f"the resource is named {resource.name!r}, not {change.name!r}",
                "use the same name in the path and in the resource",
            )
        return resource

    def _store(self, change: ChangeRequest, resource: Any) -> VersionedResource:
        key = Key.resource(change.kind, change.name)
        operation = new_id("apply")
        expected = change.if_version
        for _ in range(MAX_APPLY_TRIES):
            rows = self._table.read([Key.CONFIG_HEAD, key])
            head, current = rows[Key.CONFIG_HEAD], rows[key]
            stored = (
                decode_as(current.value, StoredResource) if current.exists else None
            )
            if stored is not None and current.operation == operation:
                return _versioned_resource(stored)
            version = stored.version if stored else 0
            if expected is None:
                expected = version
            if version != expected:
                raise _conflict_error(change, stored, expected)
            if change.fields is None and stored is None:
                raise NotFoundError(f"the {change.kind} {change.name!r} does not exist")
            if isinstance(resource, Guarantee):
                self._check_guarantee(resource)
            try:
                return self._write(change, resource, head, current, operation)
            except RowConflictError:
                continue
            except UnknownOutcomeError:
                logged = self._find_logged_change(change, head, operation)
                if logged is not None:
                    return logged
                raise
        raise ConflictError(
            "the change conflicted with other changes of the configuration at each try",
            "apply the change again",
        )

    def _write(
        self,
        change: ChangeRequest,
        resource: Any,
        head: Row,
        current: Row,
        operation: str,
    ) -> VersionedResource:
        version = (decode_as(head.value, ConfigHead).version if head.exists else 0) + 1
        fields = to_builtins(resource) if resource is not None else {}
        stored = StoredResource(
            change.kind, change.name, version, change.operator, fields
        )
        log_entry = ConfigChange(
            version,
            change.kind,
            change.name,
            resource is None,
            fields,
            change.operator,
            unix_s(),
        )
        log_key = Key.config_log(version)
        puts = {
            Key.CONFIG_HEAD: encode(ConfigHead(version)),
            log_key: encode(log_entry),
        }
        deletes = (current.key,) if resource is None else ()
        if resource is not None:
            puts[current.key] = encode(stored)
        conditions = {
            Key.CONFIG_HEAD: head.version,
            log_key: 0,
            current.key: current.version,
        }
        self._table.transact(Transaction(operation, conditions, puts, deletes))
        return _versioned_resource(stored)

    def _find_logged_change(
        self, change: ChangeRequest, head: Row, operation: str
    ) -> VersionedResource | None:
        """Look in the log for a change whose write may have taken effect."""
        version = (decode_as(head.value, ConfigHead).version if head.exists else 0) + 1
        try:
            row = self._table.read_one(Key.config_log(version))
        except PlatformError:
            return None
        if not row.exists or row.operation != operation:
            return None
        log_entry = decode_as(row.value, ConfigChange)
        return VersionedResource(
            change.kind, change.name, version, change.operator, log_entry.fields
        )

    def _check_guarantee(self, guarantee: Guarantee) -> None:
        summary = next((s for s in self._summaries() if s.cell == guarantee.cell), None)
        if summary is None or not summary.workers:
            raise GuaranteeError(
                f"the cell {guarantee.cell!r} has no workers, so it can "
                "guarantee nothing",
                "name a cell that has workers",
            )
        others = [
            resource
            for resource in self._stored_guarantees()
            if resource.cell == guarantee.cell and resource.name != guarantee.name
        ]
        reason = guarantee_conflict([*others, guarantee], summary.workers)
        if reason:
            raise GuaranteeError(reason, "guarantee smaller or fewer shapes")

    def _stored_guarantees(self) -> list[Guarantee]:
        rows = self._table.scan(f"{Key.CONFIG_RESOURCES}guarantee/")
        stored = [decode_as(row.value, StoredResource) for row in rows]
        return [parse_resource("guarantee", resource.fields) for resource in stored]

    def read(self, kind: str, name: str) -> VersionedResource:
        """Return a resource.

        Raises
        ------
        NotFoundError
            If there is none of this kind and name.
        """
        row = self._table.read_one(Key.resource(kind, name))
        if not row.exists:
            raise NotFoundError(
                f"the {kind} {name!r} does not exist", "list the resources of this kind"
            )
        return _versioned_resource(decode_as(row.value, StoredResource))

    def list(self, kind: str) -> list[VersionedResource]:
        """Return all resources of a kind, by name."""
        rows = self._table.scan(f"{Key.CONFIG_RESOURCES}{kind}/")
        return [
            _versioned_resource(decode_as(row.value, StoredResource)) for row in rows
        ]

    def log(self, after_version: int, limit: int) -> list[ConfigChange]:
        """Return accepted changes after a version, oldest first."""
        rows = self._table.scan(Key.config_log(0).rpartition("/")[0] + "/")
        changes = [decode_as(row.value, ConfigChange) for row in rows]
        return [change for change in changes if change.version > after_version][:limit]


def _versioned_resource(stored: StoredResource) -> VersionedResource:
    return VersionedResource(
        stored.kind, stored.name, stored.version, stored.operator, stored.fields
    )


def _conflict_error(
    change: ChangeRequest, stored: StoredResource | None, expected: int
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
