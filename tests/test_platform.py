"""The platform client against the stand-in and its injected faults."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from oriolearch.adapters.platform import HttpPlatform
from oriolearch.clock import ManualClock
from oriolearch.core import errors
from oriolearch.ports import Condition, Write
from oriolearch.standins.platform import FaultsBody, PlatformStandin
from oriolearch.standins.server import LoopbackServer, Response
from tests.conftest import TIMEOUT_S, Client, advance, eventually

Connect = Callable[[Any], Client]

PUT_ROW = [Write('t', 'k', {'n': 1})]


@pytest.fixture
def standin(connect: Connect) -> PlatformStandin:
    platform = PlatformStandin(ManualClock())
    connect(platform)
    return platform


def make_client(
    standin: PlatformStandin | LoopbackServer,
    zone: str = 'a',
    timeout_s: float = TIMEOUT_S,
) -> HttpPlatform:
    return HttpPlatform(standin.address, zone, timeout_s)


@pytest.mark.parametrize('key', ['k', 'a/b', 'a%2Fb', 'ñ ?&#', '..', ' '])
def test_rows_are_stored_under_their_exact_keys(
    standin: PlatformStandin, key: str
) -> None:
    """Keys that are mapped to the same row would overwrite each other."""
    platform = make_client(standin)
    assert platform.read('t', key).version == 0
    assert platform.commit([], [Write('t', key, {'key': key})]) == [1]
    read = platform.read('t', key)
    assert (read.key, read.version, read.row) == (key, 1, {'key': key})
    assert platform.scan('t', key) == [read]
    assert not platform.scan('t', f'{key}x') and not platform.scan('u')


def test_versions_increase_across_deletions(standin: PlatformStandin) -> None:
    """A reused version would let a stale transaction be applied."""
    platform = make_client(standin)
    for expected, row in enumerate([{'n': 1}, None, {'n': 2}], start=1):
        condition = Condition('t', 'k', expected - 1)
        assert platform.commit([condition], [Write('t', 'k', row)]) == [
            expected,
        ]
        assert platform.read('t', 'k').version == expected


def test_failed_condition_writes_nothing(standin: PlatformStandin) -> None:
    """A partial transaction would leave an authority without a lease."""
    platform = make_client(standin)
    platform.commit([], [Write('t', 'b', {}), Write('t', 'b', {})])
    with pytest.raises(errors.ConditionFailedError) as refused:
        platform.commit(
            [Condition('t', 'a', 0), Condition('t', 'b', 1)],
            [Write('t', 'a', {}), Write('t', 'c', {})],
        )
    assert refused.value.failed == (('t', 'b', 2),)
    assert [row.key for row in platform.scan('t')] == ['b']


def test_objects(standin: PlatformStandin) -> None:
    """A blob must be read back byte for byte, and an absent one as None."""
    platform = make_client(standin)
    assert platform.get('snapshot/1') is None
    platform.put('snapshot/1', bytes(range(256)))
    assert platform.get('snapshot/1') == bytes(range(256))


@pytest.mark.parametrize(
    ('faults', 'error', 'effect_now', 'effect_after_1s'),
    [
        ({}, None, True, True),
        ({'down': True}, errors.PlatformRefusedError, False, False),
        ({'cut': True}, errors.OutcomeUnknownError, False, False),
        ({'lose_answers': 1}, errors.OutcomeUnknownError, True, True),
        (
            {'lose_after_delay_ms': 500},
            errors.OutcomeUnknownError,
            False,
            True,
        ),
    ],
)
@pytest.mark.parametrize('zones', [None, ['a']])
def test_faults_of_writes(
    standin: PlatformStandin,
    faults: dict[str, Any],
    error: type[Exception] | None,
    effect_now: bool,
    effect_after_1s: bool,
    zones: list[str] | None,
) -> None:
    """An applied write that is reported as refused gives two holders."""
    other = make_client(standin, 'b')
    standin.set_faults(FaultsBody(zones=zones, **faults))
    caught: type[Exception] | None = None
    try:
        make_client(standin).commit([Condition('t', 'k', 0)], PUT_ROW)
    except errors.PlatformError as seen:
        caught = type(seen)
    assert caught is error
    if zones is None:
        standin.faults.clear()
    assert other.read('t', 'k').version == int(effect_now)
    advance(standin, 1)
    assert other.read('t', 'k').version == int(effect_after_1s)
    assert standin.counts['writes'] <= 1, 'the client must not retry a write'


def test_conditions_are_checked_when_a_delayed_write_is_applied(
    standin: PlatformStandin,
) -> None:
    """A delayed transaction must not overwrite an earlier commit."""
    standin.set_faults(FaultsBody(zones=['a'], lose_after_delay_ms=500))
    for zone, n in (('a', 1), ('b', 2)):
        with suppress(errors.OutcomeUnknownError):
            row = Write('t', 'k', {'n': n})
            make_client(standin, zone).commit([Condition('t', 'k', 0)], [row])
    advance(standin, 1)
    assert make_client(standin, 'b').read('t', 'k').row == {'n': 2}


def test_slow_write_takes_effect_after_the_timeout(
    standin: PlatformStandin,
) -> None:
    """A timeout does not prove that the write had no effect."""
    standin.set_faults(FaultsBody(slow_ms=500))
    with pytest.raises(errors.OutcomeUnknownError):
        make_client(standin, timeout_s=0.05).commit([], PUT_ROW)
    assert not standin.tables.rows
    advance(standin, 1)
    eventually(lambda: standin.tables.version('t', 'k') == 1)


def test_lost_answers_follow_the_seed(connect: Connect) -> None:
    """A failure found with a seed must be reproducible."""

    def outcomes() -> list[bool]:
        platform = PlatformStandin(ManualClock(), seed=5)
        http = connect(platform)
        platform.set_faults(FaultsBody(lose_answers=0.5))
        return [http.call('GET', '/hosts')[0] == 200 for _ in range(20)]

    assert outcomes() == outcomes()
    assert len(set(outcomes())) == 2


def test_host_list_is_stale_for_the_set_time(
    standin: PlatformStandin, connect: Connect
) -> None:
    """Tests against a list without delay would miss stale members."""
    http = connect(standin)
    entry = {'zone': 'a', 'address': '127.0.0.1:1', 'state': 'live'}
    http.call('PUT', '/hosts/h1', entry)
    http.call('POST', '/faults', {'stale_hosts_s': 3})
    assert not make_client(standin).hosts()
    advance(standin, 3)
    http.call('DELETE', '/hosts/h1')
    assert [
        (host.host, host.state) for host in make_client(standin).hosts()
    ] == [
        ('h1', 'live'),
    ]
    advance(standin, 3)
    assert not make_client(standin).hosts()
    assert http.json('GET', '/stats')['reads/a'] == 3


def test_refused_connection_raises_platform_refused(
    standin: PlatformStandin,
) -> None:
    """A write that was never sent must not have an unknown outcome."""
    standin.stop()
    with pytest.raises(errors.PlatformRefusedError):
        make_client(standin).commit([], PUT_ROW)


@pytest.mark.parametrize(
    ('call', 'arguments', 'status', 'body'),
    [
        ('read', ('t', 'k'), 200, b''),
        ('read', ('t', 'k'), 200, b'{"version": 1, "value": [1]}'),
        ('read', ('t', 'k'), 200, b'{"version": "1", "value": {}}'),
        ('read', ('t', 'k'), 200, b'{"version": -1, "value": {}}'),
        ('read', ('t', 'k'), 404, b'not found'),
        ('read', ('t', 'k'), 500, b'{"version": 1, "value": {}}'),
        ('scan', ('t',), 200, b'{}'),
        ('scan', ('t',), 200, b'[{"version": 1, "value": {}}]'),
        ('commit', ([], PUT_ROW), 200, b'{"versions": []}'),
        ('commit', ([], PUT_ROW), 200, b'{"versions": [null]}'),
        ('commit', ([], PUT_ROW), 409, b'\xff'),
        ('commit', ([], PUT_ROW), 302, b'{"versions": [1]}'),
        ('put', ('x', b''), 404, b''),
        ('get', ('x',), 500, b''),
        ('hosts', (), 200, b'[{"host": "h"}]'),
    ],
)
def test_malformed_answers_raise_outcome_unknown(
    connect: Connect,
    call: str,
    arguments: tuple[Any, ...],
    status: int,
    body: bytes,
) -> None:
    """Any other exception would end the calling task."""
    server = LoopbackServer(lambda _: Response.from_bytes(body, status))
    connect(server)
    with pytest.raises(errors.OutcomeUnknownError):
        getattr(make_client(server), call)(*arguments)
