"""Connections of callers, with raw bytes on a socket."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oriolearch.adapters.caller_links import (
    CallerGate,
    IncomingRequest,
    Reply,
)
from oriolearch.core.directory import CallerLimits

GET = b'GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
)

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Entry:
    """A gate whose handler answers with what it was asked.

    :ivar release: the handler waits for it.
    """

    def __init__(self) -> None:
        self.gate = CallerGate(self.handle)
        self.gate.limits = CallerLimits(400, 1000, 3, 15)
        self.requests: list[IncomingRequest] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self.address = ('', 0)

    async def handle(self, request: IncomingRequest) -> Reply:
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        body = request.method + b' ' + request.target + b' ' + request.body
        return Reply(200, [(b'x', b'y')], body)

    async def connect(self) -> Streams:
        return await asyncio.open_connection(*self.address)


def play(scene: Callable[[Entry], Awaitable[None]]) -> None:
    async def run() -> None:
        entry = Entry()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(entry.gate.open, '127.0.0.1', 0)
        entry.address = server.sockets[0].getsockname()
        try:
            async with asyncio.timeout(5):
                await scene(entry)
        finally:
            server.close()
            for link in list(entry.gate.links):
                link.close()

    asyncio.run(run())


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r')[0])
    return head, await reader.readexactly(length)


@pytest.mark.parametrize(
    ('request_bytes', 'body'),
    [
        (GET, b'GET /a?b=c '),
        (POST, b'POST /p abc'),
        (CHUNKED, b'POST /p abc'),
    ],
)
@pytest.mark.parametrize('piece', [1, 7, 4096])
def test_request_in_pieces(
    request_bytes: bytes,
    body: bytes,
    piece: int,
) -> None:
    """A body that is cut, or a path that changes on the way."""

    async def scene(entry: Entry) -> None:
        reader, writer = await entry.connect()
        for start in range(0, len(request_bytes), piece):
            writer.write(request_bytes[start : start + piece])
            await writer.drain()
        _, answer = await read_answer(reader)
        assert answer == body
        writer.close()

    play(scene)


def test_kept_connection() -> None:
    """A connection that ends after its first request."""

    async def scene(entry: Entry) -> None:
        reader, writer = await entry.connect()
        for _ in range(3):
            writer.write(GET)
            head, _ = await read_answer(reader)
            assert b'connection: close' not in head
        writer.close()

    play(scene)


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'not a request\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            b'400',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n',
            b'413',
        ),
        (b'GET / HTTP/1.1\r\nHost: h\r\nx: ' + b'y' * 500, b'431'),
        (b'GET /' + b'y' * 500, b'431'),
    ],
)
def test_bad_request_is_not_run(request_bytes: bytes, status: bytes) -> None:
    """A smuggled or oversized request that reaches an upstream."""

    async def scene(entry: Entry) -> None:
        reader, writer = await entry.connect()
        writer.write(request_bytes)
        head = await reader.read(100)
        assert head.split(b' ')[1] == status
        assert entry.requests == []
        writer.close()

    play(scene)


def test_caller_that_leaves_ends_the_work() -> None:
    """Upstreams that work for callers that are gone."""

    async def scene(entry: Entry) -> None:
        entry.release.clear()
        _, writer = await entry.connect()
        writer.write(GET)
        while not entry.requests:
            await asyncio.sleep(0.01)
        writer.close()
        while not entry.cancelled:
            await asyncio.sleep(0.01)
        assert entry.gate.running() == 0

    play(scene)


def test_request_behind_an_unanswered_one_is_answered_or_not_read() -> None:
    """A second request whose parts end up in the first."""

    async def scene(entry: Entry) -> None:
        entry.release.clear()
        reader, writer = await entry.connect()
        writer.write(GET)
        while not entry.requests:
            await asyncio.sleep(0.01)
        writer.write(POST)
        await asyncio.sleep(0.05)
        entry.release.set()
        _, first = await read_answer(reader)
        _, second = await read_answer(reader)
        assert (first, second) == (b'GET /a?b=c ', b'POST /p abc')
        writer.close()

    play(scene)


def test_stop_answers_what_was_read() -> None:
    """A stop that cuts a request, or keeps idle connections open."""

    async def scene(entry: Entry) -> None:
        idle_reader, idle_writer = await entry.connect()
        entry.release.clear()
        reader, writer = await entry.connect()
        writer.write(GET)
        while not entry.requests:
            await asyncio.sleep(0.01)
        entry.gate.stop()
        assert await idle_reader.read() == b''
        entry.release.set()
        head, _ = await read_answer(reader)
        assert b'connection: close' in head
        assert await reader.read() == b''
        writer.close()
        idle_writer.close()

    play(scene)


def test_idle_connection_is_closed() -> None:
    """Descriptors that idle callers keep for ever."""

    async def scene(entry: Entry) -> None:
        reader, _ = await entry.connect()
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        entry.gate.sweep(now + 14)
        entry.gate.sweep(now + 16)
        assert await reader.read() == b''

    play(scene)
