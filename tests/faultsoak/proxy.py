"""A loopback proxy that delays, resets, cuts or silences connections."""

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
    """One direction of a connection: bytes on their way.

    :ivar held: pairs of due time and bytes; empty bytes for the end.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_upward: bool
    held: deque[tuple[float, bytes]] = field(default_factory=deque)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    is_broken: bool = False


class FaultProxy(Server):
    """Passes connections on to one address, with faults.

    :ivar delay_s: added to each piece, either way.
    :ivar cut_up: nothing passes from the side that connected.
    :ivar cut_down: nothing passes to the side that connected.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        self.delay_s = 0.0
        self.cut_up = False
        self.cut_down = False
        self.changed = asyncio.Event()

    async def listen(self) -> None:
        await self.bind()

    def set(
        self,
        delay_s: float = 0.0,
        cut_up: bool = False,
        cut_down: bool = False,
    ) -> None:
        self.delay_s = delay_s
        self.cut_up = cut_up
        self.cut_down = cut_down
        self.changed.set()
        self.changed = asyncio.Event()

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
            up_reader, up_writer = await asyncio.open_connection(
                *split_address(self.target),
            )
        except OSError:
            reset(writer.transport)
            return
        self.writers.add(up_writer)
        streams = (
            Stream(reader, up_writer, is_upward=True),
            Stream(up_reader, writer, is_upward=False),
        )
        work = [self._read(stream) for stream in streams]
        work += [self._write(stream) for stream in streams]
        try:
            await asyncio.gather(*work)
        finally:
            for ended in (writer, up_writer):
                self.writers.discard(ended)
                ended.close()

    async def _read(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'.'
        while chunk:
            try:
                chunk = await stream.reader.read(CHUNK_BYTES)
            except OSError:
                # What a partition held up is lost when its sender resets.
                stream.held.clear()
                stream.is_broken = True
                chunk = b''
            stream.held.append((loop.time() + self.delay_s, chunk))
            stream.arrived.set()

    async def _write(self, stream: Stream) -> None:
        while True:
            while not stream.held:
                stream.arrived.clear()
                await stream.arrived.wait()
            await self._passable(stream)
            if not stream.held:
                continue
            _, chunk = stream.held.popleft()
            if stream.is_broken:
                reset(stream.writer.transport)
                return
            with suppress(OSError, RuntimeError):
                if not chunk:
                    stream.writer.write_eof()
                    return
                stream.writer.write(chunk)
                await stream.writer.drain()

    def _is_cut(self, stream: Stream) -> bool:
        return self.cut_up if stream.is_upward else self.cut_down

    async def _passable(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        while self._is_cut(stream):
            await self.changed.wait()
        if stream.held:
            await asyncio.sleep(max(stream.held[0][0] - loop.time(), 0))
