"""Tests of the choice of a dispatching host."""

import asyncio
import random
from collections import Counter
from typing import cast

import pytest

from oriolearch import placing
from oriolearch.adapters.host_links import (
    HostLink,
    Message,
    decode_line,
    encode_line,
)
from oriolearch.clock import loop_clock
from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.errors import PeerError
from oriolearch.core.notices import Facts, Notice
from oriolearch.core.upstream_state import QueuedRequest, Shortage
from oriolearch.placing import (
    CLIENT_HEARTBEAT_S,
    CLIENT_TIMEOUT_S,
    AttemptResult,
    DispatchClient,
    DispatchHostLostError,
    DispatchServer,
    EndKind,
    SUBSTITUTES_RATE_SHARE,
    UNCONFIRMED_RATE_SHARE,
    LocalDispatch,
    QueuedOwnerMovedError,
    ReservationFuture,
    ReservationRouter,
    decode_refusal,
    decode_request,
    encode_refusal,
    decode_release,
    encode_release,
    encode_request,
)

OWNERS = [Incarnation(f'i-{number}', 1) for number in range(60)]


def make_router(hosts: dict[str, float]) -> ReservationRouter:
    router = ReservationRouter('h0', LocalDispatch())
    router.set_dispatching_hosts(hosts)
    return router


def choices(router: ReservationRouter) -> list[str]:
    return [
        router.find_dispatching_host('orders', owner)
        for owner in (*OWNERS, None)
    ]


@pytest.mark.parametrize('seed', range(12))
def test_hosts_that_change_in_turn_give_the_same_choice(seed: int) -> None:
    """Guard against hosts that send one upstream's requests to two hosts.

    Each host hears of changes in batches of its own, so the choice may depend
    on the hosts alone and not on the way to them.
    """
    rng = random.Random(seed)
    names = [f'10.0.0.{number}:7000' for number in range(30)]
    router = make_router({'h0': 1.0})
    for _ in range(20):
        hosts = {
            name: rng.choice((0.43, 2.15))
            for name in rng.sample(names, rng.randint(1, 30))
        }
        router.set_dispatching_hosts(hosts)
        if rng.choice((True, False)):
            assert choices(router) == choices(make_router(hosts))
    assert choices(router) == choices(make_router(hosts))


def test_change_of_one_host_costs_one_weight_an_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against work that grows with hosts times upstreams.

    A fleet of 195 hosts that is restarted in turn changes the list 390 times.
    """
    hosts = {f'h{number}': 1.0 for number in range(195)}
    router = make_router(hosts)
    choices(router)
    calls: list[int] = []
    mix = placing._mix

    def count_mix(seed: int) -> int:
        calls.append(seed)
        return mix(seed)

    monkeypatch.setattr(placing, '_mix', count_mix)
    router.set_dispatching_hosts({**hosts, 'new': 1.0})
    choices(router)
    assert len(calls) <= len(OWNERS) + 1


def test_dispatching_hosts_share_the_upstreams() -> None:
    """Guard against a choice that gives one host most of the work."""
    hosts = {f'10.1.0.{number}:7020': 1.0 for number in range(20)}
    owners = [Incarnation(f'i-{number:x}', 1) for number in range(2000)]
    router = make_router(hosts)
    counts = Counter(
        router.find_dispatching_host('orders', owner) for owner in owners
    )
    assert len(counts) == len(hosts)
    assert max(counts.values()) < 2 * len(owners) / len(hosts)


@pytest.mark.parametrize(
    'shortage',
    [
        None,
        Shortage(0),
        Shortage(1, 4, 0.25, 3, 6, 0.12),
    ],
)
def test_reason_of_a_refusal_reaches_the_other_host(
    shortage: Shortage | None,
) -> None:
    """Guard against refusals whose reasons only another host's log tells."""
    request = QueuedRequest('z1', 1, 1.0, 2.0)
    request.retry_after_s = 0.5
    request.shortage = shortage
    message = decode_line(encode_line(encode_refusal(3, request)))
    refusal = decode_refusal(message)
    assert message['id'] == 3
    assert refusal.after_s == pytest.approx(0.5)
    assert refusal.shortage == shortage


def test_refusal_of_another_version_has_no_reason() -> None:
    """Guard against a connection that ends on hosts of two versions."""
    refusal = decode_refusal({'after': 0.5, 'shortage': [1, 2]})
    assert refusal.shortage is None


class FakeLink:
    """A connection to another host that falls silent after some messages."""

    def __init__(self, *messages: Message) -> None:
        self.address = 'h2'
        self.messages = list(messages)
        self.limits: list[float | None] = []
        self.sent: list[Message] = []

    async def receive(self, timeout_s: float | None) -> Message:
        self.limits.append(timeout_s)
        if self.messages:
            return self.messages.pop(0)
        raise PeerError(self.address, 'silent')

    def send(self, message: Message) -> None:
        self.sent.append(message)


@pytest.mark.parametrize(
    ('is_completed', 'limit_s'), [(False, CLIENT_TIMEOUT_S), (True, None)]
)
def test_reservations_end_with_a_silent_connection(
    monkeypatch: pytest.MonkeyPatch, is_completed: bool, limit_s: float | None
) -> None:
    """Guard against capacity that is taken for good by a host that is lost.

    A connection without reservations may be silent for as long as it likes.
    """
    withdrawn: list[str] = []
    dispatch = LocalDispatch()
    monkeypatch.setattr(dispatch, 'submit', lambda *call: None)
    monkeypatch.setattr(dispatch, 'complete', lambda *call: None)
    monkeypatch.setattr(
        dispatch, 'withdraw', lambda pool, request: withdrawn.append(pool)
    )
    request = QueuedRequest('z1', 1, 1.0, 2.0)
    place = encode_request(7, 'orders', request, 0.0)
    done = encode_release(7, AttemptResult(EndKind.OTHER))
    link = FakeLink(place, *([done] if is_completed else []), {'kind': 'beat'})

    async def run() -> None:
        server = DispatchServer(dispatch, cast(HostLink, link))
        with pytest.raises(PeerError):
            await server.run()

    asyncio.run(run())
    assert link.limits[-1] == limit_s
    assert withdrawn == ([] if is_completed else ['orders'])


@pytest.mark.parametrize('slowdown', [None, 2.5])
def test_release_tells_how_slow_the_upstream_is(slowdown: float | None) -> None:
    """Guard against a dispatching host that takes a stalled one for idle."""
    result = AttemptResult(EndKind.ANSWERED, 0.25, 3, slowdown=slowdown)
    assert decode_release(encode_release(7, result)) == result


def test_host_with_reservations_shows_that_it_is_alive() -> None:
    """Guard against reservations that end while their requests run."""

    async def run() -> None:
        client = DispatchClient('h2', LocalDispatch())
        link = FakeLink()
        client.link = cast(HostLink, link)
        begun_at = loop_clock()
        client.maintain(begun_at + 1)
        assert not link.sent
        client.held.add(1)
        client.maintain(begun_at + 2)
        assert link.sent == [{'kind': 'beat'}]
        assert CLIENT_HEARTBEAT_S * 3 < CLIENT_TIMEOUT_S

    asyncio.run(run())


def test_reservations_carry_what_upstreams_reported() -> None:
    """Guard against a dispatching host that doesn't know a limit.

    There may be no coordinator that tells it: it has just been chosen, and the
    upstream named the limit to another host.
    """
    owner, other = OWNERS[:2]

    async def run() -> None:
        client_dispatch, server_dispatch = LocalDispatch(), LocalDispatch()
        client = DispatchClient('h2', client_dispatch)
        to_server = FakeLink()
        client.link = cast(HostLink, to_server)
        notice = Notice(Facts(5.0), loop_clock())
        client_dispatch.notices.record(owner, notice)
        request = QueuedRequest('z1', 1, 1.0, 2.0, owner)
        reserving = asyncio.create_task(
            client.reserve('orders', request, asyncio.Future())
        )
        await asyncio.sleep(0)
        reserving.cancel()
        to_client = FakeLink(*to_server.sent)
        server = DispatchServer(server_dispatch, cast(HostLink, to_client))
        with pytest.raises(PeerError):
            await server.run()
        assert server_dispatch.notices.rate_limits == {owner: 5.0}

        server_dispatch.notices.record(
            owner, Notice(Facts(3.0), loop_clock() + 1)
        )
        server_dispatch.notices.record(other, Notice(Facts(9.0), 0.0))
        server._on_decided(1, request)
        sent = to_client.sent[-1]['notices']
        assert [notice[:2] for notice in sent] == [[owner.text(), 3.0]]

    asyncio.run(run())


def test_hosts_with_other_lists_share_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against hosts that each take an upstream's whole limit.

    Hosts that are cut off from each other choose different dispatching hosts,
    or replace the one that they cannot reach.
    """
    names = {f'h{number}': 1.0 for number in range(9)}
    chosen = make_router(names).find_dispatching_host('orders', OWNERS[0])
    shares = {}
    for name in names:
        router = ReservationRouter(name, LocalDispatch())
        router.set_dispatching_hosts(names)
        shares[name] = router.rate_share('orders', OWNERS[0])
        monkeypatch.setattr(router, 'is_list_confirmed', bool)
        if name == chosen:
            unconfirmed = router.rate_share('orders', OWNERS[0])
    assert int(shares.pop(chosen)) == 1
    assert sum(shares.values()) <= SUBSTITUTES_RATE_SHARE
    assert unconfirmed <= UNCONFIRMED_RATE_SHARE


def test_hosts_that_start_together_leave_cold_upstreams_alone() -> None:
    """Guard against cold upstreams that fall over (FAILBACK).

    All hosts were killed while upstreams were cold. Each one that came back
    took itself for the only dispatching host until it heard a coordinator, and
    used half of the rate that a cold upstream bears.
    """
    router = ReservationRouter('h1', LocalDispatch())
    assert not router.knows_hosts()
    assert int(router.rate_share('orders', OWNERS[0])) == 1
    router.is_listed = True
    assert router.knows_hosts()


def test_reservation_names_the_upstreams_to_avoid() -> None:
    """Guard against a reservation that its host may not use.

    A host of an older version doesn't name them.
    """
    request = QueuedRequest('z1', 1, 1.0, 2.0, avoided=frozenset(OWNERS[:2]))
    message = encode_request(7, 'orders', request, 0.0)
    assert decode_request(message, 0.0).avoided == request.avoided
    del message['avoided']
    assert not decode_request(message, 0.0).avoided


class LostClient:
    """A dispatching host that is lost while it decides."""

    def is_usable(self, now: float) -> bool:
        return True

    async def reserve(self, *call: object) -> None:
        raise DispatchHostLostError('h1')


def test_owner_may_change_after_the_dispatching_host_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests that stay queued for a former owner.

    The change was reported to the future that the lost host had failed, and
    nobody waited for that any more.
    """
    router = make_router({'h0': 1.0, 'h1': 1.0})
    owner = next(
        owner
        for owner in OWNERS
        if router.find_dispatching_host('orders', owner) == 'h1'
    )
    router.clients['h1'] = cast(DispatchClient, LostClient())
    dispatch = router.local_dispatch
    withdrawn: list[str] = []
    monkeypatch.setattr(dispatch, 'submit', lambda *call: None)
    monkeypatch.setattr(
        dispatch, 'withdraw', lambda pool, request: withdrawn.append(pool)
    )

    async def run() -> None:
        loop = asyncio.get_running_loop()
        renewed: ReservationFuture = loop.create_future()
        router.renew = lambda failed: renewed
        loop.call_soon(
            loop.call_soon,
            renewed.set_exception,
            QueuedOwnerMovedError('orders'),
        )
        request = QueuedRequest('z1', 1, 1.0, 2.0, owner=owner)
        with pytest.raises(QueuedOwnerMovedError):
            await router.reserve('orders', request, loop.create_future())

    asyncio.run(run())
    assert withdrawn == ['orders']


def test_keyed_upstream_is_dispatched_in_its_zone() -> None:
    """Guard against owners that no host dispatches while zones are cut off.

    A third of the dispatching hosts of each zone were in the zone that was cut
    off, and its own upstreams had theirs outside.
    """
    zones = {f'h{number}': f'z{number % 3}' for number in range(30)}
    router = ReservationRouter('h0', LocalDispatch())
    plan = PoolPlan('orders', True, 100, 3.0, 4.0, 2.0, '/health')
    dispatcher = Dispatcher(plan, random.Random(1))
    router.local_dispatch.dispatchers['orders'] = dispatcher
    entries = [
        UpstreamEntry(ref, 'orders', 'x:1', f'z{n % 3}', 2, False, 0.0)
        for n, ref in enumerate(OWNERS[:-1])
    ]
    dispatcher.set_upstreams(0.0, entries, OWNERS, {})
    router.set_dispatching_hosts(dict.fromkeys(zones, 1.0), zones)
    found = {
        entry.ref: router.find_dispatching_host('orders', entry.ref)
        for entry in entries
    }
    assert all(zones[found[entry.ref]] == entry.zone for entry in entries)
    assert len(set(found.values())) > len(zones) / 2
    assert router.find_dispatching_host('orders', OWNERS[-1]) in zones
    rest = {host: zone for host, zone in zones.items() if zone != 'z0'}
    router.set_dispatching_hosts(dict.fromkeys(rest, 1.0), rest)
    for entry in entries:
        host = router.find_dispatching_host('orders', entry.ref)
        assert host in rest
        assert entry.zone == 'z0' or host == found[entry.ref]
