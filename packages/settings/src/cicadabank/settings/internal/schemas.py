"""The settings of each kind of process."""

from __future__ import annotations

from typing import NamedTuple

from cicadabank.decisions import CellTimings
from cicadabank.web.limits import Limits


class EntrySettings(NamedTuple):
    """Settings of an entry.

    Attributes
    ----------
    cells : tuple of str
        Cells of which this entry may become the holder.
    advertise : str
        gRPC address at which other processes reach the entry, if other than
        `grpc_listen`.
    queue_scan_s : float
        Time between scans of the stored queue by the holder of a cell.
    shutdown_s : float
        Maximum time that a stopping entry waits for work in progress.
    retry_share : float
        Retries allowed for each first try of a workspace's requests.
    minion_overcommit : float
        Limit of this entry's requests in flight at a minion, as a multiple of its
        slots.
    seed : int
        Seed of the random choices among minions.
    beats_per_s : float
        Heartbeats per second that the holder of a cell accepts. In a large cell the
        workers' heartbeat interval and their leases are extended accordingly.
    session_lease_s : float
        An entry that doesn't renew its session row within this time loses its cells.
    """

    kind: str
    name: str
    domain: str
    http_listen: str
    grpc_listen: str
    table: str
    objects: str
    cells: tuple[str, ...]
    advertise: str = ""
    session_lease_s: float = 6.0
    session_renew_s: float = 1.5
    config_poll_s: float = 0.5
    beat_interval_s: float = 1.0
    beats_per_s: float = 40.0
    queue_scan_s: float = 1.0
    shutdown_s: float = 20.0
    retry_share: float = 0.1
    minion_overcommit: float = 1.5
    timings: CellTimings = CellTimings()
    limits: Limits = Limits()
    statsd: str = ""
    log_level: str = "INFO"
    seed: int = 0


class AgentSettings(NamedTuple):
    """Settings of the agent of a worker or a minion.

    Attributes
    ----------
    advertise : str
        Address at which entries reach the agent, if other than `listen`.
    freshness_s : float
        Maximum age of the agent's view of the configuration when it starts a task.
    usage_interval_s : float
        Time between polls of the runner for the state of its tasks.
    answer_inline_bytes : int
        Size above which an answer is uploaded to the object service.
    shutdown_s : float
        Maximum time that a stopping agent waits for requests and members.
    """

    kind: str
    name: str
    target: str
    target_address: str
    listen: str
    cell: str
    domain: str
    rack: str
    entries: tuple[str, ...]
    objects: str = ""
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1024
    slots: int = 0
    freshness_s: float = 3.0
    usage_interval_s: float = 0.25
    answer_inline_bytes: int = 32_768
    shutdown_s: float = 20.0
    advertise: str = ""
    health_listen: str = ""
    statsd: str = ""
    log_level: str = "INFO"


class StandInSettings(NamedTuple):
    """Settings of a stand-in, which simulates the store or a target."""

    kind: str
    role: str  # store, worker or minion
    name: str
    listen: str
    accelerators: int = 8
    slots: int = 8
    seed: int = 0
    log_level: str = "INFO"
