"""Ranges of values that other processes write; a value outside names nothing to use."""

from __future__ import annotations

import ipaddress

from cicadabank.scheduling import Resources, StepSpec

# Of one target or one task; the internal messages carry up to 2 ** 32 - 1 of each.
MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_ACCELERATORS = 10_000
# A holder lists each task of a job in memory.
MAX_JOB_TASKS = 100_000
MAX_ESTIMATE_S = 31_536_000.0  # a year
# Of what is stored of a target's speed.
MAX_SPEED_DIFFERENCE = 1.0
MAX_SPEED_WEIGHT = 1000.0


def is_address(text: str) -> bool:
    """Return whether a text is ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return digits and 0 < int(port) < 65_536


def check_resources(resources: Resources) -> None:
    """Check amounts that a target has or a task needs.

    Raises
    ------
    ValueError
        If an amount is negative or too large.
    """
    limits = Resources(MAX_CPU_MILLICORES, MAX_MEMORY_MB, MAX_ACCELERATORS)
    for amount, limit, field in zip(resources, limits, limits._fields, strict=True):
        if not 0 <= amount <= limit:
            raise ValueError(f"{field} is {amount}; expected 0 to {limit}")


def check_steps(steps: tuple[StepSpec, ...]) -> None:
    """Check the steps of a job.

    Raises
    ------
    ValueError
        If there are none, their tasks are too many, or a number is out of range.
    """
    for index, step in enumerate(steps):
        check_resources(step.need)
        if step.count < 1 or step.per_target < 0:
            raise ValueError(f"step {index} has a count below 1 or a negative limit")
        if not 0 <= step.estimate_s <= MAX_ESTIMATE_S:
            raise ValueError(f"the estimate of step {index} is {step.estimate_s} s")
        if any(not 0 <= required < index for required in step.after):
            raise ValueError(
                f"step {index} depends on itself, a later or an unknown step"
            )
    tasks = sum(step.count for step in steps)
    if not 1 <= tasks <= MAX_JOB_TASKS:
        raise ValueError(f"the job has {tasks} tasks; expected 1 to {MAX_JOB_TASKS}")
