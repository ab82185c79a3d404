"""Attempts to one upstream: connection reuse, limits and cancellation."""

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress

import pytest

from oriolearch.adapters.upstream import (
    AttemptError,
    ConnectionPool,
    OutgoingRequest,
    RunningAttempt,
    UpstreamTimeouts,
)
from oriolearch.core.attempts import Failure
from oriolearch.core.model import Upstream
from tests.entries import WAIT_S
from tests.upstreams import FakeUpstream, ReceivedRequest, Script

UpstreamFactory = Callable[..., FakeUpstream]


def make_pool(fake: FakeUpstream, connections: int = 4) -> ConnectionPool:
    """Return a pool of connections to a fake upstream."""
    upstream = Upstream('u', fake.address, 'a', connections=connections)
    return ConnectionPool(upstream, UpstreamTimeouts())


def make_attempt(
    pool: ConnectionPool,
    name: str,
    before_first_byte: Callable[[], object] = bool,
    limit_s: float = WAIT_S,
) -> RunningAttempt:
    """Return an attempt whose deadline is ``limit_s`` from now."""
    return RunningAttempt(
        pool, name, time.monotonic() + limit_s, before_first_byte
    )


def make_request(name: str, body: bytes = b'') -> OutgoingRequest:
    """Return a request for an attempt."""
    headers = {'oriolearch-attempt': name, 'content-length': str(len(body))}
    return OutgoingRequest('POST', f'/{name}', headers, body)


def run(pool: ConnectionPool, name: str) -> bytes:
    """Send an attempt and return the body of its response."""
    attempt = make_attempt(pool, name)
    attempt.send(make_request(name, name.encode()))
    return attempt.read_response().read_all()


def test_connection_is_reused(upstream: UpstreamFactory) -> None:
    """Guard against a new connection, and its round trip, per request."""
    fake = upstream()
    pool = make_pool(fake)
    assert [run(pool, name) for name in 'abc'] == [b'a', b'b', b'c']
    assert (len(fake.connections), pool.open_count) == (1, 1)


def late_first(release: threading.Event) -> Script:
    """Delay the response to ``/first`` until the event is set."""

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        if call.target == '/first':
            release.wait(WAIT_S)
        call.answer(call.body)

    return script


@pytest.mark.parametrize('failure', [Failure.CANCELLED, Failure.CALLER_GONE])
def test_response_of_cancelled_attempt_is_not_reused(
    upstream: UpstreamFactory, failure: Failure
) -> None:
    """A late response must not be read as that of the next request."""
    release = threading.Event()
    fake = upstream(late_first(release))
    pool = make_pool(fake)
    attempt = make_attempt(pool, 'first')
    attempt.send(make_request('first', b'first'))
    canceller = threading.Timer(0.05, attempt.cancel, (failure,))
    canceller.start()
    with pytest.raises(AttemptError) as caught:
        attempt.read_response()
    assert caught.value.failure is failure
    release.set()
    assert [run(pool, name) for name in 'abc'] == [b'a', b'b', b'c']
    assert (len(fake.connections), pool.open_count) == (2, 1)


def test_late_response_is_a_timeout(upstream: UpstreamFactory) -> None:
    """The connection of a response that timed out must not be reused."""
    release = threading.Event()
    pool = make_pool(upstream(late_first(release)))
    attempt = make_attempt(pool, 'first', limit_s=0.1)
    attempt.send(make_request('first'))
    with pytest.raises(AttemptError) as caught:
        attempt.read_response()
    assert caught.value.failure is Failure.TIMEOUT
    release.set()
    assert run(pool, 'a') == b'a'


def test_cancel_after_completion_keeps_the_connection(
    upstream: UpstreamFactory,
) -> None:
    """A late cancellation must not break the next user of a connection."""
    pool = make_pool(upstream())
    attempt = make_attempt(pool, 'a')
    attempt.send(make_request('a', b'a'))
    assert attempt.read_response().read_all() == b'a'
    conn = pool.acquire(WAIT_S)
    attempt.cancel(Failure.CANCELLED)
    assert conn.is_connected
    pool.release(conn)
    assert run(pool, 'b') == b'b'


def test_unsolicited_response_is_not_returned(
    upstream: UpstreamFactory,
) -> None:
    """An unsolicited second response must not be returned to a request."""

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        call.answer(call.body)
        if call.target == '/a':
            call.answer(b'stray')

    pool = make_pool(upstream(script))
    bodies = []
    for name in 'abcd':
        try:
            bodies.append(run(pool, name))
        except AttemptError as error:
            assert error.failure is Failure.WRONG_ATTEMPT
    assert b'stray' not in bodies
    assert bodies[0] == b'a'


def test_connection_limit(upstream: UpstreamFactory) -> None:
    """More connections than an upstream accepts must not be opened."""
    pool = make_pool(upstream(), connections=1)
    first = make_attempt(pool, 'a')
    first.send(make_request('a'))
    second = make_attempt(pool, 'b')
    with pytest.raises(AttemptError) as caught:
        second.send(make_request('b'))
    assert caught.value.failure is Failure.CONNECTION_REFUSED
    assert not second.is_sent
    first.read_response().read_all()
    assert run(pool, 'c') == b'c'


def test_error_before_first_byte_sends_nothing(
    upstream: UpstreamFactory,
) -> None:
    """No byte is sent when ``before_first_byte`` raises an error."""
    fake = upstream()

    def before_first_byte() -> None:
        raise AttemptError(Failure.CANCELLED)

    pool = make_pool(fake)
    attempt = make_attempt(pool, 'a', before_first_byte)
    with pytest.raises(AttemptError):
        attempt.send(make_request('a'))
    assert not attempt.is_sent
    assert run(pool, 'b') == b'b'
    assert [call.target for call in fake.requests] == ['/b']


HEAD = b'HTTP/1.1 200 OK\r\noriolearch-attempt: a\r\ncontent-length: 4\r\n\r\n'


@pytest.mark.parametrize('size', range(1, len(HEAD)))
def test_response_with_a_cut_head_is_an_error(
    upstream: UpstreamFactory, size: int
) -> None:
    """Guard against a 200 with an empty body that is framed as whole."""

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        call.sock.sendall(HEAD[:size])
        call.close()

    with pytest.raises(AttemptError):
        run(make_pool(upstream(script)), 'a')


@pytest.mark.parametrize('status', ['000', 600, 999])
def test_response_with_a_status_outside_the_protocol_is_an_error(
    upstream: UpstreamFactory, status: int
) -> None:
    """Guard against a status that no protocol defines as an answer."""

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        call.answer(b'ok', status)

    with pytest.raises(AttemptError):
        run(make_pool(upstream(script)), 'a')


def test_answer_without_a_length_to_an_unfinished_upload_is_an_error(
    upstream: UpstreamFactory,
) -> None:
    """Guard against a part of an answer that passes for a whole one.

    The server answers a long upload at once, ends its stream and resets the
    connection while the upload is still being sent.
    """

    def script(call: ReceivedRequest) -> None:
        call.sock.sendall(
            b'HTTP/1.1 200 OK\r\noriolearch-attempt: a\r\n\r\npart'
        )
        call.sock.shutdown(socket.SHUT_WR)
        time.sleep(0.05)
        call.reset()

    attempt = make_attempt(make_pool(upstream(script)), 'a')
    with pytest.raises(AttemptError):
        attempt.send(make_request('a', bytes(16 * 1024 * 1024)))
        attempt.read_response().read_all()


@pytest.mark.parametrize(
    'part',
    [b'HTTP/1.1 100 Continue\r\n\r\n', b'x-filler: %s\r\n' % (b'y' * 2000)],
    ids=['interim responses', 'header lines'],
)
def test_endless_head_is_an_error(
    upstream: UpstreamFactory, part: bytes
) -> None:
    """Guard against a thread that reads interim responses for ever.

    A head of 100 long lines took 6 MB for each request.
    """

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        with suppress(OSError):
            call.sock.sendall(b'HTTP/1.1 200 OK\r\n' if b'x' in part else b'')
            for _ in range(5000):
                call.sock.sendall(part)
        call.sock.close()

    pool = make_pool(upstream(script))
    with pytest.raises(AttemptError, match='too large'):
        run(pool, 'a')
