"""Measure how the control plane's cost grows, and print slopes.

Processor time is that of the process (``time.process_time``), so that other
work on the machine changes little. Bytes are those that the kernel counted on
the loopback connection, without TCP and IP headers.
"""

import asyncio
import gc
import itertools
import json
import math
import multiprocessing
import random
import socket
import statistics
import struct
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from functools import partial
from itertools import accumulate
from multiprocessing.connection import Connection
from pathlib import Path

from oriolearch.adapters import peer_messages
from oriolearch.adapters.grants import GrantClient
from oriolearch.adapters.peers import PeerClient, PeerServer
from oriolearch.adapters.platform import HttpPlatform
from oriolearch.clock import RealClock
from oriolearch.core import coordinator as duties
from oriolearch.core import placement
from oriolearch.core.authority import Authority
from oriolearch.core.coordinator import Coordinator
from oriolearch.core.grants import SendGrant, ServerAnswer
from oriolearch.core.hotkeys import HotKeySketch
from oriolearch.core.membership import (
    CHILDREN_LIMIT,
    Charges,
    Membership,
    SyncTree,
)
from oriolearch.core.messages import (
    AuthorityKey,
    Heard,
    Mandate,
    Permit,
    PromiseAnswer,
    PromiseRequest,
    Revision,
    Segment,
    SyncAnswer,
    SyncRequest,
)
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    Document,
    HostRef,
    Member,
    Mobility,
    Pool,
    PoolKind,
    Upstream,
)
from oriolearch.core.placement import plan
from oriolearch.core.rows import StoredRow
from oriolearch.core.segments import encode_segment
from oriolearch.core.syncing import OwnState, SyncKeeper
from oriolearch.ports import Write
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.platform import PlatformStandin

RESULTS = Path(__file__).parent / 'results' / 'capacity.json'
SYNC_PERIOD_S = 0.2
CALL_COUNTS = (100, 200, 400)
EXCHANGES = 100
RELAY_SPAN_S = 6.0
HOTTEST = 33
RELAY_ENTRIES = (0, 50)
HOST_COUNTS = (96, 192, 383, 766)
REQUEST_COUNTS = (50_000, 100_000, 200_000)
ZONES = 6
SERVERS = 2000
HOME = AuthorityKey('zone-1', Mobility.MOVABLE)
TCP_INFO_BYTES = slice(120, 136)  # bytes acknowledged and received


@dataclass(frozen=True, slots=True)
class Series:
    """Measured points and the line through them.

    :param residual: root mean square distance of the points from the line.
    """

    name: str
    x: str
    y: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float


def fit(
    name: str,
    x: str,
    y: str,
    points: Iterable[tuple[float, float]],
) -> Series:
    """Fit a line by least squares."""
    pairs = tuple(points)
    xs, ys = zip(*pairs)
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(b - slope * a - intercept) ** 2 for a, b in pairs]
    residual = math.sqrt(statistics.fmean(squares))
    return Series(name, x, y, pairs, slope, intercept, residual)


def cpu_ms(act: Callable[[], object], rounds: int = 5) -> float:
    """Give the median processor time of a call in milliseconds."""
    times = []
    for _ in range(rounds):
        start = time.process_time()
        act()
        times.append(time.process_time() - start)
    return statistics.median(times) * 1000


def member(number: int) -> Member:
    """Make a member of one of six zones."""
    zone = f'zone-{number % ZONES + 1}'
    address = f'10.{number // 250}.{number % 250}.7:7700'
    return Member(
        HostRef(f'host-{number:04}', 1_700_000_000 + number), zone, address
    )


def segment(index: int, version: int = 1000) -> Segment:
    """Make a segment with random owners out of 2,000."""
    rng = random.Random(index)
    shards = tuple(
        Assignment(
            f'server-{rng.randrange(SERVERS):04}', rng.randrange(version)
        )
        for _ in range(SHARDS_PER_SEGMENT)
    )
    return Segment('orders', index, HOME, version, shards)


def outstanding(entries: int) -> dict[str, int]:
    """Make counts of running requests."""
    return {f'orders/server-{n:04}': n % 7 + 1 for n in range(entries)}


def answer(**changes: object) -> SyncAnswer:
    """Make an answer without news."""
    permits = tuple(
        Permit(AuthorityKey(f'zone-{zone}', mobility), Revision(7, 12345), 0.6)
        for zone in range(1, ZONES + 1)
        for mobility in Mobility
    )
    rng = random.Random(1)
    shards = tuple(
        (rng.randrange(65536), rng.randrange(999)) for _ in range(33)
    )
    mandate = Mandate(HOME, 7, 'orders', 's', 9, 0.5, shards, (), member(0).ref)
    plain = SyncAnswer(
        sender=member(0),
        document_version=3600,
        document=None,
        permits=permits,
        mandates=(mandate,),
        segments=(),
        outstanding={},
        members=(),
        cold={},
    )
    return replace(plain, **changes)  # type: ignore[arg-type]


def request() -> SyncRequest:
    """Make a leaf's request without news."""
    known = {permit.authority: permit.revision for permit in answer().permits}
    return SyncRequest(member(1), 3600, known, known, {})


class Fixed:
    """Answers each call alike."""

    def __init__(self, message: SyncAnswer) -> None:
        self.message = message

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer."""
        return self.message

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Refuse."""
        return PromiseAnswer(request.authority, request.holder, 0, 0)


def _wire_bytes(client: PeerClient) -> int:
    protocol = client.channel._protocol
    assert protocol is not None
    transport = protocol.connection._transport
    info = transport.get_extra_info('socket').getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, 256
    )
    return sum(struct.unpack('=QQ', info[TCP_INFO_BYTES]))


async def _exchange(
    question: SyncRequest,
    reply: SyncAnswer,
) -> tuple[float, float]:
    server = PeerServer(Fixed(reply))
    await server.start('127.0.0.1', 0)
    client = PeerClient(f'127.0.0.1:{server.port}', timeout_s=60)
    await client.sync(question)
    size, start = _wire_bytes(client), time.process_time()
    left = EXCHANGES
    while left:
        await client.sync(question)
        left -= 1
    spent = time.process_time() - start
    moved = _wire_bytes(client) - size
    client.close()
    await server.stop()
    return spent / EXCHANGES * 1000, moved / EXCHANGES


def measure_exchanges() -> Iterator[Series]:
    """Both ends of an exchange, against what it carries."""
    plain = request()
    kinds: dict[str, tuple[str, dict[int, tuple[SyncRequest, SyncAnswer]]]] = {
        'sync, segments': (
            'segments changed',
            {
                n: (plain, answer(segments=tuple(map(segment, range(n)))))
                for n in (0, 8, 32, 64)
            },
        ),
        'sync, members': (
            'members sent',
            {
                n: (plain, answer(members=tuple(map(member, range(n)))))
                for n in (0, 383, 1150, 2300)
            },
        ),
        'sync, outstanding': (
            'entries each way',
            {
                n: (
                    replace(plain, outstanding=outstanding(n)),
                    answer(outstanding=outstanding(n)),
                )
                for n in (0, 25, 100, 200)
            },
        ),
        'sync, below': (
            'hosts below',
            {
                n: (
                    replace(
                        plain,
                        below=tuple(Heard(member(i), 0.1) for i in range(n)),
                    ),
                    answer(mandates=answer().mandates * n),
                )
                for n in (0, 4, 8, 16)
            },
        ),
    }
    for name, (x, cases) in kinds.items():
        found = {
            n: asyncio.run(_exchange(*messages))
            for n, messages in cases.items()
        }
        yield fit(name, x, 'cpu ms', [(n, one[0]) for n, one in found.items()])
        yield fit(name, x, 'bytes', [(n, one[1]) for n, one in found.items()])


class Keeping:
    """Answers with what a keeper holds, as a relay or root does."""

    def __init__(self, number: int) -> None:
        self.keeper = SyncKeeper(member(number), lambda _: Document())
        self.number = 0
        self.said = answer(sender=member(number))

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer a child."""
        now = time.monotonic()
        self.keeper.hear(request, now)
        return self.keeper.answer(request, now)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Refuse."""
        return PromiseAnswer(request.authority, request.holder, 0, 0)

    async def follow(self, port: int, entries: int) -> None:
        """Sync with a parent for ever."""
        client = PeerClient(f'127.0.0.1:{port}', timeout_s=5)
        state = OwnState(outstanding(entries))
        try:
            while True:
                asked = time.monotonic()
                question = self.keeper.request(state, asked)
                self.keeper.absorb(await client.sync(question), asked)
                await asyncio.sleep(asked + SYNC_PERIOD_S - time.monotonic())
        finally:
            client.close()


async def _run_relay(pipe: Connection, root_port: int, entries: int) -> None:
    relay = Keeping(0)
    server = PeerServer(relay)
    await server.start('127.0.0.1', 0)
    task = asyncio.create_task(relay.follow(root_port, entries))
    pipe.send(server.port)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    start, wall = time.process_time(), time.monotonic()
    await asyncio.sleep(RELAY_SPAN_S)
    pipe.send((time.process_time() - start, time.monotonic() - wall))
    task.cancel()
    await server.stop()


def _relay_process(pipe: Connection, root_port: int, entries: int) -> None:
    asyncio.run(_run_relay(pipe, root_port, entries))


async def _relay_load(children: int, entries: int) -> float:
    root = Keeping(ZONES)
    root.keeper.absorb(root.said, time.monotonic())
    server = PeerServer(root)
    await server.start('127.0.0.1', 0)
    context = multiprocessing.get_context('spawn')
    pipe, far = context.Pipe()
    process = context.Process(
        target=_relay_process, args=(far, server.port, entries)
    )
    process.start()
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, pipe.recv)
    leaves: list[asyncio.Task[None]] = []
    while len(leaves) < children:
        leaf = Keeping((len(leaves) + 1) * ZONES)
        leaves.append(asyncio.create_task(leaf.follow(port, entries)))
        await asyncio.sleep(SYNC_PERIOD_S / children)
    await asyncio.sleep(1)
    pipe.send('start')
    spent, wall = await loop.run_in_executor(None, pipe.recv)
    for task in leaves:
        assert not task.done(), task
        task.cancel()
    await loop.run_in_executor(None, process.join)
    await server.stop()
    return float(spent / wall * 100)


def measure_relay() -> Iterator[Series]:
    """A relay process at the real pace, against its children."""
    for entries in RELAY_ENTRIES:
        found = [
            (n, asyncio.run(_relay_load(n, entries))) for n in (2, 4, 8, 16)
        ]
        name = f'relay, {entries} outstanding'
        yield fit(name, 'children', '% of a core', found)


def _view_bytes(segments: int, members: int) -> int:
    parts = [
        peer_messages.write_sync_answer(answer(segments=(segment(index),)))
        for index in range(segments)
    ]
    people = peer_messages.write_sync_answer(
        answer(members=tuple(map(member, range(members))))
    )
    keeper = SyncKeeper(member(ZONES), lambda _: Document())
    gc.collect()
    tracemalloc.start()
    parts.append(people)
    for part in parts:
        keeper.absorb(peer_messages.read_sync_answer(part), 0)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(keeper.view.segments) == segments
    assert len(keeper.view.members) == members
    return used


def measure_memory() -> Iterator[Series]:
    """A view as received, against shards and members."""
    sizes = (65536, 131072, 262144, 524288)
    yield fit(
        'view memory',
        'shards',
        'bytes',
        [(n, _view_bytes(n // SHARDS_PER_SEGMENT, 0)) for n in sizes],
    )
    yield fit(
        'view memory',
        'members',
        'bytes',
        [(n, _view_bytes(0, n)) for n in (100, 383, 1150, 2300)],
    )


def _placed(shards: int, servers: dict[str, float]) -> dict[int, str | None]:
    owners: dict[int, str | None] = dict.fromkeys(range(shards))
    owners.update(
        {move.shard: move.target for move in plan(owners, servers, 0)}
    )
    return owners


def measure_plan() -> Iterator[Series]:
    """A plan after a sixth of the servers left."""
    sizes = [(n, SERVERS) for n in (16384, 32768, 65536, 131072)]
    counts = [(65536, n) for n in (500, 1000, 2000, 4000)]
    found = {}
    cases = {*sizes, *counts}
    for case in sorted(cases):
        shards, servers = case
        weights = {f'server-{n:04}': 1.0 for n in range(servers)}
        owners = _placed(shards, weights)
        left = {name: w for name, w in weights.items() if int(name[7:]) % ZONES}
        found[case] = cpu_ms(partial(plan, owners, left, shards), rounds=3)
    yield fit('plan', 'shards', 'cpu ms', [(n, found[n, s]) for n, s in sizes])
    yield fit(
        'plan', 'servers', 'cpu ms', [(s, found[n, s]) for n, s in counts]
    )


def measure_membership() -> Iterator[Series]:
    """One zone's hosts: the list, the tree, and the renewers of 333 servers."""
    live, tree, joins = [], [], []
    for count in HOST_COUNTS:
        members = tuple(member(number * ZONES) for number in range(count))
        known = Membership(members[0].zone)
        known.expect(members, 0)
        live.append((count, cpu_ms(partial(known.live, 0))))
        root = members[0].ref.host
        pairs = count * -(-count // CHILDREN_LIMIT)
        tree.append((pairs, cpu_ms(partial(SyncTree, members, root))))
        charges = Charges()
        charges.update(members)
        names = [f'orders/server-{number:04}' for number in range(333)]
        for name in names:
            charges.renewer(name)

        def restart() -> None:
            charges.update(members[1:])
            charges.update(members)
            for name in names:
                charges.renewer(name)

        joins.append((count, cpu_ms(restart)))
    yield fit('membership list', 'hosts', 'cpu ms', live)
    yield fit('sync tree', 'hosts times relays', 'cpu ms', tree)
    yield fit('renewers, one restart', 'hosts', 'cpu ms', joins)


def measure_sketch() -> Iterator[Series]:
    """Counting, on a Zipf stream over a million keys."""
    weights = list(accumulate(1 / (rank + 1) for rank in range(10**6)))
    rng = random.Random(1)
    points = []
    for count in REQUEST_COUNTS:
        ranks = rng.choices(range(10**6), cum_weights=weights, k=count)
        keys = [f'key-{rank}' for rank in ranks]
        sketch = HotKeySketch()

        def run() -> None:
            for key in keys:
                sketch.add(key)

        points.append((count, cpu_ms(run, rounds=1)))
    yield fit('hot key sketch', 'requests', 'cpu ms', points)


def _found(rate: int) -> int:
    keys = 10**6
    weights = list(accumulate(1 / (rank + 1) for rank in range(keys)))
    rng = random.Random(rate)
    sketch = HotKeySketch()
    sketch.decay(0)
    for second in range(1, 31):
        shift = 0 if second <= 15 else keys
        for rank in rng.choices(range(keys), cum_weights=weights, k=rate):
            sketch.add(f'k{rank + shift if rank < HOTTEST else rank}')
        sketch.decay(second)
    hottest = {f'k{rank + keys}' for rank in range(HOTTEST)}
    return len(hottest & {hot.key for hot in sketch.top('p', HOTTEST)})


def measure_precision() -> Iterator[Series]:
    """Hottest 33 keys named 15 s after all of them changed, Zipf stream."""
    found = [(rate, _found(rate)) for rate in (500, 2000, 8000)]
    yield fit('hot keys found of 33', 'requests/s', 'keys', found)


def _serve_standins(pipe: Connection) -> None:
    """Run a platform and a keyed server until told to stop."""
    platform = PlatformStandin()
    server = KeyedStandin()
    platform.start()
    server.start()
    pipe.send((platform.address, server.address))
    pipe.recv()
    server.stop()
    platform.stop()


@contextmanager
def _standins() -> Iterator[tuple[str, str]]:
    context = multiprocessing.get_context('spawn')
    pipe, far = context.Pipe()
    process = context.Process(target=_serve_standins, args=(far,))
    process.start()
    addresses = pipe.recv()
    yield addresses[0], addresses[1]
    pipe.send('stop')
    process.join()


def _grant(shards: int, version: int, reading: ServerAnswer) -> SendGrant:
    return SendGrant(
        HOME,
        'pool',
        'server',
        1,
        version,
        reading.incarnation,
        reading.clock + 60,
        tuple((shard, 1) for shard in range(shards)),
    )


def measure_calls() -> Iterator[Series]:
    """Calls of a host to the platform and to keyed servers."""
    with _standins() as (platform_address, server_address):
        client = GrantClient(server_address, RealClock(), 0.7, 5)
        reading = client.probe(0)
        assert reading is not None
        renewals = []
        lists = []
        for count in CALL_COUNTS:
            first = _grant(1, 1, reading)
            client.send(first, 0)
            renewal = replace(first, shards=None)

            def renew() -> None:
                for _ in range(count):
                    assert isinstance(client.send(renewal, 0), ServerAnswer)

            renewals.append((count, cpu_ms(renew)))
        for shards in (64, 256, 1024):
            whole = _grant(shards, 2, reading)
            lists.append((shards, cpu_ms(partial(client.send, whole, 0), 40)))
        yield fit('renewal', 'renewals', 'cpu ms', renewals)
        yield fit('list of grants', 'shards', 'cpu ms', lists)
        platform = HttpPlatform(platform_address, 'a', 5)
        reads = []
        writes = []
        for count in CALL_COUNTS:

            def read() -> None:
                for _ in range(count):
                    platform.read('config', 'head')

            def write() -> None:
                for _ in range(count):
                    platform.commit([], [Write('lease', 'a', {'renewal': 'n'})])

            reads.append((count, cpu_ms(read)))
            writes.append((count, cpu_ms(write)))
        yield fit('platform read', 'reads', 'cpu ms', reads)
        yield fit('platform write', 'writes', 'cpu ms', writes)


class _Forever(Authority):
    """An authority that is always in force."""

    def term(self, now: float) -> int:
        return 1


class _Plan:
    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[duties.Move, ...]:
        moves = placement.plan(shards, servers, limit)
        return tuple(duties.Move(m.shard, m.source, m.target) for m in moves)


def _coordinator(servers: int, shards_each: int) -> Coordinator:
    """Make a coordinator with a settled pool in one zone."""
    count = servers * shards_each // 256 * 256
    upstreams = tuple(
        Upstream(f's{number}', '127.0.0.1:1', HOME.zone)
        for number in range(servers)
    )
    pool = Pool('pool', PoolKind.KEYED, upstreams, shard_count=count)
    nonces = (f'n{number}' for number in itertools.count())
    own = HostRef('h0', 1)
    machine = _Forever(HOME, own, lambda: next(nonces))
    duty = Coordinator(machine, HOME.zone, _Plan(), lambda: next(nonces))
    duty.members = tuple(HostRef(f'h{number}', 1) for number in range(383))
    duty.configure(Document(version=1, pools={'pool': pool}))
    rows = {
        f'pool/{index:05d}': StoredRow(
            1,
            encode_segment(
                Segment(
                    'pool',
                    index,
                    HOME,
                    1,
                    tuple(
                        Assignment(f's{(index * 256 + n) % servers}', 1)
                        for n in range(256)
                    ),
                ),
                'n',
            ),
        )
        for index in range(count // 256)
    }
    duty.tick(1)
    duty.scanned(1, rows, 1)
    return duty


def _tick(duty: Coordinator, now: Iterator[float]) -> None:
    duty.tick(next(now))


def _share(duty: Coordinator, known: Revision, now: Iterator[float]) -> None:
    assert duty.share(None, known, next(now)) is not None


def measure_coordinator() -> Iterator[Series]:
    """A settled coordinator: its tick each 50 ms and its statement."""
    ticks = []
    statements = []
    for servers in (100, 400, 1150):
        duty = _coordinator(servers, 38)
        now = (1.05 + 0.001 * n for n in itertools.count())
        duty.tick(next(now))
        known = Revision(1, 10**9)
        tick = partial(_tick, duty, now)
        ticks.append((servers, cpu_ms(tick, 20)))
        share = partial(_share, duty, known, now)
        statements.append((servers, cpu_ms(share, 20)))
    yield fit('coordinator tick', 'servers', 'cpu ms', ticks)
    yield fit('coordinator statement', 'servers', 'cpu ms', statements)


def main() -> None:
    """Run all measurements; arguments choose some by name."""
    kinds = {
        'exchanges': measure_exchanges,
        'relay': measure_relay,
        'memory': measure_memory,
        'plan': measure_plan,
        'membership': measure_membership,
        'sketch': measure_sketch,
        'precision': measure_precision,
        'calls': measure_calls,
        'coordinator': measure_coordinator,
    }
    print(
        f'{"":24}{"per":18}{"unit":13}{"slope":>12}{"intercept":>12}{"residual":>11}'
    )
    series = []
    for name in sys.argv[1:] or kinds:
        for one in kinds[name]():
            series.append(asdict(one))
            print(
                f'{one.name:24}{one.x:18}{one.y:13}'
                f'{one.slope:12.5g}{one.intercept:12.5g}{one.residual:11.4g}',
            )
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(series, indent=1) + '\n')


if __name__ == '__main__':
    main()
