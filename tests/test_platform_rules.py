"""One test for each guarantee to callers and upstreams, without a bench.

The servers misbehave in the way that would break the guarantee. A docstring
names the guarantee and the failure that the test guards against.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from oriolearch.adapters.upstream_links import HttpResponse, LinkPool
from oriolearch.addresses import split_address
from tests.platform_standin import Answer as ServerAnswer
from tests.platform_standin import (
    KeyedServer,
    Request,
    make_document,
    make_rule,
)
from tests.test_platform_host import (
    CALLER_CONNECT_S,
    CONFIG,
    KEYS,
    Installation,
)

MAX_ENDLESS_S = 0.8  # before the deadline of an order, 1 s
RETRY_SHARE = 0.2  # retries for each request, as the settings allow
RETRY_SLACK = 12  # retries beyond that share that the settings allow

AnswerFunction = Callable[['FaultyServer', Request], Awaitable[ServerAnswer]]


class FaultyServer(KeyedServer):
    """A keyed server whose answers to requests for routes a test sets.

    :ivar arrived: ids and timeouts of these requests, in milliseconds.
    """

    def __init__(
        self, name: str, answer_with: AnswerFunction, zone: str
    ) -> None:
        super().__init__(name, zone)
        self.answer_with = answer_with
        self.arrived: list[tuple[str, int]] = []

    async def handle(self, request: Request) -> ServerAnswer:
        if not request.target.startswith(('/order/', '/look/')):
            return await super().handle(request)
        timeout_ms = int(request.headers['timeout-ms'])
        self.arrived.append((request.headers['attempt-id'], timeout_ms))
        return await self.answer_with(self, request)


async def answer_normally(
    server: FaultyServer, request: Request
) -> ServerAnswer:
    return server.run(request)


async def run_and_close(server: FaultyServer, request: Request) -> ServerAnswer:
    server.run(request)
    raise ConnectionError


async def shed_request(server: FaultyServer, request: Request) -> ServerAnswer:
    echoed = {'Attempt-Id': request.headers['attempt-id'], 'Not-Executed': '1'}
    return 503, {**echoed, 'Server-Load': '0,0,2,100'}, b''


async def shed_once(server: FaultyServer, request: Request) -> ServerAnswer:
    request_id = request.headers['attempt-id']
    arrivals = [arrived for arrived, _ in server.arrived]
    if arrivals.count(request_id) > 1:
        return server.run(request)
    return await shed_request(server, request)


async def omit_signature(
    server: FaultyServer, request: Request
) -> ServerAnswer:
    return 200, {'Attempt-Id': request.headers['attempt-id']}, b'not the answer'


async def answer_other_request(
    server: FaultyServer, request: Request
) -> ServerAnswer:
    signed = {'Attempt-Id': 'another', 'Server-Signature': 's'}
    return 200, signed, b'of another'


async def never_answer(server: FaultyServer, request: Request) -> ServerAnswer:
    await asyncio.sleep(30)
    return 200, {}, b''


def config(version: str, **action: Any) -> dict[str, Any]:
    """Return the operator's document with a changed action or no route."""
    listener = CONFIG['listeners'][0]
    rule = listener['rules'][0]
    changed = {**rule, 'action': {**rule['action'], **action}}
    rules = [changed] if action else []
    document = {**CONFIG, 'version': version}
    return {**document, 'listeners': [{**listener, 'rules': rules}]}


class RepeatingServer(FaultyServer):
    """Writes answers once more, before the next one on the connection.

    :cvar repeats: header of the answers that are repeated.
    """

    repeats = b'Server-Signature'

    def __init__(
        self, name: str, answer_with: AnswerFunction, zone: str
    ) -> None:
        super().__init__(name, answer_with, zone)
        self.written: dict[asyncio.StreamWriter, bytes] = {}

    async def write_answer(
        self, writer: asyncio.StreamWriter, answer: bytes
    ) -> None:
        repeated = self.written.pop(writer, b'')
        if self.repeats in answer:
            self.written[writer] = answer
        await super().write_answer(writer, repeated + answer)


class RefusalRepeatingServer(RepeatingServer):
    """Repeats refusals only."""

    repeats = b'Not-Executed'


class EndlessServer(FaultyServer):
    """Runs requests and answers with header lines without end."""

    async def write_answer(
        self, writer: asyncio.StreamWriter, answer: bytes
    ) -> None:
        if b'Server-Signature' not in answer or self.answer_with is not (
            answer_without_end
        ):
            await super().write_answer(writer, answer)
            return
        writer.write(b'HTTP/1.1 200 OK\r\n')
        while True:
            writer.write(b'X-Filler: %s\r\n' % (b'y' * 500))
            await writer.drain()


async def answer_without_end(
    server: FaultyServer, request: Request
) -> ServerAnswer:
    return server.run(request)


async def start_servers(
    installation: Installation, server_type: type[FaultyServer]
) -> list[FaultyServer]:
    """Start a host and a server in each of two zones; wait until ready."""
    await installation.open(servers=0, hosts=0)
    servers = [
        server_type(f'i-odd-{zone}', answer_normally, zone)
        for zone in ('z1', 'z2')
    ]
    for server in servers:
        await server.listen()
        installation.servers.append(server)
        installation.store.put('servers', server.name, server.entry())
    await installation.add_host('h1')
    await installation.wait_until_all_served()
    return servers


def run_against(
    answer_with: AnswerFunction,
    scenario: Callable[[Installation, list[FaultyServer]], Awaitable[None]],
    server_type: type[FaultyServer] = FaultyServer,
) -> None:
    """Run a scenario in which both servers misbehave."""

    async def run() -> None:
        installation = Installation()
        try:
            servers = await start_servers(installation, server_type)
            for server in servers:
                server.answer_with = answer_with
                server.arrived.clear()
                server.ran.clear()
            await scenario(installation, servers)
        finally:
            installation.close()

    asyncio.run(run())


async def send_orders(
    installation: Installation, count: int
) -> list[HttpResponse]:
    return [
        await installation.send_order(KEYS[number % len(KEYS)])
        for number in range(count)
    ]


def test_twice_order_with_a_lost_answer_is_not_retried() -> None:
    """TWICE: a retry after a server ran the request and closed."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        statuses = [
            answer.status for answer in await send_orders(installation, 6)
        ]
        # A server is paused after two failures; requests refused then (503) do
        # not run.
        assert set(statuses) <= {502, 503}
        ran = [*servers[0].ran, *servers[1].ran]
        assert ran
        assert len(ran) == statuses.count(502)
        assert len(ran) == len(set(ran))

    run_against(run_and_close, scenario)


def test_refused_says_not_run_only_if_no_server_ran_it() -> None:
    """REFUSED: status 503 for a request that a server ran."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        answers = await send_orders(installation, 6)
        assert {answer.status for answer in answers} == {503}
        assert all(answer.header(b'retry-after') for answer in answers)
        assert [server.ran for server in servers] == [[], []]

    run_against(shed_request, scenario)


def test_refused_by_a_repeated_answer() -> None:
    """REFUSED: status 503 for a request that ran when it was sent again.

    The server first refuses a request. When the request arrives once more,
    it writes that refusal again on the kept connection and runs the request.
    """

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        await send_orders(installation, 12)  # earn retries
        for server in servers:
            server.answer_with = shed_once
            server.ran.clear()
        answers = await send_orders(installation, 6)
        ran = [*servers[0].ran, *servers[1].ran]
        assert [answer.status for answer in answers].count(200) == len(ran)
        assert ran

    run_against(answer_normally, scenario, RefusalRepeatingServer)


def test_mixed_repeated_answers_reach_no_other_caller() -> None:
    """MIXED: a second copy of an answer, late, on a connection in use again."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        for _ in range(12):
            answer = await installation.send_order(7)
            signature = answer.header(b'server-signature') or b''
            assert answer.status == 200
            assert signature.endswith(b'-%016x' % installation.count)

    run_against(answer_normally, scenario, RepeatingServer)


def test_answer_without_end_fails_at_once() -> None:
    """An endless answer that is held until the deadline of its request."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await installation.send_order(7)
        assert answer.status == 502
        assert loop.time() - began_at < MAX_ENDLESS_S
        assert sum(len(server.ran) for server in servers) == 1

    run_against(answer_without_end, scenario, EndlessServer)


def test_budget_of_retries_holds_when_all_requests_are_shed() -> None:
    """BUDGET: unlimited retries at servers that shed load."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        await send_orders(installation, 60)
        arrivals = sum(len(server.arrived) for server in servers)
        assert arrivals <= 60 * (1 + RETRY_SHARE) + RETRY_SLACK

    run_against(shed_request, scenario)


@pytest.mark.parametrize('answer_with', [omit_signature, answer_other_request])
def test_mixed_answer_is_not_forwarded(answer_with: AnswerFunction) -> None:
    """MIXED: a success without a signature, or of another request."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        answers = await send_orders(installation, 3)
        assert {answer.status for answer in answers} <= {502, 504}
        assert not any(answer.body for answer in answers)

    run_against(answer_with, scenario)


def test_budget_of_time_is_at_most_the_remaining_time() -> None:
    """BUDGET: a timeout at the server that exceeds the caller's."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        await send_orders(installation, 6)
        timeouts_ms = [
            timeout_ms for server in servers for _, timeout_ms in server.arrived
        ]
        assert timeouts_ms
        assert max(timeouts_ms) <= 1000

    run_against(answer_normally, scenario)


def test_config_timeout_ends_a_request() -> None:
    """CONFIG: a request that is not ended by the timeout of its route."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        changed = config('r8', timeout_s=0.3)
        installation.store.put('op', 'config', changed)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await installation.send_order(7)
        assert answer.status == 504
        assert loop.time() - began_at < 0.3 + 0.5

    run_against(never_answer, scenario)


def test_config_deletes_a_route_and_ignores_an_older_version() -> None:
    """CONFIG: a deleted route that is served, also after an older document."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        installation.store.put('op', 'config', config('r9'))
        await asyncio.sleep(0.5)
        assert (await installation.send_order(7)).status == 404
        installation.store.put('op', 'config', CONFIG)
        await asyncio.sleep(0.5)
        assert (await installation.send_order(7)).status == 404

    run_against(answer_normally, scenario)


def test_evac_sends_no_request_to_the_zone() -> None:
    """EVAC: a request that is sent to an evacuated zone."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        installation.store.put('op', 'evacuate/z1', {})
        await asyncio.sleep(2.0)
        servers[0].arrived.clear()
        await installation.wait_until_all_served()
        assert servers[0].arrived == []
        assert servers[1].arrived

    run_against(answer_normally, scenario)


def test_gone_caller_releases_the_reservation() -> None:
    """GONE: a request that keeps its reservation after its caller left."""

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        entry = installation.hosts[0].settings.entry
        links = LinkPool(entry, connect_s=CALLER_CONNECT_S)
        request = (
            b'POST /order/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Attempt-Id: ff\r\nTimeout-Ms: 5000\r\nShard-Key: 7\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        exchange = asyncio.create_task(links.exchange(request, 5.0))
        await asyncio.sleep(0.3)
        arrived = [server for server in servers if server.arrived]
        assert len(arrived) == 1
        before = len(arrived[0].writers)
        exchange.cancel()
        await asyncio.sleep(0.4)
        forwarder = installation.hosts[0].forwarder
        upstreams = forwarder.local_dispatch.dispatchers[
            'orders'
        ].upstreams.values()
        assert before
        assert not any(upstream.running for upstream in upstreams)

    run_against(never_answer, scenario)


@pytest.mark.parametrize(
    ('kind', 'method', 'most_at_once'),
    [('safe', 'GET', 3), ('safe', 'POST', 3), ('unsafe', 'GET', 1)],
)
def test_pipelined_requests_run_at_once_by_the_kind_of_their_route(
    kind: str,
    method: str,
    most_at_once: int,
) -> None:
    """Pipelined requests that wait for one another, or overtake wrongly.

    The route tells which requests may run at once; the method does not.
    """
    running = 0
    most = 0

    async def answer_slowly(
        server: FaultyServer, request: Request
    ) -> ServerAnswer:
        nonlocal running, most
        running += 1
        most = max(most, running)
        await asyncio.sleep(0.1)
        running -= 1
        return server.run(request)

    async def scenario(
        installation: Installation, servers: list[FaultyServer]
    ) -> None:
        document = make_document(8, [make_rule('look', kind, 1.2)])
        installation.store.put('op', 'config', document)
        await asyncio.sleep(0.5)
        requests = [
            f'{method} /look/x HTTP/1.1\r\nHost: shop.example\r\n'
            f'Attempt-Id: p{key}\r\nTimeout-Ms: 1000\r\n'
            f'Shard-Key: {key}\r\nContent-Length: 0\r\n\r\n'
            for key in (KEYS[0], KEYS[8], KEYS[-1])
        ]
        host, port = split_address(installation.hosts[0].settings.entry)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(''.join(requests).encode())
        answered = [await reader.readuntil(b'\r\n\r\nran:') for _ in requests]
        ids = [f'attempt-id: p{key}' for key in (KEYS[0], KEYS[8], KEYS[-1])]
        for answer, request_id in zip(answered, ids, strict=True):
            assert request_id.encode() in answer.lower()
        assert most == most_at_once
        writer.close()

    run_against(answer_slowly, scenario)
