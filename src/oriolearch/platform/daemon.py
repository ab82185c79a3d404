"""The daemon of one host on the users' platform."""

import asyncio
import gc
import logging
import os
import random
import signal
from dataclasses import replace

from oriolearch.adapters.caller_links import (
    CallerListener,
    IncomingRequest,
    Reply,
)
from oriolearch.adapters.metrics import render_events, render_store_calls
from oriolearch.addresses import split_address
from oriolearch.coordination import Coordination
from oriolearch.core.errors import ValidationError
from oriolearch.core.memory_budget import Holding
from oriolearch.core.versions import VersionLedger
from oriolearch.eventlog import Event, EventLog, configure_pipe_logging
from oriolearch.eventloop import new_event_loop
from oriolearch.forwarding import Forwarder
from oriolearch.gauges import render_host_gauges
from oriolearch.members import HostIdentity
from oriolearch.platform.settings import (
    HostSettings,
    changes_for_restart,
    load_settings,
)
from oriolearch.platform.store import StoreClient
from oriolearch.platform.watching import PlatformWatch
from oriolearch.platform.wire import GrantCalls, PlatformCodec
from oriolearch.polling import PollReview
from oriolearch.probing import ColdProbes
from oriolearch.registry import Registry
from oriolearch.relaying import Relay

READY_PATH = b'/readiness'
# Removals of upstreams take effect, and silent hosts are noticed, at most this
# late.
TICK_S = 0.1
SWEEP_PERIOD_TICKS = 5  # idle connections are checked each half second
# Time for two readiness checks of the platform, one second apart, after which
# callers no longer connect to a stopping host.
LEAVE_ROTATION_S = 2.4
ACCEPT_BACKLOG = 512  # connections not yet accepted
STOP_POLL_S = 0.05  # between checks whether a stopping host is idle
STOP_MARGIN_S = 0.5  # reserve before the platform's SIGKILL
# Share of the host's memory for incomplete answers of upstreams. The process
# itself takes up to 60 MB on a large installation, and hosts have 200 MB.
RESPONSE_MEMORY_SHARE = 0.25
# Share for the bodies of requests.
BODY_MEMORY_SHARE = 0.25
# Share for all that is held for callers and upstreams together. Bytes that the
# kernel buffers count as well for the platform.
MEMORY_SHARE = 0.4
RETRY_BUDGET_SHARE = 0.85  # share of the platform's retry budget that hosts use
COLD_BURST_SHARE = 0.5  # share of a cold upstream's slack that a burst may use
# Allocations between collections; reference cycles are rare on the request
# path.
GC_THRESHOLD_ALLOCATIONS = 2000


class HostDaemon:
    """Creates, runs and stops the tasks of one host."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.log = EventLog()
        self.rng = random.Random()
        self.registry = Registry()
        self.relay = Relay(VersionLedger())
        self.store = StoreClient(settings.store, self.relay.ledger)
        self.forwarder = Forwarder(
            settings.zone,
            settings.peer_address,
            self.registry,
            PlatformCodec(),
            self.log,
            self.rng,
        )
        memory = self.forwarder.response_memory
        memory.limit_bytes = int(settings.memory_bytes * RESPONSE_MEMORY_SHARE)
        self.account = memory.account
        self.account.limit_bytes = int(settings.memory_bytes * MEMORY_SHARE)
        self.account.on_dropped = self._log_dropped
        self.grants = GrantCalls(memory)
        self.listener = CallerListener(
            self.forwarder.serve, self.forwarder.is_safe, self.account
        )
        self.listener.max_body_bytes = int(
            settings.memory_bytes * BODY_MEMORY_SHARE
        )
        self.readiness = CallerListener(self._answer_readiness)
        self.servers: list[asyncio.Server] = []
        self.metrics = CallerListener(self._answer_metrics)
        self.table_watches = PlatformWatch(
            self.store,
            self.relay,
            self.registry,
            self.log,
        ).table_watches(is_first_start=settings.is_first_start)
        self.polls = PollReview(self.table_watches, self.relay, self.log)
        self.store.on_outcome = self.polls.record_outcome
        self.is_stopping = False
        self.has_been_ready = False
        self.coordination = Coordination(
            HostIdentity(
                settings.host,
                settings.peer_address,
                f'{os.getpid()}-{self.rng.getrandbits(48):x}',
                settings.zone,
                settings.capacity,
                settings.is_first_start,
            ),
            self.store,
            self.grants,
            self.forwarder,
            self.relay,
            self.log,
            self.rng,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; reload the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGINT, stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.reload()  # for a signal that came before its handler
        await self.start()
        await stopped.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen for callers and other hosts, and start all tasks."""
        settings = self.settings
        self.log.emit(
            Event.HOST_STARTED,
            host=settings.host,
            zone=settings.zone,
            entry=settings.entry,
            store=settings.store,
        )
        self._apply_limits()
        await self.coordination.listen(
            f'{settings.ip}:{settings.peer_port}',
        )
        for listener, address in (
            (self.listener, settings.entry),
            (self.readiness, settings.readiness),
            (self.metrics, f'{settings.ip}:{settings.metrics_port}'),
        ):
            server = await listener.open(
                *split_address(address), ACCEPT_BACKLOG
            )
            self.servers.append(server)
        for table_watch in self.table_watches:
            name = f'watch of {table_watch.table}'
            self.coordination.spawn_lasting(name, table_watch.run)
        probes = ColdProbes(
            self.grants,
            self.registry,
            self.forwarder.reservation_router,
            self.log,
            self.coordination.is_store_lost,
        )
        for name, start in (
            ('coordinator row', self.coordination.follow),
            ('coordination', self.coordination.run),
            ('request queue', self.forwarder.run),
            ('cold probes', probes.run),
            ('housekeeping', self._tick),
        ):
            self.coordination.spawn_lasting(name, start)

    def _log_dropped(self, holding: Holding, held_bytes: int) -> None:
        self.log.emit(
            Event.MEMORY_EXCEEDED,
            kind=holding.kind.name.lower(),
            dropped_bytes=holding.held_bytes,
            left_bytes=holding.left_bytes,
            stalled_s=round(holding.stalled_s, 3),
            held_bytes=held_bytes,
            limit_bytes=self.account.limit_bytes,
        )

    async def _answer_readiness(self, request: IncomingRequest) -> Reply:
        is_ready = request.target == READY_PATH and self._is_ready()
        return Reply(200 if is_ready else 503)

    async def _answer_metrics(self, request: IncomingRequest) -> Reply:
        lines = [
            *render_events(self.log.totals),
            *self.forwarder.latencies.render(),
            *render_host_gauges(self.coordination),
            *render_store_calls(self.store.outcomes),
        ]
        return Reply(200, [], '\n'.join((*lines, '')).encode())

    def _is_ready(self) -> bool:
        registry = self.registry
        if self.is_stopping or registry.directory is None:
            return False
        # Callers of a zone that is cut off are served in other zones.
        return registry.is_read and not self.coordination.is_cut_off

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            now = loop.time()
            self.registry.apply_due_removals(now)
            self.polls.run(now)
            self.forwarder.reservation_router.maintain()
            if ticks % SWEEP_PERIOD_TICKS == 0:
                self._run_housekeeping(now)

    def _run_housekeeping(self, now: float) -> None:
        self.listener.close_expired(now)
        self.forwarder.close_idle_links()
        self._apply_limits()
        directory = self.registry.directory
        if directory is not None:
            self.listener.limits = directory.limits
        if not self.has_been_ready and self._is_ready() and directory:
            self.has_been_ready = True
            self.log.emit(
                Event.HOST_READY,
                version=directory.version,
                upstreams=len(self.registry.entries),
            )

    def _apply_limits(self) -> None:
        """Apply the limits on retries and cold upstreams."""
        bounds = self.settings.bounds
        self.forwarder.set_limits(
            bounds.retry_share * RETRY_BUDGET_SHARE,
            bounds.retry_slack,
            max(bounds.cold_slack * COLD_BURST_SHARE, 1.0),
        )

    def reload(self) -> None:
        """Apply the bounds of the settings file; keep the old if invalid.

        Addresses, the zone and the capacity take effect at the next start.
        """
        try:
            settings = load_settings()
        except ValidationError as error:
            self.log.emit(Event.SETTINGS_REJECTED, error=str(error))
            return
        restart_for = changes_for_restart(self.settings, settings)
        self.settings = replace(self.settings, bounds=settings.bounds)
        self._apply_limits()
        self.log.emit(
            Event.SETTINGS_READ,
            retry_share=self.forwarder.retry_share,
            retry_burst=self.forwarder.retry_burst,
            cold_burst=self.forwarder.cold_burst,
            restart_for=restart_for,
        )

    async def stop(self) -> None:
        """Shut down gracefully: leave rotation and complete open requests."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.is_stopping = True
        self.log.emit(
            Event.HOST_STOPPING,
            running=self.listener.running(),
            is_coordinator=self.coordination.leadership is not None,
        )
        ends_at = started_at + self.settings.bounds.stop_s - STOP_MARGIN_S
        self.forwarder.prepare_stop(ends_at, started_at + LEAVE_ROTATION_S)
        handover = self.coordination.spawn(self.coordination.stop())
        await asyncio.sleep(LEAVE_ROTATION_S)
        self.servers[0].close()
        while loop.time() < ends_at:
            # Also closes connections that were accepted meanwhile.
            self.listener.stop()
            if not self.listener.links and handover.done():
                break
            await asyncio.sleep(STOP_POLL_S)
        self.log.emit(Event.HOST_STOPPED, running=self.listener.running())


def main() -> int:
    """Run one host; return its exit status."""
    configure_pipe_logging(logging.INFO)
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        settings = load_settings()
    except ValidationError as error:
        EventLog().emit(Event.SETTINGS_REJECTED, error=str(error))
        return 2
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(HostDaemon(settings).run())
    return 0
