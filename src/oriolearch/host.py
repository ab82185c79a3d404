"""Assemble and run one host: its tasks and adapters."""

import asyncio
import random
import threading
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from typing import Any

from oriolearch.adapters.admin import AdminServer
from oriolearch.adapters.callers import CallerLimits
from oriolearch.adapters.config_table import ConfigTable
from oriolearch.adapters.entry import Entry
from oriolearch.adapters.exchange import DataPathSettings, PublishedView
from oriolearch.adapters.peers import PeerServer
from oriolearch.adapters.platform import HttpPlatform
from oriolearch.adapters.telemetry import make_telemetry
from oriolearch.addresses import split_address
from oriolearch.clock import RealClock
from oriolearch.control import Control, ControlPorts
from oriolearch.core.configuration import Change, Operation, check_known_names
from oriolearch.core.model import Document, HostRef, Member
from oriolearch.core.view import View
from oriolearch.ports import Clock
from oriolearch.renewing import Renewers
from oriolearch.settings import Settings
from oriolearch.supervision import Supervisor

EDIT_WAIT_S = 2.0  # for an edit to come into force on the host that made it
DRAIN_S = 2.0  # until the load balancer notices that a host is leaving


def _call_soon(
    loop: asyncio.AbstractEventLoop,
    callback: Callable[[], None],
) -> None:
    with suppress(RuntimeError):  # the loop is closed: the process is ending
        loop.call_soon_threadsafe(callback)


class HostAdministration:
    """Serves the state of one host to operators, and applies their edits."""

    def __init__(self, host: 'Host') -> None:
        self.host = host
        self.table = host.config_table

    def document(self) -> Document:
        """Return the configuration in force on this host."""
        return self.host.published.view.document

    def edit(
        self,
        version: int,
        operations: tuple[Operation, ...],
        author: str,
        *,
        dry_run: bool,
    ) -> tuple[Document, Mapping[str, Any]]:
        """Apply an edit and return the configuration and its effects."""
        before = self.document()
        check_known_names(operations, self._zones(), self._hosts(before))
        after = self.table.edit(
            version,
            operations,
            author,
            base_document=before,
            dry_run=dry_run,
        )
        effects = self.host.control.compute_edit_effects(before, after)
        if not dry_run:
            self._await_version(after.version)
        return after, effects

    def _await_version(self, version: int) -> None:
        """Wait until a version is in force here, as the next edit needs it."""
        clock = self.host.clock
        end = clock.monotonic() + EDIT_WAIT_S
        published = self.host.published
        view = published.view
        while view.document.version < version and clock.monotonic() < end:
            published.wait_for_newer(view, end - clock.monotonic())
            view = published.view

    def _zones(self) -> set[str]:
        return {zone.name for zone in self.host.settings.zones}

    def _hosts(self, document: Document) -> set[str]:
        members = self.host.published.view.members
        names = {member.ref.host for member in members}
        for pool in document.pools.values():
            names.update(upstream.name for upstream in pool.upstreams)
        return names

    def history(self, limit: int) -> Iterable[Change]:
        """Return the latest edits, newest first."""
        return self.table.history(limit)

    def status(self) -> Mapping[str, Any]:
        """Return this host's view of the system, with the age of its parts."""
        return self.host.control.status()

    def metrics(self) -> str:
        """Return the metrics in the text format for scraping."""
        return self.host.entry.metrics()


class Host:
    """One run of the router on a host.

    All methods are called on one event loop. The entry and the administration
    API have their own threads.

    :param seed: seed of the random number generator; ``None`` for a seed
        from the operating system.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or RealClock()
        self.rng = random.Random(seed)
        # Milliseconds grow with each start as long as the machine's clock is
        # off by less than a restart takes.
        incarnation = int(self.clock.wall() * 1000)
        self.own = Member(
            HostRef(settings.host.name, incarnation),
            settings.host.zone,
            settings.peers.address,
        )
        self.platform = HttpPlatform(
            settings.platform.address,
            settings.host.zone,
            settings.platform.timeout_s,
        )
        self.config_table = ConfigTable(
            self.platform,
            self.platform,
            self.clock,
        )
        self.published = PublishedView(View())
        self.telemetry = make_telemetry(settings.host.name, self.rng)
        self.supervisor = Supervisor(self.telemetry.events)
        self.renewers = Renewers(self.own.ref, self.clock, self.supervisor)
        self.entry = self._make_entry()
        ports = ControlPorts(
            self.own,
            settings,
            self.clock,
            self.platform,
            self.config_table,
            self.published,
            self.entry,
            self.renewers,
            self.supervisor,
        )
        self.control = Control(ports, self.rng)
        self.peer_server: PeerServer | None = None
        self.admin = AdminServer(settings.admin, HostAdministration(self))
        self.admin_thread = threading.Thread(
            target=self.admin.serve,
            name='admin',
            daemon=True,
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open all listeners and start the control tasks."""
        # The server is bound to the event loop on which it is created.
        self.peer_server = PeerServer(self.control)
        await self.peer_server.start(*split_address(self.own.address))
        self.admin.prepare()
        self.admin_thread.start()
        loop = asyncio.get_running_loop()
        self.entry.on_fatal = lambda error: _call_soon(
            loop,
            lambda: self.supervisor.violations.put_nowait(error),
        )
        self.entry.open()
        self.task = asyncio.create_task(self.control.run())

    async def wait_for_failure(self) -> None:
        """Wait until the control tasks end without being stopped.

        :raises ExceptionGroup: with the error that ended the tasks.
        """
        if self.task is not None:
            await asyncio.shield(self.task)

    async def stop(self) -> None:
        """Shut down gracefully: finish all requests and hand over roles."""
        limit_s = self.settings.entry.stop_limit_s
        self.control.leave()
        await asyncio.to_thread(self.entry.drain, DRAIN_S, limit_s)
        await self.control.hand_over()
        await self._close()

    async def kill(self) -> None:
        """Stop at once, like a crashed host; for demonstrations and tests."""
        if self.task is not None:
            self.task.cancel()
        await asyncio.to_thread(self.entry.drain, 0, 0)
        await self._close()

    def _make_entry(self) -> Entry:
        settings = self.settings
        callers = CallerLimits(
            threads=settings.entry.threads,
            upload_threads=settings.entry.upload_threads,
        )
        return Entry(
            split_address(settings.entry.address),
            self.published,
            DataPathSettings(
                zone=settings.host.zone,
                host=settings.host.name,
                callers=callers,
            ),
            self.rng,
            self.telemetry,
            self.renewers.clocks,
        )

    async def _close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait((self.task,))
        await self.control.close()
        if self.peer_server is not None:
            await self.peer_server.stop()
        await asyncio.to_thread(self.admin.stop)
        self.platform.close()
