"""HTTP/1.1 connections to upstreams and to the store, on an event loop.

An answer is read whole before it is given on, so that one that was cut or
damaged on the way never looks complete.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from oriolearch.addresses import split_address
from oriolearch.clock import loop_clock
from oriolearch.core.errors import OriolearchError

CONNECT_TIMEOUT_S = 0.5  # a SYN that is lost is sent again after 1 s
IDLE_MARGIN_S = 1.0  # an idle connection is given up this long before its end
DEFAULT_IDLE_S = 4.0  # kept by an upstream that announces no time
LARGEST_ANSWER = 4 * 1024 * 1024  # bytes of a body that are held in memory
ANY_IDLE_S = float('inf')  # no limit beside the connection's own
STALE_ANSWERS = 2  # of earlier requests that are skipped on a connection

HOP_HEADERS = frozenset(
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

KEEP_ALIVE_S = 1  # pause before and between two probes of the kernel
KEEP_ALIVE_PROBES = 2  # that may stay unanswered
UNACKED_MS = 2000  # sent bytes that are not acknowledged by then end it

_KEEP_ALIVE = (
    (socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
    (socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
    (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, UNACKED_MS),
)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # linger for zero seconds

Headers = list[tuple[bytes, bytes]]


class LinkError(OriolearchError):
    """A connection gave no complete answer.

    :param address: ``host:port`` of the other end.
    :param reason: what went wrong.
    :param was_sent: bytes of the request may have arrived.
    """

    def __init__(self, address: str, reason: str, was_sent: bool) -> None:
        super().__init__(f'{address}: {reason}')
        self.address = address
        self.reason = reason
        self.was_sent = was_sent


class LinkRefusedError(LinkError):
    """Nothing listens at the address."""


@dataclass(slots=True)
class Answer:
    """A complete answer.

    :ivar headers: names in lower case, in the order of arrival.
    """

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: bytes) -> bytes | None:
        """Give the first header of a name."""
        return next((text for key, text in self.headers if key == name), None)


class Link(asyncio.Protocol):
    """One connection; carries one request at a time.

    :ivar used: requests that were sent on it.
    """

    def __init__(self, address: str, on_idle_end: Callable[['Link'], None]):
        self.address = address
        self.on_idle_end = on_idle_end
        self.transport: Any = None
        self.parser: Any = None
        self.answer = Answer()
        self.chunks: list[bytes] = []
        self.size = 0
        self.waiting: asyncio.Future[Answer] | None = None
        self.accepts: Callable[[Answer], bool] = _accept_any
        self.used = 0
        self.skipped = 0
        self.is_spoiled = False
        self.is_framed = False
        self.is_ended = False
        self.has_head = False
        self.is_closing = False
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0
        self.reset()

    def reset(self) -> None:
        """Get ready for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.answer = Answer()
        self.chunks = []
        self.size = 0
        self.is_framed = False
        self.has_head = False

    def connection_made(self, transport: Any) -> None:
        """Take the transport, and have the kernel test it while it is idle.

        A connection may go silent without a reset; a long poll would wait on
        it until its end.
        """
        self.transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in _KEEP_ALIVE:
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        if self.waiting is None:
            # Nothing was asked: such bytes belong to no request.
            self.is_spoiled = True
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.is_spoiled = True
            self._fail(f'malformed answer: {error}')

    def eof_received(self) -> bool:
        """Take the end of the stream, which ends an answer without length."""
        self.is_ended = True
        if self.waiting is not None and self.has_head and not self.is_framed:
            self.is_spoiled = True
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection."""
        self.is_ended = True
        self._fail(f'connection closed: {error}')
        self.on_idle_end(self)

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        accepts: Callable[[Answer], bool],
    ) -> Answer:
        """Send a request and give its answer.

        :param accepts: tells whether an answer belongs to the request.
        :raises LinkError: when no complete answer came in time.
        """
        loop = asyncio.get_running_loop()
        if self.used:
            self.reset()
        self.used += 1
        self.accepts = accepts
        waiting: asyncio.Future[Answer] = loop.create_future()
        self.waiting = waiting
        timer = loop.call_later(timeout_s, self._fail, 'no answer in time')
        try:
            self.transport.write(request)
            return await waiting
        finally:
            timer.cancel()
            self._end_exchange()

    def _end_exchange(self) -> None:
        if self.waiting is not None:
            self.waiting = None
            self.is_spoiled = True
        if self.is_spoiled:
            self.close()

    def close(self) -> None:
        """Reset the connection.

        An ordinary close would still deliver what the kernel has buffered,
        seconds later if the path is cut: a grant or a request that was given
        up must not arrive then.
        """
        self.is_ended = True
        if self.transport is None:
            return
        reset(self.transport)

    def is_reusable(self, now: float) -> bool:
        """Tell whether another request may be sent."""
        if self.is_spoiled or self.is_ended or self.is_closing:
            return False
        return now - self.idle_since < self.idle_s - IDLE_MARGIN_S

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header of the answer."""
        self.answer.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Take the end of the headers."""
        self.has_head = True
        answer = self.answer
        answer.status = self.parser.get_status_code()
        names = {name for name, _ in answer.headers}
        self.is_framed = (
            b'content-length' in names
            or b'transfer-encoding' in names
            or answer.status in {204, 304}
        )
        connection = answer.header(b'connection')
        if connection is not None and b'close' in connection.lower():
            self.is_closing = True
        keep_alive = answer.header(b'keep-alive')
        if keep_alive is not None:
            self.idle_s = _timeout_of(keep_alive) or self.idle_s

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.size += len(data)
        if self.size > LARGEST_ANSWER:
            self.is_spoiled = True
            self._fail('answer too large')
            return
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Take the end of the answer."""
        if self.answer.status < 200:
            self._skip()
            return
        if not self.parser.should_keep_alive():
            self.is_closing = True
        if self.waiting is None:
            self.is_spoiled = True
            return
        self._complete()

    def _complete(self) -> None:
        self.answer.body = b''.join(self.chunks)
        if not self.accepts(self.answer):
            self.is_spoiled = True
            self.skipped += 1
            if self.skipped > STALE_ANSWERS:
                self._fail('answers of other requests')
            else:
                self._skip()
            return
        waiting = self.waiting
        self.waiting = None
        self.idle_since = loop_clock()
        answer = self.answer
        # Headers of an answer behind this one must not be added to it.
        self._skip()
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _skip(self) -> None:
        """Wait for the answer that follows this one."""
        self.answer = Answer()
        self.chunks = []
        self.size = 0
        self.has_head = False

    def _fail(self, reason: str) -> None:
        self.is_spoiled = True
        waiting = self.waiting
        self.waiting = None
        if waiting is not None and not waiting.done():
            waiting.set_exception(LinkError(self.address, reason, True))


def reset(transport: Any) -> None:
    """End a connection with a reset instead of an ordinary close."""
    if not transport.is_closing():
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
    transport.abort()


class LinkPool:
    """Keeps connections to one address.

    :param largest: connections that are kept while idle.
    :param connect_s: a new connection is given up after this.
    """

    def __init__(
        self,
        address: str,
        largest: int = 4,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self.largest = largest
        self.connect_s = connect_s
        self.idle: list[Link] = []
        self.opened = 0

    async def exchange(
        self,
        request: bytes,
        timeout_s: float,
        accepts: Callable[[Answer], bool] | None = None,
        longest_idle_s: float = ANY_IDLE_S,
    ) -> Answer:
        """Send a request on a kept or new connection.

        :param longest_idle_s: a connection that was idle for longer is not
            used; 0 for a new one in any case.
        :raises LinkError: when no complete answer came in time.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        link = self._take(loop.time(), longest_idle_s)
        if link is None:
            link = await self._open(min(timeout_s, self.connect_s))
        left_s = max(ends_at - loop.time(), 0.001)
        try:
            return await link.exchange(
                request,
                left_s,
                accepts or _accept_any,
            )
        finally:
            if link.is_reusable(loop.time()) and len(self.idle) < self.largest:
                self.idle.append(link)
            else:
                link.close()

    def close(self) -> None:
        """Close all idle connections."""
        for link in self.idle:
            link.close()
        self.idle.clear()

    def drop_idle(self, now: float) -> None:
        """Close connections that were idle for too long."""
        for link in list(self.idle):
            if not link.is_reusable(now):
                self.idle.remove(link)
                link.close()

    def _take(self, now: float, longest_idle_s: float) -> Link | None:
        """Take the connection that was idle for the shortest time."""
        while self.idle:
            link = self.idle[-1]
            if link.is_reusable(now):
                if now - link.idle_since >= longest_idle_s:
                    return None
                return self.idle.pop()
            self.idle.pop().close()
        return None

    async def _open(self, timeout_s: float) -> Link:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(timeout_s):
                _, link = await loop.create_connection(
                    lambda: Link(self.address, self._forget),
                    host,
                    port,
                )
        except ConnectionRefusedError as error:
            raise LinkRefusedError(self.address, 'refused', False) from error
        except (OSError, TimeoutError, ValueError) as error:
            reason = f'connect: {type(error).__name__} {error}'
            raise LinkError(self.address, reason, False) from error
        return link

    def _forget(self, link: Link) -> None:
        if link in self.idle:
            self.idle.remove(link)


def _accept_any(answer: Answer) -> bool:
    return True


def _timeout_of(keep_alive: bytes) -> float | None:
    for part in keep_alive.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.strip().isdigit():
            return float(text)
    return None
