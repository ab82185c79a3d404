"""A request of a caller: its bytes, and the answer to it."""

import select
import socket
import time
from collections.abc import Callable, Iterator
from email.utils import formatdate
from http import HTTPStatus
from typing import Protocol

from oriolearch.adapters.framing import (
    HEAD_LIMIT_BYTES,
    PIECE_BYTES,
    ChunkedReader,
    FramingError,
    RequestHead,
    bad_request,
)

SMALL_BODY_BYTES = 65536  # larger bodies are uploads
MIN_BYTES_PER_S = 1024  # a caller that sends less uses up its stall time
HEAD_END = b'\r\n\r\n'

Fields = list[tuple[str, str]]
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_REASONS = {int(status): status.phrase for status in HTTPStatus}


class CallerInput:
    """Bytes that a caller sent and that are not used yet.

    :ivar patience_s: how long the caller of an upload may stay silent.
    :ivar is_waiting: they are not enough to go on.
    """

    bytes_read = 0  # read by cheroot's statistics

    def __init__(self, sock: socket.socket, stall_s: float) -> None:
        self.sock = sock
        self.stall_s = stall_s
        self.patience_s = stall_s
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
                piece = self.sock.recv(limit)
            except BlockingIOError:
                began = time.monotonic()
                wait_for_caller(self.sock, select.POLLIN, self.patience_s)
                self.patience_s -= time.monotonic() - began
            else:
                earned = self.patience_s + len(piece) / MIN_BYTES_PER_S
                self.patience_s = min(earned, self.stall_s)
                return piece

    def discard(self) -> bool:
        """Throw away what has arrived; ``False`` at the end."""
        self.buffer = b''
        is_open = True
        while is_open and self.fill():
            self.buffer = b''
            is_open = not self.is_ended
        return not self.is_ended

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


def wait_for_caller(
    sock: socket.socket,
    event: int,
    timeout_s: float,
) -> None:
    """Wait until a caller sends or takes bytes.

    :raises TimeoutError: when it does not in time.
    """
    poll = select.poll()
    poll.register(sock, event)
    if not poll.poll(max(timeout_s, 0) * 1000):
        raise TimeoutError('the caller stalled')


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


class Connection(Protocol):
    """What a request needs of its connection."""

    rfile: CallerInput
    socket: socket.socket
    remote_addr: str | None

    @property
    def may_keep_alive(self) -> bool:
        """Tell whether the connection may serve another request."""

    def write(self, piece: bytes) -> None:
        """Send bytes."""


class CallerRequest:
    """One request of a caller, and the answer to it.

    :ivar body: the whole body; ``None`` while an upload is to be streamed.
    :ivar rest: sends the rest of a long answer, on a thread for downloads.
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
        'rest',
    )

    def __init__(
        self,
        conn: Connection,
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
        self.rest: Callable[[], None] | None = None
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
        source.patience_s = source.stall_s
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
            self.keep_alive and self.is_body_read and self.conn.may_keep_alive
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
