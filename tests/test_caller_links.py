"""Connections of callers, driven with raw bytes on a socket."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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


def get(name: bytes, *headers: bytes) -> bytes:
    lines = (b'GET /%s HTTP/1.1' % name, b'Host: h', *headers, b'', b'')
    return b'\r\n'.join(lines)


def post(name: bytes, *headers: bytes) -> bytes:
    lines = (b'POST /%s HTTP/1.1' % name, b'Host: h', *headers)
    return b'\r\n'.join((*lines, b'Content-Length: 1', b'', b'b'))


class PipelineHarness(Harness):
    """Records which requests are handled at once.

    :ivar names: names of the requests that are being handled.
    :ivar started: names of the requests in the order of their start.
    :ivar gates: events that the requests of a name wait for.
    """

    def __init__(self) -> None:
        super().__init__()
        self.names: set[bytes] = set()
        self.started: list[bytes] = []
        self.gates: dict[bytes, asyncio.Event] = {}

    async def handle(self, request: IncomingRequest) -> Reply:
        name = request.target[1:]
        self.started.append(name)
        self.names.add(name)
        try:
            gate = self.gates.get(name)
            if gate is not None:
                await gate.wait()
            return await super().handle(request)
        finally:
            self.names.discard(name)

    def hold(self, *names: bytes) -> None:
        """Make the requests of these names wait."""
        for name in names:
            self.gates[name] = asyncio.Event()

    async def until_started(self, *names: bytes) -> None:
        """Wait until these requests have started, and no others."""
        while len(self.started) < len(names):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)
        assert self.started == list(names)


def run_pipeline(
    scenario: Callable[[PipelineHarness], Awaitable[None]],
) -> None:
    async def run() -> None:
        harness = PipelineHarness()
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


@pytest.mark.parametrize(
    ('sent', 'held', 'started'),
    [
        (get(b'1') + get(b'2') + get(b'3'), b'1', b'123'),
        (get(b'1') + post(b'2') + get(b'3'), b'1', b'1'),
        (post(b'1') + get(b'2') + get(b'3'), b'1', b'1'),
        (post(b'1') + get(b'2') + get(b'3'), b'2', b'123'),
        (get(b'1', b'Connection: close') + get(b'2'), b'1', b'1'),
        (get(b'1') + b'no request\r\n\r\n' + get(b'2'), b'1', b'1'),
        (b''.join(get(b'%d' % number) for number in range(9)), b'0', b'0-7'),
    ],
    ids=[
        'safe requests run at once',
        'unsafe waits for those before',
        'safe waits for an unsafe one before',
        'safe ones run after an unsafe one',
        'nothing behind the last request',
        'nothing behind a malformed request',
        'bounded number',
    ],
)
def test_pipelined_requests_that_run_at_once(
    sent: bytes,
    held: bytes,
    started: bytes,
) -> None:
    """A pipelined request must start neither too late nor too early.

    Safe requests of one caller ran one after the other; in one packet, all
    but the first were dropped. One that is not safe must not overtake or be
    overtaken.
    """
    expected = (
        [b'%d' % number for number in range(8)]
        if started == b'0-7'
        else [started[at : at + 1] for at in range(len(started))]
    )

    async def scenario(harness: PipelineHarness) -> None:
        harness.hold(held)
        _, writer = await harness.connect()
        writer.write(sent)
        await harness.until_started(*expected)
        writer.close()

    run_pipeline(scenario)


def test_pipelined_replies_keep_the_order_of_the_requests() -> None:
    """A reply that is ready first must not be sent first."""

    async def scenario(harness: PipelineHarness) -> None:
        harness.hold(b'1', b'2')
        reader, writer = await harness.connect()
        writer.write(get(b'1') + get(b'2') + get(b'3'))
        await harness.until_started(b'1', b'2', b'3')
        harness.gates[b'2'].set()
        await asyncio.sleep(0.02)
        harness.gates[b'1'].set()
        bodies = [(await read_answer(reader))[1] for _ in range(3)]
        assert bodies == [b'GET /1 ', b'GET /2 ', b'GET /3 ']
        writer.close()

    run_pipeline(scenario)


def test_disconnected_caller_cancels_all_pipelined_handlers() -> None:
    """No request of a caller that left may stay at work."""

    async def scenario(harness: PipelineHarness) -> None:
        harness.release.clear()
        _, writer = await harness.connect()
        writer.write(get(b'1') + get(b'2') + post(b'3'))
        await harness.until_started(b'1', b'2')
        writer.close()
        while harness.cancelled < 2:
            await asyncio.sleep(0.01)
        assert harness.listener.running() == 0
        assert harness.listener.body_bytes == 0
        assert harness.started == [b'1', b'2']

    run_pipeline(scenario)


def test_stop_answers_all_requests_that_were_read() -> None:
    """A planned stop must not cut requests that have been accepted.

    Requests that arrive after the stop are not read, and the last reply that
    is sent closes the connection.
    """

    async def scenario(harness: PipelineHarness) -> None:
        harness.hold(b'1')
        reader, writer = await harness.connect()
        writer.write(get(b'1') + get(b'2') + post(b'3'))
        await harness.until_started(b'1', b'2')
        harness.listener.stop()
        writer.write(get(b'4'))
        await asyncio.sleep(0.02)
        harness.gates[b'1'].set()
        heads = [(await read_answer(reader))[0] for _ in range(3)]
        closing = [b'connection: close' in head for head in heads]
        assert closing == [False, False, True]
        assert await reader.read() == b''
        assert b'4' not in harness.started
        writer.close()

    run_pipeline(scenario)


def test_last_reply_arrives_although_the_caller_still_sends() -> None:
    """A close with unread bytes would reset the connection and the reply."""

    async def scenario(harness: PipelineHarness) -> None:
        harness.hold(b'1')
        reader, writer = await harness.connect()
        writer.write(get(b'1'))
        await harness.until_started(b'1')
        harness.listener.stop()
        harness.gates[b'1'].set()
        for number in range(20):
            writer.write(get(b'later-%d' % number))
            await asyncio.sleep(0.002)
        assert (await read_answer(reader))[1] == b'GET /1 '
        assert await reader.read() == b''
        writer.close()

    run_pipeline(scenario)


def test_continue_is_sent_after_the_replies_before_it() -> None:
    """An interim reply must not be taken for the reply to another request."""

    async def scenario(harness: PipelineHarness) -> None:
        harness.hold(b'1')
        reader, writer = await harness.connect()
        writer.write(get(b'1') + post(b'2', b'Expect: 100-continue')[:-1])
        await harness.until_started(b'1')
        harness.gates[b'1'].set()
        assert (await read_answer(reader))[1] == b'GET /1 '
        assert (await reader.readuntil(b'\r\n\r\n')).startswith(b'HTTP/1.1 100')
        writer.write(b'b')
        assert (await read_answer(reader))[1] == b'POST /2 b'
        writer.close()

    run_pipeline(scenario)


def test_failed_handler_does_not_block_the_connection() -> None:
    """Requests behind one whose handler failed must be answered."""

    async def fail_first(request: IncomingRequest) -> Reply:
        if request.target == b'/1':
            raise ValueError('first')
        return Reply(200)

    async def scenario(harness: PipelineHarness) -> None:
        harness.listener.handler = fail_first
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        reader, writer = await harness.connect()
        writer.write(get(b'1') + get(b'2'))
        heads = [(await read_answer(reader))[0] for _ in range(2)]
        assert [head.split(b' ')[1] for head in heads] == [b'500', b'200']
        writer.close()

    run_pipeline(scenario)


@pytest.mark.parametrize(
    'repeated',
    [b'1;%s\r\nb\r\n' % (b'y' * 200), b'y' * 200],
    ids=['chunk extensions', 'one extension'],
)
def test_endless_chunk_extensions_are_refused(repeated: bytes) -> None:
    """A request must not be read forever outside of its bounded body."""
    head = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;'

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.connect()
        writer.write(head + repeated)
        for _ in range(20):
            writer.write(repeated)
        assert (await reader.read(100)).split(b' ')[1] == b'431'
        assert harness.requests == []
        writer.close()

    run_scenario(scenario)


REQUESTS = (
    GET,
    POST,
    CHUNKED,
    get(b'last', b'Connection: close'),
    b'not a request\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: h\r\nx: ' + b'y' * 500 + b'\r\n\r\n',
)


class MemoryTransport:
    """Collects what is written; replaces the transport of a connection."""

    def __init__(self) -> None:
        self.written = b''
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def write_eof(self) -> None:
        self.is_closed = True

    def close(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        """Do nothing, since a test sends all bytes."""

    def resume_reading(self) -> None:
        """Do nothing, since a test sends all bytes."""


async def answer_pieces(pieces: list[bytes]) -> bytes:
    """Return all bytes that one connection answers to these pieces."""
    harness = Harness()
    link = harness.listener.create_protocol()
    transport = MemoryTransport()
    link.connection_made(transport)
    for piece in pieces:
        link.data_received(piece)
        await asyncio.sleep(0)
    while link.queue:
        await asyncio.sleep(0)
    link.connection_lost(None)
    assert harness.listener.body_bytes == 0
    return transport.written


@settings(deadline=None, max_examples=200)
@given(
    st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=12),
    st.lists(st.integers(1, 700), max_size=20),
)
def test_pipeline_answers_like_single_requests(
    requests: list[bytes],
    cuts: list[int],
) -> None:
    """Replies must not depend on how requests share connections and packets."""

    async def run() -> None:
        expected = b''
        for request in requests:
            expected += await answer_pieces([request])
            if b'connection: close' in expected:
                break
        stream = b''.join(requests)
        bounds = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
        pieces = [stream[at:end] for at, end in itertools.pairwise(bounds)]
        assert await answer_pieces(pieces) == expected

    asyncio.run(run())
