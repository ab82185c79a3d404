"""Connections between hosts: JSON lines over TCP.

Each host listens. It connects to the coordinator, identifies itself, sends
reports, and receives heartbeats and changes of ownership. A message is a JSON
object with its type in ``kind``. A large message is compressed and sent as a
line of base64 after the letter ``z``, because a configuration of 2,000 routes
takes 0.5 MB, which one host has to send to all others.
"""

import asyncio
import json
import math
import zlib
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from typing import Any

from oriolearch.addresses import split_address
from oriolearch.clock import lease_clock
from oriolearch.core.errors import PeerError, PeerRefusedError
from oriolearch.packing import decompress

MAX_LINE_BYTES = 4 * 1024 * 1024  # fits the owners of all keys of a large pool
CONNECT_TIMEOUT_S = 0.5  # round trips between hosts take a few milliseconds
BACKLOG = 512  # all hosts connect to a new coordinator at once
MAX_UNSENT_BYTES = 1024 * 1024  # a host that reads too slowly is disconnected
READ_BYTES = 65536
# A message that takes longer to arrive is given up. The owners of a large pool
# take about 2 s on the slowest links, of 5 Mbit/s.
MAX_TRANSFER_S = 5.0

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
    """One end of a connection between two hosts.

    :ivar received_at: time of the last received bytes, also of an incomplete
        message.
    """

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer
        self.unread = bytearray()
        self.received_at = -math.inf

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

        Over a slow link, a large message may take longer than the timeout, and
        short ones such as heartbeats wait behind it.

        :param timeout_s: longest time without any received bytes; ``None`` to
            wait without limit.

        :raises PeerError: when none arrives in time or it is malformed.
        """
        try:
            return decode_line(await self._read_line(timeout_s))
        except (OSError, EOFError, ValueError) as error:
            reason = f'{type(error).__name__} {error}'
            raise PeerError(self.address, reason) from error

    async def _read_line(self, timeout_s: float | None) -> bytes:
        end = self.unread.find(b'\n')
        began_at = lease_clock() if self.unread else math.inf
        while end < 0:
            searched = len(self.unread)
            async with asyncio.timeout(timeout_s):
                received = await self.reader.read(READ_BYTES)
            if not received:
                raise EOFError('connection closed by the other host')
            self.received_at = lease_clock()
            began_at = min(began_at, self.received_at)
            self.unread += received
            end = self.unread.find(b'\n', searched)
            if end < 0:
                self._check_incomplete(began_at)
        line = bytes(self.unread[: end + 1])
        del self.unread[: end + 1]
        return line

    def _check_incomplete(self, began_at: float) -> None:
        """Raise an error if a message is too long or arrives too slowly."""
        if len(self.unread) > MAX_LINE_BYTES:
            raise ValueError('message too long')
        if self.received_at - began_at > MAX_TRANSFER_S:
            raise TimeoutError('message takes too long to arrive')

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
