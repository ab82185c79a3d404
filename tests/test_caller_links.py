"""Connections of callers, driven with raw bytes on a socket."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oriolearch.adapters.caller_links import (
    CallerListener,
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


class Harness:
    """A :class:`CallerListener` whose handler echoes the request.

    :ivar release: the handler waits for this event before it responds.
    """

    def __init__(self) -> None:
        self.listener = CallerListener(self.handle)
        self.listener.limits = CallerLimits(400, 1000, 3, 15)
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


def run_scenario(scenario: Callable[[Harness], Awaitable[None]]) -> None:
    async def run() -> None:
        harness = Harness()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            harness.listener.create_protocol, '127.0.0.1', 0
        )
        harness.address = server.sockets[0].getsockname()
        try:
            async with asyncio.timeout(5):
                await scenario(harness)
        finally:
            server.close()
            for link in list(harness.listener.links):
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
    """Target and body must not depend on how the bytes are split."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.connect()
        for start in range(0, len(request_bytes), piece):
            writer.write(request_bytes[start : start + piece])
            await writer.drain()
        _, answer = await read_answer(reader)
        assert answer == body
        writer.close()

    run_scenario(scenario)


def test_connection_is_kept_open() -> None:
    """A connection must stay open after a response."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.connect()
        for _ in range(3):
            writer.write(GET)
            head, _ = await read_answer(reader)
            assert b'connection: close' not in head
        writer.close()

    run_scenario(scenario)


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
    """An ambiguous or oversized request must not reach the handler."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.connect()
        writer.write(request_bytes)
        head = await reader.read(100)
        assert head.split(b' ')[1] == status
        assert harness.requests == []
        writer.close()

    run_scenario(scenario)


def test_disconnected_caller_cancels_the_handler() -> None:
    """The handler must be cancelled when its caller disconnects."""

    async def scenario(harness: Harness) -> None:
        harness.release.clear()
        _, writer = await harness.connect()
        writer.write(GET)
        while not harness.requests:
            await asyncio.sleep(0.01)
        writer.close()
        while not harness.cancelled:
            await asyncio.sleep(0.01)
        assert harness.listener.running() == 0

    run_scenario(scenario)


def test_pipelined_request_is_answered_separately() -> None:
    """A pipelined request must not be mixed into the first one."""

    async def scenario(harness: Harness) -> None:
        harness.release.clear()
        reader, writer = await harness.connect()
        writer.write(GET)
        while not harness.requests:
            await asyncio.sleep(0.01)
        writer.write(POST)
        await asyncio.sleep(0.05)
        harness.release.set()
        _, first = await read_answer(reader)
        _, second = await read_answer(reader)
        assert (first, second) == (b'GET /a?b=c ', b'POST /p abc')
        writer.close()

    run_scenario(scenario)


def test_stop_answers_running_requests() -> None:
    """A stop must finish running requests and close idle connections."""

    async def scenario(harness: Harness) -> None:
        idle_reader, idle_writer = await harness.connect()
        harness.release.clear()
        reader, writer = await harness.connect()
        writer.write(GET)
        while not harness.requests:
            await asyncio.sleep(0.01)
        harness.listener.stop()
        assert await idle_reader.read() == b''
        harness.release.set()
        head, _ = await read_answer(reader)
        assert b'connection: close' in head
        assert await reader.read() == b''
        writer.close()
        idle_writer.close()

    run_scenario(scenario)


def test_idle_connection_is_closed() -> None:
    """Idle callers must not keep file descriptors open forever."""

    async def scenario(harness: Harness) -> None:
        reader, _ = await harness.connect()
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        harness.listener.close_expired(now + 14)
        harness.listener.close_expired(now + 16)
        assert await reader.read() == b''

    run_scenario(scenario)
