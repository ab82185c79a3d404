"""A cluster on loopback: hosts, stand-ins and an administration client.

Used by the demonstration, ``oriolearch serve`` and the end-to-end tests.
Everything runs in one process.
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
SERVICE_S = 0.004  # service time of a request at an upstream
START_LIMIT_S = 20.0
POLL_S = 0.02
FIRST_PORT = 20000
PORT_COUNT = 10000

# Each process starts at another port, so that two rarely probe the same one.
_port_offsets = itertools.count(os.getpid() * 97)

_Result = TypeVar('_Result')


class NotReadyError(OriolearchError):
    """The cluster did not reach an expected state in time."""


def _is_free(port: int) -> bool:
    try:
        socket.create_server(('127.0.0.1', port)).close()
    except OSError:
        return False
    return True


def free_addresses(count: int) -> list[str]:
    """Find free loopback addresses.

    The ports are below the ephemeral range, from which the system assigns
    ports to clients and for port 0, so that no other socket is given one
    before the hosts bind them.
    """
    ports = (FIRST_PORT + offset % PORT_COUNT for offset in _port_offsets)
    free = itertools.islice(filter(_is_free, ports), count)
    return [f'127.0.0.1:{port}' for port in free]


@dataclass(slots=True)
class UpstreamServer:
    """A running upstream stand-in with its zone and pool."""

    name: str
    zone: str
    pool: str
    standin: UpstreamStandin

    def to_config(self) -> dict[str, Any]:
        """Return the upstream as an entry of the pool's configuration."""
        return {
            'name': self.name,
            'address': self.standin.address,
            'zone': self.zone,
            'connections': self.standin.limits.connections,
        }


@dataclass(frozen=True, slots=True)
class ClusterLayout:
    """The zones of a cluster, and the number of hosts and servers in each.

    :param keyed: keyed servers that check fencing tokens.
    :param unchecked: keyed servers that do not check them.
    """

    zones: tuple[str, ...] = ZONES
    hosts: int = 3
    keyed: int = 2
    unchecked: int = 1
    plain: int = 2
    shard_count: int = 3072


@dataclass(slots=True)
class HostAddresses:
    """The listening addresses of one host."""

    entry: str
    peers: str
    admin: str


class Cluster:
    """Starts and stops a cluster, and causes failures in it.

    The hosts share one event loop, which runs on a separate thread.

    :param log: called with a message for each step.
    """

    def __init__(
        self,
        layout: ClusterLayout | None = None,
        seed: int = 1,
        log: Callable[[str], None] = print,
    ) -> None:
        self.layout = layout or ClusterLayout()
        self.seed = seed
        self.log = log
        self.token = secrets.token_hex(16)
        self.platform = PlatformStandin(seed=seed)
        self.servers: dict[str, UpstreamServer] = {}
        self.hosts: dict[str, Host] = {}
        self.host_addresses: dict[str, HostAddresses] = {}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever,
            name='control',
            daemon=True,
        )

    def __enter__(self) -> 'Cluster':
        """Start the platform, the upstream servers and the hosts."""
        self.thread.start()
        self.platform.start()
        self._start_servers()
        for name in self._host_names():
            addresses = free_addresses(3)
            self.host_addresses[name] = HostAddresses(*addresses)
        for name in self.host_addresses:
            self.start_host(name)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the hosts, the upstream servers and the platform."""
        for name in tuple(self.hosts):
            self.kill_host(name)
        for server in self.servers.values():
            server.standin.stop()
        self.platform.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def start_host(self, name: str) -> Host:
        """Start a host: a configured, an additional or a killed one."""
        if name not in self.host_addresses:
            self.host_addresses[name] = HostAddresses(*free_addresses(3))
        host = Host(self.settings(name), RealClock(), self.seed)
        entry = {
            'zone': name[0],
            'address': self.host_addresses[name].peers,
            'state': 'live',
        }
        self.platform.set_host(name, entry)
        self.run_on_loop(host.start())
        self.hosts[name] = host
        return host

    def kill_host(self, name: str) -> None:
        """Kill a host, which the platform's host list still contains."""
        self.run_on_loop(self.hosts.pop(name).kill())

    def stop_host(self, name: str) -> None:
        """Shut down a host gracefully."""
        entry = {
            'zone': name[0],
            'address': self.host_addresses[name].peers,
            'state': 'leaving',
        }
        self.platform.set_host(name, entry)
        self.run_on_loop(self.hosts.pop(name).stop())
        self.platform.set_host(name, None)

    def run_on_loop(self, coroutine: Coroutine[Any, Any, _Result]) -> _Result:
        """Run a coroutine on the hosts' event loop."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result()

    def admin_client(self, host: str | None = None) -> AdminClient:
        """Return a client of a host's administration API."""
        name = host or next(iter(self.hosts))
        url = f'http://{self.host_addresses[name].admin}'
        return AdminClient(url, Credentials(self.token))

    def configure(self) -> None:
        """Create the first configuration through the administration API."""
        operations = [*self._pool_operations(), *_route_operations()]
        self.admin_client().edit(0, operations)

    def wait_until(
        self,
        description: str,
        predicate: Callable[[], bool],
        limit_s: float = START_LIMIT_S,
    ) -> float:
        """Wait for a condition and return the seconds that it took.

        :param description: describes the condition in the error message.
        :raises NotReadyError: if the condition does not hold in time.
        """
        clock = RealClock()
        start = clock.monotonic()
        sleeper = threading.Event()
        while not predicate():
            if clock.monotonic() > start + limit_s:
                raise NotReadyError(
                    f'timed out after {limit_s} s: {description}'
                )
            sleeper.wait(POLL_S)
        return clock.monotonic() - start

    def is_served(self) -> bool:
        """Return whether every host has an owner for every shard."""
        return all(host.control.is_served() for host in self.hosts.values())

    def settings(self, name: str) -> Settings:
        """Return the settings of a host, validated like a settings file."""
        addresses = self.host_addresses[name]
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        zones = self.layout.zones
        fields = {
            'host': {'name': name, 'zone': name[0]},
            'entry': {
                'address': addresses.entry,
                'threads': 32,
                'upload_threads': 8,
                'stop_limit_s': 30,
            },
            'peers': {
                'address': addresses.peers,
                'seeds': [
                    self.host_addresses[other].peers
                    for other in self.host_addresses
                    if other != name and other[0] == name[0]
                ],
            },
            'admin': {
                'address': addresses.admin,
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

    def pool_servers(self, pool: str) -> list[UpstreamServer]:
        """Return the servers of a pool."""
        return [
            server for server in self.servers.values() if server.pool == pool
        ]

    def _host_names(self) -> Iterator[str]:
        for zone in self.layout.zones:
            for number in range(1, self.layout.hosts + 1):
                yield f'{zone}{number}'

    def _start_servers(self) -> None:
        layout = self.layout
        for zone in layout.zones:
            for number in range(1, layout.keyed + 1):
                self._add_server(f'order-{zone}{number}', zone, 'orders')
            for number in range(1, layout.unchecked + 1):
                self._add_server(f'stock-{zone}{number}', zone, 'stock')
            for number in range(1, layout.plain + 1):
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
        self.servers[name] = UpstreamServer(name, zone, pool, standin)

    def _pool_operations(self) -> Iterator[dict[str, Any]]:
        pools: dict[str, dict[str, Any]] = {
            'orders': {'kind': 'keyed', 'shard_count': self.layout.shard_count},
            'stock': {'kind': 'keyed', 'shard_count': 768, 'fencing': 'none'},
            'files': {'kind': 'plain'},
        }
        for name, fields in pools.items():
            rows = [server.to_config() for server in self.pool_servers(name)]
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
