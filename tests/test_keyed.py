"""The keyed stand-in enforces fencing like a real server."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.clock import ManualClock
from oriolearch.core.model import Fencing, KeySource
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.upstream import Limits
from tests.conftest import Client, advance, eventually

Connect = Callable[[Any], Client]

START_S = 1000
GRANTED = {
    'term': 5,
    'version': 3,
    'expires_at': START_S + 1,
    'shards': [[7, 20], [8, 21]],
    'keys': [['hot', 25], ['gone', 0]],
}


def make(**options: Any) -> KeyedStandin:
    return KeyedStandin(ManualClock(START_S), **options)


@pytest.mark.parametrize(
    ('key', 'shard', 'epoch', 'after_s', 'status'),
    [
        ('k', 7, 20, 0, 200),
        ('k', 7, 20, 0.98, 200),
        ('k', 7, 20, 0.995, 421),  # within the server's clock margin
        ('k', 7, 20, 2, 421),
        ('k', 7, 19, 0, 421),
        ('k', 7, 21, 0, 421),
        ('k', 9, 20, 0, 421),
        ('hot', 7, 25, 0, 200),
        ('hot', 7, 20, 0, 421),
        ('gone', 7, 20, 0, 421),  # a key of the shard that another server owns
        ('gone', 7, 0, 0, 421),
        ('k', '', '', 0, 400),
    ],
)
@pytest.mark.parametrize('fencing', Fencing)
def test_orders_are_checked(
    connect: Connect,
    key: str,
    shard: int,
    epoch: int,
    after_s: float,
    status: int,
    fencing: Fencing,
) -> None:
    """An order for an earlier owner must not run: keys have one owner."""
    standin = make(fencing=fencing)
    http = connect(standin)
    assert http.call('POST', '/grants', GRANTED)[0] == 200
    expected = 200 if fencing is Fencing.NONE else 421
    assert http.call('GET', '/o/without-headers')[0] == expected
    advance(standin, after_s)
    seen, headers, _ = http.call(
        'POST',
        f'/o/{key}',
        shard=shard,
        epoch=epoch,
        attempt='a1',
    )
    if fencing is Fencing.NONE and status == 421:
        status = 200
    assert seen == status
    assert headers.get('oriolearch-not-run') == ('1' if seen == 421 else None)
    runs = http.json('GET', f'/ledger?key={key}').get(key, [])
    assert {run['attempt'] for run in runs} == ({'a1'} if runs else set())
    assert len(runs) == int(seen == 200)


@pytest.mark.parametrize(
    ('message', 'error'),
    [
        ({}, None),
        ({'term': 4, 'version': 9}, 'term'),
        ({'version': 2}, 'version'),
        ({'version': 4}, None),
        ({'term': 6, 'version': 1}, None),
        ({'shards': None}, None),
        ({'shards': None, 'version': 4}, 'version'),
        ({'shards': None, 'version': 2}, 'version'),
        ({'shards': None, 'term': 6}, 'list term'),
        ({'shards': None, 'term': 4}, 'term'),
        ({'shards': None, 'authority': 'b/movable'}, 'list term'),
        ({'authority': 'b/movable', 'term': 1}, None),
        ({'incarnation': 1}, None),
        ({'incarnation': 2}, 'incarnation'),
        ({'expires_at': None}, 'malformed'),
        ({'shards': [[1]]}, 'malformed'),
    ],
)
def test_grant_messages(
    connect: Connect,
    message: dict[str, Any],
    error: str | None,
) -> None:
    """A delayed message of an earlier coordinator must be rejected."""
    standin = make()
    http = connect(standin)
    http.call('POST', '/grants', GRANTED)
    before = dict(standin.grants)
    late = {**GRANTED, 'expires_at': START_S + 2, **message}
    status = http.call('POST', '/grants', late)[0]
    if error:
        assert status == (400 if error == 'malformed' else 409)
        shown = http.json('POST', '/grants', late)['error']
        assert shown == error or status == 400
        assert standin.grants == before
    else:
        assert status == 200 and standin.has_valid_grant(7, 20, 'k')
    assert http.json('GET', '/grants') == {
        'clock': START_S,
        'incarnation': 1,
        'epoch_floor': 25,
    }


def test_revocation_waits_for_running_orders(connect: Connect) -> None:
    """A revocation must not be confirmed while the old owner runs orders."""
    standin = make(limits=Limits(service_s=1))
    http = connect(standin)
    http.call('POST', '/grants', GRANTED)
    order = http.call_in_thread('POST', '/o/k', shard=7, epoch=20)
    eventually(lambda: standin.counts['runs'])
    revoke = {'term': 5, 'version': 4, 'shards': [7], 'keys': []}
    assert http.call('POST', '/grants/revoke', revoke, 0.05)[0] == 0
    confirmation = http.call_in_thread('POST', '/grants/revoke', revoke)
    assert http.call('POST', '/o/k', shard=7, epoch=20)[0] == 421
    advance(standin, 1)
    assert order()[0] == confirmation()[0] == 200


@pytest.mark.parametrize(
    ('late', 'key', 'shard', 'epoch'),
    [
        (GRANTED, 'k', 7, 20),
        ({**GRANTED, 'version': 9, 'keys': []}, 'k', 7, 20),
        ({**GRANTED, 'shards': None}, 'k', 7, 20),
        ({**GRANTED, 'version': 9, 'shards': []}, 'hot', 8, 25),
        # The shard is still granted, but its split key was revoked.
        (
            {**GRANTED, 'version': 9, 'shards': [[8, 21]], 'keys': []},
            's',
            8,
            21,
        ),
    ],
)
def test_revoked_stays_revoked(
    connect: Connect,
    late: dict[str, Any],
    key: str,
    shard: int,
    epoch: int,
) -> None:
    """A delayed grant list must not restore revoked shards and keys."""
    standin = make()
    http = connect(standin)
    http.call('POST', '/grants', GRANTED)
    revoke = {'term': 5, 'shards': [7], 'keys': ['hot', 's']}
    assert http.call('POST', '/grants/revoke', revoke)[0] == 200
    http.call('POST', '/grants', late)
    assert not standin.has_valid_grant(shard, epoch, key)
    again = {'shards': [[7, 30], [8, 21]], 'keys': [['hot', 31], ['s', 32]]}
    accepted = {**GRANTED, 'version': 10, **again}
    assert http.call('POST', '/grants', accepted)[0] == 200
    assert standin.has_valid_grant(7, 30, 'k')
    assert standin.has_valid_grant(8, 31, 'hot') and standin.has_valid_grant(
        8, 32, 's'
    )


def test_ledger_shows_duplicate_executions(connect: Connect) -> None:
    """Duplicate executions for one request must show in the ledger."""
    standin = make(fencing=Fencing.NONE)
    http = connect(standin)
    for attempt in ('a1', 'a2'):
        http.call('POST', '/o/k', attempt=attempt, request='r1', epoch=4)
    runs = http.json('GET', '/ledger')['k']
    assert [(run['attempt'], run['request']) for run in runs] == [
        ('a1', 'r1'),
        ('a2', 'r1'),
    ]
    standin.stop()
    standin.start()
    http = connect(standin)
    assert len(http.json('GET', '/ledger')['k']) == 2
    assert http.json('GET', '/grants')['incarnation'] == 2


@pytest.mark.parametrize(
    ('source', 'key'),
    [
        (None, 'c'),
        (KeySource(path_segment=0), 'a'),
        (KeySource(path_segment=9), ''),
        (KeySource(header='Oriolearch-Tenant'), 't'),
    ],
)
def test_keys_of_orders(
    connect: Connect,
    source: KeySource | None,
    key: str,
) -> None:
    """A ledger entry under the wrong key would hide duplicate executions."""
    standin = make(fencing=Fencing.NONE, key_source=source)
    http = connect(standin)
    http.call('GET', '/a/b/c', tenant='t')
    http.call('GET', '/a/b/c', tenant='t', key='given')
    assert set(standin.ledger) == {key, 'given'}
