"""Strict parser of HTTP/1.1 request heads and chunked bodies.

A request that two parsers could read differently is refused. Otherwise the
upstream could read a part of its body as another request (request smuggling).
"""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from oriolearch.core.errors import OriolearchError

HEAD_LIMIT_BYTES = 16384
TARGET_LIMIT_BYTES = 8192
FIELD_LIMIT = 100
CHUNK_LINE_LIMIT_BYTES = 256
TRAILER_LIMIT_BYTES = 8192
PIECE_BYTES = 65536

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(
    rf'({_TOKEN}) ([\x21\x22\x24-\x7e]+) HTTP/1\.([01])',
)
_FIELD_LINE = re.compile(
    rf'({_TOKEN}):[ \t]*((?:[\x21-\x7e\x80-\xff][\t\x20-\x7e\x80-\xff]*)?)',
)
_LENGTH = re.compile('[0-9]{1,18}')
_ABSOLUTE = re.compile(r'(?i:https?)://([^/?]+)(.*)')
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:;[\t\x20-\x7e]*)?')
_HOST = re.compile(r'[A-Za-z0-9.\-_~\[\]:%]*')


class FramingError(OriolearchError):
    """A request is malformed or ambiguous.

    :param status: status of the error response.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class RequestHead:
    """The head of a request.

    :param target: path and query as the caller sent them.
    :param fields: header fields in order; names in lower case.
    :param headers: the last value of each field, by lower-case name.
    :param length: bytes of the body; ``None`` when it is chunked.
    """

    method: str
    target: str
    fields: list[tuple[str, str]]
    headers: dict[str, str]
    length: int | None
    keep_alive: bool
    is_http11: bool

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for 100 Continue."""
        expected = self.headers.get('expect', '').lower() == '100-continue'
        return expected and self.is_http11


def bad_request(reason: str) -> FramingError:
    """Return the error for a malformed request."""
    return FramingError(HTTPStatus.BAD_REQUEST, reason)


def _read_fields(lines: list[str]) -> list[tuple[str, str]]:
    if len(lines) > FIELD_LIMIT:
        raise FramingError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'more than {FIELD_LIMIT} header fields',
        )
    fields = []
    for line in lines:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise bad_request('malformed header field')
        name, text = match.groups()
        fields.append((name.lower(), text.rstrip(' \t')))
    return fields


def _is_chunked(
    names: list[str],
    headers: dict[str, str],
    is_http11: bool,
) -> bool:
    coding = headers.get('transfer-encoding')
    if coding is None:
        return False
    if 'content-length' in headers:
        raise bad_request('both content-length and transfer-encoding')
    if names.count('transfer-encoding') > 1 or not is_http11:
        raise bad_request('transfer-encoding is repeated or in HTTP/1.0')
    if coding.lower() != 'chunked':
        raise FramingError(
            HTTPStatus.NOT_IMPLEMENTED,
            'transfer-encoding other than chunked',
        )
    return True


def _body_length(
    fields: list[tuple[str, str]],
    headers: dict[str, str],
    is_http11: bool,
) -> int | None:
    names = [name for name, _ in fields]
    if _is_chunked(names, headers, is_http11):
        return None
    length = headers.get('content-length')
    if length is None:
        return 0
    if names.count('content-length') > 1 or not _LENGTH.fullmatch(length):
        raise bad_request('content-length is repeated or not a number')
    return int(length)


def _check_host(
    fields: list[tuple[str, str]],
    headers: dict[str, str],
    is_http11: bool,
) -> None:
    count = sum(name == 'host' for name, _ in fields)
    if count > 1 or (is_http11 and not count):
        raise bad_request('exactly one host header is needed')
    if not _HOST.fullmatch(headers.get('host', '')):
        raise bad_request('malformed host header')


def _origin_form(
    target: str,
    fields: list[tuple[str, str]],
    headers: dict[str, str],
) -> str:
    """Return path and query of the request target.

    The authority of an absolute target replaces the ``Host`` header.
    """
    if target.startswith('/'):
        return target
    match = _ABSOLUTE.fullmatch(target)
    if match is None:
        raise bad_request('the request target is not a path')
    host, rest = match.groups()
    if not _HOST.fullmatch(host):
        raise bad_request('malformed authority')
    headers['host'] = host
    others = [field for field in fields if field[0] != 'host']
    fields.clear()
    fields.extend((*others, ('host', host)))
    return rest if rest.startswith('/') else f'/{rest}'


def parse_head(head: bytes) -> RequestHead:
    """Parse a request head without its final empty line.

    :raises FramingError: when it is malformed or ambiguous.
    """
    line, *lines = head.decode('latin-1').split('\r\n')
    if len(line) > TARGET_LIMIT_BYTES:
        raise FramingError(HTTPStatus.REQUEST_URI_TOO_LONG, 'target too long')
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise bad_request('malformed request line')
    method, target, minor = match.groups()
    if method == 'CONNECT':
        raise FramingError(HTTPStatus.NOT_IMPLEMENTED, 'no tunnels')
    fields = _read_fields(lines)
    headers = dict(fields)
    is_http11 = minor == '1'
    _check_host(fields, headers, is_http11)
    length = _body_length(fields, headers, is_http11)
    connection = headers.get('connection', '').lower()
    return RequestHead(
        method=method,
        target=_origin_form(target, fields, headers),
        fields=fields,
        headers=headers,
        length=length,
        keep_alive=('close' not in connection if is_http11 else False),
        is_http11=is_http11,
    )


class ChunkedReader:
    """Decodes a chunked body.

    :param receive: returns the next bytes, at most as many as its argument;
        empty at the end of the connection.
    """

    def __init__(self, receive: Callable[[int], bytes]) -> None:
        self.receive = receive
        self.buffer = b''
        self.start = 0

    def pieces(self) -> Iterator[bytes]:
        """Yield the decoded body in pieces of at most 64 KiB.

        :raises FramingError: when the coding is malformed or truncated.
        """
        while True:
            match = _CHUNK_LINE.fullmatch(
                self._read_line(CHUNK_LINE_LIMIT_BYTES)
            )
            if match is None:
                raise bad_request('malformed chunk size')
            remaining = int(match[1], 16)
            if not remaining:
                break
            while remaining:
                piece = self._read_piece(min(remaining, PIECE_BYTES))
                remaining -= len(piece)
                yield piece
            if self._read_line(0):
                raise bad_request('a chunk is longer than its size')
        self._skip_trailers()

    def leftover(self) -> bytes:
        """Return bytes after the body, which begin the next request."""
        return self.buffer[self.start :]

    def _read_piece(self, limit: int) -> bytes:
        if self.start == len(self.buffer):
            self._receive()
        piece = self.buffer[self.start : self.start + limit]
        self.start += len(piece)
        return piece

    def _read_line(self, limit: int) -> bytes:
        end = self.buffer.find(b'\r\n', self.start)
        while end < 0 and len(self.buffer) - self.start < limit + 2:
            self._receive()
            end = self.buffer.find(b'\r\n', self.start)
        if not 0 <= end - self.start <= limit:
            raise bad_request('malformed chunk')
        line = self.buffer[self.start : end]
        self.start = end + 2
        return line

    def _receive(self) -> None:
        piece = self.receive(PIECE_BYTES)
        if not piece:
            raise bad_request('the body ends early')
        self.buffer = self.leftover() + piece
        self.start = 0

    def _skip_trailers(self) -> None:
        size = 0
        line = self._read_line(TRAILER_LIMIT_BYTES)
        while line:
            size += len(line)
            if size > TRAILER_LIMIT_BYTES:
                raise bad_request('trailers are too long')
            if not _FIELD_LINE.fullmatch(line.decode('latin-1')):
                raise bad_request('malformed trailer')
            line = self._read_line(TRAILER_LIMIT_BYTES)
