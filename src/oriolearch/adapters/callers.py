"""Connections of callers: a cheroot server that never waits in a thread.

A connection is parked in cheroot's selector until the head of a request and
a small body have arrived, so a slow caller holds no thread. Larger bodies
are streamed on threads of their own.
"""

import math
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from email.utils import formatdate
from http import HTTPStatus

from cheroot.server import HTTPConnection, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from oriolearch.adapters.framing import (
    HEAD_LIMIT_BYTES,
    PIECE_BYTES,
    ChunkedReader,
    FramingError,
    RequestHead,
    bad_request,
    parse_head,
)

SMALL_BODY_BYTES = 65536  # larger bodies are uploads
LINGER_S = 2.0  # lets a caller read a refusal before its upload ends
WAIT_STEP_S = 0.02
HEAD_END = b'\r\n\r\n'

Fields = list[tuple[str, str]]
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_REASONS = {int(status): status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what callers may take up.

    :param threads: requests, other than uploads, that run at the same time.
    :param upload_queue: uploads that wait for one of the upload threads.
    :param receive_s: time for a whole head and a small body.
    :param idle_s: time that an unused connection is kept.
    :param stall_s: time for a piece of 64 KiB of a body, either way.
    """

    threads: int = 128
    upload_threads: int = 32
    upload_queue: int = 32
    connections: int = 2048
    receive_s: float = 10.0
    idle_s: float = 30.0
    stall_s: float = 30.0


class CallerInput:
    """Bytes that a caller sent and that are not used yet.

    :ivar is_waiting: they are not enough to go on.
    """

    bytes_read = 0  # read by cheroot's statistics

    def __init__(self, sock: socket.socket, stall_s: float) -> None:
        self.sock = sock
        self.stall_s = stall_s
        self.buffer = b''
        self.is_waiting = False
        self.is_ended = False
        self.closed = False

    def has_data(self) -> bool:
        """Tell cheroot whether to go on without waiting for the socket."""
        return bool(self.buffer) and not self.is_waiting

    def fill(self) -> bool:
        """Take what has arrived; ``False`` when that is nothing."""
        try:
            piece = self.sock.recv(PIECE_BYTES)
        except BlockingIOError:
            self.is_waiting = True
            return False
        self.is_waiting = False
        self.is_ended = not piece
        self.buffer += piece
        return bool(piece)

    def receive(self, limit: int) -> bytes:
        """Give some bytes, waiting for them; empty at the end.

        :raises TimeoutError: when the caller stalls.
        """
        if self.buffer:
            piece = self.buffer[:limit]
            self.buffer = self.buffer[limit:]
            return piece
        while True:
            try:
                return self.sock.recv(limit)
            except BlockingIOError:
                _wait(self.sock, select.POLLIN, self.stall_s)

    def take_head(self) -> bytes | None:
        """Take a request head, ``None`` when it has not arrived.

        :raises FramingError: when it is too long.
        """
        if self.buffer[:2] == b'\r\n':  # allowed before a request line
            self.buffer = self.buffer[2:]
        end = self.buffer.find(HEAD_END)
        size = len(self.buffer) if end < 0 else end
        if size > HEAD_LIMIT_BYTES:
            raise FramingError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'the head is longer than {HEAD_LIMIT_BYTES} bytes',
            )
        if end < 0:
            if b'\n\n' in self.buffer or b'\n\r\n' in self.buffer:
                raise bad_request('a line does not end with CRLF')
            return None
        head = self.buffer[:end]
        self.buffer = self.buffer[end + len(HEAD_END) :]
        return head

    def close(self) -> None:
        """Forget the bytes."""
        self.closed = True
        self.buffer = b''


def _wait(sock: socket.socket, event: int, timeout_s: float) -> None:
    poll = select.poll()
    poll.register(sock, event)
    if not poll.poll(timeout_s * 1000):
        raise TimeoutError(f'the caller stalled for {timeout_s} s')


class _Date:
    """The ``Date`` header, formatted once a second."""

    def __init__(self) -> None:
        self.second = 0
        self.text = ''

    def now(self) -> str:
        second = int(time.time())
        if second != self.second:
            self.text = formatdate(second, usegmt=True)
            self.second = second
        return self.text


_DATE = _Date()


class CallerRequest:
    """One request of a caller, and the answer to it.

    :ivar body: the whole body; ``None`` while an upload is to be streamed.
    """

    __slots__ = (
        '_head_out',
        'arrived',
        'body',
        'conn',
        'head',
        'is_body_read',
        'is_chunked_out',
        'is_continued',
        'is_finished',
        'is_started',
        'keep_alive',
    )

    def __init__(
        self,
        conn: 'CallerConnection',
        head: RequestHead,
        arrived: float,
    ) -> None:
        self.conn = conn
        self.head = head
        self.arrived = arrived
        self.body: bytes | None = None
        self.keep_alive = head.keep_alive
        self.is_body_read = False
        self.is_started = False
        self.is_finished = False
        self.is_chunked_out = False
        self.is_continued = not head.expects_continue
        self._head_out = b''

    @property
    def is_upload(self) -> bool:
        """Tell whether the body is streamed."""
        length = self.head.length
        return length is None or length > SMALL_BODY_BYTES

    @property
    def remote_address(self) -> str:
        """Give the address of the caller."""
        return str(self.conn.remote_addr or '')

    def take_body(self) -> bool:
        """Take a small body; ``False`` when it has not arrived."""
        length = self.head.length or 0
        source = self.conn.rfile
        if len(source.buffer) < length:
            self._continue()
            return False
        self.body = source.buffer[:length]
        source.buffer = source.buffer[length:]
        self.is_body_read = True
        return True

    def pieces(self) -> Iterator[bytes]:
        """Give the body of an upload in pieces of at most 64 KiB.

        :raises FramingError: when it is malformed or cut.
        :raises TimeoutError: when the caller stalls.
        """
        self._continue()
        source = self.conn.rfile
        if self.head.length is None:
            reader = ChunkedReader(source.receive)
            yield from reader.pieces()
            source.buffer = reader.leftover() + source.buffer
        else:
            left = self.head.length
            while left:
                piece = source.receive(min(left, PIECE_BYTES))
                if not piece:
                    raise bad_request('the body ends early')
                left -= len(piece)
                yield piece
        self.is_body_read = True

    def start(self, status: int, fields: Fields, length: int | None) -> None:
        """Set the head of the answer; it is sent with the first piece.

        :param length: bytes of the body, ``None`` when unknown.
        """
        self.is_started = True
        self.keep_alive = (
            self.keep_alive
            and self.is_body_read
            and not self.conn.server.is_draining
        )
        lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "")}']
        lines.extend(f'{name}: {text}' for name, text in fields)
        if all(name.lower() != 'date' for name, _ in fields):
            lines.append(f'date: {_DATE.now()}')
        lines.extend(self._framing(status, length))
        if not self.keep_alive:
            lines.append('connection: close')
        self._head_out = '\r\n'.join((*lines, '\r\n')).encode('latin-1')

    def send(self, piece: bytes) -> None:
        """Send a piece of the body; waits while the caller is slow.

        :raises OSError: when the caller is gone or stalls.
        """
        if self.is_chunked_out:
            piece = b'%x\r\n%b\r\n' % (len(piece), piece)
        if self._head_out:
            piece = self._head_out + piece
            self._head_out = b''
        self.conn.write(piece)

    def finish(self) -> None:
        """End a complete answer."""
        end = b'0\r\n\r\n' if self.is_chunked_out else b''
        if self._head_out or end:
            self.conn.write(self._head_out + end)
            self._head_out = b''
        self.is_finished = True

    def _framing(self, status: int, length: int | None) -> list[str]:
        if self.head.method == 'HEAD' or status in _BODILESS:
            return [] if length is None else [f'content-length: {length}']
        if length is not None:
            return [f'content-length: {length}']
        if self.head.is_http11:
            self.is_chunked_out = True
            return ['transfer-encoding: chunked']
        self.keep_alive = False
        return []

    def _continue(self) -> None:
        if not self.is_continued:
            self.is_continued = True
            self.conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')


class CallerConnection(HTTPConnection):
    """A connection of a caller; its socket never blocks.

    :ivar request: a request that has not arrived completely, or an upload
        that waits for its thread.
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
        self.began = 0.0
        self.is_new = True
        server.connections.add(self)

    @property
    def is_partial(self) -> bool:
        """Tell whether a part of a request has arrived."""
        return self.request is not None or bool(self.rfile.buffer)

    def communicate(self) -> bool:
        """Go on as far as the received bytes allow.

        Gives ``True`` when the connection is to be kept.
        """
        try:
            return self._advance()
        except FramingError as error:
            self._refuse(error)
        except OSError:
            return False
        return False

    def serve_upload(self) -> bool:
        """Serve the upload that waits; gives what `communicate` gives."""
        request = self.request
        self.request = None
        self.began = 0
        with suppress(OSError):
            return request is not None and self._serve(request)
        return False

    def write(self, piece: bytes) -> None:
        """Send bytes, waiting while the caller takes none.

        :raises OSError: when the caller is gone or stalls.
        """
        rest = memoryview(piece)
        while rest:
            try:
                sent = self.socket.send(rest)
            except BlockingIOError:
                _wait(self.socket, select.POLLOUT, self.rfile.stall_s)
            else:
                rest = rest[sent:]

    def close(self) -> None:
        """Close the socket."""
        self.server.connections.discard(self)
        self.rfile.close()
        self.socket.close()

    def _advance(self) -> bool:
        while self.request is None:
            head = self.rfile.take_head()
            if head is not None:
                began = self.began or time.monotonic()
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
            self.began = self.began or now
            if now - self.began > self.server.limits.receive_s:
                raise FramingError(
                    HTTPStatus.REQUEST_TIMEOUT,
                    'the request did not arrive in time',
                )
        return bool(has_more)

    def _serve(self, request: CallerRequest) -> bool:
        self.server.handler(request)
        if not request.is_finished:
            return False
        if not request.is_body_read:
            self._linger()
            return False
        return request.keep_alive

    def _refuse(self, error: FramingError) -> None:
        head = RequestHead('GET', '', [], {}, 0, False, True)
        request = CallerRequest(self, head, time.monotonic())
        with suppress(OSError):
            self.server.refuse(request, error)
            self._linger()

    def _linger(self) -> None:
        """Read on for a while, because a close would destroy the answer.

        Closing a socket with unread bytes resets the connection.
        """
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            end = time.monotonic() + LINGER_S
            while time.monotonic() < end:
                _wait(self.socket, select.POLLIN, LINGER_S)
                if not self.socket.recv(PIECE_BYTES):
                    break


class CallerServer(HTTPServer):
    """Accepts callers and hands their requests to a handler.

    :param handler: answers a request with its methods ``start``, ``send``
        and ``finish``.
    :param refuse: answers a malformed request.
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
        self.uploads = ThreadPoolExecutor(limits.upload_threads, 'upload')
        self.upload_places = threading.BoundedSemaphore(
            limits.upload_threads + limits.upload_queue,
        )
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
        self.uploads.shutdown(wait=True)
        timer.cancel()
        self.thread.join()

    def process_conn(self, conn: CallerConnection) -> None:
        """Take a connection with bytes to read."""
        if conn.is_new:
            conn.is_new = False
            if len(self.connections) > self.limits.connections:
                with suppress(OSError):
                    self.refuse(_nothing(conn), _too_many())
                conn.close()
                return
        self.requests.put(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Take a connection back from a worker thread."""
        request = conn.request
        if request is None or not request.is_upload:
            super().put_conn(conn)
        elif self.upload_places.acquire(blocking=False):
            self.uploads.submit(self._upload, conn)
        else:
            with suppress(OSError):
                self.refuse(request, _too_many())
            conn.close()

    def error_log(
        self,
        msg: str = '',
        level: int = 20,
        traceback: bool = False,
    ) -> None:
        """Take a message of cheroot."""
        if self.report is not None:
            self.report(str(msg))

    def _upload(self, conn: CallerConnection) -> None:
        is_kept = False
        try:
            is_kept = conn.serve_upload()
        finally:
            self.upload_places.release()
            if is_kept:
                self.put_conn(conn)
            else:
                conn.close()

    def _await_partial(self, end: float) -> None:
        while time.monotonic() < end:
            if not any(conn.is_partial for conn in tuple(self.connections)):
                break
            time.sleep(WAIT_STEP_S)


def _nothing(conn: CallerConnection) -> CallerRequest:
    head = RequestHead('GET', '', [], {}, 0, False, True)
    return CallerRequest(conn, head, time.monotonic())


def _too_many() -> FramingError:
    return FramingError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'too many connections or uploads',
    )
