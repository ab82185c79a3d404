"""Calls between hosts, over real loopback sockets."""

import asyncio
import dataclasses
import socket
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from google.protobuf import text_format

from oriolearch.adapters import peer_messages as convert
from oriolearch.adapters.peers import PeerClient, PeerClientPool, PeerServer
from oriolearch.core import messages
from oriolearch.core.errors import (
    OriolearchError,
    PeerError,
    StaleError,
    ValidationError,
)
from oriolearch.core.model import Assignment, HostRef, Member, Mobility

REF = HostRef('h1', 1 << 40)
MEMBER = Member(REF, 'z1', '127.0.0.1:1')
HOME = messages.AuthorityKey('z1', Mobility.PINNED)
OTHER = messages.AuthorityKey('z2', Mobility.MOVABLE)
REVISION = messages.Revision(3, 7)
SHARDS = (Assignment('s1', 2), Assignment(None, 3))
KEYS = {'Cañón': Assignment('s2', 5), '': Assignment(None, 6)}
SEGMENT = messages.Segment('p', 4, HOME, 9, SHARDS, KEYS)
MANDATE = messages.Mandate(
    HOME, 3, 'p', 's1', 8, 0.5, ((1, 2), (300, 4)), (('k', 5),), REF
)
REPORT = messages.RenewalReport(HOME, 3, 'p', 's1', 8, True, 0.4, 2, REF, 8)
KNOWN = {HOME: REVISION, OTHER: REVISION}
HELD = {HOME: messages.Revision(3, 6), OTHER: REVISION}
OUTSTANDING = {'p/s1': 3}
HOT_KEYS = (messages.HotKey('p', 'k', 2.5),)
HEARD = (messages.Heard(MEMBER, 0.2, True),)
HINTS = (messages.Hint(HOME, 'p', 4),)
REQUEST = messages.SyncRequest(
    MEMBER,
    5,
    KNOWN,
    HELD,
    OUTSTANDING,
    HOT_KEYS,
    (REPORT,),
    1 << 63,
    HEARD,
    True,
    ('c',),
    HINTS,
)
PERMITS = (messages.Permit(HOME, REVISION, 0.6),)
MANDATES = (MANDATE, dataclasses.replace(MANDATE, renewer=None))
COLD = {'p/s2': 'h1'}
COORDINATORS = {OTHER: REF}
ANSWER = messages.SyncAnswer(
    MEMBER,
    5,
    '"ñ"',
    PERMITS,
    MANDATES,
    (SEGMENT,),
    OUTSTANDING,
    (MEMBER,),
    COLD,
    77,
    COORDINATORS,
    0.3,
    {HOME: ('p', 'q')},
)
PROMISE_REQUEST = messages.PromiseRequest(HOME, REF, 3)
PROMISE_ANSWER = messages.PromiseAnswer(HOME, REF, 3, 0.9, True)


class Handler:
    """Answers with a fixed value or error, and records the requests."""

    def __init__(self, outcome: object) -> None:
        self.outcome = outcome
        self.requests: list[object] = []

    async def sync(self, request: object) -> Any:
        """Answer a sync or promise request."""
        self.requests.append(request)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        if isinstance(self.outcome, asyncio.Event):
            await self.outcome.wait()
        return self.outcome

    promise = sync


def exchange(
    handler: Handler,
    act: Callable[[PeerClient], Awaitable[object]],
    timeout_s: float = 10,
) -> object:
    """Run calls against a server on a free port."""

    async def run() -> object:
        server = PeerServer(handler)
        await server.start('127.0.0.1', 0)
        client = PeerClient(f'127.0.0.1:{server.port}', timeout_s)
        try:
            return await act(client)
        finally:
            client.close()
            await server.stop()

    return asyncio.run(run())


@pytest.mark.parametrize('message', [REQUEST, ANSWER, REPORT, MANDATE])
def test_samples_set_every_field(message: Any) -> None:
    """A field that is added to a message but not converted would be lost."""
    for field in dataclasses.fields(message):
        if field.default is not dataclasses.MISSING:
            assert getattr(message, field.name) != field.default, field.name
        assert getattr(message, field.name), field.name


def test_calls_transfer_every_field_both_ways() -> None:
    """A dropped field would hide a permit, a segment or a renouncement."""
    handler = Handler(ANSWER)
    assert exchange(handler, lambda peer: peer.sync(REQUEST)) == ANSWER
    assert handler.requests == [REQUEST]
    handler = Handler(PROMISE_ANSWER)
    assert (
        exchange(handler, lambda peer: peer.promise(PROMISE_REQUEST))
        == PROMISE_ANSWER
    )
    assert handler.requests == [PROMISE_REQUEST]


@pytest.mark.parametrize(
    'error',
    [
        StaleError('incarnation', 1, 2),
        ValidationError('peer message', 'sender.zone', "''", 'empty'),
    ],
    ids=['stale', 'validation'],
)
def test_typed_errors_are_raised_at_the_caller(error: OriolearchError) -> None:
    """A caller that does not get the reason would repeat the call for ever."""
    handler = Handler(error)

    async def act(peer: PeerClient) -> None:
        with pytest.raises(type(error)) as refused:
            await peer.promise(PROMISE_REQUEST)
        with pytest.raises(type(error)) as caught:
            await peer.sync(REQUEST)
        assert str(caught.value) == str(refused.value)
        handler.outcome = ANSWER
        assert await peer.sync(REQUEST) == ANSWER
        raise caught.value

    with pytest.raises(type(error)) as caught:
        exchange(handler, act)
    original = {**vars(error), 'value': repr("''")}
    assert {**original, **vars(caught.value)} == original


def test_unknown_failure_of_the_handler_is_a_peer_error() -> None:
    """A fault in the handler must not look like a refusal of the message."""
    with pytest.raises(PeerError):
        exchange(Handler(KeyError('x')), lambda peer: peer.sync(REQUEST))


def test_call_to_a_silent_peer_times_out() -> None:
    """A frozen parent would block its children's syncs."""

    async def act(peer: PeerClient) -> None:
        with pytest.raises(PeerError, match='no answer'):
            await peer.sync(REQUEST)
        assert not peer.calls_in_flight
        handler.outcome = ANSWER
        peer.timeout_s = 10
        assert await peer.sync(REQUEST) == ANSWER

    handler = Handler(asyncio.Event())
    exchange(handler, act, timeout_s=0.05)


def test_server_socket_has_nodelay_set() -> None:
    """Without TCP_NODELAY a sync takes 40 ms more, and 2 ms of CPU time."""

    async def run() -> int:
        server = PeerServer(Handler(ANSWER))
        await server.start('127.0.0.1', 0)
        option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
        value = server.listener.getsockopt(*option)
        await server.stop()
        return value

    assert asyncio.run(run())


def test_refused_connection_is_a_peer_error() -> None:
    """A host that is down must lead to the next candidate, not to a crash."""

    async def run() -> None:
        server = PeerServer(Handler(ANSWER))
        await server.start('127.0.0.1', 0)
        await server.stop()
        client = PeerClient(f'127.0.0.1:{server.port}', 10)
        with pytest.raises(PeerError):
            await client.sync(REQUEST)

    asyncio.run(run())


def test_pool_closes_only_unused_connections() -> None:
    """A pool that never closes would keep a connection to each old parent."""
    now = [0.0]

    async def run() -> None:
        pool = PeerClientPool(lambda: now[0], idle_limit_s=30)
        kept, idle = pool.get('127.0.0.1:1'), pool.get('127.0.0.1:2')
        busy = pool.get('127.0.0.1:3')
        busy.calls_in_flight = 1
        now[0] = 31
        assert pool.get('127.0.0.1:1') is kept
        pool.close_idle()
        assert set(pool.clients) == {'127.0.0.1:1', '127.0.0.1:3'}
        assert pool.get('127.0.0.1:2') is not idle
        pool.close()

    asyncio.run(run())


KEY = "authority {zone: 'z' mobility: PINNED}"
BOMB = zlib.compress(bytes(convert.MAX_DOCUMENT_BYTES + 1))


@pytest.mark.parametrize(
    ('field', 'text'),
    [
        ('sender.ref.host', 'sender {ref {host: ""}}'),
        ('permits[1].authority.zone', 'permits {}'),
        ('permits[1].authority.mobility', "permits {authority {zone: 'z'}}"),
        ('permits[1].duration_s', f'permits {{{KEY} duration_s: -1}}'),
        ('permits[1].duration_s', f'permits {{{KEY} duration_s: inf}}'),
        ('mandates[2].shards', 'mandates {shards: 1}'),
        ('segments[1].shard_owners', 'segments {}'),
        ('segments[1].owners', 'segments {shard_owners: 1 shard_epochs: 1}'),
        ('segments[1].keys', "segments {keys: 'a'}"),
    ],
)
def test_error_for_a_malformed_answer_names_the_field(
    field: str, text: str
) -> None:
    """A value that is not checked here would fail later inside the core."""
    proto = convert.encode_sync_answer(ANSWER)
    text_format.Merge(text, proto)
    with pytest.raises(ValidationError) as caught:
        convert.decode_sync_answer(proto)
    assert caught.value.field == field


@pytest.mark.parametrize(
    'blob',
    [b'x', BOMB, zlib.compress(b'ab')[:-2], zlib.compress(b'\xff')],
    ids=['no zlib', 'too large', 'cut off', 'no UTF-8'],
)
def test_malformed_document_is_refused(blob: bytes) -> None:
    """A small blob must not exhaust memory, and a corrupt one must fail."""
    proto = convert.encode_sync_answer(ANSWER)
    proto.document_zlib = blob
    with pytest.raises(ValidationError, match='document_zlib'):
        convert.decode_sync_answer(proto)


@pytest.mark.parametrize('address', ['', 'host', ':1', 'h:x'])
def test_malformed_address_is_refused(address: str) -> None:
    """An invalid seed address must be reported instead of timing out."""
    with pytest.raises(ValidationError):
        PeerClient(address)
