"""Loading and validation of settings files."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from functools import singledispatch
from pathlib import Path
from typing import Any

from cicadabank.model import InvalidInputError, decode, from_builtins
from cicadabank.settings.errors import SettingsError
from cicadabank.settings.internal.schemas import (
    AgentSettings,
    EntrySettings,
    StandInSettings,
)

PROCESS_KINDS: dict[str, type] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "stand-in": StandInSettings,
}
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


def load(path: str, kind: str) -> Any:
    """Read and validate the settings file of one kind of process.

    Raises
    ------
    SettingsError
        If the file can't be read, is of another kind or is invalid.
    """
    settings = check_file(path)
    if settings.kind != kind:
        raise SettingsError(
            path, [f"expected the kind {kind!r}, got {settings.kind!r} at $.kind"]
        )
    return settings


def check_file(path: str) -> Any:
    """Read and validate a settings file of any kind.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; lists the fields that can't be
        converted, or if there are none all invalid values.
    """
    try:
        document = decode(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(
            path, [f"the file can't be read: {error.strerror}"]
        ) from error
    except InvalidInputError as error:
        raise SettingsError(path, [error.message]) from error
    if not isinstance(document, dict) or document.get("kind") not in PROCESS_KINDS:
        expected = ", ".join(PROCESS_KINDS)
        raise SettingsError(path, [f"expected one of {expected} at $.kind"])
    return _parse(path, document, PROCESS_KINDS[document["kind"]])


def _parse(path: str, document: dict, settings_type: type) -> Any:
    """Return the settings, or raise one error that lists the invalid fields.

    A field that can't be converted is removed and the rest converted again, to find
    further errors. The values are validated only if all fields could be converted.
    """
    errors: list[str] = []
    fields = dict(document)
    while True:
        try:
            settings = from_builtins(fields, settings_type)
            break
        except InvalidInputError as error:
            errors.append(
                f"{error.message}" + (f" ({error.action})" if error.action else "")
            )
            name = _invalid_field(error.message, fields)
            if name is None:
                raise SettingsError(path, errors) from error
            del fields[name]
    errors += list(_validate(settings)) if not errors else []
    if errors:
        raise SettingsError(path, errors)
    return settings


def _invalid_field(message: str, fields: dict) -> str | None:
    for name in fields:
        if f"$.{name}" in message or f"unknown field {name!r} at $" in message:
            return name
    return None


@singledispatch
def _validate(settings: Any) -> Iterator[str]:
    raise NotImplementedError(type(settings).__name__)


@_validate.register
def _(settings: EntrySettings) -> Iterator[str]:
    for name in ("http_listen", "grpc_listen", "table", "objects"):
        yield from _check_address(name, getattr(settings, name))
    yield from _check_optional_address("statsd", settings.statsd)
    yield from _check_names(settings, "name", "domain")
    yield from _check_positive(
        settings,
        "session_lease_s",
        "session_renew_s",
        "config_poll_s",
        "beat_interval_s",
        "beats_per_s",
    )
    yield from _check_log_level(settings.log_level)
    if settings.session_renew_s * 3 > settings.session_lease_s:
        yield (
            "session_lease_s must be at least three times "
            "session_renew_s at $.session_lease_s"
        )
    if settings.config_poll_s > 2.0:
        yield (
            "expected at most 2.0, so that changes are in force within 5 "
            "s, at $.config_poll_s"
        )
    if settings.timings.lease_duration_s < 3 * settings.beat_interval_s:
        yield "expected at least three heartbeats at $.timings.lease_duration_s"
    min_lease_s = (
        settings.session_lease_s
        + 2 * settings.session_renew_s
        + 3 * settings.beat_interval_s
    )
    if settings.timings.lease_duration_s < min_lease_s:
        yield (
            f"expected at least {min_lease_s:g}, so that the leases of running "
            "tasks outlast a takeover of their cell, at $.timings.lease_duration_s"
        )
    if settings.timings.gang_hold_s < 2 * settings.timings.start_timeout_s:
        yield (
            "expected at least twice start_timeout_s, so that a held gang is told "
            "to begin in time, at $.timings.gang_hold_s"
        )
    if not settings.cells:
        yield "expected at least one cell at $.cells"


@_validate.register
def _(settings: AgentSettings) -> Iterator[str]:
    for name in ("target_address", "listen"):
        yield from _check_address(name, getattr(settings, name))
    yield from _check_optional_address("statsd", settings.statsd)
    yield from _check_optional_address("objects", settings.objects)
    yield from _check_optional_address("advertise", settings.advertise)
    yield from _check_optional_address("health_listen", settings.health_listen)
    yield from _check_entry_addresses(settings.entries)
    yield from _check_names(settings, "name", "cell", "domain", "rack")
    yield from _check_positive(settings, "freshness_s", "usage_interval_s")
    yield from _check_log_level(settings.log_level)
    if settings.target not in ("worker", "minion"):
        yield "expected worker or minion at $.target"
    if settings.target == "worker" and settings.accelerators < 1:
        yield "expected at least one accelerator at $.accelerators"
    if settings.target == "minion" and settings.slots < 1:
        yield "expected at least one slot at $.slots"
    if settings.freshness_s > 5.0:
        yield (
            "expected at most 5.0, so that changes are in force within 5 s, "
            "at $.freshness_s"
        )


@_validate.register
def _(settings: StandInSettings) -> Iterator[str]:
    yield from _check_address("listen", settings.listen)
    yield from _check_log_level(settings.log_level)
    if settings.role not in ("store", "worker", "minion"):
        yield "expected store, worker or minion at $.role"


def _check_address(name: str, value: str) -> Iterator[str]:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        yield f"expected an address as IP:port, got {value!r} at $.{name}"


def _check_optional_address(name: str, value: str) -> Iterator[str]:
    if value:
        yield from _check_address(name, value)


def _check_entry_addresses(entries: tuple[str, ...]) -> Iterator[str]:
    if not entries:
        yield "expected at least one entry's address at $.entries"
    for index, entry in enumerate(entries):
        yield from _check_address(f"entries[{index}]", entry)


def _check_names(settings: Any, *fields: str) -> Iterator[str]:
    for field in fields:
        if not getattr(settings, field) or "/" in getattr(settings, field):
            yield f"expected a name without a slash at $.{field}"


def _check_positive(settings: Any, *fields: str) -> Iterator[str]:
    for field in fields:
        if getattr(settings, field) <= 0:
            yield f"expected a number above 0 at $.{field}"


def _check_log_level(level: str) -> Iterator[str]:
    if level not in LOG_LEVELS:
        yield f"expected one of {', '.join(LOG_LEVELS)} at $.log_level"
