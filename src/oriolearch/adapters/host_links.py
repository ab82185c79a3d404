"""Connections between hosts: JSON lines over TCP.

Each host listens. It connects to the coordinator, says who it is, sends
reports, and hears beats and changes of ownership. A message is an object with
its kind in ``kind``.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from oriolearch.core.errors import PeerError, PeerRefusedError

LARGEST_LINE = 4 * 1024 * 1024  # bytes; owners of all keys of a large pool
CONNECT_TIMEOUT_S = 0.5  # hosts are a few milliseconds apart
UNSENT_BYTES = 1024 * 1024  # a host that reads too little is disconnected

Message = dict[str, Any]


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
        transport = self.writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > UNSENT_BYTES:
            self.close()
            return
        line = json.dumps(message, separators=(',', ':'))
        self.writer.write(line.encode() + b'\n')

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
            message = json.loads(line)
        except ValueError as error:
            raise PeerError(self.address, f'malformed: {error}') from error
        if not isinstance(message, dict):
            raise PeerError(self.address, 'malformed: not an object')
        return message

    def close(self) -> None:
        """Close at once."""
        self.writer.transport.abort()


async def connect(address: str) -> HostLink:
    """Connect to another host.

    :raises PeerError: when that does not succeed soon.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                limit=LARGEST_LINE,
            )
    except ConnectionRefusedError as error:
        raise PeerRefusedError(address, 'refused') from error
    except (OSError, TimeoutError, ValueError) as error:
        reason = f'{type(error).__name__} {error}'
        raise PeerError(address, reason) from error
    return HostLink(address, reader, writer)


async def listen(
    host: str,
    port: int,
    serve: Callable[[HostLink], Awaitable[None]],
) -> asyncio.Server:
    """Accept connections of other hosts."""

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
    )
