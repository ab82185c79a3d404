"""Requests through the entry over real sockets."""

import random
from collections.abc import Callable, Iterator
from http.client import HTTPConnection

import pytest

from oriolearch.adapters.entry import Entry
from oriolearch.adapters.exchange import EntrySettings, Published
from oriolearch.core.messages import AuthorityKey, Segment
from oriolearch.core.model import (
    Assignment,
    Document,
    KeySource,
    Mobility,
    Pool,
    PoolKind,
    Route,
    Upstream,
)
from oriolearch.core.view import View
from tests.upstreams import FakeUpstream

Starter = Callable[[View], tuple[Entry, HTTPConnection]]
HOME = AuthorityKey('a', Mobility.MOVABLE)


def make_view(
    plain: list[FakeUpstream],
    keyed: list[FakeUpstream],
    owner: str = 'k0',
    epoch: int = 1,
    **pool_settings: object,
) -> View:
    def ups(letter: str, fakes: list[FakeUpstream]) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(f'{letter}{number}', fake.address, 'a', slots=4)
            for number, fake in enumerate(fakes)
        )

    pools = {
        'plain': Pool('plain', PoolKind.PLAIN, ups('p', plain)),
        'keyed': Pool(
            'keyed',
            PoolKind.KEYED,
            ups('k', keyed),
            shard_count=256,
            **pool_settings,  # type: ignore[arg-type]
        ),
    }
    routes = {
        'files': Route('files', '/files', 'plain'),
        'orders': Route(
            'orders',
            '/orders',
            'keyed',
            key=KeySource(path_segment=1),
        ),
    }
    shards = (Assignment(owner, epoch),) * 256
    segment = Segment('keyed', 0, HOME, epoch, shards)
    return View(
        Document(1, routes, pools),
        {('keyed', 0): segment},
    )


@pytest.fixture
def upstreams() -> Iterator[list[FakeUpstream]]:
    fakes = [FakeUpstream() for _ in range(2)]
    yield fakes
    for fake in fakes:
        fake.close()


@pytest.fixture
def start() -> Iterator[Starter]:
    entries = []

    def starter(view: View) -> tuple[Entry, HTTPConnection]:
        entry = Entry(
            ('127.0.0.1', 0),
            Published(view),
            EntrySettings('a', 'h'),
            random.Random(1),
        )
        entries.append(entry)
        return entry, HTTPConnection(*entry.open(), timeout=20)

    yield starter
    for entry in entries:
        entry.drain(0, 5)


def test_requests_reach_their_pools(
    upstreams: list[FakeUpstream],
    start: Starter,
) -> None:
    """A request must reach the pool of its route, with key and epoch."""
    plain, keyed = upstreams
    _, conn = start(make_view([plain], [keyed]))
    for path, fake in (('/files/a', plain), ('/orders/k1', keyed)):
        conn.request('POST', path, body=b'some content')
        found = conn.getresponse()
        assert (found.status, found.read()) == (200, b'some content')
        assert fake.requests[-1].target == path
    assert keyed.requests[-1].headers['oriolearch-epoch'] == '1'
    assert 'oriolearch-attempt' not in found.headers
