"""Matches a request to a route and extracts its key."""

import re
from collections.abc import Iterator, Mapping
from urllib.parse import unquote

from oriolearch.core.errors import (
    BadPathError,
    MissingKeyError,
    NoRouteError,
)
from oriolearch.core.model import Document, Pool, Route

ENCODED_SLASH = re.compile('%2f', re.IGNORECASE)


def decode_path(path: str) -> str:
    """Decode a path for matching; encoded slashes stay encoded.

    :raises BadPathError: for dot segments, which an upstream may resolve
        to a path of another route, and for bytes that are not valid UTF-8.
    """
    if '%' in path:
        parts = ENCODED_SLASH.split(path)
        try:
            path = '%2F'.join(unquote(part, errors='strict') for part in parts)
        except UnicodeDecodeError as error:
            raise BadPathError(path, 'not UTF-8') from error
    if '/.' in path and not {'.', '..'}.isdisjoint(path.split('/')):
        raise BadPathError(path, 'dot segments')
    return path


def normalize_host(host: str) -> str:
    """Return the host name of a ``Host`` header without port, in lower case."""
    name = host.lower()
    if name.startswith('['):
        return name.partition(']')[0].lstrip('[')
    return name.partition(':')[0].rstrip('.')


class _Rule:
    """A route with its pool, and its hosts and methods as sets."""

    __slots__ = ('hosts', 'methods', 'pool', 'route')

    def __init__(self, route: Route, pool: Pool) -> None:
        self.route = route
        self.pool = pool
        self.hosts = frozenset(normalize_host(host) for host in route.hosts)
        self.methods = frozenset(route.methods)

    def sort_key(self) -> tuple[bool, bool, str]:
        """Return the sort key; routes that name hosts, methods come first."""
        return (not self.hosts, not self.methods, self.route.name)


def _rules_by_prefix(document: Document) -> Mapping[str, tuple[_Rule, ...]]:
    by_prefix: dict[str, list[_Rule]] = {}
    for route in document.routes.values():
        pool = document.pools.get(route.pool)
        if pool is not None:
            rules = by_prefix.setdefault(route.prefix.rstrip('/'), [])
            rules.append(_Rule(route, pool))
    return {
        prefix: tuple(sorted(rules, key=_Rule.sort_key))
        for prefix, rules in by_prefix.items()
    }


class Router:
    """Index of the routes of one document.

    A request matches the route with the longest prefix that ends at a segment
    boundary, among the routes for its host and method.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.rules = _rules_by_prefix(document)
        self.depth = max(
            (prefix.count('/') for prefix in self.rules),
            default=0,
        )

    def match(self, host: str, method: str, path: str) -> tuple[Route, Pool]:
        """Find the route of a request and its pool.

        :param host: the ``Host`` header.
        :param path: path as returned by :func:`decode_path`.
        :raises NoRouteError: if no route matches.
        """
        name = normalize_host(host)
        allowed: set[str] = set()
        for rule in self._candidates(path):
            if rule.hosts and name not in rule.hosts:
                continue
            if not rule.methods or method in rule.methods:
                return rule.route, rule.pool
            allowed |= rule.methods
        raise NoRouteError(host, method, path, tuple(sorted(allowed)))

    def _candidates(self, path: str) -> Iterator[_Rule]:
        """Yield the rules with a prefix of the path, longest prefix first."""
        prefix = '/'.join(path.split('/', self.depth + 1)[: self.depth + 1])
        while prefix:
            yield from self.rules.get(prefix, ())
            prefix = prefix.rpartition('/')[0]
        yield from self.rules.get('', ())


def extract_key(
    route: Route,
    path: str,
    headers: Mapping[str, str],
) -> str:
    """Return the key of a request for a keyed pool.

    :param path: path as returned by :func:`decode_path`.
    :param headers: header values by name in lower case.
    :raises MissingKeyError: if the request has no key.
    """
    source = route.key
    if source is None:
        raise MissingKeyError(route.name, 'the route, which names no source')
    if source.header is not None:
        key = headers.get(source.header.lower(), '')
        where = f'header {source.header}'
    else:
        where = f'path segment {source.path_segment}'
        segments = path.split('/')[1:]
        index = source.path_segment or 0
        key = segments[index] if index < len(segments) else ''
        key = ENCODED_SLASH.sub('/', key)
    if not key:
        raise MissingKeyError(route.name, where)
    return key
