"""What a holder stores for the next one of what it can't read anew after a takeover.

These are the shapes of targets that may be cut off, the incidents of targets, and the
configurations of queues that may have been removed while their jobs are still at work.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch

from cicadabank.scheduling.internal import reliability
from cicadabank.scheduling.internal.feasibility import ABSENT_TARGET_RETENTION_S
from cicadabank.scheduling.internal.jobs import QueueConfig
from cicadabank.scheduling.internal.placement import NO_RESOURCES
from cicadabank.scheduling.internal.reliability import IncidentCount
from cicadabank.scheduling.internal.rows import (
    INCIDENTS_PREFIX,
    QUEUE_PREFIX,
    TARGET_SHAPE_PREFIX,
    TargetShapeRow,
)
from cicadabank.scheduling.internal.state import CellState
from cicadabank.scheduling.internal.targets import AbsentTarget, TargetShape

# A shorter absence of a target is not stored.
STORED_ABSENCE_S = 5.0

Note = TargetShapeRow | QueueConfig | IncidentCount


def restore_notes(state: CellState, notes: Mapping[str, Note]) -> None:
    """Take over the notes of earlier holders, by the keys of their rows."""
    incident_counts: dict[str, IncidentCount] = {}
    for key, note in notes.items():
        _, _, name = key.partition("/")
        if isinstance(note, IncidentCount):
            incident_counts[name] = note
        else:
            _restore(note, state, name)
    reliability.restore(state, incident_counts)


@singledispatch
def _restore(note: Note, state: CellState, name: str) -> None:
    """Take over one note on an agent or a queue of this name."""
    raise TypeError(f"no note of a holder: {note!r}")


@_restore.register
def _(note: TargetShapeRow, state: CellState, name: str) -> None:
    if name not in state.absent_targets:
        return  # it has reported already, or its agent was removed
    shape = None
    if note.labels is not None:
        shape = TargetShape(frozenset(note.labels), note.largest_capacity)
    since_s = note.absent_since_s
    state.absent_targets[name] = AbsentTarget(
        shape, state.store_now_s if since_s is None else since_s
    )


@_restore.register
def _(note: QueueConfig, state: CellState, name: str) -> None:
    state.queues.setdefault(name, note)


def take_changed_notes(state: CellState) -> dict[str, Note]:
    """Return and clear what has changed, by the keys of the rows to be stored."""
    notes: dict[str, Note] = {}
    for agent in state.changed_shapes & state.targets.keys():
        shape = state.targets[agent].shape
        notes[TARGET_SHAPE_PREFIX + agent] = _shape_row(shape, None)
    for name in state.changed_queues & state.queues.keys():
        notes[QUEUE_PREFIX + name] = state.queues[name]
    for agent, count in reliability.take_changed_counts(state).items():
        notes[INCIDENTS_PREFIX + agent] = count
    state.changed_shapes.clear()
    state.changed_queues.clear()
    return notes


def notes_on_absent_targets(state: CellState) -> dict[str, Note]:
    """Return what is to be stored of targets that have been absent for some time.

    Of a target of which nothing is known, that is only that it counts as gone.
    """
    notes: dict[str, Note] = {}
    for agent, absent in state.absent_targets.items():
        absent_s = state.store_now_s - absent.since_store_s
        if absent.shape is None:
            is_due = absent_s > ABSENT_TARGET_RETENTION_S
            row = TargetShapeRow(None, NO_RESOURCES, absent.since_store_s)
        else:
            is_due = absent_s >= STORED_ABSENCE_S
            row = _shape_row(absent.shape, absent.since_store_s)
        if is_due:
            notes[TARGET_SHAPE_PREFIX + agent] = row
    return notes


def _shape_row(shape: TargetShape, absent_since_s: float | None) -> TargetShapeRow:
    labels = tuple(sorted(shape.labels))
    return TargetShapeRow(labels, shape.largest_capacity, absent_since_s)
