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
    EraChangedError,
    HistoryLostError,
    OutcomeUnknownError,
    PlatformError,
    PlatformRefusedError,
)
from oriolearch.core.versions import StoreVersion, VersionLedger
from oriolearch.ports import LONG_POLL_GRACE_S, RowName, StoredRow, TableState

# The store answers within 4 ms, or within 50 times that when it is slow.
CALL_TIMEOUT_S = 1.5
MAX_PAGE_ROWS = 500  # most rows that the store returns for a read
# Header of all answers; rises when the store comes back from an earlier copy.
ERA_HEADER = b'store-era'


class StoreClient:
    """Client of the store, shared by a process.

    :param address: ``host:port`` of the store.
    :param ledger: records the era and the versions that answers name.
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

        :raises EraChangedError: when the store came back from an earlier copy
            between two pages.
        :raises PlatformError: when the table cannot be read.
        """
        rows: list[StoredRow] = []
        start = ''
        version: StoreVersion | None = None
        while True:
            query = {'table': table, 'part': '', 'limit': MAX_PAGE_ROWS}
            if start:
                query['from'] = start
            body = await self._get('/rows-get', query, CALL_TIMEOUT_S)
            page = self._decode_rows(body)
            rows.extend(page)
            newest = self._record_versions(body, page)
            version = newest if version is None else version
            if newest.era != version.era:
                raise EraChangedError(f'pages of {table} are of two eras')
            if not body.get('more_pages') or not page:
                return TableState(tuple(rows), version)
            start = f'{page[-1].key}\x00'

    async def follow(
        self,
        table: str,
        after: StoreVersion,
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
        self._check_history(after)
        query = {
            'table': table,
            'after': after.number,
            'wait_ms': int(wait_s * 1000),
        }
        body = await self._get('/rows-feed', query, wait_s + grace_s)
        self._check_history(after)
        rows = tuple(self._decode_rows(body))
        return TableState(rows, self._record_versions(body, rows))

    async def commit(
        self,
        conditions: Mapping[RowName, StoreVersion],
        writes: Mapping[RowName, bytes],
    ) -> StoreVersion:
        """Write rows if all conditions hold; return the new version.

        :raises ConditionFailedError: when a row has another version.
        :raises EraChangedError: when nothing was written, since a condition
            names a version of an earlier era.
        :raises PlatformRefusedError: when nothing was written.
        :raises OutcomeUnknownError: when the writes may have been applied,
            or may still be.
        """
        self._check_conditions(conditions)
        era = self.ledger.known_era
        body = _encode_transaction(conditions, writes)
        path = '/rows-tx'
        request = _encode_head('POST', path, self.address, len(body)) + body
        try:
            answer = await self._exchange(
                self.call_links, path, request, CALL_TIMEOUT_S
            )
        except LinkError as error:
            if error.was_sent:
                raise OutcomeUnknownError(str(error)) from error
            raise PlatformRefusedError(str(error)) from error
        if era is not None and era != self.ledger.era:
            self._reject_new_era(answer)
        return self._decode_outcome(answer)

    def _check_conditions(
        self, conditions: Mapping[RowName, StoreVersion]
    ) -> None:
        """Check that conditions can hold in the present era.

        :raises EraChangedError: when one is of an earlier era. Its number may
            be that of another version of the row by now.
        """
        if any(
            version.number and version.era != self.ledger.era
            for version in conditions.values()
        ):
            raise EraChangedError('a condition is of an earlier era')

    def _reject_new_era(self, answer: HttpResponse) -> None:
        """Reject the outcome of a write that was sent in an earlier era.

        Its conditions may have held, or failed, for another version.

        :raises OutcomeUnknownError: when it was written.
        :raises EraChangedError: when it was not written.
        """
        if answer.status == 200:
            raise OutcomeUnknownError('written in a new era of the store')
        if answer.status == 412:
            raise EraChangedError('a condition is of an earlier era')

    def _decode_outcome(self, answer: HttpResponse) -> StoreVersion:
        """Return the version of a write, or raise the error it met."""
        if answer.status == 200:
            version = self._record_versions(_decode_body(answer), ())
            self.ledger.record_changes((version,))
            return version
        if answer.status == 412:
            rows = self._decode_rows(_decode_body(answer))
            raise ConditionFailedError(
                tuple((row.table, row.key, row.version.number) for row in rows),
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
        """Call the store, count the outcome, and record the era.

        :raises LinkError: when there is no answer.
        :raises OutcomeUnknownError: when the answer is of an earlier era.
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
        era = _decode_era(answer)
        if era is not None:
            self.ledger.record_era(era)
            if era < self.ledger.era:
                raise OutcomeUnknownError('the answer is of an earlier era')
        return answer

    def _check_history(self, after: StoreVersion) -> None:
        """Check that changes after a version can be followed.

        :raises HistoryLostError: when the version is of an earlier era.
        """
        if after.number and after.era != self.ledger.era:
            raise HistoryLostError(f'version {after} is of an earlier era')

    def _decode_rows(self, body: Mapping[str, Any]) -> list[StoredRow]:
        era = self.ledger.era
        return [_decode_row(row, era) for row in _objects(body, 'rows')]

    def _record_versions(
        self, body: Mapping[str, Any], rows: Iterable[StoredRow]
    ) -> StoreVersion:
        """Record the versions that an answer names; return the newest."""
        newest = StoreVersion(self.ledger.era, _decode_version(body))
        self.ledger.record_changes(row.version for row in rows)
        self.ledger.record_newest(loop_clock(), newest)
        return newest


def _encode_head(method: str, target: str, address: str, length: int) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', f'Host: {address}']
    if length:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join((*lines, '', '')).encode()


def _encode_transaction(
    conditions: Mapping[RowName, StoreVersion],
    writes: Mapping[RowName, bytes],
) -> bytes:
    return json.dumps(
        {
            'expected_revision': [
                {**_encode_name(name), 'ver': version.number}
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


def _decode_era(answer: HttpResponse) -> int | None:
    """Return the era that an answer names, or ``None`` if it names none."""
    text = answer.header(ERA_HEADER)
    return int(text) if text is not None and text.isdigit() else None


def _decode_row(fields: Mapping[str, Any], era: int) -> StoredRow:
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
        StoreVersion(era, version if isinstance(version, int) else 0),
    )


def _ignore_outcome(sent_at: float, is_answered: bool) -> None:
    """Ignore the outcome of a call."""
