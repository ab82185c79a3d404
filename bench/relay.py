"""Minimal relay of cheroot and urllib3, which makes no routing decisions.

It is the baseline of bench/datapath.py. Run it with
``python -m bench.relay ADDRESS``, the address being that of the upstream.
"""

import sys
from collections.abc import Callable, Iterator
from typing import Any

import urllib3
from cheroot.wsgi import Server

from bench.child import report_usage

CHUNK_BYTES = 65536
THREADS = 32
HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding')
)


class Relay:
    """WSGI application that forwards requests to one upstream."""

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
        """Forward a request and stream the response back."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        headers = {
            name[5:].replace('_', '-').title(): environ[name]
            for name in environ
            if name.startswith('HTTP_')
        }
        headers.pop('Connection', None)
        response = self.pool.urlopen(
            environ['REQUEST_METHOD'],
            environ['REQUEST_URI'],
            body=environ['wsgi.input'].read(length) if length else None,
            headers=headers,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
        response_headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        start_response(f'{response.status} {response.reason}', response_headers)
        yield from response.stream(CHUNK_BYTES)
        response.release_conn()


def main() -> None:
    """Serve until the standard input is closed."""
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
