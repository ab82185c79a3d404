"""One test for each promise to callers and upstreams, without the bench.

Each server misbehaves in the way that would break the promise.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from oriolearch.adapters.upstream_links import Answer, LinkPool
from tests.platform_standin import Answer as ServerAnswer
from tests.platform_standin import KeyedServer, Request
from tests.test_platform_host import (
    CALLER_CONNECT_S,
    CONFIG,
    KEYS,
    Installation,
)

SENDS_SHARE = 0.2  # second sends for each request, as the settings allow
SENDS_SAVED = 12  # and beside these: the slack of the settings

Misbehave = Callable[['OddServer', Request], Awaitable[ServerAnswer]]


class OddServer(KeyedServer):
    """A keyed server whose answers to orders a test decides.

    :ivar arrived: ids and time-outs of the orders that arrived.
    """

    def __init__(self, name: str, misbehave: Misbehave, zone: str) -> None:
        super().__init__(name, zone)
        self.misbehave = misbehave
        self.arrived: list[tuple[str, int]] = []

    async def handle(self, request: Request) -> ServerAnswer:
        if not request.target.startswith(('/order/', '/look/')):
            return await super().handle(request)
        timeout_ms = int(request.headers['timeout-ms'])
        self.arrived.append((request.headers['attempt-id'], timeout_ms))
        return await self.misbehave(self, request)


async def behave(server: OddServer, request: Request) -> ServerAnswer:
    return server.run(request)


async def close(server: OddServer, request: Request) -> ServerAnswer:
    server.run(request)
    raise ConnectionError


async def shed(server: OddServer, request: Request) -> ServerAnswer:
    echoed = {'Attempt-Id': request.headers['attempt-id'], 'Not-Executed': '1'}
    return 503, {**echoed, 'Server-Load': '0,0,2,100'}, b''


async def forget_to_sign(server: OddServer, request: Request) -> ServerAnswer:
    return 200, {'Attempt-Id': request.headers['attempt-id']}, b'not the answer'


async def answer_another(server: OddServer, request: Request) -> ServerAnswer:
    signed = {'Attempt-Id': 'another', 'Server-Signature': 's'}
    return 200, signed, b'of another'


async def never_answer(server: OddServer, request: Request) -> ServerAnswer:
    await asyncio.sleep(30)
    return 200, {}, b''


def config(version: str, **action: Any) -> dict[str, Any]:
    """Give the operator's document with another action, or without routes."""
    listener = CONFIG['listeners'][0]
    rule = listener['rules'][0]
    changed = {**rule, 'action': {**rule['action'], **action}}
    rules = [changed] if action else []
    found = {**CONFIG, 'version': version}
    return {**found, 'listeners': [{**listener, 'rules': rules}]}


async def open_with(installation: Installation) -> list[OddServer]:
    """Have two servers of two zones behave until all keys are served."""
    await installation.open(servers=0, hosts=0)
    servers = [
        OddServer(f'i-odd-{zone}', behave, zone) for zone in ('z1', 'z2')
    ]
    for server in servers:
        await server.listen()
        installation.servers.append(server)
        installation.store.put('servers', server.name, server.entry())
    await installation.add_host('h1')
    await installation.serves_all()
    return servers


def against(
    misbehave: Misbehave,
    scene: Callable[[Installation, list[OddServer]], Awaitable[None]],
) -> None:
    """Play a scene in which both servers misbehave."""

    async def run() -> None:
        installation = Installation()
        try:
            servers = await open_with(installation)
            for server in servers:
                server.misbehave = misbehave
                server.arrived.clear()
                server.ran.clear()
            await scene(installation, servers)
        finally:
            installation.close()

    asyncio.run(run())


async def send(installation: Installation, count: int) -> list[Answer]:
    return [
        await installation.order(KEYS[number % len(KEYS)])
        for number in range(count)
    ]


def test_twice_order_whose_answer_is_lost_is_not_sent_again() -> None:
    """TWICE: an order that runs at a server which then breaks off."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        statuses = [answer.status for answer in await send(installation, 6)]
        # A server that failed twice rests; what it does not get is not run.
        assert set(statuses) <= {502, 503}
        ran = [*servers[0].ran, *servers[1].ran]
        assert ran
        assert len(ran) == statuses.count(502)
        assert len(ran) == len(set(ran))

    against(close, scene)


def test_refused_says_not_run_only_if_no_server_ran_it() -> None:
    """REFUSED: a 503 for an order that a server ran."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        answers = await send(installation, 6)
        assert {answer.status for answer in answers} == {503}
        assert all(answer.header(b'retry-after') for answer in answers)
        assert [server.ran for server in servers] == [[], []]

    against(shed, scene)


def test_budget_of_second_sends_holds_when_all_are_refused() -> None:
    """BUDGET: hosts that send everything again to servers that shed."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        await send(installation, 60)
        arrivals = sum(len(server.arrived) for server in servers)
        assert arrivals <= 60 * (1 + SENDS_SHARE) + SENDS_SAVED

    against(shed, scene)


@pytest.mark.parametrize('misbehave', [forget_to_sign, answer_another])
def test_mixed_answer_is_not_passed_on(misbehave: Misbehave) -> None:
    """MIXED: a success without signature, or of another request."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        answers = await send(installation, 3)
        assert {answer.status for answer in answers} <= {502, 504}
        assert not any(answer.body for answer in answers)

    against(misbehave, scene)


def test_budget_of_time_is_what_is_left() -> None:
    """BUDGET: a server that is handed more time than the caller waits."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        await send(installation, 6)
        limits = [limit for server in servers for _, limit in server.arrived]
        assert limits
        assert max(limits) <= 1000

    against(behave, scene)


def test_config_time_out_ends_a_request() -> None:
    """CONFIG: a request that is held past its route's time-out."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        changed = config('r8', timeout_s=0.3)
        installation.store.put('op', 'config', changed)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await installation.order(7)
        assert answer.status == 504
        assert loop.time() - began_at < 0.3 + 0.5

    against(never_answer, scene)


def test_config_drops_a_route_and_does_not_go_back() -> None:
    """CONFIG: a dropped route that is served, also by an older document."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        installation.store.put('op', 'config', config('r9'))
        await asyncio.sleep(0.5)
        assert (await installation.order(7)).status == 404
        installation.store.put('op', 'config', CONFIG)
        await asyncio.sleep(0.5)
        assert (await installation.order(7)).status == 404

    against(behave, scene)


def test_evac_leaves_the_servers_of_a_zone_alone() -> None:
    """EVAC: a request that reaches a zone which is to be empty."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        installation.store.put('op', 'evacuate/z1', {})
        await asyncio.sleep(2.0)
        servers[0].arrived.clear()
        await installation.serves_all()
        assert servers[0].arrived == []
        assert servers[1].arrived

    against(behave, scene)


def test_gone_caller_ends_the_work() -> None:
    """GONE: a server that works on for a caller that has left."""

    async def scene(
        installation: Installation, servers: list[OddServer]
    ) -> None:
        entry = installation.hosts[0].settings.entry
        links = LinkPool(entry, connect_s=CALLER_CONNECT_S)
        request = (
            b'POST /order/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Attempt-Id: ff\r\nTimeout-Ms: 5000\r\nShard-Key: 7\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        asking = asyncio.create_task(links.exchange(request, 5.0))
        await asyncio.sleep(0.3)
        arrived = [server for server in servers if server.arrived]
        assert len(arrived) == 1
        before = len(arrived[0].writers)
        asking.cancel()
        await asyncio.sleep(0.4)
        forwarder = installation.hosts[0].forwarder
        lanes = forwarder.desk.dispatchers['orders'].lanes.values()
        assert before
        assert not any(lane.running for lane in lanes)

    against(never_answer, scene)
