"""Reviews a configuration before it is sent.

It finds errors, entries that can never match, limits that contradict each
other, and what differs from the version in force.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from itertools import chain
from typing import Any

from oriolearch.core.directory import (
    CallerLimits,
    Directory,
    PoolPlan,
    Repeat,
    RoutePlan,
)


class FindingKind(StrEnum):
    """What a finding is about; only errors speak against sending."""

    ERROR = 'error'
    NEVER_MATCHES = 'never matches'
    CONTRADICTION = 'contradiction'
    DIFFERENCE = 'difference'


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding.

    :param entry: the route, pool or group of limits.
    """

    kind: FindingKind
    entry: str
    text: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.kind}: {self.entry}: {self.text}'


def review(
    directory: Directory, in_force: Directory | None = None
) -> Iterator[Finding]:
    """Yield the findings on a configuration.

    :param in_force: the version to compare with.
    """
    routes = tuple(chain.from_iterable(directory.routes.values()))
    yield from _review_names(routes)
    for route in routes:
        yield from _review_destinations(route, directory.pools)
        yield from _review_route_limits(route)
    for host_routes in directory.routes.values():
        yield from _review_prefixes(host_routes)
    yield from _review_pools(directory)
    yield from _review_caller_limits(directory.limits)
    if in_force is not None:
        yield from compare(in_force, directory)


def _review_names(routes: Iterable[RoutePlan]) -> Iterator[Finding]:
    seen: set[str] = set()
    for route in routes:
        if route.name in seen:
            yield _error(route, 'another route has this name')
        seen.add(route.name)


def _review_prefixes(routes: Iterable[RoutePlan]) -> Iterator[Finding]:
    """Review the routes of one host name, in the order of matching."""
    owners: dict[str, str] = {}
    for route in routes:
        prefix = route.prefix
        if not prefix.startswith('/') or not prefix.endswith('/'):
            text = f'prefix {prefix!r} has to begin and end with a slash'
            yield _error(route, text)
        first = owners.setdefault(prefix, route.name)
        if first != route.name:
            text = f'route {first} of {route.host} has the prefix {prefix!r}'
            yield Finding(
                FindingKind.NEVER_MATCHES, f'route {route.name}', text
            )


def _review_destinations(
    route: RoutePlan, pools: Mapping[str, PoolPlan]
) -> Iterator[Finding]:
    if sum(part.weight for part in route.destinations) <= 0:
        yield _error(route, 'no destination has a weight')
    for destination in route.destinations:
        if destination.pool not in pools:
            yield _error(route, f'pool {destination.pool} does not exist')
        elif destination.weight <= 0:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                f'route {route.name}',
                f'pool {destination.pool} has no weight',
            )


def _review_route_limits(route: RoutePlan) -> Iterator[Finding]:
    if route.max_attempts < 1:
        yield _error(route, 'no attempt is allowed')
    if route.timeout_s <= 0 or route.latency_objective_s <= 0:
        yield _error(route, 'timeout and latency objective have to be positive')
    if route.latency_objective_s > route.timeout_s:
        yield _contradiction(
            f'route {route.name}',
            f'latency objective of {route.latency_objective_s} s is beyond the '
            f'timeout of {route.timeout_s} s',
        )
    if route.repeat is Repeat.ONCE and route.max_attempts > 2:
        yield _contradiction(
            f'route {route.name}',
            f'{route.max_attempts} attempts of requests that run once at most',
        )


def _review_pools(directory: Directory) -> Iterator[Finding]:
    used = {
        destination.pool
        for route in chain.from_iterable(directory.routes.values())
        for destination in route.destinations
        if destination.weight > 0
    }
    for name, pool in directory.pools.items():
        if name not in used:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                f'pool {name}',
                'no route sends requests to it',
            )
        if pool.cold_start_s > 0 and pool.cold_rate <= 0:
            yield _contradiction(
                f'pool {name}', 'takes no request in its cold start'
            )
        if pool.connections < 1:
            yield Finding(
                FindingKind.ERROR, f'pool {name}', 'takes no connection'
            )


def _review_caller_limits(limits: CallerLimits) -> Iterator[Finding]:
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield _contradiction(
            'limits',
            f'a head may take {limits.header_timeout_s} s, but a connection '
            f'may be idle for {limits.idle_timeout_s} s',
        )
    if min(limits.header_bytes, limits.header_timeout_s) <= 0:
        yield Finding(FindingKind.ERROR, 'limits', 'no head is allowed')


def compare(before: Directory, after: Directory) -> Iterator[Finding]:
    """Yield what differs from the version in force."""
    if after.version <= before.version:
        yield Finding(
            FindingKind.ERROR,
            'version',
            f'{after.version} is not above {before.version}, in force',
        )
    yield from _compare_entries(
        'route', _routes_by_name(before), _routes_by_name(after)
    )
    yield from _compare_entries('pool', before.pools, after.pools)
    for change in _changed_fields(before.limits, after.limits):
        yield Finding(FindingKind.DIFFERENCE, 'limits', change)


def _routes_by_name(directory: Directory) -> dict[str, RoutePlan]:
    routes = chain.from_iterable(directory.routes.values())
    return {route.name: route for route in routes}


def _compare_entries(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Finding]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            changes = ['removed']
        elif name not in before:
            changes = ['added']
        else:
            changes = list(_changed_fields(before[name], after[name]))
        for change in changes:
            yield Finding(FindingKind.DIFFERENCE, f'{kind} {name}', change)


def _changed_fields(before: Any, after: Any) -> Iterator[str]:
    for field in fields(before):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            yield f'{field.name} {_describe(old)} -> {_describe(new)}'


def _describe(setting: Any) -> str:
    if isinstance(setting, tuple):
        return ', '.join(f'{part.pool} {part.weight:g}' for part in setting)
    return str(setting)


def _error(route: RoutePlan, text: str) -> Finding:
    return Finding(FindingKind.ERROR, f'route {route.name}', text)


def _contradiction(entry: str, text: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, entry, text)
