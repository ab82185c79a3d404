"""The loopback HTTP server of the stand-ins."""

import socket
import threading
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from oriolearch.adapters.admin import ApiServer
from oriolearch.adapters.callers import CallerLimits, CallerServer
from oriolearch.clock import RealClock, wait_on
from oriolearch.standins.platform import PlatformStandin
from oriolearch.standins.plain import PlainStandin
from oriolearch.standins.server import LoopbackServer, Response
from tests.conftest import TIMEOUT_S, Client, eventually

Connect = Callable[[Any], Client]

THREADS_PER_STANDIN = 4


def test_idle_standins_use_few_threads_and_leave_none() -> None:
    """Threads that outlive a stand-in would add up over a test run."""
    before = threading.active_count()
    standins = [PlainStandin() for _ in range(30)]
    for standin in standins:
        standin.start()
    assert threading.active_count() <= before + 30 * THREADS_PER_STANDIN
    for standin in standins:
        standin.stop()
    assert threading.active_count() == before


def test_restart_keeps_the_port(connect: Connect) -> None:
    """A restarted server must keep its address."""
    platform = PlatformStandin()
    http = connect(platform)
    http.call('PUT', '/objects/x', b'1')
    address = platform.address
    platform.stop()
    assert http.call('GET', '/objects/x')[0] == 0
    platform.start()
    assert platform.address == address
    assert http.call('GET', '/objects/x')[2] == b'1'


def test_control_calls_are_answered_during_a_freeze(connect: Connect) -> None:
    """Frozen requests must leave a thread for the call that ends the freeze."""
    standin = PlainStandin()
    http = connect(standin)
    http.call('POST', '/faults', {'freeze': True})
    answers = [http.call_in_thread('GET', '/f') for _ in range(30)]
    eventually(lambda: standin.counts['held'] == 30)
    assert http.call('POST', '/faults', {'resume': True})[0] == 200
    assert {answer()[0] for answer in answers} == {200}
    assert standin.counts['runs'] == 30


def raw(http: Client, head: bytes) -> socket.socket:
    host, port = http.address.split(':')
    sock = socket.create_connection((host, int(port)), TIMEOUT_S)
    sock.sendall(head)
    return sock


def test_broken_upload_does_not_run(connect: Connect) -> None:
    """An incomplete upload must not run."""
    standin = PlainStandin()
    http = connect(standin)
    half = b'PUT /f HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf'
    with raw(http, half) as sock:
        sock.shutdown(socket.SHUT_WR)
        assert not sock.recv(1)
    assert not standin.counts['runs']


def test_stop_aborts_answers_to_slow_readers(connect: Connect) -> None:
    """A stop must abort an answer that the client is still reading."""
    standin = PlainStandin()
    size = 50_000_000
    head = f'GET /f?bytes={size} HTTP/1.1\r\n\r\n'.encode()
    with raw(connect(standin), head) as sock:
        eventually(lambda: standin.counts['finished'])
        stopping = threading.Thread(target=standin.stop)
        stopping.start()
        stopping.join(TIMEOUT_S)
        assert not stopping.is_alive()
        received = sum(map(len, iter(lambda: sock.recv(65536), b'')))
    assert received < size


def test_real_clock_with_another_rate() -> None:
    """Waits on a clock that runs fast must be shorter in real time."""
    clock = RealClock(rate=1000, offset_s=5)
    until = clock.monotonic() + 60
    condition = threading.Condition()
    with condition:
        while clock.monotonic() < until:
            wait_on(clock, condition, until)
    assert clock.monotonic() - until < 60 * 1000


def make_stand_in_server() -> Any:
    """Return the server of a stand-in, stopped."""
    loopback = LoopbackServer(lambda request: Response(200))
    loopback.start()
    server = loopback.server
    loopback.stop()
    return server


def make_caller_server() -> Any:
    """Return the server for connections of callers, which is not started."""
    return CallerServer(
        ('127.0.0.1', 0),
        CallerLimits(threads=1),
        lambda request: None,
        lambda request, error: None,
        lambda: None,
    )


def make_api_server() -> Any:
    """Return the server of the administration API, which is not started."""
    return ApiServer(('127.0.0.1', 0), lambda environ, start: [])


@pytest.mark.parametrize(
    'make', [make_stand_in_server, make_caller_server, make_api_server]
)
def test_answer_that_ends_with_the_stop_closes_its_connection(
    make: Callable[[], Any],
) -> None:
    """Guard against an error in a thread that answers during a stop.

    Fourteen of thirty threads that had just answered found the selector of
    the stopped server closed (CI beside plays, once).
    """
    closed: list[object] = []
    conn: Any = SimpleNamespace(
        close=lambda: closed.append(conn), unfinished=None, request=None
    )

    def put(conn: object) -> None:
        raise ValueError('I/O operation on closed epoll object')

    server = make()
    server.ready = True  # at the time of cheroot's check
    server._connections = SimpleNamespace(put=put)
    server.put_conn(conn)
    assert closed == [conn]
