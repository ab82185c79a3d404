"""Client of the platform's store: tables of rows with transactions."""

import base64
import json
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

from oriolearch.adapters.upstream_links import HttpResponse, LinkError, LinkPool
from oriolearch.clock import loop_clock
from oriolearch.core.errors import (
    ConditionFailedError,
    HistoryLostError,
    OutcomeUnknownError,
    PlatformError,
    PlatformRefusedError,
)
from oriolearch.core.versions import VersionLedger
from oriolearch.ports import LONG_POLL_GRACE_S, RowName, StoredRow, TableState

# The store answers within 4 ms, or within 50 times that when it is slow.
CALL_TIMEOUT_S = 1.5
MAX_PAGE_ROWS = 500  # most rows that the store returns for a read


class StoreClient:
    """Client of the store, shared by a process.

    :param address: ``host:port`` of the store.
    :param ledger: records the versions that answers name.
    :ivar outcomes: number of calls by path and outcome, which is the
        status or ``unanswered``.
    :ivar on_outcome: called after each call with the time at which it was
        sent and whether it was answered.
    """

    def __init__(
        self, address: str, ledger: VersionLedger | None = None
    ) -> None:
        self.address = address
        self.ledger = ledger or VersionLedger()
        self.on_outcome: Callable[[float, bool], None] = _ignore_outcome
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.call_links = LinkPool(address, max_idle_links=2)
        self.poll_links = LinkPool(address, max_idle_links=8)

    async def read(self, table: str) -> TableState:
        """Read all rows of a table.

        The pages are read in turn. The version is that of the first page, so
        that :meth:`follow` returns changes made between the pages again.

        :raises PlatformError: when the table cannot be read.
        """
        rows: list[StoredRow] = []
        start = ''
        version: int | None = None
        while True:
            query = {'table': table, 'part': '', 'limit': MAX_PAGE_ROWS}
            if start:
                query['from'] = start
            body = await self._get('/rows-get', query, CALL_TIMEOUT_S)
            page = [_decode_row(row) for row in _objects(body, 'rows')]
            rows.extend(page)
            newest = self._record_versions(body, page)
            version = newest if version is None else version
            if not body.get('more_pages') or not page:
                return TableState(tuple(rows), version)
            start = f'{page[-1].key}\x00'

    async def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        grace_s: float = LONG_POLL_GRACE_S,
    ) -> TableState:
        """Wait until a table changes after a version; return the changes.

        :param wait_s: the store answers after this long without a change.
        :param grace_s: the call fails this long after that.
        :raises HistoryLostError: when the store no longer has the changes
            after the version, so that the table must be read anew.
        :raises PlatformError: when the call fails.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        body = await self._get('/rows-feed', query, wait_s + grace_s)
        rows = tuple(_decode_row(row) for row in _objects(body, 'rows'))
        return TableState(rows, self._record_versions(body, rows))

    async def commit(
        self,
        conditions: Mapping[RowName, int],
        writes: Mapping[RowName, bytes],
    ) -> int:
        """Write rows if all conditions hold; return the new version.

        :raises ConditionFailedError: when a row has another version.
        :raises PlatformRefusedError: when nothing was written.
        :raises OutcomeUnknownError: when the writes may have been applied,
            or may still be.
        """
        body = json.dumps(
            {
                'expected_revision': [
                    {**_encode_name(name), 'ver': version}
                    for name, version in conditions.items()
                ],
                'writes': [
                    {
                        **_encode_name(name),
                        'value': base64.b64encode(value).decode(),
                    }
                    for name, value in writes.items()
                ],
                'remove': [],
            },
        ).encode()
        path = '/rows-tx'
        request = _encode_head('POST', path, self.address, len(body)) + body
        try:
            answer = await self._exchange(
                self.call_links,
                path,
                request,
                CALL_TIMEOUT_S,
            )
        except LinkError as error:
            if error.was_sent:
                raise OutcomeUnknownError(str(error)) from error
            raise PlatformRefusedError(str(error)) from error
        if answer.status == 200:
            version = _decode_version(_decode_body(answer))
            self.ledger.record_changes((version,))
            self.ledger.record_newest(loop_clock(), version)
            return version
        if answer.status == 412:
            rows = [
                _decode_row(fields)
                for fields in _objects(_decode_body(answer), 'rows')
            ]
            raise ConditionFailedError(
                tuple((row.table, row.key, row.version) for row in rows),
            )
        raise PlatformRefusedError(
            f'store answered with status {answer.status}',
        )

    async def _get(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_s: float,
    ) -> dict[str, Any]:
        target = f'{path}?{urlencode(query)}'
        pool = self.poll_links if path == '/rows-feed' else self.call_links
        request = _encode_head('GET', target, self.address, 0)
        try:
            answer = await self._exchange(pool, path, request, timeout_s)
        except LinkError as error:
            raise PlatformError(str(error)) from error
        if answer.status == 410:
            raise HistoryLostError(target)
        if answer.status != 200:
            raise PlatformRefusedError(
                f'store answered with status {answer.status}',
            )
        return _decode_body(answer)

    async def _exchange(
        self,
        pool: LinkPool,
        path: str,
        request: bytes,
        timeout_s: float,
    ) -> HttpResponse:
        """Call the store and count the outcome.

        :raises LinkError: when there is no answer.
        """
        sent_at = loop_clock()
        try:
            answer = await pool.exchange(request, timeout_s)
        except LinkError:
            self.outcomes[path, 'unanswered'] += 1
            self.on_outcome(sent_at, False)
            raise
        self.outcomes[path, str(answer.status)] += 1
        self.on_outcome(sent_at, True)
        return answer

    def _record_versions(
        self, body: Mapping[str, Any], rows: Iterable[StoredRow]
    ) -> int:
        """Record the versions that an answer names; return the newest."""
        version = _decode_version(body)
        self.ledger.record_changes(row.version for row in rows)
        self.ledger.record_newest(loop_clock(), version)
        return version


def _encode_head(method: str, target: str, address: str, length: int) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', f'Host: {address}']
    if length:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join((*lines, '', '')).encode()


def _encode_name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': '', 'key': name.key}


def _decode_body(answer: HttpResponse) -> dict[str, Any]:
    try:
        body = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise PlatformError(
            f'store answer is not valid JSON: {error}',
        ) from error
    if not isinstance(body, dict):
        raise PlatformError('store answer is not a JSON object')
    return body


def _objects(body: Mapping[str, Any], name: str) -> Iterable[dict[str, Any]]:
    rows = body.get(name)
    if not isinstance(rows, list):
        return ()
    return (row for row in rows if isinstance(row, dict))


def _decode_version(body: Mapping[str, Any]) -> int:
    version = body.get('ver')
    if not isinstance(version, int):
        raise PlatformError(f'store answer has no valid version: {version!r}')
    return version


def _decode_row(fields: Mapping[str, Any]) -> StoredRow:
    encoded = fields.get('value')
    value: bytes | None = None
    if not fields.get('removed') and isinstance(encoded, str):
        try:
            value = base64.b64decode(encoded, validate=True)
        except ValueError:  # also for text that is not ASCII
            value = b''  # decoders of the row reject it as invalid
    version = fields.get('ver')
    return StoredRow(
        str(fields.get('table', '')),
        str(fields.get('key', '')),
        value,
        version if isinstance(version, int) else 0,
    )


def _ignore_outcome(sent_at: float, is_answered: bool) -> None:
    """Ignore the outcome of a call."""
