"""Bytes that a host holds for slow callers, in one account."""

import asyncio
import socket
import tracemalloc
from collections.abc import Callable

import pytest

from oriolearch.adapters.caller_links import (
    CallerListener,
    IncomingRequest,
    Reply,
)
from oriolearch.adapters.memory import MemoryAccount
from oriolearch.adapters.upstream_links import LinkPool, ResponseMemory
from oriolearch.core.directory import CallerLimits
from oriolearch.core.memory_budget import (
    STALLED_S,
    HeldKind,
    Holding,
    choose_dropped,
    reply_kind,
)

MB = 1024 * 1024
REPLY = bytes(4 * MB - 1000)
CALLERS = 100
LIMIT_BYTES = 48 * MB
IDLE_TIMEOUT_S = 1.0
SWEEP_S = 0.1
GET = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'


def ignore(reason: str) -> None:
    """Drop nothing."""


def hold(
    kind: HeldKind, held_mb: int, left_mb: int = 1, stalled_s: float = 0.0
) -> Holding:
    return Holding(kind, held_mb * MB, left_mb * MB, stalled_s, ignore)


STALLED = hold(HeldKind.STALLED_REPLY, 4, stalled_s=2.0)
LONG_STALLED = hold(HeldKind.STALLED_REPLY, 4, stalled_s=9.0)
BODY_BEGUN = hold(HeldKind.INCOMING_BODY, 4, left_mb=60)
BODY_NEARLY_DONE = hold(HeldKind.INCOMING_BODY, 4, left_mb=1)
ANSWER = hold(HeldKind.INCOMING_ANSWER, 4)
SLOW = hold(HeldKind.SLOW_REPLY, 4)
REQUEST = hold(HeldKind.COMPLETE_REQUEST, 4)


@pytest.mark.parametrize(
    ('held', 'limit_mb', 'dropped'),
    [
        ([STALLED, SLOW, REQUEST], 12, []),
        ([SLOW, STALLED, LONG_STALLED], 8, [LONG_STALLED]),
        ([SLOW, BODY_BEGUN, STALLED], 4, [STALLED, BODY_BEGUN]),
        ([BODY_NEARLY_DONE, BODY_BEGUN], 4, [BODY_BEGUN]),
        ([SLOW, ANSWER, BODY_NEARLY_DONE], 8, [BODY_NEARLY_DONE]),
        ([REQUEST, SLOW, ANSWER], 4, [ANSWER, SLOW]),
        ([REQUEST, REQUEST], 4, []),
        ([], 4, []),
    ],
    ids=[
        'within the limit',
        'longest stalled first',
        'body that was only begun',
        'nearly done body is kept',
        'not run before run',
        'replies of slow callers last',
        'requests that may run',
        'nothing',
    ],
)
def test_order_in_which_held_bytes_are_dropped(
    held: list[Holding], limit_mb: int, dropped: list[Holding]
) -> None:
    """Fails if work that was done, or is nearly done, is dropped first."""
    assert list(choose_dropped(held, limit_mb * MB)) == dropped


@pytest.mark.parametrize(
    ('stalled_s', 'kind'),
    [
        (0.0, HeldKind.SLOW_REPLY),
        (STALLED_S, HeldKind.STALLED_REPLY),
    ],
)
def test_kind_of_an_unread_reply(stalled_s: float, kind: HeldKind) -> None:
    """Fails if a slow caller counts as one that reads nothing."""
    assert reply_kind(stalled_s) is kind


class Host:
    """Serves large replies to many callers over real sockets."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self.account = MemoryAccount(limit_bytes)
        self.dropped: list[Holding] = []
        self.account.on_dropped = lambda holding, held: self.dropped.append(
            holding
        )
        self.listener = CallerListener(self.serve, account=self.account)
        self.listener.limits = CallerLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        self.served = 0

    async def serve(self, request: IncomingRequest) -> Reply:
        self.served += 1
        return Reply(200, body=bytes(REPLY))

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.listener.close_expired(asyncio.get_running_loop().time())

    def held_bytes(self) -> int:
        return sum(self.account.held_bytes().values())

    async def connect(self, request: bytes) -> socket.socket:
        """Connect a caller that sends a request and reads nothing yet."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.address)
        await loop.sock_sendall(sock, request)
        return sock

    def close(self, server: asyncio.Server) -> None:
        server.close()
        for link in list(self.listener.links):
            link.drop_replies('the test ends')

    def run(self, scenario: Callable[['Host'], object]) -> None:
        async def play() -> None:
            server = await self.listener.open('127.0.0.1', 0)
            self.address = server.sockets[0].getsockname()
            sweeping = asyncio.create_task(self.sweep())
            try:
                async with asyncio.timeout(20):
                    await scenario(self)  # type: ignore[misc]
            finally:
                sweeping.cancel()
                self.close(server)

        asyncio.run(play())


def test_callers_that_read_nothing_cannot_exhaust_memory() -> None:
    """Fails if each caller that never reads holds its whole reply.

    A hundred of them held 109 MB beyond the kernel's buffers, and still did
    eight seconds later, as a close waits until the caller has read.
    """

    async def scenario(host: Host) -> None:
        sockets = [await host.connect(GET) for _ in range(CALLERS)]
        while host.served < CALLERS:
            await asyncio.sleep(SWEEP_S)
        assert host.held_bytes() <= LIMIT_BYTES
        await asyncio.sleep(IDLE_TIMEOUT_S + 5 * SWEEP_S)
        assert host.held_bytes() == 0
        assert not host.listener.links
        for sock in sockets:
            sock.close()

    host = Host()
    tracemalloc.start()
    try:
        host.run(scenario)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert host.dropped
    # The limit, one interval between checks and the reply that is rendered.
    assert peak_bytes < LIMIT_BYTES + 3 * len(REPLY)


def test_slow_caller_gets_its_whole_reply() -> None:
    """Fails if a caller that reads slowly is reset like one that stalled."""

    async def scenario(host: Host) -> None:
        loop = asyncio.get_running_loop()
        sock = await host.connect(GET)
        received = 0
        while received < len(REPLY):
            await asyncio.sleep(0.02)
            received += len(await loop.sock_recv(sock, 65536))
        sock.close()

    Host().run(scenario)


def test_pipelined_requests_do_not_multiply_what_is_held() -> None:
    """Fails if one connection holds an answer for each pipelined request."""

    async def scenario(host: Host) -> None:
        sock = await host.connect(GET)
        while not host.served:
            await asyncio.sleep(SWEEP_S)
        await asyncio.get_running_loop().sock_sendall(sock, GET * 30)
        await asyncio.sleep(4 * SWEEP_S)
        assert host.served <= 2
        assert host.held_bytes() <= 2 * len(REPLY)
        sock.close()

    Host().run(scenario)


def test_answers_and_replies_share_one_limit() -> None:
    """Fails if each part of a host has a limit of its own only."""
    account = MemoryAccount(8 * MB)
    pool = LinkPool('127.0.0.1:9', memory=ResponseMemory(account=account))
    held = [hold(HeldKind.STALLED_REPLY, 6, stalled_s=2.0)]
    dropped: list[Holding] = []
    account.sources.append(lambda: iter(held))
    account.on_dropped = lambda holding, size: dropped.append(holding)
    account.grow(MB)
    assert not dropped
    held.append(hold(HeldKind.INCOMING_ANSWER, 4))
    account.grow(MB)
    assert dropped == held[:1]
    pool.close()
