"""Tests of the data path with the simulated upstreams."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.core.model import shard_of
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.plain import PlainStandin
from oriolearch.standins.upstream import Limits
from tests.conftest import Client, StartedEntry
from tests.entries import call, make_view

Connect = Callable[[Any], Client]
Start = Callable[..., StartedEntry]


def count_runs(*standins: PlainStandin | KeyedStandin) -> int:
    """Return the number of requests that the upstreams ran."""
    return sum(
        len(record)
        for standin in standins
        for record in standin.ledger.values()
    )


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_drained_upstream(connect: Connect, start: Start, method: str) -> None:
    """A request refused by a drained upstream must run once, elsewhere."""
    drained, other = (PlainStandin(drain_s=0) for _ in range(2))
    for standin in (drained, other):
        connect(standin)
    drained.drain()
    _, address = start(make_view((drained.address, other.address)))
    results = [call(address, method, f'/files/{n}', b'x') for n in range(12)]
    assert {result.status for result in results} == {200}
    assert (count_runs(drained), count_runs(other)) == (0, 12)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_all_upstreams_drained(
    connect: Connect, start: Start, method: str
) -> None:
    """A request must be refused as not run when all upstreams are drained."""
    standin = PlainStandin(drain_s=0)
    connect(standin)
    standin.drain()
    _, address = start(make_view((standin.address,)))
    headers = {'oriolearch-timeout-ms': '300'}
    result = call(address, method, '/files/a', b'x', headers)
    assert result.status >= 500
    assert (result.outcome, count_runs(standin)) == ('not-run', 0)


def test_queued_requests_all_run(connect: Connect, start: Start) -> None:
    """Requests queued for capacity must be woken, and run once each."""
    standin = PlainStandin(limits=Limits(slots=2, service_s=0.02))
    http = connect(standin)
    _, address = start(make_view((standin.address,)))
    futures = [
        http.executor.submit(call, address, 'POST', f'/files/{number}', b'x')
        for number in range(24)
    ]
    assert {future.result().status for future in futures} == {200}
    assert count_runs(standin) == 24


def test_keyed_server_checks_grants(connect: Connect, start: Start) -> None:
    """An order must run only after its server received a grant."""
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
    assert count_runs(standin) == 1
