"""Polls the operators' configuration, a log of changes in the table."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from cicadabank.decisions import ConfigView
from cicadabank.model import (
    FailureDomain,
    Guarantee,
    Key,
    Workspace,
    decode_as,
    parse_resource,
)
from cicadabank.store import TableClient, UnavailableError
from cicadabank.tasks import Actor, clock_s
from loguru import logger

TICK_S = 0.25
TABLE_TIMEOUT_S = 1.0
MAX_LOG_ROWS_PER_READ = 200
# An out-of-service override ends after this time if no change of the domain has been
# read from the table by then: the change that caused it may never be stored.
OUT_OVERRIDE_DURATION_S = 300.0


class ConfigHead(NamedTuple):
    """The row with the newest version number of the configuration."""

    version: int


class ConfigChange(NamedTuple):
    """One accepted change, as a row of the configuration log."""

    version: int
    kind: str
    name: str
    deleted: bool
    fields: dict[str, Any]
    operator: str
    at_unix_s: float


class StoredResource(NamedTuple):
    """A resource as stored in its row; the API returns it as a `VersionedResource`."""

    kind: str
    name: str
    version: int  # configuration version that set it
    operator: str
    fields: dict[str, Any]


class ConfigSnapshot(NamedTuple):
    """A configuration and when it was last known to be the newest.

    Attributes
    ----------
    confirmed_s : float
        Start of the last read that found this version to be the newest.
    """

    view: ConfigView
    confirmed_s: float

    def age_s(self) -> float:
        """Return the seconds since the view was confirmed; infinite if it never was."""
        return max(0.0, clock_s() - self.confirmed_s)


class ConfigActor(Actor):
    """Polls the head of the configuration log and applies new changes.

    Parameters
    ----------
    table : TableClient
    poll_s : float
        Time between reads of the head.
    on_update : callable
        Called with each new `ConfigSnapshot`, also if only its time has changed.
    """

    def __init__(
        self,
        table: TableClient,
        poll_s: float,
        on_update: Callable[[ConfigSnapshot], None],
    ):
        super().__init__(TICK_S)
        self._table = table
        self._poll_s = poll_s
        self._on_update = on_update
        self._read_due_s = 0.0
        self._resources: dict[tuple[str, str], Any] = {}
        self._out_overrides: dict[str, float] = {}
        self._applied_version = -1
        self.snapshot = ConfigSnapshot(ConfigView(), float("-inf"))

    def on_tick(self) -> None:
        """Read the head when due."""
        now_s = clock_s()
        if now_s < self._read_due_s:
            return
        self._read_due_s = now_s + self._poll_s
        self.refresh()

    def refresh(self) -> None:
        """Read the head now, and apply the changes since the last read."""
        read_started_s = clock_s()
        try:
            self._read_head(read_started_s)
        except UnavailableError as error:
            logger.warning("the configuration could not be read: {}", error)

    def _read_head(self, read_started_s: float) -> None:
        row = self._table.read_one(Key.CONFIG_HEAD, TABLE_TIMEOUT_S)
        version = decode_as(row.value, ConfigHead).version if row.exists else 0
        if version < self._applied_version:
            # Versions only grow, so this read did not return the newest state.
            logger.error(
                "ignored a read of the configuration: its version fell from {} to {}",
                self._applied_version,
                version,
            )
            return
        if version > self._applied_version:
            self._catch_up(version)
        elif self._expire_out_overrides(read_started_s):
            self._publish(version, read_started_s)
            return
        if version == self._applied_version and version == self.snapshot.view.version:
            self.snapshot = ConfigSnapshot(self.snapshot.view, read_started_s)
            self._on_update(self.snapshot)
        else:
            self._publish(version, read_started_s)

    def _catch_up(self, version: int) -> None:
        first = self._applied_version + 1
        if (
            self._applied_version < 0
            or version - self._applied_version > MAX_LOG_ROWS_PER_READ
        ):
            self._read_all_resources()
        else:
            keys = [Key.config_log(number) for number in range(first, version + 1)]
            rows = self._table.read(keys, TABLE_TIMEOUT_S)
            for key in keys:
                change = decode_as(rows[key].value, ConfigChange)
                self._apply_change(
                    change.kind, change.name, None if change.deleted else change.fields
                )
        self._applied_version = version

    def _read_all_resources(self) -> None:
        self._resources = {}
        for row in self._table.scan(Key.CONFIG_RESOURCES, TABLE_TIMEOUT_S):
            stored = decode_as(row.value, StoredResource)
            self._apply_change(stored.kind, stored.name, stored.fields)

    def _apply_change(
        self, kind: str, name: str, fields: dict[str, Any] | None
    ) -> None:
        if kind == "failure-domain":
            self._out_overrides.pop(name, None)
        if fields is None:
            self._resources.pop((kind, name), None)
        else:
            self._resources[(kind, name)] = parse_resource(kind, fields)

    def _expire_out_overrides(self, now_s: float) -> bool:
        expired = [
            name for name, until_s in self._out_overrides.items() if until_s <= now_s
        ]
        for name in expired:
            del self._out_overrides[name]
        return bool(expired)

    def override_domain_out(self, domain: str) -> None:
        """Treat a failure domain as out of service before the change is stored.

        Ends when the domain's stored resource changes, or after
        `OUT_OVERRIDE_DURATION_S`.
        """
        self._out_overrides[domain] = clock_s() + OUT_OVERRIDE_DURATION_S
        self._publish(max(0, self._applied_version), self.snapshot.confirmed_s)

    def _publish(self, version: int, confirmed_s: float) -> None:
        by_kind: dict[type, dict[str, Any]] = {
            Workspace: {},
            Guarantee: {},
            FailureDomain: {},
        }
        for (_, name), resource in self._resources.items():
            by_kind[type(resource)][name] = resource
        domains = by_kind[FailureDomain]
        for name in self._out_overrides:
            domains[name] = domains.get(name, FailureDomain(name))._replace(out=True)
        view = ConfigView(version, domains, by_kind[Guarantee], by_kind[Workspace])
        self.snapshot = ConfigSnapshot(view, confirmed_s)
        self._on_update(self.snapshot)
