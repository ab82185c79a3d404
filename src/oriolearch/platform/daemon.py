"""One host on the users' platform."""

import asyncio
import gc
import logging
import os
import random
import signal

from oriolearch.adapters.caller_links import (
    CallerGate,
    IncomingRequest,
    Reply,
)
from oriolearch.adapters.metrics import render_events, render_store_calls
from oriolearch.addresses import split_address
from oriolearch.coordination import Coordination, HostIdentity
from oriolearch.core.errors import ValidationError
from oriolearch.eventlog import Event, EventLog, configure_pipe_logging
from oriolearch.forwarding import Forwarder
from oriolearch.gauges import render_state
from oriolearch.platform.settings import HostSettings, load_settings
from oriolearch.platform.store import StoreClient
from oriolearch.platform.watching import PlatformWatch
from oriolearch.platform.wire import GrantCalls, Wire
from oriolearch.registry import Registry
from oriolearch.relaying import Relay

READY_PATH = b'/readiness'
TICK_S = 0.1  # removals of upstreams take effect within this
SWEEP_TICKS = 5  # idle connections are looked at each half second
LEAVE_ROTATION_S = 2.4  # two questions of the platform, one second apart
BACKLOG = 512  # connections that wait to be accepted
STOP_POLL_S = 0.05  # a stopping host looks this often whether it is idle
STOP_MARGIN_S = 0.5  # before the platform's SIGKILL
RETRY_SAFETY = 0.85  # share of the common retry budget that is used
COLD_SAFETY = 0.5  # share of a cold upstream's slack that is used at once
GC_THRESHOLD = 2000  # allocations; cycles are rare on the request path


class HostDaemon:
    """Wires the tasks of one host."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.log = EventLog()
        self.rng = random.Random()
        self.registry = Registry()
        self.store = StoreClient(settings.store)
        self.grants = GrantCalls()
        self.forwarder = Forwarder(
            settings.zone,
            settings.peer_address,
            self.registry,
            Wire(),
            self.log,
            self.rng,
        )
        self.relay = Relay()
        self.gate = CallerGate(self.forwarder.serve)
        self.readiness = CallerGate(self._answer_readiness)
        self.servers: list[asyncio.Server] = []
        self.metrics = CallerGate(self._answer_metrics)
        self.is_stopping = False
        self.has_been_ready = False
        self.coordination = Coordination(
            HostIdentity(
                settings.host,
                settings.peer_address,
                f'{os.getpid()}-{self.rng.getrandbits(48):x}',
                settings.zone,
                settings.capacity,
            ),
            self.store,
            self.grants,
            self.forwarder,
            self.relay,
            self.log,
            self.rng,
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGINT, stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await stopped.wait()
        await self.stop()

    async def start(self) -> None:
        """Accept callers and other hosts, and start all tasks."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        self.log.emit(
            Event.HOST_STARTED,
            host=settings.host,
            zone=settings.zone,
            entry=settings.entry,
            store=settings.store,
        )
        await self.coordination.listen(
            f'{settings.ip}:{settings.peer_port}',
        )
        for gate, address in (
            (self.gate, settings.entry),
            (self.readiness, settings.readiness),
            (self.metrics, f'{settings.ip}:{settings.metrics_port}'),
        ):
            server = await loop.create_server(
                gate.open,
                *split_address(address),
                backlog=BACKLOG,
            )
            self.servers.append(server)
        watch = PlatformWatch(
            self.store,
            self.relay,
            self.registry,
            self.log,
        )
        for table in watch.watches():
            self.coordination.spawn(table.run())
        for work in (
            self.coordination.follow(),
            self.coordination.run(),
            self.forwarder.run(),
            self._tick(),
        ):
            self.coordination.spawn(work)

    async def _answer_readiness(self, request: IncomingRequest) -> Reply:
        is_ready = request.target == READY_PATH and self._is_ready()
        return Reply(200 if is_ready else 503)

    async def _answer_metrics(self, request: IncomingRequest) -> Reply:
        lines = [
            *render_events(self.log.totals),
            *self.forwarder.latencies.render(),
            *render_state(self.coordination),
            *render_store_calls(self.store.outcomes),
        ]
        return Reply(200, [], '\n'.join((*lines, '')).encode())

    def _is_ready(self) -> bool:
        registry = self.registry
        if self.is_stopping or registry.directory is None:
            return False
        return registry.is_read

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            now = loop.time()
            self.registry.tick(now)
            if ticks % SWEEP_TICKS == 0:
                self._sweep(now)

    def _sweep(self, now: float) -> None:
        self.gate.sweep(now)
        self.forwarder.sweep()
        self._share()
        directory = self.registry.directory
        if directory is not None:
            self.gate.limits = directory.limits
        if not self.has_been_ready and self._is_ready() and directory:
            self.has_been_ready = True
            self.log.emit(
                Event.HOST_READY,
                version=directory.version,
                upstreams=len(self.registry.entries),
            )

    def _share(self) -> None:
        """Set what this host may send beside the first sends."""
        bounds = self.settings.bounds
        self.forwarder.set_limits(
            bounds.retry_share * RETRY_SAFETY,
            bounds.retry_slack,
            max(bounds.cold_slack * COLD_SAFETY, 1.0),
        )

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            self.settings = load_settings()
        except ValidationError as error:
            self.log.emit(Event.SETTINGS_REJECTED, error=str(error))
            return
        self._share()
        self.log.emit(
            Event.SETTINGS_READ,
            retry_share=self.forwarder.retry_share,
            retry_burst=self.forwarder.retry_burst,
            cold_burst=self.forwarder.cold_burst,
        )

    async def stop(self) -> None:
        """Leave the rotation, answer what was read, and end."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.is_stopping = True
        self.log.emit(
            Event.HOST_STOPPING,
            running=self.gate.running(),
            is_coordinator=self.coordination.leadership is not None,
        )
        handover = self.coordination.spawn(self.coordination.stop())
        await asyncio.sleep(LEAVE_ROTATION_S)
        self.servers[0].close()
        self.gate.stop()
        ends_at = began_at + self.settings.bounds.stop_s - STOP_MARGIN_S
        while loop.time() < ends_at:
            if not self.gate.links and handover.done():
                break
            await asyncio.sleep(STOP_POLL_S)
        self.log.emit(Event.HOST_STOPPED, running=self.gate.running())


def main() -> int:
    """Run one host; give its exit status."""
    configure_pipe_logging(logging.INFO)
    gc.set_threshold(GC_THRESHOLD)
    try:
        settings = load_settings()
    except ValidationError as error:
        EventLog().emit(Event.SETTINGS_REJECTED, error=str(error))
        return 2
    asyncio.run(HostDaemon(settings).run())
    return 0
