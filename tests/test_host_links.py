"""Messages between hosts, on the wire."""

import json

import pytest

from oriolearch.adapters.host_links import (
    LARGEST_MESSAGE,
    PACKED_FROM,
    Message,
    decode_line,
    encode_line,
)

RATE = 10e6 / 8  # bytes a second of a small host's network link
SILENCE_S = 1.0  # a coordinator that is not heard for so long is replaced


def big_configuration(routes: int) -> str:
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
        {'kind': 'rows', 'rows': [['k', 'x' * PACKED_FROM, 1]]},
        {'kind': 'rows', 'rows': [['k', None, 1], ['é', '\x00\xff', 2]]},
    ],
)
def test_message_is_read_as_it_was_sent(message: Message) -> None:
    """A message that is changed by being packed."""
    line = encode_line(message)
    assert line.count(b'\n') == 1
    assert line.endswith(b'\n')
    assert decode_line(line) == message


@pytest.mark.parametrize('hosts', [84, 300])
def test_big_configuration_reaches_all_hosts_between_two_beats(
    hosts: int,
) -> None:
    """Hosts that replace a coordinator which is busy with a configuration.

    Load pattern: the configuration grows to 2,000 routes. Sent plainly to 62
    hosts, it held up the beats for longer than the hosts wait for them.
    """
    row = ['config', big_configuration(2000), 9]
    line = encode_line({'kind': 'rows', 'rows': [row]})
    large_host_rate = 20 * RATE
    assert len(line) * hosts / large_host_rate < SILENCE_S / 2
    assert len(line) / RATE < SILENCE_S / 2


@pytest.mark.parametrize(
    'line',
    [b'z!!!\n', b'zAAAA\n', b'[]\n', b'{\n', b'z\n', b'\n'],
)
def test_malformed_line_is_an_error(line: bytes) -> None:
    """A peer that sends something else ends the reader's task."""
    with pytest.raises(ValueError):
        decode_line(line)


def test_packed_message_cannot_fill_the_memory() -> None:
    """Some kilobytes that unpack to gigabytes."""
    line = encode_line({'kind': 'x', 'text': 'a' * (LARGEST_MESSAGE + 1)})
    with pytest.raises(ValueError):
        decode_line(line)
