"""HTTP/1.1 connections of callers, on an event loop.

A request is read completely, passed to a handler, and answered; further
requests on the connection wait. When the caller closes the connection, the
handler is cancelled.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from oriolearch.adapters.upstream_links import HOP_BY_HOP_HEADERS, Headers
from oriolearch.clock import loop_clock
from oriolearch.core.directory import CallerLimits

MAX_PIPELINED_BYTES = 65536  # buffered per connection before reading pauses
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024  # of all requests in memory


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


class CallerListener:
    """State shared by all caller connections of one listening address.

    :ivar links: open connections.
    :ivar body_bytes: size of the request bodies in memory.
    :ivar is_stopping: connections are closed once they are idle.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.limits = CallerLimits()
        self.links: set[CallerLink] = set()
        self.body_bytes = 0
        self.is_stopping = False

    def create_protocol(self) -> 'CallerLink':
        """Return the protocol for a new connection."""
        return CallerLink(self)

    def running(self) -> int:
        """Return the number of requests being read or handled."""
        return sum(1 for link in self.links if link.is_busy())

    def stop(self) -> None:
        """Close idle connections now, and busy ones after their response."""
        self.is_stopping = True
        for link in list(self.links):
            if not link.is_busy():
                link.close()

    def close_expired(self, now: float) -> None:
        """Close connections that exceed the idle or header timeout."""
        limits = self.limits
        for link in list(self.links):
            if link.task is not None:
                continue
            limit_s = limits.idle_timeout_s
            if link.is_reading:
                limit_s = max(limits.header_timeout_s, limit_s)
            if now - link.last_active_at > limit_s:
                link.close()


class CallerLink(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: CallerListener) -> None:
        self.listener = listener
        self.transport: Any = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.request = IncomingRequest()
        self.chunks: list[bytes] = []
        self.size = 0
        self.header_size = 0
        self.unparsed_size = 0
        self.has_head = False
        self.task: asyncio.Task[None] | None = None
        self.backlog: list[bytes] = []
        self.is_reading = False
        self.is_last = False
        self.refusal_status = 0
        self.last_active_at = 0.0

    def connection_made(self, transport: Any) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        self.last_active_at = loop_clock()
        self.listener.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler of a caller that disconnected."""
        self.listener.links.discard(self)
        self._release_body_bytes()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close the connection, also when the caller only half-closed it."""
        return False

    def is_busy(self) -> bool:
        """Return whether a request is being read or handled."""
        return self.is_reading or self.task is not None

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or buffer them while a request is handled."""
        if self.task is not None:
            self.backlog.append(data)
            if sum(map(len, self.backlog)) > MAX_PIPELINED_BYTES:
                self.transport.pause_reading()
            return
        self.last_active_at = loop_clock()
        self._feed(data)
        if self.is_reading and not self.has_head:
            # The parser buffers an unfinished header without a size limit.
            self.unparsed_size += len(data)
            self._check_header_size()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self._is_pipelined():
            return
        self.is_reading = True
        self.request = IncomingRequest()
        self.chunks = []
        self.size = 0
        self.header_size = 0
        self.unparsed_size = 0
        self.has_head = False

    def on_url(self, target: bytes) -> None:
        """Add a part of the request target."""
        if self._is_pipelined():
            return
        self.request.target += target
        self.header_size += len(target)
        self._check_header_size()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the request."""
        if self._is_pipelined():
            return
        self.header_size += len(name) + len(text) + 4
        self.request.headers.append((name.lower(), text))
        self._check_header_size()

    def on_headers_complete(self) -> None:
        """Check the headers; send 100 Continue if the caller expects it."""
        if self._is_pipelined():
            return
        self.has_head = True
        request = self.request
        request.method = self.parser.get_method()
        self.is_last = not self.parser.should_keep_alive()
        length = request.header(b'content-length')
        if length is not None and request.header(b'transfer-encoding'):
            self._refuse(HTTPStatus.BAD_REQUEST)
        elif length and int(length) > self.listener.limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif request.header(b'expect') is not None:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Add a part of the body, within the size limits."""
        if self._is_pipelined():
            return
        self.size += len(data)
        self.listener.body_bytes += len(data)
        if self.size > self.listener.limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.listener.body_bytes > MAX_TOTAL_BODY_BYTES:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Start the handler of a complete request."""
        if self.refusal_status or self.task is not None:
            return
        request = self.request
        request.body = b''.join(self.chunks)
        self.chunks = []
        loop = asyncio.get_running_loop()
        request.received_at = loop.time()
        self.is_reading = False
        self.task = loop.create_task(self._handle(request))

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            if self.task is None:
                self._refuse(self.refusal_status or HTTPStatus.BAD_REQUEST)
            else:
                self.is_last = True

    def _is_pipelined(self) -> bool:
        """Check whether a request is pipelined behind one being handled.

        The pipelined request is not read, and the connection is closed after
        the response to the earlier one.
        """
        if self.task is None:
            return False
        self.is_last = True
        return True

    def _check_header_size(self) -> None:
        size = max(self.header_size, self.unparsed_size)
        if size > self.listener.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Send an error response without reading on, and close."""
        if self.refusal_status:
            return
        self.refusal_status = status
        self.transport.write(
            b'HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
            % (status, HTTPStatus(status).phrase.encode()),
        )
        self.transport.close()

    async def _handle(self, request: IncomingRequest) -> None:
        reply = await self.listener.handler(request)
        self._release_body_bytes()
        self.is_last = self.is_last or self.listener.is_stopping
        if not self.transport.is_closing():
            self.transport.write(_render(request, reply, self.is_last))
        self.task = None
        self.last_active_at = loop_clock()
        if self.is_last:
            self.transport.close()
            return
        self.parser = httptools.HttpRequestParser(self)
        backlog = self.backlog
        self.backlog = []
        self.transport.resume_reading()
        for data in backlog:
            self.data_received(data)

    def _release_body_bytes(self) -> None:
        self.listener.body_bytes -= self.size
        self.size = 0


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
