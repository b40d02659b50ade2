"""The entry process: creates its actors, connects them, and drains them on a stop."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack, contextmanager

from cicadabank.entry.internal.burn_record import BurnRecordService
from cicadabank.entry.internal.cell import CellActor
from cicadabank.entry.internal.config import ConfigActor, ConfigSnapshot
from cicadabank.entry.internal.jobs import JobService
from cicadabank.entry.internal.lease_renewal import LeaseRenewalPolicy
from cicadabank.entry.internal.minions import MinionActor
from cicadabank.entry.internal.requests import AdmissionActor, RequestService
from cicadabank.entry.internal.resources import ResourceService
from cicadabank.entry.internal.routes import Api, StateSources
from cicadabank.entry.internal.services import (
    MembershipService,
    PeerClient,
    PeerService,
)
from cicadabank.entry.internal.session import HeldCell, SessionActor
from cicadabank.entry.internal.summary_reader import (
    SummaryReaderActor,
    announced_workers,
)
from cicadabank.entry.internal.tally import TallyActor
from cicadabank.settings import EntrySettings
from cicadabank.store import ObjectClient, TableClient
from cicadabank.tasks import Metrics, StopSignal, clock_s, configure_logs, running
from cicadabank.web.listeners import listen
from cicadabank.web.server import HttpActor
from cicadabank.wire import ChannelPool, control_pb2_grpc, serve
from loguru import logger

GRPC_SERVER_THREADS = 64
# Changes of the configuration are to be in force within 5 s, so an entry that has not
# confirmed its configuration for longer is not ready.
READY_MAX_CONFIG_AGE_S = 5.0
DRAIN_POLL_S = 0.05


class Entry:
    """Owns all actors and clients of an entry, and passes messages between them."""

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.own_address = settings.advertise or settings.grpc_listen
        self.pool = ChannelPool()
        self.table = TableClient(settings.table)
        self.objects = ObjectClient(settings.objects)
        self.metrics = Metrics(settings.statsd, "cicadabank.entry")
        self.cells: dict[str, CellActor] = {}
        self._cell_stacks: dict[str, ExitStack] = {}
        self.session = SessionActor(
            settings, self.table, self._start_cell, self._stop_cell
        )
        self.peers = PeerClient(self.session, self.pool, self.own_address)
        self.lease_renewal = LeaseRenewalPolicy(
            settings, self.session, self.peers.table_write_ages_s
        )
        self.config = ConfigActor(
            self.table, settings.config_poll_s, self._on_config_confirmed
        )
        self.summaries = SummaryReaderActor(self.table)
        self.minions = MinionActor(
            settings.minion_overcommit, settings.seed, self.metrics
        )
        self.admission = AdmissionActor(settings.retry_share)
        self.tally = TallyActor(self.table, settings.name)
        self.requests = RequestService(
            settings,
            self.table,
            self.objects,
            self.pool,
            self.minions,
            self.admission,
            self.tally,
        )
        self.jobs = JobService(
            self.table,
            self.objects,
            self._view,
            self.summaries.summaries,
            self._notify_holder,
        )
        self.resources = ResourceService(
            self.table,
            self.summaries.summaries,
            lambda: self.config.post(self.config.refresh),
            self._take_domain_out_everywhere,
        )
        self.burn_record = BurnRecordService(self.table)
        state = StateSources(self.ready, self.status, self.targets)
        deadline_s = settings.limits.request_deadline_s
        self.api = Api(
            self.jobs,
            self.requests,
            self.resources,
            state,
            deadline_s,
            self._view,
            self.burn_record,
        )
        listener = listen(settings.http_listen)
        self.http = HttpActor(listener, self.api.dispatch, settings.limits)

    def grpc_services(self) -> list:
        """Return each gRPC service with the function that registers it."""
        membership = MembershipService(
            self.cells,
            self.session,
            self.minions,
            self.config,
            self.settings.beat_interval_s,
            self.lease_renewal.may_renew,
        )
        peer = PeerService(self.cells, self.session, self._take_domain_out_here)
        return [
            (control_pb2_grpc.add_MembershipServicer_to_server, membership),
            (control_pb2_grpc.add_PeerServicer_to_server, peer),
        ]

    def _view(self):
        return self.config.snapshot.view

    def _start_cell(self, held: HeldCell) -> None:
        """Start the actor of an acquired cell; called in the session's actor."""
        actor = CellActor(
            self.settings,
            held,
            self.table,
            self.objects,
            self.pool,
            self.config.snapshot,
            self.lease_renewal.may_renew,
        )
        stack = ExitStack()
        stack.enter_context(running(actor))
        self._cell_stacks[held.cell] = stack
        self.cells[held.cell] = actor

    def _stop_cell(self, cell: str) -> None:
        logger.bind(cell=cell).warning(
            "the cell is lost or being released; stopping its task"
        )
        self.cells.pop(cell, None)
        stack = self._cell_stacks.pop(cell, None)
        if stack is not None:
            stack.close()

    def _on_config_confirmed(self, snapshot: ConfigSnapshot) -> None:
        for cell in list(self.cells.values()):
            cell.post(cell.on_config_confirmed, snapshot)
        self.minions.post(self.minions.on_config_confirmed, snapshot)
        self.tally.post(self.tally.record_version, snapshot.view.version)

    def _notify_holder(self, cell: str, job: str) -> None:
        actor = self.cells.get(cell)
        if actor is not None:
            actor.post(actor.on_job_changed, job)
            return
        address = self.session.holder_address(cell)
        if address:
            self.peers.notify_job_changed(address, cell, job)

    def _take_domain_out_here(self, domain: str) -> None:
        self.config.post(self.config.override_domain_out, domain)
        for cell in list(self.cells.values()):
            cell.post(cell.mark_domain_out, domain)

    def _take_domain_out_everywhere(self, domain: str) -> None:
        self._take_domain_out_here(domain)
        self.peers.mark_domain_out(domain)

    def ready(self) -> bool:
        """Whether the entry has a recent configuration and accepts requests."""
        return (
            not self.http.stopping
            and self.config.snapshot.age_s() < READY_MAX_CONFIG_AGE_S
        )

    def status(self) -> dict:
        """Return this entry's own state, and that of all cells whose holders answer."""
        cells = [cell["status"] for cell in self._describe_cells().values()]
        return {
            "entry": self.settings.name,
            "ready": self.ready(),
            "config_version": self.config.snapshot.view.version,
            "config_age_s": round(min(1e9, self.config.snapshot.age_s()), 3),
            "held_cells": sorted(self.cells),
            "cells": cells,
            "holders": {
                c: self.session.holder_address(c) for c in self.session.cells()
            },
            "known_workers": sum(len(s.workers) for s in self.summaries.summaries()),
            "open_requests": self.http.open_requests,
        }

    def targets(self) -> list[dict]:
        """Return the minions and the workers of all cells.

        Workers come from their cell's holder, or from its summary if it doesn't answer.
        """
        targets = self.minions.ask(self.minions.targets)
        described = self._describe_cells()
        for cell in described.values():
            targets += cell["targets"]
        for summary in self.summaries.summaries():
            if summary.cell not in described:
                targets += announced_workers(summary)
        return targets

    def _describe_cells(self) -> dict[str, dict]:
        """Return the state of every cell whose holder answers, by cell."""
        described_cells = {}
        for name in self.session.cells():
            actor = self.cells.get(name)
            address = self.session.holder_address(name)
            if actor is not None:
                described_cells[name] = actor.ask(actor.describe)
            elif address and address != self.own_address:
                description = self.peers.describe(address, name)
                if description is not None:
                    described_cells[name] = description
        return described_cells

    def drain(self) -> None:
        """Finish the work in progress, then release the cells.

        Waits at most `shutdown_s` for open requests and watches to end, and for jobs to
        be started or have their outcome stored.
        """
        logger.info("the entry is draining")
        self.http.drain()
        for actor in list(self.cells.values()):
            actor.post(actor.stop_placing)
        deadline_s = clock_s() + self.settings.shutdown_s
        while clock_s() < deadline_s and not self._drained():
            time.sleep(DRAIN_POLL_S)
        try:
            self.session.ask(self.session.hand_over, timeout_s=5.0)
        except FutureTimeoutError:
            logger.warning("the cells could not be released in time")
        for cell in list(self.cells):
            self._stop_cell(cell)

    def _drained(self) -> bool:
        if self.http.open_requests or self.http.open_watches:
            return False
        return not any(
            actor.ask(actor.attempts_in_transition)
            for actor in list(self.cells.values())
        )


@contextmanager
def entry_running(settings: EntrySettings) -> Iterator[Entry]:
    """Run an entry in this process until the block ends, then drain and close it."""
    entry = Entry(settings)
    with ExitStack() as stack:
        for actor in (
            entry.config,
            entry.summaries,
            entry.minions,
            entry.admission,
            entry.tally,
            entry.lease_renewal,
        ):
            stack.enter_context(running(actor))
        stack.enter_context(
            serve(settings.grpc_listen, entry.grpc_services(), GRPC_SERVER_THREADS)
        )
        stack.enter_context(running(entry.session))
        stack.enter_context(running(entry.http))
        try:
            yield entry
        finally:
            entry.drain()
            entry.tally.ask(entry.tally.store_tallies)
            entry.http.close_pools()
    entry.pool.close()
    entry.table.close()
    entry.objects.close()


def run_entry(settings: EntrySettings) -> None:
    """Run an entry until the process receives a stop signal."""
    configure_logs(settings.name, settings.log_level)
    with StopSignal().on_signals() as stop, entry_running(settings):
        logger.info("the entry is listening on {}", settings.http_listen)
        stop.wait()
    logger.info("the entry has stopped")
