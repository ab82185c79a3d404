"""Calls between hosts over grpclib: the services ``Sync`` and ``Promise``.

:class:`~oriolearch.core.errors.StaleError` and
:class:`~oriolearch.core.errors.ValidationError` raised by a handler reach the
caller as the same errors; every other failure of a call is a
:class:`~oriolearch.core.errors.PeerError`.
"""

import asyncio
import ipaddress
import json
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from oriolearch.adapters import peer_messages as convert
from oriolearch.adapters import peer_pb2 as wire
from oriolearch.adapters.peer_grpc import PeerBase, PeerStub
from oriolearch.core.errors import PeerError, StaleError, ValidationError
from oriolearch.core.messages import (
    PromiseAnswer,
    PromiseRequest,
    SyncAnswer,
    SyncRequest,
)

CALL_TIMEOUT_S = 0.2  # one sync period; the next candidate is asked after it
MAX_PORT = 65535
UNUSED_LIMIT_S = 30.0
WINDOW_BYTES = 4 * 1024 * 1024  # a full answer passes without flow control

_Answer = TypeVar('_Answer')
_FAILURES = (
    DecodeError,
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
)
_log = logging.getLogger(__name__)


class PeerHandler(Protocol):
    """Answers the calls of other hosts."""

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer a child.

        :raises StaleError: when the request is of an old incarnation.
        """

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the holder of an authority as its taker."""


def _configuration() -> Configuration:
    return Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )


def _to_status(error: StaleError | ValidationError) -> GRPCError:
    if isinstance(error, StaleError):
        parts = [error.kind, error.given, error.known]
        return GRPCError(Status.FAILED_PRECONDITION, json.dumps(parts))
    shown = repr(error.value)
    parts = [error.source, error.field, shown, error.reason]
    return GRPCError(Status.INVALID_ARGUMENT, json.dumps(parts))


def _from_status(address: str, error: GRPCError) -> Exception:
    try:
        parts: list[Any] = json.loads(error.message or '')
        if error.status is Status.FAILED_PRECONDITION:
            kind, given, known = parts
            return StaleError(str(kind), int(given), int(known))
        if error.status is Status.INVALID_ARGUMENT:
            source, field, shown, reason = parts
            return ValidationError(source, field, shown, reason)
    except (ValueError, TypeError):
        _log.debug('peer %s answered an unknown status', address)
    return PeerError(address, f'{error.status.name}: {error.message}')


class _Service(PeerBase):
    def __init__(self, handler: PeerHandler) -> None:
        self.handler = handler

    async def Sync(
        self,
        stream: 'Stream[wire.SyncRequest, wire.SyncAnswer]',
    ) -> None:
        async for part in stream:
            try:
                request = convert.read_sync_request(part)
                answer = await self.handler.sync(request)
            except (StaleError, ValidationError) as error:
                raise _to_status(error) from error
            await stream.send_message(convert.write_sync_answer(answer))

    async def Promise(
        self,
        stream: 'Stream[wire.PromiseRequest, wire.PromiseAnswer]',
    ) -> None:
        part = await stream.recv_message()
        if part is None:
            return
        try:
            request = convert.read_promise_request(part)
            answer = await self.handler.promise(request)
        except (StaleError, ValidationError) as error:
            raise _to_status(error) from error
        await stream.send_message(convert.write_promise_answer(answer))


class PeerServer:
    """Listens for other hosts."""

    def __init__(self, handler: PeerHandler) -> None:
        self.server = Server([_Service(handler)], config=_configuration())
        self.port = 0

    async def start(self, host: str, port: int) -> None:
        """Listen; with port 0, ``self.port`` has the one chosen."""
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self.listener = socket.create_server((host, port), family=family)
        # Accepted sockets inherit this. asyncio sets it only on a socket that
        # names its protocol; answers would wait 40 ms for an acknowledgement.
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.listener.getsockname()[1]
        await self.server.start(sock=self.listener)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await self.server.wait_closed()


@dataclass(frozen=True, slots=True)
class _Question:
    part: wire.SyncRequest
    reply: 'asyncio.Future[wire.SyncAnswer]'


class _SyncStream:
    """Owns the stream of a connection; a task of its own sends and receives."""

    def __init__(self, stub: PeerStub) -> None:
        self.stub = stub
        self.questions: asyncio.Queue[_Question] = asyncio.Queue()
        self.asked: _Question | None = None
        self.task = asyncio.create_task(self._run())

    async def ask(self, part: wire.SyncRequest) -> wire.SyncAnswer:
        reply: asyncio.Future[wire.SyncAnswer] = asyncio.Future()
        self.questions.put_nowait(_Question(part, reply))
        return await reply

    async def _run(self) -> None:
        try:
            async with self.stub.Sync.open() as stream:
                await self._exchange(stream)
        except _FAILURES as error:
            self._fail(error)
        finally:
            self._fail(StreamTerminatedError('stream closed'))

    async def _exchange(
        self,
        stream: 'ClientStream[wire.SyncRequest, wire.SyncAnswer]',
    ) -> None:
        while True:
            self.asked = await self.questions.get()
            await stream.send_message(self.asked.part)
            answer = await stream.recv_message()
            if answer is None:
                return  # the status follows when the stream is left
            if not self.asked.reply.done():
                self.asked.reply.set_result(answer)

    def _fail(self, error: Exception) -> None:
        waiting = [] if self.asked is None else [self.asked]
        while not self.questions.empty():
            waiting.append(self.questions.get_nowait())
        for question in waiting:
            if not question.reply.done():
                question.reply.set_exception(error)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number <= MAX_PORT:
        reason = 'must be an IP number and a port'
        raise ValidationError('peer client', 'address', address, reason)
    return host, number


class PeerClient:
    """One open connection to another host.

    A call that times out closes the connection, since the other side may be
    gone without having closed it; the next call opens a new one.
    """

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        host, port = _split_address(address)
        self.address = address
        self.timeout_s = timeout_s
        self.calls = 0
        self.channel = Channel(host, port, config=_configuration())
        self.stub = PeerStub(self.channel)
        self.stream: _SyncStream | None = None

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Ask a parent.

        :raises PeerError: without an answer within the time-out.
        """
        part = convert.write_sync_request(request)
        if self.stream is None or self.stream.task.done():
            self.stream = _SyncStream(self.stub)
        answer = await self._call(self.stream.ask(part))
        return convert.read_sync_answer(answer)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Ask a taker; raises as :meth:`sync` does."""
        part = convert.write_promise_request(request)
        answer = await self._call(self.stub.Promise(part))
        return convert.read_promise_answer(answer)

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if self.stream is not None:
            self.stream.task.cancel()
            self.stream = None
        self.channel.close()

    async def _call(self, call: Awaitable[_Answer]) -> _Answer:
        self.calls += 1
        try:
            async with asyncio.timeout(self.timeout_s):
                return await call
        except TimeoutError as error:
            self.close()
            reason = f'no answer within {self.timeout_s} s'
            raise PeerError(self.address, reason) from error
        except GRPCError as error:
            raise _from_status(self.address, error) from error
        except _FAILURES as error:
            raise PeerError(self.address, repr(error)) from error
        finally:
            self.calls -= 1


class PeerClients:
    """Open connections by address.

    :param clock: gives monotonic seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        timeout_s: float = CALL_TIMEOUT_S,
        unused_limit_s: float = UNUSED_LIMIT_S,
    ) -> None:
        self.clock = clock
        self.timeout_s = timeout_s
        self.unused_limit_s = unused_limit_s
        self.clients: dict[str, PeerClient] = {}
        self.last_used: dict[str, float] = {}

    def get(self, address: str) -> PeerClient:
        """Give the connection to an address; it opens with the first call."""
        client = self.clients.get(address)
        if client is None:
            client = PeerClient(address, self.timeout_s)
            self.clients[address] = client
        self.last_used[address] = self.clock()
        return client

    def close_unused(self) -> None:
        """Close what was not asked for lately and has no call in flight."""
        limit = self.clock() - self.unused_limit_s
        for address, client in list(self.clients.items()):
            if self.last_used[address] < limit and not client.calls:
                client.close()
                del self.clients[address]
                del self.last_used[address]

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
        self.last_used.clear()
