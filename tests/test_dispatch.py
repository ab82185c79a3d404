"""The data path against the full stand-ins of upstreams."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.core.model import shard_of
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.plain import PlainStandin
from oriolearch.standins.upstream import Limits
from tests.conftest import Client, Started
from tests.entries import call, make_view

Connect = Callable[[Any], Client]
Start = Callable[..., Started]


def runs(*standins: PlainStandin | KeyedStandin) -> int:
    """Count the orders that were carried out."""
    return sum(len(part) for one in standins for part in one.ledger.values())


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_drained_upstream(
    connect: Connect,
    start: Start,
    method: str,
) -> None:
    """What a drained upstream refuses must run elsewhere, once."""
    drained, other = (PlainStandin(drain_s=0) for _ in range(2))
    for standin in (drained, other):
        connect(standin)
    drained.drain()
    _, address = start(make_view((drained.address, other.address)))
    found = [call(address, method, f'/files/{n}', b'x') for n in range(12)]
    assert {result.status for result in found} == {200}
    assert (runs(drained), runs(other)) == (0, 12)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_all_upstreams_drained(
    connect: Connect,
    start: Start,
    method: str,
) -> None:
    """A refusal with proof by all must stay a refusal as not run."""
    standin = PlainStandin(drain_s=0)
    connect(standin)
    standin.drain()
    _, address = start(make_view((standin.address,)))
    headers = {'oriolearch-timeout-ms': '300'}
    found = call(address, method, '/files/a', b'x', headers)
    assert found.status >= 500
    assert (found.outcome, runs(standin)) == ('not-run', 0)


def test_queued_requests_all_run(connect: Connect, start: Start) -> None:
    """Requests that wait for capacity must be woken and run once each."""
    standin = PlainStandin(limits=Limits(slots=2, service_s=0.02))
    http = connect(standin)
    _, address = start(make_view((standin.address,)))
    later = [
        http.executor.submit(call, address, 'POST', f'/files/{number}', b'x')
        for number in range(24)
    ]
    assert {part.result().status for part in later} == {200}
    assert runs(standin) == 24


def test_keyed_server_checks_grants(connect: Connect, start: Start) -> None:
    """An order without a grant must not run, and with one it must."""
    standin = KeyedStandin()
    http = connect(standin)
    _, address = start(make_view((), (standin.address,), epoch=5))
    refused = call(address, 'POST', '/orders/k', b'x')
    assert (refused.status, refused.outcome) == (503, 'not-run')
    grant = {
        'term': 1,
        'version': 1,
        'expires_at': standin.clock.monotonic() + 60,
        'shards': [[shard_of('k', 256), 5]],
    }
    http.json('POST', '/grants', grant)
    assert call(address, 'POST', '/orders/k', b'x').status == 200
    assert runs(standin) == 1
