"""The platform client against the stand-in, and the stand-in's faults."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.adapters.platform import HttpPlatform
from oriolearch.clock import ManualClock
from oriolearch.core import errors
from oriolearch.ports import Condition, Write
from oriolearch.standins.platform import FaultsBody, PlatformStandin
from oriolearch.standins.server import LoopbackServer, Response
from tests.conftest import TIMEOUT_S, Client, eventually

PUT_ROW = [Write('t', 'k', {'n': 1})]


@pytest.fixture
def standin(connect: Callable[[Any], Client]) -> PlatformStandin:
    platform = PlatformStandin(ManualClock())
    connect(platform)
    return platform


def advance(standin: PlatformStandin, duration_s: float) -> None:
    assert isinstance(standin.clock, ManualClock)
    standin.clock.advance(duration_s)


def client(
    standin: PlatformStandin | LoopbackServer,
    zone: str = 'a',
    timeout_s: float = TIMEOUT_S,
) -> HttpPlatform:
    return HttpPlatform(standin.address, zone, timeout_s)


@pytest.mark.parametrize('key', ['k', 'a/b', 'a%2Fb', 'ñ ?&#', '..', ' '])
def test_rows_keep_their_keys(standin: PlatformStandin, key: str) -> None:
    """Two keys that meet in one row would overwrite each other."""
    platform = client(standin)
    assert platform.read('t', key).version == 0
    assert platform.commit([], [Write('t', key, {'key': key})]) == [1]
    read = platform.read('t', key)
    assert (read.key, read.version, read.row) == (key, 1, {'key': key})
    assert platform.scan('t', key) == [read]
    assert not platform.scan('t', f'{key}x') and not platform.scan('u')


def test_versions_grow_over_deletions(standin: PlatformStandin) -> None:
    """A version used twice would let an old transaction take effect."""
    platform = client(standin)
    for expected, row in enumerate([{'n': 1}, None, {'n': 2}], start=1):
        condition = Condition('t', 'k', expected - 1)
        assert platform.commit([condition], [Write('t', 'k', row)]) == [
            expected,
        ]
        assert platform.read('t', 'k').version == expected


def test_failed_condition_writes_nothing(standin: PlatformStandin) -> None:
    """Half of a transaction would leave an authority without a lease."""
    platform = client(standin)
    platform.commit([], [Write('t', 'b', {}), Write('t', 'b', {})])
    with pytest.raises(errors.ConditionFailedError) as refused:
        platform.commit(
            [Condition('t', 'a', 0), Condition('t', 'b', 1)],
            [Write('t', 'a', {}), Write('t', 'c', {})],
        )
    assert refused.value.failed == (('t', 'b', 2),)
    assert [row.key for row in platform.scan('t')] == ['b']


def test_objects(standin: PlatformStandin) -> None:
    """A blob must come back byte for byte, and an absent one as None."""
    platform = client(standin)
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
    """A write taken for refused that took effect would give two holders."""
    other = client(standin, 'b')
    standin.set_faults(FaultsBody(zones=zones, **faults))
    caught: type[Exception] | None = None
    try:
        client(standin).commit([Condition('t', 'k', 0)], PUT_ROW)
    except errors.PlatformError as seen:
        caught = type(seen)
    assert caught is error
    if zones is None:
        standin.faults.clear()
    assert other.read('t', 'k').version == int(effect_now)
    advance(standin, 1)
    assert other.read('t', 'k').version == int(effect_after_1s)
    assert standin.counts['writes'] <= 1, 'the client must not repeat it'


def test_late_write_meets_its_conditions_late(
    standin: PlatformStandin,
) -> None:
    """A delayed transaction must not overwrite what came before it."""
    platform = client(standin)
    standin.set_faults(FaultsBody(zones=['a'], lose_after_delay_ms=500))
    with pytest.raises(errors.OutcomeUnknownError):
        platform.commit([Condition('t', 'k', 0)], PUT_ROW)
    other = client(standin, 'b')
    other.commit([Condition('t', 'k', 0)], [Write('t', 'k', {'n': 2})])
    advance(standin, 1)
    assert other.read('t', 'k').row == {'n': 2}


def test_slow_write_takes_effect_after_the_time_out(
    standin: PlatformStandin,
) -> None:
    """A time-out is no proof that nothing took effect."""
    standin.set_faults(FaultsBody(slow_ms=500))
    with pytest.raises(errors.OutcomeUnknownError):
        client(standin, timeout_s=0.05).commit([], PUT_ROW)
    assert not standin.tables.rows
    advance(standin, 1)
    eventually(lambda: standin.tables.version('t', 'k') == 1)


def is_read(platform: HttpPlatform) -> bool:
    try:
        platform.read('t', 'k')
    except errors.OutcomeUnknownError:
        return False
    return True


def test_lost_answers_follow_the_seed(
    connect: Callable[[Any], Client],
) -> None:
    """A failure found by a seed must be found again."""

    def outcomes() -> list[bool]:
        platform = PlatformStandin(ManualClock(), seed=5)
        connect(platform)
        platform.set_faults(FaultsBody(lose_answers=0.5))
        return [is_read(client(platform)) for _ in range(20)]

    assert outcomes() == outcomes()
    assert len(set(outcomes())) == 2


def test_host_list_lags(
    standin: PlatformStandin,
    connect: Callable[[Any], Client],
) -> None:
    """A test against a list without lag would miss stale members."""
    http = connect(standin)
    entry = {'zone': 'a', 'address': '127.0.0.1:1', 'state': 'live'}
    http.call('PUT', '/hosts/h1', entry)
    http.call('POST', '/faults', {'stale_hosts_s': 3})
    assert not client(standin).hosts()
    advance(standin, 3)
    http.call('DELETE', '/hosts/h1')
    assert [(host.host, host.state) for host in client(standin).hosts()] == [
        ('h1', 'live'),
    ]
    advance(standin, 3)
    assert not client(standin).hosts()
    assert http.json('GET', '/stats')['reads/a'] == 3


def test_refused_connection_is_a_refusal(standin: PlatformStandin) -> None:
    """An outage must not leave attempts unresolved that were never sent."""
    standin.stop()
    with pytest.raises(errors.PlatformRefusedError):
        client(standin).commit([], PUT_ROW)


def call_read(platform: HttpPlatform) -> object:
    return platform.read('t', 'k')


def call_scan(platform: HttpPlatform) -> object:
    return platform.scan('t')


def call_commit(platform: HttpPlatform) -> object:
    return platform.commit([], PUT_ROW)


def call_hosts(platform: HttpPlatform) -> object:
    return platform.hosts()


@pytest.mark.parametrize(
    ('call', 'status', 'body'),
    [
        (call_read, 200, b''),
        (call_read, 200, b'{"version": 1, "value": [1]}'),
        (call_read, 200, b'{"version": "1", "value": {}}'),
        (call_read, 200, b'{"version": -1, "value": {}}'),
        (call_read, 404, b'not found'),
        (call_read, 500, b'{"version": 1, "value": {}}'),
        (call_scan, 200, b'{}'),
        (call_scan, 200, b'[{"version": 1, "value": {}}]'),
        (call_commit, 200, b'{"versions": []}'),
        (call_commit, 200, b'{"versions": [null]}'),
        (call_commit, 409, b'\xff'),
        (call_commit, 302, b'{"versions": [1]}'),
        (call_hosts, 200, b'[{"host": "h"}]'),
    ],
)
def test_malformed_answers_have_one_kind_of_error(
    connect: Callable[[Any], Client],
    call: Callable[[HttpPlatform], object],
    status: int,
    body: bytes,
) -> None:
    """Another exception would end the task that called."""
    server = LoopbackServer(lambda _: Response.from_bytes(body, status))
    connect(server)
    with pytest.raises(errors.OutcomeUnknownError):
        call(client(server))
