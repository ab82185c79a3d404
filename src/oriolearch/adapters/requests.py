"""Requests of callers: parsing their bytes and writing the answers."""

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

BUFFERED_BODY_LIMIT_BYTES = 65536  # larger bodies are uploads
# A caller that sends an upload more slowly uses up its stall time.
MIN_UPLOAD_BYTES_PER_S = 1024
HEAD_END = b'\r\n\r\n'

Fields = list[tuple[str, str]]
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_REASONS = {int(status): status.phrase for status in HTTPStatus}


class CallerInput:
    """Buffer of the bytes that a caller sent and that are not parsed yet.

    :ivar stall_left_s: how long the caller of an upload may still stall.
    :ivar needs_bytes: more bytes are needed to proceed.
    """

    bytes_read = 0  # read by cheroot's statistics

    def __init__(self, sock: socket.socket, stall_s: float) -> None:
        self.sock = sock
        self.stall_s = stall_s
        self.stall_left_s = stall_s
        self.buffer = b''
        self.needs_bytes = False
        self.is_eof = False
        self.closed = False

    def has_data(self) -> bool:
        """Return whether cheroot can proceed without polling the socket."""
        return bool(self.buffer) and not self.needs_bytes

    def fill(self) -> bool:
        """Read the bytes available; return ``False`` if there are none."""
        try:
            piece = self.sock.recv(PIECE_BYTES)
        except BlockingIOError:
            self.needs_bytes = True
            return False
        self.needs_bytes = False
        self.is_eof = not piece
        self.buffer += piece
        return bool(piece)

    def receive(self, limit: int) -> bytes:
        """Return at least one byte, waiting if necessary; empty at the end.

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
                started_at = time.monotonic()
                wait_for_caller(self.sock, select.POLLIN, self.stall_left_s)
                self.stall_left_s -= time.monotonic() - started_at
            else:
                replenished_s = (
                    self.stall_left_s + len(piece) / MIN_UPLOAD_BYTES_PER_S
                )
                self.stall_left_s = min(replenished_s, self.stall_s)
                return piece

    def discard(self) -> bool:
        """Discard the bytes available; return ``False`` at the end."""
        self.buffer = b''
        is_open = True
        while is_open and self.fill():
            self.buffer = b''
            is_open = not self.is_eof
        return not self.is_eof

    def extract_head(self) -> bytes | None:
        """Return the request head, ``None`` if it is still incomplete.

        :raises FramingError: when it is too long or a line lacks CRLF.
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
        """Discard the buffered bytes."""
        self.closed = True
        self.buffer = b''


def wait_for_caller(
    sock: socket.socket,
    event: int,
    timeout_s: float,
) -> None:
    """Wait until the socket of a caller is readable or writable.

    :param event: ``POLLIN`` or ``POLLOUT``.
    :raises TimeoutError: when it is not within the timeout.
    """
    poll = select.poll()
    poll.register(sock, event)
    if not poll.poll(max(timeout_s, 0) * 1000):
        raise TimeoutError('the caller stalled')


class _DateHeader:
    """Formats the ``Date`` header, at most once a second."""

    def __init__(self) -> None:
        self.second = 0
        self.text = ''

    def now(self) -> str:
        second = int(time.time())
        if second != self.second:
            self.text = formatdate(second, usegmt=True)
            self.second = second
        return self.text


_DATE_HEADER = _DateHeader()


class Connection(Protocol):
    """Interface of a caller's connection that a request uses."""

    rfile: CallerInput
    socket: socket.socket
    remote_addr: str | None

    @property
    def may_keep_alive(self) -> bool:
        """Return whether the connection may serve another request."""

    def write(self, piece: bytes) -> None:
        """Send bytes."""


class CallerRequest:
    """A request of a caller, and the answer to it.

    :ivar body: the whole body; ``None`` for an upload, which is streamed.
    :ivar rest: sends the remaining body of a long answer, on a thread for
        downloads.
    """

    __slots__ = (
        '_pending_head',
        'arrived_at',
        'body',
        'conn',
        'head',
        'is_body_read',
        'is_answer_chunked',
        'is_continue_done',
        'is_finished',
        'is_answer_started',
        'keep_alive',
        'rest',
    )

    def __init__(
        self,
        conn: Connection,
        head: RequestHead,
        arrived_at: float,
    ) -> None:
        self.conn = conn
        self.head = head
        self.arrived_at = arrived_at
        self.body: bytes | None = None
        self.keep_alive = head.keep_alive
        self.is_body_read = False
        self.is_answer_started = False
        self.is_finished = False
        self.is_answer_chunked = False
        self.is_continue_done = not head.expects_continue
        self.rest: Callable[[], None] | None = None
        self._pending_head = b''

    @property
    def is_upload(self) -> bool:
        """Return whether the body is streamed."""
        length = self.head.length
        return length is None or length > BUFFERED_BODY_LIMIT_BYTES

    @property
    def remote_address(self) -> str:
        """Return the address of the caller."""
        return str(self.conn.remote_addr or '')

    def extract_body(self) -> bool:
        """Read a small body; return ``False`` if it is still incomplete."""
        length = self.head.length or 0
        source = self.conn.rfile
        if len(source.buffer) < length:
            self._send_continue()
            return False
        self.body = source.buffer[:length]
        source.buffer = source.buffer[length:]
        self.is_body_read = True
        return True

    def pieces(self) -> Iterator[bytes]:
        """Yield the body of an upload in pieces of at most 64 KiB.

        :raises FramingError: when it is malformed or ends early.
        :raises TimeoutError: when the caller stalls.
        """
        self._send_continue()
        source = self.conn.rfile
        source.stall_left_s = source.stall_s
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
        """Prepare the head of the answer; it is sent with the first piece.

        :param length: bytes of the body; ``None`` when unknown.
        """
        self.is_answer_started = True
        self.keep_alive = (
            self.keep_alive and self.is_body_read and self.conn.may_keep_alive
        )
        lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "")}']
        lines.extend(f'{name}: {text}' for name, text in fields)
        if all(name.lower() != 'date' for name, _ in fields):
            lines.append(f'date: {_DATE_HEADER.now()}')
        lines.extend(self._framing_fields(status, length))
        if not self.keep_alive:
            lines.append('connection: close')
        self._pending_head = '\r\n'.join((*lines, '\r\n')).encode('latin-1')

    def send(self, piece: bytes) -> None:
        """Send a piece of the body, waiting while the caller reads slowly.

        :raises OSError: when the caller disconnects or stalls.
        """
        if self.is_answer_chunked:
            piece = b'%x\r\n%b\r\n' % (len(piece), piece)
        if self._pending_head:
            piece = self._pending_head + piece
            self._pending_head = b''
        self.conn.write(piece)

    def finish(self) -> None:
        """Complete the answer."""
        end = b'0\r\n\r\n' if self.is_answer_chunked else b''
        if self._pending_head or end:
            self.conn.write(self._pending_head + end)
            self._pending_head = b''
        self.is_finished = True

    def _framing_fields(self, status: int, length: int | None) -> list[str]:
        if self.head.method == 'HEAD' or status in _BODILESS:
            return [] if length is None else [f'content-length: {length}']
        if length is not None:
            return [f'content-length: {length}']
        if self.head.is_http11:
            self.is_answer_chunked = True
            return ['transfer-encoding: chunked']
        self.keep_alive = False
        return []

    def _send_continue(self) -> None:
        if not self.is_continue_done:
            self.is_continue_done = True
            self.conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')
