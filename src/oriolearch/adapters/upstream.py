"""Attempts: one sending of a request to one upstream, with urllib3.

An attempt is not sent until its first byte is handed to the connection; from
then on it may have run. The connection of an attempt that did not end with
its complete answer is closed and never used again.
"""

import queue
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPConnection as PlainConnection
from http.client import HTTPException, HTTPResponse
from typing import Any

from opentelemetry.trace import Span
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from oriolearch.adapters.framing import PIECE_BYTES
from oriolearch.addresses import split_address
from oriolearch.core.attempts import Failure
from oriolearch.core.errors import OriolearchError
from oriolearch.core.model import Upstream

ATTEMPT_HEADER = 'oriolearch-attempt'
NOT_RUN_HEADER = 'oriolearch-not-run'
NOT_RUN_STATUSES = frozenset((409, 421, 503))
FIRST_FINAL_STATUS = 200  # only 100 is skipped by http.client
MIN_TIMEOUT_S = 0.001  # a time-out of 0 would make a socket non-blocking

BROKEN = (HTTPError, HTTPException, OSError, ValueError)


class AttemptError(OriolearchError):
    """An attempt ended without a complete answer.

    :param failure: how it ended.
    """

    def __init__(self, failure: Failure, detail: str = '') -> None:
        super().__init__(f'{failure}: {detail}')
        self.failure = failure
        self.detail = detail


class AnsweredEarlyError(OriolearchError):
    """The upstream answered before it took the whole body."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Time limits of connections to upstreams, in seconds.

    :param idle_s: an unused connection is closed after this time; shorter
        than the keep-alive of common servers, because a request that meets
        the close of a reused connection may have run.
    :param stall_s: longest wait for the next piece of a body.
    """

    connect_s: float = 1.0
    idle_s: float = 4.0
    stall_s: float = 30.0


class UpstreamConnection(HTTPConnection):
    """A connection that reports the hand-over of the first byte.

    Requests and answers go through http.client directly: the conveniences
    of urllib3 around them took a fifth of the processor time of a request.
    """

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self.report: Callable[[], None] | None = None
        self.idle_since = 0.0

    def send(self, data: Any) -> None:
        """Send bytes of a request."""
        report = self.report
        if report is not None:
            self.report = None
            report()
        super().send(data)

    def send_order(self, order: 'Order', timeout_s: float) -> None:
        """Send a request; each wait is bounded by the time-out."""
        self.sock.settimeout(timeout_s)
        self.putrequest(
            order.method,
            order.target,
            skip_host=True,
            skip_accept_encoding=True,
        )
        for name, text in order.headers.items():
            PlainConnection.putheader(self, name, text)
        is_chunked = 'transfer-encoding' in order.headers
        self.endheaders(order.body, encode_chunked=is_chunked)

    def read_head(self, timeout_s: float) -> HTTPResponse:
        """Read the head of the answer; each wait is bounded."""
        self.sock.settimeout(timeout_s)
        return PlainConnection.getresponse(self)


class ConnectionPool:
    """The connections to one upstream, at most as many as it accepts."""

    def __init__(self, upstream: Upstream, limits: Limits) -> None:
        host, port = split_address(upstream.address)
        self.host = host
        self.port = port
        self.upstream = upstream
        self.limits = limits
        self.lock = threading.Lock()
        self.idle: list[UpstreamConnection] = []
        self.open_count = 0
        self.is_closed = False

    def take(self, timeout_s: float) -> UpstreamConnection:
        """Give a connected connection.

        :raises AttemptError: when there is none; nothing was sent.
        """
        while True:
            conn = self._pop()
            if conn is None:
                return self._connect(timeout_s)
            is_fresh = time.monotonic() - conn.idle_since < self.limits.idle_s
            if is_fresh and conn.is_connected:
                return conn
            self.drop(conn)

    def put_back(self, conn: UpstreamConnection) -> None:
        """Keep a connection whose last answer was read completely."""
        if conn.sock is None or self.is_closed:
            self.drop(conn)
            return
        conn.idle_since = time.monotonic()
        with self.lock:
            self.idle.append(conn)

    def drop(self, conn: UpstreamConnection) -> None:
        """Close a connection for good."""
        conn.close()
        with self.lock:
            self.open_count -= 1

    def reap(self) -> None:
        """Close the connections that were unused for too long."""
        oldest = time.monotonic() - self.limits.idle_s
        with self.lock:
            stale = [conn for conn in self.idle if conn.idle_since < oldest]
            self.idle = [conn for conn in self.idle if conn not in stale]
            self.open_count -= len(stale)
        for conn in stale:
            conn.close()

    def close(self) -> None:
        """Close the unused connections, and the others after their use."""
        self.is_closed = True
        with self.lock:
            idle = self.idle
            self.idle = []
            self.open_count -= len(idle)
        for conn in idle:
            conn.close()

    def _pop(self) -> UpstreamConnection | None:
        with self.lock:
            if self.idle:
                return self.idle.pop()
            if self.open_count >= self.upstream.connections:
                raise AttemptError(
                    Failure.CONNECTION_REFUSED,
                    f'all {self.open_count} connections are in use',
                )
            self.open_count += 1
        return None

    def _connect(self, timeout_s: float) -> UpstreamConnection:
        timeout = max(min(timeout_s, self.limits.connect_s), MIN_TIMEOUT_S)
        conn = UpstreamConnection(self.host, self.port, timeout=timeout)
        try:
            conn.connect()
        except BROKEN as error:
            self.drop(conn)
            raise AttemptError(
                Failure.CONNECTION_REFUSED,
                str(error),
            ) from error
        return conn


@dataclass(frozen=True, slots=True)
class Order:
    """What is sent to an upstream.

    :param body: bytes, or pieces of at most 64 KiB that are read only once.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | Iterable[bytes] | None


class Answer:
    """The head of an answer, and its body as it arrives.

    :ivar size: bytes of the body, ``None`` when unknown.
    :ivar fields: header fields in order.
    :ivar headers: the last value of each field, by lower-case name.
    """

    __slots__ = ('attempt', 'fields', 'headers', 'response', 'size', 'status')

    def __init__(self, attempt: 'RunningAttempt', found: HTTPResponse) -> None:
        self.attempt = attempt
        self.response = found
        self.status = found.status
        self.size = found.length
        self.fields = found.headers.items()
        self.headers = {name.lower(): text for name, text in self.fields}

    @property
    def is_not_run(self) -> bool:
        """Tell whether the upstream proves that the request did not run."""
        return (
            self.headers.get(NOT_RUN_HEADER) == '1'
            and self.status in NOT_RUN_STATUSES
        )

    @property
    def length(self) -> int | None:
        """Give the bytes of the body that are still to come, if known."""
        return self.response.length

    def read_all(self) -> bytes:
        """Read the whole body, before any of it is passed on.

        :raises AttemptError: when it is cut or late.
        """
        return b''.join(self.pieces())

    def pieces(self) -> Iterator[bytes]:
        """Give the body in pieces of at most 64 KiB.

        :raises AttemptError: when it is cut or late.
        """
        response = self.response
        while response.length != 0:
            try:
                piece = response.read1(PIECE_BYTES)
            except BROKEN as error:
                raise self.attempt.broken(error, Failure.CUT_ANSWER) from error
            if not piece:
                break
            yield piece
        if response.length:
            raise self.attempt.broken(None, Failure.CUT_ANSWER)
        response.close()
        self.attempt.complete()


class RunningAttempt:
    """One attempt; only :meth:`cancel` is for other threads.

    :param attempt_id: the upstream must echo it.
    :param deadline: monotonic time at which the answer must have begun;
        ``None`` while a body is sent without a time limit of its own.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        attempt_id: str,
        deadline: float,
        before_first_byte: Callable[[], object],
    ) -> None:
        self.pool = pool
        self.attempt_id = attempt_id
        self.deadline = deadline
        self.before_first_byte = before_first_byte
        self.connect_s = pool.limits.connect_s
        self.lock = threading.Lock()
        self.conn: UpstreamConnection | None = None
        self.sock: socket.socket | None = None
        self.cancelled: Failure | None = None
        self.is_sent = False
        self.is_whole = False
        self.span: Span | None = None

    def send(self, order: Order) -> None:
        """Connect and send the request.

        :raises AttemptError: when the connection failed.
        """
        conn = self._take()
        try:
            conn.send_order(
                order,
                min(self._remaining(), self.pool.limits.stall_s),
            )
        except AnsweredEarlyError:
            return
        except OriolearchError:
            self.abandon()
            raise
        except BROKEN as error:
            if not self._has_answer():
                raise self.broken(error, Failure.RESET) from error
            return
        self.is_whole = True

    def answer(self) -> Answer:
        """Read the head of the answer.

        :raises AttemptError: when there is none in time, or when it is the
            answer of another attempt.
        """
        conn = self.conn
        if conn is None or self.cancelled:
            raise self.broken(None, Failure.RESET)
        try:
            answer = Answer(self, conn.read_head(self._remaining()))
        except BROKEN as error:
            raise self.broken(error, Failure.RESET) from error
        is_folded = any('\n' in text for text in answer.headers.values())
        if is_folded or answer.status < FIRST_FINAL_STATUS:
            raise self.broken(None, Failure.CUT_ANSWER)
        if answer.headers.get(ATTEMPT_HEADER) != self.attempt_id:
            raise self.broken(None, Failure.WRONG_ATTEMPT)
        return answer

    def stream(self) -> None:
        """Bound the rest of the answer by the stall limit, not the deadline."""
        if self.sock is not None:
            self.sock.settimeout(self.pool.limits.stall_s)

    def has_early_answer(self) -> bool:
        """Tell whether bytes arrived while the body is being sent."""
        sock = self.sock
        return sock is not None and _is_readable(sock)

    def broken(
        self,
        error: Exception | None,
        failure: Failure,
    ) -> AttemptError:
        """Close the connection and give the error to raise."""
        if self.cancelled is not None:
            failure = self.cancelled
        elif isinstance(error, TimeoutError) or _is_timeout(error):
            failure = Failure.TIMEOUT
        self.abandon()
        return AttemptError(failure, str(error or failure))

    def abandon(self) -> None:
        """Close the connection, unless the attempt is complete."""
        conn = self._let_go()
        if conn is not None:
            self.pool.drop(conn)

    def complete(self) -> None:
        """Give the connection back after a complete answer."""
        if self.cancelled is not None or not self.is_whole:
            self.abandon()
            return
        conn = self._let_go()
        if conn is not None:
            self.pool.put_back(conn)

    def cancel(self, failure: Failure) -> None:
        """Break the connection, from any thread."""
        with self.lock:
            if self.cancelled is None:
                self.cancelled = failure
            if self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def _let_go(self) -> UpstreamConnection | None:
        """Keep :meth:`cancel` from the connection; give it."""
        with self.lock:
            conn = self.conn
            self.conn = None
            self.sock = None
        return conn

    def _take(self) -> UpstreamConnection:
        conn = self.pool.take(min(self._remaining(), self.connect_s))
        with self.lock:
            self.conn = conn
            self.sock = conn.sock
        if self.cancelled is not None:
            raise self.broken(None, self.cancelled)
        conn.report = self._report
        return conn

    def _report(self) -> None:
        self.before_first_byte()
        self.is_sent = True

    def _remaining(self) -> float:
        return max(self.deadline - time.monotonic(), MIN_TIMEOUT_S)

    def _has_answer(self) -> bool:
        """Tell whether a refusal can be read after a failed sending."""
        return self.cancelled is None and self.has_early_answer()


def _is_timeout(error: Exception | None) -> bool:
    cause = error.__cause__ or error.__context__ if error else None
    return isinstance(cause, TimeoutError)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def wait_any(
    attempts: list[RunningAttempt],
    timeout_s: float,
) -> RunningAttempt | None:
    """Give the first attempt with bytes to read, ``None`` after a time-out."""
    poll = select.poll()
    by_fd = {}
    for attempt in attempts:
        sock = attempt.sock
        if sock is None or sock.fileno() < 0:
            return attempt
        by_fd[sock.fileno()] = attempt
        poll.register(sock, select.POLLIN)
    for fd, _ in poll.poll(max(timeout_s, 0) * 1000):
        return by_fd[fd]
    return None


class Canceller:
    """Tells upstreams about cancelled attempts, best effort, on one thread."""

    queue_limit = 256
    timeout_s = 0.5

    def __init__(self) -> None:
        self.jobs: queue.Queue[tuple[ConnectionPool, str] | None]
        self.jobs = queue.Queue(self.queue_limit)
        self.thread = threading.Thread(
            target=self._run,
            name='cancel',
            daemon=True,
        )
        self.thread.start()

    def post(self, pool: ConnectionPool, attempt_id: str) -> None:
        """Cancel an attempt at its upstream; dropped when too many wait."""
        with suppress(queue.Full):
            self.jobs.put_nowait((pool, attempt_id))

    def stop(self) -> None:
        """End the thread after the jobs that wait."""
        self.jobs.put(None)
        self.thread.join(self.timeout_s * 2)

    def _run(self) -> None:
        job = self.jobs.get()
        while job is not None:
            with suppress(AttemptError, *BROKEN):
                self._cancel(*job)
            job = self.jobs.get()

    def _cancel(self, pool: ConnectionPool, attempt_id: str) -> None:
        conn = pool.take(self.timeout_s)
        headers = {'host': pool.upstream.address, 'content-length': '0'}
        order = Order('POST', f'/cancel/{attempt_id}', headers, None)
        try:
            conn.send_order(order, self.timeout_s)
            answer = conn.read_head(self.timeout_s)
            answer.read(PIECE_BYTES)
            is_whole = answer.isclosed()
        except BROKEN:
            is_whole = False
        if is_whole:
            pool.put_back(conn)
        else:
            pool.drop(conn)


class Upstreams:
    """The connection pools of all upstreams, by address."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.lock = threading.Lock()
        self.pools: dict[Upstream, ConnectionPool] = {}
        self.canceller = Canceller()

    def pool(self, upstream: Upstream) -> ConnectionPool:
        """Give the pool of an upstream."""
        pool = self.pools.get(upstream)
        if pool is None:
            with self.lock:
                pool = self.pools.get(upstream)
                if pool is None:
                    pool = ConnectionPool(upstream, self.limits)
                    self.pools[upstream] = pool
        return pool

    def keep(self, wanted: Iterable[Upstream]) -> None:
        """Close the connections to other upstreams, and those long unused."""
        kept = set(wanted)
        with self.lock:
            gone = [up for up in self.pools if up not in kept]
            pools = [self.pools.pop(up) for up in gone]
        for pool in pools:
            pool.close()
        for pool in tuple(self.pools.values()):
            pool.reap()

    def close(self) -> None:
        """Close all unused connections and end the cancellations."""
        self.keep(())
        self.canceller.stop()
