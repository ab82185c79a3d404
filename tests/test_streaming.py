"""Tests of large bodies, with the entry in a separate process."""

import hashlib
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from http.client import HTTPConnection

import pytest

from tests.entries import WAIT_S
from tests.upstreams import FakeUpstream, ReceivedRequest

SIZE_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 65536
GROWTH_LIMIT_BYTES = 8 * 1024 * 1024  # an eighth of the body


def pieces() -> Iterator[bytes]:
    """Yield 64 MiB of random data, the same in each call."""
    rng = random.Random(7)
    for _ in range(SIZE_BYTES // PIECE_BYTES):
        yield rng.randbytes(PIECE_BYTES)


def hash_body(parts: Iterator[bytes]) -> str:
    """Return the SHA-256 hash of a body."""
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(part)
    return hasher.hexdigest()


def read_parts(read: Callable[[int], bytes], size: int) -> Iterator[bytes]:
    """Yield a body in the pieces in which it is read."""
    while size:
        part = read(min(PIECE_BYTES, size))
        if not part:
            break
        size -= len(part)
        yield part


def serve_large_body(call: ReceivedRequest) -> None:
    """Answer an upload with its hash, or serve a download."""
    size = int(call.headers.get('content-length', 0))
    if size > PIECE_BYTES:
        call.answer(hash_body(read_parts(call.stream.read, size)).encode())
    elif call.target == '/files/large':
        call.read_body()
        call.answer(b'', 200, content_length=str(SIZE_BYTES))
        for part in pieces():
            call.sock.sendall(part)
    else:
        call.read_body()
        call.answer(call.body)


@pytest.mark.parametrize('method', ['PUT', 'GET'])
def test_large_body_is_unchanged_and_not_buffered(
    upstream: Callable[..., FakeUpstream], method: str
) -> None:
    """A large body must arrive unchanged and must not be buffered whole."""
    fake = upstream(serve_large_body)
    command = (sys.executable, '-m', 'tests.entry_process', fake.address)
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        port = int(process.stdout.readline())
        conn = HTTPConnection('127.0.0.1', port, timeout=WAIT_S)
        peaks = []
        expected = hash_body(pieces())
        for path in ('/files/small', '/files/large'):
            is_large = path == '/files/large'
            body = pieces() if is_large else iter((b'x' * 50000,))
            length = SIZE_BYTES if is_large else 50000
            is_upload = method == 'PUT'
            conn.request(
                method,
                path,
                body=body if is_upload else None,
                headers={'content-length': str(length)} if is_upload else {},
            )
            response = conn.getresponse()
            if is_upload:
                sent_hash = response.read().decode()
            else:
                sent_hash = hash_body(read_parts(response.read, SIZE_BYTES))
            process.stdin.write('\n')
            process.stdin.flush()
            peaks.append(int(process.stdout.readline()))
        conn.close()
        process.stdin.close()
        assert sent_hash == expected
        assert peaks[1] - peaks[0] < GROWTH_LIMIT_BYTES
