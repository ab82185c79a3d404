"""A fake upstream for tests, whose responses follow a script."""

import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

Script = Callable[['ReceivedRequest'], None]


@dataclass
class ReceivedRequest:
    """A request as an upstream received it.

    :ivar is_complete: the body was received completely.
    """

    sock: socket.socket
    method: str
    target: str
    headers: dict[str, str]
    stream: Any
    body: bytes = b''
    is_complete: bool = False

    def read_body(self) -> None:
        """Read the whole body."""
        if self.headers.get('transfer-encoding') == 'chunked':
            size = int(self.stream.readline(), 16)
            while size:
                self.body += self.stream.read(size)
                self.stream.readline()
                size = int(self.stream.readline(), 16)
            self.stream.readline()
        else:
            length = int(self.headers.get('content-length', 0))
            self.body = self.stream.read(length)
            if len(self.body) < length:
                raise ValueError('the body ends early')
        self.is_complete = True

    def answer(
        self,
        body: bytes = b'',
        status: int = 200,
        attempt: str | None = None,
        cut: int | None = None,
        **headers: str,
    ) -> None:
        """Send a response that echoes the attempt.

        :param cut: number of body bytes to send; all by default.
        """
        fields = {
            'oriolearch-attempt': attempt
            or self.headers.get('oriolearch-attempt', ''),
            'content-length': str(len(body)),
        }
        for name, text in headers.items():
            fields[name.replace('_', '-')] = text
        lines = ''.join(f'{name}: {fields[name]}\r\n' for name in fields)
        head = f'HTTP/1.1 {status} X\r\n{lines}\r\n'
        self.sock.sendall(head.encode() + body[:cut])

    def close(self) -> None:
        """Shut down and close the socket.

        The shutdown is needed because the stream keeps the socket open.
        """
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        linger = struct.pack('ii', 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.stream.close()
        self.sock.close()


def echo(call: ReceivedRequest) -> None:
    """Respond with the body of the request."""
    call.read_body()
    call.answer(call.body)


class FakeUpstream:
    """Serves each connection on a thread; runs the script per request.

    :ivar requests: all received requests except cancellations.
    :ivar cancelled: ids of the attempts that the router cancelled.
    """

    def __init__(self, script: Script = echo) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.cancelled: list[str] = []
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.thread = threading.Thread(target=self._accept, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # unblocks accept()
        self.thread.join()
        self.listener.close()
        for sock in self.connections:
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                break
            self.connections.append(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile('rb')
        try:
            while self._serve_one(sock, stream):
                continue
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            sock.close()

    def _serve_one(self, sock: socket.socket, stream: Any) -> bool:
        line = stream.readline().decode()
        if not line:
            return False
        method, target, _ = line.split()
        headers = {}
        for field in iter(stream.readline, b'\r\n'):
            name, _, text = field.decode().partition(':')
            headers[name.lower()] = text.strip()
        call = ReceivedRequest(sock, method, target, headers, stream)
        if target.startswith('/cancel/'):
            self.cancelled.append(target.removeprefix('/cancel/'))
            call.answer()
            return True
        self.requests.append(call)
        self.script(call)
        return sock.fileno() >= 0
