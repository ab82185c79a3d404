"""Routes, pools and upstreams as configured in a shared store.

All classes are immutable values. Adapters build them from the rows of the
store, and the core only reads them. Durations are in seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

KEY_COUNT = 65536  # keys of a keyed pool are 0 to 65535


class Repeat(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


@dataclass(frozen=True, slots=True)
class Destination:
    """A pool that a route sends requests to.

    :param weight: share of the route's requests, relative to its other pools.
    """

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """Settings for the requests of one host name and path prefix.

    :param timeout_s: deadline of a request, from its arrival.
    :param latency_objective_s: latency objective of a response.
    :param max_attempts: upstreams to which one request may be sent.
    :param priority: priority in a queue; 0 is served first.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    is_upload: bool
    destinations: tuple[Destination, ...]
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool of upstreams and their limits.

    :param connections: connections that an upstream accepts from all hosts.
    :param cold_start_s: duration of an upstream's cold start.
    :param cold_rate: requests per second that an upstream can handle during
        its cold start.
    :param key_warm_s: time for which requests for a key are slow at a new
        owner that got no transfer token.
    """

    name: str
    is_keyed: bool
    connections: int
    cold_start_s: float
    cold_rate: float
    key_warm_s: float
    health_path: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and time of a caller's request."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Directory:
    """One version of the configuration.

    :ivar routes: routes of each host name, longest prefix first.
    """

    version: int
    routes: Mapping[str, tuple[RoutePlan, ...]]
    pools: Mapping[str, PoolPlan]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> RoutePlan | None:
        """Find the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_directory(
    version: int,
    routes: Iterable[RoutePlan],
    pools: Iterable[PoolPlan],
    limits: CallerLimits,
) -> Directory:
    """Return a directory with its routes in the order of matching."""
    by_host: dict[str, list[RoutePlan]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(plans, key=_longest_first))
        for host, plans in by_host.items()
    }
    return Directory(
        version,
        MappingProxyType(ordered),
        MappingProxyType({pool.name: pool for pool in pools}),
        limits,
    )


def _longest_first(route: RoutePlan) -> int:
    return -len(route.prefix)


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One process of an upstream; a restart creates another incarnation.

    :param started: start time that the upstream reported, 0 if unknown.
    """

    name: str
    started: int = 0

    def text(self) -> str:
        """Return the text that :func:`parse_incarnation` reads."""
        return f'{self.name}@{self.started}'


def parse_incarnation(text: str) -> Incarnation:
    """Parse ``name@started``.

    :raises ValueError: if the start is not an integer.
    """
    name, _, started = text.rpartition('@')
    return Incarnation(name, int(started))


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Registration of an upstream.

    :param cold_for_s: remaining time of the cold start when it was reported.
    :param report: number of the report; increases within one incarnation.
    """

    ref: Incarnation
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_for_s: float
    report: int = 0
