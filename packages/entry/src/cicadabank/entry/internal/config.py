"""The configuration as this entry knows it, and how operators change it."""

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
from cicadabank.tasks import Task, clock_s
from loguru import logger

TICK_S = 0.25
STORE_TIMEOUT_S = 1.0
LOG_ROWS_AT_ONCE = 200
OVERRIDE_TIME_S = 300.0


class ConfigHead(NamedTuple):
    """The row that carries the newest version of the configuration."""

    version: int


class ConfigChange(NamedTuple):
    """One accepted change, as the log keeps it."""

    version: int
    kind: str
    name: str
    deleted: bool
    fields: dict[str, Any]
    operator: str
    at_unix_s: float


class StoredResource(NamedTuple):
    """The row of a resource."""

    kind: str
    name: str
    version: int  # of the configuration that set it
    operator: str
    fields: dict[str, Any]


class Seen(NamedTuple):
    """A view of the configuration and when it was surely the newest."""

    view: ConfigView
    seen_s: float

    def age_s(self) -> float:
        """Return the age of the view in seconds."""
        return max(0.0, clock_s() - self.seen_s)


class ConfigTask(Task):
    """Follows the head of the configuration's log.

    Parameters
    ----------
    table : TableClient
    poll_s : float
        Time between reads of the head.
    changed : callable
        Called with each new `Seen`, also if only its time is new.
    """

    def __init__(
        self, table: TableClient, poll_s: float, changed: Callable[[Seen], None]
    ):
        super().__init__(TICK_S)
        self._table = table
        self._poll_s = poll_s
        self._changed = changed
        self._due_s = 0.0
        self._resources: dict[tuple[str, str], Any] = {}
        self._overrides: dict[str, float] = {}
        self._version = -1
        self.seen = Seen(ConfigView(), float("-inf"))

    def on_tick(self) -> None:
        """Read the head when due."""
        now_s = clock_s()
        if now_s < self._due_s:
            return
        self._due_s = now_s + self._poll_s
        self.refresh()

    def refresh(self) -> None:
        """Read the head now, and what has changed since."""
        asked_s = clock_s()
        try:
            self._read(asked_s)
        except UnavailableError as error:
            logger.warning("the configuration could not be read: {}", error)

    def _read(self, asked_s: float) -> None:
        row = self._table.read_one(Key.CONFIG_HEAD, STORE_TIMEOUT_S)
        version = decode_as(row.value, ConfigHead).version if row.exists else 0
        if version < self._version:
            # The table never goes back; an answer that does is not of this table's
            # newest state.
            logger.error("the head went back from {} to {}", self._version, version)
            return
        if version > self._version:
            self._follow(version)
        elif self._expire_overrides(asked_s):
            self._publish(version, asked_s)
            return
        if version == self._version and version == self.seen.view.version:
            self.seen = Seen(self.seen.view, asked_s)
            self._changed(self.seen)
        else:
            self._publish(version, asked_s)

    def _follow(self, version: int) -> None:
        first = self._version + 1
        if self._version < 0 or version - self._version > LOG_ROWS_AT_ONCE:
            self._read_all()
        else:
            keys = [Key.config_log(number) for number in range(first, version + 1)]
            rows = self._table.read(keys, STORE_TIMEOUT_S)
            for key in keys:
                change = decode_as(rows[key].value, ConfigChange)
                self._apply(
                    change.kind, change.name, None if change.deleted else change.fields
                )
        self._version = version

    def _read_all(self) -> None:
        self._resources = {}
        for row in self._table.scan(Key.CONFIG_RESOURCES, STORE_TIMEOUT_S):
            stored = decode_as(row.value, StoredResource)
            self._apply(stored.kind, stored.name, stored.fields)

    def _apply(self, kind: str, name: str, fields: dict[str, Any] | None) -> None:
        if kind == "failure-domain":
            self._overrides.pop(name, None)
        if fields is None:
            self._resources.pop((kind, name), None)
        else:
            self._resources[(kind, name)] = parse_resource(kind, fields)

    def _expire_overrides(self, now_s: float) -> bool:
        lapsed = [name for name, until_s in self._overrides.items() if until_s <= now_s]
        for name in lapsed:
            del self._overrides[name]
        return bool(lapsed)

    def override_out(self, domain: str) -> None:
        """Treat a failure domain as out although that could not be stored."""
        self._overrides[domain] = clock_s() + OVERRIDE_TIME_S
        self._publish(max(0, self._version), self.seen.seen_s)

    def _publish(self, version: int, seen_s: float) -> None:
        by_kind: dict[type, dict[str, Any]] = {
            Workspace: {},
            Guarantee: {},
            FailureDomain: {},
        }
        for (_, name), resource in self._resources.items():
            by_kind[type(resource)][name] = resource
        domains = by_kind[FailureDomain]
        for name in self._overrides:
            domains[name] = domains.get(name, FailureDomain(name))._replace(out=True)
        view = ConfigView(version, domains, by_kind[Guarantee], by_kind[Workspace])
        self.seen = Seen(view, seen_s)
        self._changed(self.seen)
