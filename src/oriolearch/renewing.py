"""Renews the grants of servers under mandates of coordinators."""

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from oriolearch.adapters.exchange import ServerClockReading
from oriolearch.adapters.grants import GrantClient
from oriolearch.core.grants import (
    GRANT_S,
    Probe,
    Renewer,
    RenewerEffect,
    ServerAnswer,
    ServerRefusal,
)
from oriolearch.core.messages import RenewalReport
from oriolearch.core.model import (
    Document,
    Fencing,
    HostRef,
    PoolKind,
    Upstream,
    subtract_clock_margin,
)
from oriolearch.core.syncing import TimedMandate
from oriolearch.ports import Clock
from oriolearch.supervision import Supervisor

CALL_TIMEOUT_S = 0.2  # one renewal period
CLOCK_PERIOD_S = 5.0  # RATE_MARGIN of a reading of this age is 50 ms
MAX_CALL_THREADS = 16

ServerKey = tuple[str, str]  # pool and server


class Renewers:
    """Renews the grants of the servers for which this host has mandates.

    Also reads the clocks of all servers that do not check grants, from which
    the deadlines of requests to them are computed.

    :ivar clocks: newest clock reading by name of the server.
    """

    def __init__(
        self, own: HostRef, clock: Clock, supervisor: Supervisor
    ) -> None:
        self.own = own
        self.clock = clock
        self.supervisor = supervisor
        self.renewers: dict[ServerKey, Renewer] = {}
        self.clients: dict[str, GrantClient] = {}
        self.servers: dict[ServerKey, Upstream] = {}
        self.unchecked: set[ServerKey] = set()
        self.clocks: dict[str, ServerClockReading] = {}
        self.next_clock_reading_at: dict[ServerKey, float] = {}
        self.executor = ThreadPoolExecutor(MAX_CALL_THREADS, 'renewer')

    def configure(self, document: Document) -> None:
        """Replace the servers by those of all keyed pools of a document."""
        self.servers = {}
        self.unchecked = set()
        for pool in document.pools.values():
            if pool.kind is not PoolKind.KEYED:
                continue
            for upstream in pool.upstreams:
                key = pool.name, upstream.name
                self.servers[key] = upstream
                if pool.fencing is Fencing.NONE:
                    self.unchecked.add(key)
        for removed in set(self.renewers) - set(self.servers):
            del self.renewers[removed]

    def apply_mandates(self, mandates: Iterable[TimedMandate]) -> None:
        """Pass the valid mandates of this host to its renewers."""
        for entry in mandates:
            mandate = entry.mandate
            key = mandate.pool, mandate.server
            if key in self.servers:
                requested_at = entry.end - subtract_clock_margin(
                    mandate.duration_s
                )
                self._renewer(key).record_mandate(mandate, requested_at)

    def tick(self) -> None:
        """Start the renewals, probes and clock readings that are due."""
        now = self.clock.monotonic()
        for key, renewer in self.renewers.items():
            effect = renewer.tick(now)
            if effect is not None:
                self.supervisor.start(self._execute(key, renewer, effect, now))
        for key in self.unchecked:
            if now >= self.next_clock_reading_at.get(key, 0):
                self.next_clock_reading_at[key] = now + CLOCK_PERIOD_S
                self.supervisor.start(self._read_clock(key))

    def reports(self) -> tuple[RenewalReport, ...]:
        """Return the reports of all renewers to the coordinators."""
        now = self.clock.monotonic()
        reports = (renewer.report(now) for renewer in self.renewers.values())
        return tuple(report for report in reports if report is not None)

    def close(self) -> None:
        """Cancel queued calls and close the connections to all servers."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        for client in self.clients.values():
            client.close()

    def _renewer(self, key: ServerKey) -> Renewer:
        renewer = self.renewers.get(key)
        if renewer is None:
            is_checked = key not in self.unchecked
            renewer = Renewer(*key, is_checked=is_checked)
            self.renewers[key] = renewer
        return renewer

    def _client(self, key: ServerKey) -> GrantClient:
        address = self.servers[key].address
        client = self.clients.get(address)
        if client is None:
            client = GrantClient(address, self.clock, GRANT_S, CALL_TIMEOUT_S)
            self.clients[address] = client
        return client

    async def _call(
        self,
        call: Callable[[], ServerAnswer | ServerRefusal | None],
    ) -> ServerAnswer | ServerRefusal | None:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.executor, call)

    async def _execute(
        self,
        key: ServerKey,
        renewer: Renewer,
        effect: RenewerEffect,
        sent_at: float,
    ) -> None:
        client = self._client(key)
        if isinstance(effect, Probe):
            event = await self._call(lambda: client.probe(sent_at))
        else:
            event = await self._call(lambda: client.send(effect, sent_at))
        match event:
            case ServerAnswer():
                renewer.receive_answer(event, self.clock.monotonic())
            case ServerRefusal():
                renewer.receive_refusal(event)

    async def _read_clock(self, key: ServerKey) -> None:
        client = self._client(key)
        now = self.clock.monotonic()
        event = await self._call(lambda: client.probe(now))
        if isinstance(event, ServerAnswer):
            received_at = self.clock.monotonic()
            self.clocks[key[1]] = ServerClockReading(event.clock, received_at)
