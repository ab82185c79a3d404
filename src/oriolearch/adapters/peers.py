"""Calls between hosts over gRPC: the methods ``Sync`` and ``Promise``.

A :class:`~oriolearch.core.errors.StaleError` or
:class:`~oriolearch.core.errors.ValidationError` raised by a handler is raised
again at the caller; every other failure of a call becomes a
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

CALL_TIMEOUT_S = 0.2  # one sync period; then the next candidate is tried
MAX_PORT = 65535
IDLE_LIMIT_S = 30.0
FLOW_WINDOW_BYTES = 4 * 1024 * 1024  # fits a full sync answer

_Answer = TypeVar('_Answer')
_CALL_ERRORS = (
    DecodeError,
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
)
_log = logging.getLogger(__name__)


class PeerHandler(Protocol):
    """Handles the calls of other hosts."""

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer the sync request of a child host.

        :raises StaleError: when the request is from an old incarnation.
        """

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the holder of an authority as its successor."""


def _make_configuration() -> Configuration:
    return Configuration(
        http2_connection_window_size=FLOW_WINDOW_BYTES,
        http2_stream_window_size=FLOW_WINDOW_BYTES,
    )


def _encode_error(error: StaleError | ValidationError) -> GRPCError:
    if isinstance(error, StaleError):
        details = [error.kind, error.given, error.known]
        return GRPCError(Status.FAILED_PRECONDITION, json.dumps(details))
    value_text = repr(error.value)
    details = [error.source, error.field, value_text, error.reason]
    return GRPCError(Status.INVALID_ARGUMENT, json.dumps(details))


def _decode_error(address: str, error: GRPCError) -> Exception:
    try:
        details: list[Any] = json.loads(error.message or '')
        if error.status is Status.FAILED_PRECONDITION:
            kind, given, known = details
            return StaleError(str(kind), int(given), int(known))
        if error.status is Status.INVALID_ARGUMENT:
            source, field, value_text, reason = details
            return ValidationError(source, field, value_text, reason)
    except (ValueError, TypeError):
        _log.debug('cannot decode the error status of peer %s', address)
    return PeerError(address, f'{error.status.name}: {error.message}')


class _Service(PeerBase):
    def __init__(self, handler: PeerHandler) -> None:
        self.handler = handler

    async def Sync(
        self,
        stream: 'Stream[wire.SyncRequest, wire.SyncAnswer]',
    ) -> None:
        async for message in stream:
            try:
                request = convert.decode_sync_request(message)
                answer = await self.handler.sync(request)
            except (StaleError, ValidationError) as error:
                raise _encode_error(error) from error
            await stream.send_message(convert.encode_sync_answer(answer))

    async def Promise(
        self,
        stream: 'Stream[wire.PromiseRequest, wire.PromiseAnswer]',
    ) -> None:
        message = await stream.recv_message()
        if message is None:
            return
        try:
            request = convert.decode_promise_request(message)
            answer = await self.handler.promise(request)
        except (StaleError, ValidationError) as error:
            raise _encode_error(error) from error
        await stream.send_message(convert.encode_promise_answer(answer))


class PeerServer:
    """Accepts connections from other hosts and serves their calls."""

    def __init__(self, handler: PeerHandler) -> None:
        self.server = Server([_Service(handler)], config=_make_configuration())
        self.port = 0

    async def start(self, host: str, port: int) -> None:
        """Listen; with port 0, ``self.port`` is the port chosen."""
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self.listener = socket.create_server((host, port), family=family)
        # Accepted sockets inherit TCP_NODELAY. asyncio sets it only on sockets
        # created with an explicit protocol number; without it answers wait
        # 40 ms for a delayed acknowledgement.
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.listener.getsockname()[1]
        await self.server.start(sock=self.listener)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await self.server.wait_closed()


@dataclass(frozen=True, slots=True)
class _PendingCall:
    message: wire.SyncRequest
    result: 'asyncio.Future[wire.SyncAnswer]'


class _SyncStream:
    """The sync stream of a connection, with its own task for the exchange."""

    def __init__(self, stub: PeerStub) -> None:
        self.stub = stub
        self.queue: asyncio.Queue[_PendingCall] = asyncio.Queue()
        self.in_flight: _PendingCall | None = None
        self.task = asyncio.create_task(self._run())

    async def call(self, message: wire.SyncRequest) -> wire.SyncAnswer:
        result: asyncio.Future[wire.SyncAnswer] = asyncio.Future()
        self.queue.put_nowait(_PendingCall(message, result))
        return await result

    async def _run(self) -> None:
        try:
            async with self.stub.Sync.open() as stream:
                await self._exchange(stream)
        except _CALL_ERRORS as error:
            self._fail_unanswered(error)
        finally:
            self._fail_unanswered(StreamTerminatedError('stream closed'))

    async def _exchange(
        self,
        stream: 'ClientStream[wire.SyncRequest, wire.SyncAnswer]',
    ) -> None:
        while True:
            self.in_flight = await self.queue.get()
            await stream.send_message(self.in_flight.message)
            answer = await stream.recv_message()
            if answer is None:
                return  # leaving the stream raises its status
            if not self.in_flight.result.done():
                self.in_flight.result.set_result(answer)

    def _fail_unanswered(self, error: Exception) -> None:
        unanswered = [] if self.in_flight is None else [self.in_flight]
        while not self.queue.empty():
            unanswered.append(self.queue.get_nowait())
        for call in unanswered:
            if not call.result.done():
                call.result.set_exception(error)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        port_number = 0
    if not 0 < port_number <= MAX_PORT:
        reason = 'must be an IP number and a port'
        raise ValidationError('peer client', 'address', address, reason)
    return host, port_number


class PeerClient:
    """A connection to another host.

    A call that times out closes the connection, because a host that crashed
    does not close it; the next call opens a new one.
    """

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        host, port = _split_address(address)
        self.address = address
        self.timeout_s = timeout_s
        self.calls_in_flight = 0
        self.channel = Channel(host, port, config=_make_configuration())
        self.stub = PeerStub(self.channel)
        self.stream: _SyncStream | None = None

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Send a sync request to a parent host.

        :raises PeerError: when no answer arrives within the timeout.
        """
        message = convert.encode_sync_request(request)
        if self.stream is None or self.stream.task.done():
            self.stream = _SyncStream(self.stub)
        answer = await self._call(self.stream.call(message))
        return convert.decode_sync_answer(answer)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Request a promise from a successor; raise as :meth:`sync` does."""
        message = convert.encode_promise_request(request)
        answer = await self._call(self.stub.Promise(message))
        return convert.decode_promise_answer(answer)

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if self.stream is not None:
            self.stream.task.cancel()
            self.stream = None
        self.channel.close()

    async def _call(self, call: Awaitable[_Answer]) -> _Answer:
        self.calls_in_flight += 1
        try:
            async with asyncio.timeout(self.timeout_s):
                return await call
        except TimeoutError as error:
            self.close()
            reason = f'no answer within {self.timeout_s} s'
            raise PeerError(self.address, reason) from error
        except GRPCError as error:
            raise _decode_error(self.address, error) from error
        except _CALL_ERRORS as error:
            raise PeerError(self.address, repr(error)) from error
        finally:
            self.calls_in_flight -= 1


class PeerClientPool:
    """A pool of connections to other hosts by address.

    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        timeout_s: float = CALL_TIMEOUT_S,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> None:
        self.clock = clock
        self.timeout_s = timeout_s
        self.idle_limit_s = idle_limit_s
        self.clients: dict[str, PeerClient] = {}
        self.last_used_at: dict[str, float] = {}

    def get(self, address: str) -> PeerClient:
        """Return the connection to an address; its first call opens it."""
        client = self.clients.get(address)
        if client is None:
            client = PeerClient(address, self.timeout_s)
            self.clients[address] = client
        self.last_used_at[address] = self.clock()
        return client

    def close_idle(self) -> None:
        """Close connections that are idle and have no call in flight."""
        limit = self.clock() - self.idle_limit_s
        for address, client in list(self.clients.items()):
            if (
                self.last_used_at[address] < limit
                and not client.calls_in_flight
            ):
                client.close()
                del self.clients[address]
                del self.last_used_at[address]

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
        self.last_used_at.clear()
