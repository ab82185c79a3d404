"""HTTP server on the loopback interface, used by all stand-ins."""

import json
import logging
import queue
import socket
import struct
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.workers import threadpool

from oriolearch.stopping import StoppableServer

logger = logging.getLogger(__name__)

CHUNK_BYTES = 65536
MIN_THREADS = 2  # of an idle stand-in
SPARE_THREADS = 64  # to refuse calls over the connection limit
BACKLOG = 128
KEEP_ALIVE_S = 60
SELECT_PERIOD_S = 0.5
WAKE_PERIOD_S = 0.01
SHUTDOWN_TIMEOUT_S = 2

_LINGER_RESET = struct.pack('ii', 1, 0)  # makes close() send a TCP reset


class Fate(Enum):
    """How an answer is delivered to the client."""

    WHOLE = 'whole'
    CUT = 'cut'  # sends half of the body, then closes the connection
    LOST = 'lost'  # closes the connection without an answer


@dataclass(slots=True)
class Request:
    """A request as received.

    :param segments: unquoted segments of the path.
    :param headers: names in lower case.
    :param connections: open connections of the server, this one included.
    :param read: function that reads up to a number of bytes of the body.
    """

    method: str
    path: str
    segments: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    connections: int
    read: Callable[[int], bytes]

    def body(self) -> bytes | None:
        """Return the whole body; ``None`` when the client disconnected."""
        declared = self.headers.get('content-length')
        parts = []
        try:
            while part := self.read(CHUNK_BYTES):
                parts.append(part)
        except (OSError, ValueError):
            return None
        body = b''.join(parts)
        is_whole = declared is None or len(body) == int(declared)
        return body if is_whole else None

    def json(self) -> Any:
        """Return the body parsed as JSON; ``None`` when the body is empty.

        :raises ValueError: when the body is not JSON.
        """
        return json.loads(self.body() or b'null')


@dataclass(slots=True)
class Response:
    """An answer to send.

    :param chunks: chunks of the body.
    :param length: size of the body in bytes.
    """

    status: int = HTTPStatus.OK
    headers: dict[str, str] = field(default_factory=dict)
    chunks: Iterator[bytes] = iter(())
    length: int = 0
    fate: Fate = Fate.WHOLE

    @classmethod
    def from_bytes(
        cls,
        body: bytes,
        status: int = HTTPStatus.OK,
        **headers: str,
    ) -> 'Response':
        """Return an answer with a body in memory.

        :param headers: names with underscores in place of hyphens.
        """
        fields = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return cls(status, fields, iter((body,)), len(body))

    @classmethod
    def from_json(
        cls, value: object, status: int = HTTPStatus.OK
    ) -> 'Response':
        """Return an answer with a JSON document."""
        return cls.from_bytes(
            json.dumps(value).encode(),
            status,
            content_type='application/json',
        )

    @classmethod
    def without_answer(cls) -> 'Response':
        """Return a response that closes the connection without an answer."""
        return cls(fate=Fate.LOST)


RequestHandler = Callable[[Request], Response]


class _Connection(cheroot_server.HTTPConnection):
    """Registers open connections and reports idle threads to the pool."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.server.open_connections.add(self)

    def communicate(self) -> Any:
        try:
            return super().communicate()  # type: ignore[no-untyped-call]
        finally:
            self.server.requests.mark_idle()

    def close(self) -> None:
        self.server.open_connections.discard(self)
        super().close()

    def shut_down(self) -> None:
        """Shut the socket down, so that its thread closes the connection."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)


class _GrowingThreadPool(threadpool.ThreadPool):
    """A thread pool that starts a thread when all others are busy.

    A cheroot pool has a fixed size: frozen requests would block control
    calls, or 30 stand-ins would need thousands of threads.
    """

    def __init__(self, server: Any, maximum: int) -> None:
        super().__init__(server, min=MIN_THREADS, max=maximum)
        self.lock = threading.Lock()
        self.busy = 0
        self._threads: list[threading.Thread] = []

    def put(self, obj: Any) -> None:
        with self.lock:
            self.busy += 1
            if len(self._threads) < min(self.busy, self.max):
                self._threads.append(self._spawn_worker())
        super().put(obj)

    def mark_idle(self) -> None:
        with self.lock:
            self.busy -= 1

    def _spawn_worker(self) -> Any:
        worker = threadpool.WorkerThread(  # type: ignore[no-untyped-call]
            self.server,
        )
        worker.daemon = True
        worker.start()
        return worker


class _Gateway(wsgi.Gateway_10):
    """Passes a request to the stand-in and sends, cuts or drops the answer."""

    def respond(self) -> None:
        app = self.req.server.wsgi_app
        response: Response = app(_request(self.env, self.req))
        if response.fate is Fate.LOST:
            self._reset_connection()
            return
        status = HTTPStatus(response.status)
        headers = {**response.headers, 'content-length': str(response.length)}
        self.start_response(
            f'{status.value} {status.phrase}',
            list(headers.items()),
        )
        if self.req.method != b'HEAD':
            self._send(response)

    def _send(self, response: Response) -> None:
        limit = response.length
        if response.fate is Fate.CUT:
            limit //= 2
        self.req.ensure_headers_sent()
        for chunk in response.chunks:
            self.req.write(chunk[:limit])
            limit -= len(chunk)
            if limit <= 0:
                break
        if response.fate is Fate.CUT:
            self.req.close_connection = True

    def _reset_connection(self) -> None:
        self.req.sent_headers = True
        self.req.close_connection = True
        sock = self.req.conn.socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


def _request(environ: Mapping[str, Any], raw: Any) -> Request:
    uri = urlsplit(environ['REQUEST_URI'])
    headers = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in raw.inheaders.items()
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        path=uri.path,
        segments=tuple(unquote(part) for part in uri.path.split('/')[1:]),
        query=dict(parse_qsl(uri.query, keep_blank_values=True)),
        headers=headers,
        connections=len(raw.server.open_connections),
        read=environ['wsgi.input'].read,
    )


class _Server(StoppableServer, wsgi.Server):
    """A cheroot server that counts connections and grows its thread pool."""

    ConnectionClass = _Connection
    expiration_interval = SELECT_PERIOD_S
    keep_alive_conn_limit: Any = None

    def __init__(
        self,
        bind_address: tuple[str, int],
        respond: RequestHandler,
        connections: int,
    ) -> None:
        super().__init__(
            bind_address,
            respond,
            request_queue_size=BACKLOG,
            timeout=KEEP_ALIVE_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.gateway = _Gateway
        self.requests = _GrowingThreadPool(self, connections + SPARE_THREADS)
        self.open_connections: set[_Connection] = set()

    @staticmethod
    def bind_socket(sock: Any, bind_addr: Any) -> Any:
        """Bind with SO_REUSEADDR, so that a restart can reuse the port at once.

        cheroot doesn't set the option for port 0. Accepted connections
        inherit it from the listening socket.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(bind_addr)
        return sock

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        logger.log(min(level, logging.INFO), msg, exc_info=traceback)


class LoopbackServer:
    """An HTTP server on 127.0.0.1 that answers with a function.

    A restart after a stop keeps the port.

    :param respond: returns the answer to a request.
    :param connections: limit of connections served at the same time.
    """

    def __init__(
        self,
        respond: RequestHandler,
        port: int = 0,
        connections: int = BACKLOG,
    ) -> None:
        self.respond = respond
        self.port = port
        self.connections = connections
        self.server: _Server | None = None
        self.thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; port 0 is replaced at the first start."""
        return f'127.0.0.1:{self.port}'

    def start(self) -> None:
        """Bind the port and start the server threads."""
        server = _Server(
            ('127.0.0.1', self.port),
            self.respond,
            self.connections,
        )
        server.prepare()
        self.port = server.bind_addr[1]
        self.server = server
        self.thread = threading.Thread(target=server.serve, daemon=True)
        self.thread.start()

    def _wake_selector(self) -> None:
        """Connect once, as cheroot checks for a stop only after an event."""
        with suppress(OSError):
            socket.create_connection(('127.0.0.1', self.port), 1).close()

    def stop(self) -> None:
        """Close the port and all connections and join all threads."""
        server = self.server
        if server is None:
            return
        self.server = None
        stopping = threading.Thread(target=server.stop, daemon=True)
        stopping.start()
        while stopping.is_alive():
            self._wake_selector()
            # A client that doesn't read its answer would block the stop.
            for connection in server.open_connections.copy():
                connection.shut_down()
            stopping.join(WAKE_PERIOD_S)
        if self.thread is not None:
            self.thread.join()
        # cheroot never removes a server from this dictionary.
        statistics: dict[str, Any] = getattr(logging, 'statistics', {})
        statistics.pop(f'Cheroot HTTPServer {id(server)}', None)
        _close_queued(server)


def _close_queued(server: _Server) -> None:
    """Close the connections that no thread has picked up."""
    while True:
        try:
            conn = server.requests.get(block=False)
        except queue.Empty:
            return
        if isinstance(conn, _Connection):
            conn.close()
