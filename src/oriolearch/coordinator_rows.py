"""Codecs of the coordinator's rows in the store and of owner messages."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oriolearch.adapters.host_links import Message
from oriolearch.clock import lease_clock
from oriolearch.core.directory import (
    KEY_COUNT,
    Incarnation,
    parse_incarnation,
)
from oriolearch.core.errors import MALFORMED_ERRORS, ConditionFailedError
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.ownership import KeyRange
from oriolearch.core.versions import ABSENT, StoreVersion
from oriolearch.eventlog import Event, EventLog
from oriolearch.packing import decompress
from oriolearch.ports import RowName, StoredRow

COORDINATOR_TABLE = 'oriolearch-coordinator'
OWNER_TABLE = 'oriolearch-owners'
COORDINATOR_ROW = RowName(COORDINATOR_TABLE, 'coordinator')
COMPRESS_FROM_BYTES = 4096  # smaller rows stay readable
MAX_UNPACKED_BYTES = 8 * 1024 * 1024  # limits the decompression of a row
MAX_EARLIER_TERMS = 4  # a successor waits for the end of older ones
# Terms that a store may have lost when it comes back from a copy some seconds
# old, at most.
MAX_LOST_TERMS = 1000
WITNESS_ROW = RowName('oriolearch-witnesses', 'witnesses')


@dataclass(frozen=True, slots=True)
class CoordinatorRow:
    """The row that names the coordinator.

    :param era: era of the store in which the row was written. In a later one,
        the store has come back from a copy and may have lost later terms.
    :param min_next_term: lower terms may have been given out by takeovers that
        the store has lost.
    :param is_leaving: the coordinator's host is shutting down, and coordinates
        until another host takes over.
    :param earlier: rows of the terms just before, newest first and without
        earlier terms of their own. A successor proves the end of those that
        were not known to be over.
    """

    host: str
    address: str
    term: int
    nonce: str
    is_leaving: bool = False
    earlier: tuple['CoordinatorRow', ...] = ()
    era: int = 0
    min_next_term: int = 0

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(
            {
                'host': self.host,
                'address': self.address,
                'term': self.term,
                'nonce': self.nonce,
                'leaving': self.is_leaving,
                'era': self.era,
                'min_next_term': self.min_next_term,
                'earlier': [
                    [row.host, row.address, row.term, row.nonce]
                    for row in self.earlier
                ],
            },
        ).encode()

    def next_term_in(self, era: int) -> int:
        """Return a term above all that were given out before an era.

        A store that came back from a copy may have lost the latest ones.
        """
        lost = MAX_LOST_TERMS * max(era - self.era, 0)
        return max(self.term + 1 + lost, self.min_next_term)

    def known_terms(self) -> tuple['CoordinatorRow', ...]:
        """Return the rows of this term and of the earlier ones it names."""
        own = CoordinatorRow(self.host, self.address, self.term, self.nonce)
        return (own, *self.earlier)

    def is_same_term(self, other: 'CoordinatorRow') -> bool:
        """Return whether two rows name the same run of a coordinator."""
        return (self.term, self.nonce) == (other.term, other.nonce)


@dataclass(frozen=True, slots=True)
class StoredOwners:
    """The owners of a pool's keys as the store has them.

    :param version: of the row; ``ABSENT`` if there is none.
    :param era: era of the store in which no later owners held keys; 0 if the
        row is unreadable.
    :param ranges: all keys; empty if there is no row, or an unreadable one.
    """

    version: StoreVersion = ABSENT
    era: int = 0
    ranges: tuple[KeyRange, ...] = ()

    def is_outdated(self) -> bool:
        """Return whether the store may have lost later owners."""
        return self.era < self.version.era


def decode_coordinator(row: StoredRow) -> CoordinatorRow | None:
    """Return the decoded coordinator row, or ``None`` if unreadable.

    A row that names no era, which an older version of the program wrote, counts
    as written in the era in which it was read.
    """
    try:
        fields = json.loads(row.value or b'')
        return CoordinatorRow(
            str(fields['host']),
            str(fields['address']),
            int(fields['term']),
            str(fields['nonce']),
            bool(fields['leaving']),
            tuple(
                CoordinatorRow(str(host), str(address), int(term), str(nonce))
                for host, address, term, nonce in fields.get('earlier', ())
            ),
            int(fields.get('era', row.version.era)),
            int(fields.get('min_next_term', 0)),
        )
    except MALFORMED_ERRORS:
        return None


def encode_ranges(
    ranges: tuple[KeyRange, ...], revision: int, era: int = 0
) -> bytes:
    """Return the value of a pool's row.

    :param era: era of the store in which no later owners hold keys. Usually
        the one in which the row is written.
    """
    rows = [
        [
            keys.first,
            keys.last,
            *_encode_owner(keys),
        ]
        for keys in ranges
    ]
    body = {'revision': revision, 'era': era, 'ranges': rows}
    text = json.dumps(body, separators=(',', ':')).encode()
    # A row is limited to 64 KB, about 1,000 ranges of plain text.
    return zlib.compress(text) if len(text) >= COMPRESS_FROM_BYTES else text


def _encode_owner(keys: KeyRange) -> tuple[str | None, int, str | None]:
    """Return owner, fence and previous owner for a successor to read.

    Storing the row begins a planned move, so the planned owner is written as
    the owner and the present owner as the previous one.
    """
    owner = keys.planned or keys.owner
    fence = keys.planned_fence if keys.planned else keys.fence
    previous = keys.owner if keys.planned else keys.previous
    return (
        owner.text() if owner else None,
        fence,
        previous.text() if previous else None,
    )


def decode_ranges(value: bytes) -> list[KeyRange]:
    """Decode the ranges in the value of a pool's row.

    :raises ValueError: when the value is malformed.
    """
    return _decode_ranges(_load_fields(value))


def _load_fields(value: bytes) -> dict[str, Any]:
    """Return the fields of a pool's row.

    :raises ValueError: when the value is malformed.
    """
    try:
        text = (
            value
            if value.startswith(b'{')
            else decompress(value, MAX_UNPACKED_BYTES)
        )
        return dict(json.loads(text))
    except MALFORMED_ERRORS as error:
        raise ValueError(f'malformed owners: {error}') from error


def _decode_ranges(fields: Mapping[str, Any]) -> list[KeyRange]:
    ranges = []
    try:
        for first, last, owner, fence, previous in fields['ranges']:
            keys = KeyRange(
                int(first), int(last), _parse_ref(owner), int(fence)
            )
            keys.previous = _parse_ref(previous)
            ranges.append(keys)
    except MALFORMED_ERRORS as error:
        raise ValueError(f'malformed ranges: {error}') from error
    starts = [0, *(keys.last + 1 for keys in ranges)]
    if starts != [*(keys.first for keys in ranges), KEY_COUNT]:
        raise ValueError('ranges must cover each key exactly once')
    return ranges


def _decode_era(fields: Mapping[str, Any], known_era: int) -> int:
    """Return the era that a pool's row names.

    :param known_era: era in which the row was read. A row that names none,
        which an older version of the program wrote, counts as written in it.
    """
    try:
        return int(fields.get('era', known_era))
    except MALFORMED_ERRORS:
        return 0


def read_stored_owners(row: StoredRow, log: EventLog) -> StoredOwners:
    """Return the owners in a pool's row; log a row that is unreadable."""
    if row.value is None:
        return StoredOwners(row.version)
    era = 0
    try:
        fields = _load_fields(row.value)
        era = _decode_era(fields, row.version.era)
        ranges = tuple(_decode_ranges(fields))
    except ValueError as error:
        log.emit(
            Event.ROW_REJECTED,
            row=f'{OWNER_TABLE}/{row.key}',
            row_version=row.version,
            error=str(error),
        )
        return StoredOwners(row.version, era)
    return StoredOwners(row.version, era, ranges)


def _parse_ref(text: str | None) -> Incarnation | None:
    return parse_incarnation(text) if text else None


def required_versions(
    error: ConditionFailedError, era: int
) -> dict[RowName, StoreVersion]:
    """Return the present versions of the rows that failed a condition.

    :param era: era of the versions that the conditions named.
    """
    return {
        RowName(table, key): StoreVersion(era, number)
        for table, key, number in error.failed
    }


def owners_message(
    pool: str,
    changes: list[OwnedRange],
    is_whole: bool,
) -> Message:
    """Return an ``owners`` message.

    :param is_whole: the ranges cover all keys.
    """
    now = lease_clock()
    return {
        'kind': 'owners',
        'pool': pool,
        'whole': is_whole,
        'ranges': [
            [
                keys.first,
                keys.last,
                keys.owner.text() if keys.owner else None,
                round(keys.expected_at - now, 3) if not keys.owner else 0,
            ]
            for keys in changes
        ],
    }


def read_owners(message: Message) -> list[OwnedRange]:
    """Decode the ranges of an ``owners`` message.

    :raises ValueError: when they are malformed.
    """
    now = lease_clock()
    try:
        return [
            OwnedRange(
                int(first), int(last), _parse_ref(owner), now + float(in_s)
            )
            for first, last, owner, in_s in message['ranges']
        ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed owners message: {error}') from error
