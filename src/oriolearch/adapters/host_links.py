"""Connections between hosts: JSON lines over TCP.

Each host listens. It connects to the coordinator, identifies itself, sends
reports, and receives heartbeats and changes of ownership. A message is a JSON
object with its type in ``kind``. A large message is compressed and sent as a
line of base64 after the letter ``z``, because a configuration of 2,000 routes
takes 0.5 MB, which one host has to send to all others.
"""

import asyncio
import json
import zlib
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from typing import Any

from oriolearch.addresses import split_address
from oriolearch.core.errors import PeerError, PeerRefusedError
from oriolearch.packing import decompress

MAX_LINE_BYTES = 4 * 1024 * 1024  # fits the owners of all keys of a large pool
CONNECT_TIMEOUT_S = 0.5  # round trips between hosts take a few milliseconds
BACKLOG = 512  # all hosts connect to a new coordinator at once
MAX_UNSENT_BYTES = 1024 * 1024  # a host that reads too slowly is disconnected

MIN_COMPRESSED_BYTES = 2048  # smaller messages gain little
ZLIB_LEVEL = 3  # level 6 takes twice as long for a tenth fewer bytes
MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # after decompression
_COMPRESSED_PREFIX = b'z'

Message = dict[str, Any]


def encode_line(message: Message) -> bytes:
    """Return a message encoded as a line."""
    payload = json.dumps(message, separators=(',', ':')).encode()
    if len(payload) >= MIN_COMPRESSED_BYTES:
        payload = _COMPRESSED_PREFIX + b64encode(
            zlib.compress(payload, ZLIB_LEVEL)
        )
    return payload + b'\n'


def decode_line(line: bytes) -> Message:
    """Decode the line of a message.

    :raises ValueError: when the line is malformed.
    """
    payload = line
    if line.startswith(_COMPRESSED_PREFIX):
        payload = decompress(b64decode(line[1:]), MAX_MESSAGE_BYTES)
    try:
        message = json.loads(payload)
    except RecursionError as error:
        raise ValueError('malformed message: nested too deeply') from error
    if not isinstance(message, dict):
        raise ValueError('malformed message: not a JSON object')
    return message


class HostLink:
    """One end of a connection between two hosts."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer

    def send(self, message: Message) -> None:
        """Queue a message for sending without waiting."""
        self.send_line(encode_line(message))

    def send_line(self, line: bytes) -> None:
        """Queue an encoded message for sending without waiting."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self.writer.write(line)

    async def receive(self, timeout_s: float | None) -> Message:
        """Wait for the next message and return it.

        :param timeout_s: ``None`` to wait without limit.

        :raises PeerError: when none arrives in time or it is malformed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readline()
        except (OSError, TimeoutError, ValueError) as error:
            reason = f'{type(error).__name__} {error}'
            raise PeerError(self.address, reason) from error
        if not line.endswith(b'\n'):
            raise PeerError(self.address, 'connection closed by the other host')
        try:
            return decode_line(line)
        except ValueError as error:
            raise PeerError(self.address, str(error)) from error

    def close(self) -> None:
        """Close the connection at once and discard unsent messages."""
        self.writer.transport.abort()


async def connect(address: str) -> HostLink:
    """Connect to another host.

    :raises PeerError: when the connection fails or times out.
    """
    try:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host,
                port,
                limit=MAX_LINE_BYTES,
            )
    except ConnectionRefusedError as error:
        raise PeerRefusedError(address, 'connection refused') from error
    except (OSError, OverflowError, ValueError) as error:
        reason = f'{type(error).__name__} {error}'
        raise PeerError(address, reason) from error
    return HostLink(address, reader, writer)


async def listen(
    address: str,
    serve: Callable[[HostLink], Awaitable[None]],
) -> asyncio.Server:
    """Accept connections of other hosts and handle each with ``serve``."""
    host, port = split_address(address)

    async def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = writer.get_extra_info('peername')
        link = HostLink(f'{peer[0]}:{peer[1]}', reader, writer)
        try:
            await serve(link)
        finally:
            link.close()

    return await asyncio.start_server(
        accept,
        host,
        port,
        limit=MAX_LINE_BYTES,
        backlog=BACKLOG,
    )
