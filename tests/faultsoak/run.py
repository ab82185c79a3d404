"""One run of a seed: sends requests, injects faults and checks promises."""

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

from oriolearch.adapters.upstream_links import (
    HttpResponse,
    LinkError,
    LinkPool,
)
from tests.faultsoak.faults import (
    RESTORE_FAULT,
    Fault,
    draw_faults,
    has_restores,
)
from tests.faultsoak.notices import Arrival, NoticeRecord
from tests.faultsoak.promises import DELAYED_GRANT_S, PromiseChecker
from tests.faultsoak.proxy import FaultProxy
from tests.faultsoak.world import (
    HostProcess,
    SoakServer,
    SoakStore,
    configuration,
)
from tests.platform_standin import make_settings

HOSTS = 3
SERVERS = 4
CALLERS = 4  # per host
CALLER_PAUSE_S = 0.05
CALLER_TIMEOUT_MS = 1000
SAFE_SHARE = 0.4  # fraction of requests that are idempotent
KEYS = tuple(range(0, 65536, 2039))
START_LIMIT_S = 10.0  # limit from the start until all keys are served
RECOVERY_LIMIT_S = 15.0  # limit from the last fault until all keys are served
# From this long after a fault, the host must answer every request.
FAULT_RECOVERY_S = 3.0
DRAIN_S = 2.0  # hosts stop sending to a draining upstream within this time
ANSWER_SLACK_S = 0.6  # an answer may be this late after the caller's timeout
FIRST_PORT = 10000
PORTS_PER_HOST = 4
RATE_LIMIT = 6.0  # a seventh of what an upstream gets otherwise
AWAY_S = 1.0  # the store does not answer before it is back from a copy
REFILL_S = 0.1  # until the operator and the upstreams have written again
INTERRUPTIONS = frozenset(('pause', 'kill', 'stop', 'all_killed'))
EXIT_S = 0.5  # delay from the end of a drain to the exit of the upstream


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run.

    :ivar broken: the broken promises.
    :ivar seconds: outcomes by second.
    :ivar faults: the faults that were injected.
    """

    seed: int
    broken: list[str]
    seconds: dict[int, dict[str, int]]
    faults: list[Fault]


class FaultRun:
    """Runs one seed.

    :ivar host_faults_ended_at: when the last fault of each host ended.
    :ivar active_faults: number of current faults of each host.
    :ivar last_fault_ended_at: when the last fault ended.
    :ivar forgot_at: when each host was last restarted or frozen.
    :ivar sent: by attempt, the host that got it and when.
    """

    def __init__(self, seed: int, length_s: float, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.faults = draw_faults(seed, length_s)
        self.checker = PromiseChecker()
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.store = SoakStore()
        if has_restores(self.faults):
            self.store.era = 1
        self.version = 7
        self.hosts: list[HostProcess] = []
        self.store_proxies: list[FaultProxy] = []
        self.peer_proxies: list[FaultProxy] = []
        self.servers: list[SoakServer] = []
        self.host_faults_ended_at: dict[str, float] = {}
        self.active_faults: Counter[str] = Counter()
        self.last_fault_ended_at = float('-inf')
        self.forgot_at: dict[str, float] = {}
        self.sent: dict[str, tuple[str, float]] = {}
        self.request_count = 0
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return self.loop.time() - self.started_at

    def may_be_delayed(self) -> bool:
        """Return whether a fault may have delayed a call that arrives now."""
        return self.now() - self.last_fault_ended_at < DELAYED_GRANT_S

    async def run(self) -> Result:
        """Inject all faults, and always stop the hosts at the end."""
        try:
            await self._start()
            await self._wait_all_served(START_LIMIT_S, 'start')
            for _ in range(CALLERS):
                for host in self.hosts:
                    self._spawn(self._run_caller(host))
            start = self.now()
            await asyncio.gather(
                *(self._inject(start, fault) for fault in self.faults),
            )
            await self._wait_all_served(RECOVERY_LIMIT_S, 'RECOVER')
        finally:
            await self._close()
        for host in self.hosts:
            self.checker.broken.extend(host.unexpected_exits)
        seconds = {
            second: dict(counts)
            for second, counts in sorted(self.checker.seconds.items())
        }
        broken = self.checker.broken
        return Result(self.seed, broken, seconds, self.faults)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(self.loop.create_task(coroutine))

    async def _start(self) -> None:
        await self.store.listen()
        self.store.put('op', 'config', configuration(self.version))
        for index in range(SERVERS):
            await self._add_server(f'i-{index}')
        for index in range(HOSTS):
            await self._add_host(f'h{index}')

    async def _add_server(self, name: str, born: int = 1000) -> None:
        server = SoakServer(
            name,
            born,
            self.checker,
            self.now,
            self.may_be_delayed,
        )
        server.on_arrival = self._record_arrival
        await server.open()
        self.servers.append(server)
        self.store.put('servers', name, server.entry())

    async def _add_host(self, name: str) -> None:
        store = FaultProxy(self.store.address)
        await store.listen()
        ip = _own_address()
        port = FIRST_PORT + PORTS_PER_HOST * len(self.hosts)
        peers = FaultProxy(f'{ip}:{port}')
        await peers.listen()
        self.store_proxies.append(store)
        self.peer_proxies.append(peers)
        fields = {
            **make_settings(name, store.address, ip, count(port)),
            'peer_address': peers.address,
        }
        self.host_faults_ended_at[name] = self.now()
        host = HostProcess(fields, self.folder)
        self.hosts.append(host)
        host.write_settings(is_first_start=has_restores(self.faults))
        host.start()

    async def _close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(host.close() for host in self.hosts))
        for server in self.servers:
            server.end()
        for proxy in (*self.store_proxies, *self.peer_proxies):
            proxy.stop()
        self.store.stop()

    async def _wait_all_served(self, limit_s: float, promise: str) -> None:
        """Wait until each host serves every key.

        :param promise: its code in the report if a host does not.
        """
        await asyncio.gather(
            *(
                self._wait_host_served(host, limit_s, promise)
                for host in self.hosts
            ),
        )

    async def _wait_host_served(
        self,
        host: HostProcess,
        limit_s: float,
        promise: str,
    ) -> None:
        links = LinkPool(host.fields['listen']['front'], connect_s=1.0)
        key = 0
        try:
            async with asyncio.timeout(limit_s):
                for key in KEYS:
                    await self._wait_key_served(host, links, key)
        except TimeoutError:
            text = f'{promise} {host.name} does not serve {key}'
            self.checker.report(self.now(), text)
        finally:
            links.close()

    async def _wait_key_served(
        self,
        host: HostProcess,
        links: LinkPool,
        key: int,
    ) -> None:
        while not await self._send(host, links, key):
            await asyncio.sleep(0.1)

    async def _run_caller(self, host: HostProcess) -> None:
        """Send sequential requests on one persistent connection."""
        links = LinkPool(host.fields['listen']['front'], connect_s=1.0)
        while True:
            await self._send(host, links, self.rng.choice(KEYS))
            await asyncio.sleep(CALLER_PAUSE_S * self.rng.uniform(0.5, 2))

    async def _send(
        self,
        host: HostProcess,
        links: LinkPool,
        key: int,
    ) -> bool:
        self.request_count += 1
        is_safe = self.rng.random() < SAFE_SHARE
        attempt = f'{"5afe" if is_safe else "0d0e"}{self.request_count:012x}'
        body = self.rng.randbytes(self.rng.choice((2, 2, 2, 70000)))
        path, method = ('look', 'GET') if is_safe else ('order', 'POST')
        body = b'' if is_safe else body
        self.checker.record_request(attempt, body)
        head = (
            f'{method} /{path}/x HTTP/1.1\r\nHost: shop.example\r\n'
            f'Attempt-Id: {attempt}\r\nTimeout-Ms: {CALLER_TIMEOUT_MS}\r\n'
            f'Shard-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        sent_at = self.now()
        self.sent[attempt] = (host.name, sent_at)
        limit_s = CALLER_TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        try:
            answer = await links.exchange(head.encode() + body, limit_s)
        except LinkError:
            was_fault_free = self._was_fault_free(host.name, sent_at)
            self.checker.record_missing_answer(
                self.now(), attempt, was_fault_free
            )
            return False
        self._record_notice(host.name, answer)
        self.checker.record_answer(
            self.now(),
            attempt,
            answer.status,
            answer.header(b'server-signature'),
            answer.body,
        )
        return answer.status == 200

    def _record_notice(self, host: str, answer: HttpResponse) -> None:
        """Record that a host passed on what an upstream asks for."""
        name = (answer.header(b'server-signature') or b'').partition(b'.')[0]
        for server in self.servers:
            if server.name.encode() == name and server.notice is not None:
                forgot_at = self.forgot_at.get(host, float('-inf'))
                server.notice.record_answer(self.now(), host, forgot_at)

    def _record_arrival(self, server: SoakServer, attempt: str) -> None:
        if server.notice is not None:
            host, sent_at = self.sent[attempt]
            arrival = Arrival(self.now(), host, sent_at)
            server.notice.arrivals.append(arrival)

    def _was_fault_free(self, name: str, since: float) -> bool:
        ended_at = self.host_faults_ended_at.get(name, float('-inf'))
        return (
            not self.active_faults[name] and since - ended_at > FAULT_RECOVERY_S
        )

    async def _inject(self, start: float, fault: Fault) -> None:
        await asyncio.sleep(max(start + fault.start_s - self.now(), 0))
        actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'pause': self._pause_host,
            'kill': self._kill_host,
            'stop': self._stop_host,
            'reload': self._reload_host,
            'store_cut': self._cut_store,
            'peers_cut': self._cut_peers,
            'crash': self._kill_server,
            'dark': self._partition_server,
            'drain': self._drain_server,
            'rebirth': self._kill_server,
            'links': self._disturb_server,
            'config': self._configure,
            'entry': self._write_invalid_entry,
            'all_killed': self._kill_all_hosts,
            'limit': self._limit_server,
            'leave': self._let_server_leave,
            RESTORE_FAULT: self._restore_store,
        }
        await actions.get(fault.kind, self._disturb_store)(fault)
        if fault.kind != RESTORE_FAULT:  # which delays no call to an upstream
            self.last_fault_ended_at = self.now()

    def _select_host(self, fault: Fault) -> int:
        index = int(fault.choice * len(self.hosts))
        self._begin_fault(fault, index)
        return index

    def _begin_fault(self, fault: Fault, index: int) -> None:
        name = self.hosts[index].name
        self.active_faults[name] += 1
        if fault.kind in INTERRUPTIONS:
            self.forgot_at[name] = float('inf')

    async def _wait_fault(self, fault: Fault, *indexes: int) -> None:
        """Wait until a fault ends, and record its end for its hosts."""
        await asyncio.sleep(fault.duration_s)
        for index in indexes:
            name = self.hosts[index].name
            self.active_faults[name] -= 1
            self.host_faults_ended_at[name] = self.now()
            if fault.kind in INTERRUPTIONS:
                self.forgot_at[name] = self.now()

    async def _pause_host(self, fault: Fault) -> None:
        index = self._select_host(fault)
        self.hosts[index].send(signal.SIGSTOP)
        await self._wait_fault(fault, index)
        self.hosts[index].send(signal.SIGCONT)

    async def _kill_host(self, fault: Fault) -> None:
        index = self._select_host(fault)
        self.hosts[index].send(signal.SIGKILL)
        await self._wait_fault(fault, index)

    async def _kill_all_hosts(self, fault: Fault) -> None:
        indexes = range(len(self.hosts))
        for index in indexes:
            self._begin_fault(fault, index)
            self.hosts[index].send(signal.SIGKILL)
        await self._wait_fault(fault, *indexes)

    async def _stop_host(self, fault: Fault) -> None:
        index = self._select_host(fault)
        await self.hosts[index].terminate()
        await self._wait_fault(fault, index)

    async def _reload_host(self, fault: Fault) -> None:
        index = int(fault.choice * len(self.hosts))
        self.hosts[index].send(signal.SIGHUP)
        await asyncio.sleep(fault.duration_s)

    async def _cut_store(self, fault: Fault) -> None:
        index = self._select_host(fault)
        await self._disturb_proxy(self.store_proxies[index], fault, index)

    async def _cut_peers(self, fault: Fault) -> None:
        index = self._select_host(fault)
        await self._disturb_proxy(self.peer_proxies[index], fault, index)

    async def _disturb_proxy(
        self,
        proxy: FaultProxy,
        fault: Fault,
        *indexes: int,
    ) -> None:
        if fault.mode == 'reset':
            proxy.reset()
        proxy.set_faults(
            delay_s=fault.duration_s / 20 if fault.mode == 'delay' else 0,
            block_to_target=fault.mode in {'up', 'silent'},
            block_to_client=fault.mode in {'down', 'silent'},
        )
        await self._wait_fault(fault, *indexes)
        proxy.set_faults()
        self.last_fault_ended_at = self.now()

    def _select_server(self, fault: Fault) -> SoakServer | None:
        """Select a running upstream, or ``None`` if only one is left."""
        alive = [server for server in self.servers if not server.is_stopped]
        if len(alive) < 2:
            return None
        return alive[int(fault.choice * len(alive))]

    async def _disturb_server(self, fault: Fault) -> None:
        server = self._select_server(fault)
        if server is not None and server.proxy is not None:
            if server.notice is not None:
                server.notice.is_disturbed = True
            await self._disturb_proxy(server.proxy, fault)

    async def _kill_server(self, fault: Fault) -> None:
        """Kill an upstream and start one with the same or another name."""
        server = self._select_server(fault)
        if server is None:
            return
        server.end()
        await asyncio.sleep(fault.duration_s)
        await self._replace(server, is_same=fault.kind == 'rebirth')

    async def _partition_server(self, fault: Fault) -> None:
        """Partition an upstream, so that its entry expires, then kill it."""
        server = self._select_server(fault)
        if server is None:
            return
        if server.proxy is not None:
            server.proxy.set_faults(block_to_target=True, block_to_client=True)
        await asyncio.sleep(fault.duration_s)
        server.end()
        await self._replace(server, is_same=False)

    async def _drain_server(self, fault: Fault) -> None:
        server = self._select_server(fault)
        if server is None or server.is_draining:
            return
        server.is_draining = True
        entry = server.entry('draining', seq=2)
        self.store.put('servers', server.name, entry)
        await asyncio.sleep(DRAIN_S + EXIT_S)
        server.end()
        await self._replace(server, is_same=False)

    async def _limit_server(self, fault: Fault) -> None:
        server = self._select_server(fault)
        if server is None or server.notice is not None:
            return
        notice = NoticeRecord(self.now())
        server.notice = notice
        server.rate_limit = str(RATE_LIMIT)
        await asyncio.sleep(fault.duration_s)
        self._report_all(
            server,
            notice.broken_limits(
                RATE_LIMIT,
                lambda host: (
                    self.active_faults[host] > 0
                    or self.host_faults_ended_at[host] > notice.begun_at
                ),
            ),
        )
        server.rate_limit = ''
        server.notice = None

    async def _let_server_leave(self, fault: Fault) -> None:
        """Let an upstream leave that only its answers announce."""
        server = self._select_server(fault)
        if server is None or server.notice is not None:
            return
        notice = NoticeRecord(self.now())
        server.notice = notice
        server.is_leaving = True
        await asyncio.sleep(fault.duration_s)
        self._report_all(
            server,
            notice.late_requests(
                lambda host: self.forgot_at.get(host, float('-inf'))
            ),
        )
        server.end()
        await self._replace(server, is_same=False)

    def _report_all(self, server: SoakServer, problems: Iterable[str]) -> None:
        for problem in problems:
            self.checker.report(self.now(), f'{problem}, at {server.name}')

    async def _replace(self, server: SoakServer, *, is_same: bool) -> None:
        if server not in self.servers:
            return
        self.servers.remove(server)
        name = server.name if is_same else f'i-{self.rng.getrandbits(32):x}'
        if not is_same:
            self.store.remove('servers', server.name)
        await self._add_server(name, server.born + 1)

    async def _disturb_store(self, fault: Fault) -> None:
        store = self.store
        if fault.kind == 'down':
            store.is_down = True
            await asyncio.sleep(fault.duration_s)
            store.is_down = False
        elif fault.kind == 'slow':
            store.delay_s = fault.duration_s / 8
            await asyncio.sleep(fault.duration_s)
            store.delay_s = 0.0
        elif fault.kind == 'lost':
            store.lost_writes += 2
        elif fault.kind == 'late':
            store.late_writes += 1
        else:
            store.forget_history()

    async def _restore_store(self, fault: Fault) -> None:
        """Let the store be away, and come back from a copy."""
        copy = self.store.copy()
        await asyncio.sleep(fault.duration_s - AWAY_S)
        self.store.is_closing = True
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.is_closing = False
        await asyncio.sleep(REFILL_S)
        self.store.refill()

    async def _configure(self, fault: Fault) -> None:
        self.version += 3
        self.store.put('op', 'config', configuration(self.version))

    async def _write_invalid_entry(self, fault: Fault) -> None:
        """Write an invalid entry to the table of upstreams."""
        rows: tuple[object, ...] = (b'\xff\xfe', {'state': 1}, [], 'text')
        row = rows[int(fault.choice * len(rows))]
        self.store.put('servers', 'i-spoilt', row)


def _own_address() -> str:
    """Return a loopback address that no concurrent run uses."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{1 + high % 250}.{1 + low}.1'


def _ignore_cancelled(
    loop: asyncio.AbstractEventLoop,
    context: dict[str, Any],
) -> None:
    """Ignore the cancellation of handlers when the loop closes."""
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


def run_seed(seed: int, length_s: float, folder: Path) -> Result:
    """Run one seed, with the logs of its hosts in their own subfolder."""

    async def run_faults() -> Result:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_ignore_cancelled)
        return await FaultRun(seed, length_s, seed_folder).run()

    seed_folder = folder / str(seed)
    seed_folder.mkdir(parents=True)
    return asyncio.run(run_faults())
