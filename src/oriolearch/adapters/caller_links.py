"""HTTP/1.1 connections of callers, on an event loop.

A request is read completely and passed to a handler. Pipelined requests, sent
before the earlier ones are answered, are handled concurrently as long as all
of them are safe; replies are sent in the order of the requests. When the
caller closes the connection, the handlers are cancelled.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from oriolearch.adapters.memory import MemoryAccount
from oriolearch.adapters.upstream_links import (
    HOP_BY_HOP_HEADERS,
    Headers,
    reset,
)
from oriolearch.clock import loop_clock
from oriolearch.core.directory import CallerLimits
from oriolearch.core.memory_budget import HeldKind, Holding, reply_kind

MAX_PIPELINED_BYTES = 65536  # buffered per connection before reading pauses
# Requests of one connection that are handled at once. Each may hold an answer
# of several megabytes until those before it are sent.
MAX_PIPELINED_REQUESTS = 8
PARSED_BYTES = 4096  # parsed at once, which bounds the requests that are queued
SEND_BUFFER_BYTES = 65536  # of the kernel, for each caller
DEFAULT_BACKLOG = 100  # connections that are not yet accepted
MAX_CHUNK_FRAMING_BYTES = 16  # size line and line ends of a chunk
# Time in which a caller reads the last reply. Closing a socket with unread
# bytes would reset the connection and discard that reply.
LINGER_S = 1.0
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024  # of all requests in memory
# Replies of one connection that are held, whether written or waiting for their
# turn. Beyond that no further pipelined request is handled.
MAX_LINK_REPLY_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class IncomingRequest:
    """A complete request.

    :ivar target: path and query as the caller sent them.
    :ivar headers: names in lower case, in the order of arrival.
    """

    method: bytes = b''
    target: bytes = b''
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    received_at: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name."""
        return next((text for key, text in self.headers if key == name), None)


@dataclass(slots=True)
class Reply:
    """The response to a caller."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''


Handler = Callable[[IncomingRequest], Awaitable[Reply]]


def has_safe_method(request: IncomingRequest) -> bool:
    """Return whether the method of a request is safe by definition."""
    return request.method in {b'GET', b'HEAD', b'OPTIONS'}


class CallerListener:
    """State shared by all caller connections of one listening address.

    :param is_safe: returns whether a request may be handled concurrently with
        others of its connection.
    :param account: counts the requests and replies of all connections.
    :ivar max_body_bytes: of all requests in memory.
    :ivar links: open connections.
    :ivar body_bytes: size of the request bodies in memory.
    :ivar is_stopping: connections are closed once they are idle.
    """

    def __init__(
        self,
        handler: Handler,
        is_safe: Callable[[IncomingRequest], bool] = has_safe_method,
        account: MemoryAccount | None = None,
    ) -> None:
        self.handler = handler
        self.is_safe = is_safe
        self.account = account or MemoryAccount()
        self.account.sources.append(self.holdings)
        self.max_body_bytes = MAX_TOTAL_BODY_BYTES
        self.limits = CallerLimits()
        self.links: set[CallerLink] = set()
        self.body_bytes = 0
        self.is_stopping = False

    async def open(
        self, host: str, port: int, backlog: int = DEFAULT_BACKLOG
    ) -> asyncio.Server:
        """Accept connections at an address.

        Accepted sockets inherit the small send buffer. With a large one, what
        a slow caller reads would not be seen for many seconds.
        """
        server = await asyncio.get_running_loop().create_server(
            self.create_protocol, host, port, backlog=backlog
        )
        for sock in server.sockets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        return server

    def create_protocol(self) -> 'CallerLink':
        """Return the protocol for a new connection."""
        return CallerLink(self)

    def running(self) -> int:
        """Return the number of requests being read or handled."""
        return sum(len(link.queue) + link.is_reading for link in self.links)

    def stop(self) -> None:
        """Close idle connections now, and busy ones after their last reply."""
        self.is_stopping = True
        for link in list(self.links):
            link.stop()

    def close_expired(self, now: float) -> None:
        """Close connections that exceed the idle or header timeout.

        A caller that reads nothing of its reply for the idle timeout is reset,
        since a close would wait until it has read everything.
        """
        limits = self.limits
        for link in list(self.links):
            if link.stalled_s(now) > limits.idle_timeout_s:
                link.drop_replies('unread for too long')
            if link.queue or link.is_unread():
                continue
            limit_s = limits.idle_timeout_s
            if link.is_reading:
                limit_s = max(limits.header_timeout_s, limit_s)
            if now - link.last_active_at > limit_s:
                link.close()

    def holdings(self) -> Iterator[Holding]:
        """Yield what is held for each connection."""
        now = loop_clock()
        for link in list(self.links):
            yield from link.holdings(now)


class _Exchange:
    """A request that was read, until its reply is sent.

    :ivar is_last: the connection is closed after the reply.
    :ivar is_safe: ``None`` until it matters.
    :ivar body_size: bytes of the body, counted by the listener.
    """

    __slots__ = ('body_size', 'is_last', 'is_safe', 'reply', 'request', 'task')

    def __init__(self, request: IncomingRequest) -> None:
        self.request = request
        self.is_last = False
        self.is_safe: bool | None = None
        self.body_size = 0
        self.reply: Reply | None = None
        self.task: asyncio.Task[None] | None = None


class CallerLink(asyncio.Protocol):
    """One connection of a caller.

    :ivar incoming: the request that is being read.
    :ivar queue: requests that were read and not answered, in their order.
    :ivar unparsed: received bytes, while enough requests are queued.
    :ivar overhead: bytes of the request being read other than its body,
        without those parsed together with the end of the one before.
    :ivar awaits_continue: the caller waits for 100 Continue, which is sent
        once the replies to the requests before are sent.
    :ivar is_read_to_end: no further request is read.
    :ivar unread_bytes: written bytes that the caller had not read when they
        were last looked at.
    :ivar read_at: when it was last seen to have read some.
    """

    def __init__(self, listener: CallerListener) -> None:
        self.listener = listener
        self.transport: Any = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.incoming = _Exchange(IncomingRequest())
        self.queue: deque[_Exchange] = deque()
        self.unparsed = bytearray()
        self.chunks: list[bytes] = []
        self.header_size = 0
        self.overhead = 0
        self.chunk_count = 0
        self.has_head = False
        self.awaits_continue = False
        self.is_reading = False
        self.is_read_to_end = False
        self.is_write_paused = False
        self.last_active_at = 0.0
        self.unread_bytes = 0
        self.read_at = 0.0

    def connection_made(self, transport: Any) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        self.last_active_at = loop_clock()
        self.listener.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handlers of a caller that disconnected."""
        self.listener.links.discard(self)
        self.is_read_to_end = True
        self._release_body_bytes(self.incoming)
        for exchange in self.queue:
            self._release_body_bytes(exchange)
            if exchange.task is not None:
                exchange.task.cancel()

    def eof_received(self) -> bool:
        """Close the connection, also when the caller only half-closed it."""
        return False

    def pause_writing(self) -> None:
        """Read no further requests while the caller reads no replies."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Read requests again."""
        self.is_write_paused = False
        self._parse()

    def stop(self) -> None:
        """Close after the requests that were read or are being read."""
        if self.is_reading or self.is_read_to_end:
            return
        self.is_read_to_end = True
        if self.queue:
            self.queue[-1].is_last = True
        else:
            self.close()

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def is_unread(self) -> bool:
        """Return whether written bytes wait for the caller to read."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def stalled_s(self, now: float) -> float:
        """Return for how long the caller has read nothing of its replies."""
        if self.transport is None:
            return 0.0
        unread_bytes = self.transport.get_write_buffer_size()
        if not unread_bytes or unread_bytes < self.unread_bytes:
            self.read_at = now
        self.unread_bytes = unread_bytes
        return now - self.read_at

    def holdings(self, now: float) -> Iterator[Holding]:
        """Yield what is held for this connection."""
        stalled_s = self.stalled_s(now)
        reply_bytes = self._reply_bytes()
        if reply_bytes:
            yield Holding(
                reply_kind(stalled_s),
                reply_bytes,
                reply_bytes,
                stalled_s,
                self.drop_replies,
            )
        if self.incoming.body_size:
            yield Holding(
                HeldKind.INCOMING_BODY,
                self.incoming.body_size,
                self._missing_body_bytes(),
                now - self.last_active_at,
                self._refuse_body,
            )
        queued_bytes = sum(exchange.body_size for exchange in self.queue)
        if queued_bytes:
            yield Holding(
                HeldKind.COMPLETE_REQUEST, queued_bytes, 0, 0.0, _keep
            )

    def drop_replies(self, reason: str) -> None:
        """Reset the connection, as its replies take memory in vain."""
        reset(self.transport)

    def _reply_bytes(self) -> int:
        """Return the size of the replies that the caller has not read."""
        waiting = sum(
            len(exchange.reply.body)
            for exchange in self.queue
            if exchange.reply
        )
        return waiting + self.unread_bytes

    def _missing_body_bytes(self) -> int:
        length = self.incoming.request.header(b'content-length') or b''
        size = int(length) if length.isdigit() else 0
        if not size:
            size = self.listener.limits.body_bytes
        return max(size - self.incoming.body_size, 0)

    def _refuse_body(self, reason: str) -> None:
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or buffer them while enough requests are queued."""
        if self.is_read_to_end:
            return
        self.last_active_at = loop_clock()
        self.unparsed += data
        self._parse()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.is_read_to_end:
            return
        self.is_reading = True
        self.incoming = _Exchange(IncomingRequest())
        self.chunks = []
        self.header_size = 0
        self.chunk_count = 0
        self.has_head = False

    def on_url(self, target: bytes) -> None:
        """Add a part of the request target."""
        if self.is_read_to_end:
            return
        self.incoming.request.target += target
        self.header_size += len(target)
        self._check_header_size(self.header_size)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the request; ignore trailers."""
        if self.is_read_to_end:
            return
        self.header_size += len(name) + len(text) + 4
        if not self.has_head:
            self.incoming.request.headers.append((name.lower(), text))
        self._check_header_size(self.header_size)

    def on_headers_complete(self) -> None:
        """Check the headers; send 100 Continue if the caller expects it."""
        if self.is_read_to_end:
            return
        self.has_head = True
        request = self.incoming.request
        request.method = self.parser.get_method()
        self.incoming.is_last = not self.parser.should_keep_alive()
        length = request.header(b'content-length')
        if length is not None and request.header(b'transfer-encoding'):
            self._refuse(HTTPStatus.BAD_REQUEST)
        elif length and int(length) > self.listener.limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif request.header(b'expect') is not None:
            self.awaits_continue = True
            self._send_continue()

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self.chunk_count += 1

    def on_body(self, data: bytes) -> None:
        """Add a part of the body, within the size limits."""
        if self.is_read_to_end:
            return
        self.overhead -= len(data)
        self.incoming.body_size += len(data)
        self.listener.body_bytes += len(data)
        if self.incoming.body_size > self.listener.limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.listener.body_bytes > self.listener.max_body_bytes:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.chunks.append(data)
            self.listener.account.grow(len(data))

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self.is_read_to_end:
            return
        exchange = self.incoming
        self.incoming = _Exchange(IncomingRequest())
        exchange.request.body = b''.join(self.chunks)
        self.chunks = []
        exchange.request.received_at = loop_clock()
        self.is_reading = False
        self.overhead = 0
        self.awaits_continue = False
        if self.listener.is_stopping:
            exchange.is_last = True
        self._enqueue(exchange)

    def _parse(self) -> None:
        """Parse received bytes until enough requests are queued."""
        while self.unparsed and not (self.is_read_to_end or self._is_full()):
            piece = bytes(self.unparsed[:PARSED_BYTES])
            del self.unparsed[:PARSED_BYTES]
            self._feed(piece)
        if self.is_read_to_end:
            self.unparsed.clear()
        if len(self.unparsed) > MAX_PIPELINED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _is_full(self) -> bool:
        return self.is_write_paused or len(self.queue) >= MAX_PIPELINED_REQUESTS

    def _feed(self, piece: bytes) -> None:
        self.overhead += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(HTTPStatus.BAD_REQUEST)
        framing_size = MAX_CHUNK_FRAMING_BYTES * self.chunk_count
        if self.is_reading:
            # The parser buffers an unfinished header, and skips extensions of
            # chunks, without a size limit.
            self._check_header_size(self.overhead - framing_size)

    def _check_header_size(self, size: int) -> None:
        if size > self.listener.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Reply with an error without reading on, and close."""
        if self.is_read_to_end:
            return
        self._release_body_bytes(self.incoming)
        self.chunks = []
        self.is_reading = False
        exchange = _Exchange(IncomingRequest())
        exchange.is_last = True
        exchange.reply = Reply(status)
        self._enqueue(exchange)

    def _enqueue(self, exchange: _Exchange) -> None:
        self.is_read_to_end = exchange.is_last
        self.queue.append(exchange)
        self._send_replies()
        self._start_handlers()

    def _start_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for exchange in self._runnable():
            if exchange.task is None and exchange.reply is None:
                exchange.task = loop.create_task(self._handle(exchange))

    def _runnable(self) -> Iterator[_Exchange]:
        """Yield the requests that need not wait for those before them.

        A request that is not safe is handled alone, in its place in the order
        of the requests.
        """
        for position, exchange in enumerate(self.queue):
            if position == MAX_PIPELINED_REQUESTS:
                return
            if position and self._reply_bytes() > MAX_LINK_REPLY_BYTES:
                return
            if len(self.queue) > 1 and not self._is_safe(exchange):
                if position == 0:
                    yield exchange
                return
            yield exchange

    def _is_safe(self, exchange: _Exchange) -> bool:
        if exchange.is_safe is None:
            exchange.is_safe = self.listener.is_safe(exchange.request)
        return exchange.is_safe

    async def _handle(self, exchange: _Exchange) -> None:
        try:
            exchange.reply = await self.listener.handler(exchange.request)
        except Exception as error:
            exchange.reply = Reply(HTTPStatus.INTERNAL_SERVER_ERROR)
            asyncio.get_running_loop().call_exception_handler(
                {'message': 'handler of a request failed', 'exception': error},
            )
        self._release_body_bytes(exchange)
        if not self.transport.is_closing():
            self._send_replies()
            self._start_handlers()
            self._parse()

    def _send_replies(self) -> None:
        """Send the replies that have none to wait for."""
        while self.queue:
            exchange = self.queue[0]
            if exchange.reply is None:
                return
            self.queue.popleft()
            self.last_active_at = loop_clock()
            self._write(
                _render(exchange.request, exchange.reply, exchange.is_last)
            )
            if exchange.is_last:
                self._close_after_reply()
        self._send_continue()

    def _write(self, reply: bytes) -> None:
        self.stalled_s(self.last_active_at)
        self.transport.write(reply)
        growth = self.transport.get_write_buffer_size() - self.unread_bytes
        self.unread_bytes += growth
        if growth > 0:
            self.listener.account.grow(growth)

    def _send_continue(self) -> None:
        if self.awaits_continue and not self.queue:
            self.awaits_continue = False
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _close_after_reply(self) -> None:
        """Close once the caller has closed, or after a while.

        Bytes that the caller still sends are discarded.
        """
        self.transport.resume_reading()
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.close)

    def _release_body_bytes(self, exchange: _Exchange) -> None:
        self.listener.body_bytes -= exchange.body_size
        exchange.body_size = 0


def _keep(reason: str) -> None:
    """Keep a request, which may be running."""


def _render(request: IncomingRequest, reply: Reply, is_last: bool) -> bytes:
    phrase = _PHRASES.get(reply.status, 'Unknown')
    lines = [b'HTTP/1.1 %d %s' % (reply.status, phrase.encode())]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in reply.headers
        if name not in HOP_BY_HOP_HEADERS
    )
    if reply.status not in {204, 304}:
        lines.append(b'content-length: %d' % len(reply.body))
    if is_last:
        lines.append(b'connection: close')
    lines.extend((b'', b''))
    head = b'\r\n'.join(lines)
    return head if request.method == b'HEAD' else head + reply.body


_PHRASES = {status.value: status.phrase for status in HTTPStatus}
