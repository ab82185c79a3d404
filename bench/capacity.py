"""Measure how the cost of the control plane grows and print the slopes.

Processor time is that of the process (``time.process_time``), so that other
load on the machine hardly affects it. Bytes are those that the kernel counted
on the loopback connection, without TCP and IP headers.
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
from oriolearch.core import coordinator as coordinator_module
from oriolearch.core import placement
from oriolearch.core.authority import Authority
from oriolearch.core.coordinator import Coordinator
from oriolearch.core.grants import SendGrant, ServerAnswer
from oriolearch.core.hotkeys import HotKeySketch
from oriolearch.core.membership import (
    MAX_CHILDREN,
    Membership,
    RoleAssignments,
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
from oriolearch.core.syncing import OwnState, SyncState
from oriolearch.ports import Write
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.platform import PlatformStandin

RESULTS = Path(__file__).parent / 'results' / 'capacity.json'
SYNC_PERIOD_S = 0.2
CALL_COUNTS = (100, 200, 400)
SYNCS_PER_MEASUREMENT = 100
RELAY_MEASURED_S = 6.0
HOT_KEY_COUNT = 33
RELAY_OUTSTANDING_COUNTS = (0, 50)
HOST_COUNTS = (96, 192, 383, 766)
REQUEST_COUNTS = (50_000, 100_000, 200_000)
ZONE_COUNT = 6
SERVER_COUNT = 2000
HOME_AUTHORITY = AuthorityKey('zone-1', Mobility.MOVABLE)
TCP_INFO_BYTE_COUNTERS = slice(120, 136)  # bytes_acked, bytes_received


@dataclass(frozen=True, slots=True)
class Series:
    """Measured points and the line fitted to them.

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
    """Fit a line to the points by least squares."""
    pairs = tuple(points)
    xs, ys = zip(*pairs)
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(b - slope * a - intercept) ** 2 for a, b in pairs]
    residual = math.sqrt(statistics.fmean(squares))
    return Series(name, x, y, pairs, slope, intercept, residual)


def cpu_ms(call: Callable[[], object], rounds: int = 5) -> float:
    """Return the median processor time of a call in milliseconds."""
    times = []
    for _ in range(rounds):
        start = time.process_time()
        call()
        times.append(time.process_time() - start)
    return statistics.median(times) * 1000


def make_member(number: int) -> Member:
    """Return a member of one of the zones."""
    zone = f'zone-{number % ZONE_COUNT + 1}'
    address = f'10.{number // 250}.{number % 250}.7:7700'
    return Member(
        HostRef(f'host-{number:04}', 1_700_000_000 + number), zone, address
    )


def make_segment(index: int, version: int = 1000) -> Segment:
    """Return a segment whose shards have random owners."""
    rng = random.Random(index)
    shards = tuple(
        Assignment(
            f'server-{rng.randrange(SERVER_COUNT):04}', rng.randrange(version)
        )
        for _ in range(SHARDS_PER_SEGMENT)
    )
    return Segment('orders', index, HOME_AUTHORITY, version, shards)


def make_outstanding(entries: int) -> dict[str, int]:
    """Return counts of running requests for a number of upstreams."""
    return {f'orders/server-{n:04}': n % 7 + 1 for n in range(entries)}


def make_answer(**changes: object) -> SyncAnswer:
    """Return a sync answer without updates, with some fields replaced."""
    permits = tuple(
        Permit(AuthorityKey(f'zone-{zone}', mobility), Revision(7, 12345), 0.6)
        for zone in range(1, ZONE_COUNT + 1)
        for mobility in Mobility
    )
    rng = random.Random(1)
    shards = tuple(
        (rng.randrange(65536), rng.randrange(999)) for _ in range(33)
    )
    mandate = Mandate(
        HOME_AUTHORITY, 7, 'orders', 's', 9, 0.5, shards, (), make_member(0).ref
    )
    base = SyncAnswer(
        sender=make_member(0),
        document_version=3600,
        document=None,
        permits=permits,
        mandates=(mandate,),
        segments=(),
        outstanding={},
        members=(),
        cold={},
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def make_request() -> SyncRequest:
    """Return a sync request of a leaf without updates."""
    revisions = {
        permit.authority: permit.revision for permit in make_answer().permits
    }
    return SyncRequest(make_member(1), 3600, revisions, revisions, {})


class FixedPeer:
    """Peer that returns the same answer to each sync."""

    def __init__(self, sync_answer: SyncAnswer) -> None:
        self.sync_answer = sync_answer

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Return the given answer."""
        return self.sync_answer

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Refuse the promise."""
        return PromiseAnswer(request.authority, request.holder, 0, 0)


def _wire_bytes(client: PeerClient) -> int:
    protocol = client.channel._protocol
    assert protocol is not None
    transport = protocol.connection._transport
    info = transport.get_extra_info('socket').getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, 256
    )
    return sum(struct.unpack('=QQ', info[TCP_INFO_BYTE_COUNTERS]))


async def _measure_sync(
    request: SyncRequest,
    answer: SyncAnswer,
) -> tuple[float, float]:
    server = PeerServer(FixedPeer(answer))
    await server.start('127.0.0.1', 0)
    client = PeerClient(f'127.0.0.1:{server.port}', timeout_s=60)
    await client.sync(request)
    bytes_before, cpu_start = _wire_bytes(client), time.process_time()
    remaining = SYNCS_PER_MEASUREMENT
    while remaining:
        await client.sync(request)
        remaining -= 1
    cpu_s = time.process_time() - cpu_start
    transferred = _wire_bytes(client) - bytes_before
    client.close()
    await server.stop()
    return (
        cpu_s / SYNCS_PER_MEASUREMENT * 1000,
        transferred / SYNCS_PER_MEASUREMENT,
    )


def measure_syncs() -> Iterator[Series]:
    """Measure both ends of a sync by the size of its messages."""
    sync_request = make_request()
    scenarios: dict[
        str, tuple[str, dict[int, tuple[SyncRequest, SyncAnswer]]]
    ] = {
        'sync, segments': (
            'segments changed',
            {
                n: (
                    sync_request,
                    make_answer(segments=tuple(map(make_segment, range(n)))),
                )
                for n in (0, 8, 32, 64)
            },
        ),
        'sync, members': (
            'members sent',
            {
                n: (
                    sync_request,
                    make_answer(members=tuple(map(make_member, range(n)))),
                )
                for n in (0, 383, 1150, 2300)
            },
        ),
        'sync, outstanding': (
            'entries each way',
            {
                n: (
                    replace(sync_request, outstanding=make_outstanding(n)),
                    make_answer(outstanding=make_outstanding(n)),
                )
                for n in (0, 25, 100, 200)
            },
        ),
        'sync, below': (
            'hosts below',
            {
                n: (
                    replace(
                        sync_request,
                        below=tuple(
                            Heard(make_member(i), 0.1) for i in range(n)
                        ),
                    ),
                    make_answer(mandates=make_answer().mandates * n),
                )
                for n in (0, 4, 8, 16)
            },
        ),
    }
    for name, (x, cases) in scenarios.items():
        results = {
            n: asyncio.run(_measure_sync(*messages))
            for n, messages in cases.items()
        }
        yield fit(
            name, x, 'cpu ms', [(n, result[0]) for n, result in results.items()]
        )
        yield fit(
            name, x, 'bytes', [(n, result[1]) for n, result in results.items()]
        )


class SyncTreePeer:
    """Peer that answers from its sync state, as a relay or root does."""

    def __init__(self, number: int) -> None:
        self.sync_state = SyncState(make_member(number), lambda _: Document())
        self.number = 0
        self.initial_answer = make_answer(sender=make_member(number))

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer the sync of a child."""
        now = time.monotonic()
        self.sync_state.record_request(request, now)
        return self.sync_state.answer(request, now)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Refuse the promise."""
        return PromiseAnswer(request.authority, request.holder, 0, 0)

    async def sync_with_parent(self, port: int, entries: int) -> None:
        """Sync with the parent each period until cancelled."""
        client = PeerClient(f'127.0.0.1:{port}', timeout_s=5)
        own_state = OwnState(make_outstanding(entries))
        try:
            while True:
                sent_at = time.monotonic()
                message = self.sync_state.request(own_state, sent_at)
                self.sync_state.apply_answer(
                    await client.sync(message), sent_at
                )
                await asyncio.sleep(sent_at + SYNC_PERIOD_S - time.monotonic())
        finally:
            client.close()


async def _run_relay(pipe: Connection, root_port: int, entries: int) -> None:
    relay = SyncTreePeer(0)
    server = PeerServer(relay)
    await server.start('127.0.0.1', 0)
    task = asyncio.create_task(relay.sync_with_parent(root_port, entries))
    pipe.send(server.port)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    cpu_start, started_at = time.process_time(), time.monotonic()
    await asyncio.sleep(RELAY_MEASURED_S)
    pipe.send((time.process_time() - cpu_start, time.monotonic() - started_at))
    task.cancel()
    await server.stop()


def _relay_process(pipe: Connection, root_port: int, entries: int) -> None:
    asyncio.run(_run_relay(pipe, root_port, entries))


async def _measure_relay_cpu(children: int, entries: int) -> float:
    root = SyncTreePeer(ZONE_COUNT)
    root.sync_state.apply_answer(root.initial_answer, time.monotonic())
    server = PeerServer(root)
    await server.start('127.0.0.1', 0)
    context = multiprocessing.get_context('spawn')
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(
        target=_relay_process, args=(child_pipe, server.port, entries)
    )
    process.start()
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, parent_pipe.recv)
    leaves: list[asyncio.Task[None]] = []
    while len(leaves) < children:
        leaf = SyncTreePeer((len(leaves) + 1) * ZONE_COUNT)
        leaves.append(asyncio.create_task(leaf.sync_with_parent(port, entries)))
        await asyncio.sleep(SYNC_PERIOD_S / children)
    await asyncio.sleep(1)
    parent_pipe.send('start')
    cpu_s, elapsed_s = await loop.run_in_executor(None, parent_pipe.recv)
    for task in leaves:
        assert not task.done(), task
        task.cancel()
    await loop.run_in_executor(None, process.join)
    await server.stop()
    return float(cpu_s / elapsed_s * 100)


def measure_relay() -> Iterator[Series]:
    """Measure a relay process by its children, at the real sync period."""
    for entries in RELAY_OUTSTANDING_COUNTS:
        points = [
            (n, asyncio.run(_measure_relay_cpu(n, entries)))
            for n in (2, 4, 8, 16)
        ]
        name = f'relay, {entries} outstanding'
        yield fit(name, 'children', '% of a core', points)


def _measure_view_bytes(segments: int, members: int) -> int:
    messages = [
        peer_messages.encode_sync_answer(
            make_answer(segments=(make_segment(index),))
        )
        for index in range(segments)
    ]
    members_message = peer_messages.encode_sync_answer(
        make_answer(members=tuple(map(make_member, range(members))))
    )
    sync_state = SyncState(make_member(ZONE_COUNT), lambda _: Document())
    gc.collect()
    tracemalloc.start()
    messages.append(members_message)
    for message in messages:
        sync_state.apply_answer(peer_messages.decode_sync_answer(message), 0)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(sync_state.view.segments) == segments
    assert len(sync_state.view.members) == members
    return used_bytes


def measure_memory() -> Iterator[Series]:
    """Measure the memory of a received view by shards and by members."""
    sizes = (65536, 131072, 262144, 524288)
    yield fit(
        'view memory',
        'shards',
        'bytes',
        [(n, _measure_view_bytes(n // SHARDS_PER_SEGMENT, 0)) for n in sizes],
    )
    yield fit(
        'view memory',
        'members',
        'bytes',
        [(n, _measure_view_bytes(0, n)) for n in (100, 383, 1150, 2300)],
    )


def _assign_shards(
    shards: int, servers: dict[str, float]
) -> dict[int, str | None]:
    owners: dict[int, str | None] = dict.fromkeys(range(shards))
    owners.update(
        {move.shard: move.target for move in plan(owners, servers, 0)}
    )
    return owners


def measure_plan() -> Iterator[Series]:
    """Measure a plan after a sixth of the servers have left."""
    by_shards = [(n, SERVER_COUNT) for n in (16384, 32768, 65536, 131072)]
    by_servers = [(65536, n) for n in (500, 1000, 2000, 4000)]
    cpu_times = {}
    cases = {*by_shards, *by_servers}
    for case in sorted(cases):
        shards, servers = case
        weights = {f'server-{n:04}': 1.0 for n in range(servers)}
        owners = _assign_shards(shards, weights)
        remaining = {
            name: w for name, w in weights.items() if int(name[7:]) % ZONE_COUNT
        }
        cpu_times[case] = cpu_ms(
            partial(plan, owners, remaining, shards), rounds=3
        )
    yield fit(
        'plan', 'shards', 'cpu ms', [(n, cpu_times[n, s]) for n, s in by_shards]
    )
    yield fit(
        'plan',
        'servers',
        'cpu ms',
        [(s, cpu_times[n, s]) for n, s in by_servers],
    )


def measure_membership() -> Iterator[Series]:
    """Measure the membership of a zone by its hosts.

    Covers the list of live members, the sync tree, and the reassignment of
    the renewers of 333 servers after a host restarts.
    """
    list_times, tree_times, restart_times = [], [], []
    for count in HOST_COUNTS:
        members = tuple(
            make_member(number * ZONE_COUNT) for number in range(count)
        )
        membership = Membership(members[0].zone)
        membership.assume_live(members, 0)
        list_times.append((count, cpu_ms(partial(membership.live, 0))))
        root = members[0].ref.host
        pairs = count * -(-count // MAX_CHILDREN)
        tree_times.append((pairs, cpu_ms(partial(SyncTree, members, root))))
        renewers = RoleAssignments()
        renewers.update(members)
        names = [f'orders/server-{number:04}' for number in range(333)]
        for name in names:
            renewers.renewer(name)

        def restart() -> None:
            renewers.update(members[1:])
            renewers.update(members)
            for name in names:
                renewers.renewer(name)

        restart_times.append((count, cpu_ms(restart)))
    yield fit('membership list', 'hosts', 'cpu ms', list_times)
    yield fit('sync tree', 'hosts times relays', 'cpu ms', tree_times)
    yield fit('renewers, one restart', 'hosts', 'cpu ms', restart_times)


def measure_sketch() -> Iterator[Series]:
    """Measure counting in the sketch, on a Zipf stream of a million keys."""
    weights = list(accumulate(1 / (rank + 1) for rank in range(10**6)))
    rng = random.Random(1)
    points = []
    for count in REQUEST_COUNTS:
        ranks = rng.choices(range(10**6), cum_weights=weights, k=count)
        keys = [f'key-{rank}' for rank in ranks]
        sketch = HotKeySketch()

        def add_keys() -> None:
            for key in keys:
                sketch.add(key)

        points.append((count, cpu_ms(add_keys, rounds=1)))
    yield fit('hot key sketch', 'requests', 'cpu ms', points)


def _count_hot_keys_found(rate: int) -> int:
    keys = 10**6
    weights = list(accumulate(1 / (rank + 1) for rank in range(keys)))
    rng = random.Random(rate)
    sketch = HotKeySketch()
    sketch.decay(0)
    for second in range(1, 31):
        offset = 0 if second <= 15 else keys
        for rank in rng.choices(range(keys), cum_weights=weights, k=rate):
            sketch.add(f'k{rank + offset if rank < HOT_KEY_COUNT else rank}')
        sketch.decay(second)
    hottest = {f'k{rank + keys}' for rank in range(HOT_KEY_COUNT)}
    return len(hottest & {hot.key for hot in sketch.top('p', HOT_KEY_COUNT)})


def measure_precision() -> Iterator[Series]:
    """Measure how many of the 33 hottest keys the sketch finds.

    The stream is a Zipf stream; all 33 keys change 15 s before the count.
    """
    points = [(rate, _count_hot_keys_found(rate)) for rate in (500, 2000, 8000)]
    yield fit('hot keys found of 33', 'requests/s', 'keys', points)


def _serve_standins(pipe: Connection) -> None:
    """Run a platform and a keyed server until the parent sends a message."""
    platform = PlatformStandin()
    server = KeyedStandin()
    platform.start()
    server.start()
    pipe.send((platform.address, server.address))
    pipe.recv()
    server.stop()
    platform.stop()


@contextmanager
def _run_standins() -> Iterator[tuple[str, str]]:
    context = multiprocessing.get_context('spawn')
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=_serve_standins, args=(child_pipe,))
    process.start()
    addresses = parent_pipe.recv()
    yield addresses[0], addresses[1]
    parent_pipe.send('stop')
    process.join()


def _make_grant(
    shards: int, version: int, probe_answer: ServerAnswer
) -> SendGrant:
    return SendGrant(
        HOME_AUTHORITY,
        'pool',
        'server',
        1,
        version,
        probe_answer.incarnation,
        probe_answer.clock + 60,
        tuple((shard, 1) for shard in range(shards)),
    )


def measure_calls() -> Iterator[Series]:
    """Measure the calls of a host to the platform and to keyed servers."""
    with _run_standins() as (platform_address, server_address):
        client = GrantClient(server_address, RealClock(), 0.7, 5)
        probe_answer = client.probe(0)
        assert probe_answer is not None
        renewal_times = []
        list_times = []
        for count in CALL_COUNTS:
            first_grant = _make_grant(1, 1, probe_answer)
            client.send(first_grant, 0)
            renewal = replace(first_grant, shards=None)

            def renew() -> None:
                for _ in range(count):
                    assert isinstance(client.send(renewal, 0), ServerAnswer)

            renewal_times.append((count, cpu_ms(renew)))
        for shards in (64, 256, 1024):
            full_grant = _make_grant(shards, 2, probe_answer)
            list_times.append(
                (shards, cpu_ms(partial(client.send, full_grant, 0), 40))
            )
        yield fit('renewal', 'renewals', 'cpu ms', renewal_times)
        yield fit('list of grants', 'shards', 'cpu ms', list_times)
        platform = HttpPlatform(platform_address, 'a', 5)
        read_times = []
        write_times = []
        for count in CALL_COUNTS:

            def read() -> None:
                for _ in range(count):
                    platform.read('config', 'head')

            def write() -> None:
                for _ in range(count):
                    platform.commit([], [Write('lease', 'a', {'renewal': 'n'})])

            read_times.append((count, cpu_ms(read)))
            write_times.append((count, cpu_ms(write)))
        yield fit('platform read', 'reads', 'cpu ms', read_times)
        yield fit('platform write', 'writes', 'cpu ms', write_times)


class _PermanentAuthority(Authority):
    """Authority whose term never ends."""

    def term(self, now: float) -> int:
        return 1


class _Planner:
    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[coordinator_module.Move, ...]:
        moves = placement.plan(shards, servers, limit)
        return tuple(
            coordinator_module.Move(m.shard, m.source, m.target) for m in moves
        )


def _make_coordinator(servers: int, shards_each: int) -> Coordinator:
    """Return a coordinator with a settled pool in one zone."""
    count = servers * shards_each // 256 * 256
    upstreams = tuple(
        Upstream(f's{number}', '127.0.0.1:1', HOME_AUTHORITY.zone)
        for number in range(servers)
    )
    pool = Pool('pool', PoolKind.KEYED, upstreams, shard_count=count)
    nonces = (f'n{number}' for number in itertools.count())
    host = HostRef('h0', 1)
    authority = _PermanentAuthority(HOME_AUTHORITY, host, lambda: next(nonces))
    coordinator = Coordinator(
        authority, HOME_AUTHORITY.zone, _Planner(), lambda: next(nonces)
    )
    coordinator.members = tuple(
        HostRef(f'h{number}', 1) for number in range(383)
    )
    coordinator.configure(Document(version=1, pools={'pool': pool}))
    rows = {
        f'pool/{index:05d}': StoredRow(
            1,
            encode_segment(
                Segment(
                    'pool',
                    index,
                    HOME_AUTHORITY,
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
    coordinator.tick(1)
    coordinator.apply_scan(1, rows, 1)
    return coordinator


def _tick(coordinator: Coordinator, times: Iterator[float]) -> None:
    coordinator.tick(next(times))


def _make_statement(
    coordinator: Coordinator, known_revision: Revision, times: Iterator[float]
) -> None:
    assert coordinator.share(None, known_revision, next(times)) is not None


def measure_coordinator() -> Iterator[Series]:
    """Measure the tick and the statement of a settled coordinator.

    It runs a tick each 50 ms; hosts receive the statement as a sync answer.
    """
    tick_times = []
    statement_times = []
    for servers in (100, 400, 1150):
        coordinator = _make_coordinator(servers, 38)
        times = (1.05 + 0.001 * n for n in itertools.count())
        coordinator.tick(next(times))
        known_revision = Revision(1, 10**9)
        tick = partial(_tick, coordinator, times)
        tick_times.append((servers, cpu_ms(tick, 20)))
        make_statement = partial(
            _make_statement, coordinator, known_revision, times
        )
        statement_times.append((servers, cpu_ms(make_statement, 20)))
    yield fit('coordinator tick', 'servers', 'cpu ms', tick_times)
    yield fit('coordinator statement', 'servers', 'cpu ms', statement_times)


def main() -> None:
    """Run the measurements named by the arguments, by default all."""
    measurements = {
        'exchanges': measure_syncs,
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
    for name in sys.argv[1:] or measurements:
        for result in measurements[name]():
            series.append(asdict(result))
            print(
                f'{result.name:24}{result.x:18}{result.y:13}'
                f'{result.slope:12.5g}{result.intercept:12.5g}'
                f'{result.residual:11.4g}',
            )
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(series, indent=1) + '\n')


if __name__ == '__main__':
    main()
