"""Matching of requests to routes and extraction of keys."""

import pytest

from oriolearch.core.errors import BadPathError, MissingKeyError, NoRouteError
from oriolearch.core.model import Document, KeySource, Pool, PoolKind, Route
from oriolearch.core.routing import Router, decode_path, extract_key

ROUTES = (
    Route('root', '/', 'plain', methods=('GET',)),
    Route('files', '/files', 'plain'),
    Route('deep', '/files/a/b/', 'plain'),
    Route('named', '/files', 'plain', hosts=('Files.example',)),
    Route('posted', '/files', 'plain', methods=('POST',)),
    Route('lost', '/lost', 'unknown-pool'),
)
ROUTER = Router(
    Document(
        1,
        {route.name: route for route in ROUTES},
        {'plain': Pool('plain', PoolKind.PLAIN, ())},
    )
)


@pytest.mark.parametrize(
    ('host', 'method', 'path', 'name'),
    [
        ('x', 'GET', '/', 'root'),
        ('x', 'GET', '/filesystem', 'root'),
        ('x', 'GET', '/files', 'files'),
        ('x', 'GET', '/files/', 'files'),
        ('x', 'GET', '/files/a/bc', 'files'),
        ('x', 'GET', '/files/a/b', 'deep'),
        ('x', 'PUT', '/files/a/b/c/d/e/f/g', 'deep'),
        ('x', 'POST', '/files/a', 'posted'),
        ('FILES.example.:8080', 'GET', '/files/a', 'named'),
        ('x', 'GET', '/f%69les/a', 'files'),
        ('x', 'GET', '/files%2Fa', 'root'),
        ('x', 'GET', '/lost', 'root'),
        ('[::1]:80', 'GET', '/other', 'root'),
    ],
)
def test_longest_prefix_at_a_segment_boundary(
    host: str, method: str, path: str, name: str
) -> None:
    """Fails if a shorter or partial prefix is matched."""
    assert ROUTER.match(host, method, decode_path(path))[0].name == name


def test_no_route_names_the_allowed_methods() -> None:
    """Fails if a caller can't see whether its method or its path is wrong."""
    with pytest.raises(NoRouteError) as caught:
        ROUTER.match('x', 'POST', '/other')
    assert caught.value.allowed == ('GET',)


@pytest.mark.parametrize(
    ('source', 'path', 'key'),
    [
        (KeySource(path_segment=1), '/orders/k', 'k'),
        (KeySource(path_segment=1), '/orders/%6B/more', 'k'),
        (KeySource(path_segment=1), '/orders/a%2fb', 'a/b'),
        (KeySource(path_segment=1), '/orders/%C3%A9', 'é'),
        (KeySource(header='X-Key'), '/orders', 'from header'),
    ],
)
def test_encodings_of_one_key_are_equal(
    source: KeySource, path: str, key: str
) -> None:
    """Fails if two encodings of a key are sent to two owners."""
    route = Route('orders', '/orders', 'keyed', key=source)
    headers = {'x-key': 'from header'}
    assert extract_key(route, decode_path(path), headers) == key


@pytest.mark.parametrize(
    ('source', 'path'),
    [
        (KeySource(path_segment=1), '/orders'),
        (KeySource(path_segment=1), '/orders/'),
        (KeySource(header='x-other'), '/orders/k'),
        (None, '/orders/k'),
    ],
)
def test_missing_key(source: KeySource | None, path: str) -> None:
    """Fails if all requests without a key go to the owner of one key."""
    route = Route('orders', '/orders', 'keyed', key=source)
    with pytest.raises(MissingKeyError):
        extract_key(route, path, {'x-key': 'k'})


@pytest.mark.parametrize('path', ['/a/../b', '/a/.', '/a/%2e%2E/b', '/a/%ff'])
def test_ambiguous_paths_are_rejected(path: str) -> None:
    """Fails if an upstream can resolve a path to that of another route."""
    with pytest.raises(BadPathError):
        decode_path(path)
