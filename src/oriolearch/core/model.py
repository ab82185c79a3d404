"""Identifiers and values of the data model.

Times are seconds of a monotonic clock as :class:`float`; names of constants
that are durations end in ``_S``. No code of this module reads a clock.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

SHARDS_PER_SEGMENT = 256
RATE_MARGIN = 0.01  # clock rates of two hosts differ by less than 1 %
FIXED_MARGIN_S = 0.01


class Mobility(StrEnum):
    """Whether shards may leave their zone without an operator."""

    PINNED = 'pinned'
    MOVABLE = 'movable'


class PoolKind(StrEnum):
    """Whether servers of a pool own keys."""

    KEYED = 'keyed'
    PLAIN = 'plain'


class Fencing(StrEnum):
    """Whether servers of a keyed pool check grants and epochs."""

    CHECKED = 'checked'
    NONE = 'none'


class RequestClass(StrEnum):
    """Scheduling class of a request."""

    INTERACTIVE = 'interactive'
    UPLOAD = 'upload'
    BACKGROUND = 'background'


@dataclass(frozen=True, slots=True, order=True)
class HostRef:
    """One process of the router on a host.

    :param host: name of the host, unique in all zones.
    :param incarnation: increases with each start of the process.
    """

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Member:
    """A live host as seen by its zone."""

    ref: HostRef
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class Upstream:
    """A back-end server of a pool.

    :param slots: requests that it runs concurrently.
    :param connections: connections that it accepts.
    :param weight: share of keys relative to the other servers.
    """

    name: str
    address: str
    zone: str
    slots: int = 2
    connections: int = 110
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of upstreams with its policy.

    :param shard_count: shards of a keyed pool, a multiple of 256.
    :param order_limit_s: longest run of an order in a pool without fencing.
    :param timeout_s: default deadline of a request in seconds.
    """

    name: str
    kind: PoolKind
    upstreams: tuple[Upstream, ...]
    shard_count: int = 3072
    fencing: Fencing = Fencing.CHECKED
    mobility: Mobility = Mobility.MOVABLE
    order_limit_s: float = 0.5
    timeout_s: float = 10.0
    hedge_share: float = 0.05
    retry_share: float = 0.1
    queue_limit: int = 256

    def upstream(self, name: str) -> Upstream | None:
        """Find an upstream by name."""
        return next((up for up in self.upstreams if up.name == name), None)


@dataclass(frozen=True, slots=True)
class KeySource:
    """Where a route finds the key of a request.

    Exactly one is set: the index of a path segment, or a header's name.
    """

    path_segment: int | None = None
    header: str | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to a pool by host name, path prefix and method.

    :param hosts: host names that it matches; empty for any.
    :param methods: methods that it matches; empty for any.
    :param idempotent_methods: methods that may be sent more than once.
    """

    name: str
    prefix: str
    pool: str
    hosts: tuple[str, ...] = ()
    methods: tuple[str, ...] = ()
    key: KeySource | None = None
    request_class: RequestClass = RequestClass.INTERACTIVE
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class Document:
    """A version of the configuration.

    :param zones_out: zones that are out of service.
    :param hosts_out: hosts and upstreams that are out of service.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    pools: Mapping[str, Pool] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    zones_out: frozenset[str] = frozenset()
    hosts_out: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Assignment:
    """A shard or split key with its owner.

    :param epoch: segment row version at which the owner last changed.
    """

    owner: str | None
    epoch: int


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard of a key, the same on every host and release."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % shard_count


def segment_of(shard: int) -> int:
    """Return the segment (table row) of a shard."""
    return shard // SHARDS_PER_SEGMENT


def subtract_clock_margin(duration_s: float) -> float:
    """Return a duration less the clock margin, as a holder measures it."""
    return max(duration_s * (1 - RATE_MARGIN) - FIXED_MARGIN_S, 0)


def add_clock_margin(duration_s: float) -> float:
    """Return a duration plus the clock margin, as a granter waits."""
    return duration_s * (1 + RATE_MARGIN) + FIXED_MARGIN_S
