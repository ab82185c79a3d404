"""A bare relay: cheroot in front of urllib3, no decisions.

The baseline of bench/datapath.py. Run as ``python -m bench.relay ADDRESS``
with the address of the upstream.
"""

import sys
from collections.abc import Callable, Iterator
from typing import Any

import urllib3
from cheroot.wsgi import Server

from bench.child import report_usage

PIECE_BYTES = 65536
THREADS = 32
HOP_FIELDS = frozenset(('connection', 'keep-alive', 'transfer-encoding'))


class Relay:
    """A WSGI application that passes requests on to one upstream."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self.pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=THREADS,
            block=True,
            retries=False,
        )

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterator[bytes]:
        """Pass a request on and stream the answer back."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        headers = {
            name[5:].replace('_', '-').title(): environ[name]
            for name in environ
            if name.startswith('HTTP_')
        }
        headers.pop('Connection', None)
        found = self.pool.urlopen(
            environ['REQUEST_METHOD'],
            environ['REQUEST_URI'],
            body=environ['wsgi.input'].read(length) if length else None,
            headers=headers,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
        fields = [
            (name, text)
            for name, text in found.headers.items()
            if name.lower() not in HOP_FIELDS
        ]
        start_response(f'{found.status} {found.reason}', fields)
        yield from found.stream(PIECE_BYTES)
        found.release_conn()


def main() -> None:
    """Serve until the standard input ends."""
    server = Server(
        ('127.0.0.1', 0),
        Relay(sys.argv[1]),
        numthreads=THREADS,
        request_queue_size=1024,
    )
    server.keep_alive_conn_limit = 1024
    server.prepare()
    report_usage(server.bind_addr[1], server.serve)
    server.stop()


if __name__ == '__main__':
    main()
