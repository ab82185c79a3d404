"""Large bodies through an entry in a process of its own."""

import hashlib
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from http.client import HTTPConnection

import pytest

from tests.entries import WAIT_S
from tests.upstreams import Call, FakeUpstream

SIZE = 64 * 1024 * 1024
PIECE = 65536
GROWTH_LIMIT_BYTES = 8 * 1024 * 1024  # the body is 8 times as large


def pieces() -> Iterator[bytes]:
    """Give 64 MiB that do not repeat, the same each time."""
    rng = random.Random(7)
    for _ in range(SIZE // PIECE):
        yield rng.randbytes(PIECE)


def digest(parts: Iterator[bytes]) -> str:
    """Give the hash of a body."""
    found = hashlib.sha256()
    for part in parts:
        found.update(part)
    return found.hexdigest()


def read_parts(read: Callable[[int], bytes], size: int) -> Iterator[bytes]:
    """Give a body as it is read."""
    while size:
        part = read(min(PIECE, size))
        if not part:
            break
        size -= len(part)
        yield part


def stream(call: Call) -> None:
    """Take an upload and answer with its hash, or send a download."""
    size = int(call.headers.get('content-length', 0))
    if size > PIECE:
        call.answer(digest(read_parts(call.stream.read, size)).encode())
    elif call.target == '/files/large':
        call.read_body()
        call.answer(b'', 200, content_length=str(SIZE))
        for part in pieces():
            call.sock.sendall(part)
    else:
        call.read_body()
        call.answer(call.body)


@pytest.mark.parametrize('method', ['PUT', 'GET'])
def test_large_body_is_the_same_and_is_not_kept(
    upstream: Callable[..., FakeUpstream],
    method: str,
) -> None:
    """A body must arrive unchanged, and must not be held in memory."""
    fake = upstream(stream)
    command = (sys.executable, '-m', 'tests.entry_process', fake.address)
    with subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        port = int(process.stdout.readline())
        conn = HTTPConnection('127.0.0.1', port, timeout=WAIT_S)
        peaks = []
        expected = digest(pieces())
        for path in ('/files/small', '/files/large'):
            is_large = path == '/files/large'
            body = pieces() if is_large else iter((b'x' * 50000,))
            length = SIZE if is_large else 50000
            is_upload = method == 'PUT'
            conn.request(
                method,
                path,
                body=body if is_upload else None,
                headers={'content-length': str(length)} if is_upload else {},
            )
            found = conn.getresponse()
            if is_upload:
                sent_hash = found.read().decode()
            else:
                sent_hash = digest(read_parts(found.read, SIZE))
            process.stdin.write('\n')
            process.stdin.flush()
            peaks.append(int(process.stdout.readline()))
        conn.close()
        process.stdin.close()
        assert sent_hash == expected
        assert peaks[1] - peaks[0] < GROWTH_LIMIT_BYTES
