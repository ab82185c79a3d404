"""Connections between hosts: JSON lines over TCP.

Each host listens. It connects to the coordinator, says who it is, sends
reports, and hears beats and changes of ownership. A message is an object with
its kind in ``kind``. A large one is sent compressed, as a line of base64
behind the letter ``z``: a configuration of 2,000 routes takes 0.5 MB, which
one host has to send to all others.
"""

import asyncio
import json
import zlib
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from typing import Any

from oriolearch.addresses import split_address
from oriolearch.core.errors import PeerError, PeerRefusedError
from oriolearch.packing import unpack

LARGEST_LINE = 4 * 1024 * 1024  # bytes; owners of all keys of a large pool
CONNECT_TIMEOUT_S = 0.5  # hosts are a few milliseconds apart
BACKLOG = 512  # hosts that connect to a new coordinator at once
UNSENT_BYTES = 1024 * 1024  # a host that reads too little is disconnected

PACKED_FROM = 2048  # bytes of a message; smaller ones gain little
PACKED_LEVEL = 3  # of zlib: 6 takes twice as long for a tenth fewer bytes
LARGEST_MESSAGE = 16 * 1024 * 1024  # bytes, once it is unpacked
_PACKED = b'z'

Message = dict[str, Any]


def encode_line(message: Message) -> bytes:
    """Give the line of a message."""
    text = json.dumps(message, separators=(',', ':')).encode()
    if len(text) >= PACKED_FROM:
        text = _PACKED + b64encode(zlib.compress(text, PACKED_LEVEL))
    return text + b'\n'


def decode_line(line: bytes) -> Message:
    """Read the line of a message.

    :raises ValueError: when it is malformed.
    """
    text = line
    if line.startswith(_PACKED):
        text = unpack(b64decode(line[1:]), LARGEST_MESSAGE)
    message = json.loads(text)
    if not isinstance(message, dict):
        raise ValueError('malformed: not an object')
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
        """Send a message without waiting."""
        self.send_line(encode_line(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message without waiting."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > UNSENT_BYTES:
            self.close()
            return
        self.writer.write(line)

    async def receive(self, timeout_s: float | None) -> Message:
        """Give the next message.

        :param timeout_s: ``None`` to wait without end.

        :raises PeerError: when there is none in time, or it is malformed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readline()
        except (OSError, TimeoutError, ValueError) as error:
            reason = f'{type(error).__name__} {error}'
            raise PeerError(self.address, reason) from error
        if not line.endswith(b'\n'):
            raise PeerError(self.address, 'connection ended')
        try:
            return decode_line(line)
        except ValueError as error:
            raise PeerError(self.address, str(error)) from error

    def close(self) -> None:
        """Close at once."""
        self.writer.transport.abort()


async def connect(address: str) -> HostLink:
    """Connect to another host.

    :raises PeerError: when that does not succeed soon.
    """
    try:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host,
                port,
                limit=LARGEST_LINE,
            )
    except ConnectionRefusedError as error:
        raise PeerRefusedError(address, 'refused') from error
    except (OSError, TimeoutError, ValueError) as error:
        reason = f'{type(error).__name__} {error}'
        raise PeerError(address, reason) from error
    return HostLink(address, reader, writer)


async def listen(
    address: str,
    serve: Callable[[HostLink], Awaitable[None]],
) -> asyncio.Server:
    """Accept connections of other hosts."""
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
        limit=LARGEST_LINE,
        backlog=BACKLOG,
    )
