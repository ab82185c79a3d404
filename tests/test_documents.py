"""Tests of the decoding of the operator's and the servers' rows."""

import copy
import json
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolearch.addresses import split_address
from oriolearch.core.directory import Incarnation, Repeat
from oriolearch.core.errors import ValidationError
from oriolearch.platform.documents import (
    decode_directory,
    decode_upstream,
    zones_out,
)

CONFIG: dict[str, Any] = {
    'version': 'r12',
    'limits': {'max_body_bytes': 1000, 'idle_timeout_s': 15},
    'listeners': [
        {
            'host': 'A.example',
            'rules': [
                {
                    'name': 'short',
                    'kind': 'safe',
                    'target_latency_s': 0.3,
                    'priority': 2,
                    'match': {'prefix': '/a/'},
                    'action': {
                        'backends': [
                            {'service': 'x', 'weight': 90},
                            {'service': 'y', 'weight': 10},
                        ],
                        'timeout_s': 1,
                        'max_attempts': 2,
                    },
                },
                {
                    'name': 'long',
                    'kind': 'upload',
                    'target_latency_s': 0.3,
                    'priority': 1,
                    'match': {'prefix': '/a/b/'},
                    'action': {
                        'service': 'y',
                        'timeout_s': 1,
                        'max_attempts': 1,
                    },
                },
            ],
        },
    ],
    'clusters': [
        {'name': 'x', 'sharded': True, 'warmup_per_s': 4.7},
        {'name': 'y', 'max_conns': 130},
    ],
}
ENTRY: dict[str, Any] = {
    'address': '10.0.0.9:8080',
    'born': 1700000000000,
    'info': {'service': 'x', 'version': 'v1', 'zone': 'a', 'slots': 2},
    'status': {'state': 'ready', 'seq': 4, 'warmup_left_s': 1.5},
}


ENTRY_PATHS = (
    'address',
    'born',
    *(f'info.{name}' for name in ENTRY['info']),
    *(f'status.{name}' for name in ENTRY['status']),
)
OPTIONAL_PATHS = frozenset(('info.version', 'status.warmup_left_s'))


def encode_with(document: dict[str, Any], path: str, value: object) -> bytes:
    document_copy = copy.deepcopy(document)
    *parents, last = path.split('.')
    target: Any = document_copy
    for part in parents:
        target = target[int(part) if part.isdigit() else part]
    target[last] = value
    return json.dumps(document_copy).encode()


def test_directory() -> None:
    """Guard against wrong destinations and ignored longer prefixes."""
    directory = decode_directory(json.dumps(CONFIG).encode())
    assert directory.version == 12
    short = directory.match('a.example', '/a/x')
    long = directory.match('a.example', '/a/b/x')
    assert short is not None
    assert long is not None
    assert (short.name, long.name) == ('short', 'long')
    assert [destination.weight for destination in short.destinations] == [
        90,
        10,
    ]
    assert short.repeat is Repeat.IDEMPOTENT
    assert long.repeat is Repeat.ONCE
    assert long.is_upload
    assert directory.match('a.example', '/b/') is None
    assert directory.match('b.example', '/a/') is None
    assert directory.pools['x'].is_keyed
    assert not directory.pools['y'].is_keyed


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('version', 12),
        ('version', 'twelve'),
        ('listeners', {}),
        ('listeners.0.host', None),
        ('listeners.0.rules', 'none'),
        ('listeners.0.rules.0.kind', 'sometimes'),
        ('listeners.0.rules.0.match', None),
        ('listeners.0.rules.0.action.timeout_s', 'soon'),
        ('listeners.0.rules.0.action.timeout_s', float('nan')),
        ('listeners.0.rules.0.action.backends', [{'service': 'x'}]),
        ('clusters', [5]),
        ('clusters.0.name', ''),
        ('limits', []),
    ],
)
def test_bad_directory_names_the_field(path: str, value: object) -> None:
    """Guard against half-applied documents and errors without a field."""
    with pytest.raises(ValidationError) as caught:
        decode_directory(encode_with(CONFIG, path, value))
    assert caught.value.field


def test_upstream() -> None:
    """Guard against entries decoded from the wrong fields."""
    entry = decode_upstream('i-1', json.dumps(ENTRY).encode())
    assert entry.ref == Incarnation('i-1', 1700000000000)
    assert (entry.pool, entry.zone, entry.slots) == ('x', 'a', 2)
    assert (entry.cold_for_s, entry.report) == (1.5, 4)
    draining_row = encode_with(ENTRY, 'status.state', 'draining')
    assert decode_upstream('i-1', draining_row).is_draining


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('address', 'nowhere'),
        ('address', None),
        ('born', 1.5),
        ('born', True),
        ('born', '1700000000000'),
        ('info', None),
        ('info.service', 5),
        ('info.slots', 0),
        ('info.slots', 'two'),
        ('status', 'ready'),
        ('status.state', 'asleep'),
        ('status.warmup_left_s', 'long'),
        ('status.seq', 1.5),
        ('status.seq', None),
        ('status.seq', 10**400),
        ('status.seq', -1),
        ('status.warmup_left_s', 10**400),
        ('status.warmup_left_s', 1e300),
        ('status.warmup_left_s', float('nan')),
        ('info.slots', 10**400),
        ('info.slots', 1e308),
        ('info.slots', float('inf')),
        ('info.zone', '\ud800'),
        ('info.zone', 'a\r\nb'),
        ('info.service', 'x' * 5000),
        ('born', None),
        ('born', 0),
        ('born', 10**400),
        ('address', ':8080'),
        ('address', '10.0.0.9:0'),
        ('address', '10.0.0.9:65536'),
        ('address', '10.0.0.9:' + '9' * 400),
        ('address', '10.0.0.9:8\u00b2'),
        ('address', '10.0.0.9:-1'),
        ('address', 'host name:8080'),
        ('address', '10.0.0.9\r\nx: y:8080'),
    ],
)
def test_bad_entry_names_no_upstream(path: str, value: object) -> None:
    """Guard against requests to servers from invalid entries."""
    with pytest.raises(ValidationError):
        decode_upstream('i-1', encode_with(ENTRY, path, value))


@pytest.mark.parametrize(
    'path', [path for path in ENTRY_PATHS if path not in OPTIONAL_PATHS]
)
def test_entry_without_a_field_names_no_upstream(path: str) -> None:
    """Guard against defaults for fields that every upstream writes."""
    document = copy.deepcopy(ENTRY)
    *parents, last = path.split('.')
    target: Any = document
    for part in parents:
        target = target[part]
    del target[last]
    with pytest.raises(ValidationError):
        decode_upstream('i-1', json.dumps(document).encode())


@pytest.mark.parametrize('name', ['', 'i 1\r\nx', 'i-\ud800', 'i-\u00e9'])
def test_bad_name_names_no_upstream(name: str) -> None:
    """Guard against names that end up in the headers of requests."""
    with pytest.raises(ValidationError):
        decode_upstream(name, json.dumps(ENTRY).encode())


@pytest.mark.parametrize('version', ['r' + '9' * 5000, 'r\u00b2', 'r', 'r-1'])
def test_bad_version_names_the_field(version: str) -> None:
    """Guard against versions that only look like numbers."""
    with pytest.raises(ValidationError):
        decode_directory(encode_with(CONFIG, 'version', version))


ODD_VALUES = (
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers()
    | st.sampled_from((10**400, -(10**400), 1e308, '\ud800', '9' * 5000))
    | st.text('a1.: \u00b2\r\n\ud800', max_size=8)
    | st.recursive(st.none(), lambda inner: st.lists(inner, max_size=1))
)


@given(st.dictionaries(st.sampled_from(ENTRY_PATHS), ODD_VALUES, max_size=3))
def test_odd_fields_are_in_bounds_or_an_error(fields: dict[str, Any]) -> None:
    """Guard against entries that fail only where they are used."""
    document = copy.deepcopy(ENTRY)
    for path, value in fields.items():
        document = json.loads(encode_with(document, path, value))
    try:
        entry = decode_upstream('i-1', json.dumps(document).encode())
    except ValidationError as error:
        assert str(error).encode()
        return
    host, port = split_address(entry.address)
    assert socket.inet_aton(host)
    assert 0 < port < 65536
    assert 0 < entry.slots < 10**6
    assert 0 <= entry.cold_for_s < 10**6
    assert 0 < entry.ref.started < 2**63
    assert (entry.pool + entry.zone).isprintable()


@given(st.binary(max_size=200))
def test_random_bytes_are_an_error(value: bytes) -> None:
    """Guard against rows that crash the task that decodes them."""
    with pytest.raises(ValidationError):
        decode_directory(value)
    with pytest.raises(ValidationError):
        decode_upstream('i', value)


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=8),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(sorted(ENTRY)), inner, max_size=4)
        ),
        max_leaves=12,
    ),
)
def test_random_documents_are_an_error(value: Any) -> None:
    """Guard against field types that crash the decoding task."""
    encoded = json.dumps(value).encode()
    with pytest.raises(ValidationError):
        decode_directory(encoded)
    with pytest.raises(ValidationError):
        decode_upstream('i', encoded)


@pytest.mark.parametrize(
    ('keys', 'zones'),
    [
        (['config'], set()),
        (['config', 'evacuate/a'], {'a'}),
        (['evacuate/a', 'evacuate/b'], {'a', 'b'}),
        (['other/a'], set()),
    ],
)
def test_zones_out(keys: list[str], zones: set[str]) -> None:
    """Guard against requests to an evacuated zone."""
    assert zones_out(keys) == zones
