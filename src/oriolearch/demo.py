"""Demonstrate the whole path on loopback, with losses.

Sends real requests through every host, takes a keyed server and a host away
under load, and checks every answer against what the upstreams ran.
"""

import itertools
import json
import logging
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import urllib3

from oriolearch.eventlog import configure_logging
from oriolearch.cluster import Cluster, NotReadyError, Server
from oriolearch.standins.upstream import Run

CALLERS = 4
SWITCH_INTERVAL_S = (
    0.02  # 5 ms made hundreds of threads change places too often
)
REQUEST_TIMEOUT_S = 10.0
STEADY_S = 4.0
SETTLE_S = 3.0
LOSS_LIMIT_S = 15.0
PROBE_TIMEOUT_MS = 100
PROBED_KEYS = 6  # asked for one after the other, so few
KEYS = 200
POOLS = ('orders', 'stock', 'files')
OUTCOME_HEADER = 'oriolearch-outcome'


@dataclass(slots=True)
class Call:
    """One request with what became of it.

    :param outcome: ``ok``, the refusal's outcome, or ``wrong``.
    """

    name: str
    method: str
    host: str
    pool: str
    key: str
    started: float
    seconds: float = 0.0
    outcome: str = ''
    detail: str = ''


@dataclass(slots=True)
class Load:
    """Callers on threads of their own, which send until stopped.

    :param pause_s: time between a caller's answer and its next request.
    """

    cluster: Cluster
    seed: int
    pause_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def start(self) -> None:
        """Begin to send."""
        for number in range(CALLERS):
            thread = threading.Thread(target=self._send_all, args=(number,))
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Send nothing new and wait for the last answers."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _send_all(self, number: int) -> None:
        rng = random.Random(self.seed * CALLERS + number)
        http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
        while not self.stopped.is_set():
            hosts = tuple(self.cluster.hosts)
            call = Call(
                f'{number}-{next(self.numbers)}',
                rng.choice(('GET', 'POST')),
                rng.choice(hosts),
                rng.choice(POOLS),
                f'k{rng.randrange(KEYS)}',
                time.monotonic(),
            )
            self._send(http, call)
            self.calls.append(call)
            self.stopped.wait(self.pause_s)

    def _send(self, http: urllib3.PoolManager, call: Call) -> None:
        address = self.cluster.places[call.host].entry
        body = call.name.encode() if call.method == 'POST' else None
        try:
            answer = http.request(
                call.method,
                f'http://{address}/{call.pool}/{call.key}',
                body=body,
                headers={'oriolearch-request': call.name},
            )
        except urllib3.exceptions.HTTPError as error:
            call.outcome = 'unknown'
            call.detail = type(error).__name__
        else:
            self._judge(call, answer, body)
        call.seconds = time.monotonic() - call.started

    def _judge(
        self,
        call: Call,
        answer: urllib3.BaseHTTPResponse,
        body: bytes | None,
    ) -> None:
        refusal = answer.headers.get(OUTCOME_HEADER)
        if refusal is not None:
            call.outcome = refusal
            call.detail = str(json.loads(answer.data).get('type'))
            return
        echoed = answer.headers.get('oriolearch-request')
        is_own = echoed == call.name and body in {None, answer.data}
        call.outcome = 'ok' if answer.status == 200 and is_own else 'wrong'
        call.detail = f'status {answer.status}, echo {echoed}'


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def table(calls: Iterable[Call]) -> Iterator[str]:
    """Yield a line for each pool, and a heading."""
    yield 'pool    method  asked     ok  not-run  unknown  wrong  p50 ms  p99 ms'
    groups: dict[tuple[str, str], list[Call]] = {}
    for call in calls:
        groups.setdefault((call.pool, call.method), []).append(call)
    for (pool, method), group in sorted(groups.items()):
        counts = Counter(call.outcome for call in group)
        times = sorted(call.seconds * 1000 for call in group)
        yield (
            f'{pool:<8}{method:<6}{len(group):>7}{counts["ok"]:>7}'
            f'{counts["not-run"]:>9}{counts["unknown"]:>9}'
            f'{counts["wrong"]:>7}{_quantile(times, 0.5):>8.1f}'
            f'{_quantile(times, 0.99):>8.1f}'
        )


def owner_table(cluster: Cluster) -> Iterator[str]:
    """Yield how many keys and requests each keyed server had."""
    yield 'server     zone   keys   runs'
    for server in cluster.servers.values():
        ledger = server.standin.ledger
        runs = sum(len(entries) for entries in ledger.values())
        yield f'{server.name:<11}{server.zone:<5}{len(ledger):>6}{runs:>7}'


def unserved_s(cluster: Cluster, pool: str, keys: set[str]) -> float:
    """Ask for some keys until each was answered; give the seconds it took.

    :raises NotReadyError: when a key is not served in time.
    """
    http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
    waiting = sorted(keys)[:PROBED_KEYS]
    headers = {'oriolearch-timeout-ms': str(PROBE_TIMEOUT_MS)}
    began = time.monotonic()
    while waiting and time.monotonic() < began + LOSS_LIMIT_S:
        hosts = itertools.cycle(tuple(cluster.hosts))
        waiting = [
            key
            for key, host in zip(waiting, hosts, strict=False)
            if not _is_answered(
                http,
                f'http://{cluster.places[host].entry}/{pool}/{key}',
                headers,
            )
        ]
    if waiting:
        raise NotReadyError(f'keys {waiting} not served in {LOSS_LIMIT_S} s')
    return time.monotonic() - began


def _is_answered(
    http: urllib3.PoolManager,
    url: str,
    headers: Mapping[str, str],
) -> bool:
    try:
        answer = http.request('GET', url, headers=headers)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200


def faults(  # noqa: WPS231
    cluster: Cluster,
    calls: list[Call],
) -> Iterator[str]:
    """Yield every answer that was wrong and all work done twice."""
    runs = Counter[str]()
    for server in cluster.servers.values():
        for entries in server.standin.ledger.values():
            runs.update(entry.request for entry in entries)
    for call in calls:
        count = runs[call.name]
        if call.outcome == 'wrong':
            yield f'{call.name} {call.pool}: wrong answer: {call.detail}'
        if call.outcome == 'not-run' and count:
            yield f'{call.name} {call.pool}: "not run" but ran {count} times'
        if call.method == 'POST' and count > 1:
            yield f'{call.name} {call.pool}: ran {count} times'
        if call.outcome == 'ok' and not count:
            yield f'{call.name} {call.pool}: answered but never ran'
    yield from _overlaps(cluster.pool_servers('orders'))


def _overlaps(servers: list[Server]) -> Iterator[str]:
    """Yield keys that two servers served in turn, or under one epoch."""
    by_key: dict[str, list[tuple[Run, str]]] = {}
    for server in servers:
        for key, entries in server.standin.ledger.items():
            pairs = [(entry, server.name) for entry in entries]
            by_key.setdefault(key, []).extend(pairs)
    for key, pairs in by_key.items():
        pairs.sort(key=lambda pair: pair[0].at)
        for (first, name), (second, other) in itertools.pairwise(pairs):
            is_later = (second.epoch or 0) > (first.epoch or 0)
            if name != other and not is_later:
                yield f'{key}: {name} and {other} served it by one epoch'


def run(seed: int = 1) -> int:
    """Run the demonstration; give the exit status."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    configure_logging(logging.CRITICAL)
    began = time.monotonic()
    with Cluster(seed=seed) as cluster:
        problems = _run_in(cluster, seed)
    print(f'took {time.monotonic() - began:.1f} s')
    for problem in problems[:20]:
        print(f'FAULT {problem}')
    print('faults:', len(problems))
    return 1 if problems else 0


def _run_in(cluster: Cluster, seed: int) -> list[str]:
    cluster.configure()
    started_s = cluster.wait_until('all shards served', cluster.is_served)
    print(
        f'nine hosts in three zones; all shards served after {started_s:.1f} s'
    )
    load = Load(cluster, seed)
    load.start()
    pause = threading.Event()
    pause.wait(STEADY_S)
    steady = len(load.calls)
    _print('Steady', table(load.calls[:steady]))
    server = cluster.servers['order-a1']
    keys = keys_of(cluster, server.name)
    server.standin.stop()
    lost_s = unserved_s(cluster, 'orders', keys)
    pause.wait(SETTLE_S)
    after_server = len(load.calls)
    _print('Keyed server order-a1 lost', table(load.calls[steady:after_server]))
    print(f'{PROBED_KEYS} of its keys were served again after {lost_s:.2f} s')
    cluster.kill_host('a1')
    lost_s = unserved_s(cluster, 'orders', keys_of(cluster, 'order-a2'))
    pause.wait(SETTLE_S)
    load.stop()
    _print('Host a1 (a coordinator) lost', table(load.calls[after_server:]))
    print(f'{PROBED_KEYS} keys of its zone were answered within {lost_s:.2f} s')
    _print('Work by server', owner_table(cluster))
    print(f'platform: {cluster.platform.counts["reads"]} reads,', end=' ')
    print(f'{cluster.platform.counts["writes"]} writes')
    return list(faults(cluster, load.calls))


def keys_of(cluster: Cluster, name: str) -> set[str]:
    """Give the keys that a server owns now, of those asked for so far."""
    view = cluster.hosts['b1'].published.view
    pool = view.document.pools[cluster.servers[name].pool]
    owned = set()
    for number in range(KEYS):
        owner = view.owner(pool, f'k{number}')
        if owner is not None and owner.assignment.owner == name:
            owned.add(f'k{number}')
    return owned


def _print(title: str, lines: Iterable[str]) -> None:
    print(f'\n{title}')
    for line in lines:
        print(f'  {line}')


def serve(seed: int = 1) -> None:
    """Run the installation until interrupted, and print its addresses."""
    with Cluster(seed=seed) as cluster:
        cluster.configure()
        cluster.wait_until('all shards served', cluster.is_served)
        print(f'export ORIOLEARCH_TOKEN={cluster.token}')
        for name, places in cluster.places.items():
            print(f'{name}: callers http://{places.entry}', end=' ')
            print(f'operators http://{places.admin}')
        entry = next(iter(cluster.places.values())).entry
        print(f'try: curl -i http://{entry}/orders/order-17', flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            print('stopping')
