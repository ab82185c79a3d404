"""HTTP/1.1 connections to upstreams and to the store, on an event loop.

A response is read completely before it is returned, so that a truncated or
damaged one is never mistaken for a complete one.
"""

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

from oriolearch.adapters.memory import MemoryAccount
from oriolearch.addresses import split_address
from oriolearch.clock import loop_clock
from oriolearch.core.errors import OriolearchError
from oriolearch.core.memory_budget import HeldKind, Holding

CONNECT_TIMEOUT_S = 0.5  # the kernel retransmits a lost SYN after 1 s
IDLE_MARGIN_S = 1.0  # stop reusing a connection this long before it expires
DEFAULT_IDLE_S = 4.0  # keep-alive of an upstream that sends no timeout
MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024  # bodies are buffered
# Heads, interim responses, trailers and chunk extensions of one response. A
# faulty peer may send any of these without end.
MAX_RESPONSE_OVERHEAD_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 10  # of a length that is meant
MAX_CHUNK_FRAMING_BYTES = 16  # size line and line ends of a chunk
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
MAX_CHUNKS = 65536  # of one response
# Incomplete responses of all connections to upstreams together.
DEFAULT_RESPONSE_MEMORY_BYTES = 48 * 1024 * 1024
UNLIMITED_IDLE_S = float('inf')  # only the keep-alive timeout applies
# A peer that resets a connection after it ended its stream does so at once.
END_SETTLE_S = 0.05
MAX_STATUS = 599
HEAD_END = b'\r\n\r\n'
MAX_STALE_RESPONSES = 2  # of earlier requests, skipped per connection

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    ),
)

TCP_KEEP_ALIVE_S = 1  # idle time before and interval between probes
TCP_KEEP_ALIVE_PROBES = 2  # unanswered probes that end a connection
TCP_USER_TIMEOUT_MS = 2000  # limit for unacknowledged sent bytes

_TCP_OPTIONS = (
    (socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_S),
    (socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_S),
    (socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # linger for zero seconds

Headers = list[tuple[bytes, bytes]]


class LinkError(OriolearchError):
    """A request on a connection got no complete response.

    :param address: ``host:port`` of the peer.
    :param reason: description of the failure.
    :param was_sent: whether bytes of the request may have arrived.
    :param is_alive: whether the peer closed or reset the connection after the
        request, or sent bytes, so that it still runs.
    """

    def __init__(
        self,
        address: str,
        reason: str,
        was_sent: bool,
        is_alive: bool = False,
    ) -> None:
        super().__init__(f'{address}: {reason}')
        self.address = address
        self.reason = reason
        self.was_sent = was_sent
        self.is_alive = is_alive


class LinkRefusedError(LinkError):
    """The connection was refused: nothing listens at the address."""


@dataclass(slots=True)
class HttpResponse:
    """A complete response.

    :ivar headers: names in lower case, in the order of arrival.
    """

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name."""
        return next((text for key, text in self.headers if key == name), None)

    def texts(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with a lower-case name."""
        return [text for key, text in self.headers if key == name]


class ResponseMemory:
    """Bounds the memory of all incomplete responses together.

    :param limit_bytes: the largest response is dropped beyond that.
    :param account: counts these responses beside all else that is held.
    :ivar held_bytes: bytes of all incomplete responses.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_RESPONSE_MEMORY_BYTES,
        account: MemoryAccount | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.account = account or MemoryAccount()
        self.account.sources.append(self.holdings)
        self.held_bytes = 0
        self.sizes: dict[Link, int] = {}

    def hold(self, link: 'Link', size: int) -> None:
        """Record the bytes of the response that a connection receives.

        A faulty upstream sends more than others, so the largest response is
        the one to drop.
        """
        growth = size - self.sizes.pop(link, 0)
        self.held_bytes += growth
        if size:
            self.sizes[link] = size
        while self.held_bytes > self.limit_bytes and self.sizes:
            largest = max(self.sizes, key=self.sizes.__getitem__)
            largest.drop_response('the answers take too much memory')
        if growth > 0:
            self.account.grow(growth)

    def holdings(self) -> Iterator[Holding]:
        """Yield what is held for each response."""
        for link, size in list(self.sizes.items()):
            yield Holding(
                HeldKind.INCOMING_ANSWER,
                size,
                max(link.expected_size - size, 0),
                0.0,
                link.drop_response,
            )


class Link(asyncio.Protocol):
    """One connection; carries one request at a time.

    :param on_lost: called when the connection is lost.
    :param memory: bounds the responses of all connections.
    :ivar request_count: number of requests that were sent on it.
    :ivar is_unusable: the connection must not carry another request.
    :ivar is_delimited: the end of the body is known without a close.
    :ivar has_request_body: the pending request has a body, which the peer may
        not have read.
    :ivar overhead: received bytes of the exchange other than bodies.
    :ivar overhead_limit: bound on ``overhead``; grows with each chunk.
    """

    def __init__(
        self,
        address: str,
        on_lost: Callable[['Link'], None],
        memory: ResponseMemory | None = None,
    ) -> None:
        self.address = address
        self.on_lost = on_lost
        self.memory = memory or ResponseMemory()
        self.transport: Any = None
        self.parser: Any = None
        self.response = HttpResponse()
        self.body = bytearray()
        self.chunk_count = 0
        self.overhead = 0
        self.overhead_limit = 0
        self.interim_count = 0
        self.pending: asyncio.Future[HttpResponse] | None = None
        self.accepts: Callable[[HttpResponse], bool] = _accept_any
        self.request_count = 0
        self.skipped_count = 0
        self.is_unusable = False
        self.is_delimited = False
        self.has_request_body = False
        self.is_closed = False
        self.has_head = False
        self.is_closing = False
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0
        self.reset()

    @property
    def expected_size(self) -> int:
        """Return the size of the response, or the most that it may have."""
        length = self.response.header(b'content-length') or b''
        if length.isdigit() and len(length) < MAX_LENGTH_DIGITS:
            return int(length)
        return MAX_RESPONSE_BODY_BYTES

    def reset(self) -> None:
        """Prepare for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.response = HttpResponse()
        self.body = bytearray()
        self.chunk_count = 0
        self.overhead = 0
        self.overhead_limit = MAX_RESPONSE_OVERHEAD_BYTES
        self.interim_count = 0
        self.is_delimited = False
        self.has_head = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport and enable TCP keep-alive.

        The peer may vanish without a reset; without keep-alive probes a long
        poll would wait on such a connection until its timeout.
        """
        self.transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in _TCP_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response."""
        if self.pending is None:
            # No request is pending, so the bytes belong to none.
            self.is_unusable = True
            self.close()
            return
        self.overhead += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f'malformed answer: {error}')
        if self.overhead > self.overhead_limit:
            self._fail('head or framing of the answer too large')
        if self.pending is not None:
            self.memory.hold(self, len(self.body) + self.overhead)

    def eof_received(self) -> bool:
        """End a response that is delimited by the end of the stream.

        A peer that has not read the whole request resets the connection after
        that, and its response is not complete.
        """
        self.is_closed = True
        if self.pending is None or not self.has_head or self.is_delimited:
            return False
        self.is_unusable = True
        if self.transport.get_write_buffer_size():
            self._fail('answer ended before the request was sent')
        elif self.has_request_body:
            loop = asyncio.get_running_loop()
            loop.call_later(END_SETTLE_S, self._complete_unless_reset)
        else:
            self._complete()
        return self.pending is not None

    def _complete_unless_reset(self) -> None:
        if self.pending is None:
            return
        sock = self.transport.get_extra_info('socket')
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(f'reset after the answer: {os.strerror(error)}')
        else:
            self._complete()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending request and notify the owner."""
        self.is_closed = True
        cause = error or 'by the peer'
        is_reset = isinstance(error, ConnectionError)
        self._fail(
            f'connection closed: {cause}', is_alive=error is None or is_reset
        )
        self.on_lost(self)

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        accepts: Callable[[HttpResponse], bool],
    ) -> HttpResponse:
        """Send a request and return its response.

        :param accepts: checks whether a response belongs to the request.
        :raises LinkError: when no complete response arrived in time.
        """
        loop = asyncio.get_running_loop()
        if self.request_count:
            self.reset()
        self.request_count += 1
        self.accepts = accepts
        head_size = request.find(HEAD_END) + len(HEAD_END)
        self.has_request_body = head_size < len(request)
        pending: asyncio.Future[HttpResponse] = loop.create_future()
        self.pending = pending
        timer = loop.call_later(timeout_s, self._time_out)
        try:
            self.transport.write(request)
            return await pending
        finally:
            timer.cancel()
            self._end_exchange()

    def _end_exchange(self) -> None:
        if self.pending is not None:
            self.pending = None
            self.is_unusable = True
        if self.is_unusable:
            self.close()
        self.memory.hold(self, 0)

    def drop_response(self, reason: str) -> None:
        """Fail the pending request, and free what was received."""
        self._fail(reason)
        self._discard_response()
        self.memory.hold(self, 0)
        self.close()

    def close(self) -> None:
        """Reset the connection.

        After an ordinary close the kernel still delivers buffered bytes,
        after a partition even seconds later. A grant or a request that timed
        out must not arrive then.
        """
        self.is_closed = True
        if self.transport is None:
            return
        reset(self.transport)

    def is_reusable(self, now: float) -> bool:
        """Return whether another request may be sent."""
        if self.is_unusable or self.is_closed or self.is_closing:
            return False
        return now - self.idle_since < self.idle_s - IDLE_MARGIN_S

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the response; ignore trailers."""
        if not self.has_head:
            self.response.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Read status, framing and keep-alive from the headers."""
        self.has_head = True
        response = self.response
        response.status = self.parser.get_status_code()
        if not HTTPStatus.CONTINUE <= response.status <= MAX_STATUS:
            self._fail(f'status {response.status} is outside the protocol')
        names = {name for name, _ in response.headers}
        self.is_delimited = (
            b'content-length' in names
            or b'transfer-encoding' in names
            or response.status in {204, 304}
        )
        connection = response.header(b'connection')
        if connection is not None and b'close' in connection.lower():
            self.is_closing = True
        keep_alive = response.header(b'keep-alive')
        if keep_alive is not None:
            self.idle_s = _keep_alive_timeout_s(keep_alive) or self.idle_s

    def on_body(self, data: bytes) -> None:
        """Add a part of the body, up to the size limit."""
        self.overhead -= len(data)
        if len(self.body) + len(data) > MAX_RESPONSE_BODY_BYTES:
            self._fail('answer too large')
            return
        self.body += data

    def on_chunk_header(self) -> None:
        """Allow for the framing of another chunk."""
        self.overhead_limit += MAX_CHUNK_FRAMING_BYTES
        self.chunk_count += 1
        if self.chunk_count > MAX_CHUNKS:
            self._fail('too many chunks')

    def on_message_complete(self) -> None:
        """Complete the pending request; skip interim (1xx) responses."""
        if self.response.status < 200:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                self._fail('too many interim answers')
            self._discard_response()
            return
        if not self.parser.should_keep_alive():
            self.is_closing = True
        if self.pending is None:
            self.is_unusable = True
            return
        self._complete()

    def _complete(self) -> None:
        self.response.body = bytes(self.body)
        if not self.accepts(self.response):
            self.is_unusable = True
            self.skipped_count += 1
            if self.skipped_count > MAX_STALE_RESPONSES:
                self._fail('answers of other requests')
            else:
                self._discard_response()
            return
        pending = self.pending
        self.pending = None
        self.idle_since = loop_clock()
        response = self.response
        # Headers of a following response must not be added to this one.
        self._discard_response()
        if pending is not None and not pending.done():
            pending.set_result(response)

    def _discard_response(self) -> None:
        """Discard the current response and parse the next one."""
        self.response = HttpResponse()
        self.body = bytearray()
        self.chunk_count = 0
        self.has_head = False

    def _time_out(self) -> None:
        self._fail('no answer in time', is_alive=False)

    def _fail(self, reason: str, *, is_alive: bool = True) -> None:
        self.is_unusable = True
        pending = self.pending
        self.pending = None
        if pending is not None and not pending.done():
            pending.set_exception(
                LinkError(self.address, reason, True, is_alive)
            )


def reset(transport: Any) -> None:
    """Close a connection with a TCP reset (RST), dropping unsent bytes."""
    if not transport.is_closing():
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
    transport.abort()


class LinkPool:
    """A pool of connections to one address.

    :param max_idle_links: maximum number of idle connections.
    :param connect_s: timeout for opening a connection.
    :param memory: bounds the responses of several pools; by default this
        pool's alone.
    :ivar opened_count: number of connections opened so far.
    """

    def __init__(
        self,
        address: str,
        max_idle_links: int = 4,
        connect_s: float = CONNECT_TIMEOUT_S,
        memory: ResponseMemory | None = None,
    ) -> None:
        self.address = address
        self.memory = memory or ResponseMemory()
        self.max_idle_links = max_idle_links
        self.connect_s = connect_s
        self.idle: list[Link] = []
        self.opened_count = 0

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        accepts: Callable[[HttpResponse], bool] | None = None,
        max_idle_s: float = UNLIMITED_IDLE_S,
        carriers: set[Link] | None = None,
    ) -> HttpResponse:
        """Send a request on an idle or new connection.

        :param max_idle_s: a connection that was idle for this long is not
            used; 0 always opens a new one.
        :param carriers: connections that carried the request before; the one
            that is used is added. None of them is used again, because a
            repeated response to an earlier attempt, such as a refusal, cannot
            be distinguished from the response to this one.
        :raises LinkError: when no complete response arrived in time.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        link = self._pop_idle(loop.time(), max_idle_s, carriers or set())
        if link is None:
            link = await self._open(min(timeout_s, self.connect_s))
        if carriers is not None:
            carriers.add(link)
        remaining_s = max(ends_at - loop.time(), 0.001)
        try:
            return await link.exchange(
                request,
                remaining_s,
                accepts or _accept_any,
            )
        finally:
            if (
                link.is_reusable(loop.time())
                and len(self.idle) < self.max_idle_links
            ):
                self.idle.append(link)
            else:
                link.close()

    def close(self) -> None:
        """Close all idle connections."""
        for link in self.idle:
            link.close()
        self.idle.clear()

    def close_expired(self, now: float) -> None:
        """Close idle connections that are no longer reusable."""
        for link in list(self.idle):
            if not link.is_reusable(now):
                self.idle.remove(link)
                link.close()

    def _pop_idle(
        self,
        now: float,
        max_idle_s: float,
        excluded: set[Link],
    ) -> Link | None:
        """Return the most recently used idle connection, if any."""
        for link in reversed(self.idle.copy()):
            if not link.is_reusable(now):
                self.idle.remove(link)
                link.close()
            elif now - link.idle_since >= max_idle_s:
                return None
            elif link not in excluded:
                self.idle.remove(link)
                return link
        return None

    async def _open(self, timeout_s: float) -> Link:
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(timeout_s):
                _, link = await loop.create_connection(
                    lambda: Link(self.address, self._remove_idle, self.memory),
                    host,
                    port,
                )
        except ConnectionRefusedError as error:
            raise LinkRefusedError(self.address, 'refused', False) from error
        except (OSError, OverflowError, ValueError) as error:
            reason = f'connect: {type(error).__name__} {error}'
            raise LinkError(self.address, reason, False) from error
        return link

    def _remove_idle(self, link: Link) -> None:
        if link in self.idle:
            self.idle.remove(link)


def _accept_any(response: HttpResponse) -> bool:
    return True


def _keep_alive_timeout_s(keep_alive: bytes) -> float | None:
    for part in keep_alive.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.strip().isdigit():
            return float(text)
    return None
