"""Wire one host of the system: its tasks and adapters."""

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
from oriolearch.adapters.exchange import EntrySettings, Published
from oriolearch.adapters.peers import PeerServer
from oriolearch.adapters.platform import HttpPlatform
from oriolearch.adapters.telemetry import make_telemetry
from oriolearch.addresses import split_address
from oriolearch.clock import RealClock
from oriolearch.control import Control, ControlPorts
from oriolearch.core.configuration import Change, Operation, check_marks
from oriolearch.core.model import Document, HostRef, Member
from oriolearch.core.view import View
from oriolearch.ports import Clock
from oriolearch.renewing import Renewers
from oriolearch.settings import Settings
from oriolearch.supervision import Supervisor

EDIT_WAIT_S = 2.0  # for an accepted edit to reach the host that took it
DRAIN_S = 2.0  # time that the balancer needs to notice a host that leaves


def _call_soon(
    loop: asyncio.AbstractEventLoop,
    work: Callable[[], None],
) -> None:
    with suppress(RuntimeError):  # the loop is closed, the process ends
        loop.call_soon_threadsafe(work)


class HostAdministration:
    """Gives operators what one host knows and lets them edit."""

    def __init__(self, host: 'Host') -> None:
        self.host = host
        self.table = host.config_table

    def document(self) -> Document:
        """Give the configuration in force on this host."""
        return self.host.published.view.document

    def edit(
        self,
        version: int,
        operations: tuple[Operation, ...],
        author: str,
        *,
        dry_run: bool,
    ) -> tuple[Document, Mapping[str, Any]]:
        """Make an edit and tell what it moves."""
        before = self.document()
        check_marks(operations, self._zones(), self._hosts(before))
        after = self.table.edit(
            version,
            operations,
            author,
            known=before,
            dry_run=dry_run,
        )
        effects = self.host.control.effects_of(before, after)
        if not dry_run:
            self._await_version(after.version)
        return after, effects

    def _await_version(self, version: int) -> None:
        """Wait for a version here, so that the next edit can follow it."""
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
        """Give the latest edits, newest first."""
        return self.table.history(limit)

    def status(self) -> Mapping[str, Any]:
        """Give the state of all that this host knows, with its age."""
        return self.host.control.status()

    def metrics(self) -> str:
        """Give the metrics as text for scraping."""
        return self.host.entry.metrics()


class Host:
    """One run of the system on one host.

    All methods are called on one event loop; the entry and the
    administration API have threads of their own.

    :param seed: of the generators of random choices; from the system when
        it is ``None``.
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
        # Milliseconds grow with each start as long as the machine's date is
        # right to within the time of a restart.
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
        self.published = Published(View())
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
        """Open all addresses and begin the control tasks."""
        # The server belongs to the event loop on which it is made.
        self.peer_server = PeerServer(self.control)
        await self.peer_server.start(*split_address(self.own.address))
        self.admin.prepare()
        self.admin_thread.start()
        loop = asyncio.get_running_loop()
        self.entry.on_fatal = lambda error: _call_soon(
            loop,
            lambda: self.supervisor.broken.put_nowait(error),
        )
        self.entry.open()
        self.task = asyncio.create_task(self.control.run())

    async def wait_failed(self) -> None:
        """Wait until the control tasks end by themselves.

        :raises ExceptionGroup: with the error that ended them.
        """
        if self.task is not None:
            await asyncio.shield(self.task)

    async def stop(self) -> None:
        """Stop as planned: finish every request and hand over the roles."""
        limit_s = self.settings.entry.stop_limit_s
        self.control.leave()
        await asyncio.to_thread(self.entry.drain, DRAIN_S, limit_s)
        await self.control.hand_over()
        await self._close()

    async def kill(self) -> None:
        """End at once, as a lost host does; for demonstrations and tests."""
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
            EntrySettings(
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
