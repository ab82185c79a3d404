"""Routes, pools and upstreams as hosts on a shared store know them.

Everything here is an immutable value. Adapters build these from what the
store holds; decisions only read them. Durations are in seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

KEY_COUNT = 65536  # keys of a keyed pool are the numbers below this


class Repeat(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


@dataclass(frozen=True, slots=True)
class Destination:
    """A pool that a route sends to.

    :param weight: share of the route's requests, relative to its others.
    """

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """How requests below one path prefix of one host name are handled.

    :param timeout_s: longest time that a request is kept waiting.
    :param aim_s: an answer within this time has its full value.
    :param max_attempts: upstreams to which one request may be sent.
    :param priority: rank in a queue; 0 is served first.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    is_upload: bool
    destinations: tuple[Destination, ...]
    timeout_s: float
    aim_s: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool of upstreams and what they bear.

    :param connections: connections that an upstream accepts from all hosts.
    :param cold_start_s: how long an upstream stays cold after its start.
    :param cold_rate: requests per second that a cold upstream bears.
    :param key_warm_s: how long keys are slow that arrive without a transfer
        token.
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
    """What a caller may send, and how long it may take."""

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
    """Order the routes for :meth:`Directory.match`."""
    by_host: dict[str, list[RoutePlan]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=_longest_first))
        for host, found in by_host.items()
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
    """One run of an upstream; a restart under the same name is another.

    :param started: start of the run as the upstream reports it, 0 if unknown.
    """

    name: str
    started: int = 0

    def text(self) -> str:
        """Give the form that :func:`parse_incarnation` reads."""
        return f'{self.name}@{self.started}'


def parse_incarnation(text: str) -> Incarnation:
    """Read ``name@started``.

    :raises ValueError: when the start is no integer.
    """
    name, _, started = text.rpartition('@')
    return Incarnation(name, int(started))


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as it registered itself.

    :param cold_for_s: how much longer it is cold, at the time of the report.
    :param report: number of the report; grows within one run.
    """

    ref: Incarnation
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_for_s: float
    report: int = 0
