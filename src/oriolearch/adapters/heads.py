"""HTTP connections that reject a response whose head is cut off or invalid.

http.client takes the end of the connection for the end of the head. A response
without its last header fields would then pass for a complete one, such as a
200 whose ``content-length`` is missing.
"""

from http.client import (
    BadStatusLine,
    HTTPException,
    HTTPResponse,
    RemoteDisconnected,
)
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from oriolearch.adapters.upstream_links import MAX_STATUS

MAX_HEAD_BYTES = 64 * 1024  # with the interim responses before it


class _HeadLines:
    """The stream of a connection while a head is read."""

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.size = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, without its end if it exceeds the limit.

        :raises RemoteDisconnected: when the connection ends in it.
        :raises HTTPException: when the head is too large.
        """
        line: bytes = self.stream.readline(limit)
        self.size += len(line)
        if self.size > MAX_HEAD_BYTES:
            raise HTTPException('response head too large')
        if not line.endswith(b'\n') and len(line) != limit:
            raise RemoteDisconnected('connection closed in the response head')
        return line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


class WholeHeadResponse(HTTPResponse):
    """A response that begins with a complete head."""

    def begin(self) -> None:
        """Read the head.

        :raises RemoteDisconnected: when the connection ends in it.
        :raises BadStatusLine: when the status is outside the protocol;
            http.client accepts up to 999.
        """
        stream = self.fp
        self.fp = _HeadLines(stream)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            # A response without a body has closed and dropped the stream.
            if self.fp is not None:
                self.fp = stream
        if self.status > MAX_STATUS:
            raise BadStatusLine(str(self.status))


class WholeHeadConnection(HTTPConnection):
    """A connection whose responses have complete heads."""

    response_class = WholeHeadResponse


class WholeHeadConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections whose responses have complete heads."""

    ConnectionCls = WholeHeadConnection
