"""Requests that two parsers could read in different ways."""

import socket
from collections.abc import Callable

import pytest

from oriolearch.adapters.framing import ChunkedReader, FramingError, parse_head
from tests.conftest import StartedEntry
from tests.entries import WAIT_S, make_view
from tests.upstreams import FakeUpstream

HEAD = 'POST /files/a HTTP/1.1\r\nhost: x\r\n'
CHUNKED = f'{HEAD}transfer-encoding: chunked\r\n\r\n'
SMUGGLED = 'GET /files/smuggled HTTP/1.1\r\nhost: x\r\n\r\n'

MALFORMED = {
    'both lengths': f'{HEAD}content-length: 4\r\n'
    f'transfer-encoding: chunked\r\n\r\n0\r\n\r\n{SMUGGLED}',
    'lengths differ': f'{HEAD}content-length: 4\r\ncontent-length: 5\r\n\r\nabcd',
    'same length twice': f'{HEAD}content-length: 0\r\ncontent-length: 0\r\n\r\n',
    'length list': f'{HEAD}content-length: 4, 4\r\n\r\nabcd',
    'length with sign': f'{HEAD}content-length: +4\r\n\r\nabcd',
    'length in hexadecimal': f'{HEAD}content-length: 0x4\r\n\r\nabcd',
    'empty length': f'{HEAD}content-length:\r\n\r\n{SMUGGLED}',
    'coding twice': f'{HEAD}transfer-encoding: chunked\r\n'
    f'transfer-encoding: identity\r\n\r\n{SMUGGLED}',
    'coding list': f'{HEAD}transfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n',
    'unknown coding': f'{HEAD}transfer-encoding: xchunked\r\n\r\n{SMUGGLED}',
    'coding after a control': f'{HEAD}transfer-encoding: \x0bchunked\r\n\r\n0',
    'coding in HTTP/1.0': CHUNKED.replace('HTTP/1.1', 'HTTP/1.0') + '0\r\n\r\n',
    'space before colon': f'{HEAD}content-length : 4\r\n\r\nabcd',
    'folded field': f'{HEAD}x: 1\r\n content-length: 4\r\n\r\nabcd',
    'bare LF ends a field': f'{HEAD}x: 1\ncontent-length: 4\r\n\r\nabcd',
    'bare LF ends the head': 'GET /files/a HTTP/1.1\nhost: x\n\n',
    'bare CR in a field': f'{HEAD}x: 1\rcontent-length: 4\r\n\r\nabcd',
    'null in a field': f'{HEAD}x: \x00\r\n\r\n',
    'no host': 'GET /files/a HTTP/1.1\r\n\r\n',
    'two hosts': f'{HEAD}host: y\r\n\r\n',
    'path in host': 'GET /files/a HTTP/1.1\r\nhost: x/y\r\n\r\n',
    'two spaces': 'GET  /files/a HTTP/1.1\r\nhost: x\r\n\r\n',
    'fragment': 'GET /files/a#b HTTP/1.1\r\nhost: x\r\n\r\n',
    'tunnel': 'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n',
    'version': 'GET /files/a HTTP/2.0\r\nhost: x\r\n\r\n',
    'long target': f'GET /files/{"a" * 9000} HTTP/1.1\r\nhost: x\r\n\r\n',
    'long head': f'{HEAD}x: {"a" * 20000}\r\n\r\n',
    'many fields': HEAD + 'x: 1\r\n' * 101 + '\r\n',
    'chunk size with sign': f'{CHUNKED}+4\r\nabcd\r\n0\r\n\r\n',
    'chunk size with prefix': f'{CHUNKED}0x4\r\nabcd\r\n0\r\n\r\n',
    'chunk size with space': f'{CHUNKED}4 \r\nabcd\r\n0\r\n\r\n',
    'empty chunk size': f'{CHUNKED}\r\nabcd\r\n0\r\n\r\n',
    'huge chunk size': f'{CHUNKED}{"f" * 17}\r\nabcd\r\n0\r\n\r\n',
    'chunk longer than its size': f'{CHUNKED}3\r\nabcd\r\n0\r\n\r\n',
    'bare LF after chunk size': f'{CHUNKED}4\nabcd\r\n0\r\n\r\n',
    'long chunk extension': f'{CHUNKED}4;{"a" * 300}\r\nabcd\r\n0\r\n\r\n',
    'malformed trailer': f'{CHUNKED}0\r\nx : 1\r\n\r\n{SMUGGLED}',
}


@pytest.mark.parametrize('raw', MALFORMED.values(), ids=MALFORMED.keys())
def test_ambiguous_requests_are_refused(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
    raw: str,
) -> None:
    """A part of a request must not reach an upstream as another request."""
    fake = upstream()
    _, address = start(make_view((fake.address,)))
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        sock.sendall(raw.encode('latin-1'))
        answers = b''
        while piece := sock.recv(65536):
            answers += piece
    assert answers.startswith((b'HTTP/1.1 4', b'HTTP/1.1 5'))
    assert answers.count(b'HTTP/1.1 ') == 1
    assert b'oriolearch-outcome: ' in answers
    assert not any('smuggled' in call.target for call in fake.requests)
    assert not any(call.is_complete for call in fake.requests)


def test_pipelined_requests_are_answered_in_order(
    upstream: Callable[..., FakeUpstream], start: Callable[..., StartedEntry]
) -> None:
    """Bytes after a body must be read as the next request, exactly once."""
    fake = upstream()
    _, address = start(make_view((fake.address,)))
    parts = [
        f'{HEAD}content-length: 3\r\n\r\none',
        f'{CHUNKED}2;x=1\r\ntw\r\n1\r\no\r\n0\r\nx-trailer: 1\r\n\r\n',
        f'{HEAD}connection: close\r\ncontent-length: 5\r\n\r\nthree',
    ]
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        sock.sendall(''.join(parts).encode())
        answers = b''
        while piece := sock.recv(65536):
            answers += piece
    bodies = [
        part.rpartition(b'\r\n')[2] for part in answers.split(b'HTTP/1.1 ')
    ]
    assert bodies == [b'', b'one', b'two', b'three']


@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
def test_chunked_body_in_any_split(size: int) -> None:
    """The decoded body must not depend on how the bytes are split."""
    raw = b'5\r\nhello\r\n10;a="b"\r\n, \r\n in 16 bytes\r\n0\r\n\r\nnext'
    parts = iter([raw[at : at + size] for at in range(0, len(raw), size)])
    reader = ChunkedReader(lambda limit: next(parts, b''))
    assert b''.join(reader.pieces()) == b'hello, \r\n in 16 bytes'
    assert b'next'.startswith(reader.leftover())


@pytest.mark.parametrize('cut', range(1, 15))
def test_truncated_chunked_body_is_an_error(cut: int) -> None:
    """A truncated body must not be accepted as a complete one."""
    raw = b'5\r\nhello\r\n0\r\n\r\n'
    parts = iter([raw[:cut]])
    with pytest.raises(FramingError):
        list(ChunkedReader(lambda limit: next(parts, b'')).pieces())


def test_absolute_target_replaces_host() -> None:
    """An absolute target must be routed by its authority, not by Host."""
    head = parse_head(b'GET http://b/c?d HTTP/1.1\r\nHost: a')
    assert (head.target, head.headers['host']) == ('/c?d', 'b')
    assert head.fields == [('host', 'b')]
