"""Attempts to send a request to one upstream, over urllib3 connections.

An attempt counts as sent once its first byte is passed to the connection;
after that the upstream may have run the request. Unless the complete response
was read, the connection of the attempt is closed and not reused.
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
from urllib3.exceptions import HTTPError

from oriolearch.adapters.framing import PIECE_BYTES
from oriolearch.adapters.heads import WholeHeadConnection
from oriolearch.addresses import split_address
from oriolearch.core.attempts import Failure
from oriolearch.core.errors import OriolearchError
from oriolearch.core.model import Upstream

ATTEMPT_HEADER = 'oriolearch-attempt'
NOT_RUN_HEADER = 'oriolearch-not-run'
NOT_RUN_STATUSES = frozenset((409, 421, 503))
FIRST_FINAL_STATUS = 200  # http.client skips 100, but not 102 or 103
MIN_TIMEOUT_S = 0.001  # a timeout of 0 makes a socket non-blocking

CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class AttemptError(OriolearchError):
    """An attempt ended without a complete response.

    :param failure: kind of the failure.
    """

    def __init__(self, failure: Failure, detail: str = '') -> None:
        super().__init__(f'{failure}: {detail}')
        self.failure = failure
        self.detail = detail


class AnsweredEarlyError(OriolearchError):
    """The upstream responded before it received the whole body."""


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Time limits of connections to upstreams, in seconds.

    :param idle_s: time after which an idle connection is closed. It is
        shorter than the keep-alive timeout of common servers: when a server
        closes a reused connection during a request, the request may have run.
    :param stall_s: longest wait for the next piece of a body.
    """

    connect_s: float = 1.0
    idle_s: float = 4.0
    stall_s: float = 30.0


class UpstreamConnection(WholeHeadConnection):
    """A connection with a callback before the first byte of a request.

    Requests and responses use http.client directly, because the request
    and response wrappers of urllib3 took a fifth of the CPU time of a request.

    :ivar on_first_byte: callback before the first byte is sent; runs once.
    """

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self.on_first_byte: Callable[[], None] | None = None
        self.idle_since = 0.0

    def send(self, data: Any) -> None:
        """Send bytes of a request, after the first-byte callback."""
        on_first_byte = self.on_first_byte
        if on_first_byte is not None:
            self.on_first_byte = None
            on_first_byte()
        super().send(data)

    def send_request(
        self, request: 'OutgoingRequest', timeout_s: float
    ) -> None:
        """Send a request; ``timeout_s`` limits each blocking socket call."""
        self.sock.settimeout(timeout_s)
        self.putrequest(
            request.method,
            request.target,
            skip_host=True,
            skip_accept_encoding=True,
        )
        for name, text in request.headers.items():
            PlainConnection.putheader(self, name, text)
        is_chunked = 'transfer-encoding' in request.headers
        self.endheaders(request.body, encode_chunked=is_chunked)

    def read_head(self, timeout_s: float) -> HTTPResponse:
        """Read status and headers; ``timeout_s`` limits each socket read."""
        self.sock.settimeout(timeout_s)
        return PlainConnection.getresponse(self)


class ConnectionPool:
    """Connections to one upstream, up to its connection limit."""

    def __init__(self, upstream: Upstream, limits: UpstreamTimeouts) -> None:
        host, port = split_address(upstream.address)
        self.host = host
        self.port = port
        self.upstream = upstream
        self.limits = limits
        self.lock = threading.Lock()
        self.idle: list[UpstreamConnection] = []
        self.open_count = 0
        self.is_closed = False

    def acquire(self, timeout_s: float) -> UpstreamConnection:
        """Return an idle connection, or open one.

        :raises AttemptError: at the connection limit, or when connecting
            fails; nothing was sent.
        """
        while True:
            conn = self._pop_idle()
            if conn is None:
                return self._connect(timeout_s)
            is_fresh = time.monotonic() - conn.idle_since < self.limits.idle_s
            if is_fresh and conn.is_connected:
                return conn
            self.discard(conn)

    def release(self, conn: UpstreamConnection) -> None:
        """Return a connection to the pool once its response is complete."""
        if conn.sock is None or self.is_closed:
            self.discard(conn)
            return
        conn.idle_since = time.monotonic()
        with self.lock:
            self.idle.append(conn)

    def discard(self, conn: UpstreamConnection) -> None:
        """Close a connection and free its slot in the pool."""
        conn.close()
        with self.lock:
            self.open_count -= 1

    def close_expired(self) -> None:
        """Close connections that were idle for longer than ``idle_s``."""
        oldest = time.monotonic() - self.limits.idle_s
        with self.lock:
            stale = [conn for conn in self.idle if conn.idle_since < oldest]
            self.idle = [conn for conn in self.idle if conn not in stale]
            self.open_count -= len(stale)
        for conn in stale:
            conn.close()

    def close(self) -> None:
        """Close idle connections now, and busy ones when released."""
        self.is_closed = True
        with self.lock:
            idle = self.idle
            self.idle = []
            self.open_count -= len(idle)
        for conn in idle:
            conn.close()

    def _pop_idle(self) -> UpstreamConnection | None:
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
        except CONNECTION_ERRORS as error:
            self.discard(conn)
            raise AttemptError(
                Failure.CONNECTION_REFUSED,
                str(error),
            ) from error
        return conn


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to an upstream.

    :param body: bytes, or an iterable of pieces of at most 64 KiB, which is
        consumed only once.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | Iterable[bytes] | None


class UpstreamResponse:
    """A response whose body is read as it arrives.

    :ivar size: bytes of the body, ``None`` when unknown.
    :ivar fields: header fields in order.
    :ivar headers: the last value of each field, by lower-case name.
    """

    __slots__ = ('attempt', 'fields', 'headers', 'response', 'size', 'status')

    def __init__(
        self,
        attempt: 'RunningAttempt',
        response: HTTPResponse,
    ) -> None:
        self.attempt = attempt
        self.response = response
        self.status = response.status
        self.size = response.length
        self.fields = response.headers.items()
        self.headers = {name.lower(): text for name, text in self.fields}

    @property
    def is_not_run(self) -> bool:
        """Return whether the upstream states that the request did not run."""
        return (
            self.headers.get(NOT_RUN_HEADER) == '1'
            and self.status in NOT_RUN_STATUSES
        )

    @property
    def length(self) -> int | None:
        """Return the number of unread body bytes, ``None`` when unknown."""
        return self.response.length

    def read_all(self) -> bytes:
        """Read the whole body into memory.

        :raises AttemptError: when it is truncated or times out.
        """
        return b''.join(self.pieces())

    def pieces(self) -> Iterator[bytes]:
        """Yield the body in pieces of at most 64 KiB.

        :raises AttemptError: when it is truncated or times out.
        """
        response = self.response
        while response.length != 0:
            try:
                piece = response.read1(PIECE_BYTES)
            except CONNECTION_ERRORS as error:
                raise self.attempt.close_with_error(
                    error, Failure.CUT_ANSWER
                ) from error
            if not piece:
                break
            yield piece
        has_uncertain_end = response.length is None and not response.chunked
        if response.length or (
            has_uncertain_end and not self.attempt.is_fully_sent
        ):
            raise self.attempt.close_with_error(None, Failure.CUT_ANSWER)
        response.close()
        self.attempt.complete()


class RunningAttempt:
    """One attempt; only :meth:`cancel` may be called by other threads.

    :param attempt_id: sent to the upstream, which must echo it.
    :param deadline: monotonic time by which the response must begin.
    :param before_first_byte: called before anything is sent; an exception
        from it prevents the sending.
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
        self.cancel_failure: Failure | None = None
        self.is_sent = False
        self.is_fully_sent = False
        self.span: Span | None = None

    def send(self, request: OutgoingRequest) -> None:
        """Connect and send the request.

        Return without an error when the upstream responds before it received
        the whole body.

        :raises AttemptError: when the connection failed.
        """
        conn = self._acquire_connection()
        try:
            conn.send_request(
                request,
                min(self._remaining_s(), self.pool.limits.stall_s),
            )
        except AnsweredEarlyError:
            return
        except OriolearchError:
            self.abandon()
            raise
        except CONNECTION_ERRORS as error:
            if not self._has_answer():
                raise self.close_with_error(error, Failure.RESET) from error
            return
        self.is_fully_sent = True

    def read_response(self) -> UpstreamResponse:
        """Read status and headers of the response.

        :raises AttemptError: when they are malformed or time out, or when
            they belong to another attempt.
        """
        conn = self.conn
        if conn is None or self.cancel_failure:
            raise self.close_with_error(None, Failure.RESET)
        try:
            answer = UpstreamResponse(self, conn.read_head(self._remaining_s()))
        except CONNECTION_ERRORS as error:
            raise self.close_with_error(error, Failure.RESET) from error
        is_folded = any('\n' in text for text in answer.headers.values())
        if is_folded or answer.status < FIRST_FINAL_STATUS:
            raise self.close_with_error(None, Failure.CUT_ANSWER)
        if answer.headers.get(ATTEMPT_HEADER) != self.attempt_id:
            raise self.close_with_error(None, Failure.WRONG_ATTEMPT)
        return answer

    def use_stall_timeout(self) -> None:
        """Limit reads of the body by the stall timeout, not the deadline."""
        if self.sock is not None:
            self.sock.settimeout(self.pool.limits.stall_s)

    def has_early_response(self) -> bool:
        """Return whether response bytes arrived while sending the body."""
        sock = self.sock
        return sock is not None and _is_readable(sock)

    def close_with_error(
        self,
        error: Exception | None,
        failure: Failure,
    ) -> AttemptError:
        """Close the connection and return the error to raise."""
        if self.cancel_failure is not None:
            failure = self.cancel_failure
        elif isinstance(error, TimeoutError) or _is_timeout(error):
            failure = Failure.TIMEOUT
        self.abandon()
        return AttemptError(failure, str(error or failure))

    def abandon(self) -> None:
        """Close the connection, unless :meth:`complete` released it."""
        conn = self._detach_connection()
        if conn is not None:
            self.pool.discard(conn)

    def complete(self) -> None:
        """Release the connection after a complete response.

        It is closed when the request was cancelled or not sent completely.
        """
        if self.cancel_failure is not None or not self.is_fully_sent:
            self.abandon()
            return
        conn = self._detach_connection()
        if conn is not None:
            self.pool.release(conn)

    def cancel(self, failure: Failure) -> None:
        """Shut the connection down; callable from any thread."""
        with self.lock:
            if self.cancel_failure is None:
                self.cancel_failure = failure
            if self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def _detach_connection(self) -> UpstreamConnection | None:
        """Detach and return the connection; :meth:`cancel` skips it then."""
        with self.lock:
            conn = self.conn
            self.conn = None
            self.sock = None
        return conn

    def _acquire_connection(self) -> UpstreamConnection:
        conn = self.pool.acquire(min(self._remaining_s(), self.connect_s))
        with self.lock:
            self.conn = conn
            self.sock = conn.sock
        if self.cancel_failure is not None:
            raise self.close_with_error(None, self.cancel_failure)
        conn.on_first_byte = self._mark_sent
        return conn

    def _mark_sent(self) -> None:
        self.before_first_byte()
        self.is_sent = True

    def _remaining_s(self) -> float:
        return max(self.deadline - time.monotonic(), MIN_TIMEOUT_S)

    def _has_answer(self) -> bool:
        """Return whether a response can be read although sending failed."""
        return self.cancel_failure is None and self.has_early_response()


def _is_timeout(error: Exception | None) -> bool:
    cause = error.__cause__ or error.__context__ if error else None
    return isinstance(cause, TimeoutError)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def wait_for_response(
    attempts: list[RunningAttempt],
    timeout_s: float,
) -> RunningAttempt | None:
    """Return an attempt with bytes to read, ``None`` after a timeout.

    An attempt without an open socket is returned at once.
    """
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
    """Sends cancellations to upstreams, best effort, on one thread."""

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

    def submit(self, pool: ConnectionPool, attempt_id: str) -> None:
        """Queue the cancellation of an attempt, unless the queue is full."""
        with suppress(queue.Full):
            self.jobs.put_nowait((pool, attempt_id))

    def stop(self) -> None:
        """Stop the thread once the queued cancellations are sent."""
        self.jobs.put(None)
        self.thread.join(self.timeout_s * 2)

    def _run(self) -> None:
        job = self.jobs.get()
        while job is not None:
            with suppress(AttemptError, *CONNECTION_ERRORS):
                self._cancel(*job)
            job = self.jobs.get()

    def _cancel(self, pool: ConnectionPool, attempt_id: str) -> None:
        conn = pool.acquire(self.timeout_s)
        headers = {'host': pool.upstream.address, 'content-length': '0'}
        request = OutgoingRequest(
            'POST', f'/cancel/{attempt_id}', headers, None
        )
        try:
            conn.send_request(request, self.timeout_s)
            answer = conn.read_head(self.timeout_s)
            answer.read(PIECE_BYTES)
            is_complete = answer.isclosed()
        except CONNECTION_ERRORS:
            is_complete = False
        if is_complete:
            pool.release(conn)
        else:
            pool.discard(conn)


class ConnectionPools:
    """The connection pools of all upstreams."""

    def __init__(self, limits: UpstreamTimeouts) -> None:
        self.limits = limits
        self.lock = threading.Lock()
        self.pools: dict[Upstream, ConnectionPool] = {}
        self.canceller = Canceller()

    def pool(self, upstream: Upstream) -> ConnectionPool:
        """Return the pool of an upstream, created on first use."""
        pool = self.pools.get(upstream)
        if pool is None:
            with self.lock:
                pool = self.pools.get(upstream)
                if pool is None:
                    pool = ConnectionPool(upstream, self.limits)
                    self.pools[upstream] = pool
        return pool

    def retain(self, wanted: Iterable[Upstream]) -> None:
        """Close the pools of other upstreams, and expired connections."""
        retained = set(wanted)
        with self.lock:
            removed = [up for up in self.pools if up not in retained]
            pools = [self.pools.pop(up) for up in removed]
        for pool in pools:
            pool.close()
        for pool in tuple(self.pools.values()):
            pool.close_expired()

    def close(self) -> None:
        """Close all idle connections and stop the canceller."""
        self.retain(())
        self.canceller.stop()
