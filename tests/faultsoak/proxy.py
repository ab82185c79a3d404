"""A loopback TCP proxy that delays, blocks and resets connections."""

import asyncio
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

from oriolearch.adapters.upstream_links import reset
from oriolearch.addresses import split_address
from tests.platform_standin import Server

CHUNK_BYTES = 65536


@dataclass(eq=False)
class Stream:
    """One direction of a proxied connection.

    :ivar pending: chunks to forward, each with the time at which it is due;
        an empty chunk marks the end of the stream.
    :ivar is_to_target: whether the stream goes to the target.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_to_target: bool
    pending: deque[tuple[float, bytes]] = field(default_factory=deque)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    is_broken: bool = False


class FaultProxy(Server):
    """Forwards connections to one address, with faults.

    :ivar delay_s: delay of each chunk in both directions.
    :ivar block_to_target: whether data from the client is blocked.
    :ivar block_to_client: whether data to the client is blocked.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        self.delay_s = 0.0
        self.block_to_target = False
        self.block_to_client = False
        self.faults_changed = asyncio.Event()

    async def listen(self) -> None:
        await self.bind()

    def set_faults(
        self,
        delay_s: float = 0.0,
        block_to_target: bool = False,
        block_to_client: bool = False,
    ) -> None:
        self.delay_s = delay_s
        self.block_to_target = block_to_target
        self.block_to_client = block_to_client
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def reset(self) -> None:
        for writer in list(self.writers):
            reset(writer.transport)

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self.target),
            )
        except OSError:
            reset(writer.transport)
            return
        self.writers.add(target_writer)
        streams = (
            Stream(reader, target_writer, is_to_target=True),
            Stream(target_reader, writer, is_to_target=False),
        )
        copying = [self._read(stream) for stream in streams]
        copying += [self._write(stream) for stream in streams]
        try:
            await asyncio.gather(*copying)
        finally:
            for closed in (writer, target_writer):
                self.writers.discard(closed)
                closed.close()

    async def _read(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'.'
        while chunk:
            try:
                chunk = await stream.reader.read(CHUNK_BYTES)
            except OSError:
                # Data that a partition delayed is lost if its sender resets.
                stream.pending.clear()
                stream.is_broken = True
                chunk = b''
            stream.pending.append((loop.time() + self.delay_s, chunk))
            stream.arrived.set()

    async def _write(self, stream: Stream) -> None:
        while True:
            while not stream.pending:
                stream.arrived.clear()
                await stream.arrived.wait()
            await self._wait_until_forwardable(stream)
            if not stream.pending:
                continue
            _, chunk = stream.pending.popleft()
            if stream.is_broken:
                reset(stream.writer.transport)
                return
            with suppress(OSError, RuntimeError):
                if not chunk:
                    stream.writer.write_eof()
                    return
                stream.writer.write(chunk)
                await stream.writer.drain()

    def _is_blocked(self, stream: Stream) -> bool:
        return (
            self.block_to_target
            if stream.is_to_target
            else self.block_to_client
        )

    async def _wait_until_forwardable(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        while self._is_blocked(stream):
            await self.faults_changed.wait()
        if stream.pending:
            await asyncio.sleep(max(stream.pending[0][0] - loop.time(), 0))
