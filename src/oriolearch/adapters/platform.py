"""HTTP client of the platform's tables, objects and host list."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from http import HTTPStatus
from typing import Annotated, Any, TypeVar
from urllib.parse import quote, urlencode

import urllib3
from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from oriolearch.adapters import bounded
from oriolearch.adapters.heads import WholeHeadConnectionPool
from oriolearch.core.errors import (
    ConditionFailedError,
    OutcomeUnknownError,
    PlatformRefusedError,
)
from oriolearch.core.rows import MAX_NUMBER
from oriolearch.ports import Condition, HostEntry, VersionedRow, Write

MAX_ANSWER_BYTES = 64 * 1024 * 1024  # all segments of 64 large pools
ZONE_HEADER = 'oriolearch-zone'

_Answer = TypeVar('_Answer')
_Version = Annotated[int, Field(ge=0, le=MAX_NUMBER)]


class _RowAnswer(BaseModel):
    version: _Version
    value: dict[str, Any]


class _AbsentAnswer(BaseModel):
    version: _Version


class _ScannedRow(_RowAnswer):
    key: str


class _CommitAnswer(BaseModel):
    versions: list[_Version]


class _FailedCondition(BaseModel):
    table: str
    key: str
    version: _Version


class _FailedAnswer(BaseModel):
    failed: list[_FailedCondition]


_SCAN = TypeAdapter(list[_ScannedRow])
_HOSTS = TypeAdapter(list[HostEntry])
_ROW = TypeAdapter(_RowAnswer)
_ABSENT = TypeAdapter(_AbsentAnswer)
_COMMIT = TypeAdapter(_CommitAnswer)
_FAILED = TypeAdapter(_FailedAnswer)


class HttpPlatform:
    """Client of the platform protocol in docs/design.md, section 3.

    Implements ``TableService``, ``ObjectStore`` and ``HostList``. No call is
    retried: the caller decides how to handle a lost answer.

    :param address: ``host:port`` of the platform.
    :param zone: availability zone of this client, sent with each call.
    :param timeout_s: timeout of one call in seconds.
    :param connections: maximum number of idle connections kept open.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        timeout_s: float,
        connections: int = 4,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self.headers = {ZONE_HEADER: zone}
        self.pool = WholeHeadConnectionPool(
            host,
            int(port),
            timeout=urllib3.Timeout(total=timeout_s),
            maxsize=connections,
            block=False,
            retries=False,
        )

    def read(self, table: str, key: str) -> VersionedRow:
        """Read one row; its ``row`` is ``None`` when it is absent."""
        path = f'/tables/{_quote_segment(table)}/rows/{_quote_segment(key)}'
        response = self._call('GET', path)
        if response.status == HTTPStatus.NOT_FOUND:
            return VersionedRow(
                key, _parse_answer(_ABSENT, response).version, None
            )
        answer = _parse_answer(_ROW, _require_ok(response))
        return VersionedRow(key, answer.version, answer.value)

    def scan(self, table: str, prefix: str = '') -> list[VersionedRow]:
        """Read all rows whose key starts with a prefix, sorted by key."""
        query = urlencode({'prefix': prefix})
        response = self._call(
            'GET', f'/tables/{_quote_segment(table)}/rows?{query}'
        )
        rows = _parse_answer(_SCAN, _require_ok(response))
        return [
            VersionedRow(row.key, row.version, row.value)
            for row in sorted(rows, key=lambda row: row.key)
        ]

    def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
    ) -> list[int]:
        """Apply all writes if all conditions hold; return the new versions."""
        write_fields = [
            {'table': write.table, 'key': write.key, 'value': write.row}
            for write in writes
        ]
        transaction = {
            'conditions': [asdict(condition) for condition in conditions],
            'writes': write_fields,
        }
        response = self._call(
            'POST',
            '/tables:commit',
            json.dumps(transaction).encode(),
        )
        if response.status == HTTPStatus.CONFLICT:
            failed = _parse_answer(_FAILED, response).failed
            raise ConditionFailedError(
                tuple((row.table, row.key, row.version) for row in failed),
            )
        versions = _parse_answer(_COMMIT, _require_ok(response)).versions
        if len(versions) != len(write_fields):
            raise OutcomeUnknownError(
                f'commit of {len(write_fields)} rows gave versions {versions}',
            )
        return versions

    def put(self, name: str, blob: bytes) -> None:
        """Store a blob under a name."""
        _require_ok(self._call('PUT', f'/objects/{_quote_segment(name)}', blob))

    def get(self, name: str) -> bytes | None:
        """Read a blob; return ``None`` when it is absent."""
        response = self._call('GET', f'/objects/{_quote_segment(name)}')
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _require_ok(response).body

    def hosts(self) -> list[HostEntry]:
        """Read the list of hosts."""
        return _parse_answer(_HOSTS, _require_ok(self._call('GET', '/hosts')))

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> bounded.Reply:
        """Send one request.

        When a connection cannot be opened or opening it times out, no byte
        of the request was sent, so the request had no effect.
        """
        call = f'{method} {self.address}{path}'
        try:
            response = bounded.send_request(
                self.pool, method, path, body, self.headers, MAX_ANSWER_BYTES
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise PlatformRefusedError(f'{call}: {error}') from error
        except urllib3.exceptions.HTTPError as error:
            raise OutcomeUnknownError(f'{call}: {error}') from error
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformRefusedError(f'{call}: status 503')
        return response


def _quote_segment(name: str) -> str:
    return quote(name, safe='')


def _require_ok(
    response: bounded.Reply,
) -> bounded.Reply:
    if response.status != HTTPStatus.OK:
        raise OutcomeUnknownError(
            f'{response.url}: unexpected status {response.status}',
        )
    return response


def _parse_answer(
    model: TypeAdapter[_Answer],
    response: bounded.Reply,
) -> _Answer:
    try:
        return model.validate_json(response.body, strict=True)
    except ValidationError as error:
        raise OutcomeUnknownError(
            f'{response.url}: malformed answer: {error}',
        ) from error
