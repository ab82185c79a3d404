"""Demonstration of a cluster on loopback, with failures.

Sends requests through every host, stops a keyed server and kills a host under
load, and checks every response against the requests that the upstreams ran.
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

from oriolearch.cluster import Cluster, NotReadyError, UpstreamServer
from oriolearch.eventlog import configure_logging
from oriolearch.standins.upstream import Run

CALLERS = 4
# The default of 5 ms causes too many context switches between the hundreds of
# threads of the cluster.
THREAD_SWITCH_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 10.0
STEADY_S = 4.0
SETTLE_S = 3.0
LOSS_LIMIT_S = 15.0  # from a loss until its keys are served again
PROBE_TIMEOUT_MS = 100
PROBED_KEYS = 6  # requested sequentially, so the number is small
KEYS = 200
POOLS = ('orders', 'stock', 'files')
OUTCOME_HEADER = 'oriolearch-outcome'


@dataclass(slots=True)
class Call:
    """One request and its result.

    :param outcome: ``ok``, ``wrong``, ``unknown`` for a connection error, or
        the outcome header of a refusal.
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
class LoadGenerator:
    """Sends requests from one thread per caller until stopped.

    :param pause_s: time between a response and the caller's next request.
    """

    cluster: Cluster
    seed: int
    pause_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)
    request_numbers: Iterator[int] = field(default_factory=itertools.count)

    def start(self) -> None:
        """Start the callers."""
        for number in range(CALLERS):
            thread = threading.Thread(target=self._run_caller, args=(number,))
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the outstanding responses."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self.seed * CALLERS + number)
        http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
        while not self.stopped.is_set():
            hosts = tuple(self.cluster.hosts)
            call = Call(
                f'{number}-{next(self.request_numbers)}',
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
        address = self.cluster.host_addresses[call.host].entry
        body = call.name.encode() if call.method == 'POST' else None
        try:
            response = http.request(
                call.method,
                f'http://{address}/{call.pool}/{call.key}',
                body=body,
                headers={'oriolearch-request': call.name},
            )
        except urllib3.exceptions.HTTPError as error:
            call.outcome = 'unknown'
            call.detail = type(error).__name__
        else:
            self._classify_response(call, response, body)
        call.seconds = time.monotonic() - call.started

    def _classify_response(
        self,
        call: Call,
        response: urllib3.BaseHTTPResponse,
        body: bytes | None,
    ) -> None:
        refusal_outcome = response.headers.get(OUTCOME_HEADER)
        if refusal_outcome is not None:
            call.outcome = refusal_outcome
            call.detail = str(json.loads(response.data).get('type'))
            return
        echoed = response.headers.get('oriolearch-request')
        is_own = echoed == call.name and body in {None, response.data}
        call.outcome = 'ok' if response.status == 200 and is_own else 'wrong'
        call.detail = f'status {response.status}, echo {echoed}'


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def outcome_table(calls: Iterable[Call]) -> Iterator[str]:
    """Yield a heading, and a line for each pool and method."""
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
    """Yield the number of keys and requests that each server ran."""
    yield 'server     zone   keys   runs'
    for server in cluster.servers.values():
        ledger = server.standin.ledger
        runs = sum(len(entries) for entries in ledger.values())
        yield f'{server.name:<11}{server.zone:<5}{len(ledger):>6}{runs:>7}'


def wait_until_served(cluster: Cluster, pool: str, keys: set[str]) -> float:
    """Request some keys until each was served; return the seconds it took.

    :raises NotReadyError: if a key is not served in time.
    """
    http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
    unserved_keys = sorted(keys)[:PROBED_KEYS]
    headers = {'oriolearch-timeout-ms': str(PROBE_TIMEOUT_MS)}
    started_at = time.monotonic()
    while unserved_keys and time.monotonic() < started_at + LOSS_LIMIT_S:
        hosts = itertools.cycle(tuple(cluster.hosts))
        unserved_keys = [
            key
            for key, host in zip(unserved_keys, hosts, strict=False)
            if not _is_served(
                http,
                f'http://{cluster.host_addresses[host].entry}/{pool}/{key}',
                headers,
            )
        ]
    if unserved_keys:
        raise NotReadyError(
            f'keys {unserved_keys} not served within {LOSS_LIMIT_S} s'
        )
    return time.monotonic() - started_at


def _is_served(
    http: urllib3.PoolManager,
    url: str,
    headers: Mapping[str, str],
) -> bool:
    try:
        response = http.request('GET', url, headers=headers)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def find_violations(  # noqa: WPS231
    cluster: Cluster,
    calls: list[Call],
) -> Iterator[str]:
    """Yield every wrong response and every request that ran twice."""
    runs = Counter[str]()
    for server in cluster.servers.values():
        for entries in server.standin.ledger.values():
            runs.update(entry.request for entry in entries)
    for call in calls:
        count = runs[call.name]
        if call.outcome == 'wrong':
            yield f'{call.name} {call.pool}: wrong response: {call.detail}'
        if call.outcome == 'not-run' and count:
            yield f'{call.name} {call.pool}: "not run" but ran {count} times'
        if call.method == 'POST' and count > 1:
            yield f'{call.name} {call.pool}: ran {count} times'
        if call.outcome == 'ok' and not count:
            yield f'{call.name} {call.pool}: answered but never ran'
    yield from _epoch_violations(cluster.pool_servers('orders'))


def _epoch_violations(servers: list[UpstreamServer]) -> Iterator[str]:
    """Yield keys that changed server without a higher epoch."""
    by_key: dict[str, list[tuple[Run, str]]] = {}
    for server in servers:
        for key, entries in server.standin.ledger.items():
            pairs = [(entry, server.name) for entry in entries]
            by_key.setdefault(key, []).extend(pairs)
    for key, pairs in by_key.items():
        pairs.sort(key=lambda pair: pair[0].executed_at)
        for (earlier, name), (later, other) in itertools.pairwise(pairs):
            has_higher_epoch = (later.epoch or 0) > (earlier.epoch or 0)
            if name != other and not has_higher_epoch:
                yield (
                    f'{key}: {other} served it after {name} without a higher '
                    'epoch'
                )


def run(seed: int = 1) -> int:
    """Run the demonstration and return the exit status."""
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    configure_logging(logging.CRITICAL)
    started_at = time.monotonic()
    with Cluster(seed=seed) as cluster:
        problems = _run_scenario(cluster, seed)
    print(f'took {time.monotonic() - started_at:.1f} s')
    for problem in problems[:20]:
        print(f'FAULT {problem}')
    print('faults:', len(problems))
    return 1 if problems else 0


def _run_scenario(cluster: Cluster, seed: int) -> list[str]:
    cluster.configure()
    startup_s = cluster.wait_until(
        'every shard has an owner', cluster.is_served
    )
    print(
        f'nine hosts in three zones; every shard had an owner after '
        f'{startup_s:.1f} s'
    )
    load = LoadGenerator(cluster, seed)
    load.start()
    sleeper = threading.Event()
    sleeper.wait(STEADY_S)
    steady_count = len(load.calls)
    _print_section('Steady', outcome_table(load.calls[:steady_count]))
    server = cluster.servers['order-a1']
    keys = owned_keys(cluster, server.name)
    server.standin.stop()
    lost_s = wait_until_served(cluster, 'orders', keys)
    sleeper.wait(SETTLE_S)
    after_server_loss = len(load.calls)
    _print_section(
        'Keyed server order-a1 stopped',
        outcome_table(load.calls[steady_count:after_server_loss]),
    )
    print(f'{PROBED_KEYS} of its keys were served again after {lost_s:.2f} s')
    cluster.kill_host('a1')
    lost_s = wait_until_served(
        cluster, 'orders', owned_keys(cluster, 'order-a2')
    )
    sleeper.wait(SETTLE_S)
    load.stop()
    _print_section(
        'Host a1 (a coordinator) killed',
        outcome_table(load.calls[after_server_loss:]),
    )
    print(f'{PROBED_KEYS} keys of its zone were served within {lost_s:.2f} s')
    _print_section('Keys and requests by server', owner_table(cluster))
    print(f'platform: {cluster.platform.counts["reads"]} reads,', end=' ')
    print(f'{cluster.platform.counts["writes"]} writes')
    return list(find_violations(cluster, load.calls))


def owned_keys(cluster: Cluster, name: str) -> set[str]:
    """Return the keys, of those that the callers use, that a server owns."""
    view = cluster.hosts['b1'].published.view
    pool = view.document.pools[cluster.servers[name].pool]
    owned = set()
    for number in range(KEYS):
        owner = view.owner(pool, f'k{number}')
        if owner is not None and owner.assignment.owner == name:
            owned.add(f'k{number}')
    return owned


def _print_section(title: str, lines: Iterable[str]) -> None:
    print(f'\n{title}')
    for line in lines:
        print(f'  {line}')


def serve(seed: int = 1) -> None:
    """Run a cluster until interrupted, and print its addresses."""
    with Cluster(seed=seed) as cluster:
        cluster.configure()
        cluster.wait_until('every shard has an owner', cluster.is_served)
        print(f'export ORIOLEARCH_TOKEN={cluster.token}')
        for name, addresses in cluster.host_addresses.items():
            print(f'{name}: callers http://{addresses.entry}', end=' ')
            print(f'operators http://{addresses.admin}')
        entry = next(iter(cluster.host_addresses.values())).entry
        print(f'try: curl -i http://{entry}/orders/order-17', flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            print('stopping')
