"""The platform's metadata store: rows in tables, changed in transactions."""

import base64
import binascii
import json
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

from oriolearch.adapters.upstream_links import Answer, LinkError, LinkPool
from oriolearch.core.errors import (
    ConditionFailedError,
    HistoryLostError,
    OutcomeUnknownError,
    PlatformError,
    PlatformRefusedError,
)
from oriolearch.ports import RowName, StoredRow, TableState

CALL_TIMEOUT_S = 1.5  # the store answers within 4 ms, or 50 times that if slow
WAIT_GRACE_S = 2.0  # a long poll may take this much longer than its wait
PAGE_ROWS = 500  # the most that a read returns


class StoreClient:
    """Calls the store; one for each process.

    :param address: ``host:port`` of the store.
    :ivar outcomes: calls by path and outcome: a status, or ``unanswered``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.calls = LinkPool(address, largest=2)
        self.polls = LinkPool(address, largest=8)

    async def read(self, table: str) -> TableState:
        """Read all rows of a table.

        Pages are read one after the other; the version is that of the first,
        so that changes between them are seen again by :meth:`follow`.

        :raises PlatformError: when the table could not be read.
        """
        rows: list[StoredRow] = []
        start = ''
        version: int | None = None
        while True:
            query = {'table': table, 'part': '', 'limit': PAGE_ROWS}
            if start:
                query['from'] = start
            body = await self._get('/rows-get', query, CALL_TIMEOUT_S)
            page = [_row(found) for found in _list(body, 'rows')]
            rows.extend(page)
            version = _version(body) if version is None else version
            if not body.get('more_pages') or not page:
                return TableState(tuple(rows), version)
            start = f'{page[-1].key}\x00'

    async def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> TableState:
        """Wait for changes of a table after a version.

        :raises HistoryLostError: when the table must be read anew.
        :raises PlatformError: when the store did not answer.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        body = await self._get('/rows-feed', query, wait_s + WAIT_GRACE_S)
        rows = tuple(_row(found) for found in _list(body, 'rows'))
        return TableState(rows, _version(body))

    async def commit(
        self,
        conditions: Mapping[RowName, int],
        writes: Mapping[RowName, bytes],
    ) -> int:
        """Write rows if all conditions hold; give the new version.

        :raises ConditionFailedError: when a row has another version.
        :raises PlatformRefusedError: when nothing was done.
        :raises OutcomeUnknownError: when the writes may be done, also later.
        """
        body = json.dumps(
            {
                'expected_revision': [
                    {**_name(name), 'ver': version}
                    for name, version in conditions.items()
                ],
                'writes': [
                    {
                        **_name(name),
                        'value': base64.b64encode(value).decode(),
                    }
                    for name, value in writes.items()
                ],
                'remove': [],
            },
        ).encode()
        path = '/rows-tx'
        request = _head('POST', path, self.address, len(body)) + body
        try:
            answer = await self._call(self.calls, path, request, CALL_TIMEOUT_S)
        except LinkError as error:
            if error.was_sent:
                raise OutcomeUnknownError(str(error)) from error
            raise PlatformRefusedError(str(error)) from error
        if answer.status == 200:
            return _version(_decode(answer))
        if answer.status == 412:
            rows = [_row(found) for found in _list(_decode(answer), 'rows')]
            raise ConditionFailedError(
                tuple((row.table, row.key, row.version) for row in rows),
            )
        raise PlatformRefusedError(f'store answered {answer.status}')

    async def _get(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_s: float,
    ) -> dict[str, Any]:
        target = f'{path}?{urlencode(query)}'
        pool = self.polls if path == '/rows-feed' else self.calls
        request = _head('GET', target, self.address, 0)
        try:
            answer = await self._call(pool, path, request, timeout_s)
        except LinkError as error:
            raise PlatformError(str(error)) from error
        if answer.status == 410:
            raise HistoryLostError(target)
        if answer.status != 200:
            raise PlatformRefusedError(f'store answered {answer.status}')
        return _decode(answer)

    async def _call(
        self,
        pool: LinkPool,
        path: str,
        request: bytes,
        timeout_s: float,
    ) -> Answer:
        """Make a call and count its outcome.

        :raises LinkError: when no answer came.
        """
        try:
            answer = await pool.exchange(request, timeout_s)
        except LinkError:
            self.outcomes[path, 'unanswered'] += 1
            raise
        self.outcomes[path, str(answer.status)] += 1
        return answer


def _head(method: str, target: str, address: str, length: int) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', f'Host: {address}']
    if length:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join((*lines, '', '')).encode()


def _name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': '', 'key': name.key}


def _decode(answer: Answer) -> dict[str, Any]:
    try:
        body = json.loads(answer.body)
    except ValueError as error:
        raise PlatformError(f'unreadable answer: {error}') from error
    if not isinstance(body, dict):
        raise PlatformError('unreadable answer: not an object')
    return body


def _list(body: Mapping[str, Any], name: str) -> Iterable[dict[str, Any]]:
    found = body.get(name)
    if not isinstance(found, list):
        return ()
    return (row for row in found if isinstance(row, dict))


def _version(body: Mapping[str, Any]) -> int:
    found = body.get('ver')
    if not isinstance(found, int):
        raise PlatformError(f'answer without a version: {found!r}')
    return found


def _row(found: Mapping[str, Any]) -> StoredRow:
    encoded = found.get('value')
    value: bytes | None = None
    if not found.get('removed') and isinstance(encoded, str):
        try:
            value = base64.b64decode(encoded, validate=True)
        except binascii.Error:
            value = b''  # a reader of the row reports it as unreadable
    version = found.get('ver')
    return StoredRow(
        str(found.get('table', '')),
        str(found.get('key', '')),
        value,
        version if isinstance(version, int) else 0,
    )
