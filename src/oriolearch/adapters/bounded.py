"""HTTP requests to other services, with a limit on the response size."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3

PIECE_BYTES = 65536


class TooLargeError(urllib3.exceptions.HTTPError):
    """A response body exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response."""

    url: str
    status: int
    body: bytes


def send_request(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    limit_bytes: int,
) -> Reply:
    """Send one request without retries and return the response.

    :raises urllib3.exceptions.HTTPError: unless a complete response of at
        most ``limit_bytes`` arrives.
    """
    response = pool.urlopen(
        method,
        path,
        body=body,
        headers=headers,
        redirect=False,
        preload_content=False,
        decode_content=False,  # guards against decompression bombs
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
