"""Connections of callers: a cheroot server that does not block on input.

A connection stays in cheroot's selector until the head of a request and a
small body have arrived, so a slow caller does not occupy a thread. Larger
bodies and long responses are streamed on separate threads.
"""

import math
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool

from oriolearch.adapters.framing import (
    FramingError,
    RequestHead,
    parse_head,
)
from oriolearch.adapters.requests import (
    CallerInput,
    CallerRequest,
    wait_for_caller,
)
from oriolearch.stopping import StoppableServer

LINGER_S = 2.0  # time for a caller to read an error during its upload
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the resources that callers may use.

    :param threads: concurrent requests other than uploads.
    :param upload_threads: concurrent uploads.
    :param upload_queue: uploads queued for one of the upload threads.
    :param receive_s: timeout for receiving a head and a small body.
    :param idle_s: time after which an idle connection is closed.
    :param stall_s: time a caller may neither send nor receive any bytes.
    :param download_threads: long responses that are sent concurrently;
        further ones are sent on the threads of their requests.
    """

    threads: int = 128
    upload_threads: int = 32
    upload_queue: int = 32
    download_threads: int = 32
    connections: int = 2048
    receive_s: float = 10.0
    idle_s: float = 30.0
    stall_s: float = 30.0


class CallerConnection(HTTPConnection):
    """A connection of a caller, with a non-blocking socket.

    :ivar request: an incomplete request, or an upload queued for a thread.
    :ivar unfinished: a request of which the response is not sent completely.
    :ivar readable_at: time at which the selector last saw bytes to read. The
        deadline of a request counts from then, so that it includes the time
        in the queue for a thread.
    :ivar receiving_since: time at which the request being received began;
        0 for none.
    :ivar discard_until: received bytes are discarded until this time; 0 for
        none.
    """

    def __init__(
        self,
        server: 'CallerServer',
        sock: socket.socket,
        makefile: object = None,
    ) -> None:
        sock.settimeout(0)
        self.server: CallerServer = server
        self.socket = sock
        self.rfile = CallerInput(sock, server.limits.stall_s)
        self.wfile = self
        self.requests_seen = 0
        self.request: CallerRequest | None = None
        self.unfinished: CallerRequest | None = None
        self.discard_until = 0.0
        self.receiving_since = 0.0
        self.readable_at = 0.0
        self.is_new = True
        server.connections.add(self)

    @property
    def is_partial(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self.request is not None or bool(self.rfile.buffer)

    @property
    def may_keep_alive(self) -> bool:
        """Return whether the connection may serve another request."""
        return not self.server.is_draining

    def communicate(self) -> bool:
        """Process the received bytes.

        Return whether the connection is kept open.
        """
        try:
            if self.discard_until:
                return self._discard()
            return self._process_input()
        except FramingError as error:
            return self.refuse(error)
        except OSError:
            return False

    def serve_upload(self) -> bool:
        """Serve the queued upload; return whether the connection is kept."""
        request = self.request
        self.request = None
        self.receiving_since = 0
        with suppress(OSError):
            return request is not None and self._serve(request)
        return False

    def continue_answer(self) -> bool:
        """Finish a response; return whether the connection is kept."""
        request = self.unfinished
        self.unfinished = None
        if request is None or request.rest is None:
            return False
        request.rest()
        with suppress(OSError):
            return self._finish_request(request)
        return False

    def refuse(self, error: FramingError) -> bool:
        """Send an error response; return whether the connection is kept."""
        request = self.request
        self.request = None
        if request is None:
            head = RequestHead('GET', '', [], {}, 0, False, True)
            request = CallerRequest(self, head, time.monotonic())
        try:
            self.server.refuse(request, error)
            return self._linger()
        except OSError:
            return False

    def write(self, piece: bytes) -> None:
        """Send bytes, waiting while the caller does not receive any.

        :raises OSError: when the caller disconnected, or when the bytes are
            not sent within the stall timeout.
        """
        rest = memoryview(piece)
        end = 0.0
        while rest:
            try:
                rest = rest[self.socket.send(rest) :]
            except BlockingIOError:
                now = time.monotonic()
                end = end or now + self.server.limits.stall_s
                wait_for_caller(self.socket, select.POLLOUT, end - now)

    def close(self) -> None:
        """Close the socket."""
        self.server.connections.discard(self)
        self.rfile.close()
        self.socket.close()

    def _process_input(self) -> bool:
        while self.request is None:
            head = self.rfile.extract_head()
            if head is not None:
                receiving_since = self.receiving_since or self.readable_at
                self.request = CallerRequest(
                    self, parse_head(head), receiving_since
                )
            elif not self._receive():
                return not self.rfile.is_eof
        request = self.request
        if request.is_upload:
            return True
        while not request.extract_body():
            if not self._receive():
                return not self.rfile.is_eof
        self.request = None
        self.receiving_since = 0
        return self._serve(request)

    def _receive(self) -> bool:
        has_more = self.rfile.fill()
        if self.is_partial:
            now = time.monotonic()
            self.receiving_since = self.receiving_since or self.readable_at
            if now - self.receiving_since > self.server.limits.receive_s:
                raise FramingError(
                    HTTPStatus.REQUEST_TIMEOUT,
                    'the request did not arrive in time',
                )
        return bool(has_more)

    def _serve(self, request: CallerRequest) -> bool:
        self.server.handler(request)
        if request.rest is not None:
            self.unfinished = request
            return True
        return self._finish_request(request)

    def _finish_request(self, request: CallerRequest) -> bool:
        if not request.is_finished:
            return False
        if not request.is_body_read:
            return self._linger()
        return request.keep_alive

    def _linger(self) -> bool:
        """Discard input for a while before closing (lingering close).

        Closing a socket with unread bytes resets the connection, and the
        caller would lose the response.
        """
        self.socket.shutdown(socket.SHUT_WR)
        self.discard_until = time.monotonic() + LINGER_S
        return self._discard()

    def _discard(self) -> bool:
        is_open = self.rfile.discard()
        return is_open and time.monotonic() < self.discard_until


class _BoundedThreadPool:
    """A thread pool with a bounded queue."""

    def __init__(self, name: str, threads: int, queue_limit: int) -> None:
        self.pool = ThreadPoolExecutor(threads, name)
        self.slots = threading.BoundedSemaphore(threads + queue_limit)

    def start(self, job: Callable[[], None]) -> bool:
        """Submit a job; return ``False`` if the queue is full."""
        if not self.slots.acquire(blocking=False):
            return False
        self.pool.submit(self._run, job)
        return True

    def stop(self) -> None:
        """Wait for the submitted jobs."""
        self.pool.shutdown(wait=True)

    def _run(self, job: Callable[[], None]) -> None:
        try:
            job()
        finally:
            self.slots.release()


class CallerServer(StoppableServer):
    """Accepts connections of callers and passes requests to a handler.

    :param handler: responds to a request with its methods ``start``,
        ``send`` and ``finish``, or sets its ``rest``.
    :param refuse: sends the error response to a request that cannot be
        served.
    :param on_drain_timeout: aborts all running requests when a shutdown
        exceeds its time limit.
    :ivar on_log_message: receives log messages of cheroot.
    """

    ConnectionClass = CallerConnection
    request_queue_size = 1024
    expiration_interval = 0.2  # a shutdown waits up to this long for it

    def __init__(
        self,
        address: tuple[str, int],
        limits: CallerLimits,
        handler: Callable[[CallerRequest], None],
        refuse: Callable[[CallerRequest, FramingError], None],
        on_drain_timeout: Callable[[], None],
    ) -> None:
        super().__init__(address, gateway=None)
        self.limits = limits
        self.handler = handler
        self.refuse = refuse
        self.on_drain_timeout = on_drain_timeout
        self.timeout: float = limits.idle_s  # type: ignore[assignment]
        self.keep_alive_conn_limit = limits.connections
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.on_log_message: Callable[[str], None] | None = None
        self.requests = ThreadPool(self, limits.threads, limits.threads)
        self.uploads = _BoundedThreadPool(
            'upload',
            limits.upload_threads,
            limits.upload_queue,
        )
        self.downloads = _BoundedThreadPool(
            'download', limits.download_threads, 0
        )
        self.thread = threading.Thread(target=self.serve, name='callers')

    def open(self) -> tuple[str, int]:
        """Start accepting connections and return the address."""
        self.prepare()
        self.thread.start()
        host, port = self.bind_addr[:2]
        return host, port

    def drain(self, drain_s: float, limit_s: float) -> None:
        """Shut down gracefully.

        :param drain_s: time for the load balancer to notice that the host is
            not ready; connections are still accepted.
        :param limit_s: time after which running requests are aborted.
        """
        self.is_draining = True
        end = time.monotonic() + drain_s
        while time.monotonic() < end:
            time.sleep(POLL_INTERVAL_S)
        timer = threading.Timer(limit_s, self.on_drain_timeout)
        timer.daemon = True
        timer.start()
        self._wait_for_partial_requests(time.monotonic() + limit_s)
        self.shutdown_timeout = math.ceil(limit_s + LINGER_S)
        self.stop()
        self.uploads.stop()
        self.downloads.stop()
        timer.cancel()
        self.thread.join()

    def process_conn(self, conn: CallerConnection) -> None:
        """Queue a readable connection for a thread.

        A new connection above the limit gets an error response instead.
        """
        if conn.is_new:
            conn.is_new = False
            if len(self.connections) > self.limits.connections:
                conn.refuse(_overloaded('connections'))
                conn.close()
                return
        conn.readable_at = time.monotonic()
        self.requests.put(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Return a served connection to the selector or a stream thread."""
        if conn.unfinished is not None:
            self._start_download(conn)
        elif conn.request is not None and conn.request.is_upload:
            self._start_upload(conn)
        else:
            super().put_conn(conn)

    def error_log(
        self,
        msg: str = '',
        level: int = 20,
        traceback: bool = False,
    ) -> None:
        """Forward a log message of cheroot."""
        if self.on_log_message is not None:
            self.on_log_message(str(msg))

    def _start_upload(self, conn: CallerConnection) -> None:
        job = _Job(self, conn, conn.serve_upload)
        if not self.uploads.start(job):
            _Job(self, conn, lambda: conn.refuse(_overloaded('uploads')))()

    def _start_download(self, conn: CallerConnection) -> None:
        job = _Job(self, conn, conn.continue_answer)
        if not self.downloads.start(job):
            job()

    def _wait_for_partial_requests(self, end: float) -> None:
        while time.monotonic() < end:
            if not any(conn.is_partial for conn in tuple(self.connections)):
                break
            time.sleep(POLL_INTERVAL_S)


class _Job:
    """Serves a connection on a thread outside of cheroot's pool."""

    def __init__(
        self,
        server: CallerServer,
        conn: CallerConnection,
        step: Callable[[], bool],
    ) -> None:
        self.server = server
        self.conn = conn
        self.step = step

    def __call__(self) -> None:
        is_kept = False
        try:
            is_kept = self.step()
        except Exception as error:
            self.server.error_log(repr(error))
        if is_kept:
            self.server.put_conn(self.conn)
        else:
            self.conn.close()


def _overloaded(resource: str) -> FramingError:
    return FramingError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'too many {resource}',
    )
