"""Connections of callers: a cheroot server that never waits in a thread.

A connection is parked in cheroot's selector until the head of a request and
a small body have arrived, so a slow caller holds no thread. Larger bodies
and long answers are streamed on threads of their own.
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

from cheroot.server import HTTPConnection, HTTPServer
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

LINGER_S = 2.0  # lets a caller read a refusal before its upload ends
WAIT_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what callers may take up.

    :param threads: requests, other than uploads, that run at the same time.
    :param upload_queue: uploads that wait for one of the upload threads.
    :param receive_s: time for a whole head and a small body.
    :param idle_s: time that an unused connection is kept.
    :param stall_s: time that a caller may send or take nothing.
    :param download_threads: long answers that are sent at the same time;
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
    """A connection of a caller; its socket never blocks.

    :ivar request: a request that has not arrived completely, or an upload
        that waits for its thread.
    :ivar answering: a request whose answer is to be continued.
    :ivar noticed: when the bytes of a request were first seen; its time in
        the queue for a thread counts towards its deadline.
    :ivar discard_until: what arrives until then is thrown away; 0 if not.
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
        self.answering: CallerRequest | None = None
        self.discard_until = 0.0
        self.began = 0.0
        self.noticed = 0.0
        self.is_new = True
        server.connections.add(self)

    @property
    def is_partial(self) -> bool:
        """Tell whether a part of a request has arrived."""
        return self.request is not None or bool(self.rfile.buffer)

    @property
    def may_keep_alive(self) -> bool:
        """Tell whether the connection may serve another request."""
        return not self.server.is_draining

    def communicate(self) -> bool:
        """Go on as far as the received bytes allow.

        Gives ``True`` when the connection is to be kept.
        """
        try:
            if self.discard_until:
                return self._discard()
            return self._advance()
        except FramingError as error:
            return self.refuse(error)
        except OSError:
            return False

    def serve_upload(self) -> bool:
        """Serve the upload that waits; gives what `communicate` gives."""
        request = self.request
        self.request = None
        self.began = 0
        with suppress(OSError):
            return request is not None and self._serve(request)
        return False

    def continue_answer(self) -> bool:
        """Send the rest of an answer; gives what `communicate` gives."""
        request = self.answering
        self.answering = None
        if request is None or request.rest is None:
            return False
        request.rest()
        with suppress(OSError):
            return self._end(request)
        return False

    def refuse(self, error: FramingError) -> bool:
        """Answer what cannot be served; gives what `communicate` gives."""
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
        """Send bytes, waiting while the caller takes none.

        :raises OSError: when the caller is gone, or takes the piece more
            slowly than the stall time allows.
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

    def _advance(self) -> bool:
        while self.request is None:
            head = self.rfile.take_head()
            if head is not None:
                began = self.began or self.noticed
                self.request = CallerRequest(self, parse_head(head), began)
            elif not self._fill():
                return not self.rfile.is_ended
        request = self.request
        if request.is_upload:
            return True
        while not request.take_body():
            if not self._fill():
                return not self.rfile.is_ended
        self.request = None
        self.began = 0
        return self._serve(request)

    def _fill(self) -> bool:
        has_more = self.rfile.fill()
        if self.is_partial:
            now = time.monotonic()
            self.began = self.began or self.noticed
            if now - self.began > self.server.limits.receive_s:
                raise FramingError(
                    HTTPStatus.REQUEST_TIMEOUT,
                    'the request did not arrive in time',
                )
        return bool(has_more)

    def _serve(self, request: CallerRequest) -> bool:
        self.server.handler(request)
        if request.rest is not None:
            self.answering = request
            return True
        return self._end(request)

    def _end(self, request: CallerRequest) -> bool:
        if not request.is_finished:
            return False
        if not request.is_body_read:
            return self._linger()
        return request.keep_alive

    def _linger(self) -> bool:
        """Take what still arrives, because a close would lose the answer.

        Closing a socket with unread bytes resets the connection.
        """
        self.socket.shutdown(socket.SHUT_WR)
        self.discard_until = time.monotonic() + LINGER_S
        return self._discard()

    def _discard(self) -> bool:
        is_open = self.rfile.discard()
        return is_open and time.monotonic() < self.discard_until


class _Lane:
    """A bounded number of threads, and of connections that wait for one."""

    def __init__(self, name: str, threads: int, queue_limit: int) -> None:
        self.pool = ThreadPoolExecutor(threads, name)
        self.places = threading.BoundedSemaphore(threads + queue_limit)

    def start(self, job: Callable[[], None]) -> bool:
        """Run a job; ``False`` when too many wait."""
        if not self.places.acquire(blocking=False):
            return False
        self.pool.submit(self._run, job)
        return True

    def stop(self) -> None:
        """Wait for the jobs."""
        self.pool.shutdown(wait=True)

    def _run(self, job: Callable[[], None]) -> None:
        try:
            job()
        finally:
            self.places.release()


class CallerServer(HTTPServer):
    """Accepts callers and hands their requests to a handler.

    :param handler: answers a request with its methods ``start``, ``send``
        and ``finish``, or sets its ``rest``.
    :param refuse: answers what cannot be served.
    :param on_overrun: breaks all running requests when a shutdown takes
        longer than it may.
    """

    ConnectionClass = CallerConnection
    request_queue_size = 1024
    expiration_interval = 0.2  # a shutdown waits for the end of it

    def __init__(
        self,
        address: tuple[str, int],
        limits: CallerLimits,
        handler: Callable[[CallerRequest], None],
        refuse: Callable[[CallerRequest, FramingError], None],
        on_overrun: Callable[[], None],
    ) -> None:
        super().__init__(address, gateway=None)
        self.limits = limits
        self.handler = handler
        self.refuse = refuse
        self.on_overrun = on_overrun
        self.timeout: float = limits.idle_s  # type: ignore[assignment]
        self.keep_alive_conn_limit = limits.connections
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.report: Callable[[str], None] | None = None
        self.requests = ThreadPool(self, limits.threads, limits.threads)
        self.uploads = _Lane(
            'upload',
            limits.upload_threads,
            limits.upload_queue,
        )
        self.downloads = _Lane('download', limits.download_threads, 0)
        self.thread = threading.Thread(target=self.serve, name='callers')

    def open(self) -> tuple[str, int]:
        """Start to accept; give the address."""
        self.prepare()
        self.thread.start()
        host, port = self.bind_addr[:2]
        return host, port

    def drain(self, drain_s: float, limit_s: float) -> None:
        """Stop without interrupting a request.

        :param drain_s: time in which the balancer notices that the host is
            not ready; connections are still accepted.
        :param limit_s: time after which running requests are broken.
        """
        self.is_draining = True
        end = time.monotonic() + drain_s
        while time.monotonic() < end:
            time.sleep(WAIT_STEP_S)
        timer = threading.Timer(limit_s, self.on_overrun)
        timer.daemon = True
        timer.start()
        self._await_partial(time.monotonic() + limit_s)
        self.shutdown_timeout = math.ceil(limit_s + LINGER_S)
        self.stop()
        self.uploads.stop()
        self.downloads.stop()
        timer.cancel()
        self.thread.join()

    def process_conn(self, conn: CallerConnection) -> None:
        """Take a connection with bytes to read."""
        if conn.is_new:
            conn.is_new = False
            if len(self.connections) > self.limits.connections:
                conn.refuse(_overloaded('connections'))
                conn.close()
                return
        conn.noticed = time.monotonic()
        self.requests.put(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Take a connection back from a thread that served it."""
        if conn.answering is not None:
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
        """Take a message of cheroot."""
        if self.report is not None:
            self.report(str(msg))

    def _start_upload(self, conn: CallerConnection) -> None:
        job = _Job(self, conn, conn.serve_upload)
        if not self.uploads.start(job):
            _Job(self, conn, lambda: conn.refuse(_overloaded('uploads')))()

    def _start_download(self, conn: CallerConnection) -> None:
        job = _Job(self, conn, conn.continue_answer)
        if not self.downloads.start(job):
            job()

    def _await_partial(self, end: float) -> None:
        while time.monotonic() < end:
            if not any(conn.is_partial for conn in tuple(self.connections)):
                break
            time.sleep(WAIT_STEP_S)


class _Job:
    """Serves a connection on a thread that is not one of cheroot's."""

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


def _overloaded(what: str) -> FramingError:
    return FramingError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'too many {what}',
    )
