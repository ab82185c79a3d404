"""Tests of the entry over real sockets."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from http.client import HTTPConnection

import pytest

from oriolearch.adapters.callers import CallerLimits
from oriolearch.adapters.exchange import Exchange, ServerClockReading
from oriolearch.core.model import Fencing
from tests.conftest import StartedEntry
from tests.entries import WAIT_S, Result, call, make_view, wait_until
from tests.upstreams import FakeUpstream, ReceivedRequest, Script, echo

UpstreamFactory = Callable[..., FakeUpstream]
Start = Callable[..., StartedEntry]


def never_answer(call: ReceivedRequest) -> None:
    """Run the request and never answer."""
    call.read_body()
    call.stream.read(1)  # blocks until the connection is closed


def test_requests_reach_their_pools(
    upstream: UpstreamFactory, start: Start
) -> None:
    """A request must reach the pool of its route, with epoch and deadline."""
    plain, keyed = upstream(), upstream()
    _, address = start(make_view((plain.address,), (keyed.address,)))
    for path, fake in (('/files/a', plain), ('/orders/k1', keyed)):
        assert call(address, 'POST', path, b'sent').body == b'sent'
        assert fake.requests[-1].target == path
    sent = keyed.requests[-1].headers
    assert sent['oriolearch-epoch'] == '1'
    assert 0 < int(sent['oriolearch-deadline-ms']) <= 10000


def test_hop_by_hop_fields_are_not_forwarded(
    upstream: UpstreamFactory, start: Start
) -> None:
    """Hop-by-hop fields and fields of the router must not be forwarded.

    A caller could otherwise forge the epoch of its request.
    """

    def script(call: ReceivedRequest) -> None:
        call.answer(b'', connection='x-c', x_c='1', x_d='2', keep_alive='5')

    fake = upstream(script)
    _, address = start(make_view((fake.address,)))
    conn = HTTPConnection(*address, timeout=WAIT_S)
    conn.request(
        'GET',
        '/files/a',
        headers={
            'Connection': 'X-A',
            'X-A': '1',
            'X-B': '2',
            'Oriolearch-Epoch': '9',
            'Proxy-Authorization': 'x',
        },
    )
    answered = {name.lower() for name, _ in conn.getresponse().getheaders()}
    conn.close()
    sent = fake.requests[0].headers.keys()
    assert {'x-b', 'x-forwarded-for', 'host'} <= sent
    assert not {'x-a', 'oriolearch-epoch', 'proxy-authorization'} & sent
    assert 'x-d' in answered
    assert not {'x-c', 'keep-alive', 'oriolearch-attempt'} & answered


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'status'),
    [
        ('GET', '/nowhere', {}, 404),
        ('GET', '/orders', {}, 400),
        ('GET', '/files/../orders/k', {}, 400),
        ('GET', '/files/%2e%2e/orders/k', {}, 400),
        ('GET', '/files/a', {'oriolearch-timeout-ms': '-1'}, 400),
        ('GET', '/oriolearch/other', {}, 404),
    ],
)
def test_refusals_are_problems_and_not_run(
    upstream: UpstreamFactory,
    start: Start,
    method: str,
    path: str,
    headers: dict[str, str],
    status: int,
) -> None:
    """A request that cannot be routed must be refused as not run."""
    fake = upstream()
    _, address = start(make_view((fake.address,), (fake.address,)))
    result = call(address, method, path, headers=headers)
    assert (result.status, result.outcome) == (status, 'not-run')
    assert b'urn:oriolearch:problem:' in result.body
    assert not fake.requests


def test_duplicate_idempotency_key(
    upstream: UpstreamFactory, start: Start
) -> None:
    """A duplicate of a running request must not run concurrently with it."""
    release = threading.Event()

    def script(call: ReceivedRequest) -> None:
        release.wait(WAIT_S)
        call.answer(b'first')

    fake = upstream(script)
    _, address = start(make_view((fake.address,)))
    headers = {'Idempotency-Key': 'x'}
    results: list[Result] = []
    first = threading.Thread(
        target=lambda: results.append(
            call(address, 'POST', '/files/a', b'', headers)
        )
    )
    first.start()
    wait_until(lambda: fake.requests)
    second = call(address, 'POST', '/files/a', b'', headers)
    assert (second.status, second.outcome) == (409, 'not-run')
    release.set()
    first.join(WAIT_S)
    assert results[0].body == b'first'
    assert call(address, 'POST', '/files/a', b'', headers).status == 200


LONG_BODY = b'x' * 300000  # is sent in several pieces


@pytest.mark.parametrize('body', [b'short', LONG_BODY])
def test_idempotency_key_is_free_once_the_answer_has_arrived(
    upstream: UpstreamFactory,
    start: Start,
    body: bytes,
) -> None:
    """A caller's next request must not be refused as a duplicate.

    The key was released only after the whole answer had been sent, so that
    the next request could arrive before that.
    """
    fake = upstream(lambda call: call.answer(body))
    entry, address = start(make_view((fake.address,)))
    close_exchange = entry._close_exchange

    def close_late(exchange: Exchange, outcome: str) -> None:
        time.sleep(0.05)
        close_exchange(exchange, outcome)

    entry._close_exchange = close_late  # type: ignore[method-assign]
    headers = {'Idempotency-Key': 'x'}
    results = [
        call(address, 'POST', '/files/a', b'', headers) for _ in range(3)
    ]
    assert {result.status for result in results} == {200}
    assert results[-1].body == body


def test_late_close_keeps_the_claim_of_the_next_request() -> None:
    """The end of a request must not release a key that is claimed again."""
    claims = {('plain', 'x')}
    exchange = Exchange.__new__(Exchange)
    exchange.claimed_keys = claims
    exchange.idempotency_key = ('plain', 'x')
    exchange.release_idempotency_key()
    claims.add(('plain', 'x'))
    exchange.release_idempotency_key()
    assert claims


def refuse_as_not_owner(call: ReceivedRequest) -> None:
    """Refuse as a server does that does not own the key."""
    call.read_body()
    call.answer(b'', 421, oriolearch_not_run='1')


def test_moved_key_runs_once_at_new_owner(
    upstream: UpstreamFactory, start: Start
) -> None:
    """A request refused with "not owner" must run once, at the new owner."""
    old, new = upstream(refuse_as_not_owner), upstream()
    addresses = (old.address, new.address)
    entry, address = start(make_view((), addresses), owner_wait_s=WAIT_S)
    results: list[Result] = []
    caller = threading.Thread(
        target=lambda: results.append(call(address, 'POST', '/orders/k', b'x'))
    )
    caller.start()
    wait_until(lambda: old.requests)
    entry.published.publish(make_view((), addresses, 'k1', 2))
    caller.join(WAIT_S)
    assert (results[0].status, results[0].body) == (200, b'x')
    assert [call.body for call in new.requests] == [b'x']
    assert new.requests[0].headers['oriolearch-epoch'] == '2'


def test_key_without_owner_is_refused(
    upstream: UpstreamFactory, start: Start
) -> None:
    """A request refused for lack of an owner must be reported as not run."""
    fake = upstream(refuse_as_not_owner)
    _, address = start(make_view((), (fake.address,)))
    result = call(address, 'POST', '/orders/k', b'x')
    assert (result.status, result.outcome) == (503, 'not-run')
    assert result.retry_after == '1'


@pytest.mark.parametrize(
    ('permit_s', 'has_clock', 'is_sent'),
    [(WAIT_S, True, True), (-1, True, False), (WAIT_S, False, False)],
    ids=['permitted', 'permit ended', 'clock unknown'],
)
def test_orders_to_pool_without_fencing(
    upstream: UpstreamFactory,
    start: Start,
    permit_s: float,
    has_clock: bool,
    is_sent: bool,
) -> None:
    """Orders must not be sent without a permit and a clock reading.

    A server without fencing could otherwise run the order while a new owner
    serves the key.
    """
    fake = upstream()
    now = time.monotonic()
    view = make_view(
        (), (fake.address,), permit_end=now + permit_s, fencing=Fencing.NONE
    )
    clocks = {'k0': ServerClockReading(5000, now)} if has_clock else {}
    _, address = start(view, clocks=clocks)
    result = call(address, 'POST', '/orders/k', b'x')
    if is_sent:
        limit = float(fake.requests[0].headers['oriolearch-deadline-clock'])
        longest = 5000 + time.monotonic() - now + 1
        assert 5000 < limit <= longest
        assert result.status == 200
    else:
        assert (result.status, result.outcome) == (503, 'not-run')
        assert not fake.requests


def test_disconnected_caller_cancels_attempt(
    upstream: UpstreamFactory, start: Start
) -> None:
    """The attempt of a disconnected caller must be cancelled upstream."""
    fake = upstream(never_answer)
    entry, address = start(make_view((fake.address,)))
    with socket.create_connection(address) as sock:
        sock.sendall(b'POST /files/a HTTP/1.1\r\nhost: x\r\n\r\n')
        wait_until(lambda: fake.requests)
    attempt = fake.requests[0].headers['oriolearch-attempt']
    wait_until(lambda: fake.cancelled == [attempt])
    wait_until(lambda: not entry.exchanges)
    assert not any(entry.outstanding().values())


class FirstRequestFault:
    """Applies a fault to the first request and serves later ones normally."""

    def __init__(self, fault: Script) -> None:
        self.fault = fault
        self.lock = threading.Lock()
        self.calls = 0

    def __call__(self, call: ReceivedRequest) -> None:
        """Serve a request."""
        with self.lock:
            self.calls += 1
            is_first = self.calls == 1
        (self.fault if is_first else echo)(call)


def reset_unread(call: ReceivedRequest) -> None:
    """Reset the connection before the body is read."""
    call.reset()


def reset_during(call: ReceivedRequest) -> None:
    """Reset the connection while the body is being sent."""
    call.stream.read(100000)
    call.reset()


def close_unanswered(call: ReceivedRequest) -> None:
    """Run the request and close the connection without an answer."""
    call.read_body()
    call.close()


def cut_answer(call: ReceivedRequest) -> None:
    """Run the request and close the connection during a short answer."""
    call.read_body()
    call.answer(b'x' * 100, cut=50)
    call.close()


def cut_large_answer(call: ReceivedRequest) -> None:
    """Run the request and close the connection during a streamed answer."""
    call.read_body()
    call.answer(b'x' * 200000, cut=150000)
    call.close()


def cut_head(call: ReceivedRequest) -> None:
    """Run the request and close the connection within the answer's head."""
    call.read_body()
    call.sock.sendall(b'HTTP/1.1 200 OK\r\nconte')
    call.close()


def shed(call: ReceivedRequest) -> None:
    """Shed the request, with the proof that it did not run."""
    call.answer(b'busy', 503, oriolearch_not_run='1')


def wrong_attempt(call: ReceivedRequest) -> None:
    """Answer with the id of another attempt."""
    call.read_body()
    call.answer(b'of another caller', attempt='other')


def no_attempt(call: ReceivedRequest) -> None:
    """Answer without the id of the attempt."""
    call.read_body()
    call.answer(b'of another caller', attempt=' ')


OK = (200, None)
UNKNOWN = (502, 'unknown')
FAULTS = [
    # fault; result and runs of an idempotent request; of any other one
    (reset_unread, OK, 1, UNKNOWN, 0),
    (reset_during, UNKNOWN, 0, UNKNOWN, 0),
    (close_unanswered, OK, 2, UNKNOWN, 1),
    (cut_head, OK, 2, UNKNOWN, 1),
    (cut_answer, OK, 2, UNKNOWN, 1),
    (cut_large_answer, (0, None), 1, (0, None), 1),
    (shed, OK, 1, OK, 1),
    (wrong_attempt, OK, 2, UNKNOWN, 1),
    (no_attempt, OK, 2, UNKNOWN, 1),
]


def fault_cases() -> Iterator[object]:
    """Yield each fault for an idempotent and for another request."""
    for fault, safe, safe_runs, unsafe, unsafe_runs in FAULTS:
        name = fault.__name__
        yield pytest.param('GET', fault, safe, safe_runs, id=f'{name}-GET')
        yield pytest.param(
            'POST', fault, unsafe, unsafe_runs, id=f'{name}-POST'
        )


@pytest.mark.parametrize(
    ('method', 'fault', 'expected', 'runs'), tuple(fault_cases())
)
def test_broken_connection(
    upstream: UpstreamFactory,
    start: Start,
    method: str,
    fault: Script,
    expected: tuple[int, str | None],
    runs: int,
) -> None:
    """A fault must not yield a wrong answer, nor run an order twice.

    Only idempotent requests may be sent again after they may have run.
    """
    first_request_fault = FirstRequestFault(fault)
    fakes = [upstream(first_request_fault) for _ in range(2)]
    _, address = start(make_view(tuple(fake.address for fake in fakes)))
    body = b'work' * (1_000_000 if fault is reset_during else 1)
    result = call(address, method, '/files/a', body)
    run_count = sum(
        call.is_complete for fake in fakes for call in fake.requests
    )
    assert ((result.status, result.outcome), run_count) == (expected, runs)
    assert result.status != 200 or result.body == body


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_refused_connection(
    upstream: UpstreamFactory, start: Start, method: str
) -> None:
    """A request must be retried elsewhere when the connection is refused.

    A refused connection proves that the request was not sent.
    """
    closed, fake = upstream(), upstream()
    closed.close()
    _, address = start(make_view((closed.address, fake.address)))
    results = [call(address, method, '/files/a', b'work') for _ in range(2)]
    assert [result.status for result in results] == [200, 200]
    assert len(fake.requests) == 2


def test_no_upstream_left(upstream: UpstreamFactory, start: Start) -> None:
    """A request that was never sent must be refused as not run."""
    closed = upstream()
    closed.close()
    _, address = start(make_view((closed.address,)))
    headers = {'oriolearch-timeout-ms': '300'}
    result = call(address, 'POST', '/files/a', b'work', headers)
    assert (result.status >= 502, result.outcome) == (True, 'not-run')


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_late_answer(
    upstream: UpstreamFactory, start: Start, method: str
) -> None:
    """At the deadline the outcome must be unknown, the attempt cancelled."""
    fake = upstream(never_answer)
    _, address = start(make_view((fake.address,)))
    headers = {'oriolearch-timeout-ms': '200'}
    result = call(address, method, '/files/a', b'work', headers)
    assert (result.status, result.outcome) == (504, 'unknown')
    assert len(fake.requests) == 1
    assert int(fake.requests[0].headers['oriolearch-deadline-ms']) <= 200
    wait_until(lambda: fake.cancelled)


@pytest.mark.parametrize(
    ('method', 'expected'), [('GET', OK), ('POST', UNKNOWN)]
)
def test_reused_connection_closed(
    upstream: UpstreamFactory,
    start: Start,
    method: str,
    expected: tuple[int, str | None],
) -> None:
    """The close of a reused connection must not count as "not run"."""
    first: list[socket.socket] = []

    def script(call: ReceivedRequest) -> None:
        if first and call.sock is first[0]:
            call.close()
            return
        first.append(call.sock)
        echo(call)

    fake = upstream(script)
    _, address = start(make_view((fake.address, fake.address)))
    assert call(address, 'POST', '/files/a', b'1').status == 200
    results = [call(address, method, '/files/a', b'2') for _ in range(2)]
    assert expected in {(result.status, result.outcome) for result in results}


def test_stalled_callers_do_not_block_small_requests(
    upstream: UpstreamFactory, start: Start
) -> None:
    """Stalled uploads and heads must not occupy the request threads."""
    fake = upstream()
    limits = CallerLimits(threads=2, upload_threads=2, upload_queue=1)
    _, address = start(make_view((fake.address,)), callers=limits)
    upload = b'POST /files/a HTTP/1.1\r\nhost: x\r\ncontent-length: 999999\r\n'
    small = b'POST /files/a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n'
    stalled = []
    for part in (upload + b'\r\n', upload[:20], small, b'GET'):
        for _ in range(3):
            stalled.append(socket.create_connection(address))
            stalled[-1].sendall(part)
    wait_until(lambda: len(fake.requests) == 2)
    for number in range(20):
        body = str(number).encode()
        assert call(address, 'POST', '/files/b', body).body == body
    refused = call(address, 'POST', '/files/a', b'x' * 100000)
    assert (refused.status, refused.outcome) == (503, 'not-run')
    for sock in stalled:
        sock.close()


def test_slow_head_is_bounded(upstream: UpstreamFactory, start: Start) -> None:
    """A caller that sends byte by byte must not keep a connection open."""
    limits = CallerLimits(receive_s=0.2)
    _, address = start(make_view((upstream().address,)), callers=limits)
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        answer = b''
        while not answer:
            sock.sendall(b'G')
            sock.settimeout(0.05)
            try:
                answer = sock.recv(100)
            except TimeoutError:
                continue
        assert answer.startswith(b'HTTP/1.1 408')


def test_slow_upload_is_bounded(
    upstream: UpstreamFactory, start: Start
) -> None:
    """An upload of a few bytes a second must not occupy its thread."""
    fake = upstream()
    limits = CallerLimits(stall_s=0.3)
    entry, address = start(make_view((fake.address,)), callers=limits)
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        sock.sendall(
            b'PUT /files/a HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n'
        )
        wait_until(lambda: entry.exchanges)
        while entry.exchanges:
            with suppress(OSError):
                sock.sendall(b'x')
            time.sleep(0.02)
    assert not any(call.is_complete for call in fake.requests)


def test_slow_downloads_do_not_block_small_requests(
    upstream: UpstreamFactory, start: Start
) -> None:
    """Callers that read slowly must not occupy the request threads."""

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        call.answer(b'x' * (1 if call.body else 30_000_000))

    fake = upstream(script)
    limits = CallerLimits(threads=1, download_threads=3)
    entry, address = start(make_view((fake.address,)), callers=limits)
    slow = [socket.create_connection(address) for _ in range(3)]
    for sock in slow:
        sock.sendall(b'GET /files/a HTTP/1.1\r\nhost: x\r\n\r\n')
    wait_until(
        lambda: (
            len(entry.exchanges) == 3
            and all(
                exchange.is_streaming for exchange in entry.exchanges.values()
            )
        )
    )
    assert call(address, 'POST', '/files/b', b'small').body == b'x'
    assert len(entry.exchanges) >= 3
    for sock in slow:
        sock.close()


def test_early_answer_ends_an_upload(
    upstream: UpstreamFactory, start: Start
) -> None:
    """A refusal by the upstream must reach a caller that is still sending."""
    fake = upstream(lambda call: call.answer(b'too large', 413))
    _, address = start(make_view((fake.address,)))
    result = call(address, 'POST', '/files/a', b'x' * 5_000_000)
    assert (result.status, result.body) == (413, b'too large')


@pytest.mark.parametrize(
    ('method', 'is_upload'), [('POST', True), ('POST', False), ('GET', False)]
)
def test_graceful_shutdown(
    upstream: UpstreamFactory, start: Start, method: str, is_upload: bool
) -> None:
    """A graceful shutdown must not interrupt running requests or uploads."""
    release = threading.Event()

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        release.wait(WAIT_S)
        call.answer(str(len(call.body)).encode())

    fake = upstream(script)
    entry, address = start(make_view((fake.address,)))
    size = 200000 if is_upload else 2
    conn = HTTPConnection(*address, timeout=WAIT_S)
    conn.putrequest(method, '/files/a')
    conn.putheader('content-length', str(size))
    conn.endheaders()
    conn.send(b'x' * (size // 2 if is_upload else size))
    wait_until(lambda: fake.requests)
    assert call(address, 'GET', '/oriolearch/ready').status == 200
    drain = threading.Thread(target=entry.drain, args=(0.5, WAIT_S))
    drain.start()
    wait_until(lambda: entry.server.is_draining)
    assert call(address, 'GET', '/oriolearch/ready').status == 503
    wait_until(lambda: not entry.server.ready)
    if is_upload:
        conn.send(b'x' * (size // 2))
    release.set()
    response = conn.getresponse()
    assert (response.status, response.read()) == (200, str(size).encode())
    assert len(fake.requests) == 1
    drain.join(WAIT_S)
    assert not drain.is_alive()
    assert call(address, 'GET', '/oriolearch/ready').status == 0


def test_shutdown_is_bounded(upstream: UpstreamFactory, start: Start) -> None:
    """A request that never ends must not block the shutdown of a host."""
    fake = upstream(never_answer)
    entry, address = start(make_view((fake.address,)))
    with socket.create_connection(address) as sock:
        sock.sendall(b'POST /files/a HTTP/1.1\r\nhost: x\r\n\r\n')
        wait_until(lambda: fake.requests)
        drain = threading.Thread(target=entry.drain, args=(0, 0.1))
        drain.start()
        drain.join(WAIT_S)
        assert not drain.is_alive()
