"""Rows in the store: accepted jobs, their progress, cell holders and agents."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec
from cicadabank.scheduling.internal.jobs import JobRecord, Resources
from cicadabank.scheduling.internal.speeds import SpeedEstimate
from cicadabank.scheduling.internal.units import (
    Crash,
    Job,
    Member,
    Phase,
    TargetIncarnation,
    Unit,
)

TABLE = "cells"
# Prefixes of keys, each followed by the id of a job, an agent or a queue.
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
RUN_PREFIX = "run/"
AGENT_PREFIX = "agent/"
TARGET_SHAPE_PREFIX = "target/"
QUEUE_PREFIX = "queue/"
INCIDENTS_PREFIX = "incidents/"
# Complete keys.
HOLDER_KEY = "holder"
LEASE_KEY = "lease"
EARLIER_LEASES_KEY = "earlier-leases"
HOLDER_LOAD_KEY = "holder-load"
TARGET_SPEEDS_KEY = "target-speeds"

# The store takes no larger rows.
MAX_ROW_BYTES = 65_536
# Entries of earlier builds can't read compressed rows, so only rows are compressed that
# may outgrow `MAX_ROW_BYTES`.
COMPRESS_ABOVE_BYTES = 48_000
COMPRESSION_LEVEL = 6
MAX_DECOMPRESSED_BYTES = 32_000_000
# First byte of compressed rows. In MessagePack, it is a number, which no row is.
COMPRESSED = b"\x78"
# First bytes of rows in which earlier builds noted, in place of a job, that it was
# cancelled before it was stored: the time of the cancellation, or nil.
VOID_NUMBER, VOID_NIL = b"\xcb", b"\xc0"


class UnitRow(NamedTuple):
    """Stored progress of a unit.

    Attributes
    ----------
    run : int
        Number of the latest run.
    failed_runs : int
    phase : str
        ``"waiting"``, ``"running"`` or ``"done"``.
    checkpoint : str
    target_incarnations : tuple of TargetIncarnation
        Incarnations of targets that the members are assigned to; empty unless they may
        be running the unit.
    failed : bool
        Whether the current run has failed; it is then counted in `failed_runs`.
    crashes : tuple of Crash
        Crashes of targets under the unit.
    """

    run: int
    failed_runs: int
    phase: str
    checkpoint: str = ""
    target_incarnations: tuple[TargetIncarnation, ...] = ()
    failed: bool = False
    crashes: tuple[Crash, ...] = ()


class JobProgressRow(NamedTuple):
    """Stored state of a job and the progress of its units.

    Attributes
    ----------
    started : bool
        Whether the job counts as begun: one of its tasks has run, or was placed and is
        expected to begin within `lifecycle.MAX_BEGIN_S`.
    """

    state: str
    reason: str = ""
    ended_s: float = 0.0
    units: tuple[UnitRow, ...] = ()
    started: bool = False


class HolderRow(NamedTuple):
    """The holder of a cell; written when the holder changes.

    Entries of other builds, which run during a rolling update, can't decode a row with
    a different number of fields.
    """

    epoch: int
    entry: str
    address: str


class LeaseRow(NamedTuple):
    """The lease on a cell; renewed periodically by its holder.

    Attributes
    ----------
    at_s : float
        Time of the renewal by the store's clock.
    """

    epoch: int
    at_s: float


class EarlierLeasesRow(NamedTuple):
    """When leases granted by earlier holders of a cell have expired.

    Written with each takeover. Entries of builds without this row take over without
    writing it; its epoch then is not the current holder's.

    Attributes
    ----------
    epoch : int
        Epoch of the takeover.
    until_s : float
        Time by the store's clock. Leases granted by a holder that had ended before the
        takeover may last longer, but not longer than one granted at the takeover.
    """

    epoch: int
    until_s: float


class HolderLoadRow(NamedTuple):
    """How busy the holder of a cell is.

    Attributes
    ----------
    epoch : int
        Epoch of the holder.
    lateness_s : float
        How much later than usual its lease renewals may be. Other entries wait for this
        much longer before they take over.
    """

    epoch: int
    lateness_s: float


class TargetSpeedsRow(NamedTuple):
    """What a holder has learned of the speeds of targets.

    Attributes
    ----------
    estimates : dict of str to SpeedEstimate
        By the address of the target's agent.
    """

    estimates: dict[str, SpeedEstimate]


class TargetShapeRow(NamedTuple):
    """What the holders of a cell have seen of an agent's target.

    A later holder then knows which jobs a target could run that it can't reach.

    Attributes
    ----------
    labels : tuple of str or None
        None if no holder has heard of a target of this agent.
    largest_capacity : Resources
    absent_since_s : float or None
        Since when the target has been absent, by the store's clock. None while it
        reports, and for a short time after that.
    """

    labels: tuple[str, ...] | None
    largest_capacity: Resources
    absent_since_s: float | None


class CancelRow(NamedTuple):
    """A client's request to cancel a job, which may not be stored yet.

    Attributes
    ----------
    at_s : float
        Time of the request by the store's clock, as estimated by its entry.
    queues : tuple of str
        Queues whose job of this id is cancelled. Empty in rows of earlier builds, which
        cancel it in any queue.
    """

    at_s: float
    queues: tuple[str, ...] = ()

    def covers(self, queue: str) -> bool:
        """Return whether the job of this id is cancelled in a queue."""
        return not self.queues or queue in self.queues


class AgentRow(NamedTuple):
    """The address at which an agent listens."""

    address: str


def pack(row: NamedTuple) -> bytes:
    """Encode a row as MessagePack; fields are stored by position.

    Large rows are compressed.
    """
    value = msgspec.msgpack.encode(row)
    if len(value) <= COMPRESS_ABOVE_BYTES:
        return value
    return zlib.compress(value, COMPRESSION_LEVEL)


def voided_at_s(value: bytes) -> float | None:
    """Return when a job was voided, or None if the row is not of a void job.

    Entries of earlier builds void a job that is cancelled before it is stored. Minus
    infinity if the time is not known.
    """
    if value == VOID_NIL:
        return float("-inf")
    return msgspec.msgpack.decode(value) if value.startswith(VOID_NUMBER) else None


def unpack(value: bytes, kind: type):
    """Decode a row of the given type.

    Raises
    ------
    msgspec.MsgspecError, zlib.error, ValueError
        If the value does not encode a row of this type, or one that is too large.
    """
    if value.startswith(COMPRESSED):
        value = _decompress(value)
    return msgspec.msgpack.decode(value, type=kind)


def _decompress(value: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    row = decompressor.decompress(value, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("a compressed row is incomplete or too large")
    return row


def pack_progress(job: Job) -> bytes:
    """Encode the progress of a job, without checkpoints if they don't fit into a row.

    Stored checkpoints are needed only after all VMs have lost power: units that were
    running then begin anew.
    """
    row = job_progress_row(job)
    value = pack(row)
    if len(value) <= MAX_ROW_BYTES:
        return value
    units = tuple(_without_checkpoint(unit) for unit in row.units)
    return pack(row._replace(units=units))


def _without_checkpoint(row: tuple) -> tuple:
    return UnitRow(*row)._replace(checkpoint="")[: len(row)]


def job_progress_row(job: Job) -> JobProgressRow:
    """Return the row that stores the progress of a job."""
    ended = job.ended
    units = () if ended else tuple(_unit_row(unit) for unit in job.units)
    started = any(unit.run for unit in job.units) and not job.counts_as_waiting
    return JobProgressRow(job.state, job.reason, job.ended_s, units, started)


def _unit_row(unit: Unit) -> tuple:
    """Return the row of a unit.

    Without crashes, the field for them is left out, so that entries of builds that
    don't know it can decode the row.
    """
    row = _complete_unit_row(unit)
    return row if row.crashes else row[:-1]


def _complete_unit_row(unit: Unit) -> UnitRow:
    if unit.phase is Phase.DONE:
        return UnitRow(unit.run, unit.failed_runs, "done")
    if not unit.may_be_running:
        return UnitRow(
            unit.run,
            unit.failed_runs,
            "waiting",
            unit.checkpoint,
            crashes=unit.crashes,
        )
    target_incarnations = tuple(member.target_incarnation for member in unit.members)
    failed = unit.stop_reason == "failed"
    return UnitRow(
        unit.run,
        unit.failed_runs,
        "running",
        unit.checkpoint,
        target_incarnations,
        failed,
        unit.crashes,
    )


def restore_job(
    record: JobRecord, row: JobProgressRow | None, version: int, now_s: float
) -> Job:
    """Rebuild a job from its rows after a takeover.

    A unit with a stored run may be running or may never have been started; the
    reports of its targets show which.
    """
    job = Job(record)
    if row is None:
        return job
    job.version = version
    job.state, job.reason, job.ended_s = row.state, row.reason, row.ended_s
    job.has_begun = row.started
    job.counts_as_waiting = any(unit.run for unit in row.units) and not row.started
    for unit, stored in zip(job.units, row.units, strict=False):
        unit.run, unit.failed_runs = stored.run, stored.failed_runs
        unit.checkpoint, unit.crashes = stored.checkpoint, stored.crashes
        if stored.phase == "done":
            unit.phase = Phase.DONE
        elif stored.phase == "running":
            unit.phase = Phase.RUNNING
            unit.started_s = unit.checkpointed_s = now_s
            unit.is_timed = False
            unit.members = [
                Member(target_incarnation)
                for target_incarnation in stored.target_incarnations
            ]
            if stored.failed:
                unit.phase, unit.stop_reason = Phase.STOPPING, "failed"
    return job
