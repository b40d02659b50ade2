"""Request tallies and configuration versions stored for the burn report."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

from cicadabank.model import Key, encode, new_id
from cicadabank.store import PlatformError, TableClient, Transaction
from cicadabank.tasks import Actor, unix_s
from loguru import logger

TICK_S = 5.0
TABLE_TIMEOUT_S = 1.0
LATENCY_BOUNDS_S = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
MAX_VERSIONS_KEPT = 200
MINUTE_S = 60.0


class WorkspaceTally(NamedTuple):
    """Request counts of one workspace.

    Attributes
    ----------
    answered : list of int
        Answered requests in each latency bucket.
    not_answered : dict of str to int
        Other requests by their error code.
    """

    answered: list[int]
    not_answered: dict[str, int]


class TallyRow(NamedTuple):
    """Counts of the requests that ended at one entry within one minute.

    Attributes
    ----------
    minute : int
        Unix time in minutes.
    bounds_s : tuple of float
        Upper bounds of the latency buckets; the last bucket has none.
    """

    entry: str
    minute: int
    bounds_s: tuple[float, ...]
    workspaces: dict[str, WorkspaceTally]


class InForceRow(NamedTuple):
    """When one entry first saw each of the newest configuration versions.

    Attributes
    ----------
    seen : tuple of (int, float)
        Version, and Unix time in seconds.
    """

    entry: str
    seen: tuple[tuple[int, float], ...]


class TallyActor(Actor):
    """Counts requests in memory and stores a row for each minute."""

    def __init__(self, table: TableClient, entry: str):
        super().__init__(TICK_S)
        self._table = table
        self._entry = entry
        self._unstored_minutes: dict[int, dict[str, WorkspaceTally]] = {}
        self._versions_seen: list[tuple[int, float]] = []
        self._newest_version_stored = 0

    def count_request(self, workspace: str, error_code: str, latency_s: float) -> None:
        """Count one request; an empty `error_code` means that it was answered."""
        minute = self._unstored_minutes.setdefault(int(unix_s() // MINUTE_S), {})
        tally = minute.setdefault(
            workspace, WorkspaceTally([0] * (len(LATENCY_BOUNDS_S) + 1), {})
        )
        if error_code:
            tally.not_answered[error_code] = tally.not_answered.get(error_code, 0) + 1
        else:
            tally.answered[bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1

    def record_version(self, version: int) -> None:
        """Record that this entry now uses a version of the configuration."""
        if not self._versions_seen or version > self._versions_seen[-1][0]:
            self._versions_seen = [
                *self._versions_seen[-MAX_VERSIONS_KEPT + 1 :],
                (version, unix_s()),
            ]

    def on_tick(self) -> None:
        """Store the tallies of past minutes, and the versions seen."""
        self.store_tallies(before_minute=int(unix_s() // MINUTE_S))

    def store_tallies(self, before_minute: int | None = None) -> None:
        """Store the versions seen, and the tallies of minutes before `before_minute`.

        Without `before_minute`, the tallies of all minutes are stored, the current one
        included. On failure they are kept for the next call.
        """
        puts = {
            Key.tally(minute, self._entry): encode(
                TallyRow(self._entry, minute, LATENCY_BOUNDS_S, workspaces)
            )
            for minute, workspaces in self._unstored_minutes.items()
            if before_minute is None or minute < before_minute
        }
        stored_minutes = [
            m
            for m in self._unstored_minutes
            if before_minute is None or m < before_minute
        ]
        newest_version = self._versions_seen[-1][0] if self._versions_seen else 0
        if newest_version > self._newest_version_stored:
            row = InForceRow(self._entry, tuple(self._versions_seen))
            puts[Key.in_force(self._entry)] = encode(row)
        if not puts:
            return
        try:
            transaction = Transaction(new_id("tally"), {}, puts)
            self._table.transact(transaction, TABLE_TIMEOUT_S)
        except PlatformError as error:
            logger.warning("the tallies could not be stored yet: {}", error)
            return
        self._newest_version_stored = newest_version
        for minute in stored_minutes:
            del self._unstored_minutes[minute]
