"""Calls for grants to servers that repeat their answers."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oriolearch.adapters.upstream_links import LinkError
from oriolearch.core.directory import Incarnation, UpstreamEntry
from oriolearch.core.ownership import Grant, Probe, Release
from oriolearch.platform.wire import GrantCalls

WAIT_S = 0.2
ANSWER = b'HTTP/1.1 200 OK\r\nhandover: t-1\r\ncontent-length: 0\r\n\r\n'

Call = Callable[[GrantCalls, UpstreamEntry], Awaitable[object]]


class RepeatingServer:
    """Answers grants, and once more when the next call is read.

    Releases and probes are not answered, as if work went on.
    """

    def __init__(self) -> None:
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        is_repeated = False
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if is_repeated:
                    writer.write(ANSWER)
                length = head.lower().partition(b'content-length:')[2]
                await reader.readexactly(
                    int(length.split()[0] if length else 0)
                )
                if head.startswith(b'POST /grant'):
                    writer.write(ANSWER)
                    is_repeated = True
        except asyncio.IncompleteReadError:
            writer.close()


def make_grant(entry: UpstreamEntry, *, is_renewal: bool) -> Grant:
    return Grant(1, entry, 0, 9, 1, 2.5, None, is_renewal)


async def release(calls: GrantCalls, entry: UpstreamEntry) -> object:
    return await calls.release(Release(2, entry, 0, 9, 2))


async def probe(calls: GrantCalls, entry: UpstreamEntry) -> object:
    return await calls.probe(Probe(entry), '/health')


@pytest.mark.parametrize('call', [release, probe])
def test_repeated_answer_to_a_grant_is_not_that_to(call: Call) -> None:
    """Guard against keys that are granted on while their server is at work."""

    async def run() -> None:
        repeating = RepeatingServer()
        server = await asyncio.start_server(repeating.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        entry = UpstreamEntry(
            Incarnation('i-1', 1), 'p', f'{host}:{port}', 'z', 2, False, 0.0
        )
        calls = GrantCalls()
        await calls.grant(make_grant(entry, is_renewal=False))
        await calls.grant(make_grant(entry, is_renewal=True))
        assert repeating.connections == 1
        with pytest.raises((TimeoutError, LinkError)):
            async with asyncio.timeout(WAIT_S):
                await call(calls, entry)
        server.close()

    asyncio.run(run())
