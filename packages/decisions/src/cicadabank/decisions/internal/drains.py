"""Drains: moving gangs off failure domains that operators take out of service."""

from __future__ import annotations

from cicadabank.decisions.internal.attempts import Attempt, Phase
from cicadabank.decisions.internal.gangs import stop
from cicadabank.decisions.internal.messages import ConfigView
from cicadabank.decisions.internal.placement import GangShape, place
from cicadabank.decisions.internal.state import CellState

# Time before the deadline at which a checkpointable gang is stopped, even if it fits
# nowhere else.
CHECKPOINT_MARGIN_S = 3.0
MAX_MOVES_PER_CHECK = 8


def on_config(state: CellState, view: ConfigView, now_s: float) -> None:
    """Apply a configuration, unless it is older than the current one."""
    if view.version < state.view.version:
        return
    state.view = view
    out_domains = {name for name, domain in view.domains.items() if domain.out}
    state.domain_out_since_s = {
        name: state.domain_out_since_s.get(name, now_s) for name in out_domains
    }
    for name in state.workers:
        state.refresh_worker(name)
    state.allocations_stale = True
    state.plan_due = True


def check_drains(state: CellState, now_s: float) -> None:
    """Move gangs off domains that are out of service and have a stop deadline.

    A gang that can be checkpointed moves at once if it fits on other workers, at most
    `MAX_MOVES_PER_CHECK` gangs per check. Otherwise it keeps running until
    `CHECKPOINT_MARGIN_S` before the deadline, since no other workers could run it
    meanwhile. Gangs without checkpoints are stopped at the deadline.
    """
    moved = 0
    for domain, since_s in state.domain_out_since_s.items():
        stop_after_s = state.view.domains[domain].stop_after_s
        if not stop_after_s:
            continue
        deadline_s = since_s + stop_after_s
        for attempt in _running_gangs_in(state, domain):
            moved += _drain_gang(state, attempt, domain, deadline_s, now_s, moved)


def _running_gangs_in(state: CellState, domain: str) -> list[Attempt]:
    return [
        attempt
        for attempt in state.attempts.values()
        if attempt.phase is Phase.RUNNING
        and any(
            worker in state.fleet.workers
            and state.fleet.workers[worker].info.domain == domain
            for worker in attempt.accelerators_by_worker
        )
    ]


def _drain_gang(
    state: CellState,
    attempt: Attempt,
    domain: str,
    deadline_s: float,
    now_s: float,
    moved: int,
) -> int:
    """Stop a gang if it is due or can move early; return the number of early moves."""
    spec = state.jobs[attempt.job].row.spec
    reason = f"drain: failure domain {domain} is out"
    if now_s >= deadline_s:
        stop(state, attempt, reason, now_s, checkpoint=spec.checkpointable)
    elif not spec.checkpointable:
        return 0
    elif now_s >= deadline_s - CHECKPOINT_MARGIN_S:
        stop(state, attempt, reason, now_s, checkpoint=True)
    elif moved < MAX_MOVES_PER_CHECK and place(state.fleet, GangShape.of(spec)):
        stop(state, attempt, reason, now_s, checkpoint=True)
        return 1
    return 0
