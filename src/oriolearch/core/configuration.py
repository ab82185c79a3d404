"""Applies, validates and describes edits of the configuration.

A document is only replaced by one with a higher version. An edit is a list of
operations, each of which names one route, pool, zone or host.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import combinations
from types import MappingProxyType
from typing import Any

from oriolearch.core.errors import StaleError, ValidationError
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Document,
    Pool,
    PoolKind,
    Route,
)


class Kind(StrEnum):
    """What an operation does."""

    PUT_ROUTE = 'put-route'
    DELETE_ROUTE = 'delete-route'
    PUT_POOL = 'put-pool'
    DELETE_POOL = 'delete-pool'
    ZONE_OUT = 'zone-out'
    ZONE_BACK = 'zone-back'
    HOST_OUT = 'host-out'
    HOST_BACK = 'host-back'


@dataclass(frozen=True, slots=True)
class Operation:
    """One step of an edit.

    :param name: the route, pool, zone or host.
    :param entry: the new route or pool for ``put-`` operations.
    """

    kind: Kind
    name: str
    entry: Route | Pool | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted edit.

    :param version: version of the document that it produced.
    :param author: name under which the administration API authenticated the
        editor.
    :param time_s: wall-clock time in seconds, only for display.
    :param nonce: distinguishes this edit from a concurrent one that would
        produce the same version.
    """

    version: int
    author: str
    time_s: float
    nonce: str
    operations: tuple[Operation, ...]


def _put(document: Document, operation: Operation) -> Document:
    entry = operation.entry
    if isinstance(entry, Route) and operation.kind is Kind.PUT_ROUTE:
        routes = dict(document.routes)
        routes[operation.name] = entry
        return replace(document, routes=MappingProxyType(routes))
    if isinstance(entry, Pool) and operation.kind is Kind.PUT_POOL:
        pools = dict(document.pools)
        pools[operation.name] = entry
        return replace(document, pools=MappingProxyType(pools))
    raise ValidationError(
        'edit',
        operation.name,
        operation.kind.value,
        'the operation needs a route or a pool of its kind',
    )


def _delete(document: Document, operation: Operation) -> Document:
    is_route = operation.kind is Kind.DELETE_ROUTE
    table: dict[str, Any] = dict(
        document.routes if is_route else document.pools,
    )
    if table.pop(operation.name, None) is None:
        raise ValidationError(
            'edit',
            'route' if is_route else 'pool',
            operation.name,
            'does not exist',
        )
    if is_route:
        return replace(document, routes=MappingProxyType(table))
    return replace(document, pools=MappingProxyType(table))


def _set_service_state(document: Document, operation: Operation) -> Document:
    name = frozenset((operation.name,))
    match operation.kind:
        case Kind.ZONE_OUT:
            return replace(document, zones_out=document.zones_out | name)
        case Kind.ZONE_BACK:
            return replace(document, zones_out=document.zones_out - name)
        case Kind.HOST_OUT:
            return replace(document, hosts_out=document.hosts_out | name)
        case _:
            return replace(document, hosts_out=document.hosts_out - name)


def check_known_names(
    operations: Iterable[Operation],
    zones: Collection[str],
    hosts: Collection[str],
) -> None:
    """Raise an error if an unknown zone or host is taken out of service.

    :param hosts: names of hosts and of upstreams.
    :raises ValidationError: names the unknown zone or host.
    """
    names_by_kind = {Kind.ZONE_OUT: zones, Kind.HOST_OUT: hosts}
    for operation in operations:
        names = names_by_kind.get(operation.kind)
        if names is not None and operation.name not in names:
            raise ValidationError(
                'edit',
                operation.kind.value,
                operation.name,
                f'is not one of {", ".join(sorted(names))}',
            )


def apply_operations(
    document: Document,
    operations: Iterable[Operation],
) -> Document:
    """Apply the operations of one edit and increment the version.

    :raises ValidationError: if a route or pool to delete does not exist.
    """
    for operation in operations:
        match operation.kind:
            case Kind.PUT_ROUTE | Kind.PUT_POOL:
                document = _put(document, operation)
            case Kind.DELETE_ROUTE | Kind.DELETE_POOL:
                document = _delete(document, operation)
            case _:
                document = _set_service_state(document, operation)
    return replace(document, version=document.version + 1)


def apply_change(document: Document, change: Change) -> Document:
    """Apply the accepted change with the next version.

    :raises StaleError: if the change has another version.
    """
    if change.version != document.version + 1:
        raise StaleError(
            'configuration version',
            change.version,
            document.version,
        )
    return apply_operations(document, change.operations)


def _intersects(left: tuple[str, ...], right: tuple[str, ...]) -> bool:
    if not left or not right:
        return not left and not right
    return bool(set(left) & set(right))


def overlaps(left: Route, right: Route) -> bool:
    """Check whether two routes match the same requests with equal precedence.

    A route that names hosts or methods precedes one that does not, so two
    routes can overlap only if both name them or neither does.
    """
    return (
        left.prefix.rstrip('/') == right.prefix.rstrip('/')
        and _intersects(left.hosts, right.hosts)
        and _intersects(left.methods, right.methods)
    )


def _route_problems(
    document: Document, route: Route
) -> Iterator[tuple[str, object, str]]:
    if not route.prefix.startswith('/'):
        yield 'prefix', route.prefix, 'must start with /'
    pool = document.pools.get(route.pool)
    if pool is None:
        yield 'pool', route.pool, 'no pool has this name'
    elif pool.kind is PoolKind.KEYED and route.key is None:
        yield (
            'key',
            None,
            f'pool {route.pool!r} is keyed, a key is needed',
        )
    elif pool.kind is PoolKind.PLAIN and route.key is not None:
        yield 'key', route.key, f'pool {route.pool!r} is plain, has no keys'


def _pool_problems(pool: Pool) -> Iterator[tuple[str, object, str]]:
    names = [upstream.name for upstream in pool.upstreams]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield 'upstreams', name, 'the name stands twice'
    if pool.shard_count % SHARDS_PER_SEGMENT:
        yield 'shard_count', pool.shard_count, 'must be a multiple of 256'


def problems(document: Document) -> Iterator[ValidationError]:
    """Yield all errors of a document."""
    for name, route in sorted(document.routes.items()):
        for field, value, reason in _route_problems(document, route):
            yield ValidationError('routes', f'{name}.{field}', value, reason)
    for name, pool in sorted(document.pools.items()):
        for field, value, reason in _pool_problems(pool):
            yield ValidationError('pools', f'{name}.{field}', value, reason)
    pairs = combinations(sorted(document.routes.items()), 2)
    for (name, route), (other_name, other) in pairs:
        if overlaps(route, other):
            yield ValidationError(
                'routes',
                f'{name}.prefix',
                route.prefix,
                f'overlaps route {other_name!r}',
            )


def check_compatible(before: Document, after: Document) -> None:
    """Raise an error for changes that a running pool does not support.

    :raises ValidationError: if keys would change their shard, or a pool would
        change its kind, fencing or mobility while its servers hold leases.
    """
    for name, old in before.pools.items():
        new = after.pools.get(name)
        if new is None:
            continue
        for field in ('kind', 'shard_count', 'fencing', 'mobility'):
            if getattr(old, field) != getattr(new, field):
                raise ValidationError(
                    'pools',
                    f'{name}.{field}',
                    getattr(new, field),
                    f'cannot change from {getattr(old, field)!r}',
                )


def validate(before: Document, after: Document) -> None:
    """Raise the first error of a new document.

    :raises ValidationError: names the table, entry, field and value.
    """
    for problem in problems(after):
        raise problem
    check_compatible(before, after)


def describe(change: Change) -> Iterator[str]:
    """Yield one readable line for each operation of a change."""
    for operation in change.operations:
        yield (
            f'{change.version}: {operation.kind.value} {operation.name}'
            f' by {change.author}'
        )


def newest(current: Document, offered: Document) -> Document:
    """Return the document with the higher version."""
    return offered if offered.version > current.version else current
