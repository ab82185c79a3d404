"""Connections to upstreams, against a socket that answers by hand."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from oriolearch.adapters.upstream_links import (
    Answer,
    LinkError,
    LinkPool,
    LinkRefusedError,
)

REQUEST = b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nid: %s\r\n\r\nok'

Serve = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


def against(serve: Serve, use: Callable[[LinkPool], Awaitable[None]]) -> None:
    async def run() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = LinkPool(f'{host}:{port}')
        try:
            async with asyncio.timeout(5):
                await use(pool)
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


def has_id(expected: bytes) -> Callable[[Answer], bool]:
    return lambda answer: answer.header(b'id') == expected


def scripted(*pieces: bytes, closes: bool = False) -> Serve:
    """Answer each request on any connection with the next piece."""
    left = list(pieces)

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while left:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            writer.write(left.pop(0))
            await writer.drain()
            if closes:
                writer.close()
                return

    return serve


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-le',
        b'not an answer\r\n\r\n',
        b'',
    ],
)
def test_incomplete_answer_is_an_error(answer: bytes) -> None:
    """An answer that was cut and looks complete."""

    async def use(pool: LinkPool) -> None:
        with pytest.raises(LinkError) as caught:
            await pool.exchange(REQUEST, 1.0)
        assert caught.value.was_sent

    against(scripted(answer, closes=True), use)


@pytest.mark.parametrize(
    ('answer', 'body'),
    [
        (OK % b'1', b'ok'),
        (b'HTTP/1.1 200 OK\r\nid: 1\r\n\r\nto the end', b'to the end'),
        (b'HTTP/1.1 100 Continue\r\n\r\n' + OK % b'1', b'ok'),
        (OK % b'0' + OK % b'1', b'ok'),
    ],
)
def test_complete_answer(answer: bytes, body: bytes) -> None:
    """A whole answer that is refused, or taken for that of another."""

    async def use(pool: LinkPool) -> None:
        found = await pool.exchange(REQUEST, 1.0, has_id(b'1'))
        assert found.status == 200
        assert found.body == body

    against(scripted(answer, closes=True), use)


def test_second_answer_is_not_given_to_the_next_request() -> None:
    """An extra answer on a kept connection, delivered to another caller."""

    async def use(pool: LinkPool) -> None:
        first = await pool.exchange(REQUEST, 1.0, has_id(b'1'))
        assert first.header(b'id') == b'1'
        second = await pool.exchange(REQUEST, 1.0, has_id(b'2'))
        assert second.header(b'id') == b'2'

    against(scripted(OK % b'1' + OK % b'1', OK % b'2', OK % b'2'), use)


def test_second_answer_behind_the_first_adds_nothing_to_it() -> None:
    """Headers of an extra answer that end up in the first one.

    Seen on a day on which upstreams answer twice: the caller got the
    signature of another request.
    """

    async def use(pool: LinkPool) -> None:
        answer = await pool.exchange(REQUEST, 1.0, has_id(b'1'))
        assert [key for key, _ in answer.headers].count(b'id') == 1

    against(scripted(OK % b'1' + OK % b'0'), use)


def test_connection_is_reused() -> None:
    """A new connection for each request."""

    async def use(pool: LinkPool) -> None:
        for _ in range(3):
            await pool.exchange(REQUEST, 1.0)
        assert pool.opened == 1

    against(scripted(OK % b'1', OK % b'1', OK % b'1'), use)


def test_answer_that_announces_the_end_ends_the_connection() -> None:
    """A request sent on a connection that its upstream is closing."""
    last = b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

    async def use(pool: LinkPool) -> None:
        await pool.exchange(REQUEST, 1.0)
        await pool.exchange(REQUEST, 1.0)
        assert pool.opened == 2

    against(scripted(last, last), use)


def test_request_that_is_given_up_resets_the_connection() -> None:
    """A grant that arrives after a partition, seconds after it was given up.

    Seen on a day with a zone cut: a plain close delivered what the kernel
    still held, and two upstreams held the same keys.
    """
    ends: list[BaseException | bytes] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            ends.append(await reader.read())
        except ConnectionResetError as error:
            ends.append(error)

    async def use(pool: LinkPool) -> None:
        with pytest.raises(LinkError):
            await pool.exchange(REQUEST, 0.1)
        await asyncio.sleep(0.1)
        assert [type(end) for end in ends] == [ConnectionResetError]

    against(serve, use)


def test_refused_connection_was_not_sent() -> None:
    """A request that cannot have arrived, and is not tried elsewhere."""

    async def run() -> None:
        server = await asyncio.start_server(scripted(), '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        with pytest.raises(LinkRefusedError) as caught:
            await LinkPool(f'{host}:{port}').exchange(REQUEST, 1.0)
        assert not caught.value.was_sent

    asyncio.run(run())


@pytest.mark.parametrize('longest_idle_s', [0, 0.1])
def test_forgotten_connection_is_not_used_for_what_runs_once(
    longest_idle_s: float,
) -> None:
    """An order that is lost on a connection which its upstream forgot.

    Seen on vdp-gateway-grown trouble-1 (`idle_race`): 695 requests ended
    with 502 or 504 and had reached no server.
    """

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OK % b'1')
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.transport.abort()

    async def use(pool: LinkPool) -> None:
        await pool.exchange(REQUEST, 1.0)
        await asyncio.sleep(0.15)
        found = await pool.exchange(
            REQUEST,
            1.0,
            longest_idle_s=longest_idle_s,
        )
        assert found.status == 200
        assert pool.opened == 2

    against(serve, use)
