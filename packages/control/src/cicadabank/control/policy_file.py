"""Loads the file in which operators switch optional scheduling decisions on."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from cicadabank.control.errors import PolicySettingsError
from cicadabank.model import InvalidInputError, decode_as
from cicadabank.scheduling import SchedulingPolicy

MAX_FILE_BYTES = 65_536
MAX_LEASE_S = 86_400.0
MAX_HALF_LIFE_S = 86_400.0  # a day; longer is no recent use or incident


class Range(NamedTuple):
    """Allowed values of a field; the lowest one is excluded if `above` is set."""

    lowest: float
    highest: float
    above: bool = False

    def __contains__(self, value: float) -> bool:
        if self.above and value == self.lowest:
            return False
        return self.lowest <= value <= self.highest

    def __str__(self) -> str:
        if self.above:
            return f"above {self.lowest:g}, at most {self.highest:g}"
        return f"{self.lowest:g} to {self.highest:g}"


# By section and field; fields that are not listed are switches.
RANGES = {
    ("speeds", "min_slow_targets"): Range(1, 1_000_000),
    ("speeds", "max_probe_share"): Range(0, 1, above=True),
    ("shares", "min_guarantee_ratio"): Range(1, 1_000_000),
    ("shares", "half_life_s"): Range(0, MAX_HALF_LIFE_S, above=True),
    ("shares", "max_boost"): Range(1, 1_000),
    ("reliability", "max_lease_s"): Range(0, MAX_LEASE_S),
    ("reliability", "half_life_s"): Range(0, MAX_HALF_LIFE_S, above=True),
}


def load_policy(path: str) -> SchedulingPolicy:
    """Read and check a policy file; sections and fields it leaves out keep defaults.

    Raises
    ------
    PolicySettingsError
        If the file can't be read, is no JSON object, or has a field that is unknown,
        of the wrong type or out of range; names the field.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"the file can't be read: {error.strerror}"
        raise PolicySettingsError(path, [text]) from error
    if len(data) > MAX_FILE_BYTES:
        text = f"the file is larger than {MAX_FILE_BYTES} bytes"
        raise PolicySettingsError(path, [text])
    try:
        policy = decode_as(data, SchedulingPolicy)
    except InvalidInputError as error:
        raise PolicySettingsError(path, [error.message]) from error
    errors = list(_out_of_range(policy))
    if errors:
        raise PolicySettingsError(path, errors)
    return policy


def _out_of_range(policy: SchedulingPolicy) -> Iterator[str]:
    for (section, field), allowed in RANGES.items():
        value = getattr(getattr(policy, section), field)
        if value not in allowed:
            yield f"expected {allowed}, got {value:g} at $.{section}.{field}"
