"""Encoding of the messages between hosts."""

import json

import pytest

from oriolearch.adapters.host_links import (
    MAX_MESSAGE_BYTES,
    MIN_COMPRESSED_BYTES,
    Message,
    decode_line,
    encode_line,
)

SMALL_LINK_BYTES_PER_S = 10e6 / 8  # network link of a small host
HEARTBEAT_TIMEOUT_S = 1.0  # a coordinator silent for so long is replaced


def make_configuration(routes: int) -> str:
    rules = [
        {
            'name': f'r{number * 7919 % 10007:x}',
            'match': {'prefix': f'/{number * 7907 % 99991:x}/'},
            'action': {'service': 'orders', 'timeout_s': 1.5},
        }
        for number in range(routes)
    ]
    return json.dumps({'version': 'r9', 'listeners': [{'rules': rules}]})


@pytest.mark.parametrize(
    'message',
    [
        {'kind': 'beat', 'term': 3},
        {'kind': 'rows', 'rows': [['k', 'x' * MIN_COMPRESSED_BYTES, 1]]},
        {'kind': 'rows', 'rows': [['k', None, 1], ['é', '\x00\xff', 2]]},
    ],
)
def test_message_survives_encoding(message: Message) -> None:
    """Compression must not change a message."""
    line = encode_line(message)
    assert line.count(b'\n') == 1
    assert line.endswith(b'\n')
    assert decode_line(line) == message


@pytest.mark.parametrize('hosts', [84, 300])
def test_large_configuration_does_not_delay_heartbeats(
    hosts: int,
) -> None:
    """Hosts must not replace a coordinator that is sending a configuration.

    Load pattern: the configuration grows to 2,000 routes. Uncompressed and
    sent to 62 hosts, it delays heartbeats for longer than their timeout.
    """
    row = ['config', make_configuration(2000), 9]
    line = encode_line({'kind': 'rows', 'rows': [row]})
    large_link_bytes_per_s = 20 * SMALL_LINK_BYTES_PER_S
    assert len(line) * hosts / large_link_bytes_per_s < HEARTBEAT_TIMEOUT_S / 2
    assert len(line) / SMALL_LINK_BYTES_PER_S < HEARTBEAT_TIMEOUT_S / 2


@pytest.mark.parametrize(
    'line',
    [b'z!!!\n', b'zAAAA\n', b'[]\n', b'{\n', b'z\n', b'\n'],
)
def test_malformed_line_is_an_error(line: bytes) -> None:
    """Another exception would end the task that reads from the peer."""
    with pytest.raises(ValueError):
        decode_line(line)


def test_compressed_message_cannot_exhaust_memory() -> None:
    """A few kilobytes can decompress to gigabytes."""
    line = encode_line({'kind': 'x', 'text': 'a' * (MAX_MESSAGE_BYTES + 1)})
    with pytest.raises(ValueError):
        decode_line(line)
