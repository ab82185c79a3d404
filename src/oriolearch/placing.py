"""Reserves capacity at upstreams through the dispatching host of each.

All hosts compute the same dispatching host by rendezvous hashing over the
hosts that the coordinator lists. While that host cannot be reached, a host
assigns its own requests, based on the load that upstreams report.
"""

import asyncio
import itertools
import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import astuple, dataclass, field, fields
from enum import StrEnum

from oriolearch.adapters.host_links import HostLink, Message, connect
from oriolearch.clock import loop_clock
from oriolearch.core.directory import Incarnation, parse_incarnation
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.errors import OriolearchError, PeerError
from oriolearch.core.notices import Notice, NoticeBoard, NoticeChannel
from oriolearch.core.upstream_state import (
    QueuedRequest,
    Shortage,
    UpstreamState,
)

# A dispatching host with pending requests that sends nothing for this long is
# taken to be unreachable.
DISPATCH_TIMEOUT_S = 0.4
HEARTBEAT_PERIOD_S = 0.1  # between heartbeats while a request is queued
# A host with requests here shows this often that it is alive. One that sends
# nothing for the time after that is lost, and its reservations are released.
CLIENT_HEARTBEAT_S = 0.5
CLIENT_TIMEOUT_S = 2.0
# Part of an upstream's rate limit that its dispatching host uses while it hears
# no coordinator. Another host may have been chosen by then.
UNCONFIRMED_RATE_SHARE = 0.5
# Part of the limit that all hosts together use which replace a dispatching
# host that they cannot reach.
SUBSTITUTES_RATE_SHARE = 0.25
RECONNECT_DELAY_S = 0.5  # delay before an unreachable host is tried again
MAX_KEPT_SUBJECTS = 10_000  # upstreams whose dispatching host is remembered

_MASK = (1 << 64) - 1
# From the finalizer of MurmurHash3; mixes all input bits.
_MIX_MULTIPLIER = 0xFF51AFD7ED558CCD


class NoCapacityError(OriolearchError):
    """No upstream has capacity before the deadline of the request.

    :param after_s: delay after which a retry may succeed, in seconds.
    :param shortage: what the refusal was based on, if known.
    """

    def __init__(
        self, after_s: float, shortage: Shortage | None = None
    ) -> None:
        super().__init__(f'no capacity; retry after {after_s} s')
        self.after_s = after_s
        self.shortage = shortage


class QueuedOwnerMovedError(OriolearchError):
    """The owner of the key changed while the request was queued."""


class DispatchHostLostError(OriolearchError):
    """The dispatching host cannot be reached."""


class EndKind(StrEnum):
    """Outcome of an attempt at an upstream."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    OTHER = 'other'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt, with what the upstream reported.

    :param latency_s: time from the request to its answer, or until it was
        given up, in seconds; 0 if the upstream did not get it.
    :param load: running and queued requests that the upstream reported.
    :param slowdown: service time there as a multiple of the usual one, if the
        upstream reported it.
    :param cold_for_s: remaining cold start that it reported, in seconds.
    :param is_alive: whether the upstream answered, or closed or reset the
        connection.
    """

    kind: EndKind
    latency_s: float = 0.0
    load: int | None = None
    cold_for_s: float = 0.0
    is_alive: bool = True
    slowdown: float | None = None


DecisionCallback = Callable[[QueuedRequest], None]


class LocalDispatch:
    """Runs the dispatchers of the upstreams that this host dispatches.

    :ivar on_cold: called when an upstream reports a cold start.
    :ivar notices: what upstreams reported to this host or others.
    :ivar record_notices: called with notices that another host sent.
    :ivar has_queued: set when a request is queued.
    """

    def __init__(self) -> None:
        self.dispatchers: dict[str, Dispatcher] = {}
        self.decision_callbacks: dict[QueuedRequest, DecisionCallback] = {}
        self.on_cold: Callable[[Incarnation, float], None] = _ignore_cold
        self.notices = NoticeBoard()
        self.record_notices = self._record_notices
        self.servers: set[DispatchServer] = set()
        self.has_queued = asyncio.Event()
        self.next_heartbeat_at = 0.0

    def open_channel(self, peer: str) -> NoticeChannel:
        """Return a channel for notices to and from another host."""
        return NoticeChannel(self.notices, self.record_notices, peer)

    def _record_notices(
        self, notices: Iterable[tuple[Incarnation, Notice]], source: str
    ) -> None:
        for ref, notice in notices:
            self.notices.record(ref, notice)

    def submit(
        self,
        pool: str,
        request: QueuedRequest,
        on_decided: DecisionCallback,
    ) -> None:
        """Submit a request; call ``on_decided`` once it is assigned or refused.

        The callback runs before this method returns if the decision is
        immediate.
        """
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            request.retry_after_s = DISPATCH_TIMEOUT_S
            on_decided(request)
            return
        dispatcher.submit(loop_clock(), request)
        if request.assigned_to is not None or request.retry_after_s is not None:
            on_decided(request)
        else:
            self.decision_callbacks[request] = on_decided
            self.has_queued.set()

    def withdraw(self, pool: str, request: QueuedRequest) -> None:
        """Remove a queued request, or release the reservation of another."""
        self.decision_callbacks.pop(request, None)
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            return
        dispatcher.withdraw(request)
        if request.assigned_to is not None:
            self.complete(pool, request, AttemptResult(EndKind.OTHER))

    def complete(
        self,
        pool: str,
        request: QueuedRequest,
        result: AttemptResult,
    ) -> None:
        """Apply the result of an attempt and release its reservation."""
        dispatcher = self.dispatchers.get(pool)
        upstream = request.assigned_to
        if dispatcher is None or upstream is None:
            return
        self._apply_result(dispatcher, upstream, result)
        dispatcher.release(request)
        self._report(dispatcher.assign_freed(loop_clock(), upstream))

    def assign_queued(self) -> None:
        """Assign queued requests of all pools where capacity permits."""
        for dispatcher in self.dispatchers.values():
            self._assign_queued(dispatcher)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to each host that has a queued request."""
        now = loop_clock()
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_PERIOD_S
            for server in self.servers:
                server.send_heartbeat()

    def _apply_result(
        self,
        dispatcher: Dispatcher,
        upstream: UpstreamState,
        result: AttemptResult,
    ) -> None:
        now = loop_clock()
        if result.load is not None:
            dispatcher.record_load(now, upstream, result.load)
        if result.slowdown is not None:
            dispatcher.record_slowdown(now, upstream, result.slowdown)
        if result.cold_for_s:
            self.on_cold(upstream.entry.ref, result.cold_for_s)
        if result.kind is EndKind.ANSWERED:
            dispatcher.record_answer(now, upstream, result.latency_s)
        elif result.kind is EndKind.SHED:
            dispatcher.record_shed(now, upstream, result.load)
        else:
            dispatcher.record_unserved(upstream, result.latency_s)
        if result.kind is EndKind.FAILED:
            dispatcher.record_failure(now, upstream, is_alive=result.is_alive)

    def _assign_queued(self, dispatcher: Dispatcher) -> None:
        if dispatcher.waiting:
            self._report(dispatcher.assign_queued(loop_clock()))

    def _report(self, decided: Iterable[QueuedRequest]) -> None:
        for request in decided:
            on_decided = self.decision_callbacks.pop(request, None)
            if on_decided is not None:
                on_decided(request)


class DispatchServer:
    """Serves the reservations of one other host."""

    def __init__(self, local_dispatch: LocalDispatch, link: HostLink) -> None:
        self.local_dispatch = local_dispatch
        self.link = link
        self.channel = local_dispatch.open_channel(link.address)
        self.requests: dict[int, tuple[str, QueuedRequest]] = {}

    async def run(self) -> None:
        """Serve until the connection ends; then release its reservations.

        :raises PeerError: when the connection ends.
        """
        self.local_dispatch.servers.add(self)
        try:
            while True:
                # A connection can fall silent without an end. Only one with
                # reservations matters, and only then the host sends.
                limit_s = CLIENT_TIMEOUT_S if self.requests else None
                self._handle_message(await self.link.receive(limit_s))
        finally:
            self.local_dispatch.servers.discard(self)
            for pool, request in self.requests.values():
                self.local_dispatch.withdraw(pool, request)

    def send_heartbeat(self) -> None:
        """Send a heartbeat if a request is queued."""
        if any(
            request.assigned_to is None for _, request in self.requests.values()
        ):
            self.link.send({'kind': 'beat'})

    def _handle_message(self, message: Message) -> None:
        if message['kind'] == 'beat':
            return
        receive_notices(self.channel, message)
        number = int(message['id'])
        if message['kind'] == 'place':
            pool = str(message['pool'])
            request = decode_request(message, loop_clock())
            self.requests[number] = (pool, request)
            self.local_dispatch.submit(
                pool,
                request,
                lambda decided: self._on_decided(number, decided),
            )
            return
        submitted = self.requests.pop(number, None)
        if submitted is None:
            return
        pool, request = submitted
        if message['kind'] == 'done':
            self.local_dispatch.complete(pool, request, decode_release(message))
        else:
            self.local_dispatch.withdraw(pool, request)

    def _on_decided(self, number: int, request: QueuedRequest) -> None:
        if request.assigned_to is None:
            self.requests.pop(number, None)
            message = encode_refusal(number, request)
            refs = [request.owner] if request.owner else []
        else:
            refs = [request.assigned_to.entry.ref]
            text = refs[0].text()
            message = {'kind': 'go', 'id': number, 'upstream': text}
        self.link.send(add_notices(self.channel, message, refs))


class Reservation:
    """Reserved capacity at an upstream, until :meth:`release`.

    :ivar dispatched_by: address of the host that made the reservation.
    """

    def __init__(
        self,
        upstream: Incarnation,
        dispatched_by: str,
        on_release: Callable[[AttemptResult], None],
    ) -> None:
        self.upstream = upstream
        self.dispatched_by = dispatched_by
        self.on_release = on_release
        self.is_released = False

    def release(self, result: AttemptResult) -> None:
        """Release the reservation; further calls have no effect."""
        if not self.is_released:
            self.is_released = True
            self.on_release(result)


ReservationFuture = asyncio.Future[Reservation]


class DispatchClient:
    """Reserves capacity through one other host.

    :ivar pending: requests without a decision, by number.
    :ivar held: numbers of the reservations that are not released.
    """

    def __init__(self, address: str, local_dispatch: LocalDispatch) -> None:
        self.address = address
        self.local_dispatch = local_dispatch
        self.channel = local_dispatch.open_channel(address)
        self.link: HostLink | None = None
        self.pending: dict[int, ReservationFuture] = {}
        self.held: set[int] = set()
        self.sent_at = 0.0
        self.request_numbers = itertools.count(1)
        self.last_contact_at = 0.0
        self.avoid_until = 0.0
        self.connecting: asyncio.Task[None] | None = None
        self.reader: asyncio.Task[None] | None = None
        self.is_closed = False

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent to the host now."""
        return not self.is_closed and now >= self.avoid_until

    async def reserve(
        self,
        pool: str,
        request: QueuedRequest,
        future: ReservationFuture,
    ) -> Reservation:
        """Reserve capacity for a request.

        :raises DispatchHostLostError: when the host does not answer.
        :raises NoCapacityError: when there is none before the deadline.
        """
        if self.link is None:
            await self._connect()
        link = self.link
        if link is None:
            raise DispatchHostLostError(self.address)
        number = next(self.request_numbers)
        if not self.pending:
            self.last_contact_at = loop_clock()
        self.pending[number] = future
        message = encode_request(number, pool, request, loop_clock())
        refs = self._refs_of(pool, request.owner)
        self._send(add_notices(self.channel, message, refs))
        try:
            return await future
        except (asyncio.CancelledError, QueuedOwnerMovedError):
            link.send({'kind': 'drop', 'id': number})
            raise
        finally:
            self.pending.pop(number, None)

    def _refs_of(
        self, pool: str, owner: Incarnation | None
    ) -> Iterable[Incarnation]:
        """Return the upstreams that may serve a request."""
        if owner is not None:
            return (owner,)
        dispatcher = self.local_dispatch.dispatchers.get(pool)
        return dispatcher.upstreams if dispatcher else ()

    def maintain(self, now: float) -> None:
        """Show that this host is alive; drop a connection that is silent."""
        if self.pending and now - self.last_contact_at > DISPATCH_TIMEOUT_S:
            self._disconnect()
        is_in_use = self.pending or self.held
        if is_in_use and now - self.sent_at >= CLIENT_HEARTBEAT_S:
            self._send({'kind': 'beat'})

    def close(self) -> None:
        """Close the connection and accept no further requests."""
        self.is_closed = True
        self._disconnect()

    async def _connect(self) -> None:
        if self.connecting is None:
            loop = asyncio.get_running_loop()
            self.connecting = loop.create_task(self._open())
        await asyncio.shield(self.connecting)

    async def _open(self) -> None:
        try:
            link = await connect(self.address)
        except PeerError:
            self.avoid_until = loop_clock() + RECONNECT_DELAY_S
            return
        finally:
            self.connecting = None
        link.send({'kind': 'places'})
        self.link = link
        self.channel = self.local_dispatch.open_channel(self.address)
        loop = asyncio.get_running_loop()
        self.reader = loop.create_task(self._read(link))

    async def _read(self, link: HostLink) -> None:
        try:
            while True:
                self._handle_message(link, await link.receive(None))
        except (PeerError, ValueError, KeyError):
            if self.link is link:
                self._disconnect()

    def _handle_message(self, link: HostLink, message: Message) -> None:
        self.last_contact_at = loop_clock()
        if message['kind'] == 'beat':
            return
        receive_notices(self.channel, message)
        number = int(message['id'])
        future = self.pending.get(number)
        is_pending = future is not None and not future.done()
        if message['kind'] == 'no':
            if future is not None and is_pending:
                future.set_exception(decode_refusal(message))
            return
        if future is None or not is_pending:
            return
        self.held.add(number)
        upstream = parse_incarnation(message['upstream'])
        channel = self.channel

        def release(result: AttemptResult) -> None:
            self.held.discard(number)
            done = encode_release(number, result)
            link.send(add_notices(channel, done, (upstream,)))

        future.set_result(Reservation(upstream, self.address, release))

    def _send(self, message: Message) -> None:
        if self.link is not None:
            self.sent_at = loop_clock()
            self.link.send(message)

    def _disconnect(self) -> None:
        link = self.link
        self.link = None
        self.held.clear()
        self.avoid_until = loop_clock() + RECONNECT_DELAY_S
        if link is not None:
            link.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(DispatchHostLostError(self.address))


@dataclass(slots=True)
class _Rendezvous:
    """The host with the highest weight for each subject, over some hosts.

    Results are kept, and a change of the hosts updates them at the cost of
    the hosts that changed.

    :ivar seeds: part of the weight that depends on the host only.
    :ivar winners: weight and host by subject, as computed so far.
    """

    seeds: dict[str, int] = field(default_factory=dict)
    winners: dict[str, tuple[int, str]] = field(default_factory=dict)

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the hosts."""
        before = self.seeds
        self.seeds = {
            host: before.get(host) or _host_seed(host) for host in hosts
        }
        if len(self.winners) > MAX_KEPT_SUBJECTS:
            # Most of these upstreams have ended.
            self.winners.clear()
        added = self.seeds.keys() - before.keys()
        for subject, (weight, host) in list(self.winners.items()):
            if host not in self.seeds:
                del self.winners[subject]
            elif added:
                self.winners[subject] = max(
                    (weight, host), self._highest(added, subject)
                )

    def find(self, subject: str) -> str:
        """Return the host of a subject."""
        winner = self.winners.get(subject)
        if winner is None:
            winner = self._highest(self.seeds, subject)
            self.winners[subject] = winner
        return winner[1]

    def _highest(self, hosts: Iterable[str], subject: str) -> tuple[int, str]:
        subject_seed = zlib.crc32(subject.encode())
        return max(
            (_mix(self.seeds[host] | subject_seed), host) for host in hosts
        )


class ReservationRouter:
    """Reserves capacity through the dispatching host of each upstream.

    :param address: of this host, as the coordinator lists it.
    :ivar hosts: capacity of each host that dispatches, by address.
    :ivar is_listed: whether a coordinator has named the hosts that dispatch.
    :ivar is_list_confirmed: returns whether the list of these hosts is
        certainly that of all others.
    :ivar renew: returns the future that replaces one that has failed.
    :ivar zones: zone of each of these hosts that is known.
    :ivar zone_hosts: by zone, the dispatching hosts of its keyed upstreams.
        While zones cannot reach each other, each dispatches its own.
    :ivar owner_hosts: dispatching hosts of the other keyed upstreams.
    :ivar pool_hosts: dispatching hosts of whole pools, which are hosts of the
        highest capacity. A pool is a far higher load than one upstream.
    """

    def __init__(self, address: str, local_dispatch: LocalDispatch) -> None:
        self.address = address
        self.local_dispatch = local_dispatch
        self.hosts: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self.zone_hosts: dict[str, _Rendezvous] = {}
        self.owner_hosts = _Rendezvous()
        self.pool_hosts = _Rendezvous()
        self.clients: dict[str, DispatchClient] = {}
        self.is_listed = False
        self.is_list_confirmed: Callable[[], bool] = _is_confirmed
        self.renew: Callable[[ReservationFuture], ReservationFuture] = _renew
        self.set_dispatching_hosts({address: 1.0})

    def set_dispatching_hosts(
        self,
        hosts: Mapping[str, float],
        zones: Mapping[str, str] | None = None,
    ) -> None:
        """Set the hosts that dispatch.

        :param hosts: capacity of each host.
        :param zones: zone of each host, as far as it is known.
        """
        known_zones = dict(zones or {})
        is_known = hosts == self.hosts and known_zones == self.zones
        if is_known or not hosts:
            return
        self.hosts = dict(hosts)
        self.zones = known_zones
        self._set_zone_hosts()
        highest = max(hosts.values())
        self.owner_hosts.set_hosts(hosts)
        self.pool_hosts.set_hosts(
            host for host in hosts if hosts[host] >= highest
        )
        for address in list(self.clients):
            if address not in hosts:
                self.clients.pop(address).close()

    def find_dispatching_host(
        self,
        pool: str,
        owner: Incarnation | None,
    ) -> str:
        """Return the dispatching host of an upstream, or of a whole pool."""
        if owner is None:
            return self.pool_hosts.find(pool)
        zone_hosts = self.zone_hosts.get(self._zone_of(pool, owner))
        return (zone_hosts or self.owner_hosts).find(owner.text())

    def _set_zone_hosts(self) -> None:
        by_zone: dict[str, list[str]] = {}
        for host in self.hosts:
            by_zone.setdefault(self.zones.get(host, ''), []).append(host)
        by_zone.pop('', None)
        self.zone_hosts = {
            zone: self.zone_hosts.get(zone, _Rendezvous()) for zone in by_zone
        }
        for zone, hosts in by_zone.items():
            self.zone_hosts[zone].set_hosts(hosts)

    def _zone_of(self, pool: str, owner: Incarnation) -> str:
        dispatcher = self.local_dispatch.dispatchers.get(pool)
        upstream = dispatcher.upstreams.get(owner) if dispatcher else None
        return upstream.entry.zone if upstream else ''

    def rate_share(self, pool: str, owner: Incarnation | None) -> float:
        """Return the part of an upstream's rate limit that this host may use.

        :param owner: the upstream; ``None`` for those of a whole pool.
        """
        if self.find_dispatching_host(pool, owner) != self.address:
            return SUBSTITUTES_RATE_SHARE / len(self.hosts)
        return 1.0 if self.is_list_confirmed() else UNCONFIRMED_RATE_SHARE

    def knows_hosts(self) -> bool:
        """Return whether a coordinator has named the dispatching hosts."""
        return self.is_listed

    async def reserve(
        self,
        pool: str,
        request: QueuedRequest,
        future: ReservationFuture,
    ) -> Reservation:
        """Wait for a reservation.

        :param future: the caller may set :class:`QueuedOwnerMovedError` on it.
        :raises NoCapacityError: when there is none before the deadline.
        """
        host = self.find_dispatching_host(pool, request.owner)
        if host == self.address:
            return await self._reserve_here(pool, request, future)
        client = self.clients.get(host)
        if client is None:
            client = DispatchClient(host, self.local_dispatch)
            self.clients[host] = client
        if client.is_usable(loop_clock()):
            try:
                return await client.reserve(pool, request, future)
            except DispatchHostLostError:
                future = self.renew(future)
        request.may_use_cold = False
        return await self._reserve_here(pool, request, future)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()

    def maintain(self) -> None:
        """Send heartbeats, and drop connections that are silent."""
        now = loop_clock()
        for client in self.clients.values():
            client.maintain(now)

    async def _reserve_here(
        self,
        pool: str,
        request: QueuedRequest,
        future: ReservationFuture,
    ) -> Reservation:
        self.local_dispatch.submit(
            pool,
            request,
            lambda decided: self._on_decided(pool, decided, future),
        )
        try:
            return await future
        except (asyncio.CancelledError, QueuedOwnerMovedError):
            self.local_dispatch.withdraw(pool, request)
            raise

    def _on_decided(
        self,
        pool: str,
        request: QueuedRequest,
        future: ReservationFuture,
    ) -> None:
        if future.done():
            self.local_dispatch.withdraw(pool, request)
        elif request.assigned_to is None:
            future.set_exception(
                NoCapacityError(request.retry_after_s or 0, request.shortage)
            )
        else:
            reservation = Reservation(
                request.assigned_to.entry.ref,
                self.address,
                lambda result: self.local_dispatch.complete(
                    pool,
                    request,
                    result,
                ),
            )
            future.set_result(reservation)


def add_notices(
    channel: NoticeChannel, message: Message, refs: Iterable[Incarnation]
) -> Message:
    """Add the notices of upstreams that the receiver lacks to a message."""
    notices = channel.encode(loop_clock(), refs)
    return {**message, 'notices': notices} if notices else message


def receive_notices(channel: NoticeChannel, message: Message) -> None:
    if 'notices' in message:
        channel.receive(loop_clock(), message['notices'])


def _is_confirmed() -> bool:
    return True


def _renew(failed: ReservationFuture) -> ReservationFuture:
    return asyncio.get_running_loop().create_future()


def encode_request(
    number: int,
    pool: str,
    request: QueuedRequest,
    now: float,
) -> Message:
    """Encode a reservation request; its times are relative to ``now``."""
    return {
        'kind': 'place',
        'id': number,
        'pool': pool,
        'zone': request.zone,
        'priority': request.priority,
        'aim': round(request.objective_at - now, 4),
        'useful': round(request.deadline - now, 4),
        'owner': request.owner.text() if request.owner else None,
        'upload': request.is_upload,
        'tried': [ref.text() for ref in request.tried],
        'avoided': [ref.text() for ref in request.avoided],
    }


def decode_request(message: Message, now: float) -> QueuedRequest:
    """Decode a reservation request."""
    owner = message['owner']
    return QueuedRequest(
        zone=str(message['zone']),
        priority=int(message['priority']),
        objective_at=now + float(message['aim']),
        deadline=now + float(message['useful']),
        owner=parse_incarnation(owner) if owner else None,
        is_upload=bool(message['upload']),
        tried=frozenset(parse_incarnation(ref) for ref in message['tried']),
        avoided=frozenset(
            parse_incarnation(ref) for ref in message.get('avoided', ())
        ),
    )


def encode_refusal(number: int, request: QueuedRequest) -> Message:
    """Encode the refusal of a reservation."""
    shortage = request.shortage
    return {
        'kind': 'no',
        'id': number,
        'after': request.retry_after_s,
        'shortage': list(astuple(shortage)) if shortage else None,
    }


def decode_refusal(message: Message) -> NoCapacityError:
    """Decode the refusal of a reservation."""
    facts = message.get('shortage') or ()
    is_known = len(facts) == len(fields(Shortage))
    return NoCapacityError(
        float(message['after']), Shortage(*facts) if is_known else None
    )


def encode_release(number: int, result: AttemptResult) -> Message:
    """Encode the release of a reservation."""
    return {
        'kind': 'done',
        'id': number,
        'end': result.kind.value,
        'took': round(result.latency_s, 4),
        'load': result.load,
        'cold': result.cold_for_s,
        'alive': result.is_alive,
        'slow': result.slowdown,
    }


def decode_release(message: Message) -> AttemptResult:
    """Decode the release of a reservation."""
    load = message['load']
    slowdown = message.get('slow')
    return AttemptResult(
        EndKind(message['end']),
        float(message['took']),
        None if load is None else int(load),
        float(message['cold']),
        bool(message.get('alive')),
        None if slowdown is None else float(slowdown),
    )


def _host_seed(host: str) -> int:
    return zlib.crc32(host.encode()) << 32


def _mix(seed: int) -> int:
    """Return a weight in which each bit depends on all bits of the seed."""
    for _ in range(2):
        seed = ((seed ^ seed >> 33) * _MIX_MULTIPLIER) & _MASK
    return seed ^ seed >> 33


def _ignore_cold(ref: Incarnation, cold_for_s: float) -> None:
    """Ignore the report."""
