"""Calls for grants to servers that repeat their answers."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oriolearch.adapters.upstream_links import LinkError
from oriolearch.core.directory import Incarnation, UpstreamEntry
from oriolearch.core.ownership import Grant, Probe, Release
from oriolearch.platform.wire import GrantCalls
from tests.platform_standin import Server

WAIT_S = 0.2
ANSWER = b'HTTP/1.1 200 OK\r\nhandover: t-1\r\ncontent-length: 0\r\n\r\n'

Call = Callable[[GrantCalls, UpstreamEntry], Awaitable[object]]


class RepeatingServer(Server):
    """Answers grants, and the last one again when another call is read.

    Releases and probes are not answered, as if work went on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.granted: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
        length = head.partition(b'content-length:')[2].split()
        await reader.readexactly(int(length[0]) if length else 0)
        if head.startswith(b'post /grant'):
            self.granted.add(writer)
            writer.write(ANSWER)
        elif writer in self.granted:
            writer.write(ANSWER)


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
        server = RepeatingServer()
        await server.bind()
        entry = UpstreamEntry(
            Incarnation('i-1', 1), 'p', server.address, 'z', 2, False, 0.0
        )
        calls = GrantCalls()
        await calls.grant(make_grant(entry, is_renewal=False))
        await calls.grant(make_grant(entry, is_renewal=True))
        assert len(server.granted) == 1
        try:
            with pytest.raises((TimeoutError, LinkError)):
                async with asyncio.timeout(WAIT_S):
                    await call(calls, entry)
        finally:
            server.stop()
            await asyncio.sleep(WAIT_S / 10)

    asyncio.run(run())
