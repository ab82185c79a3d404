"""Places at upstreams, handed out by the host in charge of each upstream.

All hosts agree on who is in charge by rendezvous hashing over the hosts that
the coordinator lists. Where that host cannot be reached, a host hands out
places itself, by the load that upstreams report.
"""

import asyncio
import itertools
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from oriolearch.adapters.host_links import HostLink, Message, connect
from oriolearch.clock import loop_clock
from oriolearch.core.directory import Incarnation, parse_incarnation
from oriolearch.core.dispatching import Dispatcher, Lane, Waiter
from oriolearch.core.errors import OriolearchError, PeerError

SILENCE_S = 0.4  # a host in charge that is asked gives a sign of life by then
BEAT_PERIOD_S = 0.1  # of these signs
AVOID_S = 0.5  # a host that could not be reached is asked again after this

_MASK = (1 << 64) - 1
_MIX = 0xFF51AFD7ED558CCD  # finalizer of MurmurHash3: spreads all input bits


class PlaceRefusedError(OriolearchError):
    """There is no room in time.

    :param after_s: when a new request has a chance.
    """

    def __init__(self, after_s: float) -> None:
        super().__init__(f'no room, come back in {after_s} s')
        self.after_s = after_s


class PlaceMovedError(OriolearchError):
    """The key has another owner by now."""


class PlaceLostError(OriolearchError):
    """The host in charge is not reached."""


class EndKind(StrEnum):
    """How a request ended at its upstream."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    OTHER = 'other'


@dataclass(frozen=True, slots=True)
class Ending:
    """What a host saw of an upstream.

    :param load: running and waiting requests that the upstream reported.
    :param cold_for_s: how much longer it said to be cold.
    """

    kind: EndKind
    took_s: float = 0.0
    load: int | None = None
    cold_for_s: float = 0.0


Settle = Callable[[Waiter], None]


class Desk:
    """Hands out the places of this host's dispatchers.

    :ivar note_cold: told when an upstream says that it is cold.
    """

    def __init__(self) -> None:
        self.dispatchers: dict[str, Dispatcher] = {}
        self.settlers: dict[Waiter, Settle] = {}
        self.note_cold: Callable[[Incarnation, float], None] = _ignore_cold
        self.servers: set[DeskServer] = set()
        self.beat_at = 0.0

    def submit(self, pool: str, waiter: Waiter, settle: Settle) -> None:
        """Ask for a place; ``settle`` is called with the outcome.

        It is called at once when the outcome is known at once.
        """
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            waiter.refused_for = SILENCE_S
            settle(waiter)
            return
        dispatcher.submit(loop_clock(), waiter)
        if waiter.place is not None or waiter.refused_for is not None:
            settle(waiter)
        else:
            self.settlers[waiter] = settle

    def withdraw(self, pool: str, waiter: Waiter) -> None:
        """Take back a request that has no place, or end one that has."""
        self.settlers.pop(waiter, None)
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            return
        dispatcher.withdraw(waiter)
        if waiter.place is not None:
            self.end(pool, waiter, Ending(EndKind.OTHER))

    def end(self, pool: str, waiter: Waiter, ending: Ending) -> None:
        """Take the end of a request that had a place."""
        dispatcher = self.dispatchers.get(pool)
        lane = waiter.place
        if dispatcher is None or lane is None:
            return
        self._learn(dispatcher, lane, ending)
        dispatcher.done(waiter)
        self._grant(dispatcher)

    def wake(self) -> None:
        """Look at all waiting requests."""
        for dispatcher in self.dispatchers.values():
            self._grant(dispatcher)

    def beat(self) -> None:
        """Give a sign of life to hosts that wait for a place."""
        now = loop_clock()
        if now >= self.beat_at:
            self.beat_at = now + BEAT_PERIOD_S
            for server in self.servers:
                server.beat()

    def _learn(
        self,
        dispatcher: Dispatcher,
        lane: Lane,
        ending: Ending,
    ) -> None:
        now = loop_clock()
        if ending.load is not None:
            dispatcher.loaded(now, lane, ending.load)
        if ending.cold_for_s:
            self.note_cold(lane.entry.ref, ending.cold_for_s)
        if ending.kind is EndKind.ANSWERED:
            dispatcher.answered(now, lane, ending.took_s)
        elif ending.kind is EndKind.SHED:
            dispatcher.shed(now, lane, ending.load)
        elif ending.kind is EndKind.FAILED:
            dispatcher.failed(now, lane)

    def _grant(self, dispatcher: Dispatcher) -> None:
        if not dispatcher.waiting:
            return
        for waiter in dispatcher.grant(loop_clock()):
            settle = self.settlers.pop(waiter, None)
            if settle is not None:
                settle(waiter)


class DeskServer:
    """Serves the places of a desk to another host."""

    def __init__(self, desk: Desk, link: HostLink) -> None:
        self.desk = desk
        self.link = link
        self.held: dict[int, tuple[str, Waiter]] = {}

    async def run(self) -> None:
        """Serve until the connection ends; then give back its places.

        :raises PeerError: when the connection ends.
        """
        self.desk.servers.add(self)
        try:
            while True:
                self._take(await self.link.receive(None))
        finally:
            self.desk.servers.discard(self)
            for pool, waiter in self.held.values():
                self.desk.withdraw(pool, waiter)

    def beat(self) -> None:
        """Give a sign of life if a request waits."""
        if any(waiter.place is None for _, waiter in self.held.values()):
            self.link.send({'kind': 'beat'})

    def _take(self, message: Message) -> None:
        number = int(message['id'])
        if message['kind'] == 'place':
            pool = str(message['pool'])
            waiter = decode_waiter(message, loop_clock())
            self.held[number] = (pool, waiter)
            self.desk.submit(
                pool,
                waiter,
                lambda settled: self._settle(number, settled),
            )
            return
        held = self.held.pop(number, None)
        if held is None:
            return
        pool, waiter = held
        if message['kind'] == 'done':
            self.desk.end(pool, waiter, decode_ending(message))
        else:
            self.desk.withdraw(pool, waiter)

    def _settle(self, number: int, waiter: Waiter) -> None:
        if waiter.place is None:
            self.held.pop(number, None)
            self.link.send(
                {'kind': 'no', 'id': number, 'after': waiter.refused_for},
            )
            return
        ref = waiter.place.entry.ref.text()
        self.link.send({'kind': 'go', 'id': number, 'upstream': ref})


class Place:
    """A place at an upstream; :meth:`end` gives it back.

    :ivar placed_by: address of the host that gave it.
    """

    def __init__(
        self,
        upstream: Incarnation,
        placed_by: str,
        give_back: Callable[[Ending], None],
    ) -> None:
        self.upstream = upstream
        self.placed_by = placed_by
        self.give_back = give_back
        self.is_over = False

    def end(self, ending: Ending) -> None:
        """Give the place back, once."""
        if not self.is_over:
            self.is_over = True
            self.give_back(ending)


Outcome = asyncio.Future[Place]


class DeskClient:
    """Asks one other host for places."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.link: HostLink | None = None
        self.pending: dict[int, Outcome] = {}
        self.numbers = itertools.count(1)
        self.heard_at = 0.0
        self.avoid_until = 0.0
        self.connecting: asyncio.Task[None] | None = None
        self.reader: asyncio.Task[None] | None = None
        self.is_closed = False

    def is_usable(self, now: float) -> bool:
        """Tell whether asking makes sense."""
        return not self.is_closed and now >= self.avoid_until

    async def acquire(
        self,
        pool: str,
        waiter: Waiter,
        outcome: Outcome,
    ) -> Place:
        """Ask for a place.

        :raises PlaceLostError: when the host does not answer.
        :raises PlaceRefusedError: when there is no room in time.
        """
        if self.link is None:
            await self._connect()
        link = self.link
        if link is None:
            raise PlaceLostError(self.address)
        number = next(self.numbers)
        if not self.pending:
            self.heard_at = loop_clock()
        self.pending[number] = outcome
        link.send(encode_waiter(number, pool, waiter, loop_clock()))
        try:
            return await outcome
        except (asyncio.CancelledError, PlaceMovedError):
            link.send({'kind': 'drop', 'id': number})
            raise
        finally:
            self.pending.pop(number, None)

    def check(self, now: float) -> None:
        """Give up a connection that is silent though it is asked."""
        if self.pending and now - self.heard_at > SILENCE_S:
            self._lose()

    def close(self) -> None:
        """End the connection."""
        self.is_closed = True
        self._lose()

    async def _connect(self) -> None:
        if self.connecting is None:
            loop = asyncio.get_running_loop()
            self.connecting = loop.create_task(self._open())
        await asyncio.shield(self.connecting)

    async def _open(self) -> None:
        try:
            link = await connect(self.address)
        except PeerError:
            self.avoid_until = loop_clock() + AVOID_S
            return
        finally:
            self.connecting = None
        link.send({'kind': 'places'})
        self.link = link
        loop = asyncio.get_running_loop()
        self.reader = loop.create_task(self._read(link))

    async def _read(self, link: HostLink) -> None:
        try:
            while True:
                self._take(link, await link.receive(None))
        except (PeerError, ValueError, KeyError):
            if self.link is link:
                self._lose()

    def _take(self, link: HostLink, message: Message) -> None:
        self.heard_at = loop_clock()
        if message['kind'] == 'beat':
            return
        number = int(message['id'])
        outcome = self.pending.get(number)
        is_wanted = outcome is not None and not outcome.done()
        if message['kind'] == 'no':
            if outcome is not None and is_wanted:
                after_s = float(message['after'])
                outcome.set_exception(PlaceRefusedError(after_s))
            return
        if outcome is None or not is_wanted:
            return
        place = Place(
            parse_incarnation(message['upstream']),
            self.address,
            lambda ending: link.send(encode_ending(number, ending)),
        )
        outcome.set_result(place)

    def _lose(self) -> None:
        link = self.link
        self.link = None
        self.avoid_until = loop_clock() + AVOID_S
        if link is not None:
            link.close()
        for outcome in self.pending.values():
            if not outcome.done():
                outcome.set_exception(PlaceLostError(self.address))


class Places:
    """Gets places from the host in charge, or from the own desk.

    :param address: of this host, as the coordinator lists it.
    """

    def __init__(self, address: str, desk: Desk) -> None:
        self.address = address
        self.desk = desk
        self.hosts: dict[str, float] = {address: 1.0}
        self.largest: list[str] = [address]
        self.clients: dict[str, DeskClient] = {}
        self.chosen: dict[str, str] = {}

    def set_hosts(self, hosts: Mapping[str, float]) -> None:
        """Take the hosts that share the charge, with their capacity."""
        if hosts == self.hosts or not hosts:
            return
        self.hosts = dict(hosts)
        most = max(hosts.values())
        self.largest = [host for host in hosts if hosts[host] >= most]
        self.chosen.clear()
        for address in list(self.clients):
            if address not in hosts:
                self.clients.pop(address).close()

    def in_charge(self, pool: str, owner: Incarnation | None) -> str:
        """Give the host in charge of an upstream, or of a whole pool."""
        unit = owner.text() if owner else pool
        host = self.chosen.get(unit)
        if host is None:
            # A pool is far more work than one upstream.
            hosts = self.hosts if owner else self.largest
            host = max(hosts, key=lambda found: _weight(found, unit))
            self.chosen[unit] = host
        return host

    async def acquire(
        self,
        pool: str,
        waiter: Waiter,
        outcome: Outcome,
    ) -> Place:
        """Wait for a place.

        :param outcome: where others may set :class:`PlaceMovedError`.
        :raises PlaceRefusedError: when there is no room in time.
        """
        host = self.in_charge(pool, waiter.owner)
        if host == self.address:
            return await self._acquire_here(pool, waiter, outcome)
        client = self.clients.get(host)
        if client is None:
            client = DeskClient(host)
            self.clients[host] = client
        if client.is_usable(loop_clock()):
            try:
                return await client.acquire(pool, waiter, outcome)
            except PlaceLostError:
                outcome = asyncio.get_running_loop().create_future()
        waiter.may_use_cold = False
        return await self._acquire_here(pool, waiter, outcome)

    def close(self) -> None:
        """End all connections."""
        for client in self.clients.values():
            client.close()

    def check(self) -> None:
        """Give up connections that are silent though they are asked."""
        now = loop_clock()
        for client in self.clients.values():
            client.check(now)

    async def _acquire_here(
        self,
        pool: str,
        waiter: Waiter,
        outcome: Outcome,
    ) -> Place:
        self.desk.submit(
            pool,
            waiter,
            lambda settled: self._settle(pool, settled, outcome),
        )
        try:
            return await outcome
        except (asyncio.CancelledError, PlaceMovedError):
            self.desk.withdraw(pool, waiter)
            raise

    def _settle(self, pool: str, waiter: Waiter, outcome: Outcome) -> None:
        if outcome.done():
            self.desk.withdraw(pool, waiter)
        elif waiter.place is None:
            outcome.set_exception(PlaceRefusedError(waiter.refused_for or 0))
        else:
            place = Place(
                waiter.place.entry.ref,
                self.address,
                lambda ending: self.desk.end(pool, waiter, ending),
            )
            outcome.set_result(place)


def encode_waiter(
    number: int,
    pool: str,
    waiter: Waiter,
    now: float,
) -> Message:
    """Give the message that asks for a place; times as seconds from now."""
    return {
        'kind': 'place',
        'id': number,
        'pool': pool,
        'zone': waiter.zone,
        'priority': waiter.priority,
        'aim': round(waiter.aim_at - now, 4),
        'useful': round(waiter.useful_until - now, 4),
        'owner': waiter.owner.text() if waiter.owner else None,
        'upload': waiter.is_upload,
        'tried': [ref.text() for ref in waiter.tried],
    }


def decode_waiter(message: Message, now: float) -> Waiter:
    """Read a message that asks for a place."""
    owner = message['owner']
    return Waiter(
        zone=str(message['zone']),
        priority=int(message['priority']),
        aim_at=now + float(message['aim']),
        useful_until=now + float(message['useful']),
        owner=parse_incarnation(owner) if owner else None,
        is_upload=bool(message['upload']),
        tried=frozenset(parse_incarnation(ref) for ref in message['tried']),
    )


def encode_ending(number: int, ending: Ending) -> Message:
    """Give the message that gives a place back."""
    return {
        'kind': 'done',
        'id': number,
        'end': ending.kind.value,
        'took': round(ending.took_s, 4),
        'load': ending.load,
        'cold': ending.cold_for_s,
    }


def decode_ending(message: Message) -> Ending:
    """Read a message that gives a place back."""
    load = message['load']
    return Ending(
        EndKind(message['end']),
        float(message['took']),
        None if load is None else int(load),
        float(message['cold']),
    )


def _weight(host: str, unit: str) -> int:
    """Give the rank of a host for a unit, the same on all hosts."""
    seed = zlib.crc32(host.encode()) << 32 | zlib.crc32(unit.encode())
    for _ in range(2):
        seed = ((seed ^ seed >> 33) * _MIX) & _MASK
    return seed ^ seed >> 33


def _ignore_cold(ref: Incarnation, for_s: float) -> None:
    """Tell nobody."""
