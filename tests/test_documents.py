"""Tests of the decoding of the operator's and the servers' rows."""

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

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
    ],
)
def test_bad_entry_names_no_upstream(path: str, value: object) -> None:
    """Guard against requests to servers from invalid entries."""
    with pytest.raises(ValidationError):
        decode_upstream('i-1', encode_with(ENTRY, path, value))


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
