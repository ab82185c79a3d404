"""Calls of other services with a bound on what their answers take."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3

PIECE_BYTES = 65536


class TooLargeError(urllib3.exceptions.HTTPError):
    """An answer is larger than this client reads."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    url: str
    status: int
    body: bytes


def call(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    limit_bytes: int,
) -> Reply:
    """Send one request; it is never repeated.

    :raises urllib3.exceptions.HTTPError: without a complete answer that has
        at most ``limit_bytes``.
    """
    response = pool.urlopen(
        method,
        path,
        body=body,
        headers=headers,
        redirect=False,
        preload_content=False,
        decode_content=False,  # a small answer could unpack to any size
    )
    is_complete = False
    try:
        content = _read(response, limit_bytes)
        is_complete = True
    finally:
        if not is_complete:
            response.close()
        response.release_conn()
    return Reply(path, response.status, content)


def _read(response: urllib3.BaseHTTPResponse, limit_bytes: int) -> bytes:
    content = bytearray()
    while piece := response.read(PIECE_BYTES):
        content += piece
        if len(content) > limit_bytes:
            raise TooLargeError(f'an answer has more than {limit_bytes} bytes')
    return bytes(content)
