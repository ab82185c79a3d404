"""The plain stand-in: cold starts, draining and delayed reports."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.clock import ManualClock
from oriolearch.standins.plain import ColdStart, PlainStandin
from oriolearch.standins.upstream import Limits
from tests.conftest import Client, eventually

Connect = Callable[[Any], Client]


def state(http: Client) -> str:
    return str(http.json('GET', '/health')['state'])


@pytest.mark.parametrize(
    ('cold_start', 'orders', 'wait_s', 'expected'),
    [
        (ColdStart(), 0, 0, 'ready'),
        (ColdStart(requests=3), 2, 99, 'cold'),
        (ColdStart(requests=3), 3, 0, 'ready'),
        (ColdStart(duration_s=2), 9, 1, 'cold'),
        (ColdStart(duration_s=2), 0, 2, 'ready'),
        (ColdStart(requests=1, duration_s=2), 0, 2, 'cold'),
        (ColdStart(requests=3, is_announced=False), 0, 0, 'ready'),
    ],
)
@pytest.mark.parametrize('is_again', [False, True])
def test_cold_start_ends(
    connect: Connect,
    cold_start: ColdStart,
    orders: int,
    wait_s: float,
    expected: str,
    is_again: bool,
) -> None:
    """A cold start must begin and must end at its conditions."""
    clock = ManualClock()
    standin = PlainStandin(clock, cold_start=cold_start)
    http = connect(standin)
    if is_again:
        for _ in range(3):
            http.call('GET', '/f')
        clock.advance(3)
        http.call('POST', '/faults', {'cold_again': True})
    for _ in range(orders):
        assert http.call('GET', '/f')[0] == 200
    clock.advance(wait_s)
    assert state(http) == expected
    if cold_start.is_announced:
        assert standin.is_cold() == (expected == 'cold')


def test_cold_server_sheds_and_freezes_under_a_flood(connect: Connect) -> None:
    """A cold server sheds concurrent orders and freezes under a flood."""
    clock = ManualClock()
    standin = PlainStandin(
        clock,
        limits=Limits(service_s=4),
        cold_start=ColdStart(1, 0, 3, 5, service_factor=5),
    )
    http = connect(standin)
    running = http.call_in_thread('GET', '/f')
    eventually(lambda: standin.counts['runs'])
    # Refusals over more than the window don't count as a flood.
    for pause_s in (1.1, 1.1, 1.1, 0.1, 0.1):
        status, headers, _ = http.call('GET', '/f')
        assert (status, headers['oriolearch-not-run']) == (503, '1')
        assert headers['oriolearch-reason'] == 'cold'
        clock.advance(pause_s)
    frozen = http.call_in_thread('GET', '/f')
    eventually(lambda: standin.counts['fell_over'])
    assert http.call('GET', '/health', timeout_s=0.05)[0] == 0
    clock.advance(5)
    assert frozen()[0] == 503
    assert state(http) == 'cold'
    clock.advance(20)
    assert running()[0] == 200
    assert standin.counts['runs'] == 1


def test_draining(connect: Connect) -> None:
    """A draining server counts new orders, then refuses them."""
    clock = ManualClock()
    standin = PlainStandin(clock, drain_s=2)
    http = connect(standin)
    http.call('POST', '/drain')
    assert state(http) == 'draining'
    assert http.call('GET', '/f')[0] == 200
    clock.advance(2)
    status, headers, _ = http.call('GET', '/f')
    assert (status, headers['oriolearch-not-run']) == (503, '1')
    assert http.json('GET', '/stats')['received_draining'] == 2
    http.call('POST', '/drain', {'draining': False})
    assert http.call('GET', '/f')[0] == 200
    assert state(http) == 'ready'


def test_reports_lag(connect: Connect) -> None:
    """Reports must lag, so that tests detect a router that trusts them."""
    clock = ManualClock()
    standin = PlainStandin(
        clock, limits=Limits(1, service_s=10), report_delay_s=2
    )
    http = connect(standin)
    answers = [http.call_in_thread('GET', '/f') for _ in range(3)]
    eventually(lambda: standin.counts['received'] == 3)
    http.call('POST', '/drain')
    assert state(http) == 'ready'
    assert http.json('GET', '/load') == {'running': 0, 'queued': 0}
    clock.advance(1.9)
    assert state(http) == 'ready'
    clock.advance(0.1)
    assert state(http) == 'draining'
    assert http.json('GET', '/load') == {'running': 1, 'queued': 2}
    standin.stop()
    assert {answer()[0] for answer in answers} == {0}
