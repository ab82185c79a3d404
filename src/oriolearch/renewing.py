"""The renewer task: prolongs the grants of servers by mandate."""

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from oriolearch.adapters.exchange import ServerClock
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
    shortened,
)
from oriolearch.core.syncing import HeldMandate
from oriolearch.ports import Clock
from oriolearch.supervision import Supervisor

CALL_TIMEOUT_S = 0.2  # one renewal period
CLOCK_PERIOD_S = 5.0  # the rate margin of a reading this old is 50 ms
THREADS = 16

ServerKey = tuple[str, str]  # pool and server


class Renewers:
    """Renews the grants of the servers in this host's charge.

    Also reads the clocks of all servers that do not check grants, which
    bound the orders sent to them.

    :ivar clocks: newest reading by name of the server.
    """

    def __init__(
        self, own: HostRef, clock: Clock, supervisor: Supervisor
    ) -> None:
        self.own = own
        self.clock = clock
        self.supervisor = supervisor
        self.machines: dict[ServerKey, Renewer] = {}
        self.clients: dict[str, GrantClient] = {}
        self.servers: dict[ServerKey, Upstream] = {}
        self.unchecked: set[ServerKey] = set()
        self.clocks: dict[str, ServerClock] = {}
        self.clock_due: dict[ServerKey, float] = {}
        self.threads = ThreadPoolExecutor(THREADS, 'renewer')

    def configure(self, document: Document) -> None:
        """Learn the servers of all keyed pools."""
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
        for gone in set(self.machines) - set(self.servers):
            del self.machines[gone]

    def charge(self, mandates: Iterable[HeldMandate]) -> None:
        """Take in the mandates that this host holds now."""
        for held in mandates:
            mandate = held.mandate
            key = mandate.pool, mandate.server
            if key in self.servers:
                asked = held.end - shortened(mandate.duration_s)
                self._machine(key).charge(mandate, asked)

    def tick(self) -> None:
        """Send what is due."""
        now = self.clock.monotonic()
        for key, machine in self.machines.items():
            effect = machine.tick(now)
            if effect is not None:
                self.supervisor.start(
                    self._carry_out(key, machine, effect, now)
                )
        for key in self.unchecked:
            if now >= self.clock_due.get(key, 0):
                self.clock_due[key] = now + CLOCK_PERIOD_S
                self.supervisor.start(self._read_clock(key))

    def reports(self) -> tuple[RenewalReport, ...]:
        """Give what the coordinators should know."""
        now = self.clock.monotonic()
        found = (machine.report(now) for machine in self.machines.values())
        return tuple(report for report in found if report is not None)

    def close(self) -> None:
        """End all calls that run."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        for client in self.clients.values():
            client.close()

    def _machine(self, key: ServerKey) -> Renewer:
        machine = self.machines.get(key)
        if machine is None:
            is_checked = key not in self.unchecked
            machine = Renewer(*key, is_checked=is_checked)
            self.machines[key] = machine
        return machine

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
        return await loop.run_in_executor(self.threads, call)

    async def _carry_out(
        self,
        key: ServerKey,
        machine: Renewer,
        effect: RenewerEffect,
        sent: float,
    ) -> None:
        client = self._client(key)
        if isinstance(effect, Probe):
            event = await self._call(lambda: client.probe(sent))
        else:
            event = await self._call(lambda: client.send(effect, sent))
        match event:
            case ServerAnswer():
                machine.answered(event, self.clock.monotonic())
            case ServerRefusal():
                machine.refused(event)

    async def _read_clock(self, key: ServerKey) -> None:
        client = self._client(key)
        now = self.clock.monotonic()
        event = await self._call(lambda: client.probe(now))
        if isinstance(event, ServerAnswer):
            answered = self.clock.monotonic()
            self.clocks[key[1]] = ServerClock(event.clock, answered)
