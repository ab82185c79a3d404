"""Encoding of the messages between hosts."""

import asyncio
import json
import math

import pytest

from oriolearch.adapters import host_links
from oriolearch.adapters.host_links import (
    MAX_MESSAGE_BYTES,
    MIN_COMPRESSED_BYTES,
    HostLink,
    Message,
    connect,
    decode_line,
    encode_line,
)
from oriolearch.core.errors import PeerError

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


async def receive_over_slow_link(
    line: bytes, pause_s: float, timeout_s: float, pieces: int = 8
) -> tuple[HostLink, Message]:
    """Receive a message of which a piece arrives after each pause."""

    async def send(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        size = math.ceil(len(line) / pieces)
        for start in range(0, len(line), size):
            writer.write(line[start : start + size])
            await asyncio.sleep(pause_s)
        writer.close()

    server = await asyncio.start_server(send, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    link = await connect(f'{host}:{port}')
    try:
        return link, await link.receive(timeout_s)
    finally:
        link.close()
        server.close()


def test_host_keeps_a_coordinator_that_sends_tables_over_a_slow_link() -> None:
    """Guards against replacing a coordinator while it sends its tables.

    Its heartbeats wait behind the tables, so the hosts gave it up, and the
    next one began to send the tables anew.
    """
    message = {'kind': 'rows', 'rows': [['config', make_configuration(200), 9]]}
    link, received = asyncio.run(
        receive_over_slow_link(encode_line(message), 0.05, timeout_s=0.2)
    )
    assert received == message
    assert link.received_at > -math.inf


@pytest.mark.parametrize(
    ('line', 'pause_s', 'reason'),
    [
        pytest.param(b'{"kind":"rows"', 0.25, 'TimeoutError', id='silent'),
        pytest.param(b'{"kind":"rows"', 0.01, 'EOFError', id='cut'),
        pytest.param(b'x' * 800, 0.08, 'too long to arrive', id='endless'),
    ],
)
def test_incomplete_message_is_given_up(
    line: bytes,
    pause_s: float,
    reason: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host must not wait without limit for the rest of a message."""
    monkeypatch.setattr(host_links, 'MAX_TRANSFER_S', 0.3)
    with pytest.raises(PeerError, match=reason):
        asyncio.run(receive_over_slow_link(line, pause_s, timeout_s=0.2))
