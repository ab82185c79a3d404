"""One run of a seed: callers, faults, and the check of promises."""

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

from oriolearch.adapters.upstream_links import LinkError, LinkPool
from tests.faultsoak.faults import Fault, draw_faults
from tests.faultsoak.promises import THAW_S, Promises
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
CALLERS = 4  # of each host
CALLER_PAUSE_S = 0.05
CALLER_TIMEOUT_MS = 1000
SAFE_SHARE = 0.4  # of the requests
KEYS = tuple(range(0, 65536, 2039))
START_S = 10.0  # until all keys are served for the first time
RECOVER_S = 15.0  # until all keys are served after the last fault
CONTACT_S = 3.0  # a host is in touch so long after its last fault
LEAVE_S = 2.0  # a leaving upstream gets nothing new after this
ANSWER_SLACK_S = 0.6  # an answer is due so long after the caller's time-out
FIRST_PORT = 10000
PORTS = 4  # of each host
EXIT_S = 0.5  # an upstream ends so long after it has left


@dataclass(frozen=True, slots=True)
class Result:
    """What a run found.

    :ivar seconds: outcomes by second.
    :ivar faults: the faults that were played.
    """

    seed: int
    broken: list[str]
    seconds: dict[int, dict[str, int]]
    faults: list[Fault]


class FaultRun:
    """Plays the faults of one seed."""

    def __init__(self, seed: int, length_s: float, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.faults = draw_faults(seed, length_s)
        self.promises = Promises()
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        self.store = SoakStore()
        self.version = 7
        self.hosts: list[HostProcess] = []
        self.store_proxies: list[FaultProxy] = []
        self.peer_proxies: list[FaultProxy] = []
        self.servers: list[SoakServer] = []
        self.touched: dict[str, float] = {}
        self.struck: Counter[str] = Counter()
        self.healed_at = float('-inf')
        self.count = 0
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return self.loop.time() - self.began_at

    def is_held_up(self) -> bool:
        """Tell whether a call that arrives now may be late by a fault."""
        return self.now() - self.healed_at < THAW_S

    async def play(self) -> Result:
        """Play all faults; the hosts are ended in any case."""
        try:
            await self._open()
            await self._serve_all(START_S, 'start')
            for _ in range(CALLERS):
                for host in self.hosts:
                    self._spawn(self._call_on(host))
            start = self.now()
            await asyncio.gather(
                *(self._strike(start, fault) for fault in self.faults),
            )
            await self._serve_all(RECOVER_S, 'RECOVER')
        finally:
            await self._close()
        for host in self.hosts:
            self.promises.broken.extend(host.unplanned_ends)
        seconds = {
            second: dict(counts)
            for second, counts in sorted(self.promises.seconds.items())
        }
        broken = self.promises.broken
        return Result(self.seed, broken, seconds, self.faults)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(self.loop.create_task(work))

    async def _open(self) -> None:
        await self.store.listen()
        self.store.put('op', 'config', configuration(self.version))
        for number in range(SERVERS):
            await self._add_server(f'i-{number}')
        for number in range(HOSTS):
            await self._add_host(f'h{number}')

    async def _add_server(self, name: str, born: int = 1000) -> None:
        server = SoakServer(
            name,
            born,
            self.promises,
            self.now,
            self.is_held_up,
        )
        await server.open()
        self.servers.append(server)
        self.store.put('servers', name, server.entry())

    async def _add_host(self, name: str) -> None:
        store = FaultProxy(self.store.address)
        await store.listen()
        ip = _own_address()
        port = FIRST_PORT + PORTS * len(self.hosts)
        peers = FaultProxy(f'{ip}:{port}')
        await peers.listen()
        self.store_proxies.append(store)
        self.peer_proxies.append(peers)
        fields = {
            **make_settings(name, store.address, ip, count(port)),
            'peer_address': peers.address,
        }
        self.touched[name] = self.now()
        host = HostProcess(fields, self.folder)
        self.hosts.append(host)
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

    async def _serve_all(self, limit_s: float, promise: str) -> None:
        """Wait until each host serves every key."""
        await asyncio.gather(
            *(self._serve_on(host, limit_s, promise) for host in self.hosts),
        )

    async def _serve_on(
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
                    await self._serve_key(host, links, key)
        except TimeoutError:
            text = f'{promise} {host.name} does not serve {key}'
            self.promises.fail(self.now(), text)
        finally:
            links.close()

    async def _serve_key(
        self,
        host: HostProcess,
        links: LinkPool,
        key: int,
    ) -> None:
        while not await self._send(host, links, key):
            await asyncio.sleep(0.1)

    async def _call_on(self, host: HostProcess) -> None:
        """Send requests one after the other on one kept connection."""
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
        self.count += 1
        is_safe = self.rng.random() < SAFE_SHARE
        attempt = f'{"5afe" if is_safe else "0d0e"}{self.count:012x}'
        body = self.rng.randbytes(self.rng.choice((2, 2, 2, 70000)))
        path, method = ('look', 'GET') if is_safe else ('order', 'POST')
        body = b'' if is_safe else body
        self.promises.asked(attempt, body)
        head = (
            f'{method} /{path}/x HTTP/1.1\r\nHost: shop.example\r\n'
            f'Attempt-Id: {attempt}\r\nTimeout-Ms: {CALLER_TIMEOUT_MS}\r\n'
            f'Shard-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        sent_at = self.now()
        limit_s = CALLER_TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        try:
            answer = await links.exchange(head.encode() + body, limit_s)
        except LinkError:
            was_calm = self._was_calm(host.name, sent_at)
            self.promises.unanswered(self.now(), attempt, was_calm)
            return False
        self.promises.answered(
            self.now(),
            attempt,
            answer.status,
            answer.header(b'server-signature'),
            answer.body,
        )
        return answer.status == 200

    def _was_calm(self, name: str, since: float) -> bool:
        touched = self.touched.get(name, float('-inf'))
        return not self.struck[name] and since - touched > CONTACT_S

    async def _strike(self, start: float, fault: Fault) -> None:
        await asyncio.sleep(max(start + fault.at - self.now(), 0))
        actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            'pause': self._pause,
            'kill': self._kill,
            'stop': self._stop,
            'reload': self._reload,
            'store_cut': self._cut_store,
            'peers_cut': self._cut_peers,
            'crash': self._crash,
            'dark': self._dark,
            'drain': self._drain,
            'rebirth': self._crash,
            'links': self._harm_server,
            'config': self._configure,
            'entry': self._spoil_entry,
            'all_killed': self._kill_all,
        }
        await actions.get(fault.kind, self._trouble_store)(fault)
        self.healed_at = self.now()

    def _host_of(self, fault: Fault) -> int:
        number = int(fault.draw * len(self.hosts))
        self._touch(number)
        return number

    def _touch(self, number: int) -> None:
        self.struck[self.hosts[number].name] += 1

    async def _pass(self, fault: Fault, *numbers: int) -> None:
        """Let a fault last, and note its end for the hosts that it struck."""
        await asyncio.sleep(fault.for_s)
        for number in numbers:
            name = self.hosts[number].name
            self.struck[name] -= 1
            self.touched[name] = self.now()

    async def _pause(self, fault: Fault) -> None:
        number = self._host_of(fault)
        self.hosts[number].send(signal.SIGSTOP)
        await self._pass(fault, number)
        self.hosts[number].send(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        number = self._host_of(fault)
        self.hosts[number].send(signal.SIGKILL)
        await self._pass(fault, number)

    async def _kill_all(self, fault: Fault) -> None:
        numbers = range(len(self.hosts))
        for number in numbers:
            self._touch(number)
            self.hosts[number].send(signal.SIGKILL)
        await self._pass(fault, *numbers)

    async def _stop(self, fault: Fault) -> None:
        number = self._host_of(fault)
        await self.hosts[number].terminate()
        await self._pass(fault, number)

    async def _reload(self, fault: Fault) -> None:
        number = int(fault.draw * len(self.hosts))
        self.hosts[number].send(signal.SIGHUP)
        await asyncio.sleep(fault.for_s)

    async def _cut_store(self, fault: Fault) -> None:
        number = self._host_of(fault)
        await self._harm(self.store_proxies[number], fault, number)

    async def _cut_peers(self, fault: Fault) -> None:
        number = self._host_of(fault)
        await self._harm(self.peer_proxies[number], fault, number)

    async def _harm(
        self,
        proxy: FaultProxy,
        fault: Fault,
        *numbers: int,
    ) -> None:
        if fault.mode == 'reset':
            proxy.reset()
        proxy.set(
            delay_s=fault.for_s / 20 if fault.mode == 'delay' else 0,
            cut_up=fault.mode in {'up', 'silent'},
            cut_down=fault.mode in {'down', 'silent'},
        )
        await self._pass(fault, *numbers)
        proxy.set()
        self.healed_at = self.now()

    def _server_of(self, fault: Fault) -> SoakServer | None:
        """Draw an upstream that runs; the last one is left alone."""
        alive = [server for server in self.servers if not server.is_over]
        if len(alive) < 2:
            return None
        return alive[int(fault.draw * len(alive))]

    async def _harm_server(self, fault: Fault) -> None:
        server = self._server_of(fault)
        if server is not None and server.proxy is not None:
            await self._harm(server.proxy, fault)

    async def _crash(self, fault: Fault) -> None:
        """End a life; the next one has the same name or another."""
        server = self._server_of(fault)
        if server is None:
            return
        server.end()
        await asyncio.sleep(fault.for_s)
        await self._replace(server, is_same=fault.kind == 'rebirth')

    async def _dark(self, fault: Fault) -> None:
        """Silence an upstream; its entry lapses; then it ends."""
        server = self._server_of(fault)
        if server is None:
            return
        if server.proxy is not None:
            server.proxy.set(cut_up=True, cut_down=True)
        await asyncio.sleep(fault.for_s)
        server.end()
        await self._replace(server, is_same=False)

    async def _drain(self, fault: Fault) -> None:
        server = self._server_of(fault)
        if server is None or server.is_leaving:
            return
        server.is_leaving = True
        entry = server.entry('draining', seq=2)
        self.store.put('servers', server.name, entry)
        await asyncio.sleep(LEAVE_S + EXIT_S)
        server.end()
        await self._replace(server, is_same=False)

    async def _replace(self, server: SoakServer, *, is_same: bool) -> None:
        if server not in self.servers:
            return
        self.servers.remove(server)
        name = server.name if is_same else f'i-{self.rng.getrandbits(32):x}'
        if not is_same:
            self.store.remove('servers', server.name)
        await self._add_server(name, server.born + 1)

    async def _trouble_store(self, fault: Fault) -> None:
        store = self.store
        if fault.kind == 'down':
            store.is_down = True
            await asyncio.sleep(fault.for_s)
            store.is_down = False
        elif fault.kind == 'slow':
            store.delay_s = fault.for_s / 8
            await asyncio.sleep(fault.for_s)
            store.delay_s = 0.0
        elif fault.kind == 'lost':
            store.lost_writes += 2
        elif fault.kind == 'late':
            store.late_writes += 1
        else:
            store.forget_history()

    async def _configure(self, fault: Fault) -> None:
        self.version += 3
        self.store.put('op', 'config', configuration(self.version))

    async def _spoil_entry(self, fault: Fault) -> None:
        """Write an entry that names no upstream."""
        rows: tuple[object, ...] = (b'\xff\xfe', {'state': 1}, [], 'text')
        row = rows[int(fault.draw * len(rows))]
        self.store.put('servers', 'i-spoilt', row)


def _own_address() -> str:
    """Give a loopback address that no other run uses meanwhile."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{1 + high % 250}.{1 + low}.1'


def _pass_over_cancelled(
    loop: asyncio.AbstractEventLoop,
    context: dict[str, Any],
) -> None:
    """Report no handler that ended with the loop."""
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


def play(seed: int, length_s: float, folder: Path) -> Result:
    """Play one seed; logs of the hosts are written to a folder of it."""

    async def run() -> Result:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_pass_over_cancelled)
        return await FaultRun(seed, length_s, own).play()

    own = folder / str(seed)
    own.mkdir(parents=True)
    return asyncio.run(run())
