"""Attempts against one upstream: what is sent, and which answer counts."""

import threading
import time
from collections.abc import Callable

import pytest

from oriolearch.adapters.upstream import (
    AttemptError,
    ConnectionPool,
    Limits,
    Order,
    RunningAttempt,
    wait_any,
)
from oriolearch.core.attempts import Failure
from oriolearch.core.model import Upstream
from tests.entries import WAIT_S, wait_until
from tests.upstreams import Call, FakeUpstream, Script

Upstreams = Callable[..., FakeUpstream]


def make_pool(fake: FakeUpstream, connections: int = 4) -> ConnectionPool:
    """Give a pool of connections to a fake."""
    upstream = Upstream('u', fake.address, 'a', connections=connections)
    return ConnectionPool(upstream, Limits())


def make_attempt(
    pool: ConnectionPool,
    name: str,
    report: Callable[[], object] = bool,
    limit_s: float = WAIT_S,
) -> RunningAttempt:
    """Give an attempt with a deadline."""
    return RunningAttempt(pool, name, time.monotonic() + limit_s, report)


def order(name: str, body: bytes = b'') -> Order:
    """Give an order that names its attempt in the body too."""
    headers = {'oriolearch-attempt': name, 'content-length': str(len(body))}
    return Order('POST', f'/{name}', headers, body)


def run(pool: ConnectionPool, name: str) -> bytes:
    """Send an attempt and read its answer."""
    attempt = make_attempt(pool, name)
    attempt.send(order(name, name.encode()))
    return attempt.answer().read_all()


def test_connection_is_used_again(upstream: Upstreams) -> None:
    """A connection for each request would cost a round trip each."""
    fake = upstream()
    pool = make_pool(fake)
    assert [run(pool, name) for name in 'abc'] == [b'a', b'b', b'c']
    assert (len(fake.connections), pool.open_count) == (1, 1)


def late_first(release: threading.Event) -> Script:
    """Answer the first request late, on its own connection."""

    def script(call: Call) -> None:
        call.read_body()
        if call.target == '/first':
            release.wait(WAIT_S)
        call.answer(call.body)

    return script


@pytest.mark.parametrize('failure', [Failure.CANCELLED, Failure.CALLER_GONE])
def test_cancelled_attempt_gives_no_answer_to_others(
    upstream: Upstreams,
    failure: Failure,
) -> None:
    """A late answer must not be read as that of the next request."""
    release = threading.Event()
    fake = upstream(late_first(release))
    pool = make_pool(fake)
    attempt = make_attempt(pool, 'first')
    attempt.send(order('first', b'first'))
    canceller = threading.Timer(0.05, attempt.cancel, (failure,))
    canceller.start()
    with pytest.raises(AttemptError) as caught:
        attempt.answer()
    assert caught.value.failure is failure
    release.set()
    assert [run(pool, name) for name in 'abc'] == [b'a', b'b', b'c']
    assert (len(fake.connections), pool.open_count) == (2, 1)


def test_late_answer_is_a_time_out(upstream: Upstreams) -> None:
    """A connection whose answer was late must not be used again."""
    release = threading.Event()
    pool = make_pool(upstream(late_first(release)))
    attempt = make_attempt(pool, 'first', limit_s=0.1)
    attempt.send(order('first'))
    with pytest.raises(AttemptError) as caught:
        attempt.answer()
    assert caught.value.failure is Failure.TIMEOUT
    release.set()
    assert run(pool, 'a') == b'a'


def test_cancel_after_the_end_spares_the_connection(
    upstream: Upstreams,
) -> None:
    """A late cancellation must not break the next user of a connection."""
    pool = make_pool(upstream())
    attempt = make_attempt(pool, 'a')
    attempt.send(order('a', b'a'))
    assert attempt.answer().read_all() == b'a'
    conn = pool.take(WAIT_S)
    attempt.cancel(Failure.CANCELLED)
    assert conn.is_connected
    pool.put_back(conn)
    assert run(pool, 'b') == b'b'


def test_two_answers_on_one_connection(upstream: Upstreams) -> None:
    """A second answer that nobody asked for must reach nobody."""

    def script(call: Call) -> None:
        call.read_body()
        call.answer(call.body)
        if call.target == '/a':
            call.answer(b'stray')

    pool = make_pool(upstream(script))
    found = []
    for name in 'abcd':
        try:
            found.append(run(pool, name))
        except AttemptError as error:
            assert error.failure is Failure.WRONG_ATTEMPT
    assert b'stray' not in found
    assert found[0] == b'a'


def test_connection_limit(upstream: Upstreams) -> None:
    """More connections than an upstream accepts must not be opened."""
    pool = make_pool(upstream(), connections=1)
    first = make_attempt(pool, 'a')
    first.send(order('a'))
    second = make_attempt(pool, 'b')
    with pytest.raises(AttemptError) as caught:
        second.send(order('b'))
    assert caught.value.failure is Failure.CONNECTION_REFUSED
    assert not second.is_sent
    first.answer().read_all()
    assert run(pool, 'c') == b'c'


def test_nothing_is_sent_without_leave(upstream: Upstreams) -> None:
    """Not one byte may leave when the last check says no."""
    fake = upstream()

    def report() -> None:
        raise AttemptError(Failure.CANCELLED)

    pool = make_pool(fake)
    attempt = make_attempt(pool, 'a', report)
    with pytest.raises(AttemptError):
        attempt.send(order('a'))
    assert not attempt.is_sent
    assert run(pool, 'b') == b'b'
    assert [call.target for call in fake.requests] == ['/b']


def test_proxy_settings_are_ignored(
    upstream: Upstreams,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Orders must not pass through a proxy of the environment."""
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:1')
    assert run(make_pool(upstream()), 'a') == b'a'


def test_redirect_is_passed_on(upstream: Upstreams) -> None:
    """A redirect belongs to the caller; following it would run it twice."""

    def script(call: Call) -> None:
        call.read_body()
        call.answer(b'', 307, location='/elsewhere')

    fake = upstream(script)
    attempt = make_attempt(make_pool(fake), 'a')
    attempt.send(order('a'))
    assert attempt.answer().status == 307
    assert len(fake.requests) == 1


def test_first_answer_wins(upstream: Upstreams) -> None:
    """Waiting for two attempts must give the one that has an answer."""
    release = threading.Event()
    slow = make_attempt(make_pool(upstream(late_first(release))), 'first')
    fast = make_attempt(make_pool(upstream()), 'fast')
    for attempt in (slow, fast):
        attempt.send(order(attempt.attempt_id, attempt.attempt_id.encode()))
    assert wait_any([slow, fast], WAIT_S) is fast
    assert wait_any([slow], 0.01) is None
    release.set()
    wait_until(lambda: wait_any([slow], 0))
    assert slow.answer().read_all() == b'first'
    assert fast.answer().read_all() == b'fast'
