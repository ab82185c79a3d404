"""A whole installation on loopback: hosts, stand-ins and an operator.

Used by the demonstration, by ``oriolearch serve`` and by tests of the whole
path. Everything runs in one process.
"""

import asyncio
import hashlib
import itertools
import os
import secrets
import socket
import threading
from collections.abc import Callable, Coroutine, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from oriolearch.adapters.admin_client import AdminClient, Credentials
from oriolearch.clock import RealClock
from oriolearch.core.errors import OriolearchError
from oriolearch.core.model import Fencing
from oriolearch.host import Host
from oriolearch.schema import parse
from oriolearch.settings import Settings
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.plain import ColdStart, PlainStandin
from oriolearch.standins.platform import PlatformStandin
from oriolearch.standins.upstream import Limits, UpstreamStandin

ZONES = ('a', 'b', 'c')
REGION = 'north'
SERVICE_S = 0.004  # duration of a run at an upstream
START_LIMIT_S = 20.0
POLL_S = 0.02
FIRST_PORT = 20000
PORT_COUNT = 10000

_numbers = itertools.count(os.getpid() * 97)  # processes start apart

_Result = TypeVar('_Result')


class NotReadyError(OriolearchError):
    """The installation did not come into a state in time."""


def _is_free(port: int) -> bool:
    try:
        socket.create_server(('127.0.0.1', port)).close()
    except OSError:
        return False
    return True


def free_addresses(count: int) -> list[str]:
    """Find free loopback addresses.

    They lie below the range of ports that the system gives to clients and to
    port 0, so that nothing takes them before the hosts bind them.
    """
    ports = (FIRST_PORT + number % PORT_COUNT for number in _numbers)
    free = itertools.islice(filter(_is_free, ports), count)
    return [f'127.0.0.1:{port}' for port in free]


@dataclass(slots=True)
class Server:
    """An upstream stand-in with its place."""

    name: str
    zone: str
    pool: str
    standin: UpstreamStandin

    def row(self) -> dict[str, Any]:
        """Give the upstream as the table of pools has it."""
        return {
            'name': self.name,
            'address': self.standin.address,
            'zone': self.zone,
            'connections': self.standin.limits.connections,
        }


@dataclass(frozen=True, slots=True)
class Shape:
    """How many of everything a zone has.

    :param keyed: keyed servers that check grants.
    :param unchecked: keyed servers that do not.
    """

    zones: tuple[str, ...] = ZONES
    hosts: int = 3
    keyed: int = 2
    unchecked: int = 1
    plain: int = 2
    shard_count: int = 3072


@dataclass(slots=True)
class Places:
    """Addresses of one host."""

    entry: str
    peers: str
    admin: str


class Cluster:
    """Starts, breaks and stops an installation.

    The hosts share one event loop on a thread of its own.

    :param log: told of each step, in plain words.
    """

    def __init__(
        self,
        shape: Shape | None = None,
        seed: int = 1,
        log: Callable[[str], None] = print,
    ) -> None:
        self.shape = shape or Shape()
        self.seed = seed
        self.log = log
        self.token = secrets.token_hex(16)
        self.platform = PlatformStandin(seed=seed)
        self.servers: dict[str, Server] = {}
        self.hosts: dict[str, Host] = {}
        self.places: dict[str, Places] = {}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever,
            name='control',
            daemon=True,
        )

    def __enter__(self) -> 'Cluster':
        """Start everything and make the first configuration."""
        self.thread.start()
        self.platform.start()
        self._start_servers()
        for name in self._host_names():
            addresses = free_addresses(3)
            self.places[name] = Places(*addresses)
        for name in self.places:
            self.start_host(name)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        for name in tuple(self.hosts):
            self.kill_host(name)
        for server in self.servers.values():
            server.standin.stop()
        self.platform.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def start_host(self, name: str) -> Host:
        """Start a host, also a further one or one that was lost."""
        if name not in self.places:
            self.places[name] = Places(*free_addresses(3))
        host = Host(self.settings(name), RealClock(), self.seed)
        entry = {
            'zone': name[0],
            'address': self.places[name].peers,
            'state': 'live',
        }
        self.platform.set_host(name, entry)
        self.run(host.start())
        self.hosts[name] = host
        return host

    def kill_host(self, name: str) -> None:
        """Lose a host; the platform's list keeps it for a while."""
        self.run(self.hosts.pop(name).kill())

    def stop_host(self, name: str) -> None:
        """Stop a host as planned."""
        entry = {
            'zone': name[0],
            'address': self.places[name].peers,
            'state': 'leaving',
        }
        self.platform.set_host(name, entry)
        self.run(self.hosts.pop(name).stop())
        self.platform.set_host(name, None)

    def run(self, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Run a coroutine on the hosts' event loop."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result()

    def operator(self, host: str | None = None) -> AdminClient:
        """Give an operator's client of a host's administration API."""
        name = host or next(iter(self.hosts))
        url = f'http://{self.places[name].admin}'
        return AdminClient(url, Credentials(self.token))

    def configure(self) -> None:
        """Make the first configuration by an edit, as operators do."""
        operations = [*self._pool_operations(), *_route_operations()]
        self.operator().edit(0, operations)

    def wait_until(
        self,
        what: str,
        predicate: Callable[[], bool],
        limit_s: float = START_LIMIT_S,
    ) -> float:
        """Wait for a state; give the seconds that it took.

        :raises NotReadyError: when it does not come in time.
        """
        clock = RealClock()
        start = clock.monotonic()
        pause = threading.Event()
        while not predicate():
            if clock.monotonic() > start + limit_s:
                raise NotReadyError(f'not in {limit_s} s: {what}')
            pause.wait(POLL_S)
        return clock.monotonic() - start

    def is_served(self) -> bool:
        """Tell whether every host knows an owner for every shard."""
        return all(host.control.is_served() for host in self.hosts.values())

    def settings(self, name: str) -> Settings:
        """Give the settings of a host, as its file would hold them."""
        places = self.places[name]
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        zones = self.shape.zones
        fields = {
            'host': {'name': name, 'zone': name[0]},
            'entry': {
                'address': places.entry,
                'threads': 32,
                'upload_threads': 8,
                'stop_limit_s': 30,
            },
            'peers': {
                'address': places.peers,
                'seeds': [
                    self.places[other].peers
                    for other in self.places
                    if other != name and other[0] == name[0]
                ],
            },
            'admin': {
                'address': places.admin,
                'tokens': [{'name': 'operator', 'sha256': digest}],
            },
            'platform': {'address': self.platform.address},
            'zones': [
                {
                    'name': zone,
                    'region': REGION,
                    'adopter': zones[(number + 1) % len(zones)],
                }
                for number, zone in enumerate(zones)
            ],
            'telemetry': {'level': 'ERROR'},
        }
        return parse(Settings, 'cluster', fields)

    def pool_servers(self, pool: str) -> list[Server]:
        """List the servers of a pool."""
        return [one for one in self.servers.values() if one.pool == pool]

    def _host_names(self) -> Iterator[str]:
        for zone in self.shape.zones:
            for number in range(1, self.shape.hosts + 1):
                yield f'{zone}{number}'

    def _start_servers(self) -> None:
        shape = self.shape
        for zone in shape.zones:
            for number in range(1, shape.keyed + 1):
                self._add_server(f'order-{zone}{number}', zone, 'orders')
            for number in range(1, shape.unchecked + 1):
                self._add_server(f'stock-{zone}{number}', zone, 'stock')
            for number in range(1, shape.plain + 1):
                self._add_server(f'file-{zone}{number}', zone, 'files')

    def _add_server(self, name: str, zone: str, pool: str) -> None:
        limits = Limits(service_s=SERVICE_S, connections=130)
        standin: UpstreamStandin
        match pool:
            case 'orders':
                standin = KeyedStandin(limits=limits)
            case 'stock':
                standin = KeyedStandin(limits=limits, fencing=Fencing.NONE)
            case _:
                cold = ColdStart(0)
                standin = PlainStandin(limits=limits, cold_start=cold)
        standin.start()
        self.servers[name] = Server(name, zone, pool, standin)

    def _pool_operations(self) -> Iterator[dict[str, Any]]:
        pools: dict[str, dict[str, Any]] = {
            'orders': {'kind': 'keyed', 'shard_count': self.shape.shard_count},
            'stock': {'kind': 'keyed', 'shard_count': 768, 'fencing': 'none'},
            'files': {'kind': 'plain'},
        }
        for name, fields in pools.items():
            rows = [server.row() for server in self.pool_servers(name)]
            pool = {**fields, 'upstreams': rows}
            if rows:
                yield {'kind': 'put-pool', 'name': name, 'pool': pool}


def _route_operations() -> Iterator[Mapping[str, Any]]:
    routes: dict[str, dict[str, Any]] = {
        'orders': {'prefix': '/orders', 'key': {'path_segment': 1}},
        'stock': {'prefix': '/stock', 'key': {'path_segment': 1}},
        'files': {'prefix': '/files'},
    }
    for name, fields in routes.items():
        route = {**fields, 'pool': name}
        yield {'kind': 'put-route', 'name': name, 'route': route}
